package consensus

import (
	"encoding/json"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Failed returns why this voter keeps no log any more; nil is that it does, or is none.
func (n *Node) VoterError() error { return n.voterErr }

func (n *Node) stopVoting(err error) error {
	n.voterErr, n.rawNode, n.coordinator = err, nil, nil
	return err
}

// found begins the log, once all voters have said that they have none.
func (n *Node) bootstrap() {
	voters := &raftpb.ConfState{}
	for i := range n.settings.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	text, err := json.Marshal(n.state)
	if err != nil {
		panic(err) // of our own state
	}
	snapshot := &raftpb.Snapshot{Data: text, Metadata: &raftpb.SnapshotMetadata{ConfState: voters, Index: proto.Uint64(1), Term: proto.Uint64(1)}}
	hard := &raftpb.HardState{Term: proto.Uint64(1), Vote: proto.Uint64(0), Commit: proto.Uint64(1)}
	if err := n.store.Save(hard, nil, snapshot); err != nil {
		n.stopVoting(err)
		return
	}
	n.noLog, n.bootstrapped = false, true
	n.startRaft(StoredLog{HardState: hard, Snapshot: snapshot})
}

// guard has raft's own word that its log makes no sense, which it says by a panic, be the end of this voter's part and not of the process:
// a log that was put back from an older copy is such a one.
func (n *Node) recoverRaftPanic() {
	if p := recover(); p != nil {
		n.stopVoting(fmt.Errorf("the order's log makes no sense: %v", p))
	}
}

// step hands a message to raft. A voter that has lost its log takes no part: what it voted for and what it said to have kept is not known.
func (n *Node) stepRaft(from string, text []byte) {
	var m raftpb.Message
	if proto.Unmarshal(text, &m) != nil || int(m.GetFrom()) != slices.Index(n.settings.Voters, from)+1 || m.GetFrom() == 0 || m.GetTo() != n.raftID || n.rawNode == nil {
		return
	}
	n.seenVoters[from] = true
	n.rawNode.Step(&m) // what it makes nothing of is a message of before
}

// Blank says whether this voter has no log, while others do: its disk was lost, and it has no vote.
func (n *Node) LogMissing() bool { return n.noLog }
