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

// subsetState is the state of a pool that uses only a subset of its endpoint list (package subset).
type subsetState struct {
	set            *subset.Set
	endpoints      map[string]EndpointInfo // full endpoint list, by name
	pollsDiscovery bool                    // Settings.Subscribe: the first list may be cached and out of date
	hasCurrentList bool                    // the list is known not to be cached and out of date

	consecutiveFailures map[string]int             // consecutive failures of each endpoint, by name
	unhealthyUntil      map[string]monotime.Micros // end of the unhealthy time after too many failures, by name
	timer               *timer                     // for the next step of the subset

	probeBudget        subset.TokenBucket        // this instance's share of the endpoints' probe budgets
	initialProbeTokens float64                   // fraction of a probe, 0 to 1, with which probeBudget starts
	onIdleConnections  func(connections float64) // PoolConfig.OnIdleConnections; may be nil

	openAttempts   int             // number of attempts without an outcome
	meanInFlight   float64         // exponential mean of openAttempts, plus the load of rejected requests
	loadMeasuredAt monotime.Micros // instant of the latest update of meanInFlight
	loadReportedAt monotime.Micros // instant at which set last received the load
	meanLatency    float64         // moving average of latency of successful attempts, in microseconds; 0 if unknown
}

// initSubset creates the pool's subset.
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

// longAgo is the start time given to an endpoint that may have started before this instance received its first
// list.
const longAgo monotime.Micros = 1

// applyUpdate applies an update of the full endpoint list and returns the corresponding update of the subset
// for the balancer.
func (s *subsetState) applyUpdate(now monotime.Micros, update EndpointUpdate) EndpointUpdate {
	s.updateFullList(now, update)
	s.forgetUnlisted()
	candidates := make([]subset.Endpoint, 0, len(s.endpoints))
	for _, info := range s.endpoints {
		// All endpoints have the same weight in the selection of the subset, because weights in the list may
		// follow load and would then change the subsets.
		candidates = append(candidates, subset.Endpoint{ID: info.Name, Zone: int(hashString(info.Zone)), Weight: 1})
	}
	slices.SortFunc(candidates, func(a, b subset.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	s.set.SetEndpoints(now, candidates)
	for _, e := range candidates { // sorted, so that random draws do not depend on map order
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

// updateFullList applies an update to the full endpoint list.
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

// startTime returns the start time of an endpoint whose list entry has none: the instant at which it was first
// listed, or longAgo if the first list already had it. Without a start time, the balancer would treat an
// endpoint that returns to the subset as recently started.
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

// forgetUnlisted removes the recorded failures of endpoints that are no longer listed.
func (s *subsetState) forgetUnlisted() {
	maps.DeleteFunc(s.consecutiveFailures, func(name string, _ int) bool { return !s.isListed(name) })
	maps.DeleteFunc(s.unhealthyUntil, func(name string, _ monotime.Micros) bool { return !s.isListed(name) })
}

// isListed reports whether the full endpoint list contains an endpoint.
func (s *subsetState) isListed(name string) bool { return s.endpoints[name].Name != "" }

// applyBudgets applies the instance's share of the endpoints' budgets: the probe rate and the number of idle
// connections.
func (s *subsetState) applyBudgets() {
	budgets := s.set.Budgets()
	s.probeBudget.Rate = budgets.Probes
	s.probeBudget.Burst = budgets.Probes
	if s.onIdleConnections != nil && budgets.IdleConnections > 0 {
		s.onIdleConnections(budgets.IdleConnections)
	}
}

// members returns the list entries of the endpoints in the subset.
func (s *subsetState) members() []EndpointInfo {
	var infos []EndpointInfo
	for _, member := range s.set.Members() {
		infos = append(infos, s.endpoints[member.ID])
	}
	return infos
}

// scheduleSubsetStep sets the timer for the next step of the subset: the next step of the set or the end of an
// endpoint's unhealthy time, whichever is earlier.
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

// advanceSubset performs the steps of the subset that are due, and passes a change of its members to the
// balancer.
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

// hashString returns the 32-bit FNV-1a hash of a string.
func hashString(s string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(s))
	return hash.Sum32()
}
