package monotime

import "math"

// ExtendForDrift returns how long to wait by the local clock until d has passed by every clock whose rate is off by
// drift at most, as a fraction of the true rate. drift must be in 0..1, and not 1.
func ExtendForDrift(d Micros, drift float64) Micros {
	return Micros(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}
