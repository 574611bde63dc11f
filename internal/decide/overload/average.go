package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// decayTimeConstant is the time constant of a decayingRate.
const decayTimeConstant = 2 * second

// decayingRate is a rate a second, as an exponential average with the time constant decayTimeConstant.
type decayingRate struct {
	sum       float64
	updatedAt monotime.Micros
}

// decayed returns the sum as of now.
func (r *decayingRate) decayed(now monotime.Micros) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-float64(max(0, now-r.updatedAt))/float64(decayTimeConstant))
}

// add counts an amount.
func (r *decayingRate) add(now monotime.Micros, amount float64) {
	r.sum = r.decayed(now) + amount
	r.updatedAt = now
}

// rate returns the amount a second.
func (r *decayingRate) rate(now monotime.Micros) float64 {
	return r.decayed(now) * float64(second) / float64(decayTimeConstant)
}

// movingAverage is an exponential moving average that starts as a plain mean, so that an unusual first sample does not
// dominate for long.
type movingAverage struct {
	value   float64
	samples float64
}

// add takes in a sample with a weight; the first samples have the greater weight of a plain mean.
func (m *movingAverage) add(sample, minWeight float64) {
	m.samples++
	m.value += (sample - m.value) * max(minWeight, 1/m.samples)
}

// valueOr returns the average, or another value while there is no sample.
func (m *movingAverage) valueOr(fallback float64) float64 {
	if m.samples > 0 {
		return m.value
	}
	return fallback
}
