package concurrency

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// Limiter is an adaptive limit on the requests in flight. Make one with New; it is for one goroutine at a time.
type Limiter struct {
	settings  Settings
	rand      hash64.Source
	limit     float64
	slowStart bool // the limit was never too high: it grows by half at a time

	baselines []baseline // by class

	// The present window.
	windowStart   monotime.Micros
	samples       int
	sampleTimeSum float64 // of the samples, in microseconds
	baselineSum   float64 // of the baselines of the samples' classes, in microseconds
	limitReached  bool    // requests were kept waiting by the limit, or as many as the limit were in flight

	// The measurement of baselines.
	measuring       bool            // the limit is lowered
	measureUntil    monotime.Micros // latest end of the measurement
	unloadedSamples int             // since the last measurement, or in the present one
	nextMeasurement monotime.Micros // postponed whenever enough unloaded samples come by themselves
}

// New returns a limiter that measures the baselines first, or an error if the settings are invalid.
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

// Limit returns how many requests may be in flight now: the learned limit, or a part of it during a measurement.
func (l *Limiter) Limit() int {
	if l.measuring {
		return max(l.settings.Min, int(l.limit/unloadedDivisor))
	}
	return int(l.limit)
}

// A window ends once it has lasted for minWindow and has as many samples as the limit, but at least minWindowSamples.
const (
	minWindow        = second / 10
	minWindowSamples = 30
)

// maxSampleRatio is the multiple of its class's baseline that one request counts as at most, so that a few very slow
// requests do not shrink the limit.
const maxSampleRatio = 4.0

// AddSample takes in a request that was served: its time in flight, the requests in flight when it was sent, itself
// included, and whether a request has waited for admission meanwhile. At the end of a window it moves the limit
// (adjust).
func (l *Limiter) AddSample(now monotime.Micros, class int, timeInFlight monotime.Micros, inFlight int, waited bool) {
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
	l.limitReached = l.limitReached || waited || inFlight >= int(l.limit)
	if now-l.windowStart >= minWindow && l.samples >= max(minWindowSamples, int(l.limit)) {
		l.adjust()
		l.resetWindow(now)
	}
}

// Learned returns the limit, and the baseline of each class in microseconds, 0 for a class whose baseline is not known.
func (l *Limiter) Learned() (limit float64, baselines []float64) {
	for i := range l.baselines {
		baselines = append(baselines, l.baselines[i].mean)
	}
	return l.limit, baselines
}

// Restore sets the limit and the baselines that another limiter has learned, in place of the first measurement. They
// are ignored if one is invalid, or if the baseline of a class is missing.
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

// The thresholds of adjust, in waiting requests: a constant part and a part of the limit. At endpoints that are busy
// for seven tenths of the time, which is healthy, about as many requests wait by chance as the defaults allow.
const (
	growWaiting   = 0.4 // requests, added to GrowThreshold of the limit
	shrinkWaiting = 0.8 // requests, added to ShrinkThreshold of the limit
)

// The default thresholds, as parts of the limit.
const (
	defaultGrowThreshold   = 1.0 / 4
	defaultShrinkThreshold = 1.0 / 2.5
)

// The steps of adjust.
const (
	slowStartFactor     = 1.5 // on the limit, for a window in slow start
	growDivisor         = 16  // of the limit that a later window adds, but at least one request
	shrinkExcessDivisor = 2   // of the requests that wait beyond the threshold, by which the limit falls; at least one
)

// adjust decides at the end of a window whether the limit grows, shrinks or stays. waiting is the number of requests
// that were only waiting at the endpoints, of those in flight: limit*(1-1/ratio), where ratio is the samples' time
// over their baselines. Few waiting requests let the limit grow only if it was reached, since otherwise nothing shows
// that there is more capacity.
func (l *Limiter) adjust() {
	ratio := max(1, l.sampleTimeSum/l.baselineSum)
	waiting := l.limit * (1 - 1/ratio)
	growBelow := growWaiting + l.settings.GrowThreshold*l.limit
	shrinkAbove := shrinkWaiting + l.settings.ShrinkThreshold*l.limit
	switch {
	case waiting > shrinkAbove:
		l.slowStart = false
		l.limit -= max(1, (waiting-shrinkAbove)/shrinkExcessDivisor)
	case waiting < growBelow && l.limitReached && l.slowStart:
		l.limit *= slowStartFactor
	case waiting < growBelow && l.limitReached:
		l.limit += max(1, l.limit/growDivisor)
	case waiting >= growBelow:
		l.slowStart = false
	}
	l.limit = min(float64(l.settings.Max), max(float64(l.settings.Min), l.limit))
}

// resetWindow starts a new window.
func (l *Limiter) resetWindow(now monotime.Micros) {
	l.windowStart = now
	l.samples = 0
	l.sampleTimeSum = 0
	l.baselineSum = 0
	l.limitReached = false
}
