// Package subset decides which endpoints an instance of a large fleet deals with, and how much of what a node has for the
// whole fleet (idle connections, probes) is this instance's. It knows a list, this instance's place in the
// fleet and what of the list is unwell; it knows nothing of requests, sockets or the other instances, and which member a
// request goes to is the balancer's to decide. It is a deterministic state machine for one caller at a time.
//
// The rule is a deterministic aperture (Finagle's, docs "Aperture Load Balancers") on rings that are shuffled anew for each
// lot of instances (Google's "Reinventing Backend Subsetting", ACM Queue 2022): endpoints lie on a ring by weight, in an
// order that a hash of lot and endpoint makes; the instances of a lot cut the ring into arcs of equal weight, and each deals
// with what its arc touches. Each lot loads every endpoint by its weight exactly; a change of one endpoint moves the ends of
// arcs by a part of that one's weight; and two lots have different neighbours, so that what an arc takes over when its
// members fail is spread over all endpoints. Nobody needs to know how many instances there are to do so.
package subset

import (
	"fmt"
	"math"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are what a Set needs.
type Settings struct {
	Position   uint64 // of this instance in the fleet, from 0. Where none is told, a hash of its name: less even, as chance is
	Instances  int    // in the fleet, about; 0 is not known, and then nothing is divided
	MinMembers int    // members at least, where there are so many: fewer leave no choice and no second try elsewhere
	Seed       uint64 // of what is left to chance: when to widen and to narrow

	// What one node has for all instances together. 0 is no bound.
	EndpointIdleConnections float64 // held at rest
	EndpointProbes          float64 // a second
}

// Error says which setting makes no sense.
type SettingError struct{ Key, Reason string }

// Error tells the key and the reason.
func (e *SettingError) Error() string { return e.Key + ": " + e.Reason }

// Validate returns an *Error for the first setting that makes no sense.
func (s Settings) Validate() error {
	if s.MinMembers < 1 {
		return &SettingError{"least", fmt.Sprintf("%d: at least one endpoint is needed", s.MinMembers)}
	}
	if s.Instances < 0 {
		return &SettingError{"instances", fmt.Sprintf("%d is negative", s.Instances)}
	}
	for _, b := range []struct {
		key string
		v   float64
	}{{"idle_connections", s.EndpointIdleConnections}, {"probes", s.EndpointProbes}} {
		if !(b.v >= 0) || math.IsInf(b.v, 0) {
			return &SettingError{b.key, fmt.Sprintf("%v: must be a number from 0 on", b.v)}
		}
		if b.v > 0 && s.Instances == 0 {
			return &SettingError{b.key, "is divided over the fleet's instances, and their number is not set"}
		}
	}
	return nil
}

// Endpoint is one entry of the list.
type Endpoint struct {
	ID     string // the same at every instance
	Zone   int
	Weight float64 // what it can do, against the others; 0 and what is no number count as 1
}

// Member is an endpoint that this instance deals with.
type Member struct {
	ID    string
	Share float64 // part of this instance's traffic that is its own: the part of the arc that lies on it
}

// Budgets is this instance's part of what all nodes have for the fleet. 0 is no bound.
type Budgets struct {
	IdleConnections float64 // held at rest, over all members; below 1 none is kept for longer than that part of the time
	Probes          float64 // a second
}
