package subset

import (
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// Set is the members of one instance. Make one with New.
type Set struct {
	settings       Settings
	randState      uint64
	ring           []ringEntry
	totalWeight    float64
	unhealthy      map[string]bool
	doublings      int             // how often the arc is doubled
	nextStepAt     monotime.Micros // when to make the next step; 0 is never
	nextStepWidens bool            // that step is one wider
	load           float64         // own requests in flight, on the mean of some seconds
	members        []Member
}

// New returns a set without members, or an *Error.
func New(s Settings) (*Set, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Set{settings: s, randState: mix64(s.Seed ^ 0x5eed), unhealthy: map[string]bool{}}, nil
}

// List takes the whole list. Entries whose IDs are empty or told before are passed over.
func (x *Set) SetEndpoints(now monotime.Micros, endpoints []Endpoint) {
	x.ring = x.ring[:0]
	known := map[string]bool{}
	for _, e := range endpoints {
		if e.ID == "" || known[e.ID] {
			continue
		}
		known[e.ID] = true
		if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1
		}
		x.ring = append(x.ring, ringEntry{Endpoint: e})
	}
	for id := range x.unhealthy {
		if !known[id] {
			delete(x.unhealthy, id)
		}
	}
	x.buildRing()
	x.update(now, false)
}

// Unwell tells that an endpoint fails, drains or is full, or no longer. It is whoever knows outcomes that says so.
func (x *Set) SetUnhealthy(now monotime.Micros, id string, unhealthy bool) {
	if x.unhealthy[id] == unhealthy {
		return
	}
	if unhealthy {
		x.unhealthy[id] = true
	} else {
		delete(x.unhealthy, id)
	}
	x.update(now, false)
}

// Load tells how many requests of its own the instance has in flight, on the mean of some seconds. What makes no sense is
// passed over.
func (x *Set) SetLoad(now monotime.Micros, inFlight float64) {
	if inFlight >= 0 && !math.IsInf(inFlight, 0) {
		x.load = inFlight
		x.update(now, false)
	}
}

// Next returns when Advance has something to decide; ok says whether it ever has.
func (x *Set) NextStep() (at monotime.Micros, ok bool) { return x.nextStepAt, x.nextStepAt > 0 }

// Advance widens or narrows the set if that is due. It says whether the members changed.
func (x *Set) Advance(now monotime.Micros) bool {
	if x.nextStepAt == 0 || now < x.nextStepAt {
		return false
	}
	return x.update(now, true)
}

// look cuts the arc anew; due says that a step may be made now.
func (x *Set) update(now monotime.Micros, due bool) bool {
	previous := x.doublings
	target := x.targetDoublings()
	switch {
	case target == x.doublings:
		x.nextStepAt = 0
	case due:
		x.doublings = target
		if target = x.targetDoublings(); target != x.doublings {
			x.scheduleStep(now, target)
		} else {
			x.nextStepAt = 0
		}
	case x.nextStepAt == 0 || (target > x.doublings) != x.nextStepWidens:
		x.scheduleStep(now, target)
	}
	previousMembers := x.members
	x.members = x.arcMembers(x.doublings)
	return previous != x.doublings || !slices.Equal(previousMembers, x.members)
}

// Members returns those this instance deals with, in the order of the ring. They are not to be changed.
func (x *Set) Members() []Member { return x.members }

// Widened returns how often the arc is doubled at present.
func (x *Set) Doublings() int { return x.doublings }

// Budgets divides what the nodes have over the instances.
func (x *Set) Budgets() Budgets {
	if x.settings.Instances == 0 {
		return Budgets{}
	}
	part := float64(len(x.ring)) / float64(x.settings.Instances)
	return Budgets{x.settings.EndpointIdleConnections * part, x.settings.EndpointProbes * part}
}
