package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// A pool that a new configuration has replaced keeps its open and queued requests. Their further attempts must not go
// to endpoints that the list of the new configuration has drained or removed, so the pool follows that list.

// noGeneration is the generation of a pool that has not received an endpoint list. Generations of lists are not
// negative.
const noGeneration = -1

// replacedPools returns the pools that p has replaced and that still have open requests.
func (p *Pool) replacedPools() (replaced []*Pool) {
	for _, other := range p.engine.pools {
		if other.replacement == p {
			replaced = append(replaced, other)
		}
	}
	return replaced
}

// followReplacement applies the endpoint list of the pool's replacement, if there is one that has a list, to the pool
// and to those that it has replaced itself. From the first such list on the pool's own source is not used.
func (p *Pool) followReplacement(now monotime.Micros) {
	if p.replacement == nil || p.replacement.generation <= noGeneration {
		return
	}
	endpoints := p.replacement.sortedEndpoints()
	if !p.sourceReleased {
		p.assumeStartedLongAgo(endpoints)
	}
	p.releaseSource()
	p.applyUpdate(now, EndpointUpdate{
		Kind:       balancer.ListFull,
		Generation: p.replacement.generation,
		Source:     p.replacement.dedupGroups.source,
		NewSource:  true,
		Endpoints:  endpoints,
	})
	p.passListOn(now)
}

// assumeStartedLongAgo sets the start times that a list does not state of endpoints that are new to the pool. Otherwise
// the endpoints of the first list of another source, which may only have other names there, would count as recently
// started.
func (p *Pool) assumeStartedLongAgo(endpoints []EndpointInfo) {
	known := p.fullEndpointList()
	for i := range endpoints {
		_, isKnown := known[endpoints[i].Name]
		if !isKnown && endpoints[i].StartedAt == 0 {
			endpoints[i].StartedAt = longAgo
		}
	}
}

// passListOn applies the pool's endpoint list to the pools that it has replaced.
func (p *Pool) passListOn(now monotime.Micros) {
	for _, replaced := range p.replacedPools() {
		replaced.followReplacement(now)
	}
}

// releaseSource reports that updates of the pool's own source are not needed any more (PoolConfig.OnSourceUnused).
func (p *Pool) releaseSource() {
	if p.sourceReleased {
		return
	}
	p.sourceReleased = true
	if p.config.OnSourceUnused != nil {
		p.config.OnSourceUnused()
	}
}
