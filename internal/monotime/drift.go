package monotime

import "math"

// ExtendForDrift returns the duration that must pass on the local clock to guarantee that d has passed on every
// other clock, rounded up. The rate of each clock, including the local one, may differ from the true rate by
// the fraction drift, which is at least 0 and less than 1.
func ExtendForDrift(d Micros, drift float64) Micros {
	return Micros(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}
