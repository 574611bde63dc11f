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

	calmDuration     monotime.Micros // total duration of the canary's slots without a surge of demand
	requiredDuration monotime.Micros // Settings.Duration, plus extensions in which the samples were kept
	extensions       int             // number of extensions so far

	verdict    Verdict
	statistics Statistics
}

// NewAnalysis returns an analysis whose baseline has the given samples. AddBaseline adds further samples of the
// baseline. NewAnalysis fails if Settings.Validate fails.
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

// Result returns the current verdict and its statistics.
func (a *Analysis) Result() (Verdict, Statistics) { return a.verdict, a.statistics }

// AddCanary adds a sample of the canary, and returns the verdict and its statistics. The verdict is Degraded as soon as
// the canary has lost its clients, or certainly performs worse than its baseline. After the required duration the
// verdict is Passed or Inconclusive, or the analysis is extended. Once the verdict is not Undecided, it no longer
// changes.
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

// microsecondsPerSecond converts rates per microsecond to rates per second.
const microsecondsPerSecond = 1e6

// updateStatistics computes the statistics from all samples so far. It reports the harm of the metric whose harm has
// the higher lower bound, of the two metrics served ratio and failed ratio.
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

// Thresholds of lostClients. Beyond them, a lack of requests cannot be due to chance.
const (
	lostMinExpected = 50              // minimum of the expected requests for clients to count as lost
	lostMaxFraction = 0.1             // fraction of the expected requests below which clients count as lost
	lostMinDuration = monotime.Second // minimum duration of the canary for clients to count as lost
)

// lostClients reports whether the canary has lost its clients, and records that in the statistics. A canary has lost
// its clients if it gets less than lostMaxFraction of the requests expected at the baseline's rate, provided that at
// least lostMinExpected requests are expected and that the canary has run for lostMinDuration and
// Settings.MinDuration. The check is necessary because requests that do not reach the canary change neither its
// served nor its failed ratio.
func (a *Analysis) lostClients() bool {
	expectedRequests := a.baseline.requestRate() * float64(a.canary.duration)
	tooFewRequests := expectedRequests >= lostMinExpected && a.canary.requests < lostMaxFraction*expectedRequests
	exceedsMargin := 1-lostMaxFraction > a.settings.HarmMargin
	longEnough := a.canary.duration >= max(lostMinDuration, a.settings.MinDuration)
	if !tooFewRequests || !exceedsMargin || !longEnough {
		return false
	}
	a.statistics.Metric = MetricDemand
	a.statistics.Harm = 1 - a.canary.requests/expectedRequests
	a.statistics.HarmLowerBound = a.statistics.Harm
	return true
}

// Thresholds of severe harm. A canary with severe harm is found degraded even before Settings.MinDuration.
const (
	severeMinRequests = 20  // minimum number of requests of the canary for harm to be severe
	severeHarm        = 0.5 // difference of the ratios above which harm is severe
)

// harmed reports whether the harm in the statistics is certain and exceeds Settings.HarmMargin. Before
// Settings.MinDuration the harm must also be severe.
func (a *Analysis) harmed() bool {
	stats := &a.statistics
	certain := stats.HarmLowerBound > 0 && stats.Harm > a.settings.HarmMargin
	severe := a.canary.requests >= severeMinRequests && stats.Harm > severeHarm
	return certain && (severe || a.canary.duration >= a.settings.MinDuration)
}

// minCalmDivisor divides the required duration of an analysis. The quotient is the minimum time without a surge of
// demand that a canary needs to pass.
const minCalmDivisor = 2

// concludeOrExtend ends an analysis that has run for its required duration, or extends it by Settings.Duration, at most
// Settings.MaxExtensions times. It is extended if the harm exceeds Settings.HarmMargin but is not certain, or if demand
// was a surge most of the time. After such a surge the samples of the canary are discarded and collected again. harm is
// the larger harm of the two metrics.
func (a *Analysis) concludeOrExtend(harm float64) {
	mostlySurge := a.calmDuration < a.requiredDuration/minCalmDivisor
	harmUncertain := a.baseline.requests > 0 && harm > a.settings.HarmMargin
	switch {
	case !mostlySurge && !harmUncertain:
		a.verdict = Passed
	case a.extensions >= a.settings.MaxExtensions:
		a.verdict = Inconclusive
	case mostlySurge: // collect new samples, because the surge may end
		a.extensions++
		a.canary = arm{}
		a.calmDuration = 0
		a.requiredDuration = a.settings.Duration
	default:
		a.extensions++
		a.requiredDuration += a.settings.Duration
	}
}

// surgeSlack is the number of standard deviations by which the recent requests must exceed their expected maximum to
// count as a surge.
const surgeSlack = 3.0

// observeSurge records the number of requests in a slot of the canary, and reports whether the canary's demand is a
// surge. A surge means that the requests in the latest slots exceed Settings.MaxDemandRatio times the baseline's rate
// by more than chance explains. During a surge a lower served ratio is expected, and does not count as harm.
func (a *Analysis) observeSurge(sample *Sample) bool {
	recentRequests, slotCount := a.canary.observeRequests(sample.Requests)
	maxExpectedRequests := a.settings.MaxDemandRatio * a.baseline.requestRate() *
		float64(sample.Duration) * float64(slotCount)
	return a.baseline.requests > 0 && recentRequests > maxExpectedRequests+surgeSlack*math.Sqrt(maxExpectedRequests)
}

// Values of the sign parameter of compare, which states whether a lower or a higher ratio of the canary is harm.
const (
	lessIsWorse = -1
	moreIsWorse = 1
)

// comparison is the harm of the canary in one metric.
type comparison struct {
	harm       float64 // difference of the mean ratios; positive if the canary is worse
	lowerBound float64 // bound that harm exceeds at all times with probability 1 - Settings.Alpha/2
}

// compare compares the ratios of canary and baseline in one metric. Two metrics are compared, and they share the error
// probability Settings.Alpha, so each comparison uses half of it. sign is lessIsWorse or moreIsWorse.
func (a *Analysis) compare(baseline, canary *ratioSeries, sign float64) comparison {
	baselineMoments := &baseline.perSlot
	canaryMoments := &canary.perSlot
	if baselineMoments.denominator <= 0 || canaryMoments.denominator <= 0 {
		return comparison{}
	}
	harm := sign * (canaryMoments.mean() - baselineMoments.mean())
	// Slots without any failure have no variance, but a small number of them proves little. The variance is therefore
	// at least that of the same number of independent requests, with one failed and one successful request added.
	totalRequests := a.baseline.requests + a.canary.requests
	pooledRatio := (baselineMoments.mean()*a.baseline.requests + canaryMoments.mean()*a.canary.requests + 1) /
		(totalRequests + 2)
	pooledRatio = min(max(pooledRatio, 1/(totalRequests+2)), 1-1/(totalRequests+2))
	varianceFactor := max(baseline.varianceInflation(), canary.varianceInflation())
	slotVariance := func(side *arm, moments *ratioMoments) float64 {
		independentVariance := pooledRatio * (1 - pooledRatio) * moments.count / side.requests
		return max(varianceFactor*moments.variance(), independentVariance)
	}
	canaryVariance := slotVariance(&a.canary, canaryMoments)
	baselineVariance := slotVariance(&a.baseline, baselineMoments)
	standardDeviation := math.Sqrt(canaryVariance + baselineVariance*canaryMoments.count/baselineMoments.count)
	return comparison{
		harm:       harm,
		lowerBound: harm - standardDeviation*confidenceHalfWidth(canaryMoments.count, a.settings.Alpha/2),
	}
}
