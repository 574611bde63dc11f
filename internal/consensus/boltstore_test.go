package consensus

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// newEntry returns a raft entry with the given index and term.
func newEntry(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte("x")}
}

// closeBoltStore closes a store and reports an error of the close as a test failure.
func closeBoltStore(tb testing.TB, store *BoltStore) {
	tb.Helper()
	if err := store.Close(); err != nil {
		tb.Error(err)
	}
}

// Load must return the saved log after the file was closed and opened again. Entries that a later Save replaces
// must not come back. A gap between the indexes of the entries, and a file that is not a bbolt file, must be
// errors.
func TestBoltStoreLoadsWhatWasSaved(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	store, err := OpenBoltStore(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, empty, err := store.Load(); err != nil || !empty {
		t.Fatalf("a new file: empty is %v, error %v", empty, err)
	}
	snapshot := &raftpb.Snapshot{
		Data:     []byte("{}"),
		Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	for _, call := range []struct {
		term     uint64 // term of the hard state; 0 saves no hard state
		entries  []*raftpb.Entry
		snapshot *raftpb.Snapshot
	}{
		{term: 1, snapshot: snapshot},
		{entries: []*raftpb.Entry{newEntry(2, 1), newEntry(3, 1), newEntry(4, 1)}},
		{term: 2, entries: []*raftpb.Entry{newEntry(3, 2)}},
	} {
		var hardState *raftpb.HardState
		if call.term > 0 {
			hardState = &raftpb.HardState{Term: proto.Uint64(call.term)}
		}
		if err := store.Save(hardState, call.entries, call.snapshot); err != nil {
			t.Fatal(err)
		}
	}
	closeBoltStore(t, store)
	if store, err = OpenBoltStore(path); err != nil {
		t.Fatal(err)
	}
	stored, empty, err := store.Load()
	if err != nil || empty {
		t.Fatalf("a file with a log: empty is %v, error %v", empty, err)
	}
	if len(stored.Entries) != 2 || stored.Entries[1].GetTerm() != 2 || stored.HardState.GetTerm() != 2 {
		t.Fatalf("%+v", stored)
	}
	if err := store.Save(nil, []*raftpb.Entry{newEntry(6, 2)}, nil); err != nil { // 4 and 5 are missing
		t.Fatal(err)
	}
	if _, _, err := store.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a log with a gap: error %v, want ErrCorrupt", err)
	}
	closeBoltStore(t, store)
	if err := os.WriteFile(path, []byte("not a file of that kind"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenBoltStore(path); err == nil {
		t.Error("a file that is not a bbolt file is opened")
	}
}
