// Package concurrency learns how many requests an instance may have in flight before they only wait for one another at
// the endpoints. It knows how long requests took and how many were in flight when each went out; it knows nothing
// of endpoints, clients or sockets. It is a deterministic state machine for one caller at a time.
//
// The rule is that of TCP Vegas (Brakmo, Peterson: "TCP Vegas: End to End Congestion Avoidance on a Global
// Internet", JSAC 1995): of n requests in flight that take r times what they take alone, n·(1-1/r) are waiting. The
// limit grows while fewer than a few wait, and shrinks while more do. What a request takes alone is measured while
// few are in flight; where that never happens by itself, the limit is lowered for a moment now and then, as
// Envoy's adaptive concurrency filter does for its minRTT.
package concurrency

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are what a Limit needs.
type Settings struct {
	Classes  int // of requests
	Min, Max int // bounds of the limit
	Initial  int // the limit at the start, once it is known what requests take alone
	Seed     uint64

	// Grow and Shrink are parts of the limit: it grows while fewer are waiting than the one, about, and shrinks while more
	// are than the other; 0 is growPart and shrinkPart.
	GrowThreshold, ShrinkThreshold float64
}

// Validate says which setting makes no sense.
func (s Settings) Validate() error {
	switch {
	case s.Classes < 1:
		return fmt.Errorf("classes %d: at least one is needed", s.Classes)
	case s.Min < 1:
		return fmt.Errorf("least %d: must be at least 1", s.Min)
	case s.Max < s.Min:
		return fmt.Errorf("most %d: must not be under least, %d", s.Max, s.Min)
	case !(s.GrowThreshold >= 0) || !(s.ShrinkThreshold >= 0) || s.ShrinkThreshold >= 1 || (s.GrowThreshold > 0) != (s.ShrinkThreshold > 0) || s.GrowThreshold > s.ShrinkThreshold:
		return fmt.Errorf("grows below %v, shrinks above %v: must be parts in order, or both 0", s.GrowThreshold, s.ShrinkThreshold)
	case s.Initial < s.Min || s.Initial > s.Max:
		return fmt.Errorf("first %d: must be in %d..%d", s.Initial, s.Min, s.Max)
	}
	return nil
}

const (
	minWindow              = second / 10 // a window is judged after so long at the soonest,
	minWindowSamples       = 30          // and so many samples, or as many as the limit
	growWaiting            = 0.4         // the limit grows while fewer requests wait than this and a part of it,
	shrinkWaiting          = 0.8         // and shrinks while more than this and a larger part:
	defaultGrowThreshold   = 1.0 / 4     // at endpoints that are at work for seven tenths of their time, which is well, about so many wait
	defaultShrinkThreshold = 1.0 / 2.5   // by chance alone
	unloadedDivisor        = 4           // a request that goes out with no more in flight than such a part of the limit is alone
	baselineSamples        = 24          // samples that make a measurement of what requests take alone
	minClassSamples        = 6           // of one class, to go by them alone
	baselineWeight         = 0.05
	measureInterval        = 15 * second // without such samples for so long, the limit is lowered to get some,
	measureDuration        = second      // for no longer than this
	maxSampleRatio         = 4.0         // one request counts as no more than this many times what it takes alone
)

// Limit is the number of requests that may be in flight. Make one with New.
type Limiter struct {
	settings  Settings
	randState uint64
	limit     float64
	doubling  bool // it has never been too high: it doubles

	baselines []baseline // by class

	// The present window.
	windowStart          monotime.Micros
	samples              int
	timeSum, baselineSum float64
	limitReached         bool // the limit was reached

	// Measuring what requests take alone.
	measuring       bool
	measureUntil    monotime.Micros
	unloadedSamples int
	nextMeasurement monotime.Micros // when to measure again, unless that happens by itself
}

// alone is what a class's requests take with hardly any others in flight.
type baseline struct {
	mean    float64
	samples int

	measuredSum     float64 // of the present measurement
	measuredSamples int
}

// New returns a limit, or the error of settings that make no sense.
func New(s Settings) (*Limiter, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("limit: %w", err)
	}
	if s.GrowThreshold == 0 {
		s.GrowThreshold, s.ShrinkThreshold = defaultGrowThreshold, defaultShrinkThreshold
	}
	return &Limiter{settings: s, randState: s.Seed, limit: float64(s.Initial), doubling: true, baselines: make([]baseline, s.Classes),
		measuring: true, measureUntil: math.MaxInt64}, nil
}

// Value returns how many requests may be in flight now.
func (l *Limiter) Limit() int {
	if l.measuring {
		return max(l.settings.Min, int(l.limit/unloadedDivisor))
	}
	return int(l.limit)
}

// Sample tells of a request that was served: how long it took, how many were in flight when it went out, itself
// included, and whether any has had to wait for its turn meanwhile.
func (l *Limiter) AddSample(now monotime.Micros, class int, took monotime.Micros, inFlight int, waited bool) {
	a := &l.baselines[class]
	if l.measuring {
		l.addBaselineSample(now, a, took, inFlight)
		return
	}
	if now >= l.nextMeasurement {
		l.startMeasurement(now)
		return
	}
	if a.samples == 0 || inFlight <= max(1, int(l.limit/unloadedDivisor)) {
		a.samples++
		a.mean += (float64(took) - a.mean) * max(baselineWeight, 1/float64(a.samples))
		if l.unloadedSamples++; l.unloadedSamples >= baselineSamples { // it happens by itself
			l.unloadedSamples, l.nextMeasurement = 0, l.scheduleMeasurement(now)
		}
	}
	l.samples++
	l.timeSum += min(float64(took), maxSampleRatio*a.mean)
	l.baselineSum += a.mean
	l.limitReached = l.limitReached || waited || inFlight >= int(l.limit)
	if now-l.windowStart >= minWindow && l.samples >= max(minWindowSamples, int(l.limit)) {
		l.adjust()
		l.resetWindow(now)
	}
}

// Learned returns the limit and how long requests of each class take alone, zero where that is not known.
func (l *Limiter) Learned() (limit float64, baselines []float64) {
	for i := range l.baselines {
		baselines = append(baselines, l.baselines[i].mean)
	}
	return l.limit, baselines
}

// Restore takes over what another had learned: there is nothing to be measured first. What makes no sense, or is
// not known of every class, is passed over.
func (l *Limiter) Restore(now monotime.Micros, limit float64, baselines []float64) {
	ok := limit >= 1 && !math.IsInf(limit, 0) && len(baselines) == len(l.baselines)
	for _, a := range baselines {
		ok = ok && a > 0 && !math.IsInf(a, 0)
	}
	if !ok {
		return
	}
	for i, a := range baselines {
		l.baselines[i].mean, l.baselines[i].samples = a, baselineSamples
	}
	l.limit = min(float64(l.settings.Max), max(float64(l.settings.Min), limit))
	l.doubling, l.measuring, l.unloadedSamples, l.nextMeasurement = false, false, 0, l.scheduleMeasurement(now)
	l.resetWindow(now)
}

// begin lowers the limit for a measurement.
func (l *Limiter) startMeasurement(now monotime.Micros) {
	l.measuring, l.unloadedSamples, l.measureUntil = true, 0, now+measureDuration
	for i := range l.baselines {
		l.baselines[i].measuredSum, l.baselines[i].measuredSamples = 0, 0
	}
}

// measure takes a sample while the limit is lowered. What went out before, with more in flight, does not count.
func (l *Limiter) addBaselineSample(now monotime.Micros, a *baseline, took monotime.Micros, inFlight int) {
	if l.measureUntil == math.MaxInt64 {
		l.measureUntil = now + measureDuration // the first sample of all
	}
	if inFlight <= l.Limit() {
		a.measuredSum += float64(took)
		a.measuredSamples++
		l.unloadedSamples++
	}
	if l.unloadedSamples < baselineSamples && now < l.measureUntil {
		return
	}
	for i := range l.baselines {
		if a := &l.baselines[i]; a.measuredSamples >= minClassSamples || a.measuredSamples > 0 && a.samples == 0 {
			a.mean, a.samples = a.measuredSum/float64(a.measuredSamples), a.measuredSamples
		}
	}
	l.measuring, l.unloadedSamples, l.nextMeasurement = false, 0, l.scheduleMeasurement(now)
	l.resetWindow(now)
}

// next is when to measure again.
func (l *Limiter) scheduleMeasurement(now monotime.Micros) monotime.Micros {
	return now + measureInterval + l.randomBelow(measureInterval/4)
}

// judge moves the limit by what the window showed.
func (l *Limiter) adjust() {
	ratio := max(1, l.timeSum/l.baselineSum)
	waiting := l.limit * (1 - 1/ratio)
	growBelow, shrinkAbove := growWaiting+l.settings.GrowThreshold*l.limit, shrinkWaiting+l.settings.ShrinkThreshold*l.limit
	switch {
	case waiting > shrinkAbove:
		l.doubling = false
		l.limit -= max(1, (waiting-shrinkAbove)/2)
	case waiting < growBelow && l.limitReached && l.doubling:
		l.limit *= 1.5
	case waiting < growBelow && l.limitReached:
		l.limit += max(1, l.limit/16)
	case waiting >= growBelow:
		l.doubling = false
	}
	l.limit = min(float64(l.settings.Max), max(float64(l.settings.Min), l.limit))
}

func (l *Limiter) resetWindow(now monotime.Micros) {
	l.windowStart, l.samples, l.timeSum, l.baselineSum, l.limitReached = now, 0, 0, 0, false
}

// below returns a duration in [0,d) (SplitMix64).
func (l *Limiter) randomBelow(d monotime.Micros) monotime.Micros {
	l.randState += 0x9e3779b97f4a7c15
	z := l.randState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return monotime.Micros(float64((z^z>>31)>>11) / (1 << 53) * float64(d))
}
