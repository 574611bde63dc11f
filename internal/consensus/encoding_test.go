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

// The files under testdata/encoded and testdata/stored were written by the build of commit 870f4ac, before these
// structures had tags. They have the form of what a voter of that build sends, stores and shows to operators, and must
// never be rewritten.

// encoded returns an empty value of each type that is sent between instances, stored in the log, or part of an
// operator's call.
func encoded() map[string]any {
	return map[string]any{
		"word":  &Message{},
		"entry": &logEntry{},
		"view":  &View{},
		"state": &maintenance.State{},
	}
}

// gossipEncoding returns the encoding of package peers, which sends the messages.
func gossipEncoding(tb testing.TB) cbor.EncMode {
	tb.Helper()
	mode, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		tb.Fatal(err)
	}
	return mode
}

// A stored or sent structure is encoded to the same bytes as by the build before its fields had tags, in JSON and in
// CBOR, and each field is decoded from those bytes.
func TestEncodedFormIsThatOfTheBuildBefore(t *testing.T) {
	for name, empty := range encoded() {
		for _, form := range []string{"empty", "filled"} {
			value := reflect.New(reflect.TypeOf(empty).Elem()).Interface()
			if form == "filled" {
				golden.Fill(t, value)
			}
			t.Run(name+"/"+form+"/json", func(t *testing.T) {
				golden.CheckJSON(t, golden.ReadLine(t, "encoded", name+"."+form+".json"), value)
			})
			t.Run(name+"/"+form+"/cbor", func(t *testing.T) {
				checkCBOR(t, golden.Read(t, "encoded", name+"."+form+".cbor"), value)
			})
		}
	}
}

// checkCBOR checks that a value is encoded to the wanted bytes, and decoded from them without unknown fields.
func checkCBOR(t *testing.T, want []byte, value any) {
	t.Helper()
	strict, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := gossipEncoding(t).Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoded as\n%q\nthe build before has\n%q", got, want)
	}
	back := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	if err := strict.Unmarshal(want, back); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(back, value) {
		t.Errorf("decoded as\n%+v\nit was\n%+v", back, value)
	}
}

// A voter that is started on a file of the earlier build has the state that a voter of that build had, and would store
// the same bytes.
func TestVoterGoesOnFromAFileOfTheBuildBefore(t *testing.T) {
	for _, name := range []string{"i0", "i1", "i2"} {
		t.Run(name, func(t *testing.T) {
			store := openStored(t, name)
			stored := loadStored(t, store)
			node, err := New(0, Settings{
				Self:         name,
				Voters:       []string{"i0", "i1", "i2"},
				Maintenance:  testSettings,
				TickInterval: monotime.Second / 20,
			}, 7, store)
			if err != nil {
				t.Fatal(err)
			}
			if restored := encodeState(t, node); !bytes.Equal(restored, stored.Snapshot.GetData()) {
				t.Errorf("the snapshot is encoded as\n%s\nit was\n%s", restored, stored.Snapshot.GetData())
			}
			node.Tick(0)
			got := encodeState(t, node)
			want := golden.ReadLine(t, "stored", "voter-"+name+".state.json")
			if !bytes.Equal(got, want) {
				t.Errorf("the state is\n%s\nby the build before it was\n%s", got, want)
			}
		})
	}
}

// loadStored returns the log of a store, and checks that it has entries in this build's form and a later snapshot than
// the first.
func loadStored(t *testing.T, store *BoltStore) StoredLog {
	t.Helper()
	stored, empty, err := store.Load()
	if err != nil || empty {
		t.Fatalf("empty %v, %v", empty, err)
	}
	if len(stored.Entries) == 0 || stored.Snapshot.GetMetadata().GetIndex() < 2 {
		t.Fatal("the file has no entries, or no snapshot but the first")
	}
	for _, entry := range stored.Entries {
		checkEntryForm(t, entry)
	}
	return stored
}

// encodeState returns the JSON of a node's state.
func encodeState(t *testing.T, node *Node) []byte {
	t.Helper()
	text, err := json.Marshal(node.State())
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// checkEntryForm checks that this build encodes an entry of the log to the same bytes as the earlier build.
func checkEntryForm(t *testing.T, stored *raftpb.Entry) {
	t.Helper()
	if len(stored.GetData()) == 0 {
		return // an entry of raft itself
	}
	var entry logEntry
	golden.DecodeJSON(t, stored.GetData(), &entry)
	if text, err := json.Marshal(entry); err != nil || !bytes.Equal(text, stored.GetData()) {
		t.Errorf("entry %d is encoded as\n%s\nit was\n%s", stored.GetIndex(), text, stored.GetData())
	}
}

// Three voters on files of the earlier build elect a leader and complete the maintenance that was requested there.
func TestFleetGoesOnFromFilesOfTheBuildBefore(t *testing.T) {
	c := newCluster(t, 1, 4)
	for _, p := range c.instances[:3] {
		c.incarnations++
		node, err := New(p.clock(c.now), c.settingsOf(p), c.incarnations, openStored(t, p.name))
		if err != nil {
			t.Fatal(err)
		}
		c.attach(p, node)
	}
	c.run(5e6)
	if c.furthest == nil {
		t.Fatal("no voter has a log")
	}
	requests := c.furthest.node.State().Requests
	if requests["night"] == nil || requests["disk"] == nil {
		t.Fatal("the requests of the build before are not known")
	}
	release := maintenance.Command{Hold: &maintenance.Hold{Request: "disk"}}
	if reply := c.submit("i3", release); reply.Error != "" {
		t.Fatal(reply.Error)
	}
	if left := c.finish(120e6); left != 0 {
		t.Errorf("%d are left: %+v", left, c.furthest.node.State().Machines)
	}
}

// openStored opens a copy of the file of a voter of the earlier build.
func openStored(tb testing.TB, name string) *BoltStore {
	tb.Helper()
	text := golden.Read(tb, "stored", "voter-"+name+".bolt")
	path := filepath.Join(tb.TempDir(), "log")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		tb.Fatal(err)
	}
	store, err := OpenBoltStore(path)
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { closeStore(tb, store) })
	return store
}
