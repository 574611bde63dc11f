package canary

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Verdict is the result of an Analysis.
type Verdict uint8

// The verdicts. All but Undecided are final.
const (
	Undecided    Verdict = iota
	Passed               // it ran for long enough without being found worse
	Degraded             // it does worse than the baseline
	Inconclusive         // it ran for long enough, and may be somewhat worse, or had far more demand than the baseline
)

var verdictNames = [...]string{"undecided", "passed", "degraded", "inconclusive"}

// String returns the verdict's name for people.
func (v Verdict) String() string { return verdictNames[v] }

// Metric is what baseline and canary are compared by.
type Metric string

// The metrics.
const (
	MetricService  Metric = "service"  // ratio of served weight to offered weight
	MetricFailures Metric = "failures" // ratio of failed requests to requests
	MetricDemand   Metric = "demand"   // request rate
)

// Statistics are what a verdict is based on. Arrays hold the baseline's value, then the canary's.
type Statistics struct {
	Service        [2]float64
	Failures       [2]float64
	RequestRate    [2]float64      // a second
	Harm           float64         // difference in Metric; positive: the canary does worse
	HarmLowerBound float64         // of Harm, at all times, with probability 1 - Alpha
	Metric         Metric          // the one with the more certain harm
	Duration       monotime.Micros // of the canary
	Requests       int64           // of the canary
}

// Text returns the statistics as one line for people. It is a part of NACKs.
func (s *Statistics) Text() string {
	const format = "service %.4f before, %.4f in %.1f s of trial; failures %.4f before, %.4f; " +
		"requests a second %.0f before, %.0f (%d in all)"
	return fmt.Sprintf(format, s.Service[0], s.Service[1], float64(s.Duration)/1e6, s.Failures[0], s.Failures[1],
		s.RequestRate[0], s.RequestRate[1], s.Requests)
}
