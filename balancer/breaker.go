package balancer

import "dunlinsail/internal/monotime"

// The breaker's constants are those of go-zero (core/breaker/googlebreaker.go).
const (
	breakerWindow          = 10 * second
	breakerBuckets         = 40
	maxAcceptWeight        = 1.5
	minAcceptWeight        = 1.1
	protectedRequests      = 5
	forcedPassInterval     = second
	latencyActivation      = 3
	latencyCeilingShare    = 0.95
	fallDivisor            = 4
	riseDivisor            = 100
	currentDivisor         = 4
	maxLatencyRejectChance = 0.3
	suspectTrialsPerSecond = 4 // of all balancers, at an endpoint that others suspect
)

// errorRejectChance is the chance of a rejection by the outcomes in the window (Google SRE, throttling).
func (k *breaker) errorRejectChance(now monotime.Micros) float64 {
	k.advance(now)
	failing := 0
	for i := k.newest + 1; i <= k.newest+breakerBuckets; i++ {
		if bucket := &k.ring[i%breakerBuckets]; bucket.accepts > 0 {
			failing = 0
		} else if bucket.failures > 0 {
			failing++
		}
	}
	weight := maxAcceptWeight - (maxAcceptWeight-minAcceptWeight)*float64(failing)/breakerBuckets
	weight = max(minAcceptWeight, weight)
	total := float64(k.requests)
	return max(0, (total-protectedRequests-weight*float64(k.accepts))/(total+1))
}

// latencyRejectChance is the chance of a rejection by how far the present latency is above the usual one.
func (k *breaker) latencyRejectChance(timeout float64) float64 {
	threshold := latencyActivation * k.baseLatency
	ceiling := latencyCeilingShare * timeout
	if k.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	chance := (k.currentLatency - threshold) / (ceiling - threshold) * maxLatencyRejectChance
	return min(maxLatencyRejectChance, max(0, chance))
}

// breakerAllows decides at random whether e's breaker lets a request pass. A rejection counts as a request.
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
	if now-e.breaker.lastForcedPass > interval {
		e.breaker.lastForcedPass = now
		return true
	}
	x := b.random.float()
	if x < chance {
		e.breaker.record(now, 0, 0) // rejections by the suspicion of others do not count
	}
	return x >= max(chance, suspicion)
}

// SetSuspicion sets with what chance, 0 to 1, an endpoint is left out for a class of requests by what other
// balancers have observed. A quiet balancer uses a failing endpoint too seldom to observe it itself.
func (b *Balancer) SetSuspicion(now monotime.Micros, id uint32, class int, chance float64) {
	e := b.endpointsByID[id]
	if e == nil || class < 0 || class >= len(b.classes) {
		return
	}
	if e.suspicions == nil {
		e.suspicions = make([]float64, len(b.classes))
	}
	if e.suspicions[class] == 0 && chance > 0 { // the first trial is not at the same time as that of others
		e.breaker.lastForcedPass = now - b.random.durationBelow(b.suspectTrialInterval())
	}
	e.suspicions[class] = min(1, max(0, chance))
}

// suspectTrialInterval is the time between two requests of this balancer to an endpoint that others suspect.
func (b *Balancer) suspectTrialInterval() monotime.Micros {
	return max(forcedPassInterval, second*monotime.Micros(b.settings.Balancers)/suspectTrialsPerSecond)
}
