package concurrency

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

const (
	minWindow        = second / 10 // a window is evaluated after this time at the earliest,
	minWindowSamples = 30          // and after as many samples, or as many as the limit

	// The limit grows while fewer requests wait than growWaiting and GrowThreshold of the limit, and shrinks
	// while more wait than shrinkWaiting and ShrinkThreshold of it. At endpoints that are busy for seven tenths
	// of the time, which is healthy, about as many wait by chance as the default thresholds say.
	growWaiting            = 0.4
	shrinkWaiting          = 0.8
	defaultGrowThreshold   = 1.0 / 4
	defaultShrinkThreshold = 1.0 / 2.5

	maxSampleRatio = 4.0 // one request counts as at most this many times its baseline
)

// Limiter is an adaptive limit on the requests in flight. Make one with New; it is for one goroutine at a time.
type Limiter struct {
	settings  Settings
	rand      hash64.Source
	limit     float64
	slowStart bool // the limit was never too high, and grows by half (slow start)

	baselines []baseline // by class

	// The present window.
	windowStart  monotime.Micros
	samples      int
	timeSum      float64 // of the samples, in microseconds
	baselineSum  float64 // of their classes' baselines
	limitReached bool

	// The measurement of baselines.
	measuring       bool // the limit is lowered
	measureUntil    monotime.Micros
	unloadedSamples int             // since the last measurement, or of the present one
	nextMeasurement monotime.Micros // unless enough unloaded samples come by themselves
}

// New returns a limiter that first measures the baselines, or the error of settings that are invalid.
func New(s Settings) (*Limiter, error) {
	if err := s.Validate(); err != nil {
		return nil, fmt.Errorf("limit: %w", err)
	}
	if s.GrowThreshold == 0 {
		s.GrowThreshold = defaultGrowThreshold
		s.ShrinkThreshold = defaultShrinkThreshold
	}
	return &Limiter{
		settings:     s,
		rand:         hash64.Source(s.Seed),
		limit:        float64(s.Initial),
		slowStart:    true,
		baselines:    make([]baseline, s.Classes),
		measuring:    true,
		measureUntil: math.MaxInt64,
	}, nil
}

// Limit returns how many requests may be in flight now.
func (l *Limiter) Limit() int {
	if l.measuring {
		return max(l.settings.Min, int(l.limit/unloadedDivisor))
	}
	return int(l.limit)
}

// AddSample takes in a request that was served: how long it took, how many were in flight when it was sent, itself
// included, and whether any request has waited for admission meanwhile.
func (l *Limiter) AddSample(now monotime.Micros, class int, took monotime.Micros, inFlight int, waited bool) {
	base := &l.baselines[class]
	if l.measuring {
		l.addBaselineSample(now, base, took, inFlight)
		return
	}
	if now >= l.nextMeasurement {
		l.startMeasurement(now)
		return
	}
	if base.samples == 0 || inFlight <= max(1, int(l.limit/unloadedDivisor)) {
		l.addUnloadedSample(now, base, took)
	}
	l.samples++
	l.timeSum += min(float64(took), maxSampleRatio*base.mean)
	l.baselineSum += base.mean
	l.limitReached = l.limitReached || waited || inFlight >= int(l.limit)
	if now-l.windowStart >= minWindow && l.samples >= max(minWindowSamples, int(l.limit)) {
		l.adjust()
		l.resetWindow(now)
	}
}

// Learned returns the limit, and the baseline of each class in microseconds, zero where it is not known.
func (l *Limiter) Learned() (limit float64, baselines []float64) {
	for i := range l.baselines {
		baselines = append(baselines, l.baselines[i].mean)
	}
	return l.limit, baselines
}

// Restore sets what another limiter has learned, so that nothing need be measured first. Values that are
// invalid, or that lack a class, are ignored.
func (l *Limiter) Restore(now monotime.Micros, limit float64, baselines []float64) {
	valid := limit >= 1 && !math.IsInf(limit, 0) && len(baselines) == len(l.baselines)
	for _, mean := range baselines {
		valid = valid && mean > 0 && !math.IsInf(mean, 0)
	}
	if !valid {
		return
	}
	for i, mean := range baselines {
		l.baselines[i].mean = mean
		l.baselines[i].samples = baselineSamples
	}
	l.limit = min(float64(l.settings.Max), max(float64(l.settings.Min), limit))
	l.slowStart = false
	l.endMeasurement(now)
}

// adjust moves the limit by what the window showed.
func (l *Limiter) adjust() {
	ratio := max(1, l.timeSum/l.baselineSum)
	waiting := l.limit * (1 - 1/ratio)
	growBelow := growWaiting + l.settings.GrowThreshold*l.limit
	shrinkAbove := shrinkWaiting + l.settings.ShrinkThreshold*l.limit
	switch {
	case waiting > shrinkAbove:
		l.slowStart = false
		l.limit -= max(1, (waiting-shrinkAbove)/2)
	case waiting < growBelow && l.limitReached && l.slowStart:
		l.limit *= 1.5
	case waiting < growBelow && l.limitReached:
		l.limit += max(1, l.limit/16)
	case waiting >= growBelow:
		l.slowStart = false
	}
	l.limit = min(float64(l.settings.Max), max(float64(l.settings.Min), l.limit))
}

// resetWindow starts a new window.
func (l *Limiter) resetWindow(now monotime.Micros) {
	l.windowStart = now
	l.samples = 0
	l.timeSum = 0
	l.baselineSum = 0
	l.limitReached = false
}
