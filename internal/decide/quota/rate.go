package quota

import (
	"math"

	"dunlinsail/internal/monotime"
)

// decayTime is the time constant of the long-term mean.
const decayTime = 2 * second

// tenth is the resolution of the counts within the last second.
const tenth = second / 10

// rateEstimator counts events within the last second, by tenths of it, and with exponential decay beyond. The zero
// value has counted nothing.
type rateEstimator struct {
	tenths       [10]int         // ring of counts, by the number of the tenth since the clock's origin
	latestTenth  monotime.Micros // number of the latest one
	decayedCount float64         // as of decayedAt
	decayedAt    monotime.Micros
}

// add counts an event.
func (c *rateEstimator) add(now monotime.Micros) {
	c.advance(now)
	c.tenths[c.latestTenth%10]++
	c.decay(now)
	c.decayedCount++
}

// demandRate returns the demand in units a second: the long-term mean and a standard deviation of chance beside it,
// since a second with fewer events says nothing about the next one; or the recent rate where that differs by more than
// chance explains.
func (c *rateEstimator) demandRate(now monotime.Micros) float64 {
	c.decay(now)
	mean := c.decayedCount * float64(second) / float64(decayTime)
	recent := c.recentRate(now)
	if recent > mean+3*math.Sqrt(mean)+1 {
		return recent
	}
	for _, tenths := range [...]int{5, 10} {
		expected := mean * float64(tenths) / 10
		counted := float64(c.countLatest(tenths))
		if counted < expected-2*math.Sqrt(expected)-1 {
			mean = counted * 10 / float64(tenths) // demand has fallen: forget what was before
			c.decayedCount = mean * float64(decayTime) / float64(second)
			break
		}
	}
	return mean + math.Sqrt(mean)
}

// recentRate returns events a second by the last second, or by the last 0.3 s where that gives more, since rising
// demand is to be met before a second has passed.
func (c *rateEstimator) recentRate(now monotime.Micros) float64 {
	c.advance(now)
	elapsed := float64(now%tenth) / float64(tenth) // fraction of the present tenth
	return math.Max(float64(c.countLatest(10)), float64(c.countLatest(3))/(0.2+0.1*elapsed))
}

// countLatest returns the events within so many of the latest tenths of a second, the present one included.
func (c *rateEstimator) countLatest(tenths int) (n int) {
	for i := range monotime.Micros(tenths) {
		n += c.tenths[(c.latestTenth-i+10)%10]
	}
	return n
}

// advance clears the tenths that have begun since it was called last.
func (c *rateEstimator) advance(now monotime.Micros) {
	present := now / tenth
	if present-c.latestTenth >= 10 {
		clear(c.tenths[:])
		c.latestTenth = present
	}
	for c.latestTenth < present {
		c.latestTenth++
		c.tenths[c.latestTenth%10] = 0
	}
}

func (c *rateEstimator) decay(now monotime.Micros) {
	c.decayedCount *= math.Exp(-float64(now-c.decayedAt) / float64(decayTime))
	c.decayedAt = now
}
