package maintenance

import (
	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

// The bounds that Settings.Validate sets.
const (
	minLeaseDuration = 10 * monotime.Millisecond
	largestDrift     = 0.1
)

// Settings bound what may be out of service. All instances of a fleet have the same.
type Settings struct {
	MaxOut        int             // machines out at once
	MaxOutPerZone int             // machines out at once in a zone; 0 is no such bound
	MaxOutPerCell int             // machines out at once in a cell; 0 is no such bound, but one always stays
	MaxOutPerKind int             // machines out at once of a machine type; 0 is no such bound
	MaxAnnounced  int             // machines announced at once, those that are out not counted
	Headroom      float64         // the part of the remaining capacity that must stay unused, in 0..1
	LeaseDuration monotime.Micros // for how long a plan holds at an instance
	InFlightGrace monotime.Micros // how long after its lease an instance ends what is in flight at such machines
	Warmup        monotime.Micros // for how long a machine that returns still counts as out
	MaxClockDrift float64         // by what part of itself a clock's rate may be off
}

// invalidSetting returns the error of a setting.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "work", Key: key, Reason: reason}
}

// Validate returns a *setting.Error for the first setting that is out of its range.
func (s *Settings) Validate() error {
	switch {
	case s.MaxOut < 1:
		return invalidSetting("most", "must be at least 1")
	case s.MaxOutPerZone < 0 || s.MaxOutPerCell < 0 || s.MaxOutPerKind < 0:
		return invalidSetting("zone", "bounds must not be negative")
	case s.MaxAnnounced < s.MaxOut:
		return invalidSetting("ahead", "must be most at least: what is out was ahead before")
	case !(s.Headroom >= 0 && s.Headroom < 1):
		return invalidSetting("room", "must be in 0..1, not 1")
	case s.LeaseDuration < minLeaseDuration || s.InFlightGrace < 0 || s.Warmup < 0:
		return invalidSetting("lease", "must be 10 ms at least, and no time negative")
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= largestDrift):
		return invalidSetting("drift", "must be in 0..0.1")
	}
	return nil
}

// withDrift returns how long to wait by the own clock for a duration to have passed by any other clock.
func (s *Settings) withDrift(d monotime.Micros) monotime.Micros {
	return monotime.ExtendForDrift(d, s.MaxClockDrift)
}
