package balancer

import "dunlinsail/internal/monotime"

// While an endpoint warms up, a token bucket limits the work that it gets: at most a share, by its present
// capacity, of this balancer's own work per warm endpoint. As all balancers do so, their sum stays within its
// capacity. Where most capacity is warming up, as after a power cut, demand is no measure of it. But a fleet
// is served no more than its endpoints can do, however much it is offered. So a second bucket limits the work
// to a multiple of what this balancer was served per unit of warm capacity, times the endpoint's present one.
const (
	warmupShare         = 0.4  // of the multiple at which an endpoint collapses
	warmupCharge        = 1.15 // tokens per work of a request: it may need a handshake, too
	probeCharge         = 0.01 // of a request's work, for a probe
	warmupServedShare   = 0.75 // of the multiple at which an endpoint collapses
	warmupInitialShare  = 0.2  // of an endpoint's capacity, for all balancers that have been served nothing yet
	warmupSavedRequests = 4    // requests' worth that the second bucket holds
)

// startWarmup begins e's warm-up. It gets a random part of a request's tokens: many balancers may be quiet.
func (b *Balancer) startWarmup(now monotime.Micros, e *endpoint, from monotime.Micros) {
	e.isWarmingUp = true
	e.warmupStart = from
	e.warmupTokens = b.random.float() * b.meanWork.value * warmupCharge
	e.warmupRefilledAt = now
	e.servedTokens = e.warmupTokens / warmupCharge
	e.servedWorkAtRefill = b.servedWork
}

// hasWarmupCapacity refills the buckets of a warming endpoint and says whether a request of this work fits.
func (b *Balancer) hasWarmupCapacity(now monotime.Micros, e *endpoint, work float64) bool {
	contract := &b.settings.Contract
	rate := max(b.sentWorkRate.rate(now), b.requestRate.rate(now)*b.meanWork.value)
	capacity := b.effectiveCapacity(now)
	if b.warmCount == 0 { // the rate of sends would only follow what the bucket allows
		rate = b.requestRate.rate(now) * work
	}
	fraction := e.capacityFraction(now, b)
	fill := min(1, warmupShare*contract.CollapseMultiple) * fraction * rate / max(1, capacity)
	window := float64(contract.CollapseAfter)
	size := max(fill*window/float64(second)/2, work*warmupCharge)
	e.warmupTokens = min(size, e.warmupTokens+fill*float64(now-e.warmupRefilledAt)/float64(second))

	// A balancer that was served lately has grown beyond the initial share.
	since := max(e.warmupRefilledAt, b.lastServedAt+contract.CollapseAfter)
	initial := warmupInitialShare * fraction * assumedCores / float64(b.settings.Balancers)
	initial *= float64(max(0, now-since))
	multiple := warmupServedShare * contract.CollapseMultiple * fraction
	e.servedTokens += multiple*(b.servedWork-e.servedWorkAtRefill) + initial
	e.servedTokens = min(e.servedTokens, max(size, warmupSavedRequests*work*warmupCharge))
	e.warmupRefilledAt = now
	e.servedWorkAtRefill = b.servedWork

	// Where one request of each balancer at once is half of what an endpoint may get, the balancers are too few
	// to need the second bucket, and its first tokens would be less than a request for long.
	limit := contract.CollapseMultiple * contract.WarmupStartCapacity * assumedCores * window
	fewBalancers := 2*float64(b.settings.Balancers)*work <= limit
	return e.warmupTokens >= work*warmupCharge &&
		(fewBalancers || 2*capacity >= b.readyCount || e.servedTokens >= work)
}

// effectiveCapacity is the capacity of all eligible endpoints, in warm ones. Were only warm ones counted, a
// deploy that leaves few of them would seem to leave a large part of the traffic for each warming one.
func (b *Balancer) effectiveCapacity(now monotime.Micros) float64 {
	if now < b.capacityExpiresAt {
		return b.readyCapacity
	}
	b.capacityExpiresAt = now + second/10
	b.readyCapacity = 0
	b.readyCount = 0
	b.warmCount = 0
	b.warmingEndpoints = b.warmingEndpoints[:0]
	for _, e := range b.endpoints {
		if e.isEligible() {
			b.readyCapacity += e.capacityFraction(now, b)
			b.readyCount++
			if e.isWarmingUp {
				b.warmingEndpoints = append(b.warmingEndpoints, e)
			} else {
				b.warmCount++
			}
		}
	}
	return b.readyCapacity
}
