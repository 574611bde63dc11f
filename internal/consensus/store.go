package consensus

import (
	"go.etcd.io/raft/v3/raftpb"
)

// LogStore stores a voter's log. Everything that Save has returned for must be there after a crash of the process or of
// its machine.
type LogStore interface {
	// Load returns the stored log; empty is true if nothing was ever stored.
	Load() (stored StoredLog, empty bool, err error)
	// Save stores its arguments, all or none, and returns once they are durable. Entries replace all stored ones from
	// the first one's index on; a snapshot replaces all entries up to its index. Any argument may be nil.
	Save(hardState *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
}

// StoredLog is the content of a LogStore.
type StoredLog struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // entries after the snapshot, without a gap
}
