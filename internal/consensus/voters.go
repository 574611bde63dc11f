package consensus

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// This file holds the membership of voters: which instance has a vote, and how the fleet's log is started. The voters
// are those of the settings; they do not change while the fleet runs.

// ErrLogInconsistent is wrapped by the error of a voter whose log raft rejects, such as one restored from an older
// copy.
var ErrLogInconsistent = errors.New("the raft log is inconsistent")

// raftIDOf returns the raft id of the voter at an index of Settings.Voters. 0 is no valid id in raft.
func raftIDOf(index int) uint64 { return uint64(index + 1) }

// voterName returns the name of the voter of a raft id; ok is false if there is none.
func (n *Node) voterName(raftID uint64) (name string, ok bool) {
	if raftID == 0 || int(raftID) > len(n.settings.Voters) {
		return "", false
	}
	return n.settings.Voters[raftID-1], true
}

func (n *Node) confState() *raftpb.ConfState {
	voters := &raftpb.ConfState{}
	for i := range n.settings.Voters {
		voters.Voters = append(voters.Voters, raftIDOf(i))
	}
	return voters
}

// startVoter loads the log and has this instance vote, unless nothing was ever stored.
func (n *Node) startVoter(raftID uint64) error {
	n.raftID = raftID
	stored, empty, err := n.store.Load()
	if err != nil {
		n.voterErr = err
		return fmt.Errorf("consensus: load the raft log: %w", err)
	}
	if empty {
		n.noLog = true
		return nil
	}
	return n.startRaft(stored)
}

// stopVoting ends this instance's part as a voter. It goes on as any other instance.
func (n *Node) stopVoting(err error) {
	n.voterErr = err
	n.rawNode = nil
	n.term = nil
}

// VoterError returns why this voter has stopped voting; nil if it has not, or is no voter.
func (n *Node) VoterError() error { return n.voterErr }

// LogMissing reports whether this voter has no log. Where the fleet has one, the voter has lost its own: it has no
// vote, since it does not know what it has voted for and acknowledged before.
func (n *Node) LogMissing() bool { return n.noLog }

// recoverRaftPanic, deferred, has a panic by which raft rejects its log stop this voter and not the process.
func (n *Node) recoverRaftPanic() {
	if p := recover(); p != nil {
		n.stopVoting(fmt.Errorf("%w: %v", ErrLogInconsistent, p))
	}
}

// tickVoter has a tick of raft's clock pass.
func (n *Node) tickVoter() {
	switch {
	case n.noLog:
		n.broadcast(Message{NoLog: true})
	case n.rawNode != nil:
		n.rawNode.Tick()
	}
}

// handleNoLog records that another voter has no log. The log is bootstrapped once no voter has one.
func (n *Node) handleNoLog(from string) {
	switch {
	case n.noLog:
		n.votersWithoutLog[from] = true
		if len(n.votersWithoutLog) == len(n.settings.Voters)-1 {
			n.bootstrap()
		}
	case n.bootstrapped && !n.seenVoters[from]:
		// It may not have received yet that this voter had no log either. If it has taken part since, some voter has
		// seen it.
		n.send(from, Message{NoLog: true})
	}
}

// bootstrap starts the fleet's log by a snapshot that all voters write alike.
func (n *Node) bootstrap() {
	data, err := json.Marshal(n.state)
	if err != nil {
		panic(err) // the state holds nothing that JSON cannot encode
	}
	snapshot := &raftpb.Snapshot{
		Data:     data,
		Metadata: &raftpb.SnapshotMetadata{ConfState: n.confState(), Index: proto.Uint64(1), Term: proto.Uint64(1)},
	}
	hard := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	if err := n.store.Save(hard, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.noLog = false
	n.bootstrapped = true
	_ = n.startRaft(StoredLog{HardState: hard, Snapshot: snapshot}) // VoterError has the error
}

// stepRaft hands raft a message from another voter.
func (n *Node) stepRaft(from string, encoded []byte) {
	var m raftpb.Message
	if n.rawNode == nil || proto.Unmarshal(encoded, &m) != nil || m.GetTo() != n.raftID {
		return
	}
	sender := slices.Index(n.settings.Voters, from)
	if sender < 0 || m.GetFrom() != raftIDOf(sender) {
		return
	}
	n.seenVoters[from] = true
	_ = n.rawNode.Step(&m) // raft's errors are about messages that come too late
}
