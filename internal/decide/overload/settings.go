package overload

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Class is a class of requests.
type Class struct {
	PriorityWeight   float64         // of one request that is answered within its objective
	LatencyObjective monotime.Micros // time from a request to its answer
}

// Tenant is one of the tenants that share the service.
type Tenant struct {
	// Quota is in requests a second over all instances; 0 is no quota. Tenants are compared with one another: a tenant
	// is over its quota if its part of the demand is over its part of all quotas. While all demand the same multiple
	// of their quotas, none is over its quota.
	Quota float64
}

// GoalWeights are the weights of the two parts of the goal that the shedding order maximizes.
type GoalWeights struct {
	Overall    float64 // of the served part of all priority weight
	WorstClass float64 // of the served part of the class that is served worst
}

// Settings configure a Controller.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // factor on the priority weight of requests over their tenant's quota, 0 to 1
	GoalWeights     GoalWeights
	Instances       int // number of instances in the fleet as far as known, this one included
	Seed            uint64

	// RetryRatio bounds retries within any second, as a ratio of the first attempts accepted in it.
	// OverloadedRetryRatio takes its place while work is shed or many attempts fail.
	RetryRatio           float64
	OverloadedRetryRatio float64

	ProbeRatio           float64 // probes for each accepted first attempt
	MaxEndpointProbeRate float64 // greatest rate of all instances' probes at one endpoint, a second; 0 is no bound
	MinEndpointProbeRate float64 // least rate of all instances' probes at one endpoint, allowed in any case
}

// The defaults of the budgets.
const (
	defaultRetryRatio = 0.2 // as a pool without overload control has
	// As endpoints begin to fail, the last second may have twice as many accepted first attempts as the next second has
	// first attempts: a twentieth is then a tenth of these.
	defaultOverloadedRetryRatio = 0.05
	defaultProbeRatio           = 2   // the two candidates that a request waits for; many requests share one probe
	defaultMaxEndpointProbeRate = 100 // a hundredth of a core at 0.1 ms a probe
	defaultMinEndpointProbeRate = 1   // an endpoint that recovers is found within a second
)

// DefaultSettings returns the budgets that hold where the operators set no others.
func DefaultSettings() Settings {
	return Settings{
		RetryRatio:           defaultRetryRatio,
		OverloadedRetryRatio: defaultOverloadedRetryRatio,
		ProbeRatio:           defaultProbeRatio,
		MaxEndpointProbeRate: defaultMaxEndpointProbeRate,
		MinEndpointProbeRate: defaultMinEndpointProbeRate,
	}
}

// invalidSetting returns the error of a setting.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "overload", Key: key, Reason: reason}
}

// validate returns a *setting.Error for the first setting that is invalid.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return invalidSetting("classes", "at least one is needed")
	}
	for i, c := range s.Classes {
		if !(c.PriorityWeight >= 0) || c.LatencyObjective <= 0 || math.IsInf(c.PriorityWeight, 0) {
			return invalidSetting(fmt.Sprintf("classes.%d", i), "worth must not be negative, aim must be positive")
		}
	}
	for _, bounded := range []struct {
		key   string
		value float64
		max   float64
	}{
		{"further", s.RetryRatio, 10},
		{"further_sick", s.OverloadedRetryRatio, 10},
		{"probes", s.ProbeRatio, 100},
		{"node_probes", s.MaxEndpointProbeRate, 1e6},
		{"node_least", s.MinEndpointProbeRate, 1e6},
		{"over_share", s.OverQuotaWeight, 1},
		{"goal.whole", s.GoalWeights.Overall, 1e6},
		{"goal.worst_class", s.GoalWeights.WorstClass, 1e6},
	} {
		if !(bounded.value >= 0 && bounded.value <= bounded.max) {
			return invalidSetting(bounded.key, fmt.Sprintf("must be in 0..%v", bounded.max))
		}
	}
	if s.Instances < 1 {
		return invalidSetting("instances", "must be at least 1")
	}
	return nil
}
