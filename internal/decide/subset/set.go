package subset

import (
	"math"
	"slices"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// Set is the subset of endpoints of one instance. Make one with New; it is for one goroutine at a time.
type Set struct {
	settings       Settings
	rand           hash64.Source
	ring           []ringEntry
	totalWeight    float64 // of the ring
	unhealthy      map[string]bool
	doublings      int             // how often the arc's length is doubled
	nextStepAt     monotime.Micros // when the arc is widened or narrowed; 0 is never
	nextStepWidens bool            // the next step widens the arc; else it narrows it
	load           float64         // own requests in flight, as a mean of some seconds
	members        []Member
}

// seedSalt makes the set's random numbers differ from those of other users of the same seed.
const seedSalt = 0x5eed

// New returns a set without members, or a *setting.Error for an invalid setting.
func New(s Settings) (*Set, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	x := &Set{settings: s, rand: hash64.Source(hash64.SplitMix(s.Seed ^ seedSalt)), unhealthy: map[string]bool{}}
	x.rand.Uint64() // earlier builds did not use the first number: with the same seed, steps come at the same times
	return x, nil
}

// SetEndpoints sets the endpoint list. Entries with an empty ID, and further entries of one ID, are ignored.
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

// SetUnhealthy sets whether an endpoint is unhealthy: it fails, drains or is full, which the caller decides by
// outcomes.
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

// SetLoad sets the number of its own requests that the instance has in flight, as a mean of some seconds. A negative or
// infinite number and NaN are ignored.
func (x *Set) SetLoad(now monotime.Micros, inFlight float64) {
	if inFlight >= 0 && !math.IsInf(inFlight, 0) {
		x.load = inFlight
		x.update(now, false)
	}
}

// NextStep returns the instant at which Advance must be called; ok is false if no step is due.
func (x *Set) NextStep() (at monotime.Micros, ok bool) { return x.nextStepAt, x.nextStepAt > 0 }

// Advance widens or narrows the set if that is due. It reports whether the members changed.
func (x *Set) Advance(now monotime.Micros) bool {
	if x.nextStepAt == 0 || now < x.nextStepAt {
		return false
	}
	return x.update(now, true)
}

// update decides the width of the arc, and its members by that, and reports whether they changed. A step to the target
// width is made if due is set, and otherwise scheduled, unless one in the same direction is already.
func (x *Set) update(now monotime.Micros, due bool) bool {
	previousDoublings := x.doublings
	target := x.targetDoublings()
	switch {
	case target == x.doublings:
		x.nextStepAt = 0
	case due:
		x.doublings = target
		target = x.targetDoublings()
		if target != x.doublings {
			x.scheduleStep(now, target)
		} else {
			x.nextStepAt = 0
		}
	case x.nextStepAt == 0 || (target > x.doublings) != x.nextStepWidens:
		x.scheduleStep(now, target)
	}
	previousMembers := x.members
	x.members = x.arcMembers(x.doublings)
	return previousDoublings != x.doublings || !slices.Equal(previousMembers, x.members)
}

// Members returns the endpoints that this instance connects to, in the order of the ring. The caller must not change
// them.
func (x *Set) Members() []Member { return x.members }

// Doublings returns how often the arc is doubled at present; 0 is the width without unhealthy endpoints and load.
func (x *Set) Doublings() int { return x.doublings }

// Budgets returns this instance's part of all endpoints' budgets: their sum over the number of instances.
func (x *Set) Budgets() Budgets {
	if x.settings.Instances == 0 {
		return Budgets{}
	}
	part := float64(len(x.ring)) / float64(x.settings.Instances)
	return Budgets{x.settings.EndpointIdleConnections * part, x.settings.EndpointProbes * part}
}
