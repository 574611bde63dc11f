package quota

import (
	"math"
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Holder spends what an instance may. Make one with NewHolder; it spends nothing before Begin or Restore.
type Holder struct {
	s     Settings
	life  uint64
	born  monotime.Micros // what another process of this name spent before it was is over a second later
	begun bool            // it may spend: no other process has its place
	pots  map[string]*pot

	number uint64
	asked  [asksKept]sent // when questions went out, by number
	term   lease.Term     // of the book, as told last
	of     uint64         // the loan in force
	ofTerm lease.Term
	until  monotime.Micros // it ends
	heard  monotime.Micros // when the latest answer came
}

// asksKept is how many questions may be unanswered before the oldest is forgotten.
const asksKept = 16

type sent struct {
	number uint64
	at     monotime.Micros
}

// pot is what is known of one budget.
type pot struct {
	least  int
	lent   int
	spent  []monotime.Micros // instants of units within the last second, the oldest first
	asked  counter
	used   counter
	earned float64
}

// NewHolder returns the holder of a process that has just started, or a *SettingError.
func NewHolder(s Settings) (*Holder, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Holder{s: s, pots: map[string]*pot{}}, nil
}

// Begin has it begin, without a loan, as a process that no other is beside. Nobody knows what a process of its name that was
// killed has spent a moment ago: for a second there is nothing.
func (h *Holder) Begin(now monotime.Micros, life uint64) {
	h.begun, h.life, h.born, h.of, h.until = true, life, now, 0, 0
	h.asked = [asksKept]sent{}
}

// Begun says whether it may spend.
func (h *Holder) Begun() bool { return h.begun }

// Budget says what units a second a budget has over all instances. Of one that is earned it is 0: nothing of it is held ready.
func (h *Holder) Budget(name string, units float64) {
	p := h.pots[name]
	if p == nil {
		p = &pot{}
		h.pots[name] = p
	}
	p.least = h.s.Least(units)
}

// Forget forgets a budget.
func (h *Holder) Forget(name string) { delete(h.pots, name) }

// Earn says what units a second this instance adds to a budget that is earned.
func (h *Holder) Earn(name string, units float64) {
	if p := h.pots[name]; p != nil {
		p.earned = units
	}
}

// Allowed returns how many units may be spent within the second that ends now.
func (h *Holder) Allowed(now monotime.Micros, name string) int {
	p := h.pots[name]
	if p == nil || !h.begun {
		return 0
	}
	n := 0
	if now >= h.born+h.s.window() {
		n = p.least
	}
	if now < h.until {
		n += p.lent
	}
	return n
}

// Left returns how many units may be spent at once.
func (h *Holder) Left(now monotime.Micros, name string) int {
	p := h.pots[name]
	if p == nil {
		return 0
	}
	p.slide(now - h.s.window())
	return max(0, h.Allowed(now, name)-len(p.spent))
}

// slide forgets what was spent so long ago.
func (p *pot) slide(since monotime.Micros) {
	n := 0
	for n < len(p.spent) && p.spent[n] <= since {
		n++
	}
	if n > 0 {
		p.spent = append(p.spent[:0], p.spent[n:]...)
	}
}

// Want notes that a unit is asked for, whether or not there is one.
func (h *Holder) Want(now monotime.Micros, name string) {
	if p := h.pots[name]; p != nil {
		p.asked.add(now)
	}
}

// Take spends a unit, and says whether there was one.
func (h *Holder) Take(now monotime.Micros, name string) bool {
	if h.Left(now, name) == 0 {
		return false
	}
	p := h.pots[name]
	p.spent = append(p.spent, now)
	p.used.add(now)
	return true
}

// Loan returns the loan in force: until when it is, who lent it and its serial; no if there is none.
func (h *Holder) Loan(now monotime.Micros) (until monotime.Micros, by lease.Term, serial uint64, yes bool) {
	if !h.begun || h.of == 0 || now >= h.until {
		return 0, lease.Term{}, 0, false
	}
	return h.until, h.ofTerm, h.of, true
}

// Book returns the term of the book as told last, and when it was heard from.
func (h *Holder) Book() (lease.Term, monotime.Micros) { return h.term, h.heard }

// Ask returns a question that goes out now.
func (h *Holder) Ask(now monotime.Micros) Ask {
	h.number++
	h.asked[h.number%asksKept] = sent{h.number, now}
	a := Ask{Life: h.life, Number: h.number, Term: h.term}
	if _, _, _, lent := h.Loan(now); lent {
		a.Of, a.OfTerm = h.of, h.ofTerm
	}
	for name, p := range h.pots {
		w := Want{Budget: name, Asked: p.asked.wanted(now), Used: p.used.rate(now), Earns: p.earned}
		if a.Of != 0 {
			w.Holds = p.lent
		}
		a.Wants = append(a.Wants, w)
	}
	slices.SortFunc(a.Wants, func(a, b Want) int { return strings.Compare(a.Budget, b.Budget) })
	return a
}

// Hear takes an answer in. It says whether a question should go out at once: the book is another than was asked, or has to
// know that less is in force now.
func (h *Holder) Hear(now monotime.Micros, g Grant) (again bool) {
	q := h.asked[g.Number%asksKept]
	if g.Life != h.life || !h.begun || q.number != g.Number || g.Number == 0 {
		return false
	}
	if g.Serial == 0 {
		again = h.term != g.Term && g.Number == h.number
		if again {
			h.term = g.Term
		}
		return again
	}
	until := q.at + min(g.Length, h.s.Length)
	if g.Term != h.term || g.Term == h.ofTerm && g.Serial <= h.of || until <= h.until && h.of != 0 || now >= until {
		return false // an earlier one than what is in force, or over already
	}
	h.of, h.ofTerm, h.until, h.heard = g.Serial, g.Term, until, now
	for _, p := range h.pots {
		was := p.lent
		p.lent = 0
		for _, s := range g.Shares {
			if s.Units > 0 && h.pots[s.Budget] == p {
				p.lent = s.Units
			}
		}
		again = again || p.lent < was
	}
	return again
}

// Lost forgets who the book is, so that all who could be it are asked.
func (h *Holder) Lost() { h.term = lease.Term{} }

// counter counts what came within the last second, by tenths, and over some seconds.
type counter struct {
	parts [10]int
	head  monotime.Micros
	slow  float64 // what came, each counting less the longer it is ago
	at    monotime.Micros
}

// slowly is over how long the slow mean goes.
const slowly = 2 * second

func (c *counter) slide(now monotime.Micros) {
	part := now / (second / 10)
	if part-c.head >= 10 {
		clear(c.parts[:])
		c.head = part
	}
	for c.head < part {
		c.head++
		c.parts[c.head%10] = 0
	}
}

func (c *counter) add(now monotime.Micros) {
	c.slide(now)
	c.parts[c.head%10]++
	c.decay(now)
	c.slow++
}

func (c *counter) decay(now monotime.Micros) {
	c.slow *= math.Exp(-float64(now-c.at) / float64(slowly))
	c.at = now
}

// wanted is how many units a second are worth having: the mean of some seconds and what chance adds to that, since a second in which
// fewer are asked for says nothing of the next; or the rate of late, where that is beyond chance.
func (c *counter) wanted(now monotime.Micros) float64 {
	c.decay(now)
	mean := c.slow * float64(second) / float64(slowly)
	fast := c.rate(now)
	if fast > mean+3*math.Sqrt(mean)+1 {
		return fast
	}
	for _, tenths := range [...]int{5, 10} {
		of, late := mean*float64(tenths)/10, float64(c.latest(tenths))
		if late < of-2*math.Sqrt(of)-1 {
			mean = late * 10 / float64(tenths) // what was before is over
			c.slow = mean * float64(slowly) / float64(second)
			break
		}
	}
	return mean + math.Sqrt(mean)
}

// latest is what came within so many of the latest tenths of a second, the present one included.
func (c *counter) latest(tenths int) (all int) {
	for i := range monotime.Micros(tenths) {
		all += c.parts[(c.head-i+10)%10]
	}
	return all
}

// rate is what comes a second: by the last second, or by the last third of it where that had more, since what rises is wanted
// before a second is over.
func (c *counter) rate(now monotime.Micros) float64 {
	c.slide(now)
	part := float64(now%(second/10)) / float64(second/10) // of the present tenth that is over
	return math.Max(float64(c.latest(10)), float64(c.latest(3))/(0.2+0.1*part))
}

// ---- One process in another's place -----------------------------------------

// State is what a process that takes another's place has to know, with ages in place of instants.
type State struct {
	Life   uint64          `json:"Life"`
	Number uint64          `json:"Number"`
	Term   lease.Term      `json:"Term"`
	Of     uint64          `json:"Of"`
	OfTerm lease.Term      `json:"OfTerm"`
	Left   monotime.Micros `json:"Left"` // of the loan in force
	Age    monotime.Micros `json:"Age"`  // of the process
	Pots   []PotState      `json:"Pots"`
}

// PotState is what was lent and spent of one budget.
type PotState struct {
	Budget string            `json:"Budget"`
	Lent   int               `json:"Lent"`
	Spent  []monotime.Micros `json:"Spent"` // how long ago, of each unit of the last second
}

// State returns what the holder holds.
func (h *Holder) State(now monotime.Micros) *State {
	s := &State{Life: h.life, Number: h.number, Term: h.term, Of: h.of, OfTerm: h.ofTerm, Left: max(0, h.until-now), Age: now - h.born}
	for name, p := range h.pots {
		p.slide(now - h.s.window())
		c := PotState{Budget: name, Lent: p.lent}
		for _, at := range p.spent {
			c.Spent = append(c.Spent, now-at)
		}
		s.Pots = append(s.Pots, c)
	}
	slices.SortFunc(s.Pots, func(a, b PotState) int { return strings.Compare(a.Budget, b.Budget) })
	return s
}

// Give leaves all to the process that takes this one's place, and returns what that has to know: from now on nothing is spent
// here. Should nobody take it, Begin with another life goes on.
func (h *Holder) Give(now monotime.Micros) *State {
	s := h.State(now)
	h.begun = false
	return s
}

// Restore goes on as another process has left off so long ago.
func (h *Holder) Restore(now, age monotime.Micros, s *State) {
	age = max(0, age)
	h.begun, h.life, h.number, h.term, h.of, h.ofTerm = true, s.Life, s.Number, s.Term, s.Of, s.OfTerm
	h.until, h.born = now+s.Left-age, now-age-s.Age
	for _, c := range s.Pots {
		p := h.pots[c.Budget]
		if p == nil {
			continue // the budget is not this process's: nobody spends what was lent of it
		}
		p.lent, p.spent = c.Lent, p.spent[:0]
		for _, ago := range c.Spent {
			p.spent = append(p.spent, now-age-ago)
		}
	}
}

// Names returns the budgets that the holder knows, in order.
func (h *Holder) Names() (all []string) {
	for name := range h.pots {
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
