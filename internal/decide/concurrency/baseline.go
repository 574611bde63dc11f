package concurrency

import (
	"math"

	"dunlinsail/internal/monotime"
)

// unloadedDivisor is the divisor of the limit that gives the number of requests in flight up to which a sample
// counts as unloaded. A measurement lowers the limit to that number.
const unloadedDivisor = 4

// baselineSamples is the number of unloaded samples, of all classes together, that complete a measurement. As
// many samples outside of a measurement postpone the next one.
const baselineSamples = 24

// baseline is the time that the requests of a class take while few others are in flight.
type baseline struct {
	mean    float64 // mean time of a request, in microseconds
	samples int     // unloaded samples in the mean

	measuredSum     float64 // sum of the samples of the current measurement, in microseconds
	measuredSamples int     // number of samples in the current measurement
}

// baselineWeight is the least weight of one unloaded sample in the moving average of a baseline.
const baselineWeight = 0.05

// addUnloadedSample updates the baseline of a class with an unloaded sample outside of a measurement. After
// baselineSamples such samples the next measurement is postponed.
func (l *Limiter) addUnloadedSample(now monotime.Micros, b *baseline, timeInFlight monotime.Micros) {
	b.samples++
	b.mean += (float64(timeInFlight) - b.mean) * max(baselineWeight, 1/float64(b.samples))
	l.unloadedSamples++
	if l.unloadedSamples >= baselineSamples {
		l.unloadedSamples = 0
		l.nextMeasurement = l.scheduleMeasurement(now)
	}
}

// measureDuration is the time after which a measurement ends even if it has fewer than baselineSamples.
const measureDuration = second

// startMeasurement lowers the limit to start a measurement of the baselines.
func (l *Limiter) startMeasurement(now monotime.Micros) {
	l.measuring = true
	l.unloadedSamples = 0
	l.measureUntil = now + measureDuration
	for i := range l.baselines {
		l.baselines[i].measuredSum = 0
		l.baselines[i].measuredSamples = 0
	}
}

// minClassSamples is the least number of samples of a class with which a measurement replaces the baseline of
// that class. For a class without a baseline one sample is enough.
const minClassSamples = 6

// addBaselineSample adds a sample to the current measurement, and ends the measurement once it has
// baselineSamples or has lasted for measureDuration. Requests that were sent before the measurement, with more
// than the lowered limit in flight, do not count.
func (l *Limiter) addBaselineSample(
	now monotime.Micros, classBaseline *baseline, timeInFlight monotime.Micros, inFlight int,
) {
	if l.measureUntil == math.MaxInt64 {
		l.measureUntil = now + measureDuration // the duration of the initial measurement starts at its first sample
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

// endMeasurement ends the measurement, which restores the limit, and starts a window.
func (l *Limiter) endMeasurement(now monotime.Micros) {
	l.measuring = false
	l.unloadedSamples = 0
	l.nextMeasurement = l.scheduleMeasurement(now)
	l.resetWindow(now)
}

const (
	measureInterval      = 15 * second // least time from a measurement, or enough unloaded samples, to the next
	measureJitterDivisor = 4           // for a random delay, so that instances do not measure simultaneously
)

// scheduleMeasurement returns the instant of the next measurement, with a random delay.
func (l *Limiter) scheduleMeasurement(now monotime.Micros) monotime.Micros {
	return now + measureInterval + l.randomBelow(measureInterval/measureJitterDivisor)
}

// randomBelow returns a random duration in [0,d).
func (l *Limiter) randomBelow(d monotime.Micros) monotime.Micros {
	return monotime.Micros(l.rand.Float64() * float64(d))
}
