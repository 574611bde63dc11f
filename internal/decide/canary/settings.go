package canary

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Settings configure an Analysis.
type Settings struct {
	Duration       monotime.Micros // a canary that is not found worse for so long has passed
	MinDuration    monotime.Micros // before that a canary is found worse only if the harm is severe
	HarmMargin     float64         // a difference up to this is no harm, however certain; in [0, 1)
	Alpha          float64         // probability that an equally good canary is ever found worse; in (0, 0.5)
	MaxDemandRatio float64         // to the baseline; beyond it less service proves nothing; 0 is 1.5
	MaxExtensions  int             // how often an inconclusive analysis is extended by Duration
}

// defaultMaxDemandRatio is MaxDemandRatio if it is 0.
const defaultMaxDemandRatio = 1.5

// maxExtensionsLimit bounds MaxExtensions.
const maxExtensionsLimit = 100

// Validate returns an error that names the first setting out of its range.
func (s Settings) Validate() error {
	switch {
	case s.Duration <= 0:
		return fmt.Errorf("duration %d: must be positive", s.Duration)
	case s.MinDuration < 0 || s.MinDuration > s.Duration:
		return fmt.Errorf("minimum duration %d: must be in 0..%d, the duration", s.MinDuration, s.Duration)
	case !(s.HarmMargin >= 0 && s.HarmMargin < 1):
		return fmt.Errorf("harm margin %v: must be in 0..1, not 1", s.HarmMargin)
	case !(s.Alpha > 0 && s.Alpha < 0.5):
		return fmt.Errorf("alpha %v: must be over 0, under 0.5", s.Alpha)
	case s.MaxDemandRatio != 0 && !(s.MaxDemandRatio >= 1):
		return fmt.Errorf("maximum demand ratio %v: must be at least 1", s.MaxDemandRatio)
	case s.MaxExtensions < 0 || s.MaxExtensions > maxExtensionsLimit:
		return fmt.Errorf("maximum extensions %d: must be in 0..%d", s.MaxExtensions, maxExtensionsLimit)
	}
	return nil
}
