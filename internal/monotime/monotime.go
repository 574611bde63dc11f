// Package monotime has the time that the decision packages use: whole microseconds on a monotonic clock.
//
// An instant is a number of microseconds since an origin that the host chooses (the Unix epoch, the start of a
// simulation). It only grows, and need not be the time of day. A duration is the difference of two instants. Hosts
// convert from and to time.Duration where they read the clock, so that decisions stay deterministic and free of I/O.
package monotime

// Micros is an instant or a duration in microseconds.
type Micros = int64

// Units of a duration.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000 * Millisecond
)
