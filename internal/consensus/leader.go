package consensus

import (
	"encoding/json"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// leaderTerm is the state of the leader during one raft term. A new term starts with a new leaderTerm.
type leaderTerm struct {
	raftTerm        uint64 // number of the term
	coordinator     *maintenance.Coordinator
	startStateTime  monotime.Micros            // time of the replicated state's clock at the start of the term
	startLocalTime  monotime.Micros            // time of the local clock at the start of the term
	proposalRetryAt map[string]monotime.Micros // when a proposal that was not applied may be repeated, by its key

	pendingReads []readRequest   // reports that wait for the ReadIndex round in progress
	queuedReads  []readRequest   // reports that wait for the next ReadIndex round
	readRetryAt  monotime.Micros // when the ReadIndex round in progress is repeated
}

// isLeader reports whether raft at this instance is in the leader state. Another voter may have been elected
// without this instance's knowledge.
func (n *Node) isLeader() bool {
	return n.rawNode != nil && n.rawNode.BasicStatus().RaftState == raft.StateLeader
}

// runLeader does the leader's pending work: it proposes commands and runs ReadIndex rounds. If this instance does
// not lead, runLeader discards the state of its latest term as the leader.
func (n *Node) runLeader(now monotime.Micros) {
	if !n.isLeader() {
		n.term = nil
		clear(n.pendingCalls)
		return
	}
	if !n.enterTerm(now) {
		return
	}
	n.proposeProgress(now)
	n.proposeFleetStatus(now)
	n.proposeClock(now)
	n.runReadIndex(now)
}

// enterTerm creates the state of the leader at the start of a term, and reports whether this instance may act as
// the leader. A new leader may not act before it has applied an entry of its own term, which implies that it has
// applied all entries that were committed in earlier terms.
func (n *Node) enterTerm(now monotime.Micros) bool {
	raftTerm := n.rawNode.BasicStatus().GetTerm()
	if n.term != nil && n.term.raftTerm == raftTerm {
		return true
	}
	if appliedTerm, err := n.raftStorage.Term(n.appliedIndex); err != nil || appliedTerm != raftTerm {
		return false
	}
	n.term = &leaderTerm{
		raftTerm:        raftTerm,
		coordinator:     maintenance.NewCoordinator(now, n.settings.Maintenance),
		startStateTime:  n.state.Now,
		startLocalTime:  now,
		proposalRetryAt: map[string]monotime.Micros{},
	}
	return true
}

// stateClock returns the present time of the replicated state's clock. During a term this clock advances with the
// leader's local clock, and it never runs backward.
func (n *Node) stateClock(now monotime.Micros) monotime.Micros {
	return max(n.state.Now, n.term.startStateTime+now-n.term.startLocalTime)
}

// proposeProgress proposes the phase changes of machines that follow from the instances' reports: an announced
// machine may be drained once all instances have acknowledged the announcement, and a draining machine is drained
// once no instance can still use it.
func (n *Node) proposeProgress(now monotime.Micros) {
	progress := n.term.coordinator.Progress(now, n.state)
	n.waitReasons = progress.WaitReasons
	for _, name := range progress.Acknowledged {
		n.proposeOnce(now, "acknowledged/"+name, maintenance.Command{Acknowledged: []string{name}})
	}
	for _, name := range progress.Drained {
		n.proposeOnce(now, "drained/"+name, maintenance.Command{Drained: []string{name}})
	}
}

// fleetStatusInterval is the time between two comparisons of the fleet's status with the replicated state.
const fleetStatusInterval = monotime.Second / 2

// proposeFleetStatus proposes the fleet's status if it differs from the status in the replicated state.
func (n *Node) proposeFleetStatus(now monotime.Micros) {
	if n.fleetStatus == nil || now < n.nextFleetStatusAt {
		return
	}
	n.nextFleetStatusAt = now + fleetStatusInterval
	status := n.fleetStatus()
	if !status.Equal(n.state.Fleet) {
		n.proposeOnce(now, "fleet status", maintenance.Command{FleetStatus: &status})
	}
}

// clockEntryInterval is the time between two clock entries while the plan contains any machine.
const clockEntryInterval = monotime.Second

// proposeClock proposes a clock entry, a command that contains only a time. Applying it advances the replicated
// state's clock, so that machines become overdue or finish their warm-up even if no other command is proposed.
func (n *Node) proposeClock(now monotime.Micros) {
	if now < n.nextClockEntryAt || len(n.state.Machines) == 0 {
		return
	}
	n.nextClockEntryAt = now + clockEntryInterval
	n.propose(now, maintenance.Command{})
}

// proposalRetryDelay is the time after which a proposal that has not been applied is repeated.
const proposalRetryDelay = monotime.Second

// proposeOnce proposes a command, unless a command with the same key was proposed less than proposalRetryDelay ago:
// that proposal may still be committed.
func (n *Node) proposeOnce(now monotime.Micros, key string, command maintenance.Command) {
	if now < n.term.proposalRetryAt[key] {
		return
	}
	n.term.proposalRetryAt[key] = now + proposalRetryDelay
	n.propose(now, command)
}

// propose proposes a command for the log and returns the id of the proposal. ok is false if raft rejects the
// proposal, for example because this instance no longer leads.
func (n *Node) propose(now monotime.Micros, command maintenance.Command) (proposalID uint64, ok bool) {
	command.Time = n.stateClock(now)
	n.lastNumber++
	entry, err := json.Marshal(logEntry{ProposalID: n.lastNumber, Command: command})
	if err != nil {
		panic(err) // unreachable: all fields of a command can be encoded as JSON
	}
	return n.lastNumber, n.rawNode.Propose(entry) == nil
}
