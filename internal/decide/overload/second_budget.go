package overload

import (
	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// secondBudget limits the number of events within any second. The limit may be a fraction: its fractional part
// is the probability of one more event, drawn once per second. The sum over many idle instances is therefore
// correct, and thousands of instances that did not use earlier seconds cannot all send an event in the same
// second. The limit of a second is fixed at its start: if it followed each change, instances would use every
// moment at which it is high by chance.
type secondBudget struct {
	seed        uint64
	limitSecond monotime.Micros // second, counted from the clock's origin, for which limit was set
	limit       float64         // greatest number of events within limitSecond
	sentEvents  slidingWindow   // events of the last second
}

// start sets the limit of a second on its first call in that second. It must be called before events of the
// second are counted.
func (b *secondBudget) start(now monotime.Micros, limit float64) {
	if n := now / second; n != b.limitSecond {
		b.limitSecond = n
		b.limit = limit
	}
}

// allows reports whether one more event is within the limit of the second and within upperBound, the limit at
// this instant.
func (b *secondBudget) allows(now monotime.Micros, upperBound float64) bool {
	return float64(b.sentEvents.count(now, true))+
		seededFraction(b.seed, uint64(now/second)+1) < min(b.limit, upperBound)
}

// seededFraction returns the number at index n of a seeded SplitMix64 generator's sequence, mapped to [0,1).
func seededFraction(seed, n uint64) float64 {
	return hash64.Unit(hash64.Mix(seed + hash64.Increment*(n+1)))
}
