package consensus

import (
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// Settings configure a Node. All settings but Self must be the same at all instances of a fleet.
type Settings struct {
	// Self is this instance's name.
	Self string
	// Voters are the names of the voters, an odd number of them. The raft id of a voter is its index in Voters plus
	// one, so the order must not change.
	Voters []string
	// Maintenance configures the maintenance plan and its leases.
	Maintenance maintenance.Settings
	// TickInterval is the time between two ticks of raft's clock. A voter that has received nothing from the leader
	// for a random number of ticks, from electionTicks to twice electionTicks, starts an election.
	TickInterval monotime.Micros
}

// Node is one instance of the fleet. New creates it. Its methods must not be called concurrently. After each call
// of Tick, Receive, Submit and RequestView the caller must send the messages that TakeOutgoing returns.
type Node struct {
	settings          Settings
	follower          *maintenance.Follower // applies the plan at this instance
	leader            string                // name of the latest known leader; empty if unknown
	nextReportAt      monotime.Micros       // when the next report is due
	unansweredReports int                   // reports sent since the latest grant
	outgoing          []Outgoing            // messages to other instances that TakeOutgoing has not returned yet
	selfMessages      []Message             // messages from this instance to itself, which processPending handles

	// Functions that provide the content of reports and proposals, see SetSources.
	fleetStatus func() maintenance.FleetStatus // nil if this instance does not know the fleet's status
	inFlight    func(machine string) int       // returns the number of requests in flight at a machine

	// State of a voter and its raft log, see raftlog.go and voters.go.
	logStore               LogStore
	raftID                 uint64
	rawNode                *raft.RawNode // nil while this instance has no vote
	raftStorage            *raft.MemoryStorage
	nextTickAt             monotime.Micros    // when raft's next tick is due
	voterErr               error              // reason why this voter has stopped voting
	logMissing             bool               // the store has never contained a log, see LogMissing
	votersWithoutLog       map[string]bool    // other voters that have reported that they have no log
	hasBootstrapped        bool               // this process has created the fleet's first log
	votersWithRaftMessages map[string]bool    // voters from which this process has received a raft message
	state                  *maintenance.State // the replicated plan, with all entries up to appliedIndex applied
	appliedIndex           uint64             // index of the last applied entry
	snapshotIndex          uint64             // index of the last entry that the latest snapshot contains

	// State of the leader, see leader.go and reads.go.
	term              *leaderTerm             // nil while this instance does not lead
	pendingCalls      map[uint64]operatorCall // operators' calls that await a reply, by proposal id
	waitReasons       map[string]string       // reason why a machine does not enter its next phase, by machine name
	readIndexSequence uint64                  // number of the latest ReadIndex round
	nextFleetStatusAt monotime.Micros         // when the fleet's status is compared with the replicated state next
	nextClockEntryAt  monotime.Micros         // when the next clock entry is due

	// State of operators' requests that were submitted at this instance, see operators.go.
	receivedReplies map[uint64]OperatorReply // replies that TakeReply has not returned yet, by request number
	lastNumber      uint64                   // number of the latest request or proposal
}

// sequenceBits is the number of low bits of lastNumber that count the requests and proposals of one process. The
// bits above are the process's incarnation, so numbers of different processes of an instance differ.
const sequenceBits = 20

// New returns the Node of an instance. The incarnation must be different for each process that runs under the
// instance's name. store is nil for an instance that is not a voter. If the store cannot be read, or raft rejects
// the stored log, New returns the error together with a Node that has no vote. If the settings are invalid, New
// returns only an error.
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
		logStore:               store,
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

// SetSources sets the function that returns the fleet's status, and the function that returns the number of
// requests in flight at a machine. It must be called before the first Tick.
func (n *Node) SetSources(fleetStatus func() maintenance.FleetStatus, inFlight func(machine string) int) {
	n.fleetStatus = fleetStatus
	n.inFlight = inFlight
}

// PlanFollower returns the follower, which contains the plan that this instance must apply.
func (n *Node) PlanFollower() *maintenance.Follower { return n.follower }

// State returns the replicated plan with all entries that this voter has applied. The caller must not modify it.
func (n *Node) State() *maintenance.State { return n.state }

// NextTick returns the time at which the caller must call Tick next.
func (n *Node) NextTick() monotime.Micros { return min(n.nextReportAt, n.nextTickAt) }

// TakeOutgoing returns the messages that were queued since the previous call of TakeOutgoing.
func (n *Node) TakeOutgoing() []Outgoing {
	messages := n.outgoing
	n.outgoing = nil
	return messages
}

// maxMissedTicks is the largest number of raft ticks that Tick catches up on after a pause of the process. After a
// longer pause it skips the missed ticks: otherwise the voter would start elections for all the time that it was
// paused.
const maxMissedTicks = 20

// Tick does the work that is due at now: ticks of raft's clock, the report to the leader, and the proposals of the
// leader.
func (n *Node) Tick(now monotime.Micros) {
	defer n.recoverRaftPanic()
	for n.nextTickAt <= now {
		n.nextTickAt += n.settings.TickInterval
		if now-n.nextTickAt > maxMissedTicks*n.settings.TickInterval {
			n.nextTickAt = now + n.settings.TickInterval
		}
		n.tickVoter()
	}
	n.processPending(now)
	if now >= n.nextReportAt {
		n.sendReport(now)
		n.processPending(now)
	}
}

// Receive handles a message from another instance.
func (n *Node) Receive(now monotime.Micros, from string, m Message) {
	defer n.recoverRaftPanic()
	n.dispatch(now, from, m)
	n.processPending(now)
}

// processPending does the pending work of the leader and of raft, and then handles the messages from this instance
// to itself, including those that are queued meanwhile.
func (n *Node) processPending(now monotime.Micros) {
	n.runLeader(now)
	n.handleReady(now)
	for len(n.selfMessages) > 0 {
		m := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.dispatch(now, n.settings.Self, m)
		n.runLeader(now)
		n.handleReady(now)
	}
}

// dispatch passes a message to the handler of its type.
func (n *Node) dispatch(now monotime.Micros, from string, m Message) {
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

// handleLeader records which voter leads. If the leader has changed, the next report is due at once.
func (n *Node) handleLeader(now monotime.Micros, leader string) {
	if n.leader != leader {
		n.leader = leader
		n.nextReportAt = now
	}
}

const (
	// reportsPerLease is the number of reports that an instance sends within the duration of a lease.
	reportsPerLease = 4
	// maxUnansweredReports is the number of consecutive reports without a grant after which an instance regards the
	// leader as unknown and sends its reports to all voters.
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

// send queues a message to an instance, which may be this one.
func (n *Node) send(to string, m Message) {
	if to == n.settings.Self {
		n.selfMessages = append(n.selfMessages, m)
		return
	}
	n.outgoing = append(n.outgoing, Outgoing{To: to, Message: m})
}

// broadcast queues a message to all other voters.
func (n *Node) broadcast(m Message) {
	for _, name := range n.settings.Voters {
		if name != n.settings.Self {
			n.outgoing = append(n.outgoing, Outgoing{To: name, Message: m})
		}
	}
}

// sendLeader sends an instance the name of the leader. It sends nothing if the leader is unknown or is this
// instance.
func (n *Node) sendLeader(to string) {
	if leader := n.raftLeader(); leader != "" && leader != n.settings.Self {
		n.send(to, Message{Leader: leader})
	}
}
