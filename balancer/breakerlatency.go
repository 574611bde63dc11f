package balancer

const (
	fallDivisor    = 4   // of one answer's difference, for the usual latency if the answer is faster
	riseDivisor    = 100 // of one answer's difference, for the usual latency if the answer is slower
	currentDivisor = 4   // of one answer's difference, for the present latency
)

// recordLatency updates the usual and the present latency by that of an answer (microseconds). The usual one
// falls fast and rises slowly, so that it stays the latency without congestion.
func (k *breaker) recordLatency(latency float64) {
	if k.baseLatency <= 0 {
		k.baseLatency = latency
		k.currentLatency = latency
		return
	}
	divisor := float64(riseDivisor)
	if latency < k.baseLatency {
		divisor = fallDivisor
	}
	k.baseLatency = (latency + (divisor-1)*k.baseLatency) / divisor
	k.currentLatency = (latency + (currentDivisor-1)*k.currentLatency) / currentDivisor
}

const (
	latencyActivation      = 3    // times the usual latency: the present one rejects from there on
	latencyCeilingShare    = 0.95 // of the client timeout: there the chance is maxLatencyRejectChance
	maxLatencyRejectChance = 0.3  // chance of a rejection by latency, at most
)

// latencyRejectChance returns the chance (0 to maxLatencyRejectChance) of a rejection by latency. It grows
// linearly with the present latency, from latencyActivation times the usual one to near the client timeout
// (microseconds).
func (k *breaker) latencyRejectChance(timeout float64) float64 {
	threshold := latencyActivation * k.baseLatency
	ceiling := latencyCeilingShare * timeout
	if k.baseLatency <= 0 || ceiling <= threshold {
		return 0
	}
	chance := (k.currentLatency - threshold) / (ceiling - threshold) * maxLatencyRejectChance
	return min(maxLatencyRejectChance, max(0, chance))
}
