package engine

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

const (
	// unhealthyAfterFailures is how many failures in a row make an endpoint unhealthy for the subset: as many as make
	// the balancer eject it.
	unhealthyAfterFailures = 3
	// unhealthyDuration is for how long after the latest failure an endpoint counts as unhealthy. The balancer sends it
	// hardly anything meanwhile, so that there is no newer evidence.
	unhealthyDuration = 30 * monotime.Second

	// loadSpan is the time over which the instance's own load is averaged: about as long as Finagle's aperture smooths
	// it (5 s), but shorter, since an instance may turn busy within a second.
	loadSpan = 2 * monotime.Second
	// loadReportInterval is how far apart two updates of the subset's load are at least.
	loadReportInterval = monotime.Second / 10

	// latencyWeight is the weight of one attempt in the moving average of latency.
	latencyWeight = 0.05

	// longAgo is the start time of an endpoint that was listed before any start could be seen.
	longAgo monotime.Micros = 1
)

// subsetState is the subset of a pool whose instance uses a part of its endpoint list only (package subset).
type subsetState struct {
	set            *subset.Set
	endpoints      map[string]EndpointInfo // the full list, by name
	pollsDiscovery bool                    // there is no watch: a list that was known may be old
	hasCurrentList bool                    // there is a list that is not

	consecutiveFailures map[string]int             // by name
	unhealthyUntil      map[string]monotime.Micros // by name, for those that count as unhealthy by their failures
	timer               *timer                     // for the set's next step

	probeBudget        subset.TokenBucket
	initialProbeTokens float64         // part of a probe that the budget starts with
	onIdleConnections  func(n float64) // may be nil

	openAttempts   int     // attempts without an outcome
	meanInFlight   float64 // average over loadSpan; a rejected request counts as if it had been sent (Little's law)
	loadMeasuredAt monotime.Micros
	loadReportedAt monotime.Micros // to the set
	meanLatency    float64         // of attempts that succeed, moving average; 0 is not known
}

// initSubset makes the pool's subset.
func (p *Pool) initSubset(s subset.Settings, seed uint64) error {
	s.Seed = seed
	set, err := subset.New(s)
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

// applyUpdate applies an update of the full list and returns the update of the subset that the balancer gets.
func (s *subsetState) applyUpdate(now monotime.Micros, update EndpointUpdate) EndpointUpdate {
	s.updateFullList(now, update)
	s.forgetUnlisted()
	list := make([]subset.Endpoint, 0, len(s.endpoints))
	for _, info := range s.endpoints {
		// Weights may follow load, and subsets would move with them: all endpoints have the same one here.
		list = append(list, subset.Endpoint{ID: info.Name, Zone: int(hashString(info.Zone)), Weight: 1})
	}
	slices.SortFunc(list, func(a, b subset.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	s.set.SetEndpoints(now, list)
	for _, e := range list { // sorted: random draws must not depend on map order
		s.updateHealth(now, e.ID)
	}
	s.applyBudgets()
	result := update
	result.Endpoints = s.members()
	if result.Kind == balancer.ListDelta {
		result.Kind = balancer.ListFull
	}
	return result
}

// updateFullList applies an update to the full list.
func (s *subsetState) updateFullList(now monotime.Micros, update EndpointUpdate) {
	before := s.endpoints
	if update.Kind == balancer.ListDelta {
		before = maps.Clone(s.endpoints)
	} else {
		s.endpoints = map[string]EndpointInfo{}
	}
	for _, info := range update.Endpoints {
		if info.Name == "" || info.State == balancer.Gone {
			delete(s.endpoints, info.Name)
			continue
		}
		if info.StartedAt == 0 {
			// Once it has a list, the balancer takes an endpoint that is new to it for one that has just started. One
			// that leaves the subset and comes back started when it was first listed.
			old, known := before[info.Name]
			switch {
			case known:
				info.StartedAt = old.StartedAt
			case s.hasCurrentList && update.Kind != balancer.ListCached:
				info.StartedAt = now
			default:
				info.StartedAt = longAgo
			}
		}
		s.endpoints[info.Name] = info
	}
	s.hasCurrentList = s.hasCurrentList || update.Kind != balancer.ListCached || !s.pollsDiscovery
}

// forgetUnlisted forgets the failures of endpoints that are not listed any more.
func (s *subsetState) forgetUnlisted() {
	maps.DeleteFunc(s.consecutiveFailures, func(name string, _ int) bool { return !s.lists(name) })
	maps.DeleteFunc(s.unhealthyUntil, func(name string, _ monotime.Micros) bool { return !s.lists(name) })
}

// lists reports whether the full list has an endpoint.
func (s *subsetState) lists(name string) bool { return s.endpoints[name].Name != "" }

// updateHealth tells the set whether an endpoint is unhealthy: not ready, or by its failures.
func (s *subsetState) updateHealth(now monotime.Micros, name string) {
	s.set.SetUnhealthy(now, name, s.endpoints[name].State != balancer.Ready || s.unhealthyUntil[name] > now)
}

// applyBudgets applies what the set grants the instance at its endpoints.
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
	var list []EndpointInfo
	for _, m := range s.set.Members() {
		list = append(list, s.endpoints[m.ID])
	}
	return list
}

// observeEndpointHealth learns from the outcome of an attempt whether its endpoint is healthy.
func (p *Pool) observeEndpointHealth(
	now monotime.Micros, e *Endpoint, status balancer.Status, latency monotime.Micros) {
	s := p.subset
	if s == nil || !s.lists(e.Name) {
		return
	}
	switch status {
	case balancer.OK:
		if s.meanLatency == 0 {
			s.meanLatency = float64(latency)
		}
		s.meanLatency += (float64(latency) - s.meanLatency) * latencyWeight
		if s.consecutiveFailures[e.Name] == 0 {
			return
		}
		delete(s.consecutiveFailures, e.Name)
		delete(s.unhealthyUntil, e.Name)
	case balancer.Cancelled, balancer.NotSent:
		return
	default:
		s.consecutiveFailures[e.Name]++
		if s.consecutiveFailures[e.Name] >= unhealthyAfterFailures {
			s.unhealthyUntil[e.Name] = now + unhealthyDuration
		}
	}
	s.updateHealth(now, e.Name)
	p.scheduleSubsetStep()
}

// expireUnhealthy lets endpoints count as healthy whose time as unhealthy is over. One more failure makes such an
// endpoint unhealthy again.
func (s *subsetState) expireUnhealthy(now monotime.Micros) {
	for _, name := range slices.Sorted(maps.Keys(s.unhealthyUntil)) {
		if now >= s.unhealthyUntil[name] {
			delete(s.unhealthyUntil, name)
			s.consecutiveFailures[name] = unhealthyAfterFailures - 1
			s.updateHealth(now, name)
		}
	}
}

// observeOpenAttempts notes that attempts have started, or ended if the number is negative.
func (s *subsetState) observeOpenAttempts(now monotime.Micros, attempts int) {
	s.meanInFlight += (float64(s.openAttempts) - s.meanInFlight) *
		-math.Expm1(-float64(now-s.loadMeasuredAt)/float64(loadSpan))
	s.openAttempts += attempts
	s.loadMeasuredAt = now
}

// observeRejection notes a request that was rejected before any attempt. Endpoints without free capacity hold no more
// than they can: what is in flight would never show that the instance needs more of them.
func (p *Pool) observeRejection(now monotime.Micros) {
	if s := p.subset; s != nil {
		s.meanInFlight += s.meanLatency / float64(loadSpan)
		p.observeLoad(now, 0)
	}
}

// observeLoad notes that attempts have started, or ended if the number is negative, and now and then reports the
// instance's load to the set.
func (p *Pool) observeLoad(now monotime.Micros, attempts int) {
	s := p.subset
	if s == nil {
		return
	}
	s.observeOpenAttempts(now, attempts)
	if now-s.loadReportedAt < loadReportInterval {
		return
	}
	s.loadReportedAt = now
	s.set.SetLoad(now, s.meanInFlight)
	p.scheduleSubsetStep()
}

// scheduleSubsetStep sets the timer for the next step of the subset: of the set itself, or the end of an endpoint's
// time as unhealthy.
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

// advanceSubset does what is due of the subset, and passes a change of its members to the balancer.
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

// allowProbe reports whether the budgets allow a probe. The balancer is notified of one that is not sent as the next
// event: a request may wait for its answer.
func (p *Pool) allowProbe(now monotime.Micros, number uint32) bool {
	allowed := true
	if o := p.overload; o != nil && !o.control.TakeProbe(now, p.probeQuota(now)) {
		allowed = false
		o.suppressedProbes++
	}
	if s := p.subset; allowed && s != nil {
		allowed, _ = s.probeBudget.Take(now, s.initialProbeTokens)
	}
	if !allowed {
		p.engine.schedule(now, func(now monotime.Micros) {
			if !p.dissolved {
				p.balancer.HandleProbe(now, number, balancer.NotSent, 0, nil)
			}
		})
	}
	return allowed
}

// hashString is the 32-bit FNV-1a hash of a string.
func hashString(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}
