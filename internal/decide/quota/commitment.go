package quota

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// who is a holder: another life of a name is another holder, and what the one before had is not over with it.
type lesseeID struct {
	name        string
	incarnation uint64
}

// borrower is a holder, as the book knows it.
type lesseeRecord struct {
	lesseeID
	lastSequence  uint64 // of its latest question
	lastRequestAt monotime.Micros
	demands       map[string]Demand
	targets       map[string]int
	committed     map[string]int // as it stands in the budgets' lent
	commitments   []commitment
}

// entry is units that are taken for used until an instant.
type commitment struct {
	serial    uint64 // 0 is of a loan that the book did not give itself
	units     map[string]int
	expiresAt monotime.Micros
}

// count brings a holder's part of what is lent up to date.
func (b *Allocator) recountCommitted(now monotime.Micros, x *lesseeRecord) {
	for _, name := range b.budgetNames {
		n := x.committedUnits(now, name)
		b.budgets[name].committed += n - x.committed[name]
		x.committed[name] = n
	}
}

// shown takes in what loan a holder shows to be in force: earlier ones are over a second later.
func (b *Allocator) applyHeldLease(now monotime.Micros, x *lesseeRecord, a *LeaseRequest) {
	if a.HeldSerial == 0 {
		return // perhaps it has heard of none yet: what it was given ends by itself
	}
	if a.HeldTerm != b.term {
		if now >= b.recoveringUntil {
			return // it was over before this question came
		}
		held := commitment{units: map[string]int{}, expiresAt: now + b.settings.leaseLifetime() + b.settings.window()}
		for _, w := range x.demands {
			held.units[w.Budget] = w.Held
		}
		x.commitments = slices.DeleteFunc(x.commitments, func(e commitment) bool { return e.serial == 0 })
		x.commitments = append(x.commitments, held)
		return
	}
	for i := range x.commitments {
		if e := &x.commitments[i]; e.serial < a.HeldSerial {
			e.expiresAt = min(e.expiresAt, now+b.settings.window())
		}
	}
}

// forget forgets what is over.
func (b *Allocator) dropExpired(now monotime.Micros) {
	b.sortedLessees = slices.DeleteFunc(b.sortedLessees, func(x *lesseeRecord) bool {
		x.commitments = slices.DeleteFunc(x.commitments, func(e commitment) bool { return now >= e.expiresAt })
		gone := len(x.commitments) == 0 && now-x.lastRequestAt > b.settings.leaseLifetime()
		if gone {
			b.recountCommitted(now, x)
			delete(b.lessees, x.lesseeID)
			b.dirty = true
		}
		return gone
	})
}

// used is what of a budget is taken for used by a holder.
func (x *lesseeRecord) committedUnits(now monotime.Micros, name string) (n int) {
	for i := range x.commitments {
		if e := &x.commitments[i]; now < e.expiresAt {
			n = max(n, e.units[name])
		}
	}
	return n
}
