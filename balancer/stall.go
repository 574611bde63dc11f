package balancer

import "dunlinsail/internal/monotime"

// HandleStall handles a stall: the host's process did not run for the given duration, which ends now. The
// host calls it before it passes on the events of that time. Since nothing was read from endpoints during the
// stall, that time counts neither as their silence nor as time in which they could have received an attempt
// (checkReportAge).
func (b *Balancer) HandleStall(now, duration monotime.Micros) {
	for _, e := range b.endpoints {
		e.silentSince = min(now, e.silentSince+duration)
		e.lastSentAt = min(now, e.lastSentAt+duration)
	}
}

// chargedLatency returns the latency (microseconds) that an outcome contributes to an estimate whose expected
// value is expected. During a stall the endpoint may have responded at any time, so the true latency is
// between Latency-Stalled and Latency. If expected is within that range, the outcome gives no information and
// known is false. Otherwise the bound that is closest to expected is returned.
func (o *Outcome) chargedLatency(expected float64) (latency float64, known bool) {
	longest := float64(o.Latency)
	shortest := float64(o.Latency - o.Stalled)
	if expected > shortest && expected < longest {
		return 0, false
	}
	if expected <= shortest {
		return shortest, true
	}
	return longest, true
}
