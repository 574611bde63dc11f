package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// ewma is an exponentially weighted moving average. The first sample sets it.
type ewma struct {
	value   float64
	samples float64 // number of samples
}

// Weights of one sample in moving averages.
const (
	// slowWeight is the weight of one request or answer, for an average over about 50. It shapes the mean
	// work of classes and of all requests, the fleet's service time ratio, and the on-time ratio of classes.
	slowWeight = 0.02

	fastWeight = 0.25 // of one round trip to an endpoint: an average over about 4

	// ratioWeight is the weight of one sample, for an average over about 50. It shapes the ratio of late
	// reports (reportsLate) and of rejected requests (probe rate, tenant weight).
	ratioWeight = 0.02
)

// manySamples is the number of samples of an average that starts with a value: the first sample does not
// replace it.
const manySamples = 1e9

// add adds a sample with its weight, 0 to 1.
func (a *ewma) add(sample, weight float64) {
	a.samples++
	a.value += (sample - a.value) * max(weight, indicator(a.samples == 1))
}

// valueOr returns the average, or a default before the first sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.samples > 0 {
		return a.value
	}
	return fallback
}

// rateMeter measures a rate per second, by a sum that decays exponentially over rateMeterSpan.
type rateMeter struct {
	sum       float64
	updatedAt monotime.Micros // instant
}

// rateMeterSpan is the time in which the sum of a rateMeter decays by a factor of e. It shapes the rates of
// requests (of all, by class, by tenant) and of sent work, and with them the probe rate, priority weights,
// warm-up, the wait for probes, and forced admissions without load reports.
const rateMeterSpan = 2 * second

// add adds x at an instant.
func (m *rateMeter) add(now monotime.Micros, amount float64) {
	m.sum = m.decayed(now) + amount
	m.updatedAt = now
}

// decayed returns the sum as of an instant.
func (m *rateMeter) decayed(now monotime.Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateMeterSpan))
}

// rate returns the rate per second as of an instant.
func (m *rateMeter) rate(now monotime.Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateMeterSpan)
}

// slidingCounter counts events over the latest slots of time, as many as its ring has elements.
type slidingCounter struct {
	ring   []int
	sum    int
	newest int64 // number of the newest slot
}

// advance drops the slots that have left the window by the given slot, and returns the sum.
func (c *slidingCounter) advance(slot int64) int {
	if slot-c.newest >= int64(len(c.ring)) {
		clear(c.ring)
		c.sum = 0
		c.newest = slot
	}
	for c.newest < slot {
		c.newest++
		expired := &c.ring[c.newest%int64(len(c.ring))]
		c.sum -= *expired
		*expired = 0
	}
	return c.sum
}

// add counts an event in a slot.
func (c *slidingCounter) add(slot int64) {
	c.advance(slot)
	c.ring[slot%int64(len(c.ring))]++
	c.sum++
}

// indicator returns 1 for true and 0 for false, as a factor of a sum.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
