package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// decayTimeConstant is the time constant of a decayingRate.
const decayTimeConstant = 2 * second

// decayingRate measures a rate per second as an exponentially weighted average with the time constant
// decayTimeConstant.
type decayingRate struct {
	sum       float64         // decayed sum of the amounts, as of updatedAt
	updatedAt monotime.Micros // instant
}

// decayed returns the exponentially decayed sum at the instant now.
func (r *decayingRate) decayed(now monotime.Micros) float64 {
	if r.sum == 0 {
		return 0
	}
	return r.sum * math.Exp(-float64(max(0, now-r.updatedAt))/float64(decayTimeConstant))
}

// add adds an amount at the instant now.
func (r *decayingRate) add(now monotime.Micros, amount float64) {
	r.sum = r.decayed(now) + amount
	r.updatedAt = now
}

// rate returns the average amount per second at the instant now.
func (r *decayingRate) rate(now monotime.Micros) float64 {
	return r.decayed(now) * float64(second) / float64(decayTimeConstant)
}

// movingAverage is an exponential moving average. It starts as a plain mean, so that an unusual first sample
// loses its influence soon.
type movingAverage struct {
	value   float64 // current average
	samples float64 // number of samples so far
}

// add adds a sample. The weight of the nth sample is minWeight or 1/n, whichever is greater.
func (m *movingAverage) add(sample, minWeight float64) {
	m.samples++
	m.value += (sample - m.value) * max(minWeight, 1/m.samples)
}

// valueOr returns the average, or the fallback if there are no samples yet.
func (m *movingAverage) valueOr(fallback float64) float64 {
	if m.samples > 0 {
		return m.value
	}
	return fallback
}
