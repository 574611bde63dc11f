package consensus

import (
	"go.etcd.io/raft/v3/raftpb"
)

// LogStore keeps a voter's log. What Save has returned for must be there after any end of the process.
type LogStore interface {
	// Load returns what is stored; empty is true if nothing ever was.
	Load() (stored StoredLog, empty bool, err error)
	// Save stores what is new, all of it or nothing, and returns once it is durable. Entries replace stored ones from
	// the first of them on; a snapshot replaces all entries up to its index. Any of the arguments may be nil.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
}

// StoredLog is what a LogStore has.
type StoredLog struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // those after the snapshot, without a gap
}
