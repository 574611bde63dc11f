package quota

import (
	"math"

	"dunlinsail/internal/monotime"
)

// tenthsPerSecond is the number of intervals into which the last second is divided for counting.
const tenthsPerSecond = 10

// tenth is the resolution of the counts within the last second.
const tenth = second / tenthsPerSecond

// decayTime is the time constant of the long-term mean.
const decayTime = 2 * second

// rateEstimator estimates the rate of events. It has counts of the last second by tenths of a second, and a count with
// exponential decay for the long-term mean. The zero value has counted nothing.
type rateEstimator struct {
	tenths       [tenthsPerSecond]int // ring of counts, by the number of the tenth since the clock's origin
	latestTenth  monotime.Micros      // number of the latest tenth since the clock's origin
	decayedCount float64              // events with exponential decay, as of decayedAt
	decayedAt    monotime.Micros
}

// add counts an event.
func (e *rateEstimator) add(now monotime.Micros) {
	e.advance(now)
	e.tenths[e.latestTenth%tenthsPerSecond]++
	e.decay(now)
	e.decayedCount++
}

// The counts of Poisson arrivals vary by the square root of their expected value. A recent count that differs from the
// long-term mean by more than the number of standard deviations below, and by a whole unit more, is a change of the
// rate.
const (
	risingDeviations  = 3.0 // standard deviations above the mean; a false alarm takes units from others
	fallingDeviations = 2.0 // standard deviations below the mean
	minRateChange     = 1.0 // units beyond the standard deviations, which are close to 0 at low rates
)

// fallingSpans are the spans within which falling demand is detected, in tenths of a second, the shortest first.
var fallingSpans = [...]int{tenthsPerSecond / 2, tenthsPerSecond}

// demandRate returns the demand in units a second. It is the long-term mean plus one standard deviation, so that a
// second with more events than the mean finds enough units leased. Where the recent rate shows a rise beyond chance,
// the demand is the recent rate; where recent counts show a fall beyond chance, the long-term mean starts anew from
// them.
func (e *rateEstimator) demandRate(now monotime.Micros) float64 {
	e.decay(now)
	mean := e.decayedCount * float64(second) / float64(decayTime)
	recent := e.recentRate(now)
	if recent > mean+risingDeviations*math.Sqrt(mean)+minRateChange {
		return recent
	}
	for _, tenths := range fallingSpans {
		expected := mean * float64(tenths) / tenthsPerSecond
		counted := float64(e.countLatest(tenths))
		if counted < expected-fallingDeviations*math.Sqrt(expected)-minRateChange {
			mean = counted * tenthsPerSecond / float64(tenths) // the earlier rate no longer counts
			e.decayedCount = mean * float64(decayTime) / float64(second)
			break
		}
	}
	return mean + math.Sqrt(mean)
}

// risingTenths is the span within which rising demand is detected, in tenths of a second: two complete tenths and the
// present one.
const risingTenths = 3

const (
	completeRisingTime = 0.2 // seconds: the risingTenths without the present tenth
	tenthTime          = 0.1 // seconds
)

// recentRate returns the events a second within the last second, or within the last risingTenths where that rate is
// higher: rising demand must be met before a whole second has passed.
func (e *rateEstimator) recentRate(now monotime.Micros) float64 {
	e.advance(now)
	elapsed := float64(now%tenth) / float64(tenth) // fraction of the present tenth
	rising := float64(e.countLatest(risingTenths)) / (completeRisingTime + tenthTime*elapsed)
	return math.Max(float64(e.countLatest(tenthsPerSecond)), rising)
}

// countLatest returns the number of events within the given number of latest tenths of a second, including the present
// tenth.
func (e *rateEstimator) countLatest(tenths int) (events int) {
	for i := range monotime.Micros(tenths) {
		events += e.tenths[(e.latestTenth-i+tenthsPerSecond)%tenthsPerSecond]
	}
	return events
}

// advance clears the counts of tenths that have begun since its last call.
func (e *rateEstimator) advance(now monotime.Micros) {
	current := now / tenth
	if current-e.latestTenth >= tenthsPerSecond {
		clear(e.tenths[:])
		e.latestTenth = current
	}
	for e.latestTenth < current {
		e.latestTenth++
		e.tenths[e.latestTenth%tenthsPerSecond] = 0
	}
}

// decay brings the decayed count to now.
func (e *rateEstimator) decay(now monotime.Micros) {
	e.decayedCount *= math.Exp(-float64(now-e.decayedAt) / float64(decayTime))
	e.decayedAt = now
}
