package quota

import (
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Holder spends what an instance may. Make one with NewHolder; it spends nothing before Begin or Restore.
type Lessee struct {
	settings    Settings
	incarnation uint64
	startedAt   monotime.Micros // what another process of this name spent before it was is over a second later
	active      bool            // it may spend: no other process has its place
	buckets     map[string]*bucket

	sequence    uint64
	sent        [maxSentRequests]sentRequest // when questions went out, by number
	term        lease.Term                   // of the book, as told last
	heldSerial  uint64                       // the loan in force
	heldTerm    lease.Term
	expiresAt   monotime.Micros // it ends
	lastGrantAt monotime.Micros // when the latest answer came
}

// asksKept is how many questions may be unanswered before the oldest is forgotten.
const maxSentRequests = 16

type sentRequest struct {
	sequence uint64
	sentAt   monotime.Micros
}

// pot is what is known of one budget.
type bucket struct {
	minimum     int
	leased      int
	spent       []monotime.Micros // instants of units within the last second, the oldest first
	demand      rateEstimator
	usage       rateEstimator
	contributed float64
}

// NewHolder returns the holder of a process that has just started, or a *setting.Error.
func NewLessee(s Settings) (*Lessee, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Lessee{settings: s, buckets: map[string]*bucket{}}, nil
}

// Begin has it begin, without a loan, as a process that no other is beside. Nobody knows what a process of its name that was
// killed has spent a moment ago: for a second there is nothing.
func (h *Lessee) Start(now monotime.Micros, life uint64) {
	h.active, h.incarnation, h.startedAt, h.heldSerial, h.expiresAt = true, life, now, 0, 0
	h.sent = [maxSentRequests]sentRequest{}
}

// Begun says whether it may spend.
func (h *Lessee) Active() bool { return h.active }

// Budget says what units a second a budget has over all instances. Of one that is earned it is 0: nothing of it is held ready.
func (h *Lessee) SetBudget(name string, units float64) {
	p := h.buckets[name]
	if p == nil {
		p = &bucket{}
		h.buckets[name] = p
	}
	p.minimum = h.settings.Minimum(units)
}

// Forget forgets a budget.
func (h *Lessee) RemoveBudget(name string) { delete(h.buckets, name) }

// Earn says what units a second this instance adds to a budget that is earned.
func (h *Lessee) SetContribution(name string, units float64) {
	if p := h.buckets[name]; p != nil {
		p.contributed = units
	}
}

// Allowed returns how many units may be spent within the second that ends now.
func (h *Lessee) Allowed(now monotime.Micros, name string) int {
	p := h.buckets[name]
	if p == nil || !h.active {
		return 0
	}
	n := 0
	if now >= h.startedAt+h.settings.window() {
		n = p.minimum
	}
	if now < h.expiresAt {
		n += p.leased
	}
	return n
}

// Left returns how many units may be spent at once.
func (h *Lessee) Available(now monotime.Micros, name string) int {
	p := h.buckets[name]
	if p == nil {
		return 0
	}
	p.dropSpentBefore(now - h.settings.window())
	return max(0, h.Allowed(now, name)-len(p.spent))
}

// slide forgets what was spent so long ago.
func (p *bucket) dropSpentBefore(since monotime.Micros) {
	n := 0
	for n < len(p.spent) && p.spent[n] <= since {
		n++
	}
	if n > 0 {
		p.spent = append(p.spent[:0], p.spent[n:]...)
	}
}

// Want notes that a unit is asked for, whether or not there is one.
func (h *Lessee) RecordDemand(now monotime.Micros, name string) {
	if p := h.buckets[name]; p != nil {
		p.demand.add(now)
	}
}

// Take spends a unit, and says whether there was one.
func (h *Lessee) Spend(now monotime.Micros, name string) bool {
	if h.Available(now, name) == 0 {
		return false
	}
	p := h.buckets[name]
	p.spent = append(p.spent, now)
	p.usage.add(now)
	return true
}

// Loan returns the loan in force: until when it is, who lent it and its serial; no if there is none.
func (h *Lessee) HeldLease(now monotime.Micros) (until monotime.Micros, by lease.Term, serial uint64, yes bool) {
	if !h.active || h.heldSerial == 0 || now >= h.expiresAt {
		return 0, lease.Term{}, 0, false
	}
	return h.expiresAt, h.heldTerm, h.heldSerial, true
}

// Book returns the term of the book as told last, and when it was heard from.
func (h *Lessee) KnownAllocator() (lease.Term, monotime.Micros) { return h.term, h.lastGrantAt }

// Ask returns a question that goes out now.
func (h *Lessee) NewRequest(now monotime.Micros) LeaseRequest {
	h.sequence++
	h.sent[h.sequence%maxSentRequests] = sentRequest{h.sequence, now}
	a := LeaseRequest{Incarnation: h.incarnation, Sequence: h.sequence, Term: h.term}
	if _, _, _, lent := h.HeldLease(now); lent {
		a.HeldSerial, a.HeldTerm = h.heldSerial, h.heldTerm
	}
	for name, p := range h.buckets {
		w := Demand{Budget: name, Requested: p.demand.demandRate(now), Used: p.usage.recentRate(now), Contributed: p.contributed}
		if a.HeldSerial != 0 {
			w.Held = p.leased
		}
		a.Demands = append(a.Demands, w)
	}
	slices.SortFunc(a.Demands, func(a, b Demand) int { return strings.Compare(a.Budget, b.Budget) })
	return a
}

// Hear takes an answer in. It says whether a question should go out at once: the book is another than was asked, or has to
// know that less is in force now.
func (h *Lessee) HandleGrant(now monotime.Micros, g Grant) (again bool) {
	q := h.sent[g.Sequence%maxSentRequests]
	if g.Incarnation != h.incarnation || !h.active || q.sequence != g.Sequence || g.Sequence == 0 {
		return false
	}
	if g.Serial == 0 {
		again = h.term != g.Term && g.Sequence == h.sequence
		if again {
			h.term = g.Term
		}
		return again
	}
	until := q.sentAt + min(g.Duration, h.settings.LeaseDuration)
	if g.Term != h.term || g.Term == h.heldTerm && g.Serial <= h.heldSerial || until <= h.expiresAt && h.heldSerial != 0 || now >= until {
		return false // an earlier one than what is in force, or over already
	}
	h.heldSerial, h.heldTerm, h.expiresAt, h.lastGrantAt = g.Serial, g.Term, until, now
	for _, p := range h.buckets {
		was := p.leased
		p.leased = 0
		for _, s := range g.Allocations {
			if s.Units > 0 && h.buckets[s.Budget] == p {
				p.leased = s.Units
			}
		}
		again = again || p.leased < was
	}
	return again
}

// Lost forgets who the book is, so that all who could be it are asked.
func (h *Lessee) ForgetAllocator() { h.term = lease.Term{} }

// Names returns the budgets that the holder knows, in order.
func (h *Lessee) BudgetNames() (all []string) {
	for name := range h.buckets {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
