package balancer

import "dunlinsail/internal/monotime"

const (
	probeBatch       = 3           // endpoints per round, at most
	maxProbeInterval = second / 10 // mean pause before a round of several probes, at most
	minPauseFactor   = 0.5         // of the mean pause before a round: the pause is 0.5 to 1.5 of it, at random

	// probeRateRecheck bounds the pause between two rounds: the bound is drawn anew for each round, from 0.5
	// to 1.5 of it. The probe rate is computed in each round. In a longer pause a balancer whose requests
	// have just begun would go without reports.
	probeRateRecheck = second / 2

	// maxProbeDraws bounds the random draws for one batch of probes: where few endpoints may be probed, most
	// draws find none.
	maxProbeDraws = 4 * probeBatch

	lostProbeAfter = 5 * second // without a result of a probe: its endpoint may be probed again
)

// probeRound handles the probe timer: it sends the probes that have come due by probeRate (per second), at
// most probeBatch, and sets the timer of the next round. The pause is random, so that balancers do not probe
// together.
func (b *Balancer) probeRound(now monotime.Micros) {
	rate := b.probeRate(now)
	b.dueProbes = min(probeBatch, b.dueProbes+rate*float64(now-b.dueProbesAt)/float64(second))
	b.dueProbesAt = now
	if count := int(b.dueProbes); count > 0 {
		b.probeRandom(now, count, false)
		b.dueProbes -= float64(count)
	}
	batchSize := max(1, min(probeBatch, rate*float64(maxProbeInterval)/float64(second)))
	pauseFactor := minPauseFactor + b.random.float()
	pause := monotime.Micros(max(0, batchSize-b.dueProbes) / rate * pauseFactor * float64(second))
	maxPause := probeRateRecheck/2 + b.random.durationBelow(probeRateRecheck)
	b.actions.SetTimer(1+min(pause, maxPause), tokenProbe)
}

// probeRandom sends up to n probes, to random eligible endpoints that have no probe in flight. awaited is set
// for probes that queued requests wait for; those leave out ejected endpoints, whose reports would be of no
// use.
func (b *Balancer) probeRandom(now monotime.Micros, count int, awaited bool) {
	for draws := 0; count > 0 && draws < maxProbeDraws && len(b.endpoints) > 0; draws++ {
		e := b.endpoints[b.random.index(len(b.endpoints))]
		if e.probing && now-e.probedAt > lostProbeAfter {
			e.probing = false
		}
		if awaited && e.isEjected(now) || !b.sendProbe(now, e) {
			continue
		}
		e.awaitedInRound = 0
		if awaited {
			e.awaitedInRound = b.queueRound
			b.awaitedProbes++
		}
		count--
	}
}

// sendProbe probes e, and reports whether it did. It does not without Limits.Probes, nor an endpoint that is
// not eligible or has a probe in flight. A warming endpoint pays for the probe from its token bucket.
func (b *Balancer) sendProbe(now monotime.Micros, e *endpoint) bool {
	if !b.settings.Limits.Probes || !e.isEligible() || e.probing {
		return false
	}
	e.probing = true
	e.probedAt = now
	e.warmupTokens -= probeCharge * b.classes[0].meanWork.value * indicator(e.warmingUp(now, b))
	b.actions.Probe(e.ID)
	return true
}

// HandleProbe handles the end of a probe after latency, with the load report that it returned. load is valid
// during the call only; it counts for status OK. A probe that fails only brings no report: it neither ejects
// the endpoint nor counts in its breaker, since a probe is no health check.
func (b *Balancer) HandleProbe(now monotime.Micros, id uint32, status Status, latency monotime.Micros,
	load []float32) {
	e := b.endpointsByID[id]
	if e == nil {
		return
	}
	e.probing = false
	if status == OK && e.isEligible() {
		b.recordReport(now, e, latency, load)
	}
	if e.awaitedInRound == b.queueRound && b.awaitedProbes > 0 {
		e.awaitedInRound = 0
		b.awaitedProbes--
		if b.awaitedProbes == 0 {
			b.dispatchQueued(now)
		}
	}
}
