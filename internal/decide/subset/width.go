package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	widenBelowHealthy  = 0.5 // healthy part of the weight of a single arc below which the arc is doubled
	narrowAboveHealthy = 0.8 // the same, at half the present length, from which on the arc may be halved
)

// targetDoublings decides how often the arc should be doubled. It is doubled as often as the instance's own load
// requires; otherwise once more if too little of it is healthy, or once less if half of it is healthy enough and the
// load allows it; otherwise it stays.
func (s *Set) targetDoublings() int {
	if s.overloaded(s.doublings) {
		doublings := s.doublings + 1
		for s.overloaded(doublings) {
			doublings++
		}
		return doublings
	}
	if s.healthyWeight(s.doublings) < widenBelowHealthy && !s.coversRing(s.doublings) {
		return s.doublings + 1
	}
	if s.doublings > 0 && s.healthyWeight(s.doublings-1) >= narrowAboveHealthy && s.underloaded() {
		return s.doublings - 1
	}
	return s.doublings
}

// The load band, in own requests in flight for each member: that of Finagle's aperture
// (com.twitter.finagle.loadbalancer.aperture, 0.5 to 2.0 by default). The members of half an arc have twice the load
// each, so that one step does not cause the next.
const (
	minLoadPerMember = 0.5
	maxLoadPerMember = 2.0
)

// overloaded reports whether the arc has too few members for the instance's own load if it is doubled so often.
func (s *Set) overloaded(doublings int) bool {
	return s.load > maxLoadPerMember*float64(len(s.arcMembers(doublings))) && !s.coversRing(doublings)
}

// underloaded reports whether the instance's own load allows fewer members.
func (s *Set) underloaded() bool {
	return s.load < minLoadPerMember*float64(len(s.members))
}

// healthyWeight returns the weight of the healthy members, as a part of a single arc's weight, if the arc is doubled so
// often. A long arc may have more than 1.
func (s *Set) healthyWeight(doublings int) float64 {
	var sum float64
	for _, m := range s.arcMembers(doublings) {
		if !s.unhealthy[m.ID] {
			sum += m.Share
		}
	}
	return sum * min(math.Pow(2, float64(doublings)), float64(s.arcCount()))
}

// The mean times to a step, by its cause.
const (
	widenInterval    = second      // to a widening for unhealthy members
	narrowInterval   = 10 * second // to a narrowing: the members must be healthy for that long
	loadStepInterval = second / 5  // to a widening by own load, a cause that no other instance has at the same time
)

// scheduleStep sets the time of the next step: a half to one and a half of its mean time, at random, so that
// instances with the same evidence do not step at once.
func (s *Set) scheduleStep(now monotime.Micros, target int) {
	s.nextStepWidens = target > s.doublings
	interval := widenInterval
	switch {
	case !s.nextStepWidens:
		interval = narrowInterval
	case s.overloaded(s.doublings):
		interval = loadStepInterval
	}
	s.nextStepAt = now + max(1, interval/2+monotime.Micros(s.rand.Float64()*float64(interval)))
}
