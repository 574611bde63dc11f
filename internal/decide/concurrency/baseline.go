package concurrency

import (
	"math"

	"dunlinsail/internal/monotime"
)

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

// alone is what a class's requests take with hardly any others in flight.
type baseline struct {
	mean    float64
	samples int

	measuredSum     float64 // of the present measurement
	measuredSamples int
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

// below returns a duration in [0,d) (SplitMix64).
func (l *Limiter) randomBelow(d monotime.Micros) monotime.Micros {
	l.randState += 0x9e3779b97f4a7c15
	z := l.randState
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return monotime.Micros(float64((z^z>>31)>>11) / (1 << 53) * float64(d))
}
