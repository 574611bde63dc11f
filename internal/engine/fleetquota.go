package engine

import (
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Names of the fleet's budgets, as in gossip messages and snapshots. A pool with a name appends "/" and that.
const (
	retryBudget        = "further"
	probeBudget        = "probes"
	tenantBudgetPrefix = "tenant/" // followed by the tenant's name
)

// budgetName is the name of the pool's budget of a kind.
func (p *Pool) budgetName(kind string) string {
	if p.name == "" {
		return kind
	}
	return kind + "/" + p.name
}

// addFleetBudgets has the pool's retries and probes take their quota from the fleet. The pool's own reserve is a part
// of what the budget has.
func (p *Pool) addFleetBudgets() {
	f := p.engine.fleet
	if f == nil || p.overload == nil {
		return
	}
	p.hasFleetBudgets = true
	if f.Scope.Retries {
		f.member.SetBudget(p.budgetName(retryBudget), 0, true)
	}
	if f.Scope.Probes {
		f.member.SetBudget(p.budgetName(probeBudget), p.overload.control.MaxFleetProbeRate(), false)
	}
	p.updateFleetShare(0)
}

// removeFleetBudgets ends that, unless another pool has the same name.
func (p *Pool) removeFleetBudgets() {
	sameName := func(o *Pool) bool { return o != p && o.name == p.name }
	f := p.engine.fleet
	if f == nil || slices.ContainsFunc(p.engine.pools, sameName) {
		return
	}
	f.member.RemoveBudget(p.budgetName(retryBudget))
	f.member.RemoveBudget(p.budgetName(probeBudget))
}

// updateFleetShare tells the pool's overload control which parts of its budgets are its own reserve, and how many
// probes the fleet grants it beside that.
func (p *Pool) updateFleetShare(now monotime.Micros) {
	f := p.engine.fleet
	if !p.hasFleetBudgets || !f.Scope.Retries && !f.Scope.Probes {
		return
	}
	reserve := func(coordinated bool) float64 {
		if coordinated {
			return f.Settings.Quota.Reserve
		}
		return 1
	}
	granted := float64(f.member.Allowed(now, p.budgetName(probeBudget)))
	p.overload.control.SetLocalShares(reserve(f.Scope.Retries), reserve(f.Scope.Probes), granted)
}

// spendQuota takes a unit of a budget's quota, and reports whether there was one.
func (x *Engine) spendQuota(now monotime.Micros, budget string) bool {
	if !x.fleet.member.Spend(now, budget) {
		return false
	}
	if notify := x.config.OnQuotaSpent; notify != nil {
		notify(now, budget)
	}
	return true
}

// probeQuota returns a function that takes a unit of the probe quota; nil where probes have none.
func (p *Pool) probeQuota(now monotime.Micros) func() bool {
	f := p.engine.fleet
	if f == nil || !f.Scope.Probes {
		return nil
	}
	return func() bool {
		budget := p.budgetName(probeBudget)
		f.member.RecordDemand(now, budget)
		return p.engine.spendQuota(now, budget)
	}
}

// hasRetryQuota reports whether the fleet's quota allows one more retry.
func (p *Pool) hasRetryQuota(now monotime.Micros) bool {
	f := p.engine.fleet
	return p.hasFleetBudgets && f.Scope.Retries && f.member.Available(now, p.budgetName(retryBudget)) > 0
}

// countRetry charges a retry to the pool's own reserve, or else to its quota.
func (p *Pool) countRetry(now monotime.Micros, class int) {
	control := p.overload.control
	if p.hasRetryQuota(now) && !control.RetryAllowed(now) && p.engine.spendQuota(now, p.budgetName(retryBudget)) {
		return
	}
	control.OnAttemptSent(now, class, false)
}

// requestRetryQuota notes after a failure that the request would be retried if the quota allowed it.
func (p *Pool) requestRetryQuota(now monotime.Micros, a *Attempt, status balancer.Status) {
	f := p.engine.fleet
	maxAttempts := p.engine.config.Site.Settings.Limits.MaxAttempts
	if f == nil || !f.Scope.Retries || a.Call.finished || len(a.Call.attempts) >= maxAttempts {
		return
	}
	switch status {
	case balancer.OK, balancer.Cancelled, balancer.NotSent:
	default:
		f.member.RecordDemand(now, p.budgetName(retryBudget))
	}
}

// recordObservation counts the outcome of an attempt at an endpoint, for the other instances.
func (p *Pool) recordObservation(now monotime.Micros, a *Attempt, status balancer.Status) {
	f := p.engine.fleet
	if f == nil || !f.Scope.SuspectedEndpoints {
		return
	}
	switch status {
	case balancer.Cancelled, balancer.NotSent:
	default:
		key := p.observationKey(a.Endpoint.Name)
		f.localObservations.RecordOutcome(now, key, int(a.Call.Request.Class), status == balancer.OK)
	}
}

// SetTenantLimits changes the limits of tenants, by their index in the settings, in requests a second over all
// instances. A tenant without a limit does not get one.
func (x *Engine) SetTenantLimits(limits []float64) {
	f := x.fleet
	if f == nil {
		return
	}
	for i, budget := range f.tenantBudgets {
		if budget != "" && i < len(limits) {
			f.member.SetBudget(budget, limits[i], false)
		}
	}
}

// rejectOverLimit rejects a request that is beyond its tenant's limit over all instances, and reports whether it did.
func (p *Pool) rejectOverLimit(now monotime.Micros, c *Call) bool {
	x := p.engine
	f := x.fleet
	tenant := int(c.Request.Tenant)
	if f == nil || tenant >= len(f.tenantBudgets) || f.tenantBudgets[tenant] == "" {
		return false
	}
	budget := f.tenantBudgets[tenant]
	f.member.RecordDemand(now, budget)
	if x.spendQuota(now, budget) {
		return false
	}
	f.requestsOverLimit++
	r := Response{Verdict: RateLimited, Reason: "its tenant asks for more than it may over all instances"}
	if limits := &x.config.Site.Settings.Limits; limits.RetryAfter {
		// What is spent is available again within a second. With jitter, so that clients that were rejected at the same
		// time do not retry at the same time.
		retryAfter := monotime.Micros(float64(monotime.Second) * (0.25 + 0.75*x.rng.Float64()))
		r.RetryAfter = min(retryAfter, limits.MaxRetryAfter)
	}
	x.respond(c, r)
	return true
}
