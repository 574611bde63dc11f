package engine

import (
	"slices"

	"dunlinsail/balancer"
)

// dedupGroups numbers the zones and cells of a pool's endpoints for the balancer, which retries a request with an
// idempotency key within one of them (balancer.DedupScope). A group is unknown unless the endpoint list states it.
//
// Names of zones and numbers of cells are those of one source of lists. After a change of the source the same name may
// mean other endpoints, so a group gets a new number unless both sources list an endpoint in it (sharedNumbers).
type dedupGroups struct {
	source string // origin of the lists whose groups are numbered
	zones  map[string]balancer.DedupGroup
	cells  map[uint16]balancer.DedupGroup
	last   balancer.DedupGroup // the last number that was given to a zone or a cell

	reportedUnknown map[balancer.DedupScope]bool // scopes in which reportUnknownGroups has found unknown groups
}

// newDedupGroups returns groups of which none has a number, for lists of the given source.
func newDedupGroups(source string) dedupGroups {
	return dedupGroups{
		source:          source,
		zones:           map[string]balancer.DedupGroup{},
		cells:           map[uint16]balancer.DedupGroup{},
		reportedUnknown: map[balancer.DedupScope]bool{},
	}
}

// setSource notes the source of the list that follows; "" is the source of the list before. If the source changes, only
// groups that the list before shares with the one that follows keep their numbers. Other numbers are not given again.
func (g *dedupGroups) setSource(source string, before map[string]EndpointInfo, following []EndpointInfo) {
	if source == "" || source == g.source {
		return
	}
	g.source = source
	g.zones = sharedNumbers(g.zones, before, following, func(info *EndpointInfo) (string, bool) {
		return info.Zone, info.HasZone()
	})
	g.cells = sharedNumbers(g.cells, before, following, func(info *EndpointInfo) (uint16, bool) {
		return info.Cell, info.HasCell()
	})
}

// sharedNumbers returns the numbers of the groups in which two lists of different sources both have the same endpoint.
// It returns none if the lists have an endpoint in different groups, because the sources then name groups differently.
// groupOf returns the zone or cell of an endpoint, and whether it is known.
func sharedNumbers[K comparable](
	numbers map[K]balancer.DedupGroup, before map[string]EndpointInfo, following []EndpointInfo,
	groupOf func(*EndpointInfo) (K, bool),
) map[K]balancer.DedupGroup {
	shared := map[K]balancer.DedupGroup{}
	for _, info := range following {
		earlier := before[info.Name]
		if info.State == balancer.Gone || earlier.Addr != info.Addr {
			continue
		}
		groupBefore, knownBefore := groupOf(&earlier)
		group, known := groupOf(&info)
		switch {
		case !known || !knownBefore:
		case group != groupBefore:
			return map[K]balancer.DedupGroup{}
		case numbers[group] != balancer.UnknownGroup:
			shared[group] = numbers[group]
		}
	}
	return shared
}

// zoneGroup returns the number of an endpoint's zone.
func (g *dedupGroups) zoneGroup(info *EndpointInfo) balancer.DedupGroup {
	if !info.HasZone() {
		return balancer.UnknownGroup
	}
	return numberOf(g, g.zones, info.Zone)
}

// cellGroup returns the number of an endpoint's cell.
func (g *dedupGroups) cellGroup(info *EndpointInfo) balancer.DedupGroup {
	if !info.HasCell() {
		return balancer.UnknownGroup
	}
	return numberOf(g, g.cells, info.Cell)
}

// numberOf returns the number of a zone or cell, and gives it the next number if it has none.
func numberOf[K comparable](g *dedupGroups, numbers map[K]balancer.DedupGroup, key K) balancer.DedupGroup {
	if _, known := numbers[key]; !known {
		g.last++
		numbers[key] = g.last
	}
	return numbers[key]
}

// markKnownCells returns the endpoints of a snapshot. An earlier build does not store whether a cell 0 is known: it is
// if the pool has received the same list itself, and that states it.
func (p *Pool) markKnownCells(snapshot *PoolSnapshot) []EndpointInfo {
	endpoints := slices.Clone(snapshot.Endpoints)
	if snapshot.Generation != p.generation {
		return endpoints
	}
	ownList := p.fullEndpointList()
	for i := range endpoints {
		own := ownList[endpoints[i].Name]
		if own.CellKnown && own.Cell == endpoints[i].Cell {
			endpoints[i].CellKnown = true
		}
	}
	return endpoints
}

// partialScope is a deduplication scope that does not include all endpoints.
type partialScope struct {
	scope      balancer.DedupScope
	name       string                   // name in the log
	knowsGroup func(*EndpointInfo) bool // whether an endpoint's group is known
}

var partialScopes = []partialScope{
	{balancer.DedupZone, "zone", (*EndpointInfo).HasZone},
	{balancer.DedupCell, "cell", (*EndpointInfo).HasCell},
}

// reportUnknownGroups logs a warning when endpoints turn up whose group is unknown, although a class is retried within
// its group only, and a message when there are none any more.
func (p *Pool) reportUnknownGroups() {
	for _, scope := range partialScopes {
		classes := p.classesOfScope(scope.scope)
		if len(classes) == 0 {
			continue
		}
		unknown := 0
		for _, info := range p.endpointList {
			if !scope.knowsGroup(&info) {
				unknown++
			}
		}
		reported := p.dedupGroups.reportedUnknown
		switch {
		case unknown > 0 && !reported[scope.scope]:
			p.engine.config.Host.Warn("keyed requests not retried at endpoints of unknown group", "pool", p.name,
				"group", scope.name, "classes", classes, "endpoints", unknown, "listed", len(p.endpointList))
		case unknown == 0 && reported[scope.scope]:
			p.engine.config.Host.Log("groups of all endpoints known", "pool", p.name, "group", scope.name)
		}
		reported[scope.scope] = unknown > 0
	}
}

// classesOfScope returns the names of the classes whose requests are retried within a scope.
func (p *Pool) classesOfScope(scope balancer.DedupScope) (names []string) {
	site := p.engine.config.Site
	for i, class := range site.Settings.Classes {
		if class.Idempotency == balancer.IdempotentByKey && class.DedupScope == scope && i < len(site.Classes) {
			names = append(names, site.Classes[i])
		}
	}
	return names
}
