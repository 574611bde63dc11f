package consensus

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// This file replies to instances' reports by linearizable reads of the plan. The leader sends the reply only after
// a ReadIndex round to a majority of the voters, started after the report was received, has shown that it still
// leads.

// readRequest is a report that waits for a ReadIndex round.
type readRequest struct {
	reportingInstance string
	report            maintenance.Report
}

// handleReport queues an instance's report for the next ReadIndex round. A voter that does not lead replies with
// the leader's name.
func (n *Node) handleReport(now monotime.Micros, from string, report maintenance.Report) {
	if !n.isLeader() {
		n.sendLeader(from)
		return
	}
	if n.term != nil && n.term.coordinator.RecordReport(now, from, report) {
		n.term.queuedReads = append(n.term.queuedReads, readRequest{reportingInstance: from, report: report})
	}
}

// readRetriesPerLease is the number of times within the duration of a lease that an unfinished ReadIndex round is
// repeated, since its messages may have been lost.
const readRetriesPerLease = 8

// runReadIndex starts a ReadIndex round for the queued reports if no round is in progress, and repeats the round in
// progress once readRetryAt has passed.
func (n *Node) runReadIndex(now monotime.Micros) {
	term := n.term
	switch {
	case len(term.pendingReads) == 0 && len(term.queuedReads) > 0:
		n.readIndexSequence++
		term.pendingReads = term.queuedReads
		term.queuedReads = nil
	case len(term.pendingReads) > 0 && now >= term.readRetryAt:
	default:
		return
	}
	n.rawNode.ReadIndex(encodeReadContext(n.readIndexSequence))
	term.readRetryAt = now + n.settings.Maintenance.LeaseDuration/readRetriesPerLease
}

// grantPendingReads grants the plan to the instances whose reports wait for the ReadIndex round with the given
// sequence number. The finished round has shown that this instance has led since the reports were received. index
// is the commit index at the round's start, up to which the plan must be applied.
func (n *Node) grantPendingReads(now monotime.Micros, sequence, index uint64) {
	if sequence != n.readIndexSequence || n.term == nil || n.appliedIndex < index {
		return
	}
	requests := n.term.pendingReads
	n.term.pendingReads = nil
	plan := n.state.Plan()
	for _, request := range requests {
		instance := maintenance.Instance{Name: request.reportingInstance, Incarnation: request.report.Incarnation}
		if n.state.Instances[instance.Name] != instance.Incarnation {
			// A lease is granted only to an instance that is recorded in the log. Otherwise a later leader would
			// not know of the instance and would not wait for its acknowledgements.
			n.proposeOnce(now, "join/"+instance.Name, maintenance.Command{Join: &instance})
			continue
		}
		grant := n.term.coordinator.Grant(now, request.reportingInstance, request.report, plan)
		n.send(request.reportingInstance, Message{Grant: &grant})
	}
}
