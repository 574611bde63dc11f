package quota

import (
	"math"

	"dunlinsail/internal/monotime"
)

// tenthsPerSecond is the number of intervals into which the last second is divided for counting events.
const tenthsPerSecond = 10

// tenth is the length of the intervals in which the events of the last second are counted.
const tenth = second / tenthsPerSecond

// decayTime is the time constant of the exponential decay of the count from which the long-term mean rate is computed.
const decayTime = 2 * second

// rateEstimator estimates the rate of events. It counts the events in each tenth of the last second, and it keeps a
// count with exponential decay for the long-term mean rate. The zero value is an estimator without events.
type rateEstimator struct {
	// tenths is a ring buffer of event counts for each tenth of a second. Its index is the number of the tenth since
	// the clock's origin, modulo tenthsPerSecond.
	tenths       [tenthsPerSecond]int
	latestTenth  monotime.Micros // number of the latest tenth of a second since the clock's origin
	decayedCount float64         // number of events with exponential decay, as of decayedAt
	decayedAt    monotime.Micros // when decayedCount was last updated
}

// add counts an event that happens at now.
func (e *rateEstimator) add(now monotime.Micros) {
	e.advance(now)
	e.tenths[e.latestTenth%tenthsPerSecond]++
	e.decay(now)
	e.decayedCount++
}

// Thresholds at which a recent count shows that the rate has changed. The standard deviation of a count of Poisson
// arrivals is the square root of its expected value. The rate has changed if the count differs from the long-term
// mean by more than a number of standard deviations plus minRateChange. More standard deviations are required of a
// rise than of a fall, because a wrongly detected rise takes units from other instances.
const (
	risingDeviations  = 3.0 // standard deviations above the mean beyond which demand is rising
	fallingDeviations = 2.0 // standard deviations below the mean beyond which demand is falling
	minRateChange     = 1.0 // change in units required in addition to the deviations, which are near 0 at low rates
)

// fallingSpans are the time spans over which falling demand is detected, in tenths of a second, shortest first.
var fallingSpans = [...]int{tenthsPerSecond / 2, tenthsPerSecond}

// demandRate returns the demand in units a second. It is the long-term mean plus one standard deviation, so that the
// leased units suffice for a second with somewhat more events than the mean. If the recent rate exceeds the mean by
// more than chance explains, the demand is the recent rate. If a recent count is lower than chance explains, the
// long-term mean is reset to the rate of that count.
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
			mean = counted * tenthsPerSecond / float64(tenths) // events before this span no longer count
			e.decayedCount = mean * float64(decayTime) / float64(second)
			break
		}
	}
	return mean + math.Sqrt(mean)
}

// risingTenths is the time span over which rising demand is detected, in tenths of a second: two complete tenths and
// the current tenth.
const risingTenths = 3

const (
	completeRisingTime = 0.2 // length of the two complete tenths of risingTenths, in seconds
	tenthTime          = 0.1 // length of a tenth, in seconds
)

// recentRate returns the higher of two rates, in events a second: the rate over the last second and the rate over the
// last risingTenths. The shorter span lets rising demand be met before a whole second has passed.
func (e *rateEstimator) recentRate(now monotime.Micros) float64 {
	e.advance(now)
	elapsed := float64(now%tenth) / float64(tenth) // fraction of the current tenth that has passed
	rising := float64(e.countLatest(risingTenths)) / (completeRisingTime + tenthTime*elapsed)
	return math.Max(float64(e.countLatest(tenthsPerSecond)), rising)
}

// countLatest returns the number of events within the given number of latest tenths of a second, including the current
// tenth.
func (e *rateEstimator) countLatest(tenths int) (events int) {
	for i := range monotime.Micros(tenths) {
		events += e.tenths[(e.latestTenth-i+tenthsPerSecond)%tenthsPerSecond]
	}
	return events
}

// advance makes the tenth that contains now the latest one, and clears the counts of the tenths since the latest call.
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

// decay applies the exponential decay up to now to the decayed count.
func (e *rateEstimator) decay(now monotime.Micros) {
	e.decayedCount *= math.Exp(-float64(now-e.decayedAt) / float64(decayTime))
	e.decayedAt = now
}
