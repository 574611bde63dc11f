package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are the same for all instances of a fleet, but for Self.
type Settings struct {
	Self         string
	Voters       []string // names, an odd number of them
	Maintenance  maintenance.Settings
	TickInterval monotime.Micros // of raft's clock: a leader is missed after ten to twenty
}

// Node is one instance. Make one with New.
type Node struct {
	settings          Settings
	store             LogStore
	follower          *maintenance.Follower
	outgoing          []Outgoing
	toSelf            []Message                      // to this instance itself
	fleetStatus       func() maintenance.FleetStatus // as this instance sees them; nil sees nothing
	inFlight          func(machine string) int
	leader            string // as far as is known
	reportAt          monotime.Micros
	unansweredReports int // reports since one was answered

	// Of a voter.
	raftID           uint64
	rawNode          *raft.RawNode // nil while it keeps no log
	raftStorage      *raft.MemoryStorage
	tickAt           monotime.Micros
	noLog            bool            // it has no log: the fleet has none yet, or this voter has lost its own
	votersWithoutLog map[string]bool // voters that have none either
	bootstrapped     bool            // in this life
	seenVoters       map[string]bool // voters that have said something of the log since
	voterErr         error
	appliedIndex     uint64
	state            *maintenance.State
	snapshotIndex    uint64
	told             uint64 // version that was logged last

	// Of who leads.
	coordinator     *maintenance.Coordinator
	coordinatorTerm uint64          // in which watch began
	clockBase       monotime.Micros // the state's clock as it began,
	clockBaseAt     monotime.Micros // and when
	readSequence    uint64
	pendingReads    []readRequest // whose read index is under way
	queuedReads     []readRequest // that wait for the next
	retryAt         map[string]monotime.Micros
	proposers       map[uint64]proposer
	waitReasons     map[string]string
	fleetStatusAt   monotime.Micros
	clockEntryAt    monotime.Micros

	replies    map[uint64]OperatorReply // to this instance's own commands
	lastNumber uint64
}

// New returns an instance. disk is nil for one that is no voter. That a disk does not hold what can be gone on from is an error that is returned
// beside the instance: it obeys and reports, and has no vote.
func New(now monotime.Micros, s Settings, life uint64, disk LogStore) (*Node, error) {
	duty, err := maintenance.NewFollower(s.Maintenance, life)
	if err != nil {
		return nil, err
	}
	n := &Node{settings: s, store: disk, follower: duty, inFlight: func(string) int { return 0 }, reportAt: now, tickAt: now, votersWithoutLog: map[string]bool{}, seenVoters: map[string]bool{}, retryAt: map[string]monotime.Micros{},
		proposers: map[uint64]proposer{}, replies: map[uint64]OperatorReply{}, lastNumber: life<<20 | 1}
	if n.state, err = maintenance.NewState(s.Maintenance); err != nil {
		return nil, err
	}
	if at := slices.Index(s.Voters, s.Self); at >= 0 && disk != nil {
		n.raftID = uint64(at + 1)
		kept, blank, err := disk.Load()
		if err != nil {
			n.voterErr = err
			return n, fmt.Errorf("the order's log cannot be gone on from; this instance has no vote: %w", err)
		}
		if blank {
			n.noLog = true
			return n, nil
		}
		return n, n.startRaft(kept)
	}
	return n, nil
}

// Sees says what tells how machines stand, and what is open at one.
func (n *Node) SetSources(facts func() maintenance.FleetStatus, open func(machine string) int) {
	n.fleetStatus, n.inFlight = facts, open
}

// Duty is what this instance obeys.
func (n *Node) Follower() *maintenance.Follower { return n.follower }

// State is the order as far as this voter has applied it.
func (n *Node) State() *maintenance.State { return n.state }

// Next is when Tick has something to do.
func (n *Node) NextTick() monotime.Micros { return min(n.reportAt, n.tickAt) }

// Out returns what is to be told since it was called last.
func (n *Node) TakeOutgoing() []Outgoing {
	out := n.outgoing
	n.outgoing = nil
	return out
}

// Tick does what is due.
func (n *Node) Tick(now monotime.Micros) {
	defer n.recoverRaftPanic()
	for n.tickAt <= now {
		n.tickAt += n.settings.TickInterval
		if now-n.tickAt > 20*n.settings.TickInterval {
			n.tickAt = now + n.settings.TickInterval // it was stopped: what it missed is not made up for
		}
		switch {
		case n.noLog:
			n.broadcast(Message{NoLog: true})
		case n.rawNode != nil:
			n.rawNode.Tick()
		}
	}
	n.process(now)
	if now >= n.reportAt {
		n.sendReport(now)
		n.process(now)
	}
}

// settle carries out what has become due, also what this instance has to tell itself.
func (n *Node) process(now monotime.Micros) {
	n.runLeader(now)
	n.handleReady(now)
	for len(n.toSelf) > 0 {
		w := n.toSelf[0]
		n.toSelf = n.toSelf[1:]
		n.handle(now, n.settings.Self, w)
		n.runLeader(now)
		n.handleReady(now)
	}
}

// say tells all other voters.
func (n *Node) broadcast(w Message) {
	for _, name := range n.settings.Voters {
		if name != n.settings.Self {
			n.outgoing = append(n.outgoing, Outgoing{name, w})
		}
	}
}

// report reports to who leads, or to all voters where that is not known.
func (n *Node) sendReport(now monotime.Micros) {
	n.reportAt = now + n.settings.Maintenance.LeaseDuration/4
	if n.unansweredReports++; n.unansweredReports > 3 {
		n.leader = ""
	}
	if l := n.knownLeader(); l != "" {
		n.leader = l
	}
	r := n.follower.NextReport(now, n.inFlight)
	if n.IsLeader() {
		n.toSelf = append(n.toSelf, Message{Report: &r})
		return
	}
	for _, name := range n.settings.Voters {
		if name != n.settings.Self && (n.leader == "" || n.leader == name) {
			n.outgoing = append(n.outgoing, Outgoing{name, Message{Report: &r}})
		}
	}
}

// tell sends a word, also to itself.
func (n *Node) send(now monotime.Micros, to string, w Message) {
	if to == n.settings.Self {
		n.toSelf = append(n.toSelf, w)
		return
	}
	n.outgoing = append(n.outgoing, Outgoing{to, w})
}

// Hear takes another's word in.
func (n *Node) Receive(now monotime.Micros, from string, w Message) {
	defer n.recoverRaftPanic()
	n.handle(now, from, w)
	n.process(now)
}

func (n *Node) handle(now monotime.Micros, from string, w Message) {
	switch {
	case w.Raft != nil:
		n.stepRaft(from, w.Raft)
	case w.NoLog:
		switch {
		case n.noLog:
			n.votersWithoutLog[from] = true
			if len(n.votersWithoutLog) == len(n.settings.Voters)-1 {
				n.bootstrap()
			}
		case n.bootstrapped && !n.seenVoters[from]:
			// It has not heard that this one was blank, too. Of one that has taken part since, some voter knows.
			n.send(now, from, Message{NoLog: true})
		}
	case w.Report != nil:
		if !n.IsLeader() {
			if l := n.knownLeader(); l != "" && l != n.settings.Self {
				n.send(now, from, Message{Leader: l})
			}
			return
		}
		if n.coordinator != nil && n.coordinator.RecordReport(now, from, *w.Report) {
			n.queuedReads = append(n.queuedReads, readRequest{from: from, report: *w.Report})
		}
	case w.Grant != nil:
		n.follower.Apply(now, *w.Grant)
		n.leader, n.unansweredReports = from, 0
	case w.Leader != "":
		if n.leader != w.Leader {
			n.leader, n.reportAt = w.Leader, now
		}
	case w.OperatorRequest != nil:
		n.handleOperatorRequest(now, from, *w.OperatorRequest)
	case w.OperatorReply != nil:
		n.replies[w.OperatorReply.Number] = *w.OperatorReply
	}
}
