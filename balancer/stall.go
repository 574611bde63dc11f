package balancer

import "dunlinsail/internal/monotime"

// HandleStall notes that the host's process did not run for a time that ends now. The host calls it before it
// passes on anything that has happened meanwhile. Nothing was read from endpoints in that time, so that it
// counts neither as their silence, nor as time that they had to receive an attempt (checkReportAge).
func (b *Balancer) HandleStall(now, duration monotime.Micros) {
	for _, e := range b.endpoints {
		e.silentSince = min(now, e.silentSince+duration)
		e.lastSentAt = min(now, e.lastSentAt+duration)
	}
}

// chargedLatency returns which latency (microseconds) of an outcome counts, where expected is the one that
// was predicted. known is false if the outcome says nothing of it: the endpoint may have answered at any time
// of a stall, and the prediction is among the latencies that are possible. Else the closest of these counts.
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
