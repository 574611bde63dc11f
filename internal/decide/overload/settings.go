// Package overload limits what one instance of a fleet adds to the load of endpoints that all instances share.
// While the endpoints cannot serve all requests it decides which part of the requests is admitted, and how many
// retries and probes may still be sent. Instances need not communicate: each goes by its own demand, the
// outcomes of its attempts, and the load reports of endpoints, which cover the traffic of all instances.
//
// The admission level (level.go) is controlled by additive increase and multiplicative decrease (AIMD: Chiu and
// Jain, "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer Networks",
// 1989), so that instances with the same evidence converge to the same level. A fleet that communicates may
// share one level (shared_level.go). Which classes and tenants are shed first at a level is decided in
// shedding.go. Retries are bounded by a retry budget (Beyer et al., "Site Reliability Engineering", 2016,
// chapter 21), here a ratio of the accepted first attempts, and probes by a rate for each endpoint (probes.go).
//
// A Controller is a deterministic state machine for one goroutine at a time. The package does no I/O, reads no
// clock and draws from a seed only; it must not import the balancer, endpoint lists, requests or sockets.
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
	PriorityWeight   float64 // of one request that is answered within its objective
	LatencyObjective monotime.Micros
}

// Tenant is one of the tenants that share the service.
type Tenant struct {
	// Quota is in requests a second over all instances; 0 is none. A tenant's share of the demand is in proportion to
	// it, so that no tenant is over its share while all demand the same multiple of their quotas.
	Quota float64
}

// GoalWeights are the weights, in the goal that the shedding order serves, of the part that is served of all priority
// weight, and of the part that is served of the class served worst.
type GoalWeights struct {
	Overall    float64
	WorstClass float64
}

// Settings configure a Controller.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	OverShareWeight float64 // factor on the priority weight of requests over their tenant's share, 0 to 1
	GoalWeights     GoalWeights
	Instances       int // in the fleet as far as known, this one included
	Seed            uint64

	// Retries and hedged requests for each first attempt that was accepted, within any second: as a rule, and
	// while work is shed or many attempts fail.
	RetryRatio           float64
	OverloadedRetryRatio float64

	ProbeRatio           float64 // probes for each first attempt that was accepted
	MaxEndpointProbeRate float64 // probes a second of all instances at one endpoint, at most; 0 is no bound
	MinEndpointProbeRate float64 // and at least, so that an endpoint that recovers is found
}

// DefaultSettings returns the budgets that hold where the operators set no others.
//
// A retry ratio of a fifth is what a pool has without overload control. Under overload it is a twentieth: as
// endpoints begin to fail, the last second may hold twice as many accepted first attempts as the next second
// has first attempts, and a tenth of those is the bound. Two probes for each accepted first attempt are the two
// candidates that a request waits for; many requests share one, so that far fewer are made. A hundred probes a
// second cost an endpoint a hundredth of a core at 0.1 ms each, and one a second finds it again within a second
// after it recovers.
func DefaultSettings() Settings {
	return Settings{
		RetryRatio:           0.2,
		OverloadedRetryRatio: 0.05,
		ProbeRatio:           2,
		MaxEndpointProbeRate: 100,
		MinEndpointProbeRate: 1,
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
		{"over_share", s.OverShareWeight, 1},
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
