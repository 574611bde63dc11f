// Package concurrency learns how many requests an instance may have in flight before they only wait for one
// another at the endpoints. It goes by how long requests took and how many were in flight when each was sent;
// it must not import endpoints, clients or sockets.
//
// The algorithm is that of TCP Vegas (Brakmo, Peterson: "TCP Vegas: End to End Congestion Avoidance on a Global
// Internet", IEEE JSAC 1995), as Netflix's concurrency-limits also has it: of n requests in flight that take r
// times as long as a request alone, n*(1-1/r) are waiting. The limit grows while few wait, and shrinks while
// many do. The baseline, what a request takes alone, is measured while few are in flight; where that does not
// happen by itself, the limit is lowered for a moment now and then, as Envoy's adaptive concurrency filter does
// for its minRTT.
//
// A Limiter is a deterministic state machine for one goroutine at a time.
package concurrency

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Settings configure a Limiter.
type Settings struct {
	Classes int // of requests
	Min     int // bounds of the limit
	Max     int
	Initial int // the limit until there are enough samples, once the baselines are known
	Seed    uint64

	// GrowThreshold and ShrinkThreshold are parts of the limit: it grows while fewer requests wait than the
	// one, about, and shrinks while more wait than the other. 0 for both is the default.
	GrowThreshold   float64
	ShrinkThreshold float64
}

// Validate returns the error of the first setting that is invalid.
func (s Settings) Validate() error {
	switch {
	case s.Classes < 1:
		return fmt.Errorf("classes %d: at least one is needed", s.Classes)
	case s.Min < 1:
		return fmt.Errorf("least %d: must be at least 1", s.Min)
	case s.Max < s.Min:
		return fmt.Errorf("most %d: must not be under least, %d", s.Max, s.Min)
	case !s.thresholdsValid():
		return fmt.Errorf("grows below %v, shrinks above %v: must be parts in order, or both 0",
			s.GrowThreshold, s.ShrinkThreshold)
	case s.Initial < s.Min || s.Initial > s.Max:
		return fmt.Errorf("first %d: must be in %d..%d", s.Initial, s.Min, s.Max)
	}
	return nil
}

// thresholdsValid reports whether the thresholds are parts in order, or both 0.
func (s Settings) thresholdsValid() bool {
	if !(s.GrowThreshold >= 0) || !(s.ShrinkThreshold >= 0) || s.ShrinkThreshold >= 1 {
		return false
	}
	return (s.GrowThreshold > 0) == (s.ShrinkThreshold > 0) && s.GrowThreshold <= s.ShrinkThreshold
}
