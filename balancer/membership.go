package balancer

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// UpdateEndpoints handles an endpoint list, a change of it, or discovery's failure to send one.
func (b *Balancer) UpdateEndpoints(now monotime.Micros, kind ListKind, entries []Endpoint) {
	if kind == ListFailed {
		b.subscribed = false
		b.logDiscoveryFailure(now)
		b.retryPoll(now)
		return
	}
	if kind != ListCached && b.settings.Subscribe {
		b.subscribed = true
		b.pollBackoff = 0
	}
	for _, e := range b.endpoints {
		e.listed = false
	}
	for i := range entries {
		b.updateEndpoint(now, &entries[i], kind)
	}
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if kind != ListDelta && !e.listed {
			e.State = Gone
		}
		if !e.isEligible() {
			b.removeFromPool(e)
		}
		forget := e.State == Gone && e.inflight == 0
		if forget {
			delete(b.endpointsByID, e.ID)
		}
		return forget
	})
	b.capacityExpiresAt = now
	b.listReceived = b.listReceived || kind != ListCached || !b.settings.Subscribe
}

// updateEndpoint applies one entry of a list. An endpoint that has just started begins to warm up.
func (b *Balancer) updateEndpoint(now monotime.Micros, entry *Endpoint, kind ListKind) {
	e := b.endpointsByID[entry.ID]
	added := e == nil
	if added {
		e = &endpoint{outliers: b.newOutliers()}
		b.endpointsByID[entry.ID] = e
		b.endpoints = append(b.endpoints, e)
	}
	restarted := !added && entry.StartTime != 0 && entry.StartTime != e.StartTime
	if restarted {
		b.resetEndpoint(e)
		b.removeFromPool(e)
	}
	started := entry.StartTime
	if started == 0 && added && b.listReceived && kind != ListCached {
		started = now // what appears later than the first list has just started; a cached list may be older
	}
	e.Endpoint = *entry
	e.listed = true
	if started != 0 && now-started < b.settings.Contract.WarmupTime && (added || restarted) {
		b.startWarmup(now, e, min(started, now))
	}
}

// SetCordon takes an endpoint out of service by hand, or brings it back. A cordoned one gets nothing new,
// whatever the list says; open attempts go on. One that is brought back counts as restarted, and warms up.
func (b *Balancer) SetCordon(now monotime.Micros, id uint32, on bool) {
	e := b.endpointsByID[id]
	if e == nil || e.cordoned == on {
		return
	}
	e.cordoned = on
	b.capacityExpiresAt = now
	b.removeFromPool(e)
	if !on {
		before := *e
		b.resetEndpoint(e)
		e.lastSentAt = before.lastSentAt
		e.silentSince = before.silentSince
		b.startWarmup(now, e, now)
	}
}

// SetPaused has nothing new go to an endpoint for a while, or ends that. What was learned of it stays.
func (b *Balancer) SetPaused(now monotime.Micros, id uint32, on bool) {
	if e := b.endpointsByID[id]; e != nil && e.paused != on {
		e.paused = on
		b.capacityExpiresAt = now
		b.removeFromPool(e)
	}
}

const pollCallTime = 50_000 // microseconds that discovery is assumed to need for a call

func (b *Balancer) schedulePoll(now, delay monotime.Micros) {
	b.nextPollAt = now + delay
	b.actions.SetTimer(delay, tokenDiscovery)
}

// pollJitter is the time over which a fleet that starts at once spreads its polls: discovery answers so many.
func (b *Balancer) pollJitter() monotime.Micros {
	interval := b.settings.Contract.PollInterval
	return min(max(interval/10, monotime.Micros(b.settings.Balancers)*pollCallTime), interval/2)
}

// poll subscribes to discovery unless that is done. The answer may be lost, so it polls again later.
func (b *Balancer) poll(now monotime.Micros) {
	if b.settings.Subscribe && !b.subscribed && now >= b.nextPollAt {
		b.actions.Watch(true)
		interval := b.settings.Contract.PollInterval
		b.schedulePoll(now, 1+interval/2+b.random.durationBelow(interval/4))
	}
}

// retryPoll polls again after a failure, with exponential backoff and jitter.
func (b *Balancer) retryPoll(now monotime.Micros) {
	if b.settings.Subscribe {
		b.pollBackoff = min(max(2*b.pollBackoff, b.pollJitter()/2), b.settings.Contract.PollInterval/4)
		b.schedulePoll(now, 1+b.pollBackoff/2+b.random.durationBelow(b.pollBackoff))
	}
}
