// Package quota divides budgets among the instances of a fleet: so many units of something in any second, whole ones, over all
// of them together. A holder is lent so many units of each budget for a time, and may spend that many in any second until the
// loan ends by its own clock; a book, at whoever holds the one lease of the fleet (package lease), lends them. The sum spent
// stays within the budget in every second, whatever is lost, late, doubled or out of order, whoever is killed, stopped, cut off
// or lies; that all of it is used where it is wanted is the aim after that. Both are deterministic state machines for one
// caller at a time: no I/O, no clock. They may not know what a budget is of, sockets, or who is alive.
//
// Why the sum holds. (1) A holder counts what it spent in the second before each unit that it spends, so that in any second it
// spends no more than the most that it could use at once within it: its least, and what a loan in force gives it. (2) A loan is
// in force from when it is heard of until its length after its question went out, by the holder's clock. The book takes its
// units for used from when it lends them until that length and a second more are over by any clock, or until a second after the
// holder has said that a later loan is in force in its place: the holder never goes back. So what the book
// takes for used at an instant is at least what holders can have spent in the second that ends there. (3) It lends so much that
// this, over all holders, is within the budget less all leasts. (4) There is one book at a time. A new one lends nothing but
// what holders show it that they hold, until all that the one before can have lent is over; and it hears only questions that
// were asked since it is the book (Ask.Term), so that what they show was not lent to others meanwhile. docs/design/peers.md
// has it at length.
package quota

import (
	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are the same for all instances of a fleet, but for Place.
type Settings struct {
	MaxInstances    int             // instances that may run at once, at most: for so many a least is held ready
	Reserve         float64         // the part of each budget that is; 1 is that nothing is lent, and all is divided by number and place
	Position        int             // of this one among them: of what does not divide the first have one more
	LeaseDuration   monotime.Micros // of a loan
	RequestInterval monotime.Micros // from one question of a holder to its next
	MaxClockDrift   float64
}

// invalidSetting returns the error of a setting.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "loans", Key: key, Reason: reason}
}

// Check returns a *setting.Error of settings that make no sense.
func (s *Settings) Check() error {
	switch {
	case s.MaxInstances < 1:
		return invalidSetting("most", "must be at least 1")
	case !(s.Reserve >= 0 && s.Reserve <= 1):
		return invalidSetting("ready", "must be in 0..1")
	case s.RequestInterval < 1000:
		return invalidSetting("every", "must be a millisecond at least")
	case s.LeaseDuration < 4*s.RequestInterval:
		return invalidSetting("length", "must be four times every at least, or a lost word ends a loan")
	case !(s.MaxClockDrift >= 0 && s.MaxClockDrift <= 0.1):
		return invalidSetting("drift", "must be in 0..0.1")
	}
	return nil
}

// Least returns what of a budget of so many units each instance has without a loan: its part of what is held ready.
func (s *Settings) Minimum(units float64) int {
	n := int(s.Reserve * units / float64(s.MaxInstances))
	if s.Reserve == 1 && s.Position < int(units)-n*s.MaxInstances {
		n++
	}
	return n
}

// Lendable returns what of it can be lent.
func (s *Settings) Leasable(units float64) int {
	if s.Reserve == 1 {
		return 0
	}
	return int(units) - s.Minimum(units)*s.MaxInstances
}

// window is the second within which a budget holds, as long as it is by any clock.
func (s *Settings) window() monotime.Micros { return lease.ExtendForDrift(second, s.MaxClockDrift) }

// over is for how long a loan that is given now may be in force.
func (s *Settings) leaseLifetime() monotime.Micros {
	return lease.ExtendForDrift(s.LeaseDuration, s.MaxClockDrift)
}
