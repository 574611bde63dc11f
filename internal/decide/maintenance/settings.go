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

// Settings bound the machines that may be out of service at the same time. All instances of a fleet must have
// the same settings. A machine is out if it is draining, under maintenance or returning, or if it is unhealthy.
type Settings struct {
	// MaxOut is the maximum number of machines that may be out; at least 1.
	MaxOut int
	// MaxOutPerZone is the maximum number of machines of a zone that may be out; 0 means no bound.
	MaxOutPerZone int
	// MaxOutPerCell is the maximum number of machines of a cell that may be out; 0 means no bound. In a cell of
	// several machines, the last one in service is never drained.
	MaxOutPerCell int
	// MaxOutPerKind is the maximum number of machines of a machine type that may be out; 0 means no bound.
	MaxOutPerKind int
	// MaxAnnounced is the maximum number of machines that may be announced and not yet draining; at least MaxOut. An
	// instance that is cut off cannot use the announced machines.
	MaxAnnounced int
	// Headroom is the fraction of the capacity in service that must be unused after a drain, from 0 to less than 1.
	Headroom float64
	// LeaseDuration is the duration of the lease of a plan, from the time at which the instance sends its report. It is
	// at least minLeaseDuration.
	LeaseDuration monotime.Micros
	// InFlightGrace is the time from the end of an instance's lease until the instance ends the requests that are in
	// flight at announced and excluded machines.
	InFlightGrace monotime.Micros
	// Warmup is the time for which a returning machine still counts as out.
	Warmup monotime.Micros
	// MaxClockDrift is the largest difference between the rate of an instance's clock and the true rate, as a
	// fraction of the true rate, from 0 to maxAllowedClockDrift. If a clock drifts more, an instance may still
	// send requests to a machine under maintenance.
	MaxClockDrift float64
}

// settingsComponent names the maintenance settings in error messages. The name is older than the term maintenance.
const settingsComponent = "work"

// invalidSetting returns the *setting.Error for a setting that is out of range.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: settingsComponent, Key: key, Reason: reason}
}

// Validate returns a *setting.Error for the first setting that is out of range, or nil.
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

// withDrift returns the time to wait on the local clock until d has passed on every clock that drifts by at most
// MaxClockDrift.
func (s *Settings) withDrift(d monotime.Micros) monotime.Micros {
	return monotime.ExtendForDrift(d, s.MaxClockDrift)
}
