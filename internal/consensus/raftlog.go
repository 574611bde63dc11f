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

// This file runs raft: it stores and sends raft's output, applies committed entries, and takes snapshots.

// Parameters of raft.
const (
	electionTicks       = 10        // ticks without the leader before an election, at least
	heartbeatTicks      = 2         // ticks from one heartbeat of the leader to the next
	maxRaftMessageBytes = 256 << 10 // of the entries in one message
	maxInflightMessages = 64        // messages with entries that the leader sends a voter without acknowledgement
)

// startRaft starts raft from a stored log. On an error this instance stops voting.
func (n *Node) startRaft(stored StoredLog) (err error) {
	defer func() {
		if panicValue := recover(); panicValue != nil { // see recoverRaftPanic
			err = fmt.Errorf("%w: %v", ErrLogInconsistent, panicValue)
		}
		if err != nil {
			n.stopVoting(err)
		}
	}()
	if err := n.loadRaftStorage(stored); err != nil {
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

// loadRaftStorage loads a stored log into raft's storage, and its snapshot into the state.
func (n *Node) loadRaftStorage(stored StoredLog) error {
	n.raftStorage = raft.NewMemoryStorage()
	if stored.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := n.raftStorage.ApplySnapshot(stored.Snapshot); err != nil {
			return fmt.Errorf("consensus: load the snapshot: %w", err)
		}
		if err := n.restoreSnapshot(stored.Snapshot); err != nil {
			return err
		}
	}
	if stored.HardState != nil {
		if err := n.raftStorage.SetHardState(stored.HardState); err != nil {
			return fmt.Errorf("consensus: load the hard state: %w", err)
		}
	}
	if err := n.raftStorage.Append(stored.Entries); err != nil {
		return fmt.Errorf("consensus: load the entries: %w", err)
	}
	return nil
}

// raftLeader returns the name of the leader that this voter's raft knows, empty if there is none.
func (n *Node) raftLeader() string {
	if n.rawNode == nil {
		return ""
	}
	name, _ := n.voterName(n.rawNode.BasicStatus().Lead)
	return name
}

// handleReady handles raft's output (raft.Ready) in the order that raft requires: entries and votes are stored before
// messages that depend on them are sent.
func (n *Node) handleReady(now monotime.Micros) {
	for n.rawNode != nil && n.rawNode.HasReady() {
		ready := n.rawNode.Ready()
		if err := n.persist(ready); err != nil {
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

// persist stores raft's new entries, hard state and snapshot, and restores the state from a snapshot of another voter.
func (n *Node) persist(ready raft.Ready) error {
	if err := n.store.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		return err
	}
	// The storage in memory returns errors only for conditions that raft has checked before.
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

// sendRaftMessages queues raft's messages to other voters.
func (n *Node) sendRaftMessages(messages []*raftpb.Message) {
	for _, m := range messages {
		encoded, err := proto.Marshal(m)
		to, ok := n.voterName(m.GetTo())
		if err != nil || !ok {
			continue
		}
		n.outgoing = append(n.outgoing, Outgoing{To: to, Message: Message{Raft: encoded}})
		if m.GetType() == raftpb.MsgSnap {
			n.rawNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // if it is lost, raft sends it again
		}
	}
}

// applyEntry applies a committed entry to the state, once. The leader replies to the operator whose command it is.
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
		return // all replicas skip it
	}
	result, err := n.state.Apply(entry.Command)
	call, ok := n.pendingCalls[entry.ProposalID]
	if !ok {
		return
	}
	delete(n.pendingCalls, entry.ProposalID)
	reply := OperatorReply{Number: call.requestNumber, Answer: result}
	if err != nil {
		reply.Error = err.Error()
	}
	n.send(call.callingInstance, Message{OperatorReply: &reply})
}

// restoreSnapshot replaces the state by the state in a snapshot.
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
	// snapshotInterval is the number of entries that are applied from one snapshot to the next.
	snapshotInterval = 500
	// retainedEntries is the number of entries that stay in the log after a snapshot. A voter that is behind by less
	// needs no snapshot.
	retainedEntries = snapshotInterval / 2
)

// takeSnapshot stores a snapshot and shortens the log, after snapshotInterval entries since the previous snapshot.
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
	if err := n.store.Save(nil, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.snapshotIndex = n.appliedIndex
	if n.appliedIndex > retainedEntries {
		_ = n.raftStorage.Compact(n.appliedIndex - retainedEntries) // fails only if the log was compacted before
	}
}

// readContextLength is the length of a ReadIndex round's context.
const readContextLength = 8

// encodeReadContext returns the context by which raft identifies a ReadIndex round: its number, in big endian.
func encodeReadContext(sequence uint64) []byte { return binary.BigEndian.AppendUint64(nil, sequence) }

// decodeReadContext returns the number of the ReadIndex round with a context; ok is false if the context is invalid.
func decodeReadContext(context []byte) (sequence uint64, ok bool) {
	if len(context) != readContextLength {
		return 0, false
	}
	return binary.BigEndian.Uint64(context), true
}
