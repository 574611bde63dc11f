package balancer

import "dunlinsail/internal/monotime"

const (
	maxQueueWaitFraction = 0.6 // of the rest of the objective, at priority weight 1: the rest is for variation
	minQueueWaitFraction = 0.2 // of the rest of the objective, at any priority weight
)

// latencyBudget returns the longest predicted latency (microseconds) at which r is still sent to e.
//
// It is the latency with no other request there, and a part (queueWaitFraction) of what then remains of the
// latency objective since the arrival, for queueing at e. Requests of less priority weight get a smaller
// part, so that they are rejected first. While load reports are late, all that remains may be spent on
// queueing, whatever the weight. The time until the deadline is the upper bound.
func (b *Balancer) latencyBudget(now monotime.Micros, r *request, e *endpoint) float64 {
	idleLatency := e.rtt.valueOr(0) + r.work*b.fleetSlowdown()*e.currentServiceTimeRatio(now, b)
	fraction := b.queueWaitFraction(now, r)
	if b.reportsLate {
		// The least loaded endpoint is not known, and averages must not reject what it would serve.
		fraction = 1
	}
	remaining := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - idleLatency
	return min(idleLatency+fraction*remaining, float64(r.Deadline-now))
}

// isOverBudget reports whether the latency that is predicted for r at e is over the latency budget.
func (b *Balancer) isOverBudget(now monotime.Micros, r *request, e *endpoint) bool {
	return b.predictLatency(now, e, r.work) > b.latencyBudget(now, r, e)
}

// QueueWaitFraction returns which part (0 to 1) of what remains of its latency objective a request may wait
// in the host's queue. It is the part that latencyBudget allows for queueing at an endpoint while load
// reports are in time; while they are late it stays the same here, and is 1 there. An unknown class gets the
// least part.
func (b *Balancer) QueueWaitFraction(now monotime.Micros, incoming Request) float64 {
	if int(incoming.Class) >= len(b.classes) {
		return minQueueWaitFraction
	}
	return b.queueWaitFraction(now, &request{Request: incoming})
}

// queueWaitFraction returns that part for a request of a known class: from the overload policy if there is
// one, else in proportion to the priority weight (0 to 1).
func (b *Balancer) queueWaitFraction(now monotime.Micros, r *request) float64 {
	if b.overload == nil {
		return max(minQueueWaitFraction, maxQueueWaitFraction*b.priorityWeight(now, r))
	}
	fraction := b.overload.QueueWaitFraction[r.Class]
	if b.isInFloor(r.ID) {
		fraction = max(b.overload.FloorQueueWaitFraction, fraction)
	}
	return fraction
}
