package balancer

import "dunlinsail/internal/monotime"

// Outlier detection (Envoy: outlier detection by consecutive failures; gRFC A50). An endpoint's failures are
// counted for all traffic, and for each class and each tenant (trafficParts): an endpoint may fail one of
// them only.

const (
	ejectAfter = 3 // consecutive failures of all traffic (Envoy: consecutive_5xx)

	// ejectPartAfter is the number of consecutive failures of a class or tenant. It is one more, so that an
	// endpoint that fails all traffic is ejected for all of it first.
	ejectPartAfter = ejectAfter + 1

	// baseEjectionTime is the time of a first ejection, before jitter (Envoy: base_ejection_time). Each
	// further one without a success between takes twice the time of the one before.
	baseEjectionTime = second

	// maxEjectionTime is the longest time of an ejection, before jitter (Envoy: max_ejection_time): 10 s, as
	// long as the breaker counts a failure.
	maxEjectionTime = breakerWindow
)

// recordFailure counts a failure of a part of the traffic, and ejects the endpoint for that part after some
// in a row, for 0.5 to 1.5 of the ejection time: the balancers of a fleet must not all return together.
//
// Failures of attempts that were sent before the ejection do not lengthen it; that of the trial does. While a
// trial is pending, the failure of any attempt counts as the trial's, also of one sent before the ejection.
// An endpoint is not ejected if too few would be left (canEject).
func (b *Balancer) recordFailure(now monotime.Micros, e *endpoint, part int) {
	o := &e.outliers[part]
	o.consecutiveFailures++
	limit := ejectPartAfter
	if part == allTraffic {
		limit = ejectAfter
	}
	if o.consecutiveFailures < limit {
		return
	}
	if now < o.ejectedUntil && !o.trialPending || !b.canEject(now, e, part) {
		return
	}
	o.trialPending = false
	o.ejectionTime = min(max(2*o.ejectionTime, baseEjectionTime), maxEjectionTime)
	o.ejectedUntil = now + o.ejectionTime/2 + b.random.durationBelow(o.ejectionTime)
	b.logEjection(now, e, part)
}

// startTrial makes an attempt that is sent now a trial, if its part of the traffic had an ejection since its
// latest success: the ejection goes on for its time (ejectionTime, microseconds) from the send. A success
// ends the ejection (recordOutcome), a failure begins a longer one (recordFailure). A trial that ends as
// Cancelled or NotSent changes nothing: the endpoint stays ejected until the time is over, and the next
// attempt is a trial.
func (o *outlierStats) startTrial(now monotime.Micros) {
	if o.ejectionTime > 0 {
		o.ejectedUntil = max(o.ejectedUntil, now+o.ejectionTime)
		o.trialPending = true
	}
}

// isEjectedFor reports whether e is ejected for any part of the traffic that r belongs to.
func (b *Balancer) isEjectedFor(now monotime.Micros, e *endpoint, r *request) bool {
	for _, part := range b.trafficParts(r) {
		if now < e.outliers[part].ejectedUntil {
			return true
		}
	}
	return false
}

const (
	minInServiceDivisor     = 2 // of the endpoints: at least 1/2 stay in service for all traffic
	minPartInServiceDivisor = 3 // of the endpoints: at least 1/3 stay in service for a class or tenant
)

// canEject reports whether enough endpoints stay in service for a part of the traffic if e is ejected (Envoy:
// max_ejection_percent): fewer would be overloaded. Cordoned and paused endpoints are out of service as well.
// Draining ones, and gone ones with attempts in flight, count as in service.
func (b *Balancer) canEject(now monotime.Micros, e *endpoint, part int) bool {
	outOfService := 1 // e
	for _, other := range b.endpoints {
		if other != e && (other.isAvoided(now) || now < other.outliers[part].ejectedUntil) {
			outOfService++
		}
	}
	divisor := minPartInServiceDivisor
	if part == allTraffic {
		divisor = minInServiceDivisor
	}
	return divisor*(len(b.endpoints)-outOfService) >= len(b.endpoints)
}
