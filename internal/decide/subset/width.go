package subset

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	widenBelowHealthy  = 0.5         // healthy part of the arc's weight below which the arc is doubled,
	narrowAboveHealthy = 0.8         // and from which on, at half its length, it may be halved again
	widenInterval      = second      // mean time to a widening: instances that see the same do not all widen at once
	narrowInterval     = 10 * second // mean time for which the members must be healthy before the arc is halved

	// The load band is that of Finagle's aperture (com.twitter.finagle.loadbalancer.aperture, 0.5 to 2.0 by
	// default): own requests in flight for each member. The members of half an arc have twice the load each, so
	// that one step does not cause the next.
	minLoadPerMember = 0.5
	maxLoadPerMember = 2.0
	loadStepInterval = second / 5 // mean time to a widening by own load: no other instance makes it for the same reason
)

// targetDoublings is how often the arc should be doubled: as often as the own load requires, once more, once
// less, or as now.
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
	if x.doublings > 0 && x.healthyWeight(x.doublings-1) >= narrowAboveHealthy && x.underloaded() {
		return x.doublings - 1
	}
	return x.doublings
}

// overloaded reports whether the arc, if it is doubled so often, has too few members for the own load.
func (x *Set) overloaded(doublings int) bool {
	return x.load > maxLoadPerMember*float64(len(x.arcMembers(doublings))) && !x.coversRing(doublings)
}

// underloaded reports whether the own load would allow fewer members.
func (x *Set) underloaded() bool {
	return x.load < minLoadPerMember*float64(len(x.members))
}

// healthyWeight is the weight of the healthy members as a part of a single arc's, if the arc is doubled so
// often: a long arc may have more than 1.
func (x *Set) healthyWeight(doublings int) float64 {
	var sum float64
	for _, m := range x.arcMembers(doublings) {
		if !x.unhealthy[m.ID] {
			sum += m.Share
		}
	}
	return sum * min(math.Pow(2, float64(doublings)), float64(x.arcCount()))
}

// scheduleStep sets when the next step is made, with jitter, so that instances that see the same do not step at once.
func (x *Set) scheduleStep(now monotime.Micros, target int) {
	x.nextStepWidens = target > x.doublings
	interval := widenInterval
	switch {
	case !x.nextStepWidens:
		interval = narrowInterval
	case x.overloaded(x.doublings):
		interval = loadStepInterval
	}
	x.nextStepAt = now + max(1, interval/2+monotime.Micros(x.rand.Float64()*float64(interval)))
}
