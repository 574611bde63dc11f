package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

// TokenBucket is a token bucket on the caller's clock, as golang.org/x/time/rate has one on time.Time: with the
// engine's instants a run in simulated time has the same results, and rates of a part of a token a minute lose
// nothing to rounding. The zero value has no limit.
type TokenBucket struct {
	Rate       float64 // tokens a second; 0 is no limit
	Burst      float64 // greatest number of tokens; less than 1 counts as 1, since there would never be a token
	tokens     float64
	refilledAt monotime.Micros
	started    bool
}

// Take takes one token, or returns the instant at which there may be one. The bucket starts with initial tokens, 0 to
// 1, which the caller draws at random: otherwise instances that start together would all take their first token at
// once.
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
