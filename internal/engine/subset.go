package engine

import (
	"hash/fnv"
	"maps"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// subsetState is the subset of a pool whose instance uses a part of its endpoint list only (package subset).
type subsetState struct {
	set            *subset.Set
	endpoints      map[string]EndpointInfo // the full list, by name
	pollsDiscovery bool                    // Settings.Subscribe: the first list may be a cached, old one
	hasCurrentList bool                    // the list is known not to be an old, cached one

	consecutiveFailures map[string]int             // by name
	unhealthyUntil      map[string]monotime.Micros // by name, of the endpoints that are unhealthy by their failures
	timer               *timer                     // for the next step

	probeBudget        subset.TokenBucket
	initialProbeTokens float64         // part of a probe, 0 to 1, that the budget starts with
	onIdleConnections  func(n float64) // may be nil

	openAttempts   int             // attempts without an outcome
	meanInFlight   float64         // openAttempts as a mean over loadTimeConstant, with rejected requests (observeRejection)
	loadMeasuredAt monotime.Micros // instant that meanInFlight is of
	loadReportedAt monotime.Micros // when the set was passed the load
	meanLatency    float64         // of attempts that succeed, in microseconds, moving average; 0 is not known
}

// initSubset makes the pool's subset.
func (p *Pool) initSubset(settings subset.Settings, seed uint64) error {
	settings.Seed = seed
	set, err := subset.New(settings)
	if err != nil {
		return err
	}
	p.subset = &subsetState{
		set:                 set,
		endpoints:           map[string]EndpointInfo{},
		pollsDiscovery:      p.engine.config.Site.Settings.Subscribe,
		consecutiveFailures: map[string]int{},
		unhealthyUntil:      map[string]monotime.Micros{},
		onIdleConnections:   p.config.OnIdleConnections,
		initialProbeTokens:  p.engine.rng.Float64(),
	}
	return nil
}

// longAgo is the start time of an endpoint that was listed before its start could be observed.
const longAgo monotime.Micros = 1

// applyUpdate applies an update of the full list and returns the update of the subset that the balancer gets.
func (s *subsetState) applyUpdate(now monotime.Micros, update EndpointUpdate) EndpointUpdate {
	s.updateFullList(now, update)
	s.forgetUnlisted()
	candidates := make([]subset.Endpoint, 0, len(s.endpoints))
	for _, info := range s.endpoints {
		// All endpoints have the same weight here: weights may follow load, and subsets would move with them.
		candidates = append(candidates, subset.Endpoint{ID: info.Name, Zone: int(hashString(info.Zone)), Weight: 1})
	}
	slices.SortFunc(candidates, func(a, b subset.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	s.set.SetEndpoints(now, candidates)
	for _, e := range candidates { // sorted: random draws must not depend on map order
		s.updateHealth(now, e.ID)
	}
	s.applyBudgets()
	memberUpdate := update
	memberUpdate.Endpoints = s.members()
	if memberUpdate.Kind == balancer.ListDelta {
		memberUpdate.Kind = balancer.ListFull
	}
	return memberUpdate
}

// updateFullList applies an update to the full list.
func (s *subsetState) updateFullList(now monotime.Micros, update EndpointUpdate) {
	previous := s.endpoints
	if update.Kind == balancer.ListDelta {
		previous = maps.Clone(s.endpoints)
	} else {
		s.endpoints = map[string]EndpointInfo{}
	}
	for _, info := range update.Endpoints {
		if info.Name == "" || info.State == balancer.Gone {
			delete(s.endpoints, info.Name)
			continue
		}
		if info.StartedAt == 0 {
			info.StartedAt = s.startTime(now, previous, info.Name, update.Kind)
		}
		s.endpoints[info.Name] = info
	}
	s.hasCurrentList = s.hasCurrentList || update.Kind != balancer.ListCached || !s.pollsDiscovery
}

// startTime determines when an endpoint without a start time has started: when it was first listed, or long ago if
// that was by the first list. Without a start time the balancer would take an endpoint that comes back into the
// subset for one that has just started.
func (s *subsetState) startTime(
	now monotime.Micros, previous map[string]EndpointInfo, name string, kind balancer.ListKind) monotime.Micros {
	if previousInfo, known := previous[name]; known {
		return previousInfo.StartedAt
	}
	if s.hasCurrentList && kind != balancer.ListCached {
		return now
	}
	return longAgo
}

// forgetUnlisted forgets the failures of endpoints that are not listed any more.
func (s *subsetState) forgetUnlisted() {
	maps.DeleteFunc(s.consecutiveFailures, func(name string, _ int) bool { return !s.isListed(name) })
	maps.DeleteFunc(s.unhealthyUntil, func(name string, _ monotime.Micros) bool { return !s.isListed(name) })
}

// lists reports whether the full list has an endpoint.
func (s *subsetState) isListed(name string) bool { return s.endpoints[name].Name != "" }

// applyBudgets applies the instance's part of the endpoints' budgets: probes a second, and idle connections.
func (s *subsetState) applyBudgets() {
	budgets := s.set.Budgets()
	s.probeBudget.Rate = budgets.Probes
	s.probeBudget.Burst = budgets.Probes
	if s.onIdleConnections != nil && budgets.IdleConnections > 0 {
		s.onIdleConnections(budgets.IdleConnections)
	}
}

// members returns the entries of the endpoints in the subset.
func (s *subsetState) members() []EndpointInfo {
	var infos []EndpointInfo
	for _, member := range s.set.Members() {
		infos = append(infos, s.endpoints[member.ID])
	}
	return infos
}

// scheduleSubsetStep sets the timer for the next step of the subset: a step of the set itself, or the end of an
// endpoint's time as unhealthy.
func (p *Pool) scheduleSubsetStep() {
	s := p.subset
	p.engine.cancelTimer(s.timer)
	s.timer = nil
	due, ok := s.set.NextStep()
	for _, until := range s.unhealthyUntil {
		if !ok || until < due {
			due = until
			ok = true
		}
	}
	if ok && !p.dissolved {
		s.timer = p.engine.schedule(due, p.advanceSubset)
	}
}

// advanceSubset makes the steps of the subset that are due, and passes a change of its members to the balancer.
func (p *Pool) advanceSubset(now monotime.Micros) {
	s := p.subset
	s.timer = nil
	s.expireUnhealthy(now)
	s.observeOpenAttempts(now, 0)
	s.set.SetLoad(now, s.meanInFlight)
	if s.set.Advance(now) && !p.dissolved {
		p.engine.config.Host.Log("subset changed", "pool", p.name,
			"members", len(s.set.Members()), "listed", len(s.endpoints), "widened", s.set.Doublings())
		p.updateBalancer(now, EndpointUpdate{Kind: balancer.ListFull, Endpoints: s.members()})
	}
	p.scheduleSubsetStep()
}

// hashString is the 32-bit FNV-1a hash of a string.
func hashString(s string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(s))
	return hash.Sum32()
}
