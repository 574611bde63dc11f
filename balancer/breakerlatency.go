package balancer

const (
	baseLatencyFallDivisor = 4   // of one answer's difference, for the usual latency if the answer is faster
	baseLatencyRiseDivisor = 100 // of one answer's difference, for the usual latency if the answer is slower
	currentLatencyDivisor  = 4   // of one answer's difference, for the present latency
)

// recordLatency updates the usual and the present latency by that of an answer (microseconds). The usual one
// falls fast and rises slowly, so that it stays the latency without congestion.
func (br *breaker) recordLatency(latency float64) {
	if br.baseLatency <= 0 {
		br.baseLatency = latency
		br.currentLatency = latency
		return
	}
	divisor := float64(baseLatencyRiseDivisor)
	if latency < br.baseLatency {
		divisor = baseLatencyFallDivisor
	}
	br.baseLatency = (latency + (divisor-1)*br.baseLatency) / divisor
	br.currentLatency = (latency + (currentLatencyDivisor-1)*br.currentLatency) / currentLatencyDivisor
}

const (
	latencyActivationMultiplier = 3    // times the usual latency: the present one rejects from there on
	latencyCeilingShare         = 0.95 // of the client timeout: there the chance is maxLatencyRejectChance
	maxLatencyRejectChance      = 0.3  // chance of a rejection by latency, at most
)

// latencyRejectChance returns the chance (0 to maxLatencyRejectChance) of a rejection by latency. It grows
// linearly with the present latency, from latencyActivationMultiplier times the usual one to near the client
// timeout (microseconds).
func (br *breaker) latencyRejectChance(timeout float64) float64 {
	threshold := latencyActivationMultiplier * br.baseLatency
	ceiling := latencyCeilingShare * timeout
	if br.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	chance := (br.currentLatency - threshold) / (ceiling - threshold) * maxLatencyRejectChance
	return min(maxLatencyRejectChance, max(0, chance))
}
