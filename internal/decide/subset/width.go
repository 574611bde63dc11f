package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	widenBelowHealthy  = 0.5         // part of the arc's weight that is well, below which the arc doubles
	narrowAboveHealthy = 0.8         // and from which on, at half its length, it may be halved again
	widenInterval      = second      // mean time from one widening to the next: so many at once are no herd
	narrowInterval     = 10 * second // mean time for which all must have been well before it narrows

	// The load band is that of Finagle's aperture (com.twitter.finagle.loadbalancer.aperture, its default of 0.5 to 2.0): own
	// requests in flight for each member. The halves of a wide arc hold twice as many each, so that one step does not call
	// for the next.
	minLoadPerMember = 0.5
	maxLoadPerMember = 2.0
	loadStepInterval = second / 5 // mean time to a step that own load calls for: nobody else makes it for the same reason
)

// step is the next step from here on: as much wider as the own load calls for, one wider, one narrower, or none.
func (x *Set) targetDoublings() int {
	if x.overloaded(x.doublings) {
		doublings := x.doublings + 1
		for x.overloaded(doublings) {
			doublings++
		}
		return doublings
	}
	if x.healthyWeight(x.doublings) < widenBelowHealthy && !x.coversRing(x.doublings) {
		return x.doublings + 1
	}
	if x.doublings > 0 && x.healthyWeight(x.doublings-1) >= narrowAboveHealthy && x.load < minLoadPerMember*float64(len(x.members)) {
		return x.doublings - 1
	}
	return x.doublings
}

// crowded says whether the arc, once it is doubled so often, is too short for the own load.
func (x *Set) overloaded(doublings int) bool {
	return x.load > maxLoadPerMember*float64(len(x.arcMembers(doublings))) && !x.coversRing(doublings)
}

// well is how much of the arc's own weight, once it is doubled so often, is well: more than 1 where it is long.
func (x *Set) healthyWeight(doublings int) float64 {
	var sum float64
	for _, m := range x.arcMembers(doublings) {
		if !x.unhealthy[m.ID] {
			sum += m.Share
		}
	}
	return sum * min(math.Pow(2, float64(doublings)), float64(x.arcCount()))
}

// arm sets when the next step is made: spread, so that those who see the same do not all do it at once.
func (x *Set) scheduleStep(now monotime.Micros, target int) {
	interval := widenInterval
	switch x.nextStepWidens = target > x.doublings; {
	case !x.nextStepWidens:
		interval = narrowInterval
	case x.overloaded(x.doublings):
		interval = loadStepInterval
	}
	x.nextStepAt = now + max(1, interval/2+monotime.Micros(x.randomFloat()*float64(interval)))
}
