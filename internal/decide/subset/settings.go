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
	// Position is the number of this instance in the fleet, from 0. A hash of the instance's name can be used instead,
	// but the endpoints are then loaded less evenly.
	Position uint64
	// Instances is the approximate number of instances in the fleet. 0 means that it is not known and that budgets are
	// not divided.
	Instances int
	// MinMembers is the smallest number of members, provided that there are as many endpoints. With few members the
	// balancer has little choice, and a retry may find no other endpoint.
	MinMembers int
	Seed       uint64 // seed of the random times at which the set widens and narrows

	EndpointIdleConnections float64 // idle connections to one endpoint from all instances together; 0 means no limit
	EndpointProbes          float64 // probes a second of one endpoint from all instances together; 0 means no limit
}

// invalidSetting returns the *setting.Error of an invalid setting.
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
	ID     string  // identifier of the endpoint, the same at every instance
	Zone   int     // number of the endpoint's zone
	Weight float64 // capacity relative to other endpoints; if it is not positive and finite, 1 is used
}

// Member is an endpoint that this instance connects to.
type Member struct {
	ID    string
	Share float64 // fraction of the instance's traffic for the endpoint, and of the arc that it covers, in 0..1
}

// Budgets is this instance's share of all endpoints' budgets for the fleet. A value of 0 means no limit.
type Budgets struct {
	IdleConnections float64 // idle connections to all members; below 1, the fraction of time that one is kept
	Probes          float64 // probes a second of all members
}
