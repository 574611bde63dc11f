package canary

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// Analysis compares a canary with its baseline. Create one with NewAnalysis. It is not safe for concurrent use.
type Analysis struct {
	settings Settings
	baseline arm
	canary   arm

	calmDuration     monotime.Micros // of the canary's slots without a surge of demand
	requiredDuration monotime.Micros // Settings.Duration and its extensions
	extensions       int             // number of extensions so far

	verdict    Verdict
	statistics Statistics
}

// NewAnalysis returns an analysis with samples of the baseline, to which AddBaseline may add more. It fails if
// Settings.Validate does.
func NewAnalysis(settings Settings, baseline ...Sample) (*Analysis, error) {
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("canary: %w", err)
	}
	if settings.MaxDemandRatio == 0 {
		settings.MaxDemandRatio = defaultMaxDemandRatio
	}
	a := &Analysis{settings: settings, requiredDuration: settings.Duration}
	for i := range baseline {
		a.baseline.add(&baseline[i], false)
	}
	return a, nil
}

// AddBaseline adds a sample of the baseline.
func (a *Analysis) AddBaseline(sample Sample) { a.baseline.add(&sample, false) }

// Result returns the present verdict and its statistics.
func (a *Analysis) Result() (Verdict, Statistics) { return a.verdict, a.statistics }

// AddCanary adds a sample of the canary, and returns the verdict with its statistics. The canary is degraded as soon as
// it has lost its clients or is harmed. After the required duration it has passed, is inconclusive, or runs for longer.
// A final verdict no longer changes.
func (a *Analysis) AddCanary(sample Sample) (Verdict, Statistics) {
	if a.verdict != Undecided {
		return a.verdict, a.statistics
	}
	surge := a.observeSurge(&sample)
	if !surge {
		a.calmDuration += sample.Duration
	}
	a.canary.add(&sample, surge)
	service := a.compare(&a.baseline.service, &a.canary.service, lessIsWorse)
	failures := a.compare(&a.baseline.failures, &a.canary.failures, moreIsWorse)
	a.updateStatistics(service, failures)
	switch {
	case a.baseline.requests <= 0: // without a baseline no canary is degraded
	case a.lostClients():
		a.verdict = Degraded
		return a.verdict, a.statistics
	case a.harmed():
		a.verdict = Degraded
		return a.verdict, a.statistics
	}
	if a.canary.duration >= a.requiredDuration {
		a.concludeOrExtend(max(service.harm, failures.harm))
	}
	return a.verdict, a.statistics
}

// microsecondsPerSecond converts rates a microsecond to rates a second.
const microsecondsPerSecond = 1e6

// updateStatistics sets the statistics to the present state, with the metric whose harm has the larger lower bound.
func (a *Analysis) updateStatistics(service, failures comparison) {
	a.statistics = Statistics{
		Service:  [2]float64{a.baseline.service.perSlot.mean(), a.canary.service.perSlot.mean()},
		Failures: [2]float64{a.baseline.failures.perSlot.mean(), a.canary.failures.perSlot.mean()},
		RequestRate: [2]float64{
			a.baseline.requestRate() * microsecondsPerSecond,
			a.canary.requestRate() * microsecondsPerSecond,
		},
		Harm:           failures.harm,
		HarmLowerBound: failures.lowerBound,
		Metric:         MetricFailures,
		Duration:       a.canary.duration,
		Requests:       int64(a.canary.requests),
	}
	if service.lowerBound > failures.lowerBound {
		a.statistics.Harm = service.harm
		a.statistics.HarmLowerBound = service.lowerBound
		a.statistics.Metric = MetricService
	}
}

// Bounds beyond which missing requests are no chance.
const (
	lostMinExpected = 50              // requests that the canary would have had at the baseline's rate
	lostMaxFraction = 0.1             // of these requests; with a larger fraction the clients are not lost
	lostMinDuration = monotime.Second // of the canary
)

// lostClients reports whether the canary has lost its clients, and puts that into the statistics. It has if it gets
// less than lostMaxFraction of the requests that the baseline's rate would give it, provided that these are at least
// lostMinExpected, and that it has run for lostMinDuration and Settings.MinDuration. Clients that no longer reach a
// version show in no ratio of its requests.
func (a *Analysis) lostClients() bool {
	expected := a.baseline.requestRate() * float64(a.canary.duration)
	tooFewRequests := expected >= lostMinExpected && a.canary.requests < lostMaxFraction*expected
	harmful := 1-lostMaxFraction > a.settings.HarmMargin
	longEnough := a.canary.duration >= max(lostMinDuration, a.settings.MinDuration)
	if !tooFewRequests || !harmful || !longEnough {
		return false
	}
	a.statistics.Metric = MetricDemand
	a.statistics.Harm = 1 - a.canary.requests/expected
	a.statistics.HarmLowerBound = a.statistics.Harm
	return true
}

// Bounds of a severe harm, which needs no Settings.MinDuration.
const (
	severeMinRequests = 20  // of the canary
	severeHarm        = 0.5 // difference of the ratios
)

// harmed reports whether the harm in the statistics is certain and beyond Settings.HarmMargin. Before
// Settings.MinDuration it must also be severe.
func (a *Analysis) harmed() bool {
	s := &a.statistics
	certain := s.HarmLowerBound > 0 && s.Harm > a.settings.HarmMargin
	severe := a.canary.requests >= severeMinRequests && s.Harm > severeHarm
	return certain && (severe || a.canary.duration >= a.settings.MinDuration)
}

// minCalmDivisor gives the part of the required duration that must be without a surge for an analysis to conclude.
const minCalmDivisor = 2

// concludeOrExtend ends an analysis that has run for its required duration, or extends it by Settings.Duration, at most
// Settings.MaxExtensions times. It is extended if the harm is beyond Settings.HarmMargin without being certain. It
// starts anew if most of it was a surge of demand. harm is the larger difference of the two ratios.
func (a *Analysis) concludeOrExtend(harm float64) {
	mostlySurge := a.calmDuration < a.requiredDuration/minCalmDivisor
	harmUncertain := a.baseline.requests > 0 && harm > a.settings.HarmMargin
	switch {
	case !mostlySurge && !harmUncertain:
		a.verdict = Passed
	case a.extensions >= a.settings.MaxExtensions:
		a.verdict = Inconclusive
	case mostlySurge: // the surge may end
		a.extensions++
		a.canary = arm{}
		a.calmDuration = 0
		a.requiredDuration = a.settings.Duration
	default:
		a.extensions++
		a.requiredDuration += a.settings.Duration
	}
}

// surgeSlack is the number of standard deviations by which the recent requests must exceed their bound to be a surge.
const surgeSlack = 3.0

// observeSurge adds the requests of a slot, and reports whether the canary's demand is a surge: whether the requests of
// the latest slots exceed Settings.MaxDemandRatio times the baseline's rate by more than chance. During a surge less
// service is expected and no harm.
func (a *Analysis) observeSurge(sample *Sample) bool {
	recent, slots := a.canary.observeRequests(sample.Requests)
	bound := a.settings.MaxDemandRatio * a.baseline.requestRate() * float64(sample.Duration) * float64(slots)
	return a.baseline.requests > 0 && recent > bound+surgeSlack*math.Sqrt(bound)
}

// The signs of a metric: whether a lower or a higher ratio of the canary is harm.
const (
	lessIsWorse = -1
	moreIsWorse = 1
)

// comparison is the harm of the canary in a metric.
type comparison struct {
	harm       float64 // difference of the means; positive if the canary is worse
	lowerBound float64 // of harm, at all times, with a probability of 1 - Settings.Alpha/2
}

// compare compares a metric of baseline and canary. Both metrics together have the error probability Settings.Alpha, so
// each has half of it.
func (a *Analysis) compare(baseline, canary *ratioSeries, sign float64) comparison {
	reference := &baseline.perSlot
	tested := &canary.perSlot
	if reference.denominator <= 0 || tested.denominator <= 0 {
		return comparison{}
	}
	harm := sign * (tested.mean() - reference.mean())
	// Slots without a failure have no variance, and yet prove little: the variance is never less than that of as many
	// independent requests, with one failed and one successful request added.
	totalRequests := a.baseline.requests + a.canary.requests
	pooledRatio := (reference.mean()*a.baseline.requests + tested.mean()*a.canary.requests + 1) / (totalRequests + 2)
	pooledRatio = min(max(pooledRatio, 1/(totalRequests+2)), 1-1/(totalRequests+2))
	inflation := max(baseline.varianceInflation(), canary.varianceInflation())
	slotVariance := func(side *arm, moments *ratioMoments) float64 {
		independentVariance := pooledRatio * (1 - pooledRatio) * moments.count / side.requests
		return max(inflation*moments.variance(), independentVariance)
	}
	testedVariance := slotVariance(&a.canary, tested)
	referenceVariance := slotVariance(&a.baseline, reference)
	deviation := math.Sqrt(testedVariance + referenceVariance*tested.count/reference.count)
	return comparison{harm: harm, lowerBound: harm - deviation*confidenceHalfWidth(tested.count, a.settings.Alpha/2)}
}
