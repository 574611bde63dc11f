package quota

import (
	"math"

	"dunlinsail/internal/monotime"
)

// counter counts what came within the last second, by tenths, and over some seconds.
type rateEstimator struct {
	tenths       [10]int
	latestTenth  monotime.Micros
	decayedCount float64 // what came, each counting less the longer it is ago
	decayedAt    monotime.Micros
}

// slowly is over how long the slow mean goes.
const decayTime = 2 * second

func (c *rateEstimator) advance(now monotime.Micros) {
	part := now / (second / 10)
	if part-c.latestTenth >= 10 {
		clear(c.tenths[:])
		c.latestTenth = part
	}
	for c.latestTenth < part {
		c.latestTenth++
		c.tenths[c.latestTenth%10] = 0
	}
}

func (c *rateEstimator) add(now monotime.Micros) {
	c.advance(now)
	c.tenths[c.latestTenth%10]++
	c.decay(now)
	c.decayedCount++
}

func (c *rateEstimator) decay(now monotime.Micros) {
	c.decayedCount *= math.Exp(-float64(now-c.decayedAt) / float64(decayTime))
	c.decayedAt = now
}

// wanted is how many units a second are worth having: the mean of some seconds and what chance adds to that, since a second in which
// fewer are asked for says nothing of the next; or the rate of late, where that is beyond chance.
func (c *rateEstimator) demandRate(now monotime.Micros) float64 {
	c.decay(now)
	mean := c.decayedCount * float64(second) / float64(decayTime)
	fast := c.recentRate(now)
	if fast > mean+3*math.Sqrt(mean)+1 {
		return fast
	}
	for _, tenths := range [...]int{5, 10} {
		of, late := mean*float64(tenths)/10, float64(c.countLatest(tenths))
		if late < of-2*math.Sqrt(of)-1 {
			mean = late * 10 / float64(tenths) // what was before is over
			c.decayedCount = mean * float64(decayTime) / float64(second)
			break
		}
	}
	return mean + math.Sqrt(mean)
}

// latest is what came within so many of the latest tenths of a second, the present one included.
func (c *rateEstimator) countLatest(tenths int) (all int) {
	for i := range monotime.Micros(tenths) {
		all += c.tenths[(c.latestTenth-i+10)%10]
	}
	return all
}

// rate is what comes a second: by the last second, or by the last third of it where that had more, since what rises is wanted
// before a second is over.
func (c *rateEstimator) recentRate(now monotime.Micros) float64 {
	c.advance(now)
	part := float64(now%(second/10)) / float64(second/10) // of the present tenth that is over
	return math.Max(float64(c.countLatest(10)), float64(c.countLatest(3))/(0.2+0.1*part))
}
