package engine

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Statistics contains figures about an engine at one instant.
type Statistics struct {
	ListedEndpoints  int // number of entries in the endpoint lists of all pools
	AvoidedEndpoints int // endpoints that balancer.ShouldAvoid reports: cordoned, paused or ejected

	// Figures of overload control (package overload).
	OverloadControlled bool    // at least one pool has overload control
	OverloadLevel      float64 // lowest admission level, 0 to 1, of all pools
	ShedRequests       uint64  // total number of requests rejected by overload control
	SuppressedProbes   uint64  // total number of probes suppressed by the probe budget

	// Figures of the coordination with the other instances of the fleet.
	HasTenantLimits    bool   // at least one tenant has a limit
	RequestsOverLimit  uint64 // total number of requests rejected because of their tenant's limit
	QuotaLeased        bool   // this instance has a valid quota lease
	SuspectedEndpoints int    // number of suspected pairs of endpoint and class
}

// Statistics returns the figures of the engine at now.
func (eng *Engine) Statistics(now monotime.Micros) (s Statistics) {
	if f := eng.fleet; f != nil {
		s.HasTenantLimits = slices.ContainsFunc(f.tenantBudgets, func(budget string) bool { return budget != "" })
		s.RequestsOverLimit = f.requestsOverLimit
		s.SuspectedEndpoints = len(f.suspicions)
		s.QuotaLeased = f.member.View(now).LeaseRemaining > 0
	}
	for _, p := range eng.pools {
		p.addStatistics(now, &s)
	}
	return s
}

// addStatistics adds the pool's figures to those of the engine.
func (p *Pool) addStatistics(now monotime.Micros, s *Statistics) {
	s.ListedEndpoints += len(p.byName)
	if p.subset != nil {
		s.ListedEndpoints += len(p.subset.endpoints) - len(p.byName)
	}
	if o := p.overload; o != nil {
		if !s.OverloadControlled || o.bounds.Level < s.OverloadLevel {
			s.OverloadLevel = o.bounds.Level
		}
		s.OverloadControlled = true
		s.ShedRequests += o.shedRequests
		s.SuppressedProbes += o.suppressedProbes
	}
	for _, e := range p.byName {
		if p.balancer.ShouldAvoid(now, e.Number) {
			s.AvoidedEndpoints++
		}
	}
}
