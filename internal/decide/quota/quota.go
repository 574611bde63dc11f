// Package quota divides budgets among the instances of a fleet. A budget is a number of units, such as requests, that
// all instances together may spend within any second.
//
// The allocator runs at the instance that holds the fleet's lease (package lease). Each instance has a lessee, which
// asks the allocator for a lease every Settings.RequestInterval and tells it the demand; the Grant that answers says
// how many units of each budget the lessee may spend within any second until the lease expires. Beside its lease each
// lessee has a minimum of each budget, which is reserved and needs no lease. Package coordination runs both and
// carries the messages.
//
// Safety comes first: within each second the sum that is spent stays within the budget, whatever is lost, delayed,
// duplicated or reordered, and whoever is killed, stopped, partitioned or lies about its demand. That the whole
// budget is used where there is demand for it comes second.
//
// # Why the sum holds
//
//  1. Before each unit a lessee counts what it spent within the second before. So in any second it spends no more than
//     the most that it was allowed at an instant within it: its minimum, and the units of the lease in force.
//  2. A lease is in force from when its Grant is received until its duration after its LeaseRequest was sent, by the
//     lessee's clock. The allocator takes its units as committed from when it grants them until that duration and a
//     second more have passed by any clock, or until a second after the lessee has shown that a later lease is in force
//     in its place; a lessee never goes back to an earlier lease. So what is committed at an instant is at least what
//     lessees can have spent in the second that ends there.
//  3. The allocator grants no more than keeps the committed units of all lessees within the budget less all minimums.
//  4. There is one allocator at a time. A new one recovers first: it grants nothing but what lessees show that they
//     hold, until all leases of the allocator before it have expired. It takes only requests that were sent since it
//     is the allocator (LeaseRequest.Term), so that what they show was not leased to others meanwhile.
//
// docs/design/peers.md has the argument at length.
//
// Allocator and Lessee are deterministic state machines without I/O or a clock, and not safe for concurrent use. The
// package must not know what a budget is for, sockets, or which instances are alive.
package quota

import (
	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const second = monotime.Second

// Settings must be the same for all instances of a fleet, but for Position.
type Settings struct {
	MaxInstances    int     // the most instances that run at once; a minimum is reserved for each
	Reserve         float64 // fraction of each budget for minimums; 1 is a static division without leases
	Position        int     // of this instance, from 0: in a static division the first ones share the remainder
	LeaseDuration   monotime.Micros
	RequestInterval monotime.Micros // from one request of a lessee to its next
	MaxClockDrift   float64         // the most by which a clock's rate is off, as a fraction of the true rate
}

const (
	// minRequestInterval is the smallest value of Settings.RequestInterval.
	minRequestInterval = monotime.Millisecond
	// minRequestsPerLease is how many requests a lease must cover, so that a lost message does not end it.
	minRequestsPerLease = 4
	// maxClockDrift is the largest value of Settings.MaxClockDrift.
	maxClockDrift = 0.1
)

// invalidSetting returns the error of a setting that is out of range.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "loans", Key: key, Reason: reason}
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

// Minimum returns how many units a second of a budget of so many each instance may spend without a lease.
func (s *Settings) Minimum(units float64) int {
	n := int(s.Reserve * units / float64(s.MaxInstances))
	if s.Reserve == 1 && s.Position < int(units)-n*s.MaxInstances {
		n++
	}
	return n
}

// Leasable returns how many units a second of a budget of so many can be leased: those beyond all minimums.
func (s *Settings) Leasable(units float64) int {
	if s.Reserve == 1 {
		return 0
	}
	return int(units) - s.Minimum(units)*s.MaxInstances
}

// window is the second within which a budget holds, extended so that a second has passed by any clock.
func (s *Settings) window() monotime.Micros { return monotime.ExtendForDrift(second, s.MaxClockDrift) }

// leaseLifetime is for how long a lease that is granted now may be in force, by any clock.
func (s *Settings) leaseLifetime() monotime.Micros {
	return monotime.ExtendForDrift(s.LeaseDuration, s.MaxClockDrift)
}
