package quota

import (
	"math"
	"slices"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Allocator grants quota leases. It runs at the instance that holds the fleet's lease (package lease). Create one with
// NewAllocator. It grants leases after Start and until Stop. It is not safe for concurrent use.
type Allocator struct {
	settings    Settings
	budgets     map[string]*budget
	budgetNames []string // sorted keys of the map budgets

	term            lease.Term
	active          bool
	recoveringUntil monotime.Micros // end of recovery, during which only units that lessees already hold are granted
	serial          uint64          // serial number of the latest lease
	lessees         map[lesseeID]*lesseeRecord
	sortedLessees   []*lesseeRecord // all lessees, sorted by name and incarnation
	dividedAt       monotime.Micros // time of the latest division of the budgets
	dirty           bool            // budgets or lessees were added or removed since dividedAt
}

// budget is the allocator's record of one budget.
type budget struct {
	units       float64 // size of the budget, in units a second
	contributed bool    // units is the sum of the lessees' contributions (Demand.Contributed)
	ceiling     float64 // upper bound of units if the budget is contributed; infinity means no bound
	committed   int     // sum of lesseeRecord.committed; may include expired commitments, so it is never too low
}

// NewAllocator returns an allocator that is not started. The error is a *setting.Error if a setting is out of range.
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

// SetBudget sets the units a second that all instances together may spend of a budget. It adds the budget if it is new.
// For a contributed budget, units is ignored: its size is the sum of the lessees' contributions.
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

// RemoveBudget removes a budget. Units of it that are already leased can be spent until their leases expire.
func (a *Allocator) RemoveBudget(name string) {
	delete(a.budgets, name)
	for _, lessee := range a.sortedLessees {
		delete(lessee.committed, name) // recountCommitted restores the count if the budget is added again
	}
	a.budgetNames = slices.DeleteFunc(a.budgetNames, func(n string) bool { return n == name })
	a.dirty = true
}

// Start starts a term with a recovery period, at the end of which all leases of earlier allocators have expired. This
// allocator does not know those leases, so during recovery it grants only units that lessees report to hold already.
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

// Stop ends the term: the allocator grants no leases until the next Start.
func (a *Allocator) Stop() { a.active = false }

// ActiveTerm returns the term in which the allocator grants leases. active is false before Start and after Stop.
func (a *Allocator) ActiveTerm() (t lease.Term, active bool) { return a.term, a.active }

// RecoveringUntil returns the end of the recovery period, in which only units that lessees already hold are granted.
func (a *Allocator) RecoveringUntil() monotime.Micros { return a.recoveringUntil }

// commitmentEnd returns when a commitment made now expires: the lifetime of its lease plus one second, within which the
// units that were spent last still count. Both times allow for the largest clock drift.
func (a *Allocator) commitmentEnd(now monotime.Micros) monotime.Micros {
	return now + a.settings.leaseLifetime() + a.settings.countingWindow()
}

// divisionsPerInterval limits how often the budgets are divided within a request interval. Requests between two
// divisions are granted units from the earlier division.
const divisionsPerInterval = 4

// HandleRequest returns the reply to a lessee's request. ok is false if there is no reply, because the allocator is not
// active or has already handled this or a later request of the lessee. The reply to a request with another term is a
// grant without a lease, which notifies the lessee of the current term.
func (a *Allocator) HandleRequest(now monotime.Micros, from string, r LeaseRequest) (g Grant, ok bool) {
	if !a.active {
		return g, false
	}
	g = Grant{Incarnation: r.Incarnation, Sequence: r.Sequence, Term: a.term}
	if r.Term != a.term {
		return g, true // the units that the lessee reports as held may have been granted to others since
	}
	lessee := a.getOrCreateLessee(lesseeID{from, r.Incarnation})
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

// commit returns the units of each budget that a lessee is granted, and records them as a commitment under the latest
// serial.
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

// grantableUnits returns the units of a budget that can be granted to a lessee. During recovery these are the units
// that the lessee reports to hold. After recovery it is the lessee's target, but at most the leasable units less the
// commitments to all other lessees, so that the sum of all commitments stays within the budget.
func (a *Allocator) grantableUnits(now monotime.Micros, lessee *lesseeRecord, name string) int {
	if now < a.recoveringUntil {
		return min(lessee.committedUnits(now, name), lessee.demands[name].Held)
	}
	// The committed units of the other lessees may include expired commitments, so free is never too high.
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

// LeaseStatus describes one lessee's lease of one budget, for operators. The struct tags are the names in the JSON that
// operators' tools read.
type LeaseStatus struct {
	Lessee        string          `json:"Holder"`
	Incarnation   uint64          `json:"Life"`
	Budget        string          `json:"Budget"`
	Units         int             `json:"Units"`  // committed units, which the lessee may spend within any second
	Target        int             `json:"Target"` // units that it is granted once other lessees have returned them
	Requested     float64         `json:"Asked"`  // demand, in units a second
	Until         monotime.Micros `json:"Until"`  // when the commitment expires and others may be granted its units
	LastRequestAt monotime.Micros `json:"Heard"`  // when the latest request arrived, by the allocator's clock
}

// Leases returns the status of each lessee and budget with leased units or demand, sorted by lessee and budget. It
// returns nil if the allocator is not active.
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
