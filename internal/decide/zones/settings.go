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
	Zones           int       // number of zones, 1 to maxZones
	ClassWeights    []float64 // by class: priority weight of its requests
	ZonePreferences [][]int   // by group of clients: indexes of zones, the most preferred zone first

	MaxSpareFraction     float64 // largest fraction of spare capacity that spill may use; greater than 0, at most 1
	MaxSpillFraction     float64 // largest fraction of a zone's requests that may spill; greater than 0, at most 1
	InitialRecoveryShare float64 // share of a zone's requests in its first recovery step; greater than 0, at most 1

	RecoveryStep monotime.Micros // mean duration of a recovery step
	MinDownTime  monotime.Micros // mean down time of a zone; doubled each time the zone soon goes down again
	MaxDownTime  monotime.Micros // upper bound of the mean down time
	MinInFlight  int             // lower bound of the learned limit of requests in flight to a zone
	MaxInFlight  int             // upper bound of the learned limit of requests in flight to a zone
	Seed         uint64          // seed of the random numbers
	Instances    int             // number of instances that send to the zones, including this one
}

// Validate returns an error that names the first invalid setting, or nil.
func (s *Settings) Validate() error {
	isFraction := func(value float64) bool { return value > 0 && value <= 1 }
	switch {
	case s.Zones < 1 || s.Zones > maxZones:
		return fmt.Errorf("zones %d: must be in 1..%d", s.Zones, maxZones)
	case len(s.ClassWeights) < 1:
		return fmt.Errorf("classes: at least one is needed")
	case len(s.ZonePreferences) < 1:
		return fmt.Errorf("zone preferences: at least one group is needed")
	case !isFraction(s.MaxSpareFraction):
		return fmt.Errorf("spill of spare capacity %v: must be greater than 0 and at most 1", s.MaxSpareFraction)
	case !isFraction(s.MaxSpillFraction):
		return fmt.Errorf("spill of traffic %v: must be greater than 0 and at most 1", s.MaxSpillFraction)
	case !isFraction(s.InitialRecoveryShare):
		return fmt.Errorf("initial recovery share %v: must be greater than 0 and at most 1", s.InitialRecoveryShare)
	case s.RecoveryStep < 1 || s.MinDownTime < 1 || s.MaxDownTime < s.MinDownTime:
		return fmt.Errorf("recovery step %d, down time %d..%d: must be positive, and the smaller down time first",
			s.RecoveryStep, s.MinDownTime, s.MaxDownTime)
	case s.MinInFlight < 1 || s.MaxInFlight < s.MinInFlight:
		return fmt.Errorf("in flight %d..%d: must be a range that starts at 1 or more", s.MinInFlight, s.MaxInFlight)
	case s.Instances < 1:
		return fmt.Errorf("instances %d: must be at least 1", s.Instances)
	}
	return s.validatePreferences()
}

// validatePreferences returns an error that names the first group with invalid zone preferences, or nil.
func (s *Settings) validatePreferences() error {
	for group, preferences := range s.ZonePreferences {
		seen := map[int]bool{}
		for _, zoneIndex := range preferences {
			if zoneIndex < 0 || zoneIndex >= s.Zones || seen[zoneIndex] {
				return fmt.Errorf("zone preferences of group %d: zone %d does not exist or is listed twice",
					group, zoneIndex)
			}
			seen[zoneIndex] = true
		}
		if len(preferences) == 0 {
			return fmt.Errorf("zone preferences of group %d are empty", group)
		}
	}
	return nil
}
