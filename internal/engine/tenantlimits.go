package engine

import (
	"slices"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// SetTenantLimits changes the limits of tenants, in requests per second over all instances. limits is indexed
// as the tenants in the settings. A tenant that had no limit when JoinFleet was called remains without a limit.
func (eng *Engine) SetTenantLimits(limits []float64) {
	f := eng.fleet
	if f == nil {
		return
	}
	for i, budget := range f.tenantBudgets {
		if budget != "" && i < len(limits) {
			f.member.SetBudget(budget, limits[i], false)
		}
	}
}

// Range of the Retry-After of a request over its tenant's limit. Spent quota becomes available again within a
// second. The delay is random, so that clients that were rejected at the same time do not retry at the same
// time.
const (
	minLimitRetryAfter    = 0.25 // minimum delay in seconds
	limitRetryAfterSpread = 0.75 // maximum random addition in seconds, uniformly distributed
)

// rejectOverLimit rejects a request that exceeds its tenant's limit, in requests per second over all instances,
// and reports whether it did. A request within the limit spends one unit of the limit's quota, which consists
// of the instance's reserve and the quota that the fleet has leased to it. The check precedes all other
// admission decisions, so that a tenant over its limit takes no capacity from other tenants.
func (p *Pool) rejectOverLimit(now monotime.Micros, c *Call) bool {
	eng := p.engine
	f := eng.fleet
	tenant := int(c.Request.Tenant)
	if f == nil || tenant >= len(f.tenantBudgets) || f.tenantBudgets[tenant] == "" {
		return false
	}
	budget := f.tenantBudgets[tenant]
	f.member.RecordDemand(now, budget)
	if eng.spendQuota(now, budget) {
		return false
	}
	f.requestsOverLimit++
	r := Response{Verdict: RateLimited, Reason: "its tenant asks for more than it may over all instances"}
	if limits := &eng.config.Site.Settings.Limits; limits.RetryAfter {
		delay := minLimitRetryAfter + limitRetryAfterSpread*eng.rng.Float64()
		r.RetryAfter = min(monotime.Micros(float64(monotime.Second)*delay), limits.MaxRetryAfter)
	}
	eng.respond(c, r)
	return true
}

// Lease settings for the static division of tenant limits. No lease is ever requested there; the settings only
// have to be valid.
const (
	staticLeaseInterval = monotime.Second
	staticLeaseDuration = 4 * monotime.Second
)

// divideLimitsStatically divides the tenants' limits between the instances until the engine joins a fleet,
// using the number of instances and this instance's position (settings Balancers and Position). The whole
// budget is reserve, so each instance has its share without a lease.
func (eng *Engine) divideLimitsStatically() {
	if !slices.ContainsFunc(eng.config.Site.TenantLimits, func(limit float64) bool { return limit > 0 }) {
		return
	}
	settings := &eng.config.Site.Settings
	err := eng.JoinFleet(Coordination{
		Settings: coordination.Settings{Quota: quota.Settings{
			MaxInstances:    max(1, settings.Balancers),
			Position:        settings.Position,
			Reserve:         1,
			RequestInterval: staticLeaseInterval,
			LeaseDuration:   staticLeaseDuration,
		}},
		Send:            func(string, coordination.Message) {},
		NextIncarnation: func() uint64 { return 1 },
	})
	if err != nil {
		panic(err) // cannot occur: these settings are always valid
	}
}
