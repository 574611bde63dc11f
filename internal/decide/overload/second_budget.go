package overload

import (
	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// secondBudget bounds how many events happen within any second, also where the bound is below one: of a fraction of
// an event there is one with that probability, drawn once a second. So the sum over many idle instances is as it
// should be, and events that thousands of instances did not use earlier cannot all come in the same second. The limit
// of a second is fixed at its beginning: if it followed each change, instances would use every moment in which it is
// high by chance.
type secondBudget struct {
	seed        uint64
	limitSecond monotime.Micros // number of the second that limit is of
	limit       float64         // events within that second
	sentEvents  slidingWindow   // events of the last second
}

// start fixes the limit of a second, once; it must be called before the events of that second are counted.
func (b *secondBudget) start(now monotime.Micros, limit float64) {
	if n := now / second; n != b.limitSecond {
		b.limitSecond = n
		b.limit = limit
	}
}

// allows reports whether one more event is within the limit of the second, and within an upper bound that holds now.
func (b *secondBudget) allows(now monotime.Micros, upperBound float64) bool {
	return float64(b.sentEvents.count(now, true))+seededFraction(b.seed, uint64(now/second)+1) < min(b.limit, upperBound)
}

// seededFraction returns a number in [0,1): the one after n others of a generator with the seed.
func seededFraction(seed, n uint64) float64 {
	return hash64.Unit(hash64.Mix(seed + hash64.Increment*(n+1)))
}
