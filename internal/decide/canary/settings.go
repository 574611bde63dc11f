package canary

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Settings configure an Analysis.
type Settings struct {
	// Duration is the time after which a canary that was not found degraded has passed. It must be positive.
	Duration monotime.Micros
	// MinDuration is the time before which a canary is found degraded only if the harm is severe, in 0..Duration.
	MinDuration monotime.Micros
	// HarmMargin is the largest difference to the baseline's ratio that is no harm, however certain it is, in 0..1, and
	// not 1.
	HarmMargin float64
	// Alpha is the probability with which a canary that is as good as its baseline is ever found degraded, between 0
	// and 0.5.
	Alpha float64
	// MaxDemandRatio bounds the canary's request rate, in multiples of the baseline's: at a higher rate, less service
	// is no harm. It must be at least 1; 0 is defaultMaxDemandRatio.
	MaxDemandRatio float64
	// MaxExtensions is the number of times that an inconclusive analysis is extended by Duration, in
	// 0..maxExtensionsLimit.
	MaxExtensions int
}

const (
	// defaultMaxDemandRatio is the value of Settings.MaxDemandRatio if that is 0.
	defaultMaxDemandRatio = 1.5
	// maxExtensionsLimit is the largest value of Settings.MaxExtensions.
	maxExtensionsLimit = 100
	// alphaLimit is the value that Settings.Alpha must be less than: at 0.5 a coin would decide as well.
	alphaLimit = 0.5
)

// Validate returns an error that names the first setting out of its range.
func (s Settings) Validate() error {
	switch {
	case s.Duration <= 0:
		return fmt.Errorf("duration %d: must be positive", s.Duration)
	case s.MinDuration < 0 || s.MinDuration > s.Duration:
		return fmt.Errorf("minimum duration %d: must be in 0..%d, the duration", s.MinDuration, s.Duration)
	case !(s.HarmMargin >= 0 && s.HarmMargin < 1):
		return fmt.Errorf("harm margin %v: must be in 0..1, not 1", s.HarmMargin)
	case !(s.Alpha > 0 && s.Alpha < alphaLimit):
		return fmt.Errorf("alpha %v: must be over 0, under 0.5", s.Alpha)
	case s.MaxDemandRatio != 0 && !(s.MaxDemandRatio >= 1):
		return fmt.Errorf("maximum demand ratio %v: must be at least 1", s.MaxDemandRatio)
	case s.MaxExtensions < 0 || s.MaxExtensions > maxExtensionsLimit:
		return fmt.Errorf("maximum extensions %d: must be in 0..%d", s.MaxExtensions, maxExtensionsLimit)
	}
	return nil
}
