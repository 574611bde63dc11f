package measure

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// Environment describes the capacity of a run's endpoints, and which instances accept requests, as planned.
type Environment struct {
	// Capacity returns the work, in microseconds, that all endpoints together can do in a microsecond.
	Capacity func(at monotime.Micros) float64
	// Serving reports whether an instance accepts requests.
	Serving func(instance int, at monotime.Micros) bool
}

// classWork is, for the operations of a class that started in a second, their work, the work of those that were
// served within the latency objective, and their weight.
type classWork struct{ offered, served, weight float64 }

// priorityAudit counts work by second and class, to measure how far operations of higher weight were served
// before operations of lower weight.
type priorityAudit struct {
	environment Environment
	secondWork  [][]classWork
}

// SetEnvironment sets the capacity and the serving instances with which the order of served work is checked.
func (m *Meter) SetEnvironment(environment Environment) {
	m.priorityAudit = &priorityAudit{environment: environment, secondWork: make([][]classWork, len(m.secondWeights))}
	for index := range m.priorityAudit.secondWork {
		m.priorityAudit.secondWork[index] = make([]classWork, len(m.criteria.Classes))
	}
}

// operationEnded counts a finished operation. It skips an operation that started at an instance that accepted
// no requests, since that operation could not be served.
func (audit *priorityAudit) operationEnded(operation *simclient.Operation, weight float64, onTime bool) {
	if audit == nil || !audit.environment.Serving(operation.Instance, operation.StartedAt) {
		return
	}
	startTotals := &audit.secondWork[min(operation.StartedAt/second,
		monotime.Micros(len(audit.secondWork)-1))][operation.Class]
	startTotals.offered += float64(operation.Work)
	startTotals.weight += weight
	if onTime {
		startTotals.served += float64(operation.Work)
	}
}

// figures adds two figures. of_could is the earned weight relative to the best possible: in each second the
// classes with the highest weight for their work are served first, up to the capacity of the endpoints.
// out_of_order is the fraction of all work by which that order was violated. For each second, the classes are
// divided into higher and lower ones, and the violation is the smaller of the unserved work of the higher
// classes and the served work of the lower classes. The division with the largest violation counts.
func (audit *priorityAudit) figures(figures map[string]float64, earned float64) {
	figures["of_could"] = 1
	figures["out_of_order"] = 0
	if audit == nil {
		return
	}
	var servable, outOfOrder, offered float64
	for i, classes := range audit.secondWork {
		capacity := audit.environment.Capacity(monotime.Micros(i)*second+second/2) * float64(second)
		byPriority := slices.Clone(classes)
		slices.SortFunc(byPriority, func(a, b classWork) int {
			return cmp.Compare(b.weight*max(1, a.offered), a.weight*max(1, b.offered))
		})
		var maxViolation, unservedAbove, servedBelow float64
		for _, class := range byPriority {
			servedBelow += class.served
		}
		for _, class := range byPriority {
			servedFirst := min(capacity, class.offered)
			capacity -= servedFirst
			if class.offered > 0 {
				servable += class.weight * servedFirst / class.offered
			}
			unservedAbove += class.offered - class.served
			servedBelow -= class.served
			maxViolation = max(maxViolation, min(unservedAbove, servedBelow))
			offered += class.offered
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
