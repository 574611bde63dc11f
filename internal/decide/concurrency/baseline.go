package concurrency

import (
	"math"

	"dunlinsail/internal/monotime"
)

// unloadedDivisor defines few requests in flight: at most this part of the limit. A request that was sent then counts
// as alone, and a measurement lowers the limit to that.
const unloadedDivisor = 4

// baselineSamples is the number of unloaded samples, of all classes, that make a measurement complete or unnecessary.
const baselineSamples = 24

// baseline is the time that a class's requests take with hardly any others in flight.
type baseline struct {
	mean    float64 // in microseconds
	samples int

	measuredSum     float64 // in the present measurement, in microseconds
	measuredSamples int     // in the present measurement
}

// baselineWeight is the least weight of one unloaded sample in the moving average of a baseline.
const baselineWeight = 0.05

// addUnloadedSample takes in a request that was alone while the limit is not lowered. Enough of them postpone the next
// measurement.
func (l *Limiter) addUnloadedSample(now monotime.Micros, b *baseline, timeInFlight monotime.Micros) {
	b.samples++
	b.mean += (float64(timeInFlight) - b.mean) * max(baselineWeight, 1/float64(b.samples))
	l.unloadedSamples++
	if l.unloadedSamples >= baselineSamples {
		l.unloadedSamples = 0
		l.nextMeasurement = l.scheduleMeasurement(now)
	}
}

// measureDuration is the time after which a measurement ends, with however few samples.
const measureDuration = second

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

// minClassSamples is the number of samples of a class from which on a measurement replaces its baseline. A class
// without a baseline gets one by any sample.
const minClassSamples = 6

// addBaselineSample takes in a request while the limit is lowered, and ends the measurement once it has
// baselineSamples or has lasted for measureDuration. Requests that were sent before it, with more in flight, do not
// count.
func (l *Limiter) addBaselineSample(
	now monotime.Micros, classBaseline *baseline, timeInFlight monotime.Micros, inFlight int,
) {
	if l.measureUntil == math.MaxInt64 {
		l.measureUntil = now + measureDuration // the first measurement lasts from its first sample on
	}
	if inFlight <= l.Limit() {
		classBaseline.measuredSum += float64(timeInFlight)
		classBaseline.measuredSamples++
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

const (
	measureInterval      = 15 * second // least time from one measurement, or from enough unloaded samples, to the next
	measureJitterDivisor = 4           // of measureInterval, added at most, so that instances do not measure at once
)

// scheduleMeasurement returns the instant of the next measurement.
func (l *Limiter) scheduleMeasurement(now monotime.Micros) monotime.Micros {
	return now + measureInterval + l.randomBelow(measureInterval/measureJitterDivisor)
}

// randomBelow returns a random duration in [0,d).
func (l *Limiter) randomBelow(d monotime.Micros) monotime.Micros {
	return monotime.Micros(l.rand.Float64() * float64(d))
}
