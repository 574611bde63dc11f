package quota

import (
	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Settings configure the division of budgets. They must be the same for all instances of a fleet, except for Position.
type Settings struct {
	// MaxInstances is the largest number of instances that may run at once, at least 1. Each budget reserves a minimum
	// for each of them.
	MaxInstances int
	// Reserve is the fraction of each budget that is reserved for minimums, in 0..1. With 1, budgets are divided
	// statically and nothing is leased.
	Reserve float64
	// Position is the number of this instance in the fleet, from 0. If the budgets are divided statically, the
	// remainder of the division goes to the instances with the lowest positions, one unit to each.
	Position int
	// LeaseDuration is the time for which units of a lease may be spent, counted from the lease request by the lessee's
	// clock. It must be at least minRequestsPerLease request intervals.
	LeaseDuration monotime.Micros
	// RequestInterval is the time between two requests of a lessee, at least minRequestInterval.
	RequestInterval monotime.Micros
	// MaxClockDrift is the largest difference between the rate of an instance's clock and the true rate, as a fraction
	// of the true rate, in 0..maxClockDrift. If a clock exceeds it, the fleet may spend more than its budgets.
	MaxClockDrift float64
}

const (
	// minRequestInterval is the smallest value of Settings.RequestInterval.
	minRequestInterval = monotime.Millisecond
	// minRequestsPerLease is the smallest LeaseDuration, in request intervals: a lease must not expire because a single
	// message is lost.
	minRequestsPerLease = 4
	// maxClockDrift is the largest value of Settings.MaxClockDrift, as a fraction of the true rate.
	maxClockDrift = 0.1
)

// settingsComponent is the component name in errors about quota settings. It is older than the term quota.
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
		return invalidSetting("every", "must be at least 1 ms")
	case s.LeaseDuration < minRequestsPerLease*s.RequestInterval:
		return invalidSetting("length", "must be at least four times every, or one lost message ends a lease")
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= maxClockDrift):
		return invalidSetting("drift", "must be in 0..0.1")
	}
	return nil
}

// Minimum returns the units a second of a budget that this instance may spend without a lease. units is the size of the
// budget, in units a second. The minimum is an equal share of the reserve, rounded down. If Reserve is 1, the remainder
// of the rounding goes to the instances with the lowest positions, one unit to each.
func (s *Settings) Minimum(units float64) int {
	minimum := int(s.Reserve * units / float64(s.MaxInstances))
	if s.Reserve == 1 && s.Position < int(units)-minimum*s.MaxInstances {
		minimum++
	}
	return minimum
}

// Leasable returns the units a second of a budget that can be leased to all lessees together: the budget less the
// minimums of all instances. units is the size of the budget, in units a second.
func (s *Settings) Leasable(units float64) int {
	if s.Reserve == 1 {
		return 0
	}
	return int(units) - s.Minimum(units)*s.MaxInstances
}

// countingWindow returns the time for which a spent unit counts: one second, extended by the largest clock drift so
// that a second has passed by any clock.
func (s *Settings) countingWindow() monotime.Micros {
	return monotime.ExtendForDrift(second, s.MaxClockDrift)
}

// leaseLifetime returns the time after which a lease that is granted now has expired by any clock: LeaseDuration,
// extended by the largest clock drift.
func (s *Settings) leaseLifetime() monotime.Micros {
	return monotime.ExtendForDrift(s.LeaseDuration, s.MaxClockDrift)
}
