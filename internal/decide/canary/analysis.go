package canary

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// From severeMinRequests requests on, a harm over severeHarm is enough for a verdict before Settings.MinDuration.
const (
	severeMinRequests = 20
	severeHarm        = 0.5
)

// A canary that gets less than lostMaxFraction of the requests that the baseline's rate would bring has lost its
// clients: if those would be lostMinExpected at least, and it has run for lostMinDuration. Chance is out of the
// question then.
const (
	lostMinExpected                 = 50
	lostMaxFraction                 = 0.1
	lostMinDuration monotime.Micros = 1_000_000
)

// surgeSlack is by how many standard deviations the recent demand must exceed its bound to be a surge.
const surgeSlack = 3.0

// Analysis compares a canary with its baseline. Make one with NewAnalysis. It is not safe for concurrent use.
type Analysis struct {
	settings Settings
	baseline arm
	canary   arm

	calmDuration     monotime.Micros // of the canary, without surges of demand
	requiredDuration monotime.Micros
	extensions       int

	verdict    Verdict
	statistics Statistics
}

// NewAnalysis returns an analysis with samples of the baseline, to which AddBaseline may add. Its error is that of
// Settings.Validate.
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

// AddCanary adds a sample of the canary, and returns the verdict with its statistics. A final verdict does not change
// any more.
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
	case a.baseline.requests <= 0: // there is nothing to compare with
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

// updateStatistics describes the present state, by the metric with the more certain harm.
func (a *Analysis) updateStatistics(service, failures comparison) {
	a.statistics = Statistics{
		Service:        [2]float64{a.baseline.service.perSlot.mean(), a.canary.service.perSlot.mean()},
		Failures:       [2]float64{a.baseline.failures.perSlot.mean(), a.canary.failures.perSlot.mean()},
		RequestRate:    [2]float64{a.baseline.requestRate() * 1e6, a.canary.requestRate() * 1e6},
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

// lostClients reports whether far fewer requests come than the baseline had, and describes that in the statistics.
func (a *Analysis) lostClients() bool {
	expected := a.baseline.requestRate() * float64(a.canary.duration)
	fewer := expected >= lostMinExpected && a.canary.requests < lostMaxFraction*expected
	harmful := 1-lostMaxFraction > a.settings.HarmMargin
	longEnough := a.canary.duration >= max(lostMinDuration, a.settings.MinDuration)
	if !fewer || !harmful || !longEnough {
		return false
	}
	a.statistics.Metric = MetricDemand
	a.statistics.Harm = 1 - a.canary.requests/expected
	a.statistics.HarmLowerBound = a.statistics.Harm
	return true
}

// harmed reports whether the harm in the statistics is certain, beyond the margin, and old or severe enough.
func (a *Analysis) harmed() bool {
	s := &a.statistics
	certain := s.HarmLowerBound > 0 && s.Harm > a.settings.HarmMargin
	severe := a.canary.requests >= severeMinRequests && s.Harm > severeHarm
	return certain && (severe || a.canary.duration >= a.settings.MinDuration)
}

// concludeOrExtend ends an analysis that has run for its required duration, or extends it if a result is not clear.
// harm is the larger difference, which is not certain.
func (a *Analysis) concludeOrExtend(harm float64) {
	surged := a.calmDuration < a.requiredDuration/2
	doubtful := a.baseline.requests > 0 && harm > a.settings.HarmMargin
	switch {
	case !surged && !doubtful:
		a.verdict = Passed
	case a.extensions >= a.settings.MaxExtensions:
		a.verdict = Inconclusive
	case surged: // which may end: start again
		a.extensions++
		a.canary = arm{}
		a.calmDuration = 0
		a.requiredDuration = a.settings.Duration
	default:
		a.extensions++
		a.requiredDuration += a.settings.Duration
	}
}

// observeSurge notes the requests of a slot, and reports whether so many more come than the baseline had that less
// service is to be expected.
func (a *Analysis) observeSurge(sample *Sample) bool {
	recent, slots := a.canary.observeRequests(sample.Requests)
	bound := a.settings.MaxDemandRatio * a.baseline.requestRate() * float64(sample.Duration) * float64(slots)
	return a.baseline.requests > 0 && recent > bound+surgeSlack*math.Sqrt(bound)
}

// The signs of a metric.
const (
	lessIsWorse = -1
	moreIsWorse = 1
)

// comparison is by how much the canary does worse in a metric.
type comparison struct {
	harm       float64 // difference of the means
	lowerBound float64 // of harm
}

// compare compares a metric of baseline and canary.
func (a *Analysis) compare(baseline, canary *ratioSeries, sign float64) comparison {
	reference := &baseline.perSlot
	tested := &canary.perSlot
	if reference.denominator <= 0 || tested.denominator <= 0 {
		return comparison{}
	}
	harm := sign * (tested.mean() - reference.mean())
	// Slots without a failure show no variance, and one failed request proves nothing: the variance is never less
	// than that of as many independent requests, of which one more has failed, and one more has not.
	requests := a.baseline.requests + a.canary.requests
	pooled := (reference.mean()*a.baseline.requests + tested.mean()*a.canary.requests + 1) / (requests + 2)
	pooled = min(max(pooled, 1/(requests+2)), 1-1/(requests+2))
	inflation := max(baseline.varianceInflation(), canary.varianceInflation())
	slotVariance := func(side *arm, moments *ratioMoments) float64 {
		independent := pooled * (1 - pooled) * moments.count / side.requests
		return max(inflation*moments.variance(), independent)
	}
	testedVariance := slotVariance(&a.canary, tested)
	referenceVariance := slotVariance(&a.baseline, reference)
	deviation := math.Sqrt(testedVariance + referenceVariance*tested.count/reference.count)
	return comparison{harm: harm, lowerBound: harm - deviation*confidenceHalfWidth(tested.count, a.settings.Alpha/2)}
}
