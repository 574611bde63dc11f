package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

const (
	// maxMissedTicks is how many of raft's ticks are made up for after a pause of the process.
	maxMissedTicks = 20
	// reportsPerLease is how often an instance reports while a lease lasts.
	reportsPerLease = 4
	// maxUnansweredReports is how many reports may go without an answer before the leader counts as unknown.
	maxUnansweredReports = 3
)

// Settings are the same for all instances of a fleet, but for Self.
type Settings struct {
	Self         string   // the instance's name
	Voters       []string // names, an odd number of them; a voter's place in the list is its raft id, less one
	Maintenance  maintenance.Settings
	TickInterval monotime.Micros // of raft's clock: an election starts after ten to twenty ticks without the leader
}

// Node is one instance of the fleet. Make one with New. Its methods are for one goroutine at a time; after each of
// Tick, Receive, Submit and RequestView the caller sends what TakeOutgoing returns.
type Node struct {
	settings          Settings
	follower          *maintenance.Follower
	leader            string          // as far as known; "" if unknown
	reportAt          monotime.Micros // when the next report is due
	unansweredReports int
	outgoing          []Outgoing
	toSelf            []Message // messages from this instance to itself, handled by process

	// The sources of what is reported and proposed.
	fleetStatus func() maintenance.FleetStatus // nil if this instance knows nothing
	inFlight    func(machine string) int

	// Of a voter: the raft log, see raftlog.go and voters.go.
	store            LogStore
	raftID           uint64
	rawNode          *raft.RawNode // nil while this instance has no vote
	raftStorage      *raft.MemoryStorage
	tickAt           monotime.Micros // when raft's next tick is due
	voterErr         error
	noLog            bool            // nothing was ever stored: see LogMissing
	votersWithoutLog map[string]bool // other voters that have no log either
	bootstrapped     bool            // this process has started the log
	seenVoters       map[string]bool // voters that have sent a raft message to this process
	state            *maintenance.State
	appliedIndex     uint64
	snapshotIndex    uint64

	// Of the leader, see leader.go and reads.go.
	term          *leaderTerm // nil while this instance does not lead
	proposers     map[uint64]operatorCall
	waitReasons   map[string]string // what machines wait for, by name
	readSequence  uint64            // of the last ReadIndex round
	fleetStatusAt monotime.Micros   // when the fleet's status is looked at next
	clockEntryAt  monotime.Micros   // when the next clock entry is due

	// Of operators' requests at this instance, see operators.go.
	replies    map[uint64]OperatorReply
	lastNumber uint64 // of a request or a proposal
}

// New returns an instance, of which incarnation tells its process from any other of its name. store is nil for one
// that is no voter. Where the store cannot be read, or raft rejects its log, New returns the error beside an
// instance that has no vote; any other error comes without an instance.
func New(now monotime.Micros, s Settings, incarnation uint64, store LogStore) (*Node, error) {
	follower, err := maintenance.NewFollower(s.Maintenance, incarnation)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	state, err := maintenance.NewState(s.Maintenance)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	n := &Node{
		settings:         s,
		follower:         follower,
		reportAt:         now,
		inFlight:         func(string) int { return 0 },
		store:            store,
		tickAt:           now,
		votersWithoutLog: map[string]bool{},
		seenVoters:       map[string]bool{},
		state:            state,
		proposers:        map[uint64]operatorCall{},
		replies:          map[uint64]OperatorReply{},
		lastNumber:       incarnation<<20 | 1,
	}
	if i := slices.Index(s.Voters, s.Self); i >= 0 && store != nil {
		return n, n.startVoter(raftIDOf(i))
	}
	return n, nil
}

// SetSources sets what tells how machines stand, and how many requests are in flight at one. It must be called before
// the first Tick.
func (n *Node) SetSources(fleetStatus func() maintenance.FleetStatus, inFlight func(machine string) int) {
	n.fleetStatus = fleetStatus
	n.inFlight = inFlight
}

// PlanFollower returns what this instance has to apply of the plan.
func (n *Node) PlanFollower() *maintenance.Follower { return n.follower }

// State returns the plan as far as this voter has applied the log. The caller must not modify it.
func (n *Node) State() *maintenance.State { return n.state }

// NextTick returns when Tick has something to do.
func (n *Node) NextTick() monotime.Micros { return min(n.reportAt, n.tickAt) }

// TakeOutgoing returns the messages that are to be sent since it was called last.
func (n *Node) TakeOutgoing() []Outgoing {
	outgoing := n.outgoing
	n.outgoing = nil
	return outgoing
}

// Tick does the work that is due at an instant: ticks of raft's clock, reports, and what a leader proposes.
func (n *Node) Tick(now monotime.Micros) {
	defer n.recoverRaftPanic()
	for n.tickAt <= now {
		n.tickAt += n.settings.TickInterval
		if now-n.tickAt > maxMissedTicks*n.settings.TickInterval {
			n.tickAt = now + n.settings.TickInterval
		}
		n.tickVoter()
	}
	n.process(now)
	if now >= n.reportAt {
		n.sendReport(now)
		n.process(now)
	}
}

// Receive handles a message from another instance.
func (n *Node) Receive(now monotime.Micros, from string, m Message) {
	defer n.recoverRaftPanic()
	n.handle(now, from, m)
	n.process(now)
}

// process does what has become due, and handles the messages of this instance to itself.
func (n *Node) process(now monotime.Micros) {
	n.runLeader(now)
	n.handleReady(now)
	for len(n.toSelf) > 0 {
		m := n.toSelf[0]
		n.toSelf = n.toSelf[1:]
		n.handle(now, n.settings.Self, m)
		n.runLeader(now)
		n.handleReady(now)
	}
}

func (n *Node) handle(now monotime.Micros, from string, m Message) {
	switch {
	case m.Raft != nil:
		n.stepRaft(from, m.Raft)
	case m.NoLog:
		n.handleNoLog(from)
	case m.Report != nil:
		n.handleReport(now, from, *m.Report)
	case m.Grant != nil:
		n.follower.ApplyGrant(now, *m.Grant)
		n.leader = from
		n.unansweredReports = 0
	case m.Leader != "":
		n.handleLeader(now, m.Leader)
	case m.OperatorRequest != nil:
		n.handleOperatorRequest(now, from, *m.OperatorRequest)
	case m.OperatorReply != nil:
		n.replies[m.OperatorReply.Number] = *m.OperatorReply
	}
}

// handleLeader records which voter leads, and schedules a report to it at once if that has changed.
func (n *Node) handleLeader(now monotime.Micros, leader string) {
	if n.leader != leader {
		n.leader = leader
		n.reportAt = now
	}
}

// sendReport reports to the leader, or to all voters where it is not known.
func (n *Node) sendReport(now monotime.Micros) {
	n.reportAt = now + n.settings.Maintenance.LeaseDuration/reportsPerLease
	n.unansweredReports++
	if n.unansweredReports > maxUnansweredReports {
		n.leader = ""
	}
	if leader := n.raftLeader(); leader != "" {
		n.leader = leader
	}
	report := n.follower.NextReport(now, n.inFlight)
	if n.isLeader() {
		n.toSelf = append(n.toSelf, Message{Report: &report})
		return
	}
	for _, name := range n.settings.Voters {
		if name != n.settings.Self && (n.leader == "" || n.leader == name) {
			n.outgoing = append(n.outgoing, Outgoing{To: name, Message: Message{Report: &report}})
		}
	}
}

// send sends a message to an instance, which may be this one.
func (n *Node) send(to string, m Message) {
	if to == n.settings.Self {
		n.toSelf = append(n.toSelf, m)
		return
	}
	n.outgoing = append(n.outgoing, Outgoing{To: to, Message: m})
}

// broadcast sends a message to all other voters.
func (n *Node) broadcast(m Message) {
	for _, name := range n.settings.Voters {
		if name != n.settings.Self {
			n.outgoing = append(n.outgoing, Outgoing{To: name, Message: m})
		}
	}
}

// sendLeader sends an instance the name of the voter that leads, where this one knows of another.
func (n *Node) sendLeader(to string) {
	if leader := n.raftLeader(); leader != "" && leader != n.settings.Self {
		n.send(to, Message{Leader: leader})
	}
}
