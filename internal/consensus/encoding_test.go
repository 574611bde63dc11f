package consensus

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/fake/golden"
	"dunlinsail/internal/monotime"
)

// The files under testdata/encoded and testdata/stored were written by the build of commit 870f4ac, before the
// fields of these structures had tags. They contain the encoded forms that a voter of that build sends, stores and
// shows to operators, and must never be rewritten. The comments and tests below call that build the earlier build.

// emptyEncodedValues returns an empty value of each type that is sent between instances, stored in the log, or part
// of an operator's call. The keys are the names of the files under testdata/encoded.
func emptyEncodedValues() map[string]any {
	return map[string]any{
		"word":  &Message{},
		"entry": &logEntry{},
		"view":  &View{},
		"state": &maintenance.State{},
	}
}

// newGossipEncMode returns the CBOR encoder settings of package peers, which sends this package's messages.
func newGossipEncMode(tb testing.TB) cbor.EncMode {
	tb.Helper()
	encMode, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		tb.Fatal(err)
	}
	return encMode
}

// Values must be encoded to the same JSON and CBOR bytes as by the earlier build, whose fields had no tags, and
// those bytes must be decoded to the same values without unknown fields.
func TestEncodedFormIsThatOfTheBuildBefore(t *testing.T) {
	for name, emptyValue := range emptyEncodedValues() {
		for _, content := range []string{"empty", "filled"} {
			value := reflect.New(reflect.TypeOf(emptyValue).Elem()).Interface()
			if content == "filled" {
				golden.Fill(t, value)
			}
			t.Run(name+"/"+content+"/json", func(t *testing.T) {
				golden.CheckJSON(t, golden.ReadLine(t, "encoded", name+"."+content+".json"), value)
			})
			t.Run(name+"/"+content+"/cbor", func(t *testing.T) {
				checkCBOR(t, golden.Read(t, "encoded", name+"."+content+".cbor"), value)
			})
		}
	}
}

// checkCBOR checks that a value is encoded to the wanted bytes, and that these are decoded to the value without
// unknown fields.
func checkCBOR(t *testing.T, want []byte, value any) {
	t.Helper()
	strictDecMode, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := newGossipEncMode(t).Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoded as\n%q\nwant, as by the earlier build\n%q", got, want)
	}
	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := strictDecMode.Unmarshal(want, decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("decoded as\n%+v\nwant\n%+v", decoded, value)
	}
}

// A voter that opens a log file of the earlier build must restore the state that a voter of the earlier build had,
// and must encode its snapshot and entries to the same bytes.
func TestVoterGoesOnFromAFileOfTheBuildBefore(t *testing.T) {
	for _, name := range []string{"i0", "i1", "i2"} {
		t.Run(name, func(t *testing.T) {
			store := openStoredCopy(t, name)
			storedLog := loadStoredLog(t, store)
			node, err := New(0, Settings{
				Self:         name,
				Voters:       []string{"i0", "i1", "i2"},
				Maintenance:  testSettings,
				TickInterval: monotime.Second / 20,
			}, 7, store)
			if err != nil {
				t.Fatal(err)
			}
			if restored := encodeNodeState(t, node); !bytes.Equal(restored, storedLog.Snapshot.GetData()) {
				t.Errorf("the snapshot is encoded as\n%s\nwant\n%s", restored, storedLog.Snapshot.GetData())
			}
			node.Tick(0)
			got := encodeNodeState(t, node)
			want := golden.ReadLine(t, "stored", "voter-"+name+".state.json")
			if !bytes.Equal(got, want) {
				t.Errorf("the state is\n%s\nwant, as by the earlier build\n%s", got, want)
			}
		})
	}
}

// loadStoredLog returns the log of a store. It checks that the log contains entries, that this build encodes them
// in the same form, and that the snapshot is later than the bootstrap snapshot.
func loadStoredLog(t *testing.T, store *BoltStore) StoredLog {
	t.Helper()
	storedLog, empty, err := store.Load()
	if err != nil || empty {
		t.Fatalf("empty %v, %v", empty, err)
	}
	if len(storedLog.Entries) == 0 || storedLog.Snapshot.GetMetadata().GetIndex() < 2 {
		t.Fatal("the file has no entries, or no snapshot after the bootstrap snapshot")
	}
	for _, entry := range storedLog.Entries {
		checkEntryEncoding(t, entry)
	}
	return storedLog
}

// encodeNodeState returns the JSON form of a node's replicated state.
func encodeNodeState(t *testing.T, node *Node) []byte {
	t.Helper()
	encodedState, err := json.Marshal(node.State())
	if err != nil {
		t.Fatal(err)
	}
	return encodedState
}

// checkEntryEncoding checks that this build encodes an entry of the log to the same bytes as the earlier build.
func checkEntryEncoding(t *testing.T, raftEntry *raftpb.Entry) {
	t.Helper()
	if len(raftEntry.GetData()) == 0 {
		return // raft appends an entry without data at the start of a term
	}
	var entry logEntry
	golden.DecodeJSON(t, raftEntry.GetData(), &entry)
	if encodedEntry, err := json.Marshal(entry); err != nil || !bytes.Equal(encodedEntry, raftEntry.GetData()) {
		t.Errorf("entry %d is encoded as\n%s\nwant\n%s", raftEntry.GetIndex(), encodedEntry, raftEntry.GetData())
	}
}

// Three voters that open log files of the earlier build must elect a leader and complete the maintenance that was
// requested under that build.
func TestFleetGoesOnFromFilesOfTheBuildBefore(t *testing.T) {
	c := newCluster(t, 1, 4)
	for _, inst := range c.instances[:3] {
		c.incarnations++
		node, err := New(inst.localTime(c.now), c.nodeSettings(inst), c.incarnations, openStoredCopy(t, inst.name))
		if err != nil {
			t.Fatal(err)
		}
		c.attachNode(inst, node)
	}
	c.runFor(5e6)
	if c.mostApplied == nil {
		t.Fatal("no voter has a log")
	}
	requests := c.mostApplied.node.State().Requests
	if requests["night"] == nil || requests["disk"] == nil {
		t.Fatal("the requests that the earlier build stored are missing")
	}
	releaseHold := maintenance.Command{Hold: &maintenance.Hold{Request: "disk"}}
	if reply := c.submit("i3", releaseHold); reply.Error != "" {
		t.Fatal(reply.Error)
	}
	if remaining := c.completeMaintenance(120e6); remaining != 0 {
		t.Errorf("%d machines remain in the plan: %+v", remaining, c.mostApplied.node.State().Machines)
	}
}

// openStoredCopy opens a copy of the log file of a voter of the earlier build.
func openStoredCopy(tb testing.TB, name string) *BoltStore {
	tb.Helper()
	content := golden.Read(tb, "stored", "voter-"+name+".bolt")
	path := filepath.Join(tb.TempDir(), "log")
	if err := os.WriteFile(path, content, 0o600); err != nil {
		tb.Fatal(err)
	}
	store, err := OpenBoltStore(path)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { closeBoltStore(tb, store) })
	return store
}
