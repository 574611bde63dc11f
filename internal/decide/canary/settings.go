package canary

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Settings configure an Analysis.
type Settings struct {
	// Duration is the time after which a canary passes if it has not been found degraded. It must be positive.
	Duration monotime.Micros
	// MinDuration is the time from the start during which a canary is found degraded only if its harm is severe. It
	// must be in 0..Duration.
	MinDuration monotime.Micros
	// HarmMargin is the largest tolerated difference between the ratios of canary and baseline. A smaller difference is
	// tolerated even if it is certain. It must be at least 0 and less than 1.
	HarmMargin float64
	// Alpha is the probability that a canary that is as good as its baseline is found degraded at any time. It must be
	// between 0 and 0.5, exclusive.
	Alpha float64
	// MaxDemandRatio is the ratio of the canary's request rate to the baseline's rate above which the canary's demand
	// is a surge. During a surge a lower served ratio is not counted as harm. It must be at least 1; 0 stands for
	// defaultMaxDemandRatio.
	MaxDemandRatio float64
	// MaxExtensions is the number of times that an inconclusive analysis is extended by Duration, in
	// 0..maxExtensionsLimit.
	MaxExtensions int
}

const (
	// defaultMaxDemandRatio is used if Settings.MaxDemandRatio is 0.
	defaultMaxDemandRatio = 1.5
	// maxExtensionsLimit is the largest value of Settings.MaxExtensions.
	maxExtensionsLimit = 100
	// alphaLimit is the exclusive upper bound of Settings.Alpha. With 0.5 a verdict would be no better than chance.
	alphaLimit = 0.5
)

// Validate returns an error that names the first setting that is out of its range, nil if all are valid.
func (s Settings) Validate() error {
	switch {
	case s.Duration <= 0:
		return fmt.Errorf("duration %d: must be positive", s.Duration)
	case s.MinDuration < 0 || s.MinDuration > s.Duration:
		return fmt.Errorf("minimum duration %d: must be between 0 and the duration, %d", s.MinDuration, s.Duration)
	case !(s.HarmMargin >= 0 && s.HarmMargin < 1):
		return fmt.Errorf("harm margin %v: must be at least 0 and less than 1", s.HarmMargin)
	case !(s.Alpha > 0 && s.Alpha < alphaLimit):
		return fmt.Errorf("alpha %v: must be greater than 0 and less than 0.5", s.Alpha)
	case s.MaxDemandRatio != 0 && !(s.MaxDemandRatio >= 1):
		return fmt.Errorf("maximum demand ratio %v: must be at least 1", s.MaxDemandRatio)
	case s.MaxExtensions < 0 || s.MaxExtensions > maxExtensionsLimit:
		return fmt.Errorf("maximum extensions %d: must be in 0..%d", s.MaxExtensions, maxExtensionsLimit)
	}
	return nil
}
