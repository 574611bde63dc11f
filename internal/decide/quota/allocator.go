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
	recoveringUntil monotime.Micros // until then it grants only what lessees show that they hold
	serial          uint64          // of the latest lease
	lessees         map[lesseeID]*lesseeRecord
	sortedLessees   []*lesseeRecord // by name and incarnation
	dividedAt       monotime.Micros
	dirty           bool // budgets or lessees were added or removed since dividedAt
}

// budget is the allocator's record of one budget.
type budget struct {
	units       float64 // a second; of a contributed budget the sum of its lessees' contributions
	contributed bool    // its units are the sum of Demand.Contributed
	ceiling     float64 // upper bound of the units of a contributed budget; infinite is no bound
	committed   int     // sum of lesseeRecord.committed; it may include expired commitments, and is never too low
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

// SetBudget sets the units a second that all instances together may spend of a budget, and adds the budget if it is
// new. A contributed budget is the sum of the lessees' contributions, and units is ignored.
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

// SetCeiling sets the upper bound of a contributed budget, in units a second. It has no effect on other budgets.
func (a *Allocator) SetCeiling(name string, units float64) {
	if b := a.budgets[name]; b != nil && b.contributed {
		b.ceiling = units
	}
}

// RemoveBudget removes a budget. Its leases end when they expire.
func (a *Allocator) RemoveBudget(name string) {
	delete(a.budgets, name)
	for _, lessee := range a.sortedLessees {
		delete(lessee.committed, name) // recountCommitted counts it anew if the budget is added again
	}
	a.budgetNames = slices.DeleteFunc(a.budgetNames, func(n string) bool { return n == name })
	a.dirty = true
}

// Start begins a term, with recovery: until the leases of an earlier allocator, which are not known here, must have
// expired, the allocator grants only what lessees show that they hold.
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

// commitmentEnd returns when a commitment made now expires: the lease has then expired by any clock, and so has the
// second within which its last units were spent.
func (a *Allocator) commitmentEnd(now monotime.Micros) monotime.Micros {
	return now + a.settings.leaseLifetime() + a.settings.countingWindow()
}

// divisionsPerInterval is how often budgets are divided anew in a request interval, at most: requests in between get
// parts of the latest division.
const divisionsPerInterval = 4

// HandleRequest returns the reply to a lessee's request. ok is false if there is none: the allocator is not active, or
// the request is not newer than an earlier request of the same lessee. A request of another term gets a grant without a
// lease, by which the lessee learns the term.
func (a *Allocator) HandleRequest(now monotime.Micros, from string, r LeaseRequest) (g Grant, ok bool) {
	if !a.active {
		return g, false
	}
	g = Grant{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: a.term}
	if r.Term != a.term {
		return g, true // the lease that it shows may have been granted to others since
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
	if a.dirty || now-a.dividedAt >= a.settings.RequestInterval/divisionsPerInterval {
		a.divide(now)
	}
	a.serial++
	g.Serial = a.serial
	g.Duration = a.settings.LeaseDuration
	g.Allocations = a.commit(now, lessee)
	return g, true
}

// commit grants a lessee its units of each budget under the latest serial, and records them as a commitment.
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

// grantableUnits returns the units of a budget that a lessee is granted. During recovery these are the units that it
// shows it holds. After that it is its target, but at most the leasable units less the commitments to all others: so
// the sum of commitments stays within the budget.
func (a *Allocator) grantableUnits(now monotime.Micros, lessee *lesseeRecord, name string) int {
	if now < a.recoveringUntil {
		return min(lessee.committedUnits(now, name), lessee.demands[name].Held)
	}
	// The count of the others' commitments may include expired ones; it is never too low.
	free := a.leasableUnits(name) - (a.budgets[name].committed - lessee.committed[name])
	return max(0, min(lessee.targets[name], free))
}

// leasableUnits returns the units a second of a budget that can be leased to all lessees together.
func (a *Allocator) leasableUnits(name string) int {
	b := a.budgets[name]
	if b.contributed {
		return int((1 - a.settings.Reserve) * b.units)
	}
	return a.settings.Leasable(b.units)
}

// LeaseStatus is the allocator's record of one lessee and budget, for operators. Its tags are the names in the
// JSON that operators' tools read.
type LeaseStatus struct {
	Lessee        string          `json:"Holder"`
	Incarnation   uint64          `json:"Life"`
	Budget        string          `json:"Budget"`
	Units         int             `json:"Units"`  // committed, within any second
	Target        int             `json:"Target"` // units that it gets when others have returned them
	Requested     float64         `json:"Asked"`  // units a second
	Until         monotime.Micros `json:"Until"`  // other lessees do not get the units before then
	LastRequestAt monotime.Micros `json:"Heard"`  // by the allocator's clock
}

// Leases returns the status of all leases and unmet demands, sorted by lessee and budget; nil if the allocator is not
// active.
func (a *Allocator) Leases(now monotime.Micros) (leases []LeaseStatus) {
	if !a.active {
		return nil
	}
	for _, lessee := range a.sortedLessees {
		for _, name := range a.budgetNames {
			if l := lessee.status(now, name); l.Units > 0 || l.Requested > 0 {
				leases = append(leases, l)
			}
		}
	}
	return leases
}
