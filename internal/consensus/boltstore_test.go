package consensus

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

func entryAt(index, term uint64) *raftpb.Entry {
	return &raftpb.Entry{Index: proto.Uint64(index), Term: proto.Uint64(term), Data: []byte("x")}
}

// What was saved is there, with what another leader put in its place; what is cut or spoilt is an error.
func TestFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "order")
	f, err := OpenBoltStore(path)
	if err != nil {
		t.Fatal(err)
	}
	if _, blank, err := f.Load(); err != nil || !blank {
		t.Fatalf("a new file: blank %v, %v", blank, err)
	}
	snapshot := &raftpb.Snapshot{Data: []byte("{}"), Metadata: &raftpb.SnapshotMetadata{Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	for _, err := range []error{f.Save(&raftpb.HardState{Term: proto.Uint64(1)}, nil, snapshot),
		f.Save(nil, []*raftpb.Entry{entryAt(2, 1), entryAt(3, 1), entryAt(4, 1)}, nil), f.Save(&raftpb.HardState{Term: proto.Uint64(2)}, []*raftpb.Entry{entryAt(3, 2)}, nil)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	f.Close()
	if f, err = OpenBoltStore(path); err != nil {
		t.Fatal(err)
	}
	k, blank, err := f.Load()
	if err != nil || blank || len(k.Entries) != 2 || k.Entries[1].GetTerm() != 2 || k.HardState.GetTerm() != 2 {
		t.Fatalf("%+v, blank %v, %v", k, blank, err)
	}
	if err := f.Save(nil, []*raftpb.Entry{entryAt(6, 2)}, nil); err != nil { // 4 and 5 are missing
		t.Fatal(err)
	}
	if _, _, err := f.Load(); !errors.Is(err, ErrCorrupt) {
		t.Errorf("a hole: %v", err)
	}
	f.Close()
	if err := os.WriteFile(path, []byte("not a file of that kind"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := OpenBoltStore(path); err == nil {
		t.Error("a spoilt file is opened")
	}
}
