package concurrency

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
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
