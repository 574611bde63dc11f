// Package overload decides, for one instance of a fleet that shares endpoints without words between its instances, what of
// its work is turned away while the endpoints cannot do all that is asked, and what is left then of what only adds to their
// load: further attempts and probes. It is told of its own demand, of its outcomes and of what endpoints report of their
// whole load, in which the others' traffic is. From the same evidence all instances come to the same level, whatever they
// have done before. It is a deterministic state machine for one caller at a time: no I/O, no clock, chance by a seed. It may
// not know balancers, lists, requests or sockets; what it decides reaches the balancer as bounds.
//
// level.go holds how much is turned away, order.go in which order, budget.go what is left of further attempts and probes.
package overload

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Class is a class of requests.
type Class struct {
	PriorityWeight   float64 // of one request in its aim
	LatencyObjective monotime.Micros
}

// Tenant is one of those who share the service.
type Tenant struct{ Allowance float64 } // requests a second over all instances; 0 is none

// Goal weighs what is judged: all worth, and the class served worst.
type Goal struct{ Overall, WorstClass float64 }

// Settings are an instance's. The zero value of a part is what holds where nothing is said.
type Settings struct {
	Classes         []Class
	Tenants         []Tenant
	OverShareWeight float64 // what a tenant's request beyond its share is worth, 0 to 1
	Goal            Goal
	Instances       int // as far as told, this one included: it divides the least of probes only
	Seed            uint64

	RetryRatio           float64 // further attempts for each first one that was accepted, within any second;
	OverloadedRetryRatio float64 // and so many while work is turned away or many attempts fail
	ProbeRatio           float64 // probes for each first attempt that was accepted
	MaxEndpointProbes    float64 // probes a second that one endpoint gets of all instances together, at most
	MinEndpointProbes    float64 // and at least, so that one that recovers is found
}

// Shipped returns the budgets that hold where the operators turn this on and say no more. A fifth of further attempts is what
// a pool has without it; a twentieth under overload, since twice as many may have been accepted in the last second as are first
// ones in the next, as endpoints begin to fail, and a tenth of those is the bound. Two probes for each that was accepted are the
// two draws that a request waits for; many requests share one, so that far fewer are made. A hundred a second cost an endpoint a
// hundredth of a core at 0.1 ms each, and one a second finds it again within a second once it recovers.
func DefaultSettings() Settings {
	return Settings{RetryRatio: 0.2, OverloadedRetryRatio: 0.05, ProbeRatio: 2, MaxEndpointProbes: 100, MinEndpointProbes: 1}
}

// SettingError names a setting that makes no sense.
type SettingError struct{ Key, Reason string }

// Error says which, and why.
func (e *SettingError) Error() string { return fmt.Sprintf("overload: %s: %s", e.Key, e.Reason) }

func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return &SettingError{"classes", "at least one is needed"}
	}
	for i, c := range s.Classes {
		if !(c.PriorityWeight >= 0) || c.LatencyObjective <= 0 || math.IsInf(c.PriorityWeight, 0) {
			return &SettingError{fmt.Sprintf("classes.%d", i), "worth must not be negative, aim must be positive"}
		}
	}
	for _, v := range []struct {
		key  string
		v, m float64
	}{{"further", s.RetryRatio, 10}, {"further_sick", s.OverloadedRetryRatio, 10}, {"probes", s.ProbeRatio, 100}, {"node_probes", s.MaxEndpointProbes, 1e6},
		{"node_least", s.MinEndpointProbes, 1e6}, {"over_share", s.OverShareWeight, 1}, {"goal.whole", s.Goal.Overall, 1e6}, {"goal.worst_class", s.Goal.WorstClass, 1e6}} {
		if !(v.v >= 0 && v.v <= v.m) {
			return &SettingError{v.key, fmt.Sprintf("must be in 0..%v", v.m)}
		}
	}
	if s.Instances < 1 {
		return &SettingError{"instances", "must be at least 1"}
	}
	return nil
}
