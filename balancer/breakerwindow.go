package balancer

import "dunlinsail/internal/monotime"

// breaker holds the outcomes of an endpoint's attempts in a sliding window, and two averages of its latency.
// Its decisions are in breaker.go, breakerlatency.go and suspicion.go.
type breaker struct {
	ring           [breakerBuckets]bucket
	newest         int64   // number of the newest bucket, since the start of time
	requests       int     // in the window: outcomes, and attempts that the breaker rejected
	accepts        int     // in the window: successes
	baseLatency    float64 // microseconds, the usual latency; 0 before the first answer
	currentLatency float64 // microseconds, the present latency
}

// bucket counts the outcomes of one part of the window.
type bucket struct {
	requests int
	accepts  int
	failures int
}

// advance drops the buckets that have left the window, and returns the newest one.
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

// record adds a request to the newest bucket, with an accept (1 or 0) and a failure (1 or 0). A request with
// neither was rejected by the breaker.
func (k *breaker) record(now monotime.Micros, accepts, failures int) {
	newest := k.advance(now)
	newest.requests++
	newest.accepts += accepts
	newest.failures += failures
	k.requests++
	k.accepts += accepts
}
