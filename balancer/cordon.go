package balancer

import "dunlinsail/internal/monotime"

// SetCordon takes an endpoint out of service by an operator's call, or returns it to service. A cordoned
// endpoint gets no new attempts and no probes, whatever the list says; attempts in flight go on. One that is
// returned to service is treated as restarted: what was learned is dropped, and it warms up.
//
// An ID that is not listed is ignored. The cordon is lost when the endpoint is gone and forgotten: the host
// sets it again after each list.
func (b *Balancer) SetCordon(now monotime.Micros, id uint32, cordoned bool) {
	e := b.endpointsByID[id]
	if e == nil || e.cordoned == cordoned {
		return
	}
	e.cordoned = cordoned
	b.capacityExpiresAt = now
	b.removeFromPool(e)
	if cordoned {
		return
	}
	old := *e
	b.resetEndpoint(e)
	e.lastSentAt = old.lastSentAt
	e.silentSince = old.silentSince
	b.startWarmup(now, e, now)
}

// SetPaused pauses an endpoint, or resumes it. A paused endpoint gets no new attempts and no probes. What was
// learned of it stays, and it does not warm up when it is resumed. An ID that is not listed is ignored, and
// the pause is lost when the endpoint is gone and forgotten, as with SetCordon.
func (b *Balancer) SetPaused(now monotime.Micros, id uint32, paused bool) {
	if e := b.endpointsByID[id]; e != nil && e.paused != paused {
		e.paused = paused
		b.capacityExpiresAt = now
		b.removeFromPool(e)
	}
}
