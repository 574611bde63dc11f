package consensus

import (
	"encoding/json"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// leaderTerm is the state of the leader. Each term of leadership has its own.
type leaderTerm struct {
	raftTerm        uint64 // raft's
	coordinator     *maintenance.Coordinator
	startStateTime  monotime.Micros            // the state's clock at the start of the term
	startLocalTime  monotime.Micros            // the local clock at the start of the term
	proposalRetryAt map[string]monotime.Micros // when a proposal may be repeated, by its key

	pendingReads []readRequest   // wait for the present ReadIndex round
	queuedReads  []readRequest   // wait for the next round
	readRetryAt  monotime.Micros // when the present round is started again
}

// isLeader reports whether this instance leads, as far as it knows: another one may have been elected already.
func (n *Node) isLeader() bool {
	return n.rawNode != nil && n.rawNode.BasicStatus().RaftState == raft.StateLeader
}

// runLeader does the leader's work: it proposes commands and runs ReadIndex rounds.
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

// enterTerm starts a term of leadership if raft's term is a new one, and reports whether this instance may act as the
// leader. It may not before it has applied an entry of its own term, and with it all entries that were committed
// before.
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

// stateClock returns the time of the state's clock, which advances with the leader's local clock.
func (n *Node) stateClock(now monotime.Micros) monotime.Micros {
	return max(n.state.Now, n.term.startStateTime+now-n.term.startLocalTime)
}

// proposeProgress proposes the phases that machines have reached by the instances' reports.
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

// fleetStatusInterval is the time from one check of the fleet's status to the next.
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

// clockEntryInterval is the time from one clock entry to the next while a machine is in the plan.
const clockEntryInterval = monotime.Second

// proposeClock proposes a clock entry, which advances the state's clock: machines become overdue or warmed up by it.
func (n *Node) proposeClock(now monotime.Micros) {
	if now < n.nextClockEntryAt || len(n.state.Machines) == 0 {
		return
	}
	n.nextClockEntryAt = now + clockEntryInterval
	n.propose(now, maintenance.Command{})
}

// proposalRetryDelay is the time after which a proposal that has not been applied is repeated.
const proposalRetryDelay = monotime.Second

// proposeOnce proposes a command, unless one with the same key was proposed less than proposalRetryDelay ago and may still
// be committed.
func (n *Node) proposeOnce(now monotime.Micros, key string, command maintenance.Command) {
	if now < n.term.proposalRetryAt[key] {
		return
	}
	n.term.proposalRetryAt[key] = now + proposalRetryDelay
	n.propose(now, command)
}

// propose proposes a command for the log. ok is false if raft rejects it, because this instance no longer leads.
func (n *Node) propose(now monotime.Micros, command maintenance.Command) (proposalID uint64, ok bool) {
	command.Time = n.stateClock(now)
	n.lastNumber++
	entry, err := json.Marshal(logEntry{ProposalID: n.lastNumber, Command: command})
	if err != nil {
		panic(err) // JSON can encode each field of a command
	}
	return n.lastNumber, n.rawNode.Propose(entry) == nil
}
