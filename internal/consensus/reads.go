package consensus

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// This file answers reports by linearizable reads: a report is answered once a ReadIndex round to a majority, started
// after the report came, has shown that this instance still leads.

// readRetriesPerLease is how often a ReadIndex round is asked for again while a lease lasts: its messages may be lost.
const readRetriesPerLease = 8

// readRequest is a report that waits for a ReadIndex round.
type readRequest struct {
	from   string
	report maintenance.Report
}

// handleReport handles an instance's report. A voter that does not lead answers with the name of the one that does.
func (n *Node) handleReport(now monotime.Micros, from string, report maintenance.Report) {
	if !n.isLeader() {
		n.sendLeader(from)
		return
	}
	if n.term != nil && n.term.coordinator.RecordReport(now, from, report) {
		n.term.queuedReads = append(n.term.queuedReads, readRequest{from: from, report: report})
	}
}

// runReads starts a ReadIndex round for the reports that wait, one at a time, and asks for it again where it takes
// long.
func (n *Node) runReads(now monotime.Micros) {
	t := n.term
	switch {
	case len(t.pendingReads) == 0 && len(t.queuedReads) > 0:
		n.readSequence++
		t.pendingReads = t.queuedReads
		t.queuedReads = nil
	case len(t.pendingReads) > 0 && now >= t.readRetryAt:
	default:
		return
	}
	n.rawNode.ReadIndex(encodeReadContext(n.readSequence))
	t.readRetryAt = now + n.settings.Maintenance.LeaseDuration/readRetriesPerLease
}

// answerReads grants the plan to the instances whose reports waited for a round, which has shown that this instance
// has led since they came. index is that of the log at the round's start.
func (n *Node) answerReads(now monotime.Micros, sequence, index uint64) {
	if sequence != n.readSequence || n.term == nil || n.appliedIndex < index {
		return
	}
	requests := n.term.pendingReads
	n.term.pendingReads = nil
	plan := n.state.Plan()
	for _, request := range requests {
		instance := maintenance.Instance{Name: request.from, Incarnation: request.report.Incarnation}
		if n.state.Instances[instance.Name] != instance.Incarnation {
			// It gets no lease before every later leader would know of it, which takes an entry in the log.
			n.proposeOnce(now, "join/"+instance.Name, maintenance.Command{Join: &instance})
			continue
		}
		grant := n.term.coordinator.Grant(now, request.from, request.report, plan)
		n.send(request.from, Message{Grant: &grant})
	}
}
