package balancer

import "dunlinsail/internal/monotime"

// Warm-up (Envoy: slow start). An endpoint that has just started has only a part of its capacity, and
// collapses if it gets more than a multiple of that for some time (Contract). Two token buckets limit the
// work that this balancer sends to it. A token is a microsecond of work.
//
// The demand bucket limits the endpoint, by its present capacity, to a part of this balancer's own work per
// warm endpoint. All balancers do so, so that their sum stays within the endpoint's capacity.
//
// Where most of the capacity is warming up, as after a power cut, demand may be many times the capacity. But
// endpoints serve no more than they can, however much they are sent. So the served bucket limits the endpoint
// to a multiple of the work that this balancer was served per unit of warm capacity.

// Charges of the demand bucket.
const (
	warmupCharge = 1.15 // tokens per microsecond of a request's work: it may need a new connection
	probeCharge  = 0.01 // of the work of a request of the first class, for a probe
)

// startWarmup begins the warm-up of e, as from an instant. Both buckets start with a random part of one
// request: many quiet balancers must not all send their first request at once.
func (b *Balancer) startWarmup(now monotime.Micros, e *endpoint, startedAt monotime.Micros) {
	e.isWarmingUp = true
	e.warmupStart = startedAt
	e.warmupTokens = b.random.float() * b.meanWork.value * warmupCharge
	e.warmupRefilledAt = now
	e.servedTokens = e.warmupTokens / warmupCharge
	e.servedWorkAtRefill = b.servedWork
}

// chargeWarmup takes the work of a request that is sent to e from both buckets, if e warms up.
func (b *Balancer) chargeWarmup(now monotime.Micros, r *request, e *endpoint) {
	if e.warmingUp(now, b) {
		e.warmupTokens -= r.work * warmupCharge
		e.servedTokens -= r.work
	}
}

// hasWarmupCapacity refills both buckets of a warming endpoint, and reports whether they hold enough for a
// request of this work (microseconds). The served bucket counts only where most of the capacity is warming
// up, and not in a fleet of few balancers (servedBucketApplies).
func (b *Balancer) hasWarmupCapacity(now monotime.Micros, e *endpoint, work float64) bool {
	capacity := b.effectiveCapacity(now)
	size := b.refillDemandBucket(now, e, work, capacity)
	b.refillServedBucket(now, e, work, size)
	e.warmupRefilledAt = now
	e.servedWorkAtRefill = b.servedWork
	return e.warmupTokens >= work*warmupCharge &&
		(!b.servedBucketApplies(work, capacity) || e.servedTokens >= work)
}

// warmupShare is the part of Contract.CollapseMultiple up to which the demand bucket fills an endpoint,
// relative to a warm endpoint's work; the result is 1 at most.
const warmupShare = 0.4

// refillDemandBucket refills e's demand bucket and returns its size (microseconds of work): what it gains in
// half of Contract.CollapseAfter, but at least one request. capacity is that of all eligible endpoints, in
// warm ones.
func (b *Balancer) refillDemandBucket(now monotime.Micros, e *endpoint, work, capacity float64) float64 {
	contract := &b.settings.Contract
	demand := max(b.sentWorkRate.rate(now), b.requestRate.rate(now)*b.meanWork.value) // work per second
	if b.warmCount == 0 {
		// The rate of sends is only what the buckets allow, so only requests count.
		demand = b.requestRate.rate(now) * work
	}
	share := min(1, warmupShare*contract.CollapseMultiple)
	fillRate := share * e.capacityFraction(now, b) * demand / max(1, capacity) // work per second
	size := max(fillRate*float64(contract.CollapseAfter)/float64(second)/2, work*warmupCharge)
	e.warmupTokens = min(size, e.warmupTokens+fillRate*float64(now-e.warmupRefilledAt)/float64(second))
	return size
}

const (
	warmupServedShare       = 0.75 // of Contract.CollapseMultiple: the multiple of the served work
	minServedBucketRequests = 4    // requests that the served bucket holds, at least

	// warmupInitialShare is the part of an endpoint's present capacity that all balancers together fill while
	// they have been served nothing: else none could begin.
	warmupInitialShare = 0.2
)

// refillServedBucket refills e's served bucket: by the work that this balancer was served since the latest
// refill, and by an initial rate while it was served nothing for Contract.CollapseAfter. minSize is the size
// of the demand bucket (microseconds of work).
func (b *Balancer) refillServedBucket(now monotime.Micros, e *endpoint, work, minSize float64) {
	contract := &b.settings.Contract
	fraction := e.capacityFraction(now, b)
	unservedSince := max(e.warmupRefilledAt, b.lastServedAt+contract.CollapseAfter)
	initialTokens := warmupInitialShare * fraction * assumedCores / float64(b.settings.Balancers)
	initialTokens *= float64(max(0, now-unservedSince))
	servedMultiple := warmupServedShare * contract.CollapseMultiple * fraction
	e.servedTokens += servedMultiple*(b.servedWork-e.servedWorkAtRefill) + initialTokens
	e.servedTokens = min(e.servedTokens, max(minSize, minServedBucketRequests*work*warmupCharge))
}

const (
	// readyCapacityDivisor divides the number of eligible endpoints. The served bucket applies while their
	// effective capacity is less than the result.
	readyCapacityDivisor = 2

	// fewBalancersDivisor divides the work that collapses an endpoint that has just started. The served
	// bucket does not apply while the requests of all balancers, one each, are no more work than the result.
	fewBalancersDivisor = 2
)

// servedBucketApplies reports whether the served bucket limits a warming endpoint.
//
// It does not while at least half of the capacity of the eligible endpoints is there. Nor does it in a fleet
// of few balancers, where the endpoint's first tokens would be less than a request for a long time:
//
//	fewBalancersDivisor x Balancers x work <=
//		CollapseMultiple x WarmupStartCapacity x assumedCores x CollapseAfter
//
// The first line has the work of the requests of all balancers, one each at once; the second one is the work
// that collapses an endpoint that has just started. work is in microseconds, capacity in warm endpoints.
func (b *Balancer) servedBucketApplies(work, capacity float64) bool {
	contract := &b.settings.Contract
	window := float64(contract.CollapseAfter)
	collapseWork := contract.CollapseMultiple * contract.WarmupStartCapacity * assumedCores * window
	if fewBalancersDivisor*float64(b.settings.Balancers)*work <= collapseWork {
		return false
	}
	return readyCapacityDivisor*capacity < b.readyCount
}
