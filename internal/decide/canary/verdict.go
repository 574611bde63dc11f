package canary

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

// Verdict is the result of an Analysis.
type Verdict uint8

// The verdicts of an Analysis. All except Undecided are final.
const (
	Undecided    Verdict = iota
	Passed               // the canary has run for the required duration without harm beyond Settings.HarmMargin
	Degraded             // the canary is worse than the baseline, or has lost its clients
	Inconclusive         // after all extensions, harm is uncertain or demand was a surge most of the time
)

var verdictNames = [...]string{"undecided", "passed", "degraded", "inconclusive"}

// String returns the human-readable name of the verdict.
func (v Verdict) String() string { return verdictNames[v] }

// Metric is a quantity that is compared between baseline and canary.
type Metric string

// The metrics of an Analysis.
const (
	MetricService  Metric = "service"  // ratio of served weight to offered weight
	MetricFailures Metric = "failures" // ratio of failed requests to all requests
	MetricDemand   Metric = "demand"   // request rate; reported if the canary has lost its clients
)

// Statistics are the numbers on which a verdict is based. In arrays, index 0 is the baseline and index 1 the canary.
type Statistics struct {
	Service        [2]float64      // ratio of served weight to offered weight
	Failures       [2]float64      // ratio of failed requests to all requests
	RequestRate    [2]float64      // requests per second
	Harm           float64         // difference between canary and baseline in Metric; positive if the canary is worse
	HarmLowerBound float64         // bound that Harm exceeds at all times with probability 1 - Settings.Alpha
	Metric         Metric          // metric of Harm; the metric with the highest HarmLowerBound is reported
	Duration       monotime.Micros // time that the canary has run
	Requests       int64           // number of requests of the canary
}

// Text returns the statistics as one human-readable line. The line is part of NACKs, so its wording must not change.
func (s *Statistics) Text() string {
	const format = "service %.4f before, %.4f in %.1f s of trial; failures %.4f before, %.4f; " +
		"requests a second %.0f before, %.0f (%d in all)"
	seconds := float64(s.Duration) / microsecondsPerSecond
	return fmt.Sprintf(format, s.Service[0], s.Service[1], seconds, s.Failures[0], s.Failures[1],
		s.RequestRate[0], s.RequestRate[1], s.Requests)
}
