package consensus

import (
	"go.etcd.io/raft/v3/raftpb"
)

// Disk keeps a voter's log. What it has said to be saved must be there after any end of the process.
type LogStore interface {
	// Load returns what was kept; blank is that nothing ever was.
	Load() (k StoredLog, blank bool, err error)
	// Save keeps what is new, all of it or nothing, and returns once it is kept.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
}

// Kept is what a Disk has.
type StoredLog struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}
