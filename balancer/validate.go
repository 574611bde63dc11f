package balancer

import "fmt"

// SettingError is the error for a setting that makes no sense.
type SettingError struct {
	Key    string // path of the setting's Go field, or the key where it was read
	Value  string
	Reason string // what the value must be
}

// Error returns which setting is wrong, and how.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first setting that makes no sense, in the order of the checks.
func (s *Settings) Validate() error {
	var v validation
	v.checkInstance(s)
	for i := range s.Classes {
		v.checkClass(i, &s.Classes[i])
	}
	for i, t := range s.Tenants {
		requireNotNegative(&v, fmt.Sprintf("Tenants[%d].Quota", i), t.Quota)
	}
	v.checkGoal(&s.Goal)
	v.checkWeightsAndRetries(s)
	v.checkLimits(&s.Limits)
	v.checkContract(&s.Contract)
	v.checkPrices(&s.Prices)
	return v.err
}

const (
	maxRetryRatio   = 10  // retries per request
	maxMinRetryRate = 1e6 // retries per second
)

// validation keeps the first error of some checks.
type validation struct{ err error }

// require adds an error unless ok.
func (v *validation) require(ok bool, key string, value any, reason string) {
	if !ok && v.err == nil {
		v.err = &SettingError{Key: key, Value: fmt.Sprint(value), Reason: reason}
	}
}

// requireAtLeastOne requires a count of 1 or more.
func (v *validation) requireAtLeastOne(key string, value int) {
	v.require(value >= 1, key, value, "must be at least 1")
}

// requireNotNegative requires a number or duration of 0 or more, which NaN is not.
func requireNotNegative[N int | int64 | float64](v *validation, key string, value N) {
	v.require(value >= 0, key, value, "must not be negative")
}

// positive requires a number or duration over 0, which NaN is not.
func requirePositive[N int64 | float64](v *validation, key string, value N) {
	v.require(value > 0, key, value, "must be positive")
}

// instance checks what the settings say of the instance and its surroundings.
func (v *validation) checkInstance(s *Settings) {
	v.requireAtLeastOne("Balancers", s.Balancers)
	requireNotNegative(v, "Position", s.Position)
	requireNotNegative(v, "Zone", s.Zone)
	v.require(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
}

// class checks the class of an index.
func (v *validation) checkClass(index int, c *Class) {
	key := func(field string) string { return fmt.Sprintf("Classes[%d].%s", index, field) }
	v.require(c.Idempotency <= NonIdempotent, key("Idempotency"), c.Idempotency, "not a known kind")
	v.require(c.DedupScope <= DedupCell, key("DedupScope"), c.DedupScope, "not a known scope")
	requireNotNegative(v, key("DedupWindow"), c.DedupWindow)
	requirePositive(v, key("LatencyObjective"), c.LatencyObjective)
	requirePositive(v, key("ClientTimeout"), c.ClientTimeout)
	requireNotNegative(v, key("PriorityWeight"), c.PriorityWeight)
	v.require(c.LateWeight >= 0 && c.LateWeight <= 1, key("LateWeight"), c.LateWeight, "must be in 0..1")
}

// goal checks the weights of the result.
func (v *validation) checkGoal(g *Goal) {
	requireNotNegative(v, "Goal", g.Overall)
	requireNotNegative(v, "Goal", g.WorstWindow)
	requireNotNegative(v, "Goal", g.WorstClass)
	requireNotNegative(v, "Goal", g.WorstTenant)
}

// checkWeightsAndRetries checks the weight of requests over quota, and the retry budget.
func (v *validation) checkWeightsAndRetries(s *Settings) {
	requireNotNegative(v, "OverQuotaWeight", s.OverQuotaWeight)
	v.require(s.RetryRatio >= 0 && s.RetryRatio <= maxRetryRatio, "RetryRatio", s.RetryRatio, "must be in 0..10")
	requireNotNegative(v, "RetryWindow", s.RetryWindow)
	v.require(s.MinRetryRate >= 0 && s.MinRetryRate <= maxMinRetryRate, "MinRetryRate", s.MinRetryRate,
		"must be in 0..1000000")
}

// limits checks what the deployment permits.
func (v *validation) checkLimits(l *Limits) {
	v.requireAtLeastOne("Limits.MaxAttempts", l.MaxAttempts)
	v.requireAtLeastOne("Limits.MaxOpenRequests", l.MaxOpenRequests)
	requireNotNegative(v, "Limits.MaxRetryAfter", l.MaxRetryAfter)
	requireNotNegative(v, "Limits.DialTimeout", l.DialTimeout)
}

// contract checks how endpoints and discovery behave.
func (v *validation) checkContract(c *Contract) {
	requireNotNegative(v, "Contract.DrainGrace", c.DrainGrace)
	start := c.WarmupStartCapacity
	v.require(start > 0 && start <= 1, "Contract.WarmupStartCapacity", start, "must be in 0..1, not 0")
	requireNotNegative(v, "Contract.WarmupTime", c.WarmupTime)
	requirePositive(v, "Contract.CollapseMultiple", c.CollapseMultiple)
	requireNotNegative(v, "Contract.CollapseAfter", c.CollapseAfter)
	requireNotNegative(v, "Contract.PollInterval", c.PollInterval)
}

// prices checks what is taken off the result.
func (v *validation) checkPrices(p *Prices) {
	requireNotNegative(v, "Prices.CrossZone", p.CrossZone)
	requireNotNegative(v, "Prices.Probe", p.Probe)
	requireNotNegative(v, "Prices.Waste", p.Waste)
	requireNotNegative(v, "Prices.LateFail", p.LateFail)
}
