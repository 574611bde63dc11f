// Package concurrency learns how many requests an instance may have in flight before they only wait for one another at
// the endpoints. It knows how long requests took and how many were in flight when each went out; it knows nothing
// of endpoints, clients or sockets. It is a deterministic state machine for one caller at a time.
//
// The rule is that of TCP Vegas (Brakmo, Peterson: "TCP Vegas: End to End Congestion Avoidance on a Global
// Internet", JSAC 1995): of n requests in flight that take r times what they take alone, n·(1-1/r) are waiting. The
// limit grows while fewer than a few wait, and shrinks while more do. What a request takes alone is measured while
// few are in flight; where that never happens by itself, the limit is lowered for a moment now and then, as
// Envoy's adaptive concurrency filter does for its minRTT.
package concurrency

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are what a Limit needs.
type Settings struct {
	Classes  int // of requests
	Min, Max int // bounds of the limit
	Initial  int // the limit at the start, once it is known what requests take alone
	Seed     uint64

	// Grow and Shrink are parts of the limit: it grows while fewer are waiting than the one, about, and shrinks while more
	// are than the other; 0 is growPart and shrinkPart.
	GrowThreshold, ShrinkThreshold float64
}

// Validate says which setting makes no sense.
func (s Settings) Validate() error {
	switch {
	case s.Classes < 1:
		return fmt.Errorf("classes %d: at least one is needed", s.Classes)
	case s.Min < 1:
		return fmt.Errorf("least %d: must be at least 1", s.Min)
	case s.Max < s.Min:
		return fmt.Errorf("most %d: must not be under least, %d", s.Max, s.Min)
	case !(s.GrowThreshold >= 0) || !(s.ShrinkThreshold >= 0) || s.ShrinkThreshold >= 1 || (s.GrowThreshold > 0) != (s.ShrinkThreshold > 0) || s.GrowThreshold > s.ShrinkThreshold:
		return fmt.Errorf("grows below %v, shrinks above %v: must be parts in order, or both 0", s.GrowThreshold, s.ShrinkThreshold)
	case s.Initial < s.Min || s.Initial > s.Max:
		return fmt.Errorf("first %d: must be in %d..%d", s.Initial, s.Min, s.Max)
	}
	return nil
}
