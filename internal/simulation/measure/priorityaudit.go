package measure

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// Environment is what a run's endpoints and instances could do, as far as a plan says.
type Environment struct {
	Capacity func(at monotime.Micros) float64            // useful work that all endpoints can do in a microsecond
	Serving  func(instance int, at monotime.Micros) bool // whether an instance takes requests
}

// classWork is the work of a class's operations that began in a second, and what of it was served.
type classWork struct{ offered, served, weight float64 }

// priorityAudit counts work, second by second and class by class.
type priorityAudit struct {
	environment Environment
	seconds     [][]classWork
}

// SetEnvironment sets what the run's endpoints and instances could do.
func (m *Meter) SetEnvironment(w Environment) {
	m.priorityAudit = &priorityAudit{environment: w, seconds: make([][]classWork, len(m.seconds))}
	for i := range m.priorityAudit.seconds {
		m.priorityAudit.seconds[i] = make([]classWork, len(m.criteria.Classes))
	}
}

// operationEnded takes in an operation. What began at an instance that takes nothing could not be served: it is left
// out.
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

// figures adds how much was served of what could have been, and how far the order was kept. In each second at best the
// classes of most worth for their work are served as far as the endpoints' work goes. Out of order is, in a second,
// what was not served of the better classes while worse ones were, at the division into better and worse at which that
// is most.
func (x *priorityAudit) figures(f map[string]float64, earned float64) {
	f["of_could"] = 1
	f["out_of_order"] = 0
	if x == nil {
		return
	}
	var could, wrong, all float64
	for i, classes := range x.seconds {
		left := x.environment.Capacity(monotime.Micros(i)*second+second/2) * float64(second)
		order := slices.Clone(classes)
		slices.SortFunc(order, func(a, b classWork) int {
			return cmp.Compare(b.weight*max(1, a.offered), a.weight*max(1, b.offered))
		})
		var worst, missed, below float64
		for _, w := range order {
			below += w.served
		}
		for _, w := range order {
			take := min(left, w.offered)
			left -= take
			if w.offered > 0 {
				could += w.weight * take / w.offered
			}
			missed += w.offered - w.served
			below -= w.served
			worst = max(worst, min(missed, below))
			all += w.offered
		}
		wrong += worst
	}
	if could > 0 {
		f["of_could"] = earned / could
	}
	if all > 0 {
		f["out_of_order"] = wrong / all
	}
}
