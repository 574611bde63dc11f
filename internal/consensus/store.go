package consensus

import (
	"go.etcd.io/raft/v3/raftpb"
)

// LogStore stores a voter's raft log. All data for which Save has returned must survive a crash of the process and
// of its machine.
type LogStore interface {
	// Load returns the stored log. empty is true if no log was ever stored.
	Load() (stored StoredLog, empty bool, err error)
	// Save stores its arguments atomically and returns once they are durable. The entries replace all stored
	// entries from the index of the first new entry on. A snapshot replaces all entries up to its index. Arguments
	// that are nil change nothing.
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
}

// StoredLog is the content of a LogStore.
type StoredLog struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // entries after the snapshot, with consecutive indexes
}
