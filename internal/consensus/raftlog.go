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

const (
	snapshotInterval    = 500 // entries from one snapshot to the next
	proposalRetry       = second
	fleetStatusInterval = second / 2
	clockEntryInterval  = second
)

// begin goes on from what was kept.
func (n *Node) startRaft(k StoredLog) (err error) {
	defer func() {
		if p := recover(); p != nil { // as guard has it
			err = n.stopVoting(fmt.Errorf("the order's log makes no sense: %v", p))
		}
	}()
	n.raftStorage = raft.NewMemoryStorage()
	if k.Snapshot != nil && k.Snapshot.GetMetadata().GetIndex() > 0 {
		if err := n.raftStorage.ApplySnapshot(k.Snapshot); err != nil {
			return n.stopVoting(err)
		}
		if err := n.restoreSnapshot(k.Snapshot); err != nil {
			return n.stopVoting(err)
		}
	}
	if k.HardState != nil {
		if err := n.raftStorage.SetHardState(k.HardState); err != nil {
			return n.stopVoting(err)
		}
	}
	if err := n.raftStorage.Append(k.Entries); err != nil {
		return n.stopVoting(err)
	}
	turns := 10
	raw, err := raft.NewRawNode(&raft.Config{ID: n.raftID, ElectionTick: turns, HeartbeatTick: 2, Storage: n.raftStorage, Applied: n.appliedIndex, MaxSizePerMsg: 256 << 10,
		MaxInflightMsgs: 64, CheckQuorum: true, PreVote: true, Logger: &raft.DefaultLogger{Logger: log.New(io.Discard, "", 0)}})
	if err != nil {
		return n.stopVoting(err)
	}
	n.rawNode = raw
	return nil
}

// knows returns who leads, as far as this voter knows.
func (n *Node) knownLeader() string {
	if n.rawNode == nil {
		return ""
	}
	if l := n.rawNode.BasicStatus().Lead; l > 0 && int(l) <= len(n.settings.Voters) {
		return n.settings.Voters[l-1]
	}
	return ""
}

// ready carries out what raft asks for: what is new is kept before anybody hears of it.
func (n *Node) handleReady(now monotime.Micros) {
	for n.rawNode != nil && n.rawNode.HasReady() {
		rd := n.rawNode.Ready()
		if err := n.store.Save(rd.HardState, rd.Entries, rd.Snapshot); err != nil {
			n.stopVoting(err)
			return
		}
		if rd.Snapshot.GetMetadata().GetIndex() > 0 {
			n.raftStorage.ApplySnapshot(rd.Snapshot)
			if err := n.restoreSnapshot(rd.Snapshot); err != nil {
				n.stopVoting(err)
				return
			}
		}
		if rd.HardState != nil {
			n.raftStorage.SetHardState(rd.HardState)
		}
		n.raftStorage.Append(rd.Entries)
		for _, m := range rd.Messages {
			text, err := proto.Marshal(m)
			if err != nil || m.GetTo() == 0 || int(m.GetTo()) > len(n.settings.Voters) {
				continue
			}
			n.outgoing = append(n.outgoing, Outgoing{n.settings.Voters[m.GetTo()-1], Message{Raft: text}})
			if m.GetType() == raftpb.MsgSnap {
				n.rawNode.ReportSnapshot(m.GetTo(), raft.SnapshotFinish) // one that is lost is sent again
			}
		}
		for _, e := range rd.CommittedEntries {
			n.applyEntry(now, e)
		}
		for _, s := range rd.ReadStates {
			if len(s.RequestCtx) == 8 {
				n.answerReads(now, binary.BigEndian.Uint64(s.RequestCtx), s.Index)
			}
		}
		n.rawNode.Advance(rd)
		n.takeSnapshot()
	}
}

func (n *Node) applyEntry(now monotime.Micros, e *raftpb.Entry) {
	if e.GetIndex() <= n.appliedIndex {
		return
	}
	n.appliedIndex = e.GetIndex()
	if e.GetType() != raftpb.EntryNormal || len(e.GetData()) == 0 {
		return
	}
	var x logEntry
	if json.Unmarshal(e.GetData(), &x) != nil {
		return // all pass it over alike
	}
	answer, err := n.state.Apply(x.Command)
	if o, ok := n.proposers[x.ProposalID]; ok {
		delete(n.proposers, x.ProposalID)
		r := OperatorReply{Number: o.number, Answer: answer}
		if err != nil {
			r.Error = err.Error()
		}
		n.send(now, o.from, Message{OperatorReply: &r})
	}
}

func (n *Node) restoreSnapshot(s *raftpb.Snapshot) error {
	n.appliedIndex, n.snapshotIndex = s.GetMetadata().GetIndex(), s.GetMetadata().GetIndex()
	if len(s.GetData()) == 0 {
		return nil
	}
	fresh, err := maintenance.NewState(n.settings.Maintenance)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(s.GetData(), fresh); err != nil {
		return fmt.Errorf("the order's snapshot: %w", err)
	}
	fresh.UseSettings(n.settings.Maintenance)
	n.state = fresh
	return nil
}

// compact makes a snapshot once the log is long.
func (n *Node) takeSnapshot() {
	if n.appliedIndex-n.snapshotIndex < snapshotInterval {
		return
	}
	text, err := json.Marshal(n.state)
	if err != nil {
		return
	}
	voters := &raftpb.ConfState{}
	for i := range n.settings.Voters {
		voters.Voters = append(voters.Voters, uint64(i+1))
	}
	s, err := n.raftStorage.CreateSnapshot(n.appliedIndex, voters, text)
	if err != nil {
		return
	}
	if err := n.store.Save(nil, nil, s); err != nil {
		n.stopVoting(err)
		return
	}
	n.snapshotIndex = n.appliedIndex
	if n.appliedIndex > snapshotInterval/2 {
		n.raftStorage.Compact(n.appliedIndex - snapshotInterval/2) // followers that are a little behind need no snapshot
	}
}
