package engine

import (
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Names of the fleet's budgets, as they stand in gossip messages and snapshots. A pool with a name appends "/" and its
// name.
const (
	retryBudget        = "further"
	probeBudget        = "probes"
	tenantBudgetPrefix = "tenant/" // followed by the tenant's name
)

// budgetName is the name of the pool's budget of a kind.
func (p *Pool) budgetName(baseName string) string {
	if p.name == "" {
		return baseName
	}
	return baseName + "/" + p.name
}

// addFleetBudgets has the pool's retries and probes take their quota from the fleet. Retries have a contributed budget:
// its units are what the instances' accepted first attempts earn. Probes have a fixed one: what the endpoints bear.
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

// removeFleetBudgets removes the pool's budgets, unless another pool has the same name.
func (p *Pool) removeFleetBudgets() {
	hasSameName := func(other *Pool) bool { return other != p && other.name == p.name }
	f := p.engine.fleet
	if f == nil || slices.ContainsFunc(p.engine.pools, hasSameName) {
		return
	}
	f.member.RemoveBudget(p.budgetName(retryBudget))
	f.member.RemoveBudget(p.budgetName(probeBudget))
}

// updateFleetShare passes the pool's overload control the part, 0 to 1, of its retry and probe budgets that it may use
// without a lease, and the probes a second that it has leased beyond that.
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

// spendQuota takes one unit of this instance's quota of a fleet budget, and reports whether there was one.
func (eng *Engine) spendQuota(now monotime.Micros, budget string) bool {
	if !eng.fleet.member.Spend(now, budget) {
		return false
	}
	if notify := eng.config.OnQuotaSpent; notify != nil {
		notify(now, budget)
	}
	return true
}

// hasRetryQuota reports whether the fleet's quota allows one more retry.
func (p *Pool) hasRetryQuota(now monotime.Micros) bool {
	f := p.engine.fleet
	return p.hasFleetBudgets && f.Scope.Retries && f.member.Available(now, p.budgetName(retryBudget)) > 0
}

// countAttempt charges an attempt that the balancer sends to the budgets of overload control.
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

// chargeRetry charges a retry or hedged request to the pool's own retry budget, or to its fleet quota once that is used
// up.
func (p *Pool) chargeRetry(now monotime.Micros, class int) {
	controller := p.overload.controller
	if p.hasRetryQuota(now) && !controller.RetryAllowed(now) && p.engine.spendQuota(now, p.budgetName(retryBudget)) {
		return
	}
	controller.OnAttemptSent(now, class, false)
}

// requestRetryQuota records the demand for one retry after an attempt has failed whose request may have more attempts.
// The lessee requests quota by this demand, whether the balancer retries or not.
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
