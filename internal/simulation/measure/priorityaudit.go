package measure

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// Environment is what a run's endpoints and instances could serve by the plan.
type Environment struct {
	Capacity func(at monotime.Micros) float64            // work that all endpoints can do in a microsecond
	Serving  func(instance int, at monotime.Micros) bool // reports whether an instance accepts requests
}

// classWork is the work of a class's operations that started in a second, the part of it that was served, and their
// weight.
type classWork struct{ offered, served, weight float64 }

// priorityAudit counts work by second and class, to find how far operations of higher weight were served first.
type priorityAudit struct {
	environment Environment
	seconds     [][]classWork
}

// SetEnvironment sets what the run's endpoints and instances could serve.
func (m *Meter) SetEnvironment(environment Environment) {
	m.priorityAudit = &priorityAudit{environment: environment, seconds: make([][]classWork, len(m.seconds))}
	for i := range m.priorityAudit.seconds {
		m.priorityAudit.seconds[i] = make([]classWork, len(m.criteria.Classes))
	}
}

// operationEnded counts an operation. One that started at an instance that accepts no requests could not be served, and
// is left out.
func (audit *priorityAudit) operationEnded(operation *simclient.Operation, weight float64, onTime bool) {
	if audit == nil || !audit.environment.Serving(operation.Instance, operation.StartedAt) {
		return
	}
	totals := &audit.seconds[min(operation.StartedAt/second, monotime.Micros(len(audit.seconds)-1))][operation.Class]
	totals.offered += float64(operation.Work)
	totals.weight += weight
	if onTime {
		totals.served += float64(operation.Work)
	}
}

// figures adds two figures. of_could is the earned weight relative to the best possible: in each second the classes of
// the highest weight for their work are served first, up to the endpoints' capacity. out_of_order is the part of all
// work by which that order was violated: in each second, work of higher classes that was not served while as much work
// of lower ones was, at the division into higher and lower at which that is largest.
func (audit *priorityAudit) figures(figures map[string]float64, earned float64) {
	figures["of_could"] = 1
	figures["out_of_order"] = 0
	if audit == nil {
		return
	}
	var servable, outOfOrder, offered float64
	for i, classes := range audit.seconds {
		capacity := audit.environment.Capacity(monotime.Micros(i)*second+second/2) * float64(second)
		byPriority := slices.Clone(classes)
		slices.SortFunc(byPriority, func(a, b classWork) int {
			return cmp.Compare(b.weight*max(1, a.offered), a.weight*max(1, b.offered))
		})
		var maxViolation, unservedAbove, servedBelow float64
		for _, w := range byPriority {
			servedBelow += w.served
		}
		for _, w := range byPriority {
			servedFirst := min(capacity, w.offered)
			capacity -= servedFirst
			if w.offered > 0 {
				servable += w.weight * servedFirst / w.offered
			}
			unservedAbove += w.offered - w.served
			servedBelow -= w.served
			maxViolation = max(maxViolation, min(unservedAbove, servedBelow))
			offered += w.offered
		}
		outOfOrder += maxViolation
	}
	if servable > 0 {
		figures["of_could"] = earned / servable
	}
	if offered > 0 {
		figures["out_of_order"] = outOfOrder / offered
	}
}
