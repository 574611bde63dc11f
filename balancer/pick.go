package balancer

import "dunlinsail/internal/monotime"

// pickEndpoint returns the endpoint of the lowest cost among the candidates for r, nil for none. except is
// left out (nil for none). Ejected endpoints are candidates only if there is no other.
func (b *Balancer) pickEndpoint(now monotime.Micros, r *request, excluded *endpoint) *endpoint {
	best := b.findCandidate(now, r, excluded, false)
	if best == nil {
		best = b.findCandidate(now, r, excluded, true)
	}
	return best
}

const (
	// crossZoneWeight is the number of latency objectives that a price of 1 for another zone
	// (Prices.CrossZone, part of the result per attempt) adds to the cost.
	crossZoneWeight = 2.0

	// queuedWorkWeight is the weight of an endpoint's load in its cost: queuedWorkWeight x mean work of the
	// request's class x service time ratio x predicted load (requests). An endpoint with a free core is as fast
	// as an idle one, but it delays later requests.
	queuedWorkWeight = 0.05
)

// candidateCost returns the cost (microseconds) by which candidates are compared: the predicted latency, with
// the load and the price of another zone as time.
//
// An endpoint over the latency budget costs one more latency objective: one that answers in time goes first.
// A warming endpoint within the budget costs one objective less and so goes before all others: it gets
// little, and what it gets warms it up.
func (b *Balancer) candidateCost(now monotime.Micros, r *request, e *endpoint) float64 {
	objective := float64(b.classOf(r).LatencyObjective)
	cost := b.predictLatency(now, e, r.work)
	if cost > b.latencyBudget(now, r, e) {
		cost += objective
	} else if e.isWarmingUp {
		cost -= objective
	}
	work := b.classes[r.Class].meanWork.valueOr(0)
	cost += queuedWorkWeight * work * e.currentServiceTimeRatio(now, b) * b.predictLoad(now, e)
	otherZone := indicator(int(e.Zone) != b.settings.Zone)
	return cost + crossZoneWeight*b.settings.Prices.CrossZone*objective*otherZone
}
