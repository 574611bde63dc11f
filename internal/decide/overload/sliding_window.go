package overload

import "dunlinsail/internal/monotime"

// bucketsPerSecond is the resolution of a slidingWindow.
const bucketsPerSecond = 10

// slidingWindow counts the events of the last second in tenths of a second, the present tenth included.
type slidingWindow struct {
	buckets [bucketsPerSecond + 1]int // a ring
	head    monotime.Micros           // number of the present tenth since the clock's origin
}

// advance moves the window to now, and returns the present bucket.
func (w *slidingWindow) advance(now monotime.Micros) *int {
	currentBucket := now / (second / bucketsPerSecond)
	n := monotime.Micros(len(w.buckets))
	if currentBucket-w.head >= n {
		clear(w.buckets[:])
		w.head = currentBucket
	}
	for w.head < currentBucket {
		w.head++
		w.buckets[w.head%n] = 0
	}
	return &w.buckets[w.head%n]
}

// add counts an event.
func (w *slidingWindow) add(now monotime.Micros) { *w.advance(now)++ }

// count returns the events of the last second. With includePartial it counts all of the oldest tenth, of which a part
// is older than a second: no less than there were. Without, it counts none of that tenth: no more than there were.
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
