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
func (m *Meter) SetEnvironment(w Environment) {
	m.priorityAudit = &priorityAudit{environment: w, seconds: make([][]classWork, len(m.seconds))}
	for i := range m.priorityAudit.seconds {
		m.priorityAudit.seconds[i] = make([]classWork, len(m.criteria.Classes))
	}
}

// operationEnded counts an operation. One that started at an instance that accepts no requests could not be served, and
// is left out.
func (x *priorityAudit) operationEnded(s *simclient.Operation, weight float64, onTime bool) {
	if x == nil || !x.environment.Serving(s.Instance, s.StartedAt) {
		return
	}
	w := &x.seconds[min(s.StartedAt/second, monotime.Micros(len(x.seconds)-1))][s.Class]
	w.offered += float64(s.Work)
	w.weight += weight
	if onTime {
		w.served += float64(s.Work)
	}
}

// figures adds two figures. of_could is the earned weight relative to the best possible: in each second the classes of
// the highest weight for their work are served first, up to the endpoints' capacity. out_of_order is the part of all
// work by which that order was violated: in each second, work of higher classes that was not served while as much work
// of lower ones was, at the division into higher and lower at which that is largest.
func (x *priorityAudit) figures(f map[string]float64, earned float64) {
	f["of_could"] = 1
	f["out_of_order"] = 0
	if x == nil {
		return
	}
	var servable, outOfOrder, all float64
	for i, classes := range x.seconds {
		capacity := x.environment.Capacity(monotime.Micros(i)*second+second/2) * float64(second)
		order := slices.Clone(classes)
		slices.SortFunc(order, func(a, b classWork) int {
			return cmp.Compare(b.weight*max(1, a.offered), a.weight*max(1, b.offered))
		})
		var worst, unservedAbove, servedBelow float64
		for _, w := range order {
			servedBelow += w.served
		}
		for _, w := range order {
			work := min(capacity, w.offered)
			capacity -= work
			if w.offered > 0 {
				servable += w.weight * work / w.offered
			}
			unservedAbove += w.offered - w.served
			servedBelow -= w.served
			worst = max(worst, min(unservedAbove, servedBelow))
			all += w.offered
		}
		outOfOrder += worst
	}
	if servable > 0 {
		f["of_could"] = earned / servable
	}
	if all > 0 {
		f["out_of_order"] = outOfOrder / all
	}
}
