package config

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/stricttoml"
)

// loadReportFields are the metrics of a load report, by the values of Probes.Fields.
var loadReportFields = map[string]balancer.LoadMetric{
	"inflight":   balancer.MetricInflight,
	"queue":      balancer.MetricQueueLength,
	"util":       balancer.MetricUtilization,
	"latency_ms": balancer.MetricLatency,
	"qps":        balancer.MetricServedRate,
	"eps":        balancer.MetricErrorRate,
}

// maxNames is the largest number of zones, machine types or classes: their indexes have 8 bits.
const maxNames = 254

// site sets the settings of the decision packages, and validates them by the keys of the file.
func (v *validator) site(c *Config, subscribe bool) {
	s := &c.Site
	v.fleet(&c.Fleet)
	v.attemptsAndRules(&c.Attempts, &c.Rules)
	v.weights(c)
	s.Zones = c.Fleet.Zones
	s.Kinds = c.Fleet.Machines
	s.KeepAlive = c.Fleet.KeepAlive.Duration
	s.Settings = v.balancerSettings(c, subscribe)
	v.overload(&c.Overload)
	v.loadReports(c)
	v.classes(c)
	v.tenants(c)
	if v.Err() == nil {
		err := s.Settings.Validate() // the rules between several settings
		v.Require(err == nil, "", "%v", err)
	}
}

func (v *validator) fleet(f *Fleet) {
	v.Require(f.Instances >= 1, "fleet.instances", "%d: must be at least 1", f.Instances)
	v.Require(f.Position >= 0 && f.Position < max(1, f.Instances), "fleet.position", "%d: must be in 0..%d",
		f.Position, f.Instances-1)
	v.Require(f.Zone == "" && len(f.Zones) == 0 || slices.Contains(f.Zones, f.Zone), "fleet.zone",
		"%q is none of fleet.zones", f.Zone)
	v.Require(len(f.Zones) <= maxNames, "fleet.zones", "at most 254")
	v.Require(len(f.Machines) <= maxNames, "fleet.machines", "at most 254")
	v.Require(f.KeepAlive.Duration > 0, "fleet.keep_alive", "must be positive")
	v.Require(f.Subset >= 0 && f.Subset <= 1000, "fleet.subset", "%d: must be in 0..1000", f.Subset)
	v.Require(f.EndpointIdle >= 0 && f.EndpointIdle <= 1e6, "fleet.node_idle", "%v: must be in 0..1000000",
		f.EndpointIdle)
	v.Require(f.EndpointProbes >= 0 && f.EndpointProbes <= 1e6, "fleet.node_probes", "%v: must be in 0..1000000",
		f.EndpointProbes)
	v.Require(f.OverQuotaWeight >= 0 && f.OverQuotaWeight <= 1, "fleet.over_share_worth", "%v: must be in 0..1",
		f.OverQuotaWeight)
}

func (v *validator) attemptsAndRules(a *Attempts, ru *Rules) {
	v.Require(a.MaxAttempts >= 1, "attempts.most", "%d: must be at least 1", a.MaxAttempts)
	v.Require(a.RetryBudget > 0 && a.RetryBudget <= 10, "attempts.retry_budget",
		"%v: must be over 0, to 10; attempts.most = 1 is no retries", a.RetryBudget)
	v.Require(a.DialTimeout.Duration > 0, "attempts.dial_timeout", "must be positive")
	v.Require(ru.WarmupStart > 0 && ru.WarmupStart <= 1, "rules.cold_from", "%v: must be in 0..1, not 0",
		ru.WarmupStart)
	v.Require(ru.FallMultiple > 0, "rules.fall_multiple", "%v: must be positive", ru.FallMultiple)
	v.Require(ru.PollWithin.Duration > 0, "rules.ask_within", "must be positive")
}

// weights validates the prices and the weights of the goal. None may be negative or infinite.
func (v *validator) weights(c *Config) {
	for key, value := range map[string]float64{
		"prices.cross_zone": c.Prices.CrossZone,
		"prices.probe":      c.Prices.Probe,
		"prices.waste":      c.Prices.Waste,
		"prices.late_fail":  c.Prices.LateFail,
		"goal.whole":        c.Goal.Overall,
		"goal.worst_window": c.Goal.WorstWindow,
		"goal.worst_class":  c.Goal.WorstClass,
		"goal.worst_tenant": c.Goal.WorstTenant,
	} {
		v.Require(value >= 0 && !math.IsInf(value, 0), key, "%v: must not be negative", value)
	}
}

// balancerSettings returns the balancer's settings, without load reports, classes and tenants.
func (v *validator) balancerSettings(c *Config, subscribe bool) balancer.Settings {
	f := &c.Fleet
	a := &c.Attempts
	ru := &c.Rules
	return balancer.Settings{
		Balancers:       f.Instances,
		Position:        f.Position,
		Zone:            max(0, slices.Index(f.Zones, f.Zone)),
		Subscribe:       subscribe,
		RetryRatio:      a.RetryBudget,
		OverQuotaWeight: f.OverQuotaWeight,
		WeightByWork: stricttoml.Enum(&v.Validation, "fleet.worth_by", f.WeightBy,
			map[string]bool{"request": false, "work": true}),
		Limits: balancer.Limits{
			Cancel:          a.Cancel,
			Probes:          c.Probes.On,
			Hedging:         a.HedgedRequests,
			RetryAfter:      c.Rejections.RetryAfter,
			MaxAttempts:     a.MaxAttempts,
			MaxOpenRequests: c.Requests.MaxOpen,
			MaxRetryAfter:   c.Rejections.MaxRetryAfter.Micros(),
			DialTimeout:     a.DialTimeout.Micros(),
		},
		Contract: balancer.Contract{
			DrainGrace:          ru.DrainGrace.Micros(),
			WarmupStartCapacity: ru.WarmupStart,
			WarmupTime:          ru.WarmupDuration.Micros(),
			CollapseMultiple:    ru.FallMultiple,
			CollapseAfter:       ru.FallAfter.Micros(),
			PollInterval:        ru.PollWithin.Micros(),
		},
		Prices: balancer.Prices{
			CrossZone: c.Prices.CrossZone,
			Probe:     c.Prices.Probe,
			Waste:     c.Prices.Waste,
			LateFail:  c.Prices.LateFail,
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

func (v *validator) overload(o *Overload) {
	for key, value := range map[string]float64{
		"further":      o.RetryRatio,
		"further_sick": o.OverloadedRetryRatio,
		"probes":       o.ProbeRatio,
	} {
		v.Require(value >= 0 && value <= 10, "overload."+key, "%v: must be in 0..10", value)
	}
	v.Require(o.OverloadedRetryRatio <= o.RetryRatio, "overload.further_sick", "%v is over further, %v",
		o.OverloadedRetryRatio, o.RetryRatio)
	v.Require(o.MaxEndpointProbes >= 0 && o.MaxEndpointProbes <= 1e6, "overload.node_probes",
		"%v: must be in 0..1000000", o.MaxEndpointProbes)
	v.Require(o.MinEndpointProbes > 0 && o.MinEndpointProbes <= 1e6, "overload.node_least",
		"%v: must be over 0, to 1000000: an endpoint that recovers must be found", o.MinEndpointProbes)
	v.Require(o.MaxEndpointProbes == 0 || o.MinEndpointProbes <= o.MaxEndpointProbes, "overload.node_least",
		"%v is over node_probes, %v", o.MinEndpointProbes, o.MaxEndpointProbes)
}

// tenants validates the tenants, and adds them to the settings.
func (v *validator) tenants(c *Config) {
	s := &c.Site
	tenants := map[string]bool{}
	for i, t := range c.Tenants {
		at := func(key string) string { return fmt.Sprintf("tenant.%d.%s", i, key) }
		v.Require(t.Name != "", at("name"), "is missing")
		v.Require(!tenants[t.Name], at("name"), "%q is named twice", t.Name)
		tenants[t.Name] = true
		v.Require(t.Allowance >= 0 && !math.IsInf(t.Allowance, 0), at("allowance"), "%v: must not be negative",
			t.Allowance)
		v.Require(t.Share >= 0 && t.Share <= 1, at("share"), "%v: must be in 0..1", t.Share)
		v.Require(t.RateLimit == 0 || t.RateLimit >= 1 && t.RateLimit <= 1e6, at("limit"),
			"%v: must be 0 for none, or in 1..1000000", t.RateLimit)
		s.Tenants = append(s.Tenants, t.Name)
		s.TenantLimits = append(s.TenantLimits, t.RateLimit)
		s.Settings.Tenants = append(s.Settings.Tenants,
			balancer.Tenant{Name: t.Name, Quota: t.Allowance, Share: t.Share})
	}
}

// loadReports validates the load reports of endpoints, and sets their fields.
func (v *validator) loadReports(c *Config) {
	s := &c.Site
	s.ReportsOnResponses = stricttoml.Enum(&v.Validation, "probes.report", c.Probes.Report,
		map[string]bool{"none": false, "probe": false, "answers": true})
	if c.Probes.Report == "none" {
		v.Require(len(c.Probes.Fields) == 0, "probes.fields", "mean nothing while probes.report is \"none\"")
		return
	}
	v.Require(len(c.Probes.Fields) > 0, "probes.fields", "are missing")
	for i, name := range c.Probes.Fields {
		v.Require(!slices.Contains(c.Probes.Fields[:i], name), "probes.fields", "%q is named twice", name)
		s.LoadReportFields = append(s.LoadReportFields, name)
		s.Settings.LoadMetrics = append(s.Settings.LoadMetrics,
			stricttoml.Enum(&v.Validation, "probes.fields", name, loadReportFields))
	}
}

// classes validates the classes, and adds them to the settings.
func (v *validator) classes(c *Config) {
	s := &c.Site
	v.Require(len(c.Classes) > 0, "class", "at least one is needed")
	v.Require(len(c.Classes) <= maxNames, "class", "at most 254")
	for i := range c.Classes {
		cl := &c.Classes[i]
		at := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		v.Require(cl.Name != "" && !strings.ContainsAny(cl.Name, "/ ?#%"), at("name"),
			"%q must be a part of a path: neither empty nor with / ? # %% or a space", cl.Name)
		v.Require(!slices.Contains(s.Classes, cl.Name), at("name"), "%q is named twice", cl.Name)
		s.Classes = append(s.Classes, cl.Name)
		s.Settings.Classes = append(s.Settings.Classes, v.class(cl, at))
	}
}

// idempotencies are the values of Class.Idempotency.
var idempotencies = map[string]balancer.Idempotency{
	"safe":   balancer.Idempotent,
	"keyed":  balancer.IdempotentByKey,
	"unsafe": balancer.NonIdempotent,
}

// dedupScopes are the values of Class.IdempotencyGroup.
var dedupScopes = map[string]balancer.DedupScope{
	"all":  balancer.DedupAll,
	"zone": balancer.DedupZone,
	"cell": balancer.DedupCell,
}

// class returns the balancer's form of a class, and validates it but for its name.
func (v *validator) class(cl *Class, at func(string) string) balancer.Class {
	class := balancer.Class{
		Name:             cl.Name,
		LatencyObjective: cl.LatencyObjective.Micros(),
		ClientTimeout:    cl.ClientTimeout.Micros(),
		PriorityWeight:   1,
		LateWeight:       cl.LateWeight,
	}
	class.Idempotency = stricttoml.Enum(&v.Validation, at("repeat"), cl.Idempotency, idempotencies)
	if cl.Idempotency == "keyed" {
		class.DedupScope = stricttoml.Enum(&v.Validation, at("group"), cl.IdempotencyGroup, dedupScopes)
		class.DedupWindow = cl.KeyWindow.Micros()
		v.Require(cl.KeyWindow.Duration > 0, at("window"), "is missing: for how long the group drops a repeat of a key")
	} else {
		v.Require(cl.IdempotencyGroup == "" && cl.KeyWindow.Duration == 0, at("group"),
			"group and window are for keyed classes only")
	}
	if cl.PriorityWeight != nil {
		class.PriorityWeight = *cl.PriorityWeight
	}
	v.Require(class.PriorityWeight >= 0 && !math.IsInf(class.PriorityWeight, 0), at("worth"),
		"%v: must not be negative", class.PriorityWeight)
	v.Require(cl.LatencyObjective.Duration > 0, at("aim"), "is missing")
	v.Require(cl.ClientTimeout.Duration >= cl.LatencyObjective.Duration, at("give_up"), "%v is under aim, %v",
		cl.ClientTimeout, cl.LatencyObjective)
	v.Require(cl.LateWeight >= 0 && cl.LateWeight <= 1, at("late_worth"), "%v: must be in 0..1", cl.LateWeight)
	return class
}
