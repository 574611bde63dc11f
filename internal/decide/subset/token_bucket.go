package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

// TokenBucket is a token bucket like that of golang.org/x/time/rate, but it uses the caller's clock instead of
// time.Time. With the clock of the engine, runs in simulated time are reproducible. Rates of less than a token a
// minute are not distorted by rounding. The zero value imposes no limit.
type TokenBucket struct {
	Rate       float64 // tokens added a second; 0 means no limit
	Burst      float64 // largest number of tokens; values less than 1 count as 1, or no token could ever be taken
	tokens     float64 // number of tokens as of refilledAt
	refilledAt monotime.Micros
	started    bool // Take has set the initial number of tokens
}

// Take takes one token if there is one. Otherwise it returns ok false and the earliest time at which there can be one.
// The first call sets the number of tokens to initial, in 0..1. The caller draws it at random, because otherwise
// instances that start together would all take their first token at the same time.
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
