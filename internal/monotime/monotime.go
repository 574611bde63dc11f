// Package monotime defines the time unit of the decision packages: whole microseconds on a monotonic clock.
//
// An instant is a number of microseconds since an origin that the host chooses, for example the Unix epoch or
// the start of a simulation. Instants never decrease, and need not correspond to the time of day. A duration is
// the difference between two instants. Hosts convert between Micros and time.Duration where they read the
// clock, so that decisions are deterministic and free of I/O.
package monotime

// Micros is an instant or a duration in microseconds.
type Micros = int64

// Common durations.
const (
	Millisecond Micros = 1_000
	Second      Micros = 1_000 * Millisecond
)
