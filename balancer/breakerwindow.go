package balancer

import "dunlinsail/internal/monotime"

// breaker holds the outcomes of an endpoint's attempts in a sliding window, and two averages of its latency.
type breaker struct {
	ring           [breakerBuckets]bucket
	newest         int64 // number of the newest bucket
	requests       int   // over the window
	accepts        int
	baseLatency    float64 // the usual one: falls fast and rises slowly
	currentLatency float64
	lastForcedPass monotime.Micros
}

type bucket struct {
	requests int
	accepts  int
	failures int
}

// advance drops buckets that have left the window, and returns the newest.
func (k *breaker) advance(now monotime.Micros) *bucket {
	number := now / (breakerWindow / breakerBuckets)
	if number-k.newest >= breakerBuckets {
		k.ring = [breakerBuckets]bucket{}
		k.requests = 0
		k.accepts = 0
		k.newest = number
	}
	for k.newest < number {
		k.newest++
		old := &k.ring[k.newest%breakerBuckets]
		k.requests -= old.requests
		k.accepts -= old.accepts
		*old = bucket{}
	}
	return &k.ring[number%breakerBuckets]
}

// record adds a request to the newest bucket, and its accept or failure, if any.
func (k *breaker) record(now monotime.Micros, accepts, failures int) {
	newest := k.advance(now)
	newest.requests++
	newest.accepts += accepts
	newest.failures += failures
	k.requests++
	k.accepts += accepts
}

func (k *breaker) recordLatency(latency float64) {
	if k.baseLatency <= 0 {
		k.baseLatency = latency
		k.currentLatency = latency
		return
	}
	divisor := float64(riseDivisor)
	if latency < k.baseLatency {
		divisor = fallDivisor
	}
	k.baseLatency = (latency + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (latency + (currentDivisor-1)*k.currentLatency) / currentDivisor
}
