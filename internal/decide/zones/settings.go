// Package zones routes requests to zones: to the first zone of a request's preferences as long as that has
// capacity, to the next ones with as much as it lacks and no more than those can spare, and to a zone that
// recovers in steps. It goes by the attempts that were sent to each zone and their outcomes. It must not import
// endpoints, which the balancer picks within the zone that is chosen, nor sockets.
//
// A zone's capacity is not taken from the number of its endpoints. It is learned as in package concurrency: how
// many requests of this instance may be in flight there before they only wait for one another. What is left of
// that is the zone's spare capacity, of which traffic of other zones, the spill, may use a set part. Of that, a
// class has the more the higher its priority weight (trunk reservation, as in telephone exchanges: Akinpelu,
// "The Overload Performance of Engineered Networks with Nonhierarchical and Hierarchical Routing", BSTJ 1984):
// so the lowest class is rejected first, without a forecast.
//
// A Router is a deterministic state machine for one goroutine at a time. Nothing imports this package yet.
package zones

import (
	"fmt"

	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// maxZones bounds Settings.Zones.
const maxZones = 64

// Settings configure a Router.
type Settings struct {
	Zones           int
	ClassWeights    []float64 // by class: priority weight of a request
	ZonePreferences [][]int   // by group of clients: its zones, the preferred one first

	MaxSpareFraction     float64 // part of another zone's spare capacity that spill may use, over 0 to 1
	MaxSpillFraction     float64 // part of a zone's requests that may spill, over 0 to 1
	InitialRecoveryShare float64 // part of its requests that a zone gets when it starts to recover, over 0 to 1

	RecoveryStep monotime.Micros // duration of a step of the recovery, with jitter
	MinDownTime  monotime.Micros // for how long a zone stays down at least; doubled each time it flaps,
	MaxDownTime  monotime.Micros // up to this
	MinInFlight  int             // bounds of what is learned: requests in flight to a zone
	MaxInFlight  int
	Seed         uint64
	Instances    int // that decide alike, this one included
}

// Validate returns the error of the first setting that is invalid.
func (s *Settings) Validate() error {
	isFraction := func(v float64) bool { return v > 0 && v <= 1 }
	switch {
	case s.Zones < 1 || s.Zones > maxZones:
		return fmt.Errorf("zones %d: must be in 1..%d", s.Zones, maxZones)
	case len(s.ClassWeights) < 1:
		return fmt.Errorf("classes: at least one is needed")
	case len(s.ZonePreferences) < 1:
		return fmt.Errorf("zone preferences: at least one group is needed")
	case !isFraction(s.MaxSpareFraction):
		return fmt.Errorf("spill of spare capacity %v: must be over 0, to 1", s.MaxSpareFraction)
	case !isFraction(s.MaxSpillFraction):
		return fmt.Errorf("spill of traffic %v: must be over 0, to 1", s.MaxSpillFraction)
	case !isFraction(s.InitialRecoveryShare):
		return fmt.Errorf("initial recovery share %v: must be over 0, to 1", s.InitialRecoveryShare)
	case s.RecoveryStep < 1 || s.MinDownTime < 1 || s.MaxDownTime < s.MinDownTime:
		return fmt.Errorf("recovery step %d, down time %d..%d: must be positive, in order",
			s.RecoveryStep, s.MinDownTime, s.MaxDownTime)
	case s.MinInFlight < 1 || s.MaxInFlight < s.MinInFlight:
		return fmt.Errorf("in flight %d..%d: must be a range from 1", s.MinInFlight, s.MaxInFlight)
	case s.Instances < 1:
		return fmt.Errorf("instances %d: must be at least 1", s.Instances)
	}
	return s.validatePreferences()
}

// validatePreferences returns the error of the first group whose preferences are invalid.
func (s *Settings) validatePreferences() error {
	for group, preferences := range s.ZonePreferences {
		seen := map[int]bool{}
		for _, z := range preferences {
			if z < 0 || z >= s.Zones || seen[z] {
				return fmt.Errorf("zone preferences of group %d: zone %d does not exist, or stands twice", group, z)
			}
			seen[z] = true
		}
		if len(preferences) == 0 {
			return fmt.Errorf("zone preferences of group %d: are empty", group)
		}
	}
	return nil
}
