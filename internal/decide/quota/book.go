package quota

import (
	"math"
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Book lends, at whoever holds the fleet's lease. Make one with NewBook; it lends from Begin to End.
type Book struct {
	s       Settings
	budgets map[string]*budget
	names   []string // of them, in order

	term      lease.Term
	open      bool
	learned   monotime.Micros // until then it lends nothing that is not shown to be held
	serial    uint64
	borrowers map[who]*borrower
	order     []*borrower // by name and life
	dividedAt monotime.Micros
	stale     bool // who or what there is has changed since
}

// who is a holder: another life of a name is another holder, and what the one before had is not over with it.
type who struct {
	name string
	life uint64
}

// budget is one that the book knows.
type budget struct {
	units   float64 // a second; of one that is earned what its holders add up to
	earned  bool
	ceiling float64 // of one that is earned, what it is at most by what others report; infinite is no bound
	lent    int     // what all holders are taken to use, counted once in a while: what has ended since counts on
}

// borrower is a holder, as the book knows it.
type borrower struct {
	who
	number  uint64 // of its latest question
	heardAt monotime.Micros
	wants   map[string]Want
	targets map[string]int
	counted map[string]int // as it stands in the budgets' lent
	entries []entry
}

// entry is units that are taken for used until an instant.
type entry struct {
	serial uint64 // 0 is of a loan that the book did not give itself
	units  map[string]int
	until  monotime.Micros
}

// NewBook returns a book that does not lend yet, or a *SettingError.
func NewBook(s Settings) (*Book, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	return &Book{s: s, budgets: map[string]*budget{}, borrowers: map[who]*borrower{}}, nil
}

// Budget says what units a second a budget has over all instances; earned says that it is what holders add up to.
func (b *Book) Budget(name string, units float64, earned bool) {
	x := b.budgets[name]
	if x == nil {
		x = &budget{ceiling: math.Inf(1)}
		b.budgets[name] = x
		b.names = append(b.names, name)
		slices.Sort(b.names)
	}
	if x.earned = earned; !earned {
		x.units = units
	}
	b.stale = true
}

// Ceiling says what a budget that is earned is at most, whatever holders say: what others report of the same.
func (b *Book) Ceiling(name string, units float64) {
	if x := b.budgets[name]; x != nil && x.earned {
		x.ceiling = units
	}
}

// Forget forgets a budget. What is lent of it ends by itself.
func (b *Book) Forget(name string) {
	delete(b.budgets, name)
	for _, x := range b.order {
		delete(x.counted, name) // should it come again, what is lent of it counts anew
	}
	b.names = slices.DeleteFunc(b.names, func(n string) bool { return n == name })
	b.stale = true
}

// Begin begins a term: what a book before it lent is not known, and over after a loan's length.
func (b *Book) Begin(now monotime.Micros, t lease.Term) {
	b.term, b.open, b.serial, b.order = t, true, 0, nil
	clear(b.borrowers)
	for _, x := range b.budgets {
		x.lent = 0
	}
	b.learned = now + b.s.over() + b.s.window()
	b.stale = true
}

// End ends the term: nothing is lent any more.
func (b *Book) End() { b.open = false }

// Open says whether it lends, and in which term.
func (b *Book) Open() (lease.Term, bool) { return b.term, b.open }

// Learning says until when it lends nothing that is not shown to be held.
func (b *Book) Learning() monotime.Micros { return b.learned }

// Hear answers a holder's question; there is no answer to one that is older than another of the same holder.
func (b *Book) Hear(now monotime.Micros, from string, a Ask) (g Grant, ok bool) {
	if !b.open {
		return g, false
	}
	g = Grant{Life: a.Life, Number: a.Number, Term: b.term}
	if a.Term != b.term {
		return g, true // what it shows may have been lent to others since it asked
	}
	id := who{from, a.Life}
	x := b.borrowers[id]
	if x == nil {
		x = &borrower{who: id, targets: map[string]int{}, counted: map[string]int{}}
		b.borrowers[id] = x
		b.order = append(b.order, x)
		slices.SortFunc(b.order, func(p, q *borrower) int {
			if c := strings.Compare(p.name, q.name); c != 0 {
				return c
			}
			return int(min(1, max(-1, float64(p.life)-float64(q.life))))
		})
		b.stale = true
	}
	if a.Number <= x.number {
		return g, false
	}
	x.number, x.heardAt = a.Number, now
	x.wants = map[string]Want{}
	for _, w := range a.Wants {
		x.wants[w.Budget] = w.sound()
	}
	b.shown(now, x, &a)
	b.forget(now)
	if b.stale || now-b.dividedAt >= b.s.Every/4 {
		b.divide(now)
	}
	b.serial++
	g.Serial, g.Length = b.serial, b.s.Length
	units := map[string]int{}
	for _, name := range b.names {
		if n := b.give(now, x, name); n > 0 {
			units[name] = n
			g.Shares = append(g.Shares, Share{name, n})
		}
	}
	x.entries = append(x.entries, entry{b.serial, units, now + b.s.over() + b.s.window()})
	b.count(now, x)
	return g, true
}

// count brings a holder's part of what is lent up to date.
func (b *Book) count(now monotime.Micros, x *borrower) {
	for _, name := range b.names {
		n := x.used(now, name)
		b.budgets[name].lent += n - x.counted[name]
		x.counted[name] = n
	}
}

// sound makes of a want one that can be reckoned with.
func (w Want) sound() Want {
	for _, v := range []*float64{&w.Asked, &w.Used, &w.Earns} {
		if !(*v >= 0) || math.IsInf(*v, 0) {
			*v = 0
		}
	}
	w.Holds = max(0, w.Holds)
	return w
}

// shown takes in what loan a holder shows to be in force: earlier ones are over a second later.
func (b *Book) shown(now monotime.Micros, x *borrower, a *Ask) {
	if a.Of == 0 {
		return // perhaps it has heard of none yet: what it was given ends by itself
	}
	if a.OfTerm != b.term {
		if now >= b.learned {
			return // it was over before this question came
		}
		held := entry{units: map[string]int{}, until: now + b.s.over() + b.s.window()}
		for _, w := range x.wants {
			held.units[w.Budget] = w.Holds
		}
		x.entries = slices.DeleteFunc(x.entries, func(e entry) bool { return e.serial == 0 })
		x.entries = append(x.entries, held)
		return
	}
	for i := range x.entries {
		if e := &x.entries[i]; e.serial < a.Of {
			e.until = min(e.until, now+b.s.window())
		}
	}
}

// forget forgets what is over.
func (b *Book) forget(now monotime.Micros) {
	b.order = slices.DeleteFunc(b.order, func(x *borrower) bool {
		x.entries = slices.DeleteFunc(x.entries, func(e entry) bool { return now >= e.until })
		gone := len(x.entries) == 0 && now-x.heardAt > b.s.over()
		if gone {
			b.count(now, x)
			delete(b.borrowers, x.who)
			b.stale = true
		}
		return gone
	})
}

// used is what of a budget is taken for used by a holder.
func (x *borrower) used(now monotime.Micros, name string) (n int) {
	for i := range x.entries {
		if e := &x.entries[i]; now < e.until {
			n = max(n, e.units[name])
		}
	}
	return n
}

// give returns what a holder is lent of a budget.
func (b *Book) give(now monotime.Micros, x *borrower, name string) int {
	if now < b.learned {
		return min(x.used(now, name), x.wants[name].Holds) // what it holds, and no more
	}
	// What is counted for others may be over by now, and is not less than what they have.
	free := b.lendable(name) - (b.budgets[name].lent - x.counted[name])
	return max(0, min(x.targets[name], free))
}

// lendable is what of a budget can be lent.
func (b *Book) lendable(name string) int {
	x := b.budgets[name]
	if x.earned {
		return int((1 - b.s.Ready) * x.units)
	}
	return b.s.Lendable(x.units)
}

// Loan is what a holder is taken to have of a budget, for people.
type Loan struct {
	Holder string          `json:"Holder"`
	Life   uint64          `json:"Life"`
	Budget string          `json:"Budget"`
	Units  int             `json:"Units"`
	Target int             `json:"Target"` // that it is to have once others have given it back
	Asked  float64         `json:"Asked"`
	Until  monotime.Micros `json:"Until"` // nobody else has it before then
	Heard  monotime.Micros `json:"Heard"` // from the holder
}

// Loans returns all loans.
func (b *Book) Loans(now monotime.Micros) (all []Loan) {
	if !b.open {
		return nil
	}
	for _, x := range b.order {
		for _, name := range b.names {
			l := Loan{Holder: x.name, Life: x.life, Budget: name, Units: x.used(now, name), Target: x.targets[name], Asked: x.wants[name].Asked, Heard: x.heardAt}
			for _, e := range x.entries {
				if e.units[name] > 0 {
					l.Until = max(l.Until, e.until)
				}
			}
			if l.Units > 0 || l.Asked > 0 {
				all = append(all, l)
			}
		}
	}
	return all
}
