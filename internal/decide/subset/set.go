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
	set := &Set{settings: s, rand: hash64.Source(hash64.SplitMix(s.Seed ^ seedSalt)), unhealthy: map[string]bool{}}
	set.rand.Uint64() // earlier builds did not use the first number: with the same seed, steps come at the same times
	return set, nil
}

// SetEndpoints sets the endpoint list. Entries with an empty ID, and further entries of one ID, are ignored.
func (s *Set) SetEndpoints(now monotime.Micros, endpoints []Endpoint) {
	s.ring = s.ring[:0]
	listed := map[string]bool{}
	for _, e := range endpoints {
		if e.ID == "" || listed[e.ID] {
			continue
		}
		listed[e.ID] = true
		if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1
		}
		s.ring = append(s.ring, ringEntry{Endpoint: e})
	}
	for id := range s.unhealthy {
		if !listed[id] {
			delete(s.unhealthy, id)
		}
	}
	s.buildRing()
	s.update(now, false)
}

// SetUnhealthy sets whether an endpoint is unhealthy: it fails, drains or is full, which the caller decides by
// outcomes.
func (s *Set) SetUnhealthy(now monotime.Micros, id string, unhealthy bool) {
	if s.unhealthy[id] == unhealthy {
		return
	}
	if unhealthy {
		s.unhealthy[id] = true
	} else {
		delete(s.unhealthy, id)
	}
	s.update(now, false)
}

// SetLoad sets the number of its own requests that the instance has in flight, as a mean of some seconds. A negative or
// infinite number and NaN are ignored.
func (s *Set) SetLoad(now monotime.Micros, inFlight float64) {
	if inFlight >= 0 && !math.IsInf(inFlight, 0) {
		s.load = inFlight
		s.update(now, false)
	}
}

// NextStep returns the instant at which Advance must be called; ok is false if no step is due.
func (s *Set) NextStep() (at monotime.Micros, ok bool) { return s.nextStepAt, s.nextStepAt > 0 }

// Advance widens or narrows the set if that is due. It reports whether the members changed.
func (s *Set) Advance(now monotime.Micros) bool {
	if s.nextStepAt == 0 || now < s.nextStepAt {
		return false
	}
	return s.update(now, true)
}

// update decides the width of the arc, and its members by that, and reports whether they changed. A step to the target
// width is made if due is set, and otherwise scheduled, unless one in the same direction is already.
func (s *Set) update(now monotime.Micros, due bool) bool {
	previousDoublings := s.doublings
	target := s.targetDoublings()
	switch {
	case target == s.doublings:
		s.nextStepAt = 0
	case due:
		s.doublings = target
		target = s.targetDoublings()
		if target != s.doublings {
			s.scheduleStep(now, target)
		} else {
			s.nextStepAt = 0
		}
	case s.nextStepAt == 0 || (target > s.doublings) != s.nextStepWidens:
		s.scheduleStep(now, target)
	}
	previousMembers := s.members
	s.members = s.arcMembers(s.doublings)
	return previousDoublings != s.doublings || !slices.Equal(previousMembers, s.members)
}

// Members returns the endpoints that this instance connects to, in the order of the ring. The caller must not change
// them.
func (s *Set) Members() []Member { return s.members }

// Doublings returns how often the arc is doubled at present; 0 is the width without unhealthy endpoints and load.
func (s *Set) Doublings() int { return s.doublings }

// Budgets returns this instance's part of all endpoints' budgets: their sum over the number of instances.
func (s *Set) Budgets() Budgets {
	if s.settings.Instances == 0 {
		return Budgets{}
	}
	endpointsPerInstance := float64(len(s.ring)) / float64(s.settings.Instances)
	return Budgets{
		s.settings.EndpointIdleConnections * endpointsPerInstance,
		s.settings.EndpointProbes * endpointsPerInstance,
	}
}
