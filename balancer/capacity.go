package balancer

import "dunlinsail/internal/monotime"

// assumedCores is the number of cores that an endpoint is assumed to have: so many requests run there in
// parallel, and further ones wait. No setting gives the true number. It enters queueDelayFactor,
// parseLoadReport (load of a report without a count), recordLoad (plausible loads), refillServedBucket and
// servedBucketApplies.
//
// Where endpoints have more cores, predictions at a high load are too long: with 16 cores and 16 requests by
// a factor of 8.5, until a lower service time ratio is learned. Until then such an endpoint gets fewer
// requests, and requests are rejected that it would serve in time. With one core predictions are too short.
const assumedCores = 2.0

// capacityLifetime is how long a count of the effective capacity is used: a warming endpoint's part of its
// capacity changes slowly.
const capacityLifetime = second / 10

// effectiveCapacity returns the capacity of all eligible endpoints, in warm ones (1 each), and updates
// readyCount, warmCount and warmingEndpoints. Warming endpoints count by their present capacity: were only
// warm ones counted, a deploy that leaves few of them would seem to leave much of the traffic for each
// warming one. Ejected endpoints count in full: they are eligible. The count is up to capacityLifetime old.
func (b *Balancer) effectiveCapacity(now monotime.Micros) float64 {
	if now < b.capacityExpiresAt {
		return b.readyCapacity
	}
	b.capacityExpiresAt = now + capacityLifetime
	b.readyCapacity = 0
	b.readyCount = 0
	b.warmCount = 0
	b.warmingEndpoints = b.warmingEndpoints[:0]
	for _, e := range b.endpoints {
		if !e.isEligible() {
			continue
		}
		b.readyCapacity += e.capacityFraction(now, b)
		b.readyCount++
		if e.isWarmingUp {
			b.warmingEndpoints = append(b.warmingEndpoints, e)
		} else {
			b.warmCount++
		}
	}
	return b.readyCapacity
}

// capacityFraction returns the part of its capacity, over 0 to 1, that e has by now at least. It grows
// linearly from Contract.WarmupStartCapacity to 1 over Contract.WarmupTime.
func (e *endpoint) capacityFraction(now monotime.Micros, b *Balancer) float64 {
	if !e.warmingUp(now, b) {
		return 1
	}
	start := b.settings.Contract.WarmupStartCapacity
	return start + (1-start)*float64(now-e.warmupStart)/float64(b.settings.Contract.WarmupTime)
}

// warmingUp reports whether e still warms up, and ends its warm-up after Contract.WarmupTime.
func (e *endpoint) warmingUp(now monotime.Micros, b *Balancer) bool {
	if e.isWarmingUp && now-e.warmupStart >= b.settings.Contract.WarmupTime {
		e.isWarmingUp = false
	}
	return e.isWarmingUp
}
