package engine

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Statistics are figures of an engine at one instant.
type Statistics struct {
	ListedEndpoints  int // in the lists of all pools
	AvoidedEndpoints int // of these, those that balancer.ShouldAvoid names: cordoned, paused or ejected

	// Of overload control (package overload).
	OverloadControlled bool    // a pool has it
	OverloadLevel      float64 // admission level, 0 to 1: the lowest of all pools
	ShedRequests       uint64  // requests rejected by overload control so far
	SuppressedProbes   uint64  // probes that its budget did not allow so far

	// Of coordination with the other instances of the fleet.
	HasTenantLimits    bool   // tenants have limits
	RequestsOverLimit  uint64 // requests rejected by their tenant's limit so far
	QuotaLeased        bool   // a quota lease is in force
	SuspectedEndpoints int    // pairs of an endpoint and a class, suspected by what all instances observed
}

// Statistics returns the figures of an instant.
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

// addStatistics adds a pool's figures.
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
