package balancer

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// UpdateEndpoints handles an endpoint list, a change of it, or discovery's failure to send one. After a
// failure the latest list stays in use and, with Settings.Subscribe, discovery is polled again. A cached list
// does not count as the answer of a poll: polls go on until discovery sends a list.
func (b *Balancer) UpdateEndpoints(now monotime.Micros, listKind ListKind, entries []Endpoint) {
	if listKind == ListFailed {
		b.subscribed = false
		b.logDiscoveryFailure(now)
		b.retryPoll(now)
		return
	}
	if listKind != ListCached && b.settings.Subscribe {
		b.subscribed = true
		b.pollBackoff = 0
	}
	for _, e := range b.endpoints {
		e.listed = false
	}
	for i := range entries {
		b.updateEndpoint(now, &entries[i], listKind)
	}
	b.removeUnlisted(listKind)
	b.capacityExpiresAt = now
	b.listReceived = b.listReceived || listKind != ListCached || !b.settings.Subscribe
}

// updateEndpoint applies one entry of a list. What was learned of an earlier process of the endpoint is
// dropped, and an endpoint that has just started begins to warm up.
func (b *Balancer) updateEndpoint(now monotime.Micros, entry *Endpoint, listKind ListKind) {
	e := b.endpointsByID[entry.ID]
	added := e == nil
	if added {
		e = b.addEndpoint(entry.ID)
	}
	restarted := !added && entry.StartTime != 0 && entry.StartTime != e.StartTime
	if restarted {
		b.resetEndpoint(e)
		b.removeFromPool(e)
	}
	e.Endpoint = *entry
	e.listed = true
	if !added && !restarted {
		return
	}
	started := b.startTimeOf(now, entry, added, listKind)
	if started != 0 && now-started < b.settings.Contract.WarmupTime {
		b.startWarmup(now, e, min(started, now))
	}
}

// addEndpoint adds a record to the endpoints.
func (b *Balancer) addEndpoint(id uint32) *endpoint {
	e := &endpoint{outliers: b.newOutliers()}
	b.endpointsByID[id] = e
	b.endpoints = append(b.endpoints, e)
	return e
}

// startTimeOf returns when the process of an entry started, 0 for long ago. An entry without a start time
// that is added after the first list has just started. A cached list may be old, so what it adds has not.
func (b *Balancer) startTimeOf(now monotime.Micros, entry *Endpoint, added bool,
	listKind ListKind) monotime.Micros {
	if entry.StartTime == 0 && added && b.listReceived && listKind != ListCached {
		return now
	}
	return entry.StartTime
}

// removeUnlisted marks endpoints that a complete list leaves out as Gone, and forgets those that are Gone
// once they have no attempt in flight. What is not eligible leaves the pool.
func (b *Balancer) removeUnlisted(listKind ListKind) {
	b.endpoints = slices.DeleteFunc(b.endpoints, func(e *endpoint) bool {
		if listKind != ListDelta && !e.listed {
			e.State = Gone
		}
		if !e.isEligible() {
			b.removeFromPool(e)
		}
		remove := e.State == Gone && e.inflight == 0
		if remove {
			delete(b.endpointsByID, e.ID)
		}
		return remove
	})
}
