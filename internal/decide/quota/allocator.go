package quota

import (
	"math"
	"slices"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Allocator grants leases of the fleet's budgets at the instance that holds the fleet's lease. Create one with
// NewAllocator; it grants from Start to Stop. It is not safe for concurrent use.
type Allocator struct {
	settings    Settings
	budgets     map[string]*budget
	budgetNames []string // of budgets, sorted

	term            lease.Term
	active          bool
	recoveringUntil monotime.Micros // until then it grants nothing but what lessees show that they hold
	serial          uint64          // of the latest lease
	lessees         map[lesseeID]*lesseeRecord
	sortedLessees   []*lesseeRecord // by name and incarnation
	dividedAt       monotime.Micros
	dirty           bool // budgets or lessees have come or gone since dividedAt
}

// budget is what the allocator knows of one budget.
type budget struct {
	units       float64 // a second; of a contributed budget what its lessees add up to
	contributed bool    // its units are the sum of Demand.Contributed
	ceiling     float64 // bounds the units of a contributed budget; infinite is no bound
	committed   int     // sum of lesseeRecord.committed; expired commitments may be in it
}

// NewAllocator returns an allocator that is not started, or a *setting.Error.
func NewAllocator(s Settings) (*Allocator, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Allocator{
		settings: s,
		budgets:  map[string]*budget{},
		lessees:  map[lesseeID]*lesseeRecord{},
	}, nil
}

// SetBudget sets how many units a second all instances together may spend of a budget. Of a contributed one the
// lessees' contributions add up to that, and units is ignored.
func (b *Allocator) SetBudget(name string, units float64, contributed bool) {
	x := b.budgets[name]
	if x == nil {
		x = &budget{ceiling: math.Inf(1)}
		b.budgets[name] = x
		b.budgetNames = append(b.budgetNames, name)
		slices.Sort(b.budgetNames)
	}
	x.contributed = contributed
	if !contributed {
		x.units = units
	}
	b.dirty = true
}

// SetCeiling bounds a contributed budget, whatever its lessees say that they contribute.
func (b *Allocator) SetCeiling(name string, units float64) {
	if x := b.budgets[name]; x != nil && x.contributed {
		x.ceiling = units
	}
}

// RemoveBudget removes a budget. What is leased of it expires.
func (b *Allocator) RemoveBudget(name string) {
	delete(b.budgets, name)
	for _, x := range b.sortedLessees {
		delete(x.committed, name) // if it comes back, what is leased of it is counted anew
	}
	b.budgetNames = slices.DeleteFunc(b.budgetNames, func(n string) bool { return n == name })
	b.dirty = true
}

// Start begins a term. Leases of an allocator before it are not known, and expire within the longest lease's time.
func (b *Allocator) Start(now monotime.Micros, t lease.Term) {
	b.term = t
	b.active = true
	b.serial = 0
	b.sortedLessees = nil
	clear(b.lessees)
	for _, x := range b.budgets {
		x.committed = 0
	}
	b.recoveringUntil = b.commitmentEnd(now)
	b.dirty = true
}

// Stop ends the term: from now on nothing is granted.
func (b *Allocator) Stop() { b.active = false }

// ActiveTerm returns the term in which the allocator grants leases; active is false if it does not.
func (b *Allocator) ActiveTerm() (t lease.Term, active bool) { return b.term, b.active }

// RecoveringUntil returns when the allocator begins to grant more than lessees show that they hold.
func (b *Allocator) RecoveringUntil() monotime.Micros { return b.recoveringUntil }

// commitmentEnd is when units that are leased now can no longer have been spent within the last second, by any clock.
func (b *Allocator) commitmentEnd(now monotime.Micros) monotime.Micros {
	return now + b.settings.leaseLifetime() + b.settings.window()
}

// HandleRequest answers a lessee's request. ok is false if there is no answer: the allocator is not active, or the
// request is no newer than another of the same lessee.
func (b *Allocator) HandleRequest(now monotime.Micros, from string, r LeaseRequest) (g Grant, ok bool) {
	if !b.active {
		return g, false
	}
	g = Grant{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: b.term}
	if r.Term != b.term {
		return g, true // what it shows may have been leased to others since it was sent
	}
	x := b.lessee(lesseeID{from, r.Incarnation})
	if r.Sequence <= x.lastSequence {
		return g, false
	}
	x.lastSequence = r.Sequence
	x.lastRequestAt = now
	x.demands = map[string]Demand{}
	for _, d := range r.Demands {
		x.demands[d.Budget] = d.sanitized()
	}
	b.applyHeldLease(now, x, &r)
	b.dropExpired(now)
	if b.dirty || now-b.dividedAt >= b.settings.RequestInterval/4 {
		b.divide(now)
	}
	b.serial++
	g.Serial = b.serial
	g.Duration = b.settings.LeaseDuration
	g.Allocations = b.commit(now, x)
	return g, true
}

// commit grants a lessee its part of each budget under the latest serial.
func (b *Allocator) commit(now monotime.Micros, x *lesseeRecord) (allocations []Allocation) {
	units := map[string]int{}
	for _, name := range b.budgetNames {
		if n := b.grantableUnits(now, x, name); n > 0 {
			units[name] = n
			allocations = append(allocations, Allocation{name, n})
		}
	}
	x.commitments = append(x.commitments, commitment{b.serial, units, b.commitmentEnd(now)})
	b.recountCommitted(now, x)
	return allocations
}

// grantableUnits returns how many units of a budget a lessee is granted.
func (b *Allocator) grantableUnits(now monotime.Micros, x *lesseeRecord, name string) int {
	if now < b.recoveringUntil {
		return min(x.committedUnits(now, name), x.demands[name].Held)
	}
	// What is counted for others may have expired since, and is never less than what they have.
	free := b.leasableUnits(name) - (b.budgets[name].committed - x.committed[name])
	return max(0, min(x.targets[name], free))
}

// leasableUnits returns how many units of a budget can be leased to all lessees together.
func (b *Allocator) leasableUnits(name string) int {
	x := b.budgets[name]
	if x.contributed {
		return int((1 - b.settings.Reserve) * x.units)
	}
	return b.settings.Leasable(x.units)
}

// LeaseStatus is what the allocator takes a lessee to have of a budget, for operators. Its tags are the names in the
// JSON that operators' tools read.
type LeaseStatus struct {
	Lessee        string          `json:"Holder"`
	Incarnation   uint64          `json:"Life"`
	Budget        string          `json:"Budget"`
	Units         int             `json:"Units"`
	Target        int             `json:"Target"` // units that it gets once others have returned them
	Requested     float64         `json:"Asked"`  // units a second
	Until         monotime.Micros `json:"Until"`  // nobody else gets the units before then
	LastRequestAt monotime.Micros `json:"Heard"`
}

// Leases returns the status of all leases, by lessee and budget.
func (b *Allocator) Leases(now monotime.Micros) (all []LeaseStatus) {
	if !b.active {
		return nil
	}
	for _, x := range b.sortedLessees {
		for _, name := range b.budgetNames {
			if l := x.status(now, name); l.Units > 0 || l.Requested > 0 {
				all = append(all, l)
			}
		}
	}
	return all
}
