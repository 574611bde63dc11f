package engine

import (
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Names of the fleet's budgets in gossip messages and snapshots. A pool with a name appends "/" and its name to
// its retry and probe budgets.
const (
	retryBudget        = "further"
	probeBudget        = "probes"
	tenantBudgetPrefix = "tenant/" // the tenant's name follows
)

// budgetName returns the name of one of the pool's fleet budgets, from the base name retryBudget or
// probeBudget.
func (p *Pool) budgetName(baseName string) string {
	if p.name == "" {
		return baseName
	}
	return baseName + "/" + p.name
}

// addFleetBudgets adds the fleet budgets from which the pool's retries and probes take quota. The retry budget
// consists of contributions: each instance contributes the retries that its accepted first attempts earn. The
// probe budget is fixed: it is the probe rate that the endpoints can sustain.
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
		f.member.SetBudget(p.budgetName(probeBudget), p.overload.controller.MaxFleetProbeRate(), false)
	}
	p.updateFleetShare(0)
}

// removeFleetBudgets removes the pool's fleet budgets, unless another pool has the same name.
func (p *Pool) removeFleetBudgets() {
	hasSameName := func(other *Pool) bool { return other != p && other.name == p.name }
	f := p.engine.fleet
	if f == nil || slices.ContainsFunc(p.engine.pools, hasSameName) {
		return
	}
	f.member.RemoveBudget(p.budgetName(retryBudget))
	f.member.RemoveBudget(p.budgetName(probeBudget))
}

// updateFleetShare passes to the pool's overload control the share, 0 to 1, of its retry budget and of its
// probe budget that it may use without a lease, and the rate of probes per second that it has leased in
// addition.
func (p *Pool) updateFleetShare(now monotime.Micros) {
	f := p.engine.fleet
	if !p.hasFleetBudgets || !f.Scope.Retries && !f.Scope.Probes {
		return
	}
	localShare := func(coordinated bool) float64 {
		if coordinated {
			return f.Settings.Quota.Reserve
		}
		return 1
	}
	leasedProbes := float64(f.member.Allowed(now, p.budgetName(probeBudget)))
	p.overload.controller.SetLocalShares(localShare(f.Scope.Retries), localShare(f.Scope.Probes), leasedProbes)
}

// spendQuota spends one unit of this instance's quota of a fleet budget, and reports whether a unit was
// available.
func (eng *Engine) spendQuota(now monotime.Micros, budget string) bool {
	if !eng.fleet.member.Spend(now, budget) {
		return false
	}
	if notify := eng.config.OnQuotaSpent; notify != nil {
		notify(now, budget)
	}
	return true
}

// hasRetryQuota reports whether this instance's quota of the fleet's retry budget allows one more retry.
func (p *Pool) hasRetryQuota(now monotime.Micros) bool {
	f := p.engine.fleet
	return p.hasFleetBudgets && f.Scope.Retries && f.member.Available(now, p.budgetName(retryBudget)) > 0
}

// countAttempt charges an attempt that the balancer starts to the budgets of overload control.
func (p *Pool) countAttempt(now monotime.Micros, a *Attempt) {
	if p.overload == nil {
		return
	}
	class := int(a.Call.Request.Class)
	if a.Number > 0 {
		p.chargeRetry(now, class)
		return
	}
	p.overload.controller.OnAttemptSent(now, class, true)
}

// chargeRetry charges a retry or hedged request to the pool's own retry budget, or to its fleet quota if its
// own budget is exhausted.
func (p *Pool) chargeRetry(now monotime.Micros, class int) {
	controller := p.overload.controller
	if p.hasRetryQuota(now) && !controller.RetryAllowed(now) && p.engine.spendQuota(now, p.budgetName(retryBudget)) {
		return
	}
	controller.OnAttemptSent(now, class, false)
}

// requestRetryQuota records a demand for one retry when an attempt fails and its request may have further
// attempts. The lessee requests quota based on this demand, whether or not the balancer retries.
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
