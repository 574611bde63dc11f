package engine

import (
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// budget is the name of a pool's budget of a kind.
func (p *Pool) budgetName(kind string) string {
	if p.name == "" {
		return kind
	}
	return kind + "/" + p.name
}

// lends has a pool's budgets of attempts and probes lent. What the pool has by itself is what all have ready.
func (p *Pool) addFleetBudgets() {
	t := p.engine.fleet
	if t == nil || p.overload == nil {
		return
	}
	p.hasFleetBudgets = true
	if t.Scope.Retries {
		t.member.Budget(p.budgetName("further"), 0, true)
	}
	if t.Scope.Probes {
		t.member.Budget(p.budgetName("probes"), p.overload.control.FleetProbeRate(), false)
	}
	p.updateFleetShare(0)
}

// unlends ends that.
func (p *Pool) removeFleetBudgets() {
	same := func(o *Pool) bool { return o != p && o.name == p.name }
	if t := p.engine.fleet; t != nil && !slices.ContainsFunc(p.engine.pools, same) {
		t.member.Forget(p.budgetName("further"))
		t.member.Forget(p.budgetName("probes"))
	}
}

// lent tells the pool's control what it has by itself, and what is lent to it.
func (p *Pool) updateFleetShare(now monotime.Micros) {
	t := p.engine.fleet
	if !p.hasFleetBudgets || !t.Scope.Retries && !t.Scope.Probes {
		return
	}
	part := func(lends bool) float64 {
		if lends {
			return t.Fleet.Loans.Reserve
		}
		return 1
	}
	p.overload.control.SetLocalShares(part(t.Scope.Retries), part(t.Scope.Probes), float64(t.member.Allowed(now, p.budgetName("probes"))))
}

// spend takes a unit of a budget that is lent, and says whether there was one.
func (x *Engine) spendQuota(now monotime.Micros, budget string) bool {
	t := x.fleet
	if !t.member.Take(now, budget) {
		return false
	}
	if f := x.config.OnQuotaSpent; f != nil {
		f(now, budget)
	}
	return true
}

// lentProbe returns what takes a probe of those that are lent; nil where none are.
func (p *Pool) probeQuota(now monotime.Micros) func() bool {
	t := p.engine.fleet
	if t == nil || !t.Scope.Probes {
		return nil
	}
	return func() bool {
		t.member.Want(now, p.budgetName("probes"))
		return p.engine.spendQuota(now, p.budgetName("probes"))
	}
}

// lendsFurther says whether one more further attempt is lent to the pool.
func (p *Pool) hasRetryQuota(now monotime.Micros) bool {
	t := p.engine.fleet
	return p.hasFleetBudgets && t.Scope.Retries && t.member.Left(now, p.budgetName("further")) > 0
}

// sentFurther takes a further attempt out of what the pool has by itself, or else of what is lent to it.
func (p *Pool) countRetry(now monotime.Micros, class int) {
	if p.hasRetryQuota(now) && !p.overload.control.RetryAllowed(now) && p.engine.spendQuota(now, p.budgetName("further")) {
		return
	}
	p.overload.control.OnAttemptSent(now, class, false)
}

// wantsFurther notes that a further attempt would be made if there were one to make.
func (p *Pool) requestRetryQuota(now monotime.Micros, a *Attempt, status balancer.Status) {
	t := p.engine.fleet
	if t == nil || !t.Scope.Retries || a.Call.finished || len(a.Call.attempts) >= p.engine.config.Site.Settings.Limits.MaxAttempts {
		return
	}
	switch status {
	case balancer.OK, balancer.Cancelled, balancer.Moot:
	default:
		t.member.Want(now, p.budgetName("further"))
	}
}

// saw notes how an attempt ended at an endpoint, for the others.
func (p *Pool) recordObservation(now monotime.Micros, a *Attempt, status balancer.Status) {
	t := p.engine.fleet
	if t == nil || !t.Scope.SuspectedEndpoints {
		return
	}
	switch status {
	case balancer.Cancelled, balancer.Moot:
	default:
		t.localObservations.RecordOutcome(now, p.observationKey(a.Endpoint.Name), int(a.Call.Request.Class), status == balancer.OK)
	}
}

// Limits gives tenants other limits, by their places; those that have none go on to have none.
func (x *Engine) SetTenantLimits(limits []float64) {
	if t := x.fleet; t != nil {
		for i, budget := range t.tenantBudgets {
			if budget != "" && i < len(limits) {
				t.member.Budget(budget, limits[i], false)
			}
		}
	}
}

// limited answers a request that is beyond what its tenant may have over all instances in a second, and says whether it is.
func (p *Pool) rejectOverLimit(now monotime.Micros, c *Call) bool {
	x := p.engine
	t := x.fleet
	if t == nil || int(c.Request.Tenant) >= len(t.tenantBudgets) || t.tenantBudgets[c.Request.Tenant] == "" {
		return false
	}
	budget := t.tenantBudgets[c.Request.Tenant]
	t.member.Want(now, budget)
	if x.spendQuota(now, budget) {
		return false
	}
	t.requestsOverLimit++
	a := Response{Verdict: RateLimited, Reason: "its tenant asks for more than it may over all instances"}
	if limits := &x.config.Site.Settings.Limits; limits.RetryAfter {
		// What is spent is free again within a second; those turned away are not to return together.
		a.RetryAfter = min(monotime.Micros(float64(second)*(0.25+0.75*x.rng.Float64())), limits.MaxRetryAfter)
	}
	x.respond(c, a)
	return true
}
