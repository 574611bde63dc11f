package concurrency

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// Limiter adapts a limit on the number of requests in flight. Create it with New. It must not be used by
// several goroutines at once.
type Limiter struct {
	settings  Settings
	rand      hash64.Source // for the random delay of measurements
	limit     float64       // requests in flight, outside of a measurement
	slowStart bool          // the limit has not been too high yet, and grows by slowStartFactor

	baselines []baseline // baselines by class

	// The samples of the current window.
	windowStart   monotime.Micros
	samples       int
	sampleTimeSum float64 // sum of the times in flight, in microseconds
	baselineSum   float64 // sum of the baselines of the samples' classes, in microseconds
	limitReached  bool    // a request waited for admission, or as many requests as the limit were in flight

	// The measurement of baselines (baseline.go).
	measuring       bool            // a measurement is in progress, and the limit is lowered
	measureUntil    monotime.Micros // instant at which the measurement ends at the latest
	unloadedSamples int             // unloaded samples since the last measurement, or in the current one
	nextMeasurement monotime.Micros // instant; postponed by baselineSamples unloaded samples
}

// New returns a limiter that first measures the baselines, or an error if the settings are invalid.
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

// Limit returns how many requests may be in flight now: the estimated limit, or a fraction of it during a
// measurement.
func (l *Limiter) Limit() int {
	if l.measuring {
		return max(l.settings.Min, int(l.limit/unloadedDivisor))
	}
	return int(l.limit)
}

// A window ends once it has lasted for minWindow and has as many samples as the limit, and at least
// minWindowSamples.
const (
	minWindow        = second / 10
	minWindowSamples = 30
)

// maxSampleRatio limits the time of one sample to this multiple of the baseline of its class, so that a few
// very slow requests do not shrink the limit.
const maxSampleRatio = 4.0

// AddSample records a served request: its time in flight, the number of requests in flight when it was sent,
// including itself, and whether a request waited for admission in the meantime. At the end of a window it
// adjusts the limit.
func (l *Limiter) AddSample(
	now monotime.Micros, class int, timeInFlight monotime.Micros, inFlight int, requestWaited bool,
) {
	classBaseline := &l.baselines[class]
	if l.measuring {
		l.addBaselineSample(now, classBaseline, timeInFlight, inFlight)
		return
	}
	if now >= l.nextMeasurement {
		l.startMeasurement(now)
		return
	}
	if classBaseline.samples == 0 || inFlight <= max(1, int(l.limit/unloadedDivisor)) {
		l.addUnloadedSample(now, classBaseline, timeInFlight)
	}
	l.samples++
	l.sampleTimeSum += min(float64(timeInFlight), maxSampleRatio*classBaseline.mean)
	l.baselineSum += classBaseline.mean
	l.limitReached = l.limitReached || requestWaited || inFlight >= int(l.limit)
	if now-l.windowStart >= minWindow && l.samples >= max(minWindowSamples, int(l.limit)) {
		l.adjust()
		l.resetWindow(now)
	}
}

// LearnedState returns the estimated limit, and the baseline of each class in microseconds, 0 for a class without a
// baseline.
func (l *Limiter) LearnedState() (limit float64, baselines []float64) {
	for i := range l.baselines {
		baselines = append(baselines, l.baselines[i].mean)
	}
	return l.limit, baselines
}

// Restore sets the limit and the baselines that another limiter has estimated, and skips the initial
// measurement. It does nothing if a value is invalid, or if the baseline of a class is missing.
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

// Constant terms of the thresholds on the number of waiting requests (adjust). The other term is a fraction of
// the limit. With the defaults, about as many requests may wait as wait by chance at endpoints that are busy
// for 70% of the time, which is healthy.
const (
	growWaiting   = 0.4 // requests, added to the product of GrowThreshold and the limit
	shrinkWaiting = 0.8 // requests, added to the product of ShrinkThreshold and the limit
)

// The default thresholds, as fractions of the limit.
const (
	defaultGrowThreshold   = 1.0 / 4
	defaultShrinkThreshold = 1.0 / 2.5
)

// The changes of the limit at the end of a window (adjust).
const (
	slowStartFactor     = 1.5 // factor by which the limit grows in slow start
	growDivisor         = 16  // divisor of the limit that gives its later growth, at least one request
	shrinkExcessDivisor = 2   // divisor of the excess of waiting requests that gives the decrease, at least one
)

// adjust grows, shrinks or keeps the limit at the end of a window. The number of requests in flight that only
// wait at the endpoints is limit*(1-1/timeRatio), where timeRatio is the sum of the times in flight divided by
// the sum of the baselines. If few requests wait, the limit only grows if it was reached: otherwise there is no
// evidence of more capacity.
func (l *Limiter) adjust() {
	timeRatio := max(1, l.sampleTimeSum/l.baselineSum)
	waitingRequests := l.limit * (1 - 1/timeRatio)
	growBelow := growWaiting + l.settings.GrowThreshold*l.limit
	shrinkAbove := shrinkWaiting + l.settings.ShrinkThreshold*l.limit
	switch {
	case waitingRequests > shrinkAbove:
		l.slowStart = false
		l.limit -= max(1, (waitingRequests-shrinkAbove)/shrinkExcessDivisor)
	case waitingRequests < growBelow && l.limitReached && l.slowStart:
		l.limit *= slowStartFactor
	case waitingRequests < growBelow && l.limitReached:
		l.limit += max(1, l.limit/growDivisor)
	case waitingRequests >= growBelow:
		l.slowStart = false
	}
	l.limit = min(float64(l.settings.Max), max(float64(l.settings.Min), l.limit))
}

// resetWindow starts a new window at the instant now.
func (l *Limiter) resetWindow(now monotime.Micros) {
	l.windowStart = now
	l.samples = 0
	l.sampleTimeSum = 0
	l.baselineSum = 0
	l.limitReached = false
}
