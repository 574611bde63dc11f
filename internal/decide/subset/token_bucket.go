package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

// Bucket is a token bucket on the host's clock: so many a second, a burst at most. golang.org/x/time/rate does the same on
// time.Time; here instants are the engine's, so that a run in simulated time comes to the same, and a part of a token a
// minute adds up without a loss.
type TokenBucket struct {
	Rate       float64 // a second; 0 is no bound
	Burst      float64 // at most; under 1 it counts as 1, or nothing would ever go
	tokens     float64
	refilledAt monotime.Micros
	started    bool
}

// Take takes one token, or says when there may be one. A bucket begins with a part of one, drawn by its owner: instances that
// start together would else all spend their first at once.
func (b *TokenBucket) Take(now monotime.Micros, initial float64) (ok bool, next monotime.Micros) {
	if b.Rate <= 0 {
		return true, now
	}
	if !b.started {
		b.started, b.refilledAt, b.tokens = true, now, min(1, max(0, initial))
	}
	b.tokens = min(max(1, b.Burst), b.tokens+b.Rate*float64(max(0, now-b.refilledAt))/float64(second))
	b.refilledAt = max(b.refilledAt, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, now
	}
	return false, now + max(1, monotime.Micros(math.Ceil((1-b.tokens)/b.Rate*float64(second))))
}
