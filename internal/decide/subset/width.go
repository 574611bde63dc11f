package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

// Thresholds of the weight of the healthy endpoints on an arc, as fractions of a single arc's weight.
const (
	widenBelowHealthy  = 0.5 // the arc is doubled if its healthy weight is below this
	narrowAboveHealthy = 0.8 // the arc is halved only if its healthy weight is at least this afterwards
)

// targetDoublings returns the number of times that the arc's length should be doubled. If the instance is overloaded,
// it is the smallest number that its own load requires. Otherwise it is one more than now if too little of the arc is
// healthy, one less if enough of half the arc is healthy and the load allows it, and unchanged in all other cases.
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

// The load band: bounds of the instance's own requests in flight for each member. They are the defaults of Finagle's
// aperture (com.twitter.finagle.loadbalancer.aperture). Halving the arc doubles the load of each remaining member, so
// the upper bound is more than twice the lower bound, or one step would cause the opposite step.
const (
	minLoadPerMember = 0.5
	maxLoadPerMember = 2.0
)

// overloaded reports whether the arc has too few members for the instance's own load if its length is doubled the given
// number of times. An arc that covers the whole ring is never overloaded.
func (s *Set) overloaded(doublings int) bool {
	return s.load > maxLoadPerMember*float64(len(s.arcMembers(doublings))) && !s.coversRing(doublings)
}

// underloaded reports whether the instance's own load is low enough for the arc to be halved.
func (s *Set) underloaded() bool {
	return s.load < minLoadPerMember*float64(len(s.members))
}

// healthyWeight returns the weight of the healthy endpoints on the arc if its length is doubled the given number of
// times. The weight is a multiple of a single arc's weight, so it may exceed 1 for a doubled arc.
func (s *Set) healthyWeight(doublings int) float64 {
	var sum float64
	for _, m := range s.arcMembers(doublings) {
		if !s.unhealthy[m.ID] {
			sum += m.Share
		}
	}
	return sum * min(math.Pow(2, float64(doublings)), float64(s.arcCount()))
}

// The mean times from the cause of a step to the step. The time is short for an instance's own load, because other
// instances do not have the same cause at the same time.
const (
	widenInterval    = second      // mean time until the arc is widened because members are unhealthy
	narrowInterval   = 10 * second // mean time until the arc is narrowed, for which the members must be healthy
	loadStepInterval = second / 5  // mean time until the arc is widened because of the instance's own load
)

// scheduleStep sets the time of the next step to a random time between half and one and a half times its mean time, so
// that instances with the same cause do not all step at the same time.
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
