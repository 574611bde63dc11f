// Package zones decides which zone a request may go to: the first of its ranks while that suffices, the next ones with
// as much as it lacks and no more than they can spare, and a zone that comes back in steps. It knows zones by number,
// what was sent there and what came of it; it knows nothing of endpoints, which the balancer picks within the zone that
// is open, nor of sockets. It is a deterministic state machine for one caller at a time.
//
// What a zone can do is not told by the number of its endpoints. It is learned as in package concurrency: how many requests of
// this instance may be in flight there before they only wait for one another. What is left of that is the zone's spare
// room, of which others' traffic may take a stated part. Of the requests that compete for it those of more worth have
// the more room to themselves (trunk reservation, as telephone exchanges have had it: Akinpelu, "The overload performance
// of engineered networks with nonhierarchical and hierarchical routing", BSTJ 1984): so what is worth least is turned
// away first, and nothing need be known of what will come.
package zones

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are what a Table needs.
type Settings struct {
	Zones           int
	ClassWeights    []float64 // worth of a request of each class
	ZonePreferences [][]int   // of each group of clients: its zones, the preferred one first

	MaxSpareFraction     float64 // part of another zone's spare room that may be taken, over 0 to 1
	MaxSpillFraction     float64 // part of a zone's requests that may go elsewhere, over 0 to 1
	InitialRecoveryShare float64 // part of its requests that a zone gets at first when it is back, over 0 to 1

	RecoveryStep monotime.Micros // a step of a return is held for so long, more or less
	MinDownTime  monotime.Micros // a zone that was lost stays out for so long at least; twice as long each time it flaps
	MaxDownTime  monotime.Micros // but no longer than this
	MinInFlight  int             // requests in flight to a zone, bounds of what is learned
	MaxInFlight  int
	Seed         uint64
	Instances    int // that decide alike, this one included
}

// Validate says which setting makes no sense.
func (s *Settings) Validate() error {
	part := func(v float64) bool { return v > 0 && v <= 1 }
	switch {
	case s.Zones < 1 || s.Zones > 64:
		return fmt.Errorf("zones %d: must be in 1..64", s.Zones)
	case len(s.ClassWeights) < 1:
		return fmt.Errorf("classes: at least one is needed")
	case len(s.ZonePreferences) < 1:
		return fmt.Errorf("ranks: at least one group is needed")
	case !part(s.MaxSpareFraction):
		return fmt.Errorf("spill of spare room %v: must be over 0, to 1", s.MaxSpareFraction)
	case !part(s.MaxSpillFraction):
		return fmt.Errorf("spill of traffic %v: must be over 0, to 1", s.MaxSpillFraction)
	case !part(s.InitialRecoveryShare):
		return fmt.Errorf("share at return %v: must be over 0, to 1", s.InitialRecoveryShare)
	case s.RecoveryStep < 1 || s.MinDownTime < 1 || s.MaxDownTime < s.MinDownTime:
		return fmt.Errorf("step %d, away %d..%d: must be positive, in order", s.RecoveryStep, s.MinDownTime, s.MaxDownTime)
	case s.MinInFlight < 1 || s.MaxInFlight < s.MinInFlight:
		return fmt.Errorf("in flight %d..%d: must be a range from 1", s.MinInFlight, s.MaxInFlight)
	case s.Instances < 1:
		return fmt.Errorf("instances %d: must be at least 1", s.Instances)
	}
	for g, ranks := range s.ZonePreferences {
		seen := map[int]bool{}
		for _, z := range ranks {
			if z < 0 || z >= s.Zones || seen[z] {
				return fmt.Errorf("ranks of group %d: zone %d is none, or stands twice", g, z)
			}
			seen[z] = true
		}
		if len(ranks) == 0 {
			return fmt.Errorf("ranks of group %d: are empty", g)
		}
	}
	return nil
}
