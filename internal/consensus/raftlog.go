package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"log"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// This file handles raft's output: it stores entries, sends messages, applies committed entries and takes
// snapshots.

// Parameters of raft; a tick is Settings.TickInterval.
const (
	electionTicks       = 10        // minimum number of ticks without a message from the leader before an election
	heartbeatTicks      = 2         // ticks between two heartbeats of the leader
	maxRaftMessageBytes = 256 << 10 // maximum size of the entries in one raft message
	maxInflightMessages = 64        // unacknowledged messages with entries that the leader sends to a voter
)

// startRaft starts raft from a stored log. If that fails, this instance stops voting.
func (n *Node) startRaft(storedLog StoredLog) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil { // see recoverRaftPanic
			err = fmt.Errorf("%w: %v", ErrLogInconsistent, panicValue)
		}
		if err != nil {
			n.stopVoting(err)
		}
	}()
	if err := n.loadRaftStorage(storedLog); err != nil {
		return err
	}
	rawNode, err := raft.NewRawNode(&raft.Config{
		ID:              n.raftID,
		ElectionTick:    electionTicks,
		HeartbeatTick:   heartbeatTicks,
		Storage:         n.raftStorage,
		Applied:         n.appliedIndex,
		MaxSizePerMsg:   maxRaftMessageBytes,
		MaxInflightMsgs: maxInflightMessages,
		CheckQuorum:     true,
		PreVote:         true,
		Logger:          &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)},
	})
	if err != nil {
		return fmt.Errorf("consensus: start raft: %w", err)
	}
	n.rawNode = rawNode
	return nil
}

// loadRaftStorage loads a stored log into raft's memory storage, and the log's snapshot into the replicated state.
func (n *Node) loadRaftStorage(storedLog StoredLog) error {
	n.raftStorage = raft.NewMemoryStorage()
	if storedLog.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := n.raftStorage.ApplySnapshot(storedLog.Snapshot); err != nil {
			return fmt.Errorf("consensus: load the snapshot: %w", err)
		}
		if err := n.restoreSnapshot(storedLog.Snapshot); err != nil {
			return err
		}
	}
	if storedLog.HardState != nil {
		if err := n.raftStorage.SetHardState(storedLog.HardState); err != nil {
			return fmt.Errorf("consensus: load the hard state: %w", err)
		}
	}
	if err := n.raftStorage.Append(storedLog.Entries); err != nil {
		return fmt.Errorf("consensus: load the entries: %w", err)
	}
	return nil
}

// raftLeader returns the name of the leader according to this voter's raft. It is empty if raft knows no leader or
// this instance has no vote.
func (n *Node) raftLeader() string {
	if n.rawNode == nil {
		return ""
	}
	name, _ := n.voterName(n.rawNode.BasicStatus().Lead)
	return name
}

// handleReady handles raft's output (raft.Ready) in the order that raft requires: entries and votes are stored
// before the messages that depend on them are sent.
func (n *Node) handleReady(now monotime.Micros) {
	for n.rawNode != nil && n.rawNode.HasReady() {
		ready := n.rawNode.Ready()
		if err := n.persistReady(ready); err != nil {
			n.stopVoting(err)
			return
		}
		n.sendRaftMessages(ready.Messages)
		for _, entry := range ready.CommittedEntries {
			n.applyEntry(entry)
		}
		for _, readState := range ready.ReadStates {
			if sequence, ok := decodeReadContext(readState.RequestCtx); ok {
				n.grantPendingReads(now, sequence, readState.Index)
			}
		}
		n.rawNode.Advance(ready)
		n.takeSnapshot()
	}
}

// persistReady stores raft's new entries, hard state and snapshot. A snapshot that was received from another voter
// replaces the replicated state.
func (n *Node) persistReady(ready raft.Ready) error {
	if err := n.logStore.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		return err
	}
	// MemoryStorage returns errors only for conditions that raft has excluded before.
	if ready.Snapshot.GetMetadata().GetIndex() > 0 {
		_ = n.raftStorage.ApplySnapshot(ready.Snapshot)
		if err := n.restoreSnapshot(ready.Snapshot); err != nil {
			return err
		}
	}
	if ready.HardState != nil {
		_ = n.raftStorage.SetHardState(ready.HardState)
	}
	_ = n.raftStorage.Append(ready.Entries)
	return nil
}

// sendRaftMessages queues raft's messages to the other voters.
func (n *Node) sendRaftMessages(messages []*raftpb.Message) {
	for _, m := range messages {
		encoded, err := proto.Marshal(m)
		to, ok := n.voterName(m.GetTo())
		if err != nil || !ok {
			continue
		}
		n.outgoing = append(n.outgoing, Outgoing{To: to, Message: Message{Raft: encoded}})
		if m.GetType() == raftpb.MsgSnap {
			n.rawNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // raft sends a lost snapshot again
		}
	}
}

// applyEntry applies a committed entry to the replicated state, unless it was applied before. If an operator's call
// has proposed the entry at this instance, applyEntry replies to that call.
func (n *Node) applyEntry(committed *raftpb.Entry) {
	if committed.GetIndex() <= n.appliedIndex {
		return
	}
	n.appliedIndex = committed.GetIndex()
	if committed.GetType() != raftpb.EntryNormal || len(committed.GetData()) == 0 {
		return
	}
	var entry logEntry
	if json.Unmarshal(committed.GetData(), &entry) != nil {
		return // undecodable entries are skipped in the same way by all replicas
	}
	result, err := n.state.Apply(entry.Command)
	call, ok := n.pendingCalls[entry.ProposalID]
	if !ok {
		return
	}
	delete(n.pendingCalls, entry.ProposalID)
	reply := OperatorReply{Number: call.requestNumber, Result: result}
	if err != nil {
		reply.Error = err.Error()
	}
	n.send(call.callingInstance, Message{OperatorReply: &reply})
}

// restoreSnapshot replaces the replicated state with the state in a snapshot.
func (n *Node) restoreSnapshot(snapshot *raftpb.Snapshot) error {
	n.appliedIndex = snapshot.GetMetadata().GetIndex()
	n.snapshotIndex = n.appliedIndex
	if len(snapshot.GetData()) == 0 {
		return nil
	}
	state, err := maintenance.NewState(n.settings.Maintenance)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(snapshot.GetData(), state); err != nil {
		return fmt.Errorf("consensus: decode the snapshot at index %d: %w", n.appliedIndex, err)
	}
	state.UseSettings(n.settings.Maintenance)
	n.state = state
	return nil
}

const (
	// snapshotInterval is the number of entries that are applied between two snapshots.
	snapshotInterval = 500
	// retainedEntries is the number of entries that remain in the log after a snapshot. A voter that lags behind by
	// fewer entries receives entries instead of a snapshot.
	retainedEntries = snapshotInterval / 2
)

// takeSnapshot stores a snapshot and compacts the log if at least snapshotInterval entries were applied since the
// previous snapshot.
func (n *Node) takeSnapshot() {
	if n.appliedIndex-n.snapshotIndex < snapshotInterval {
		return
	}
	encodedState, err := json.Marshal(n.state)
	if err != nil {
		return
	}
	snapshot, err := n.raftStorage.CreateSnapshot(n.appliedIndex, n.confState(), encodedState)
	if err != nil {
		return
	}
	if err := n.logStore.Save(nil, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.snapshotIndex = n.appliedIndex
	if n.appliedIndex > retainedEntries {
		_ = n.raftStorage.Compact(n.appliedIndex - retainedEntries) // fails only if these entries were compacted before
	}
}

// readContextLength is the length of the context of a ReadIndex round, in bytes.
const readContextLength = 8

// encodeReadContext returns the context with which raft identifies a ReadIndex round: the round's sequence number
// in big endian.
func encodeReadContext(sequence uint64) []byte { return binary.BigEndian.AppendUint64(nil, sequence) }

// decodeReadContext returns the sequence number of the ReadIndex round with the given context. ok is false if the
// context is invalid.
func decodeReadContext(context []byte) (sequence uint64, ok bool) {
	if len(context) != readContextLength {
		return 0, false
	}
	return binary.BigEndian.Uint64(context), true
}
