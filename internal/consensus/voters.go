package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// This file decides which instances have a vote, and how the fleet's first log is started. The voters are those of the
// settings; they do not change while the fleet runs.

// ErrLogInconsistent is wrapped by the error of a voter whose log raft rejects, such as a log restored from an old
// copy.
var ErrLogInconsistent = errors.New("the raft log is inconsistent")

// raftIDOf returns the raft id of the voter at an index of Settings.Voters. Raft's ids start at 1.
func raftIDOf(index int) uint64 { return uint64(index + 1) }

// voterName returns the name of the voter with a raft id; ok is false if there is none.
func (n *Node) voterName(raftID uint64) (name string, ok bool) {
	if raftID == 0 || int(raftID) > len(n.settings.Voters) {
		return "", false
	}
	return n.settings.Voters[raftID-1], true
}

// confState returns raft's configuration: all voters.
func (n *Node) confState() *raftpb.ConfState {
	state := &raftpb.ConfState{}
	for i := range n.settings.Voters {
		state.Voters = append(state.Voters, raftIDOf(i))
	}
	return state
}

// startVoter loads the log and starts raft. A voter without a log has no vote until the log is bootstrapped.
func (n *Node) startVoter(raftID uint64) error {
	n.raftID = raftID
	stored, empty, err := n.store.Load()
	if err != nil {
		n.voterErr = err
		return fmt.Errorf("consensus: load the raft log: %w", err)
	}
	if empty {
		n.logMissing = true
		return nil
	}
	return n.startRaft(stored)
}

// stopVoting ends this instance's part as a voter. It continues as an instance without a vote.
func (n *Node) stopVoting(err error) {
	n.voterErr = err
	n.rawNode = nil
	n.term = nil
}

// VoterError returns why this voter has stopped voting; nil if it has not, or is no voter.
func (n *Node) VoterError() error { return n.voterErr }

// LogMissing reports whether this voter has no log. If the fleet has one, this voter has lost its own. It then has no
// vote, since its earlier votes and acknowledgements are unknown.
func (n *Node) LogMissing() bool { return n.logMissing }

// recoverRaftPanic must be deferred. It turns a panic, by which raft rejects its log, into the end of this voter's vote
// instead of the process.
func (n *Node) recoverRaftPanic() {
	if panicValue := recover(); panicValue != nil {
		n.stopVoting(fmt.Errorf("%w: %v", ErrLogInconsistent, panicValue))
	}
}

// tickVoter advances raft's clock by a tick. A voter without a log announces that instead.
func (n *Node) tickVoter() {
	switch {
	case n.logMissing:
		n.broadcast(Message{NoLog: true})
	case n.rawNode != nil:
		n.rawNode.Tick()
	}
}

// handleNoLog records that another voter has no log. The log is bootstrapped once all voters are known to have none.
func (n *Node) handleNoLog(from string) {
	switch {
	case n.logMissing:
		n.votersWithoutLog[from] = true
		if len(n.votersWithoutLog) == len(n.settings.Voters)-1 {
			n.bootstrap()
		}
	case n.hasBootstrapped && !n.votersWithRaftMessages[from]:
		// The other voter may not know yet that this one had no log either, and cannot bootstrap without that. If it
		// has sent raft messages since, it has a log, or has lost it.
		n.send(from, Message{NoLog: true})
	}
}

// bootstrap starts the fleet's log with a snapshot at index and term 1 that is the same at all voters.
func (n *Node) bootstrap() {
	encodedState, err := json.Marshal(n.state)
	if err != nil {
		panic(err) // JSON can encode each field of the state
	}
	snapshot := &raftpb.Snapshot{
		Data:     encodedState,
		Metadata: &raftpb.SnapshotMetadata{ConfState: n.confState(), Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	hardState := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	if err := n.store.Save(hardState, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.logMissing = false
	n.hasBootstrapped = true
	_ = n.startRaft(StoredLog{HardState: hardState, Snapshot: snapshot}) // VoterError has the error
}

// stepRaft passes a message of another voter to raft. Messages that are not from a voter to this one are ignored.
func (n *Node) stepRaft(from string, encoded []byte) {
	var m raftpb.Message
	if n.rawNode == nil || proto.Unmarshal(encoded, &m) != nil || m.GetTo() != n.raftID {
		return
	}
	sender := slices.Index(n.settings.Voters, from)
	if sender < 0 || m.GetFrom() != raftIDOf(sender) {
		return
	}
	n.votersWithRaftMessages[from] = true
	_ = n.rawNode.Step(&m) // raft returns errors for messages that arrive too late
}
