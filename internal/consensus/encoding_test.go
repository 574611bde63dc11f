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

// The files under testdata/encoded and testdata/stored were written by the build of commit 870f4ac, before any tag
// was set on these structures. They are what a voter of that build sends, stores and shows to operators: they are
// read here and must never be rewritten.

// encoded returns an empty value of each type that instances send each other, the log holds, or an operator's call
// carries.
func encoded() map[string]any {
	return map[string]any{
		"word":  &Message{},
		"entry": &logEntry{},
		"view":  &View{},
		"state": &maintenance.State{},
	}
}

// gossipEncoding is that of package peers, which carries the messages.
func gossipEncoding(t testing.TB) cbor.EncMode {
	t.Helper()
	mode, err := cbor.EncOptions{Sort: cbor.SortNone, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		t.Fatal(err)
	}
	return mode
}

// A stored or sent structure has the same bytes as by the build before its fields had tags, in JSON and in CBOR, and
// those bytes have every field come back.
func TestEncodedFormIsThatOfTheBuildBefore(t *testing.T) {
	strict, err := cbor.DecOptions{ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		t.Fatal(err)
	}
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
				want := golden.Read(t, "encoded", name+"."+form+".cbor")
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
			})
		}
	}
}

// A voter started on a file of the build before has the state that a voter of that build had of it, and would store
// the same bytes.
func TestVoterGoesOnFromAFileOfTheBuildBefore(t *testing.T) {
	for _, name := range []string{"i0", "i1", "i2"} {
		t.Run(name, func(t *testing.T) {
			store := openStored(t, name)
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
			node, err := New(0, Settings{
				Self:         name,
				Voters:       []string{"i0", "i1", "i2"},
				Maintenance:  testSettings,
				TickInterval: monotime.Second / 20,
			}, 7, store)
			if err != nil {
				t.Fatal(err)
			}
			restored, err := json.Marshal(node.State())
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(restored, stored.Snapshot.GetData()) {
				t.Errorf("the snapshot is encoded as\n%s\nit was\n%s", restored, stored.Snapshot.GetData())
			}
			node.Tick(0)
			got, err := json.Marshal(node.State())
			if err != nil {
				t.Fatal(err)
			}
			want := golden.ReadLine(t, "stored", "voter-"+name+".state.json")
			if !bytes.Equal(got, want) {
				t.Errorf("the state is\n%s\nby the build before it was\n%s", got, want)
			}
		})
	}
}

// checkEntryForm checks that this build encodes an entry of the log as the build before did.
func checkEntryForm(t *testing.T, stored *raftpb.Entry) {
	t.Helper()
	if len(stored.GetData()) == 0 {
		return // raft's own
	}
	var entry logEntry
	golden.DecodeJSON(t, stored.GetData(), &entry)
	if text, err := json.Marshal(entry); err != nil || !bytes.Equal(text, stored.GetData()) {
		t.Errorf("entry %d is encoded as\n%s\nit was\n%s", stored.GetIndex(), text, stored.GetData())
	}
}

// Three voters on files of the build before elect a leader and finish the work that was asked for at that build.
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
		t.Fatal("what was asked for at the build before is not known")
	}
	release := maintenance.Command{Hold: &maintenance.Hold{Request: "disk"}}
	if reply := c.submit("i3", release); reply.Error != "" {
		t.Fatal(reply.Error)
	}
	if left := c.finish(120e6); left != 0 {
		t.Errorf("%d are left: %+v", left, c.furthest.node.State().Machines)
	}
}

// openStored opens a copy of the file that a voter of the build before has left.
func openStored(t testing.TB, name string) *BoltStore {
	t.Helper()
	text := golden.Read(t, "stored", "voter-"+name+".bolt")
	path := filepath.Join(t.TempDir(), "log")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	store, err := OpenBoltStore(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeStore(t, store) })
	return store
}
