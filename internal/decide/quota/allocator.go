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
	if err := s.Validate(); err != nil {
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
func (a *Allocator) SetBudget(name string, units float64, contributed bool) {
	b := a.budgets[name]
	if b == nil {
		b = &budget{ceiling: math.Inf(1)}
		a.budgets[name] = b
		a.budgetNames = append(a.budgetNames, name)
		slices.Sort(a.budgetNames)
	}
	b.contributed = contributed
	if !contributed {
		b.units = units
	}
	a.dirty = true
}

// SetCeiling bounds a contributed budget, whatever its lessees say that they contribute.
func (a *Allocator) SetCeiling(name string, units float64) {
	if b := a.budgets[name]; b != nil && b.contributed {
		b.ceiling = units
	}
}

// RemoveBudget removes a budget. What is leased of it expires.
func (a *Allocator) RemoveBudget(name string) {
	delete(a.budgets, name)
	for _, lessee := range a.sortedLessees {
		delete(lessee.committed, name) // if it comes back, what is leased of it is counted anew
	}
	a.budgetNames = slices.DeleteFunc(a.budgetNames, func(n string) bool { return n == name })
	a.dirty = true
}

// Start begins a term. Leases of an allocator before it are not known, and expire within the longest lease's time.
func (a *Allocator) Start(now monotime.Micros, t lease.Term) {
	a.term = t
	a.active = true
	a.serial = 0
	a.sortedLessees = nil
	clear(a.lessees)
	for _, b := range a.budgets {
		b.committed = 0
	}
	a.recoveringUntil = a.commitmentEnd(now)
	a.dirty = true
}

// Stop ends the term: from now on nothing is granted.
func (a *Allocator) Stop() { a.active = false }

// ActiveTerm returns the term in which the allocator grants leases; active is false if it does not.
func (a *Allocator) ActiveTerm() (t lease.Term, active bool) { return a.term, a.active }

// RecoveringUntil returns when the allocator begins to grant more than lessees show that they hold.
func (a *Allocator) RecoveringUntil() monotime.Micros { return a.recoveringUntil }

// commitmentEnd is when units that are leased now can no longer have been spent within the last second, by any clock.
func (a *Allocator) commitmentEnd(now monotime.Micros) monotime.Micros {
	return now + a.settings.leaseLifetime() + a.settings.window()
}

// HandleRequest answers a lessee's request. ok is false if there is no answer: the allocator is not active, or the
// request is no newer than another of the same lessee.
func (a *Allocator) HandleRequest(now monotime.Micros, from string, r LeaseRequest) (g Grant, ok bool) {
	if !a.active {
		return g, false
	}
	g = Grant{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: a.term}
	if r.Term != a.term {
		return g, true // what it shows may have been leased to others since it was sent
	}
	lessee := a.lessee(lesseeID{from, r.Incarnation})
	if r.Sequence <= lessee.lastSequence {
		return g, false
	}
	lessee.lastSequence = r.Sequence
	lessee.lastRequestAt = now
	lessee.demands = map[string]Demand{}
	for _, d := range r.Demands {
		lessee.demands[d.Budget] = d.sanitized()
	}
	a.applyHeldLease(now, lessee, &r)
	a.dropExpired(now)
	if a.dirty || now-a.dividedAt >= a.settings.RequestInterval/4 {
		a.divide(now)
	}
	a.serial++
	g.Serial = a.serial
	g.Duration = a.settings.LeaseDuration
	g.Allocations = a.commit(now, lessee)
	return g, true
}

// commit grants a lessee its part of each budget under the latest serial.
func (a *Allocator) commit(now monotime.Micros, lessee *lesseeRecord) (allocations []Allocation) {
	units := map[string]int{}
	for _, name := range a.budgetNames {
		if n := a.grantableUnits(now, lessee, name); n > 0 {
			units[name] = n
			allocations = append(allocations, Allocation{name, n})
		}
	}
	lessee.commitments = append(lessee.commitments, commitment{a.serial, units, a.commitmentEnd(now)})
	a.recountCommitted(now, lessee)
	return allocations
}

// grantableUnits returns how many units of a budget a lessee is granted.
func (a *Allocator) grantableUnits(now monotime.Micros, lessee *lesseeRecord, name string) int {
	if now < a.recoveringUntil {
		return min(lessee.committedUnits(now, name), lessee.demands[name].Held)
	}
	// What is counted for others may have expired since, and is never less than what they have.
	free := a.leasableUnits(name) - (a.budgets[name].committed - lessee.committed[name])
	return max(0, min(lessee.targets[name], free))
}

// leasableUnits returns how many units of a budget can be leased to all lessees together.
func (a *Allocator) leasableUnits(name string) int {
	b := a.budgets[name]
	if b.contributed {
		return int((1 - a.settings.Reserve) * b.units)
	}
	return a.settings.Leasable(b.units)
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
func (a *Allocator) Leases(now monotime.Micros) (all []LeaseStatus) {
	if !a.active {
		return nil
	}
	for _, lessee := range a.sortedLessees {
		for _, name := range a.budgetNames {
			if l := lessee.status(now, name); l.Units > 0 || l.Requested > 0 {
				all = append(all, l)
			}
		}
	}
	return all
}
