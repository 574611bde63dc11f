package consensus

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

type readRequest struct {
	from   string
	report maintenance.Report
	number uint64 // of the read that it waits for
}

// read answers the questions of a round: this instance has led since they came.
func (n *Node) answerReads(now monotime.Micros, number, index uint64) {
	if number != n.readSequence || n.coordinator == nil || n.appliedIndex < index {
		return
	}
	questions := n.pendingReads
	n.pendingReads = nil
	order := n.state.Plan()
	for _, q := range questions {
		if n.state.Instances[q.from] != q.report.Incarnation {
			// It is told nothing before all who may lead know that it is there.
			n.proposeOnce("join/"+q.from, now, maintenance.Command{Join: &maintenance.Instance{Name: q.from, Incarnation: q.report.Incarnation}})
			continue
		}
		t := n.coordinator.Grant(now, q.from, q.report, order)
		n.send(now, q.from, Message{Grant: &t})
	}
}
