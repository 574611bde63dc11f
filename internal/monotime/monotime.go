// Package monotime has the time that the decision packages work with: whole microseconds on a monotonic clock.
//
// An instant is a count of microseconds since an origin that the host chooses (the start of the process, the start of a
// simulation); it says nothing about the time of day. A duration is the difference of two instants. Hosts convert from and
// to time.Duration where they meet the clock, so that decisions stay deterministic and free of I/O.
package monotime

// Micros is an instant or a duration in microseconds.
type Micros = int64

// Units of a duration.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000 * Millisecond
)
