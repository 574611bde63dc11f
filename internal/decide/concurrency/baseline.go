package concurrency

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	unloadedDivisor = 4  // a request counts as alone if no more were in flight than this part of the limit
	baselineSamples = 24 // samples that make a measurement,
	minClassSamples = 6  // and of one class, for its baseline to be replaced
	baselineWeight  = 0.05

	measureInterval = 15 * second // without enough unloaded samples for this time the limit is lowered to get some,
	measureDuration = second      // for no longer than this
)

// baseline is what a class's requests take with hardly any others in flight.
type baseline struct {
	mean    float64 // in microseconds
	samples int

	measuredSum     float64 // of the present measurement
	measuredSamples int
}

// addUnloadedSample takes in a request that was alone while the limit is not lowered. Enough of them make a measurement
// unnecessary.
func (l *Limiter) addUnloadedSample(now monotime.Micros, base *baseline, took monotime.Micros) {
	base.samples++
	base.mean += (float64(took) - base.mean) * max(baselineWeight, 1/float64(base.samples))
	l.unloadedSamples++
	if l.unloadedSamples >= baselineSamples {
		l.unloadedSamples = 0
		l.nextMeasurement = l.scheduleMeasurement(now)
	}
}

// startMeasurement lowers the limit for a measurement.
func (l *Limiter) startMeasurement(now monotime.Micros) {
	l.measuring = true
	l.unloadedSamples = 0
	l.measureUntil = now + measureDuration
	for i := range l.baselines {
		l.baselines[i].measuredSum = 0
		l.baselines[i].measuredSamples = 0
	}
}

// addBaselineSample takes in a request while the limit is lowered. Requests that were sent before, with more in
// flight, do not count.
func (l *Limiter) addBaselineSample(now monotime.Micros, base *baseline, took monotime.Micros, inFlight int) {
	if l.measureUntil == math.MaxInt64 {
		l.measureUntil = now + measureDuration // the first sample of all
	}
	if inFlight <= l.Limit() {
		base.measuredSum += float64(took)
		base.measuredSamples++
		l.unloadedSamples++
	}
	if l.unloadedSamples < baselineSamples && now < l.measureUntil {
		return
	}
	for i := range l.baselines {
		b := &l.baselines[i]
		if b.measuredSamples >= minClassSamples || b.measuredSamples > 0 && b.samples == 0 {
			b.mean = b.measuredSum / float64(b.measuredSamples)
			b.samples = b.measuredSamples
		}
	}
	l.endMeasurement(now)
}

// endMeasurement restores the limit and starts a window.
func (l *Limiter) endMeasurement(now monotime.Micros) {
	l.measuring = false
	l.unloadedSamples = 0
	l.nextMeasurement = l.scheduleMeasurement(now)
	l.resetWindow(now)
}

// scheduleMeasurement returns when to measure again, with jitter.
func (l *Limiter) scheduleMeasurement(now monotime.Micros) monotime.Micros {
	return now + measureInterval + l.randomBelow(measureInterval/4)
}

// randomBelow returns a random duration in [0,d).
func (l *Limiter) randomBelow(d monotime.Micros) monotime.Micros {
	return monotime.Micros(l.rand.Float64() * float64(d))
}
