package canary

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Verdict is the result of an Analysis.
type Verdict uint8

// The verdicts. All except Undecided are final.
const (
	Undecided    Verdict = iota
	Passed               // the canary has run for the required duration without a harm beyond the margin
	Degraded             // the canary is worse than the baseline, or has lost its clients
	Inconclusive         // after all extensions the harm is not certain, or demand was mostly a surge
)

var verdictNames = [...]string{"undecided", "passed", "degraded", "inconclusive"}

// String returns the verdict's name for people.
func (v Verdict) String() string { return verdictNames[v] }

// Metric is a quantity by which baseline and canary are compared.
type Metric string

// The metrics.
const (
	MetricService  Metric = "service"  // ratio of served weight to offered weight
	MetricFailures Metric = "failures" // ratio of failed requests to requests
	MetricDemand   Metric = "demand"   // request rate
)

// Statistics are the basis of a verdict. Arrays have the baseline's value first, then the canary's.
type Statistics struct {
	Service        [2]float64      // ratio of served weight to offered weight
	Failures       [2]float64      // ratio of failed requests to requests
	RequestRate    [2]float64      // requests a second
	Harm           float64         // difference in Metric; positive if the canary is worse
	HarmLowerBound float64         // of Harm, at all times, with a probability of 1 - Settings.Alpha
	Metric         Metric          // the one with the more certain harm
	Duration       monotime.Micros // of the canary
	Requests       int64           // of the canary
}

// Text returns the statistics as one line for people. It is part of NACKs, so its wording never changes.
func (s *Statistics) Text() string {
	const format = "service %.4f before, %.4f in %.1f s of trial; failures %.4f before, %.4f; " +
		"requests a second %.0f before, %.0f (%d in all)"
	seconds := float64(s.Duration) / microsecondsPerSecond
	return fmt.Sprintf(format, s.Service[0], s.Service[1], seconds, s.Failures[0], s.Failures[1],
		s.RequestRate[0], s.RequestRate[1], s.Requests)
}
