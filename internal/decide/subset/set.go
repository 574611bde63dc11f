package subset

import (
	"math"
	"slices"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// Set is the subset of endpoints that one instance connects to. Create one with New. It is not safe for concurrent use.
type Set struct {
	settings       Settings
	rand           hash64.Source
	ring           []ringEntry
	totalWeight    float64         // total weight of all endpoints on the ring
	unhealthy      map[string]bool // IDs of the unhealthy endpoints
	doublings      int             // number of times that the arc's length is doubled
	nextStepAt     monotime.Micros // when the arc is next widened or narrowed; 0 if no step is scheduled
	nextStepWidens bool            // the scheduled step widens the arc; otherwise it narrows the arc
	load           float64         // mean number of the instance's requests in flight over some seconds
	members        []Member
}

// seedSalt makes the set's random numbers differ from those of other users of the same seed.
const seedSalt = 0x5eed

// New returns a set without members. The error is a *setting.Error if a setting is invalid.
func New(s Settings) (*Set, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	set := &Set{settings: s, rand: hash64.Source(hash64.SplitMix(s.Seed ^ seedSalt)), unhealthy: map[string]bool{}}
	set.rand.Uint64() // skip the first number as earlier builds did, so that the same seed gives the same step times
	return set, nil
}

// SetEndpoints sets the endpoint list. It ignores entries with an empty ID or with the ID of an earlier entry.
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

// SetUnhealthy sets whether an endpoint is unhealthy, which means that it fails, drains or is full. The caller
// determines this from the outcomes of requests.
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

// SetLoad sets the mean number of the instance's requests in flight over some seconds. It ignores negative and infinite
// numbers and NaN.
func (s *Set) SetLoad(now monotime.Micros, inFlight float64) {
	if inFlight >= 0 && !math.IsInf(inFlight, 0) {
		s.load = inFlight
		s.update(now, false)
	}
}

// NextStep returns when Advance must be called next. ok is false if no step is scheduled.
func (s *Set) NextStep() (stepAt monotime.Micros, ok bool) { return s.nextStepAt, s.nextStepAt > 0 }

// Advance performs the scheduled step, which widens or narrows the set, if its time has come. It reports whether the
// members or their shares changed.
func (s *Set) Advance(now monotime.Micros) bool {
	if s.nextStepAt == 0 || now < s.nextStepAt {
		return false
	}
	return s.update(now, true)
}

// update determines the width of the arc and its members, and reports whether either has changed. If due is true, it
// performs a step to the target width. Otherwise it schedules the step, unless a step in the same direction is already
// scheduled.
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

// Members returns the endpoints that this instance connects to, in the order of the ring. The caller must not modify
// the returned slice.
func (s *Set) Members() []Member { return s.members }

// Doublings returns the number of times that the arc's length is currently doubled. It is 0 if neither unhealthy
// endpoints nor load require a wider arc.
func (s *Set) Doublings() int { return s.doublings }

// Budgets returns this instance's share of all endpoints' budgets: their sum divided by the number of instances.
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
