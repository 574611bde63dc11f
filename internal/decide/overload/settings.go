package overload

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Class configures a class of requests.
type Class struct {
	PriorityWeight   float64         // value of one response within the latency objective
	LatencyObjective monotime.Micros // time from a request to its response
}

// Tenant configures one of the tenants that share the service.
type Tenant struct {
	// Quota is in requests per second over all instances; 0 means no quota. Tenants are compared with one
	// another: a tenant is over its quota if its fraction of the total demand is greater than its fraction of
	// all quotas. While the demands of all tenants are the same multiple of their quotas, no tenant is over its
	// quota.
	Quota float64
}

// GoalWeights are the weights of the two terms of the goal that the shedding order maximizes.
type GoalWeights struct {
	Overall    float64 // weight of the served fraction of all priority weight
	WorstClass float64 // weight of the served fraction of the class with the lowest served fraction
}

// Settings configure a Controller.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64 // factor, 0 to 1, on the priority weight of requests over their tenant's quota
	GoalWeights     GoalWeights
	Instances       int    // known number of instances in the fleet, including this one
	Seed            uint64 // for the random draws of the budgets

	// RetryRatio is the greatest ratio of retries within any second to the first attempts accepted in that
	// second. OverloadedRetryRatio replaces it while work is shed, endpoints are saturated or many attempts
	// fail.
	RetryRatio           float64
	OverloadedRetryRatio float64

	ProbeRatio           float64 // probes per accepted first attempt
	MaxEndpointProbeRate float64 // greatest rate, per second, of all instances' probes to one endpoint; 0: no limit
	MinEndpointProbeRate float64 // always allowed rate, per second, of all instances' probes to one endpoint
}

// The default budgets.
const (
	defaultRetryRatio = 0.2 // the ratio of a pool without overload control
	// When endpoints start to fail, the last second may have twice as many accepted first attempts as the next
	// second has first attempts: a ratio of 0.05 then allows retries of a tenth of these.
	defaultOverloadedRetryRatio = 0.05
	defaultProbeRatio           = 2   // two candidates per request; many requests share one probe
	defaultMaxEndpointProbeRate = 100 // 1% of a core, at 0.1 ms per probe
	defaultMinEndpointProbeRate = 1   // a recovered endpoint is detected within a second
)

// DefaultSettings returns the default budgets. The other settings are zero.
func DefaultSettings() Settings {
	return Settings{
		RetryRatio:           defaultRetryRatio,
		OverloadedRetryRatio: defaultOverloadedRetryRatio,
		ProbeRatio:           defaultProbeRatio,
		MaxEndpointProbeRate: defaultMaxEndpointProbeRate,
		MinEndpointProbeRate: defaultMinEndpointProbeRate,
	}
}

// invalidSetting returns the error for the setting with the key, for the given reason.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "overload", Key: key, Reason: reason}
}

// validate returns a *setting.Error for the first invalid setting.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return invalidSetting("classes", "at least one is needed")
	}
	for i, c := range s.Classes {
		if !(c.PriorityWeight >= 0) || c.LatencyObjective <= 0 || math.IsInf(c.PriorityWeight, 0) {
			return invalidSetting(fmt.Sprintf("classes.%d", i), "worth must not be negative, aim must be positive")
		}
	}
	for _, bound := range []struct {
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
		if !(bound.value >= 0 && bound.value <= bound.max) {
			return invalidSetting(bound.key, fmt.Sprintf("must be in 0..%v", bound.max))
		}
	}
	if s.Instances < 1 {
		return invalidSetting("instances", "must be at least 1")
	}
	return nil
}
