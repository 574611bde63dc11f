package concurrency

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Settings configure a Limiter.
type Settings struct {
	Classes int    // number of request classes
	Min     int    // least limit, in requests in flight; at least 1
	Max     int    // greatest limit, in requests in flight
	Initial int    // initial limit, in requests in flight, from Min to Max
	Seed    uint64 // for the random delay of measurements

	// GrowThreshold and ShrinkThreshold are fractions of the limit, 0 to 1. The limit grows while fewer
	// requests wait than GrowThreshold allows, and shrinks while more wait than ShrinkThreshold allows
	// (Limiter.adjust). If both are 0, the defaults apply.
	GrowThreshold   float64
	ShrinkThreshold float64
}

// Validate returns an error that names the first invalid setting, or nil.
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

// thresholdsValid reports whether the thresholds are fractions of the limit in ascending order, or both 0.
func (s Settings) thresholdsValid() bool {
	if !(s.GrowThreshold >= 0) || !(s.ShrinkThreshold >= 0) || s.ShrinkThreshold >= 1 {
		return false
	}
	return (s.GrowThreshold > 0) == (s.ShrinkThreshold > 0) && s.GrowThreshold <= s.ShrinkThreshold
}
