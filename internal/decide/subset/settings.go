// Package subset decides which endpoints an instance of a large fleet connects to, and which part of an
// endpoint's budget for the whole fleet (idle connections, probes) is this instance's. It goes by the endpoint
// list, the instance's position in the fleet and which endpoints are unhealthy. It must not import requests,
// sockets or other instances; which member serves a request is the balancer's choice.
//
// The algorithm is deterministic subsetting: the deterministic aperture of Finagle (docs, "Aperture Load
// Balancers") on rings that are shuffled for each group of instances ("Reinventing Backend Subsetting at
// Google", ACM Queue, 2022). Endpoints lie on a ring by weight, in an order given by a hash of group and
// endpoint; the instances of a group cut the ring into arcs of equal weight, and each connects to the endpoints
// that its arc touches. So each group loads every endpoint by its weight exactly; a change of one endpoint
// moves the ends of arcs by a part of that endpoint's weight; and as endpoints have other neighbours in each
// group, what an arc takes over when its members fail is spread over all endpoints. The number of instances
// need not be known for this.
//
// A Set is a deterministic state machine for one goroutine at a time.
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
	Position   uint64 // of this instance in the fleet, from 0; a hash of its name, if it is not known, is less even
	Instances  int    // in the fleet, about; 0 is not known, and then no budgets are divided
	MinMembers int    // at least, if there are as many endpoints: fewer leave no choice, nor an endpoint for a retry
	Seed       uint64 // of the times at which the set widens and narrows

	// The budgets of one endpoint for all instances together. 0 is no limit.
	EndpointIdleConnections float64
	EndpointProbes          float64 // a second
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
	Weight float64 // its capacity against the others'; 0 and values that are not a number count as 1
}

// Member is an endpoint that this instance connects to.
type Member struct {
	ID    string
	Share float64 // part of the instance's traffic that is the endpoint's: the part of the arc that lies on it
}

// Budgets are this instance's part of all endpoints' budgets for the fleet. 0 is no limit.
type Budgets struct {
	IdleConnections float64 // over all members; below 1, one is kept for that part of the time
	Probes          float64 // a second
}
