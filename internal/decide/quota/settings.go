package quota

import (
	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Settings must be the same for all instances of a fleet, except for Position.
type Settings struct {
	// MaxInstances is the number of instances that may run at once, at least 1. A minimum is reserved for each.
	MaxInstances int
	// Reserve is the fraction of each budget that is reserved for minimums, in 0..1. 1 is a static division without
	// leases.
	Reserve float64
	// Position numbers this instance from 0. In a static division the instances of the lowest positions get one unit
	// more each, until the remainder of the division is used up.
	Position int
	// LeaseDuration is how long a lease may be spent from, counted from its request by the lessee's clock. It must be
	// at least minRequestsPerLease request intervals.
	LeaseDuration monotime.Micros
	// RequestInterval is the time from one request of a lessee to its next, at least minRequestInterval.
	RequestInterval monotime.Micros
	// MaxClockDrift is the largest difference between the rate of an instance's clock and the true rate, as a fraction
	// of the true rate, in 0..maxClockDrift. The budgets hold only while all clocks are within it.
	MaxClockDrift float64
}

const (
	// minRequestInterval is the smallest value of Settings.RequestInterval.
	minRequestInterval = monotime.Millisecond
	// minRequestsPerLease is the smallest number of request intervals in a lease: a single lost message must not let
	// the lease expire.
	minRequestsPerLease = 4
	// maxClockDrift is the largest value of Settings.MaxClockDrift, as a fraction of the true rate.
	maxClockDrift = 0.1
)

// settingsComponent is the name of the quota settings in error messages, which predates the term quota.
const settingsComponent = "loans"

// invalidSetting returns the *setting.Error of a setting that is out of range.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: settingsComponent, Key: key, Reason: reason}
}

// Validate returns a *setting.Error if a setting is out of range.
func (s *Settings) Validate() error {
	switch {
	case s.MaxInstances < 1:
		return invalidSetting("most", "must be at least 1")
	case !(s.Reserve >= 0 && s.Reserve <= 1):
		return invalidSetting("ready", "must be in 0..1")
	case s.RequestInterval < minRequestInterval:
		return invalidSetting("every", "must be a millisecond at least")
	case s.LeaseDuration < minRequestsPerLease*s.RequestInterval:
		return invalidSetting("length", "must be four times every at least, or a lost word ends a loan")
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= maxClockDrift):
		return invalidSetting("drift", "must be in 0..0.1")
	}
	return nil
}

// Minimum returns the units a second that each instance may spend without a lease, of a budget of the given units a
// second: an equal part of the reserve, rounded down. In a static division the remainder of the rounding goes to the
// instances of the lowest positions.
func (s *Settings) Minimum(units float64) int {
	minimum := int(s.Reserve * units / float64(s.MaxInstances))
	if s.Reserve == 1 && s.Position < int(units)-minimum*s.MaxInstances {
		minimum++
	}
	return minimum
}

// Leasable returns the units a second that can be leased to all lessees together, of a budget of the given units a
// second: the units beyond all minimums.
func (s *Settings) Leasable(units float64) int {
	if s.Reserve == 1 {
		return 0
	}
	return int(units) - s.Minimum(units)*s.MaxInstances
}

// window is the time after which a second has passed by any clock: a unit that was spent longer ago no longer counts.
func (s *Settings) countingWindow() monotime.Micros {
	return monotime.ExtendForDrift(second, s.MaxClockDrift)
}

// leaseLifetime is the time after which a lease that is granted now has expired by any clock.
func (s *Settings) leaseLifetime() monotime.Micros {
	return monotime.ExtendForDrift(s.LeaseDuration, s.MaxClockDrift)
}
