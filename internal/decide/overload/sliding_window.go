package overload

import "dunlinsail/internal/monotime"

// bucketsPerSecond is the number of buckets per second in a slidingWindow.
const bucketsPerSecond = 10

// slidingWindow counts the events of the last second, in buckets of a tenth of a second. The current bucket is
// included.
type slidingWindow struct {
	buckets [bucketsPerSecond + 1]int // ring buffer
	head    monotime.Micros           // number of the current bucket, counted from the clock's origin
}

// advance moves the window to the instant now, and returns the current bucket.
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

// add counts an event at the instant now.
func (w *slidingWindow) add(now monotime.Micros) { *w.advance(now)++ }

// count returns the number of events of the last second. The oldest bucket lies only partly within that second.
// With includePartial the whole bucket is counted, which gives an upper bound; otherwise none of it is counted,
// which gives a lower bound.
func (w *slidingWindow) count(now monotime.Micros, includePartial bool) (n int) {
	w.advance(now)
	for _, events := range w.buckets {
		n += events
	}
	if !includePartial {
		n -= w.buckets[(w.head+1)%monotime.Micros(len(w.buckets))] // the oldest bucket
	}
	return n
}
