package subset

import (
	"fmt"
	"math"

	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Settings configure a Set.
type Settings struct {
	// Position is that of this instance in the fleet, from 0. A hash of its name may take its place; the load is less
	// even then.
	Position uint64
	// Instances is the number of instances in the fleet, about; 0 is not known, and then no budgets are divided.
	Instances int
	// MinMembers is the least number of members, if there are as many endpoints: with few members the balancer has no
	// choice, and a retry no other endpoint.
	MinMembers int
	Seed       uint64 // of the times at which the set widens and narrows

	// The budgets of one endpoint for all instances together. 0 is no limit.
	EndpointIdleConnections float64 // connections
	EndpointProbes          float64 // probes a second
}

// invalidSetting returns the error of a setting.
func invalidSetting(key, reason string) error {
	return &setting.Error{Key: key, Reason: reason}
}

// Validate returns a *setting.Error for the first setting that is invalid.
func (s Settings) Validate() error {
	if s.MinMembers < 1 {
		return invalidSetting("least", fmt.Sprintf("%d: at least one endpoint is needed", s.MinMembers))
	}
	if s.Instances < 0 {
		return invalidSetting("instances", fmt.Sprintf("%d is negative", s.Instances))
	}
	for _, budget := range []struct {
		key   string
		value float64
	}{
		{"idle_connections", s.EndpointIdleConnections},
		{"probes", s.EndpointProbes},
	} {
		if !(budget.value >= 0) || math.IsInf(budget.value, 0) {
			return invalidSetting(budget.key, fmt.Sprintf("%v: must be a number from 0 on", budget.value))
		}
		if budget.value > 0 && s.Instances == 0 {
			reason := "is divided over the fleet's instances, and their number is not set"
			return invalidSetting(budget.key, reason)
		}
	}
	return nil
}

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID     string // the same at every instance
	Zone   int
	Weight float64 // its capacity relative to the others'; 0, negative, infinite and NaN count as 1
}

// Member is an endpoint that this instance connects to.
type Member struct {
	ID    string
	Share float64 // part of the instance's traffic that it should get, 0 to 1: the part of the arc that lies on it
}

// Budgets are this instance's part of all endpoints' budgets for the fleet. 0 is no limit.
type Budgets struct {
	IdleConnections float64 // over all members; below 1, one connection is kept for that part of the time
	Probes          float64 // probes a second
}
