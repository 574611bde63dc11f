package balancer

import "dunlinsail/internal/monotime"

const ejectAfter = 3 // consecutive failures of all traffic, one more of a part: the whole is ejected first

// recordOutcome feeds the end of an attempt to the averages, the breaker and the outlier detection.
func (b *Balancer) recordOutcome(now monotime.Micros, r *request, a *attempt, o *Outcome) {
	e := a.endpoint
	switch o.Status {
	case OK:
		b.servedWork += r.work / max(b.settings.Contract.WarmupStartCapacity, b.effectiveCapacity(now))
		b.lastServedAt = now
		e.breaker.record(now, 1, 0)
		e.breaker.recordLatency(float64(o.Latency))
		for _, part := range b.trafficParts(r) {
			e.outliers[part] = outlierStats{}
		}
		b.learnLatency(now, r, a, float64(o.Latency), false)
	case Cancelled, NotSent:
	default:
		e.breaker.record(now, 0, 1)
		for _, part := range b.trafficParts(r) {
			b.recordFailure(now, e, part)
		}
		if o.Status == Timeout {
			b.learnLatency(now, r, a, float64(o.Latency), true)
		}
	}
}

// recordSend notes an attempt. After an ejection it is a trial: no other follows before its outcome.
func (o *outlierStats) recordSend(now monotime.Micros) {
	if o.ejectionTime > 0 {
		o.ejectedUntil = max(o.ejectedUntil, now+o.ejectionTime)
		o.trialPending = true
	}
}

// recordFailure counts a failure of a part of the traffic, and ejects the endpoint for a few in a row.
func (b *Balancer) recordFailure(now monotime.Micros, e *endpoint, part int) {
	o := &e.outliers[part]
	o.consecutiveFailures++
	limit := ejectAfter + int(indicator(part != allTraffic))
	if o.consecutiveFailures < limit || now < o.ejectedUntil && !o.trialPending || !b.canEject(now, e, part) {
		return
	}
	o.trialPending = false
	o.ejectionTime = min(max(2*o.ejectionTime, second), breakerWindow)
	o.ejectedUntil = now + o.ejectionTime/2 + b.random.durationBelow(o.ejectionTime)
	b.logEjection(now, e, part)
}

// isEjectedFor says whether e is ejected for any part of the traffic that r belongs to.
func (b *Balancer) isEjectedFor(now monotime.Micros, e *endpoint, r *request) bool {
	for _, part := range b.trafficParts(r) {
		if now < e.outliers[part].ejectedUntil {
			return true
		}
	}
	return false
}

// canEject keeps half of the endpoints in service, a third for a part of the traffic: fewer are overloaded.
func (b *Balancer) canEject(now monotime.Micros, e *endpoint, part int) bool {
	out := 1
	for _, other := range b.endpoints {
		if other != e && (other.isAvoided(now) || now < other.outliers[part].ejectedUntil) {
			out++
		}
	}
	if part == allTraffic {
		return 2*out <= len(b.endpoints)
	}
	return 3*out <= 2*len(b.endpoints)
}
