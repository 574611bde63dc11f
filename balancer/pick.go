package balancer

import "dunlinsail/internal/monotime"

const (
	warmingDraws    = 2   // warming endpoints that are considered for a request
	randomDraws     = 2   // random endpoints, where the pool is not enough
	maxDraws        = 8   // to find so many that may be used
	crossZoneWeight = 2.0 // latency objectives that the price of another zone counts as
)

// pickEndpoint returns the best endpoint of the probe pool that r may go to, nil for none; without recent
// reports, the better of two random ones. Ejected endpoints are used only when nothing else is left.
func (b *Balancer) pickEndpoint(now monotime.Micros, r *request, except *endpoint) *endpoint {
	best := b.pickAmong(now, r, except, false)
	if best == nil {
		best = b.pickAmong(now, r, except, true)
	}
	return best
}

func (b *Balancer) pickAmong(now monotime.Micros, r *request, except *endpoint, ejectedToo bool) *endpoint {
	oldest := now - b.reportLifetime(now)
	b.effectiveCapacity(now)
	var best *endpoint
	var bestCost float64
	// consider compares e with the best so far, and says whether r may go there.
	consider := func(e *endpoint) bool {
		if e == except || r.hasAttempted(e) || !ejectedToo && b.isEjectedFor(now, e, r) || !b.maySend(now, r, e) {
			return false
		}
		if cost := b.candidateCost(now, r, e); best == nil || cost < bestCost {
			best = e
			bestCost = cost
		}
		return true
	}
	pooled := 0
	for i := len(b.probePool) - 1; i >= 0 && b.probePool[i].reportedAt >= oldest; i-- {
		if consider(b.probePool[i]) {
			pooled++
		}
	}
	// Few of the pool's reports are from warming endpoints, and their capacity is lost if nobody uses it.
	for i := 0; i < warmingDraws && len(b.warmingEndpoints) > 0; i++ {
		consider(b.warmingEndpoints[b.random.index(len(b.warmingEndpoints))])
	}
	// A pool of few would take all: while most endpoints have no recent report, random ones compete.
	count := len(b.endpoints)
	if pooled < randomDraws || count <= probePoolSize && 2*pooled < count {
		found := 0
		for i := 0; found < randomDraws && i < maxDraws && count > 0; i++ {
			if consider(b.endpoints[b.random.index(count)]) {
				found++
			}
		}
	}
	// Where only a few may be used, random draws do not find them.
	start := b.random.index(count)
	for i := 0; best == nil && i < count; i++ {
		consider(b.endpoints[(start+i)%count])
	}
	return best
}

// candidateCost ranks endpoints: by predicted latency, with the price of another zone as time.
func (b *Balancer) candidateCost(now monotime.Micros, r *request, e *endpoint) float64 {
	objective := float64(b.classOf(r).LatencyObjective)
	cost := b.predictLatency(now, e, r.work)
	// One that answers in time goes first; of these a warming one: it gets little, and warms up by it.
	if cost > b.latencyBudget(now, r, e) {
		cost += objective
	} else if e.isWarmingUp {
		cost -= objective
	}
	work := b.classes[r.Class].meanWork.valueOr(0)
	cost += 0.05 * work * e.currentServiceTimeRatio(now, b) * b.predictLoad(now, e)
	otherZone := indicator(int(e.Zone) != b.settings.Zone)
	return cost + crossZoneWeight*b.settings.Prices.CrossZone*objective*otherZone
}
