package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// Settings must be the same for all instances of a fleet, except for Self.
type Settings struct {
	// Self is this instance's name.
	Self string
	// Voters are the names of the voters, an odd number. A voter's raft id is its index plus one, so the order must
	// not change.
	Voters []string
	// Maintenance configures the plan and its leases.
	Maintenance maintenance.Settings
	// TickInterval is the interval of raft's clock. An election starts after electionTicks to twice electionTicks
	// without the leader.
	TickInterval monotime.Micros
}

// Node is one instance of the fleet. Create one with New. Its methods must be called by one goroutine at a time. After
// each call of Tick, Receive, Submit and RequestView the caller sends the messages that TakeOutgoing returns.
type Node struct {
	settings          Settings
	follower          *maintenance.Follower
	leader            string          // name of the latest known leader; empty if unknown
	nextReportAt      monotime.Micros // when the next report is due
	unansweredReports int             // reports sent since the latest grant
	outgoing          []Outgoing
	selfMessages      []Message // messages from this instance to itself, handled by process

	// Sources of the content of reports and proposals.
	fleetStatus func() maintenance.FleetStatus // nil if this instance has no status
	inFlight    func(machine string) int       // number of requests in flight at a machine

	// State of a voter and its raft log, see raftlog.go and voters.go.
	store                  LogStore
	raftID                 uint64
	rawNode                *raft.RawNode // nil while this instance has no vote
	raftStorage            *raft.MemoryStorage
	nextTickAt             monotime.Micros // when raft's next tick is due
	voterErr               error           // why this voter has stopped voting
	logMissing             bool            // nothing was ever stored, see LogMissing
	votersWithoutLog       map[string]bool // other voters that have no log either
	hasBootstrapped        bool            // this process has started the log
	votersWithRaftMessages map[string]bool // voters that have sent a raft message to this process
	state                  *maintenance.State
	appliedIndex           uint64 // of the latest applied entry
	snapshotIndex          uint64 // of the latest snapshot

	// State of the leader, see leader.go and reads.go.
	term              *leaderTerm             // nil while this instance does not lead
	pendingCalls      map[uint64]operatorCall // operators' calls that await a reply, by proposal id
	waitReasons       map[string]string       // why machines do not enter their next phase, by name
	readIndexSequence uint64                  // of the latest ReadIndex round
	nextFleetStatusAt monotime.Micros         // when the fleet's status is checked next
	nextClockEntryAt  monotime.Micros         // when the next clock entry is due

	// State of operators' requests at this instance, see operators.go.
	receivedReplies map[uint64]OperatorReply // received and not taken yet, by number of the request
	lastNumber      uint64                   // of the latest request or proposal
}

// sequenceBits is the number of low bits of lastNumber that count an incarnation's requests and proposals: the
// numbers of two processes differ.
const sequenceBits = 20

// New returns an instance. incarnation must be different for each process of its name. store is nil for an instance
// that is not a voter. If the store cannot be read, or raft rejects its log, New returns the error together with an
// instance that has no vote. Any other error, of the settings, comes without an instance.
func New(now monotime.Micros, settings Settings, incarnation uint64, store LogStore) (*Node, error) {
	follower, err := maintenance.NewFollower(settings.Maintenance, incarnation)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	state, err := maintenance.NewState(settings.Maintenance)
	if err != nil {
		return nil, fmt.Errorf("consensus: %w", err)
	}
	n := &Node{
		settings:               settings,
		follower:               follower,
		nextReportAt:           now,
		inFlight:               func(string) int { return 0 },
		store:                  store,
		nextTickAt:             now,
		votersWithoutLog:       map[string]bool{},
		votersWithRaftMessages: map[string]bool{},
		state:                  state,
		pendingCalls:           map[uint64]operatorCall{},
		receivedReplies:        map[uint64]OperatorReply{},
		lastNumber:             incarnation<<sequenceBits | 1,
	}
	if voterIndex := slices.Index(settings.Voters, settings.Self); voterIndex >= 0 && store != nil {
		return n, n.startVoter(raftIDOf(voterIndex))
	}
	return n, nil
}

// SetSources sets the functions that return the fleet's status, and the number of requests in flight at a machine. It
// must be called before the first Tick.
func (n *Node) SetSources(fleetStatus func() maintenance.FleetStatus, inFlight func(machine string) int) {
	n.fleetStatus = fleetStatus
	n.inFlight = inFlight
}

// PlanFollower returns the follower, which has the plan that this instance has to apply.
func (n *Node) PlanFollower() *maintenance.Follower { return n.follower }

// State returns the replicated plan, as far as this voter has applied the log. The caller must not modify it.
func (n *Node) State() *maintenance.State { return n.state }

// NextTick returns when Tick must be called next.
func (n *Node) NextTick() monotime.Micros { return min(n.nextReportAt, n.nextTickAt) }

// TakeOutgoing returns the messages to send that were queued since its last call.
func (n *Node) TakeOutgoing() []Outgoing {
	messages := n.outgoing
	n.outgoing = nil
	return messages
}

// maxMissedTicks is the largest number of raft's ticks that are made up for after a pause of the process. After a
// longer pause raft's clock starts anew, so that the voter does not start elections for the time of its pause.
const maxMissedTicks = 20

// Tick does the work that is due at now: ticks of raft's clock, reports, and the leader's proposals.
func (n *Node) Tick(now monotime.Micros) {
	defer n.recoverRaftPanic()
	for n.nextTickAt <= now {
		n.nextTickAt += n.settings.TickInterval
		if now-n.nextTickAt > maxMissedTicks*n.settings.TickInterval {
			n.nextTickAt = now + n.settings.TickInterval
		}
		n.tickVoter()
	}
	n.process(now)
	if now >= n.nextReportAt {
		n.sendReport(now)
		n.process(now)
	}
}

// Receive handles a message of another instance.
func (n *Node) Receive(now monotime.Micros, from string, m Message) {
	defer n.recoverRaftPanic()
	n.handle(now, from, m)
	n.process(now)
}

// process does the leader's work and raft's, and then handles the messages of this instance to itself, until there are
// none.
func (n *Node) process(now monotime.Micros) {
	n.runLeader(now)
	n.handleReady(now)
	for len(n.selfMessages) > 0 {
		m := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.handle(now, n.settings.Self, m)
		n.runLeader(now)
		n.handleReady(now)
	}
}

// handle dispatches a message to its handler.
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
		n.receivedReplies[m.OperatorReply.Number] = *m.OperatorReply
	}
}

// handleLeader records the leader, and schedules a report to it at once if the leader has changed.
func (n *Node) handleLeader(now monotime.Micros, leader string) {
	if n.leader != leader {
		n.leader = leader
		n.nextReportAt = now
	}
}

const (
	// reportsPerLease is the number of reports that an instance sends within a lease's duration.
	reportsPerLease = 4
	// maxUnansweredReports is the number of reports without a grant after which the leader is unknown, and reports go
	// to all voters.
	maxUnansweredReports = 3
)

// sendReport sends a report to the leader, or to all voters if the leader is unknown.
func (n *Node) sendReport(now monotime.Micros) {
	n.nextReportAt = now + n.settings.Maintenance.LeaseDuration/reportsPerLease
	n.unansweredReports++
	if n.unansweredReports > maxUnansweredReports {
		n.leader = ""
	}
	if leader := n.raftLeader(); leader != "" {
		n.leader = leader
	}
	report := n.follower.NextReport(now, n.inFlight)
	if n.isLeader() {
		n.selfMessages = append(n.selfMessages, Message{Report: &report})
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
		n.selfMessages = append(n.selfMessages, m)
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

// sendLeader sends an instance the name of the leader, if it is known and another voter.
func (n *Node) sendLeader(to string) {
	if leader := n.raftLeader(); leader != "" && leader != n.settings.Self {
		n.send(to, Message{Leader: leader})
	}
}
