package consensus

import (
	"encoding/binary"
	"encoding/json"
	"fmt"

	"go.etcd.io/raft/v3"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// Leads says whether this instance leads, as far as it knows.
func (n *Node) IsLeader() bool {
	return n.rawNode != nil && n.rawNode.BasicStatus().RaftState == raft.StateLeader
}

// clock is the state's, by who leads.
func (n *Node) stateClock(now monotime.Micros) monotime.Micros {
	return max(n.state.Now, n.clockBase+now-n.clockBaseAt)
}

func (n *Node) propose(order maintenance.Command, now monotime.Micros, o *proposer) {
	order.Time = n.stateClock(now)
	n.lastNumber++
	text, err := json.Marshal(logEntry{n.lastNumber, order})
	if err != nil {
		panic(err) // of our own words
	}
	if n.rawNode.Propose(text) != nil {
		return // it leads no more
	}
	if o != nil {
		n.proposers[n.lastNumber] = *o
	}
}

// once proposes what may be under way already, once in a while.
func (n *Node) proposeOnce(key string, now monotime.Micros, order maintenance.Command) {
	if now < n.retryAt[key] {
		return
	}
	n.retryAt[key] = now + proposalRetry
	n.propose(order, now, nil)
}

// lead does what falls to who leads.
func (n *Node) runLeader(now monotime.Micros) {
	if !n.IsLeader() {
		n.coordinator, n.pendingReads, n.queuedReads = nil, nil, nil
		clear(n.proposers)
		return
	}
	status := n.rawNode.BasicStatus()
	if n.coordinator == nil || n.coordinatorTerm != status.GetTerm() {
		if at, err := n.raftStorage.Term(n.appliedIndex); err != nil || at != status.GetTerm() {
			return // what was settled before it leads is not all applied
		}
		n.coordinator, n.coordinatorTerm, n.clockBase, n.clockBaseAt = maintenance.NewCoordinator(now, n.settings.Maintenance), status.GetTerm(), n.state.Now, now
		n.pendingReads, n.queuedReads = nil, nil
		clear(n.retryAt)
	}
	progress := n.coordinator.Progress(now, n.state)
	n.waitReasons = progress.WaitReasons
	for _, name := range progress.Acknowledged {
		n.proposeOnce("known/"+name, now, maintenance.Command{Acknowledged: []string{name}})
	}
	for _, name := range progress.Drained {
		n.proposeOnce("free/"+name, now, maintenance.Command{Drained: []string{name}})
	}
	if n.fleetStatus != nil && now >= n.fleetStatusAt {
		n.fleetStatusAt = now + fleetStatusInterval
		if f := n.fleetStatus(); fmt.Sprint(f) != fmt.Sprint(n.state.Fleet) {
			n.proposeOnce("facts", now, maintenance.Command{FleetStatus: &f})
		}
	}
	if now >= n.clockEntryAt && len(n.state.Machines) > 0 {
		n.clockEntryAt = now + clockEntryInterval
		n.propose(maintenance.Command{}, now, nil) // time goes on
	}
	if len(n.pendingReads) == 0 && len(n.queuedReads) > 0 {
		n.readSequence++
		n.pendingReads, n.queuedReads = n.queuedReads, nil
		n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.readSequence))
		n.retryAt["read"] = now + n.settings.Maintenance.LeaseDuration/8
	} else if len(n.pendingReads) > 0 && now >= n.retryAt["read"] {
		n.rawNode.ReadIndex(binary.BigEndian.AppendUint64(nil, n.readSequence)) // words get lost
		n.retryAt["read"] = now + n.settings.Maintenance.LeaseDuration/8
	}
}
