package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

const decaySpan = 2 * second

// meter is a rate a second, averaged over about two seconds.
type decayingRate struct {
	sum       float64
	updatedAt monotime.Micros
}

func (m *decayingRate) decayed(now monotime.Micros) float64 {
	if m.sum == 0 {
		return 0
	}
	return m.sum * math.Exp(-float64(max(0, now-m.updatedAt))/float64(decaySpan))
}

func (m *decayingRate) add(now monotime.Micros, amount float64) {
	m.sum, m.updatedAt = m.decayed(now)+amount, now
}

func (m *decayingRate) rate(now monotime.Micros) float64 {
	return m.decayed(now) * float64(second) / float64(decaySpan)
}

// mean is a moving average that begins as a plain mean: taken whole, one odd first sample would steer for long.
type movingAverage struct {
	value   float64
	samples float64 // samples
}

func (m *movingAverage) add(sample, weight float64) {
	m.samples++
	m.value += (sample - m.value) * max(weight, 1/m.samples)
}

func (m *movingAverage) valueOr(other float64) float64 {
	if m.samples > 0 {
		return m.value
	}
	return other
}
