package engine

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Figures are what an engine shows of itself, of one instant.
type Statistics struct {
	ListedEndpoints  int // endpoints in the lists of all pools
	AvoidedEndpoints int // of these, those that get nothing now by hand or by choice

	// Of the overload (package overload), where it is decided.
	OverloadControlled bool
	OverloadLevel      float64 // the lowest of all pools
	ShedRequests       uint64  // requests turned away by it so far
	SuppressedProbes   uint64  // probes that the budget did not let out so far

	// Of what is decided with the others of the fleet.
	HasTenantLimits    bool   // tenants have limits
	RequestsOverLimit  uint64 // requests beyond them so far
	QuotaLeased        bool   // a loan is in force
	SuspectedEndpoints int    // classes at endpoints that are better left out, by what all have seen
}

// Figures returns them.
func (x *Engine) Statistics(now monotime.Micros) (f Statistics) {
	if t := x.fleet; t != nil {
		f.HasTenantLimits, f.RequestsOverLimit, f.SuspectedEndpoints = slices.ContainsFunc(t.tenantBudgets, func(b string) bool { return b != "" }), t.requestsOverLimit, len(t.suspicions)
		f.QuotaLeased = t.member.View(now).Loan > 0
	}
	for _, p := range x.pools {
		f.ListedEndpoints += len(p.byName)
		if p.subset != nil {
			f.ListedEndpoints += len(p.subset.endpoints) - len(p.byName)
		}
		if l := p.overload; l != nil {
			if !f.OverloadControlled || l.decided.Level < f.OverloadLevel {
				f.OverloadLevel = l.decided.Level
			}
			f.OverloadControlled = true
			f.ShedRequests += l.shedRequests
			f.SuppressedProbes += l.suppressedProbes
		}
		for _, e := range p.byName {
			if p.balancer.Avoids(now, e.Number) {
				f.AvoidedEndpoints++
			}
		}
	}
	return f
}
