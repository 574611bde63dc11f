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

// This file runs raft: it stores and sends what raft has ready, applies committed entries, and takes snapshots.

const (
	electionTicks       = 10 // without the leader, at least, before an election
	heartbeatTicks      = 2
	maxRaftMessageBytes = 256 << 10
	maxInflightMessages = 64
	// snapshotInterval is how many entries are applied from one snapshot to the next.
	snapshotInterval = 500
	// retainedEntries stay in the log after a snapshot: a voter that is less far behind needs no snapshot sent.
	retainedEntries = snapshotInterval / 2
)

// startRaft starts raft from a stored log. With an error this instance stops voting.
func (n *Node) startRaft(stored StoredLog) (err error) {
	defer func() {
		if p := recover(); p != nil { // see recoverRaftPanic
			err = fmt.Errorf("%w: %v", ErrLogInconsistent, p)
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

// loadRaftStorage fills raft's storage, and the state, from a stored log.
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

// raftLeader returns the name of the leader, as far as this voter knows; "" if there is none.
func (n *Node) raftLeader() string {
	if n.rawNode == nil {
		return ""
	}
	name, _ := n.voterName(n.rawNode.BasicStatus().Lead)
	return name
}

// handleReady carries out what raft has ready. What is new is stored before any other instance receives of it.
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
		for _, read := range ready.ReadStates {
			if sequence, ok := decodeReadContext(read.RequestCtx); ok {
				n.answerReads(now, sequence, read.Index)
			}
		}
		n.rawNode.Advance(ready)
		n.takeSnapshot()
	}
}

// persist stores what raft has ready, and restores the state from the snapshot that another voter has sent.
func (n *Node) persist(ready raft.Ready) error {
	if err := n.store.Save(ready.HardState, ready.Entries, ready.Snapshot); err != nil {
		return err
	}
	// Errors of the storage in memory are about what raft has checked itself.
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

// applyEntry applies a committed entry to the state. The leader answers the operator whose command it is.
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
		return // every replica skips it
	}
	answer, err := n.state.Apply(entry.Command)
	call, ok := n.proposers[entry.ProposalID]
	if !ok {
		return
	}
	delete(n.proposers, entry.ProposalID)
	reply := OperatorReply{Number: call.number, Answer: answer}
	if err != nil {
		reply.Error = err.Error()
	}
	n.send(call.from, Message{OperatorReply: &reply})
}

// restoreSnapshot sets the state to that of a snapshot.
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

// takeSnapshot stores a snapshot and shortens the log once enough entries have been applied since the last one.
func (n *Node) takeSnapshot() {
	if n.appliedIndex-n.snapshotIndex < snapshotInterval {
		return
	}
	data, err := json.Marshal(n.state)
	if err != nil {
		return
	}
	snapshot, err := n.raftStorage.CreateSnapshot(n.appliedIndex, n.confState(), data)
	if err != nil {
		return
	}
	if err := n.store.Save(nil, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.snapshotIndex = n.appliedIndex
	if n.appliedIndex > retainedEntries {
		_ = n.raftStorage.Compact(n.appliedIndex - retainedEntries) // fails only if it was compacted before
	}
}

// encodeReadContext and decodeReadContext are the form in which raft carries the number of a ReadIndex round.
func encodeReadContext(sequence uint64) []byte { return binary.BigEndian.AppendUint64(nil, sequence) }

func decodeReadContext(context []byte) (sequence uint64, ok bool) {
	if len(context) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(context), true
}
