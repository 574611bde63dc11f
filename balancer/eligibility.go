package balancer

import "dunlinsail/internal/monotime"

// isEligible reports whether e may get new attempts and probes: it is ready, and neither cordoned nor paused.
func (e *endpoint) isEligible() bool { return e.State == Ready && !e.cordoned && !e.paused }

// isEjected reports whether e is ejected for all traffic.
func (e *endpoint) isEjected(now monotime.Micros) bool {
	return now < e.outliers[allTraffic].ejectedUntil
}

// isAvoided reports whether this balancer keeps all requests from e: by cordon, pause or ejection.
func (e *endpoint) isAvoided(now monotime.Micros) bool {
	return e.cordoned || e.paused || e.isEjected(now)
}

// ShouldAvoid reports whether an endpoint gets no requests by this balancer's own choice: it is cordoned,
// paused or ejected for all traffic.
func (b *Balancer) ShouldAvoid(now monotime.Micros, id uint32) bool {
	e := b.endpointsByID[id]
	return e != nil && e.isAvoided(now)
}

// IsEjected reports whether an endpoint is ejected for its failures, for all traffic.
func (b *Balancer) IsEjected(now monotime.Micros, id uint32) bool {
	e := b.endpointsByID[id]
	return e != nil && e.isEjected(now)
}
