package maintenance

import (
	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const (
	// minLeaseDuration is the smallest value of Settings.LeaseDuration.
	minLeaseDuration = 10 * monotime.Millisecond
	// maxAllowedClockDrift is the largest value of Settings.MaxClockDrift, as a fraction of the true rate.
	maxAllowedClockDrift = 0.1
)

// Settings bound which machines may be out of service at the same time. All instances of a fleet have the same.
// Machines out are those that are drained, under maintenance or returning, and those that are unhealthy.
type Settings struct {
	// MaxOut is the number of machines that may be out, at least 1.
	MaxOut int
	// MaxOutPerZone is the number of machines of a zone that may be out; 0 is no bound.
	MaxOutPerZone int
	// MaxOutPerCell is the number of machines of a cell that may be out; 0 is no bound. The last healthy machine of a
	// cell of several is never drained.
	MaxOutPerCell int
	// MaxOutPerKind is the number of machines of a machine type that may be out; 0 is no bound.
	MaxOutPerKind int
	// MaxAnnounced is the number of machines that may be announced and not yet drained, at least MaxOut. An instance
	// that is cut off cannot use that many machines.
	MaxAnnounced int
	// Headroom is the fraction of the remaining capacity that must stay unused after a drain, in 0..1, and not 1.
	Headroom float64
	// LeaseDuration is the time for which a plan holds at an instance, from when it sent its report, at least
	// minLeaseDuration.
	LeaseDuration monotime.Micros
	// InFlightGrace is the time after the end of its lease after which an instance ends the requests that are in flight
	// at announced and excluded machines.
	InFlightGrace monotime.Micros
	// Warmup is the time for which a machine that returns still counts as out.
	Warmup monotime.Micros
	// MaxClockDrift is the largest difference between the rate of an instance's clock and the true rate, as a fraction
	// of the true rate, in 0..maxAllowedClockDrift. Machines are free of requests only while all clocks are within it.
	MaxClockDrift float64
}

// settingsComponent is the name of the maintenance settings in error messages, which predates the term maintenance.
const settingsComponent = "work"

// invalidSetting returns the *setting.Error of a setting that is out of range.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: settingsComponent, Key: key, Reason: reason}
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
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= maxAllowedClockDrift):
		return invalidSetting("drift", "must be in 0..0.1")
	}
	return nil
}

// withDrift returns the time to wait by the local clock until d has passed by any other clock.
func (s *Settings) withDrift(d monotime.Micros) monotime.Micros {
	return monotime.ExtendForDrift(d, s.MaxClockDrift)
}
