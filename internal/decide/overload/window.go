package overload

import (
	"dunlinsail/internal/monotime"
)

// quota lets out so many within any second, however few that are: of a part of one there is one with that chance, drawn once a
// second. So the sum over many quiet instances is what it is meant to be, and nothing that thousands saved up in calm can come
// in one second. What a second has is settled at its beginning: were it looked at whenever it is asked, the moments of chance
// in which it is high would all be used.
type secondBudget struct {
	seed          uint64
	currentSecond monotime.Micros // that most is of
	limit         float64
	sent          slidingWindow
}

// roll settles what a second has, once; it must be called before what came in it is counted.
func (q *secondBudget) start(now monotime.Micros, limit float64) {
	if n := now / second; n != q.currentSecond {
		q.currentSecond, q.limit = n, limit
	}
}

// may says whether one more is within that, and within a bound of the moment.
func (q *secondBudget) allows(now monotime.Micros, upperBound float64) bool {
	return float64(q.sent.count(now, true))+seededFraction(q.seed, uint64(now/second)+1) < min(q.limit, upperBound)
}

const bucketsPerSecond = 10

// window counts what came within so many tenths of the latest seconds, the present one included.
type slidingWindow struct {
	buckets [bucketsPerSecond + 1]int
	head    monotime.Micros
}

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

func (w *slidingWindow) add(now monotime.Micros) { *w.advance(now)++ }

// count returns how many there were within a second at the most, or at the least.
func (w *slidingWindow) count(now monotime.Micros, includePartial bool) (n int) {
	w.advance(now)
	for _, v := range w.buckets {
		n += v
	}
	if !includePartial {
		n -= w.buckets[(w.head+1)%monotime.Micros(len(w.buckets))] // the oldest tenth
	}
	return n
}

// draw is a number in 0..1 that a seed and a number give, without order (SplitMix64).
func seededFraction(seed, n uint64) float64 {
	z := seed + 0x9e3779b97f4a7c15*(n+1)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return float64((z^z>>31)>>11) / (1 << 53)
}
