package overload

import (
	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// secondBudget bounds how many events happen within any second, also where the bound is below one: of a
// fraction of an event there is one with that probability, drawn once a second. So the sum over many idle
// instances is what it should be, and events that thousands of instances did not use earlier cannot all come in
// the same second. The limit of a second is fixed at its beginning: if it followed each change, instances would
// use every moment in which it is high by chance.
type secondBudget struct {
	seed          uint64
	currentSecond monotime.Micros // that limit is of
	limit         float64
	sent          slidingWindow
}

// start fixes the limit of a second, once; it must be called before the events of that second are counted.
func (b *secondBudget) start(now monotime.Micros, limit float64) {
	if n := now / second; n != b.currentSecond {
		b.currentSecond = n
		b.limit = limit
	}
}

// allows reports whether one more event is within the limit of the second, and within an upper bound as of now.
func (b *secondBudget) allows(now monotime.Micros, upperBound float64) bool {
	return float64(b.sent.count(now, true))+seededFraction(b.seed, uint64(now/second)+1) < min(b.limit, upperBound)
}

// bucketsPerSecond is the resolution of a slidingWindow.
const bucketsPerSecond = 10

// slidingWindow counts the events of the last second in tenths, the present one included.
type slidingWindow struct {
	buckets [bucketsPerSecond + 1]int // a ring
	head    monotime.Micros           // number of the present tenth since the clock's origin
}

// advance moves the window to now, and returns the present bucket.
func (w *slidingWindow) advance(now monotime.Micros) *int {
	bucket := now / (second / bucketsPerSecond)
	n := monotime.Micros(len(w.buckets))
	if bucket-w.head >= n {
		clear(w.buckets[:])
		w.head = bucket
	}
	for w.head < bucket {
		w.head++
		w.buckets[w.head%n] = 0
	}
	return &w.buckets[w.head%n]
}

// add counts an event.
func (w *slidingWindow) add(now monotime.Micros) { *w.advance(now)++ }

// count returns the events of the last second: the most that it can hold, where includePartial adds all of the oldest
// tenth, or the least.
func (w *slidingWindow) count(now monotime.Micros, includePartial bool) (n int) {
	w.advance(now)
	for _, events := range w.buckets {
		n += events
	}
	if !includePartial {
		n -= w.buckets[(w.head+1)%monotime.Micros(len(w.buckets))] // the oldest tenth
	}
	return n
}

// seededFraction returns a number in [0,1): the one after n others of a generator with the seed.
func seededFraction(seed, n uint64) float64 {
	return hash64.Unit(hash64.Mix(seed + hash64.Increment*(n+1)))
}
