package quota

import (
	"math"
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Book lends, at whoever holds the fleet's lease. Make one with NewBook; it lends from Begin to End.
type Allocator struct {
	settings    Settings
	budgets     map[string]*budget
	budgetNames []string // of them, in order

	term            lease.Term
	active          bool
	recoveringUntil monotime.Micros // until then it lends nothing that is not shown to be held
	serial          uint64
	lessees         map[lesseeID]*lesseeRecord
	sortedLessees   []*lesseeRecord // by name and life
	dividedAt       monotime.Micros
	dirty           bool // who or what there is has changed since
}

// budget is one that the book knows.
type budget struct {
	units       float64 // a second; of one that is earned what its holders add up to
	contributed bool
	ceiling     float64 // of one that is earned, what it is at most by what others report; infinite is no bound
	committed   int     // what all holders are taken to use, counted once in a while: what has ended since counts on
}

// NewBook returns a book that does not lend yet, or a *setting.Error.
func NewAllocator(s Settings) (*Allocator, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Allocator{settings: s, budgets: map[string]*budget{}, lessees: map[lesseeID]*lesseeRecord{}}, nil
}

// Budget says what units a second a budget has over all instances; earned says that it is what holders add up to.
func (b *Allocator) SetBudget(name string, units float64, earned bool) {
	x := b.budgets[name]
	if x == nil {
		x = &budget{ceiling: math.Inf(1)}
		b.budgets[name] = x
		b.budgetNames = append(b.budgetNames, name)
		slices.Sort(b.budgetNames)
	}
	if x.contributed = earned; !earned {
		x.units = units
	}
	b.dirty = true
}

// Ceiling says what a budget that is earned is at most, whatever holders say: what others report of the same.
func (b *Allocator) SetCeiling(name string, units float64) {
	if x := b.budgets[name]; x != nil && x.contributed {
		x.ceiling = units
	}
}

// Forget forgets a budget. What is lent of it ends by itself.
func (b *Allocator) RemoveBudget(name string) {
	delete(b.budgets, name)
	for _, x := range b.sortedLessees {
		delete(x.committed, name) // should it come again, what is lent of it counts anew
	}
	b.budgetNames = slices.DeleteFunc(b.budgetNames, func(n string) bool { return n == name })
	b.dirty = true
}

// Begin begins a term: what a book before it lent is not known, and over after a loan's length.
func (b *Allocator) Start(now monotime.Micros, t lease.Term) {
	b.term, b.active, b.serial, b.sortedLessees = t, true, 0, nil
	clear(b.lessees)
	for _, x := range b.budgets {
		x.committed = 0
	}
	b.recoveringUntil = now + b.settings.leaseLifetime() + b.settings.window()
	b.dirty = true
}

// End ends the term: nothing is lent any more.
func (b *Allocator) Stop() { b.active = false }

// Open says whether it lends, and in which term.
func (b *Allocator) ActiveTerm() (lease.Term, bool) { return b.term, b.active }

// Learning says until when it lends nothing that is not shown to be held.
func (b *Allocator) RecoveringUntil() monotime.Micros { return b.recoveringUntil }

// Hear answers a holder's question; there is no answer to one that is older than another of the same holder.
func (b *Allocator) HandleRequest(now monotime.Micros, from string, a LeaseRequest) (g Grant, ok bool) {
	if !b.active {
		return g, false
	}
	g = Grant{Incarnation: a.Incarnation, Sequence: a.Sequence, Term: b.term}
	if a.Term != b.term {
		return g, true // what it shows may have been lent to others since it asked
	}
	id := lesseeID{from, a.Incarnation}
	x := b.lessees[id]
	if x == nil {
		x = &lesseeRecord{lesseeID: id, targets: map[string]int{}, committed: map[string]int{}}
		b.lessees[id] = x
		b.sortedLessees = append(b.sortedLessees, x)
		slices.SortFunc(b.sortedLessees, func(p, q *lesseeRecord) int {
			if c := strings.Compare(p.name, q.name); c != 0 {
				return c
			}
			return int(min(1, max(-1, float64(p.incarnation)-float64(q.incarnation))))
		})
		b.dirty = true
	}
	if a.Sequence <= x.lastSequence {
		return g, false
	}
	x.lastSequence, x.lastRequestAt = a.Sequence, now
	x.demands = map[string]Demand{}
	for _, w := range a.Demands {
		x.demands[w.Budget] = w.sanitized()
	}
	b.applyHeldLease(now, x, &a)
	b.dropExpired(now)
	if b.dirty || now-b.dividedAt >= b.settings.RequestInterval/4 {
		b.divide(now)
	}
	b.serial++
	g.Serial, g.Duration = b.serial, b.settings.LeaseDuration
	units := map[string]int{}
	for _, name := range b.budgetNames {
		if n := b.grantableUnits(now, x, name); n > 0 {
			units[name] = n
			g.Allocations = append(g.Allocations, Allocation{name, n})
		}
	}
	x.commitments = append(x.commitments, commitment{b.serial, units, now + b.settings.leaseLifetime() + b.settings.window()})
	b.recountCommitted(now, x)
	return g, true
}

// give returns what a holder is lent of a budget.
func (b *Allocator) grantableUnits(now monotime.Micros, x *lesseeRecord, name string) int {
	if now < b.recoveringUntil {
		return min(x.committedUnits(now, name), x.demands[name].Held) // what it holds, and no more
	}
	// What is counted for others may be over by now, and is not less than what they have.
	free := b.leasableUnits(name) - (b.budgets[name].committed - x.committed[name])
	return max(0, min(x.targets[name], free))
}

// lendable is what of a budget can be lent.
func (b *Allocator) leasableUnits(name string) int {
	x := b.budgets[name]
	if x.contributed {
		return int((1 - b.settings.Reserve) * x.units)
	}
	return b.settings.Leasable(x.units)
}

// Loan is what a holder is taken to have of a budget, for people.
type LeaseStatus struct {
	Lessee        string          `json:"Holder"`
	Incarnation   uint64          `json:"Life"`
	Budget        string          `json:"Budget"`
	Units         int             `json:"Units"`
	Target        int             `json:"Target"` // that it is to have once others have given it back
	Requested     float64         `json:"Asked"`
	Until         monotime.Micros `json:"Until"` // nobody else has it before then
	LastRequestAt monotime.Micros `json:"Heard"` // from the holder
}

// Loans returns all loans.
func (b *Allocator) Leases(now monotime.Micros) (all []LeaseStatus) {
	if !b.active {
		return nil
	}
	for _, x := range b.sortedLessees {
		for _, name := range b.budgetNames {
			l := LeaseStatus{Lessee: x.name, Incarnation: x.incarnation, Budget: name, Units: x.committedUnits(now, name), Target: x.targets[name], Requested: x.demands[name].Requested, LastRequestAt: x.lastRequestAt}
			for _, e := range x.commitments {
				if e.units[name] > 0 {
					l.Until = max(l.Until, e.expiresAt)
				}
			}
			if l.Units > 0 || l.Requested > 0 {
				all = append(all, l)
			}
		}
	}
	return all
}
