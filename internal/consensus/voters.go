package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// This file decides whether this instance has a vote, and creates the fleet's first log. The set of voters is fixed
// by the settings and does not change while the fleet runs.

// ErrLogInconsistent is wrapped by the error of a voter whose log raft rejects. An example is a log that was
// restored from an old backup.
var ErrLogInconsistent = errors.New("the raft log is inconsistent")

// raftIDOf returns the raft id of the voter at an index of Settings.Voters. Raft ids start at 1.
func raftIDOf(index int) uint64 { return uint64(index + 1) }

// voterName returns the name of the voter with the given raft id. ok is false if no voter has this id.
func (n *Node) voterName(raftID uint64) (name string, ok bool) {
	if raftID == 0 || int(raftID) > len(n.settings.Voters) {
		return "", false
	}
	return n.settings.Voters[raftID-1], true
}

// confState returns raft's cluster configuration, which contains all voters of the settings.
func (n *Node) confState() *raftpb.ConfState {
	state := &raftpb.ConfState{}
	for i := range n.settings.Voters {
		state.Voters = append(state.Voters, raftIDOf(i))
	}
	return state
}

// startVoter loads the stored log and starts raft. A voter without a stored log has no vote until the log is
// bootstrapped.
func (n *Node) startVoter(raftID uint64) error {
	n.raftID = raftID
	storedLog, empty, err := n.logStore.Load()
	if err != nil {
		n.voterErr = err
		return fmt.Errorf("consensus: load the raft log: %w", err)
	}
	if empty {
		n.logMissing = true
		return nil
	}
	return n.startRaft(storedLog)
}

// stopVoting ends the participation of this instance in raft and records the reason. The instance continues to
// report and to apply the plan, as an instance that is not a voter does.
func (n *Node) stopVoting(err error) {
	n.voterErr = err
	n.rawNode = nil
	n.term = nil
}

// VoterError returns the reason why this voter has stopped voting. It is nil for a voter that votes, and for an
// instance that is not a voter.
func (n *Node) VoterError() error { return n.voterErr }

// LogMissing reports whether this voter has no stored log. If other voters have one, this voter has lost its own.
// It then gets no vote, because its earlier votes and acknowledgements are unknown.
func (n *Node) LogMissing() bool { return n.logMissing }

// recoverRaftPanic must be called by defer. Raft panics if it finds its log inconsistent. recoverRaftPanic recovers
// from that, so that only the vote of this instance ends and not its process.
func (n *Node) recoverRaftPanic() {
	if panicValue := recover(); panicValue != nil {
		n.stopVoting(fmt.Errorf("%w: %v", ErrLogInconsistent, panicValue))
	}
}

// tickVoter advances raft's clock by one tick. A voter without a log has no raft clock, and sends the other voters
// a NoLog message at each tick instead.
func (n *Node) tickVoter() {
	switch {
	case n.logMissing:
		n.broadcast(Message{NoLog: true})
	case n.rawNode != nil:
		n.rawNode.Tick()
	}
}

// handleNoLog records that another voter has no log. If no voter has a log, it creates the fleet's first log.
func (n *Node) handleNoLog(from string) {
	switch {
	case n.logMissing:
		n.votersWithoutLog[from] = true
		if len(n.votersWithoutLog) == len(n.settings.Voters)-1 {
			n.bootstrap()
		}
	case n.hasBootstrapped && !n.votersWithRaftMessages[from]:
		// The other voter may not have received this voter's NoLog message, and cannot bootstrap without it. A
		// voter that has sent a raft message to this process already had a log, and must have lost it since: it
		// gets no reply, and so does not bootstrap.
		n.send(from, Message{NoLog: true})
	}
}

// bootstrap creates the fleet's first log and starts raft. The log consists of a snapshot at index 1 and term 1,
// which is identical at all voters.
func (n *Node) bootstrap() {
	encodedState, err := json.Marshal(n.state)
	if err != nil {
		panic(err) // unreachable: all fields of the state can be encoded as JSON
	}
	snapshot := &raftpb.Snapshot{
		Data:     encodedState,
		Metadata: &raftpb.SnapshotMetadata{ConfState: n.confState(), Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	hardState := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	if err := n.logStore.Save(hardState, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.logMissing = false
	n.hasBootstrapped = true
	_ = n.startRaft(StoredLog{HardState: hardState, Snapshot: snapshot}) // VoterError returns the error
}

// stepRaft passes an encoded raft message from another voter to raft. It ignores messages that cannot be decoded,
// are not addressed to this voter, or name another sender than the voter that sent them.
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
	_ = n.rawNode.Step(&m) // Step returns errors for outdated messages, which may be ignored
}
