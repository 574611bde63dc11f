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
func (br *breaker) advance(now monotime.Micros) *bucket {
	bucketNumber := now / (breakerWindow / breakerBuckets)
	if bucketNumber-br.newest >= breakerBuckets {
		br.ring = [breakerBuckets]bucket{}
		br.requests = 0
		br.accepts = 0
		br.newest = bucketNumber
	}
	for br.newest < bucketNumber {
		br.newest++
		expired := &br.ring[br.newest%breakerBuckets]
		br.requests -= expired.requests
		br.accepts -= expired.accepts
		*expired = bucket{}
	}
	return &br.ring[bucketNumber%breakerBuckets]
}

// record adds a request to the newest bucket, with an accept (1 or 0) and a failure (1 or 0). A request with
// neither was rejected by the breaker.
func (br *breaker) record(now monotime.Micros, accepts, failures int) {
	newest := br.advance(now)
	newest.requests++
	newest.accepts += accepts
	newest.failures += failures
	br.requests++
	br.accepts += accepts
}
