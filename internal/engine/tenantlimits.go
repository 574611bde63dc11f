package engine

import (
	"slices"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// SetTenantLimits changes the limits of tenants, by their index in the settings, in requests a second over all
// instances. A tenant that had no limit at JoinFleet stays without.
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

// The Retry-After of a request over its tenant's limit. Quota that is spent is available again within a second; the
// delay is random, so that clients that were rejected at the same time do not retry at the same time.
const (
	minLimitRetryAfter    = 0.25 // seconds
	limitRetryAfterSpread = 0.75 // seconds that are added at most, evenly distributed
)

// rejectOverLimit decides whether a request is within its tenant's limit, in requests a second over all instances. It
// spends one unit of that limit's quota, which is the instance's reserve and what the fleet has leased to it, and
// rejects the request if none is left. It reports whether it rejected the request. It comes before all other
// admission decisions, so that a tenant over its limit takes no capacity from the others.
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

// Lease settings of the static division. No lease is requested; they only have to be valid.
const (
	staticLeaseInterval = monotime.Second
	staticLeaseDuration = 4 * monotime.Second
)

// divideLimitsStatically divides tenants' limits by the number of instances and the instance's position among them
// (settings Balancers and Position) until a fleet is joined. The whole budget is reserve: each instance has its part of
// it without a lease.
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
		panic(err) // these settings are valid
	}
}
