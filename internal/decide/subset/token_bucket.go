package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

// TokenBucket is a token bucket on the caller's clock. golang.org/x/time/rate does the same on time.Time; here
// instants are the engine's, so that a run in simulated time has the same results, and rates of a part of a
// token a minute lose nothing to rounding. The zero value has no limit.
type TokenBucket struct {
	Rate       float64 // tokens a second; 0 is no limit
	Burst      float64 // tokens at most; below 1 it counts as 1, or there would never be a token
	tokens     float64
	refilledAt monotime.Micros
	started    bool
}

// Take takes one token, or returns when there may be one. The bucket starts with the part of a token that initial says,
// drawn by the caller: otherwise instances that start together would all take their first token at once.
func (b *TokenBucket) Take(now monotime.Micros, initial float64) (ok bool, next monotime.Micros) {
	if b.Rate <= 0 {
		return true, now
	}
	if !b.started {
		b.started = true
		b.refilledAt = now
		b.tokens = min(1, max(0, initial))
	}
	earned := b.Rate * float64(max(0, now-b.refilledAt)) / float64(second)
	b.tokens = min(max(1, b.Burst), b.tokens+earned)
	b.refilledAt = max(b.refilledAt, now)
	if b.tokens >= 1 {
		b.tokens--
		return true, now
	}
	return false, now + max(1, monotime.Micros(math.Ceil((1-b.tokens)/b.Rate*float64(second))))
}
