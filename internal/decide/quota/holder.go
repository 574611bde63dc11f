package quota

import (
	"math"
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

// counter counts what came within the last second, by tenths, and over some seconds.
type rateEstimator struct {
	tenths       [10]int
	latestTenth  monotime.Micros
	decayedCount float64 // what came, each counting less the longer it is ago
	decayedAt    monotime.Micros
}

// slowly is over how long the slow mean goes.
const decayTime = 2 * second

func (c *rateEstimator) advance(now monotime.Micros) {
	part := now / (second / 10)
	if part-c.latestTenth >= 10 {
		clear(c.tenths[:])
		c.latestTenth = part
	}
	for c.latestTenth < part {
		c.latestTenth++
		c.tenths[c.latestTenth%10] = 0
	}
}

func (c *rateEstimator) add(now monotime.Micros) {
	c.advance(now)
	c.tenths[c.latestTenth%10]++
	c.decay(now)
	c.decayedCount++
}

func (c *rateEstimator) decay(now monotime.Micros) {
	c.decayedCount *= math.Exp(-float64(now-c.decayedAt) / float64(decayTime))
	c.decayedAt = now
}

// wanted is how many units a second are worth having: the mean of some seconds and what chance adds to that, since a second in which
// fewer are asked for says nothing of the next; or the rate of late, where that is beyond chance.
func (c *rateEstimator) demandRate(now monotime.Micros) float64 {
	c.decay(now)
	mean := c.decayedCount * float64(second) / float64(decayTime)
	fast := c.recentRate(now)
	if fast > mean+3*math.Sqrt(mean)+1 {
		return fast
	}
	for _, tenths := range [...]int{5, 10} {
		of, late := mean*float64(tenths)/10, float64(c.countLatest(tenths))
		if late < of-2*math.Sqrt(of)-1 {
			mean = late * 10 / float64(tenths) // what was before is over
			c.decayedCount = mean * float64(decayTime) / float64(second)
			break
		}
	}
	return mean + math.Sqrt(mean)
}

// latest is what came within so many of the latest tenths of a second, the present one included.
func (c *rateEstimator) countLatest(tenths int) (all int) {
	for i := range monotime.Micros(tenths) {
		all += c.tenths[(c.latestTenth-i+10)%10]
	}
	return all
}

// rate is what comes a second: by the last second, or by the last third of it where that had more, since what rises is wanted
// before a second is over.
func (c *rateEstimator) recentRate(now monotime.Micros) float64 {
	c.advance(now)
	part := float64(now%(second/10)) / float64(second/10) // of the present tenth that is over
	return math.Max(float64(c.countLatest(10)), float64(c.countLatest(3))/(0.2+0.1*part))
}

// ---- One process in another's place -----------------------------------------

// State is what a process that takes another's place has to know, with ages in place of instants.
type State struct {
	Incarnation uint64          `json:"Life"`
	Sequence    uint64          `json:"Number"`
	Term        lease.Term      `json:"Term"`
	HeldSerial  uint64          `json:"Of"`
	HeldTerm    lease.Term      `json:"OfTerm"`
	Remaining   monotime.Micros `json:"Left"` // of the loan in force
	Age         monotime.Micros `json:"Age"`  // of the process
	Buckets     []BucketState   `json:"Pots"`
}

// PotState is what was lent and spent of one budget.
type BucketState struct {
	Budget string            `json:"Budget"`
	Leased int               `json:"Lent"`
	Spent  []monotime.Micros `json:"Spent"` // how long ago, of each unit of the last second
}

// State returns what the holder holds.
func (h *Lessee) State(now monotime.Micros) *State {
	s := &State{Incarnation: h.incarnation, Sequence: h.sequence, Term: h.term, HeldSerial: h.heldSerial, HeldTerm: h.heldTerm, Remaining: max(0, h.expiresAt-now), Age: now - h.startedAt}
	for name, p := range h.buckets {
		p.dropSpentBefore(now - h.settings.window())
		c := BucketState{Budget: name, Leased: p.leased}
		for _, at := range p.spent {
			c.Spent = append(c.Spent, now-at)
		}
		s.Buckets = append(s.Buckets, c)
	}
	slices.SortFunc(s.Buckets, func(a, b BucketState) int { return strings.Compare(a.Budget, b.Budget) })
	return s
}

// Give leaves all to the process that takes this one's place, and returns what that has to know: from now on nothing is spent
// here. Should nobody take it, Begin with another life goes on.
func (h *Lessee) HandOver(now monotime.Micros) *State {
	s := h.State(now)
	h.active = false
	return s
}

// Restore goes on as another process has left off so long ago.
func (h *Lessee) Restore(now, age monotime.Micros, s *State) {
	age = max(0, age)
	h.active, h.incarnation, h.sequence, h.term, h.heldSerial, h.heldTerm = true, s.Incarnation, s.Sequence, s.Term, s.HeldSerial, s.HeldTerm
	h.expiresAt, h.startedAt = now+s.Remaining-age, now-age-s.Age
	for _, c := range s.Buckets {
		p := h.buckets[c.Budget]
		if p == nil {
			continue // the budget is not this process's: nobody spends what was lent of it
		}
		p.leased, p.spent = c.Leased, p.spent[:0]
		for _, ago := range c.Spent {
			p.spent = append(p.spent, now-age-ago)
		}
	}
}

// Names returns the budgets that the holder knows, in order.
func (h *Lessee) BudgetNames() (all []string) {
	for name := range h.buckets {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
