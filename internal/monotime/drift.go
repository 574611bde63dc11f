package monotime

import "math"

// ExtendForDrift returns the duration by the local clock after which d has passed by every other clock, rounded up. The
// rate of each clock, the local one included, may differ from the true rate by the fraction drift, 0 to less than 1.
func ExtendForDrift(d Micros, drift float64) Micros {
	return Micros(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}
