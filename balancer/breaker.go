package balancer

import "dunlinsail/internal/monotime"

// Each endpoint has a circuit breaker that rejects attempts at random. Its rules and constants are those of
// go-zero (core/breaker/googlebreaker.go), after "Handling Overload" in Google's Site Reliability
// Engineering.

const (
	breakerWindow  = 10 * second // over which outcomes are counted
	breakerBuckets = 40          // buckets of the window

	maxAcceptWeight   = 1.5 // accepts count by this factor while the latest buckets have accepts
	minAcceptWeight   = 1.1 // and by this one if no bucket has an accept
	protectedRequests = 5   // requests of the window that do not count: a few failures reject nothing
)

// errorRejectChance returns the chance (0 to 1) of a rejection by the outcomes in the window: the part of the
// requests beyond a multiple of the accepts. The multiple falls with the number of latest buckets in a row
// that have failures and no accept.
func (br *breaker) errorRejectChance(now monotime.Micros) float64 {
	br.advance(now)
	weight := maxAcceptWeight - (maxAcceptWeight-minAcceptWeight)*float64(br.failingBuckets())/breakerBuckets
	weight = max(minAcceptWeight, weight)
	total := float64(br.requests)
	return max(0, (total-protectedRequests-weight*float64(br.accepts))/(total+1))
}

// failingBuckets returns how many buckets have failures since the latest bucket with an accept.
func (br *breaker) failingBuckets() int {
	failing := 0
	for i := br.newest + 1; i <= br.newest+breakerBuckets; i++ { // from the oldest, in the ring
		if bucket := &br.ring[i%breakerBuckets]; bucket.accepts > 0 {
			failing = 0
		} else if bucket.failures > 0 {
			failing++
		}
	}
	return failing
}

// forcedPassInterval is the time after which a breaker that rejects lets one attempt pass: its outcome shows
// whether the endpoint has recovered.
const forcedPassInterval = second

// breakerAllows decides at random whether e's breaker lets an attempt of r pass. The chance of a rejection is
// the greatest of errorRejectChance, latencyRejectChance and the suspicion of other balancers (each 0 to 1).
// One attempt passes in any case after an interval: forcedPassInterval, or suspectTrialInterval if suspicion
// is the greatest. Both intervals count from the same instant, lastForcedPass: a pass by one of the two rules
// delays the next pass by the other.
//
// A rejection counts as a request in the window, but not one by suspicion: the window holds own outcomes.
func (b *Balancer) breakerAllows(now monotime.Micros, r *request, e *endpoint) bool {
	timeout := float64(b.classOf(r).ClientTimeout)
	chance := max(e.breaker.errorRejectChance(now), e.breaker.latencyRejectChance(timeout))
	suspicion := e.suspicion(int(r.Class))
	interval := forcedPassInterval
	if suspicion > chance {
		interval = b.suspectTrialInterval()
	}
	if max(chance, suspicion) <= 0 {
		return true
	}
	if now-e.lastForcedPass > interval {
		e.lastForcedPass = now
		return true
	}
	draw := b.random.float()
	if draw < chance {
		e.breaker.record(now, 0, 0)
	}
	return draw >= max(chance, suspicion)
}
