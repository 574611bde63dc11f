package consensus

import (
	"encoding/json"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

const (
	// proposalRetry is after how long a proposal that has not been applied is made again.
	proposalRetry = monotime.Second
	// fleetStatusInterval is from one look at the fleet's status to the next.
	fleetStatusInterval = monotime.Second / 2
	// clockEntryInterval is from one clock entry to the next while a machine is in the plan.
	clockEntryInterval = monotime.Second
)

// leaderTerm is what an instance knows while it leads. Each term of leadership has its own.
type leaderTerm struct {
	number      uint64 // raft's
	coordinator *maintenance.Coordinator
	clockBase   monotime.Micros            // the state's clock as the term began,
	clockBaseAt monotime.Micros            // and the own clock then
	retryAt     map[string]monotime.Micros // when a proposal may be made again, by its key

	pendingReads []readRequest   // that wait for the ReadIndex round under way
	queuedReads  []readRequest   // that wait for the next one
	readRetryAt  monotime.Micros // when the round under way is asked for again
}

// isLeader reports whether this instance leads, as far as it knows: another may lead already.
func (n *Node) isLeader() bool {
	return n.rawNode != nil && n.rawNode.BasicStatus().RaftState == raft.StateLeader
}

// runLeader does what falls to the leader.
func (n *Node) runLeader(now monotime.Micros) {
	if !n.isLeader() {
		n.term = nil
		clear(n.proposers)
		return
	}
	if !n.enterTerm(now) {
		return
	}
	n.proposeProgress(now)
	n.proposeFleetStatus(now)
	n.proposeClock(now)
	n.runReads(now)
}

// enterTerm starts a term of leadership where raft has come to another one, and reports whether this instance may act
// as the leader: it may not before an entry of its term is applied, and with it all that was committed before.
func (n *Node) enterTerm(now monotime.Micros) bool {
	number := n.rawNode.BasicStatus().GetTerm()
	if n.term != nil && n.term.number == number {
		return true
	}
	if applied, err := n.raftStorage.Term(n.appliedIndex); err != nil || applied != number {
		return false
	}
	n.term = &leaderTerm{
		number:      number,
		coordinator: maintenance.NewCoordinator(now, n.settings.Maintenance),
		clockBase:   n.state.Now,
		clockBaseAt: now,
		retryAt:     map[string]monotime.Micros{},
	}
	return true
}

// stateClock returns the state's clock: it goes on with the leader's own.
func (n *Node) stateClock(now monotime.Micros) monotime.Micros {
	return max(n.state.Now, n.term.clockBase+now-n.term.clockBaseAt)
}

// proposeProgress proposes the phases that machines have come to by what instances report.
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

// proposeFleetStatus proposes the fleet's status where it differs from that of the state.
func (n *Node) proposeFleetStatus(now monotime.Micros) {
	if n.fleetStatus == nil || now < n.fleetStatusAt {
		return
	}
	n.fleetStatusAt = now + fleetStatusInterval
	status := n.fleetStatus()
	if !status.Equal(n.state.Fleet) {
		n.proposeOnce(now, "fleet status", maintenance.Command{FleetStatus: &status})
	}
}

// proposeClock proposes a clock entry, by which time goes on for the machines in the plan.
func (n *Node) proposeClock(now monotime.Micros) {
	if now < n.clockEntryAt || len(n.state.Machines) == 0 {
		return
	}
	n.clockEntryAt = now + clockEntryInterval
	n.propose(now, maintenance.Command{})
}

// proposeOnce proposes a command unless the proposal of the same key is younger than proposalRetry: it may be under
// way.
func (n *Node) proposeOnce(now monotime.Micros, key string, command maintenance.Command) {
	if now < n.term.retryAt[key] {
		return
	}
	n.term.retryAt[key] = now + proposalRetry
	n.propose(now, command)
}

// propose proposes a command for the log. ok is false if raft rejects it, because this instance no longer leads.
func (n *Node) propose(now monotime.Micros, command maintenance.Command) (proposalID uint64, ok bool) {
	command.Time = n.stateClock(now)
	n.lastNumber++
	entry, err := json.Marshal(logEntry{ProposalID: n.lastNumber, Command: command})
	if err != nil {
		panic(err) // a command holds nothing that JSON cannot encode
	}
	return n.lastNumber, n.rawNode.Propose(entry) == nil
}
