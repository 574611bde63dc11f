// Package canary decides whether what is being tried does worse than what it is held against: a version of the configuration
// against the one before it, or a new pool against the old one beside it. It knows samples of service and of failures in
// short slots of time, and nothing of what is tried; it is free of I/O, and reads no clock.
//
// It looks at each slot and may stop at any, so that a plain test of significance would in the end find harm in anything. What
// it uses is a confidence sequence, which holds at all times at once: of the asymptotic kind (Waudby-Smith, Arbour, Sinha,
// Kennedy, Ramdas: "Time-uniform central limit theory and asymptotic confidence sequences", Annals of Statistics 52, 2024), for
// the difference of two ratios. Their variance is that of their slots, so that bursts count as the noise that they are; where
// bad moments come in spells of several slots, as much larger as it is over longer stretches (batch means: Law, "Simulation
// Modeling and Analysis", section 9.5.3); and no less than that of as many independent requests.
package canary

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

// Settings say how a trial is judged.
type Settings struct {
	Duration       monotime.Micros // what is not found worse for so long is good
	MinDuration    monotime.Micros // nothing is found before that, unless nearly all fails
	HarmMargin     float64         // a difference up to this, of service or of failures, is no harm, however sure
	Alpha          float64         // the chance, over a whole trial, that what is no worse is found to be
	MaxDemandRatio float64         // beyond so many times the reference's demand, less service proves nothing; 0 is 1.5
	MaxExtensions  int             // so often a trial goes on for as long again that proves nothing, before it is taken as good
}

// Validate says which setting makes no sense.
func (s Settings) Validate() error {
	switch {
	case s.Duration <= 0:
		return fmt.Errorf("length %d: must be positive", s.Duration)
	case s.MinDuration < 0 || s.MinDuration > s.Duration:
		return fmt.Errorf("least %d: must be in 0..%d, the length", s.MinDuration, s.Duration)
	case !(s.HarmMargin >= 0 && s.HarmMargin < 1):
		return fmt.Errorf("margin %v: must be in 0..1, not 1", s.HarmMargin)
	case !(s.Alpha > 0 && s.Alpha < 0.5):
		return fmt.Errorf("alpha %v: must be over 0, under 0.5", s.Alpha)
	case s.MaxDemandRatio != 0 && !(s.MaxDemandRatio >= 1):
		return fmt.Errorf("demand %v: must be at least 1", s.MaxDemandRatio)
	case s.MaxExtensions < 0 || s.MaxExtensions > 100:
		return fmt.Errorf("extend %d: must be in 0..100", s.MaxExtensions)
	}
	return nil
}

// demandMost is Demand where it is not set.
const defaultMaxDemandRatio = 1.5

// Sample is what came of the requests that ended in one slot.
type Sample struct {
	Duration      monotime.Micros
	OfferedWeight float64 // worth asked for,
	ServedWeight  float64 // and of this, served within its aim
	Requests      int64
	Failed        int64 // answered with an error, or not in time; refusals are none
}

// batch is over how many slots variance is looked for that single slots do not show.
const batchSlots = 8

// arm sums up samples of one side.
type arm struct {
	duration       monotime.Micros
	requests       float64
	recentRequests [batchSlots]float64 // requests of the last slots
	slots          int

	service, failures ratioSeries
}

// series sums up a ratio of two things, by slots and by stretches of them.
type ratioSeries struct {
	perSlot, perBatch                ratioMoments
	batchNumerator, batchDenominator float64 // of the present stretch,
	slotsInBatch                     int     // and how many it has
}

func (c *ratioSeries) add(x, n float64) {
	if n > 0 {
		c.perSlot.add(x, n)
	}
	c.batchNumerator += x
	c.batchDenominator += n
	if c.slotsInBatch++; c.slotsInBatch == batchSlots {
		if c.batchDenominator > 0 {
			c.perBatch.add(c.batchNumerator, c.batchDenominator)
		}
		c.batchNumerator, c.batchDenominator, c.slotsInBatch = 0, 0, 0
	}
}

// spells is how many times as much the mean varies as if slots were independent; at least 1.
func (c *ratioSeries) varianceInflation() float64 {
	fine, coarse := c.perSlot.variance(), c.perBatch.variance()
	if c.perBatch.count < 4 || fine <= 0 {
		return 1
	}
	return min(max(1, coarse*c.perSlot.count/c.perBatch.count/fine), batchSlots)
}

// ratio sums up a ratio of two things.
type ratioMoments struct{ count, x, n, xx, xn, nn float64 }

func (r *ratioMoments) add(x, n float64) {
	r.count++
	r.x += x
	r.n += n
	r.xx += x * x
	r.xn += x * n
	r.nn += n * n
}

func (r *ratioMoments) mean() float64 {
	if r.n <= 0 {
		return 0
	}
	return r.x / r.n
}

// variance is that of one summand's ratio: of the residuals x - mean·n, by the mean n (Cochran, "Sampling Techniques", 3rd
// ed., section 2.11).
func (r *ratioMoments) variance() float64 {
	if r.count < 2 || r.n <= 0 {
		return 0
	}
	m, mean := r.mean(), r.n/r.count
	return max(0, (r.xx-2*m*r.xn+m*m*r.nn)/(r.count-1)/(mean*mean))
}

// add takes a sample in; one of a rush tells nothing of service.
func (a *arm) add(s *Sample, rush bool) {
	a.duration += s.Duration
	a.requests += float64(s.Requests)
	a.failures.add(float64(s.Failed), float64(s.Requests))
	if !rush {
		a.service.add(s.ServedWeight, s.OfferedWeight)
	}
}

func (a *arm) requestRate() float64 {
	if a.duration <= 0 {
		return 0
	}
	return a.requests / float64(a.duration)
}

// Verdict is what is known of a trial.
type Verdict uint8

// The verdicts.
const (
	Undecided    Verdict = iota
	Passed               // it was tried for long enough
	Degraded             // it does worse
	Inconclusive         // it was tried for long enough, and nothing is proved: it may be somewhat worse, or was asked for far more
)

var verdictNames = [...]string{"going", "good", "worse", "unsure"}

func (v Verdict) String() string { return verdictNames[v] }

// Figures are what a verdict rests on.
type Statistics struct {
	Service        [2]float64 // of the reference, of what is tried
	Failures       [2]float64
	RequestRate    [2]float64      // requests a second
	Harm           float64         // the difference that the verdict is by: of service or of failures
	HarmLowerBound float64         // and what it is at least, at all times with a chance of 1 - Alpha
	Metric         string          // "service", "failures" or "demand"
	Duration       monotime.Micros // tried
	Requests       int64
}

// Text says them in one line.
func (f *Statistics) Text() string {
	return fmt.Sprintf("service %.4f before, %.4f in %.1f s of trial; failures %.4f before, %.4f; requests a second %.0f before, %.0f (%d in all)",
		f.Service[0], f.Service[1], float64(f.Duration)/1e6, f.Failures[0], f.Failures[1], f.RequestRate[0], f.RequestRate[1], f.Requests)
}

// Trial is one that is under way. Make one with New.
type Analysis struct {
	settings         Settings
	baseline, canary arm
	calmDuration     monotime.Micros // of the trial, without rush
	requiredDuration monotime.Micros
	extensions       int
	verdict          Verdict
	statistics       Statistics
}

// New begins a trial against samples that were taken before; more may follow by Reference.
func NewAnalysis(s Settings, before ...Sample) (*Analysis, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	if s.MaxDemandRatio == 0 {
		s.MaxDemandRatio = defaultMaxDemandRatio
	}
	t := &Analysis{settings: s, requiredDuration: s.Duration}
	for i := range before {
		t.baseline.add(&before[i], false)
	}
	return t, nil
}

// Reference takes in a sample of what the trial is held against.
func (t *Analysis) AddBaseline(s Sample) { t.baseline.add(&s, false) }

// Verdict returns the last verdict, and what it rests on.
func (t *Analysis) Result() (Verdict, Statistics) { return t.verdict, t.statistics }

// grossLeast and grossPart: where so many requests came to so little of what the reference gave, no more needs to be known.
const (
	severeMinRequests = 20
	severeHarm        = 0.5
)

// lostLeast and lostPart: where so many requests would have come as before, over lostTime at least, and less than such a part
// of them did, clients do not find their way any more. That chance alone did it is out of the question.
const (
	lostMinExpected = 50
	lostMaxFraction = 0.1
	lostMinDuration = 1_000_000
)

// Try takes in a sample of what is tried, and returns what is known now. After Good, Worse or Unsure nothing changes.
func (t *Analysis) AddCanary(s Sample) (Verdict, Statistics) {
	if t.verdict != Undecided {
		return t.verdict, t.statistics
	}
	rush := t.observeSurge(&s)
	if !rush {
		t.calmDuration += s.Duration
	}
	t.canary.add(&s, rush)
	service, surely := t.harm(&t.baseline.service, &t.canary.service, -1)
	failures, surelyFailed := t.harm(&t.baseline.failures, &t.canary.failures, 1)
	t.statistics = Statistics{Service: [2]float64{t.baseline.service.perSlot.mean(), t.canary.service.perSlot.mean()},
		Failures:    [2]float64{t.baseline.failures.perSlot.mean(), t.canary.failures.perSlot.mean()},
		RequestRate: [2]float64{t.baseline.requestRate() * 1e6, t.canary.requestRate() * 1e6},
		Harm:        failures, HarmLowerBound: surelyFailed, Metric: "failures", Duration: t.canary.duration, Requests: int64(t.canary.requests)}
	if surely > surelyFailed {
		t.statistics.Harm, t.statistics.HarmLowerBound, t.statistics.Metric = service, surely, "service"
	}
	gross := t.canary.requests >= severeMinRequests && t.statistics.Harm > severeHarm && t.statistics.HarmLowerBound > 0
	expected := t.baseline.requestRate() * float64(t.canary.duration)
	switch {
	case t.baseline.requests <= 0: // there is nothing to hold it against
	case expected >= lostMinExpected && t.canary.requests < lostMaxFraction*expected && 1-lostMaxFraction > t.settings.HarmMargin && t.canary.duration >= max(lostMinDuration, t.settings.MinDuration):
		t.statistics.Metric, t.statistics.Harm = "demand", 1-t.canary.requests/expected
		t.statistics.HarmLowerBound = t.statistics.Harm
		t.verdict = Degraded
		return t.verdict, t.statistics
	case t.statistics.HarmLowerBound > 0 && t.statistics.Harm > t.settings.HarmMargin && (t.canary.duration >= t.settings.MinDuration || gross):
		t.verdict = Degraded
		return t.verdict, t.statistics
	}
	if t.canary.duration < t.requiredDuration {
		return Undecided, t.statistics
	}
	rushed := t.calmDuration < t.requiredDuration/2
	doubtful := t.baseline.requests > 0 && max(service, failures) > t.settings.HarmMargin // and not surely so: too little has been asked for
	switch {
	case !rushed && !doubtful:
		t.verdict = Passed
	case t.extensions >= t.settings.MaxExtensions:
		t.verdict = Inconclusive
	case rushed: // which may pass
		t.extensions++
		t.canary, t.calmDuration, t.requiredDuration = arm{}, 0, t.settings.Duration
	default:
		t.extensions++
		t.requiredDuration += t.settings.Duration
	}
	return t.verdict, t.statistics
}

// rushSlack is by how many standard deviations what is asked for in the last slots must be beyond the bound to be a rush.
const surgeSlack = 3.0

// rush says whether so much more than before is asked for that less service is no wonder.
func (t *Analysis) observeSurge(s *Sample) bool {
	a := &t.canary
	a.recentRequests[a.slots%batchSlots] = float64(s.Requests)
	a.slots++
	var sum float64
	for _, n := range a.recentRequests {
		sum += n
	}
	want := t.settings.MaxDemandRatio * t.baseline.requestRate() * float64(s.Duration) * float64(min(a.slots, batchSlots))
	return t.baseline.requests > 0 && sum > want+surgeSlack*math.Sqrt(want)
}

// harm returns by how much what is tried does worse, and by how much at least: sign is 1 where more is worse.
func (t *Analysis) harm(ref, try *ratioSeries, sign float64) (mean, surely float64) {
	r, x := &ref.perSlot, &try.perSlot
	if r.n <= 0 || x.n <= 0 {
		return 0, 0
	}
	mean = sign * (x.mean() - r.mean())
	// Slots in which all went well show no variance, and one bad request is no proof: never less than that of as many
	// independent requests, of which one more and one less has failed.
	all := t.baseline.requests + t.canary.requests
	p := (r.mean()*t.baseline.requests + x.mean()*t.canary.requests + 1) / (all + 2)
	p = min(max(p, 1/(all+2)), 1-1/(all+2))
	spells := max(ref.varianceInflation(), try.varianceInflation())
	of := func(a *arm, r *ratioMoments) float64 { return max(spells*r.variance(), p*(1-p)*r.count/a.requests) }
	sd := math.Sqrt(of(&t.canary, x) + of(&t.baseline, r)*x.count/r.count)
	return mean, mean - sd*confidenceHalfWidth(x.count, t.settings.Alpha/2)
}

// rho tunes where the sequence is tightest: at about as many slots as (-log α² + log(-2 log α² + 1))/ρ² (the same paper,
// section B.2); this is a few dozen.
const rho = 0.3

// boundary is the half of the sequence's width at n slots, in standard deviations of one slot; one-sided.
func confidenceHalfWidth(n, alpha float64) float64 {
	if n < 2 {
		return math.Inf(1)
	}
	v := n*rho*rho + 1
	return math.Sqrt(2 * v / (n * n * rho * rho) * math.Log(1+math.Sqrt(v)/(2*alpha)))
}
