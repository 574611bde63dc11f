package config

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/stricttoml"
)

// loadReportFields maps the valid names in Probes.Fields to the metrics of a load report.
var loadReportFields = map[string]balancer.LoadMetric{
	"inflight":   balancer.MetricInflight,
	"queue":      balancer.MetricQueueLength,
	"util":       balancer.MetricUtilization,
	"latency_ms": balancer.MetricLatency,
	"qps":        balancer.MetricServedRate,
	"eps":        balancer.MetricErrorRate,
}

// maxIndexedNames is the largest number of zones, machine types or classes: the balancer refers to them by indexes
// of 8 bits.
const maxIndexedNames = 254

// siteSettings sets the settings of the decision packages and validates them. polled states whether the endpoint
// list is polled.
func (v *validator) siteSettings(c *Config, polled bool) {
	site := &c.Site
	v.fleet(&c.Fleet)
	v.attemptsAndRules(&c.Attempts, &c.Rules)
	v.pricesAndGoal(c)
	site.Zones = c.Fleet.Zones
	site.MachineTypes = c.Fleet.MachineTypes
	site.KeepAlive = c.Fleet.KeepAlive.Duration
	site.Settings = v.balancerSettings(c, polled)
	v.overload(&c.Overload)
	v.loadReports(c)
	v.classes(c)
	v.tenants(c)
	if v.Err() == nil {
		err := site.Settings.Validate() // also checks rules between several settings
		v.Require(err == nil, "", "%v", err)
	}
}

// fleet validates the table fleet.
func (v *validator) fleet(fleet *Fleet) {
	v.Require(fleet.Instances >= 1, "fleet.instances", "%d: must be at least 1", fleet.Instances)
	v.Require(fleet.Position >= 0 && fleet.Position < max(1, fleet.Instances), "fleet.position", "%d: must be in 0..%d",
		fleet.Position, fleet.Instances-1)
	v.Require(fleet.Zone == "" && len(fleet.Zones) == 0 || slices.Contains(fleet.Zones, fleet.Zone), "fleet.zone",
		"%q is none of fleet.zones", fleet.Zone)
	v.Require(len(fleet.Zones) <= maxIndexedNames, "fleet.zones", "at most 254")
	v.Require(len(fleet.MachineTypes) <= maxIndexedNames, "fleet.machines", "at most 254")
	v.Require(fleet.KeepAlive.Duration > 0, "fleet.keep_alive", "must be positive")
	v.Require(fleet.MinSubsetSize >= 0 && fleet.MinSubsetSize <= 1000, "fleet.subset", "%d: must be in 0..1000",
		fleet.MinSubsetSize)
	v.Require(fleet.MaxEndpointIdleConnections >= 0 && fleet.MaxEndpointIdleConnections <= 1e6, "fleet.node_idle",
		"%v: must be in 0..1000000",
		fleet.MaxEndpointIdleConnections)
	v.Require(fleet.MaxEndpointProbeRate >= 0 && fleet.MaxEndpointProbeRate <= 1e6, "fleet.node_probes",
		"%v: must be in 0..1000000",
		fleet.MaxEndpointProbeRate)
	v.Require(fleet.OverQuotaWeight >= 0 && fleet.OverQuotaWeight <= 1, "fleet.over_share_worth", "%v: must be in 0..1",
		fleet.OverQuotaWeight)
}

// attemptsAndRules validates the tables attempts and rules.
func (v *validator) attemptsAndRules(attempts *Attempts, rules *Rules) {
	v.Require(attempts.MaxAttempts >= 1, "attempts.most", "%d: must be at least 1", attempts.MaxAttempts)
	v.Require(attempts.RetryBudget > 0 && attempts.RetryBudget <= 10, "attempts.retry_budget",
		"%v: must be over 0, to 10; attempts.most = 1 is no retries", attempts.RetryBudget)
	v.Require(attempts.DialTimeout.Duration > 0, "attempts.dial_timeout", "must be positive")
	v.Require(rules.WarmupStart > 0 && rules.WarmupStart <= 1, "rules.cold_from", "%v: must be in 0..1, not 0",
		rules.WarmupStart)
	v.Require(rules.CollapseMultiple > 0, "rules.fall_multiple", "%v: must be positive", rules.CollapseMultiple)
	v.Require(rules.MaxPollInterval.Duration > 0, "rules.ask_within", "must be positive")
}

// pricesAndGoal validates the prices and the weights of the goal, which must be neither negative nor infinite.
func (v *validator) pricesAndGoal(c *Config) {
	for key, value := range map[string]float64{
		"prices.cross_zone": c.Prices.CrossZone,
		"prices.probe":      c.Prices.Probe,
		"prices.waste":      c.Prices.Waste,
		"prices.late_fail":  c.Prices.LateFailure,
		"goal.whole":        c.Goal.Overall,
		"goal.worst_window": c.Goal.WorstWindow,
		"goal.worst_class":  c.Goal.WorstClass,
		"goal.worst_tenant": c.Goal.WorstTenant,
	} {
		v.Require(value >= 0 && !math.IsInf(value, 0), key, "%v: must not be negative", value)
	}
}

// balancerSettings returns the settings of the balancer except for load reports, classes and tenants. polled states
// whether the endpoint list is polled.
func (v *validator) balancerSettings(c *Config, polled bool) balancer.Settings {
	fleet := &c.Fleet
	attempts := &c.Attempts
	rules := &c.Rules
	return balancer.Settings{
		Balancers:       fleet.Instances,
		Position:        fleet.Position,
		Zone:            max(0, slices.Index(fleet.Zones, fleet.Zone)),
		Subscribe:       polled,
		RetryRatio:      attempts.RetryBudget,
		OverQuotaWeight: fleet.OverQuotaWeight,
		WeightByWork: stricttoml.Enum(&v.Validation, "fleet.worth_by", fleet.WeightUnit,
			map[string]bool{"request": false, "work": true}),
		Limits: balancer.Limits{
			Cancel:          attempts.Cancel,
			Probes:          c.Probes.On,
			Hedging:         attempts.HedgedRequests,
			RetryAfter:      c.Rejections.RetryAfter,
			MaxAttempts:     attempts.MaxAttempts,
			MaxOpenRequests: c.Requests.MaxOpen,
			MaxRetryAfter:   c.Rejections.MaxRetryAfter.Micros(),
			DialTimeout:     attempts.DialTimeout.Micros(),
		},
		Contract: balancer.Contract{
			DrainGrace:          rules.DrainGrace.Micros(),
			WarmupStartCapacity: rules.WarmupStart,
			WarmupTime:          rules.WarmupDuration.Micros(),
			CollapseMultiple:    rules.CollapseMultiple,
			CollapseAfter:       rules.CollapseAfter.Micros(),
			PollInterval:        rules.MaxPollInterval.Micros(),
		},
		Prices: balancer.Prices{
			CrossZone: c.Prices.CrossZone,
			Probe:     c.Prices.Probe,
			Waste:     c.Prices.Waste,
			LateFail:  c.Prices.LateFailure,
		},
		Goal: balancer.Goal{
			Overall:     c.Goal.Overall,
			WorstWindow: c.Goal.WorstWindow,
			WorstClass:  c.Goal.WorstClass,
			WorstTenant: c.Goal.WorstTenant,
		},
		StrictIdempotencyKeys: len(c.Routes) > 0,
	}
}

// overload validates the settings of overload control.
func (v *validator) overload(overload *Overload) {
	for key, value := range map[string]float64{
		"further":      overload.RetryRatio,
		"further_sick": overload.OverloadedRetryRatio,
		"probes":       overload.ProbeRatio,
	} {
		v.Require(value >= 0 && value <= 10, "overload."+key, "%v: must be in 0..10", value)
	}
	v.Require(overload.OverloadedRetryRatio <= overload.RetryRatio, "overload.further_sick", "%v is over further, %v",
		overload.OverloadedRetryRatio, overload.RetryRatio)
	v.Require(overload.MaxEndpointProbeRate >= 0 && overload.MaxEndpointProbeRate <= 1e6, "overload.node_probes",
		"%v: must be in 0..1000000", overload.MaxEndpointProbeRate)
	v.Require(overload.MinEndpointProbeRate > 0 && overload.MinEndpointProbeRate <= 1e6, "overload.node_least",
		"%v: must be over 0, to 1000000: an endpoint that recovers must be found", overload.MinEndpointProbeRate)
	v.Require(overload.MaxEndpointProbeRate == 0 || overload.MinEndpointProbeRate <= overload.MaxEndpointProbeRate,
		"overload.node_least",
		"%v is over node_probes, %v", overload.MinEndpointProbeRate, overload.MaxEndpointProbeRate)
}

// tenants validates the tenants and adds them to the settings of the site.
func (v *validator) tenants(c *Config) {
	site := &c.Site
	names := map[string]bool{}
	for i, tenant := range c.Tenants {
		keyAt := func(key string) string { return fmt.Sprintf("tenant.%d.%s", i, key) }
		v.Require(tenant.Name != "", keyAt("name"), "is missing")
		v.Require(!names[tenant.Name], keyAt("name"), "%q is named twice", tenant.Name)
		names[tenant.Name] = true
		v.Require(tenant.Allowance >= 0 && !math.IsInf(tenant.Allowance, 0), keyAt("allowance"),
			"%v: must not be negative",
			tenant.Allowance)
		v.Require(tenant.Share >= 0 && tenant.Share <= 1, keyAt("share"), "%v: must be in 0..1", tenant.Share)
		v.Require(tenant.RateLimit == 0 || tenant.RateLimit >= 1 && tenant.RateLimit <= 1e6, keyAt("limit"),
			"%v: must be 0 for none, or in 1..1000000", tenant.RateLimit)
		site.Tenants = append(site.Tenants, tenant.Name)
		site.TenantLimits = append(site.TenantLimits, tenant.RateLimit)
		site.Settings.Tenants = append(site.Settings.Tenants,
			balancer.Tenant{Name: tenant.Name, Quota: tenant.Allowance, Share: tenant.Share})
	}
}

// loadReports validates the settings of load reports and sets their fields in the settings of the site.
func (v *validator) loadReports(c *Config) {
	site := &c.Site
	site.ReportsOnResponses = stricttoml.Enum(&v.Validation, "probes.report", c.Probes.Report,
		map[string]bool{"none": false, "probe": false, "answers": true})
	if c.Probes.Report == "none" {
		v.Require(len(c.Probes.Fields) == 0, "probes.fields", "mean nothing while probes.report is \"none\"")
		return
	}
	v.Require(len(c.Probes.Fields) > 0, "probes.fields", "are missing")
	for i, name := range c.Probes.Fields {
		v.Require(!slices.Contains(c.Probes.Fields[:i], name), "probes.fields", "%q is named twice", name)
		site.LoadReportFields = append(site.LoadReportFields, name)
		site.Settings.LoadMetrics = append(site.Settings.LoadMetrics,
			stricttoml.Enum(&v.Validation, "probes.fields", name, loadReportFields))
	}
}

// classes validates the classes and adds them to the settings of the site.
func (v *validator) classes(c *Config) {
	site := &c.Site
	v.Require(len(c.Classes) > 0, "class", "at least one is needed")
	v.Require(len(c.Classes) <= maxIndexedNames, "class", "at most 254")
	for i := range c.Classes {
		cl := &c.Classes[i]
		keyAt := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		v.Require(cl.Name != "" && !strings.ContainsAny(cl.Name, "/ ?#%"), keyAt("name"),
			"%q must be a part of a path: neither empty nor with / ? # %% or a space", cl.Name)
		v.Require(!slices.Contains(site.Classes, cl.Name), keyAt("name"), "%q is named twice", cl.Name)
		site.Classes = append(site.Classes, cl.Name)
		site.Settings.Classes = append(site.Settings.Classes, v.class(cl, keyAt))
	}
}

// idempotencyNames maps the valid values of Class.Idempotency to those of the balancer.
var idempotencyNames = map[string]balancer.Idempotency{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentByKey,
	"unsafe": balancer.NonIdempotent,
}

// dedupScopeNames maps the valid values of Class.IdempotencyGroup to the deduplication scopes of the balancer.
var dedupScopeNames = map[string]balancer.DedupScope{
	"all":  balancer.DedupAll,
	"zone": balancer.DedupZone,
	"cell": balancer.DedupCell,
}

// class validates a class except for its name, and returns the settings of the balancer for it. keyAt returns the
// full key of one of the class's keys.
func (v *validator) class(cl *Class, keyAt func(string) string) balancer.Class {
	class := balancer.Class{
		Name:             cl.Name,
		LatencyObjective: cl.LatencyObjective.Micros(),
		ClientTimeout:    cl.ClientTimeout.Micros(),
		PriorityWeight:   1,
		LateWeight:       cl.LateWeight,
	}
	class.Idempotency = stricttoml.Enum(&v.Validation, keyAt("repeat"), cl.Idempotency, idempotencyNames)
	if cl.Idempotency == "keyed" {
		class.DedupScope = stricttoml.Enum(&v.Validation, keyAt("group"), cl.IdempotencyGroup, dedupScopeNames)
		class.DedupWindow = cl.KeyWindow.Micros()
		v.Require(cl.KeyWindow.Duration > 0, keyAt("window"),
			"is missing: for how long the group drops a repeat of a key")
	} else {
		v.Require(cl.IdempotencyGroup == "" && cl.KeyWindow.Duration == 0, keyAt("group"),
			"group and window are for keyed classes only")
	}
	if cl.PriorityWeight != nil {
		class.PriorityWeight = *cl.PriorityWeight
	}
	v.Require(class.PriorityWeight >= 0 && !math.IsInf(class.PriorityWeight, 0), keyAt("worth"),
		"%v: must not be negative", class.PriorityWeight)
	v.Require(cl.LatencyObjective.Duration > 0, keyAt("aim"), "is missing")
	v.Require(cl.ClientTimeout.Duration >= cl.LatencyObjective.Duration, keyAt("give_up"), "%v is under aim, %v",
		cl.ClientTimeout, cl.LatencyObjective)
	v.Require(cl.LateWeight >= 0 && cl.LateWeight <= 1, keyAt("late_worth"), "%v: must be in 0..1", cl.LateWeight)
	return class
}
