package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// ewma is an exponentially weighted moving average that starts as a plain mean: an odd first sample would count for
// long otherwise.
type ewma struct {
	value   float64
	samples float64
}

// Weights of one sample in moving averages.
const (
	slowWeight = 0.02
	fastWeight = 0.25
)

// manySamples has an average start with its value: each sample counts by its weight only.
const manySamples = 1e9

func (a *ewma) add(x, weight float64) {
	a.samples++
	a.value += (x - a.value) * max(weight, indicator(a.samples == 1))
}

// valueOr returns the average, or a default before the first sample.
func (a *ewma) valueOr(fallback float64) float64 {
	if a.samples > 0 {
		return a.value
	}
	return fallback
}

// indicator is 1 for true and 0 for false.
func indicator(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}

// rateMeter is a rate per second, averaged over about rateMeterSpan.
type rateMeter struct {
	sum       float64
	updatedAt monotime.Micros
}

const rateMeterSpan = 2 * second

func (m *rateMeter) add(now monotime.Micros, x float64) {
	m.sum = m.decayed(now) + x
	m.updatedAt = now
}

func (m *rateMeter) decayed(now monotime.Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(now-m.updatedAt)/float64(rateMeterSpan))
}

func (m *rateMeter) rate(now monotime.Micros) float64 {
	return m.decayed(now) * float64(second) / float64(rateMeterSpan)
}

// slidingCounter counts events over the latest slots of time, as many as its ring has.
type slidingCounter struct {
	ring   []int
	sum    int
	newest int64 // number of the newest slot
}

// advance drops slots that have left the window, and returns the sum.
func (k *slidingCounter) advance(slot int64) int {
	if slot-k.newest >= int64(len(k.ring)) {
		clear(k.ring)
		k.sum = 0
		k.newest = slot
	}
	for k.newest < slot {
		k.newest++
		old := &k.ring[k.newest%int64(len(k.ring))]
		k.sum -= *old
		*old = 0
	}
	return k.sum
}

func (k *slidingCounter) add(slot int64) {
	k.advance(slot)
	k.ring[slot%int64(len(k.ring))]++
	k.sum++
}
