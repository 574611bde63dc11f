// Package coordination is what one instance says to the others of its fleet, and takes of what they say: it puts together who holds
// the fleet's one lease (package lease), what each may spend of the fleet's budgets (package quota) and what all have seen
// (package observations). A few instances, the lenders, are named in all files; the one that holds the lease keeps the book, all ask
// it for loans once in a while, and tell it with that what they have seen. Nothing waits for any of it: whoever is not answered
// goes on with what it holds, and then with its least. It is a deterministic state machine for one caller at a time: no I/O, no
// clock, chance by a seed. It may not know how words are carried, or whom.
package coordination

import (
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Settings are the same for all instances of a fleet, but for Self and Seed.
type Settings struct {
	Self    string
	Lenders []string // names; a majority of them decides who keeps the book
	Loans   quota.Settings
	Lease   monotime.Micros // how long the one who keeps the book does, without a majority that says so anew
	Seed    uint64
}

// Word is what instances tell one another; one of its parts is set.
type Word struct {
	Lease *lease.Message             `cbor:"Lease"`
	Ask   *quota.LeaseRequest        `cbor:"Ask"`
	Seen  *observations.Observations `cbor:"Seen"` // with Ask
	Grant *quota.Grant               `cbor:"Grant"`
	All   *observations.Aggregate    `cbor:"All"` // with Grant
}

// Out is a word that is to be told.
type Out struct {
	To   string
	Word Word
}

// Member is one instance. Make one with New; it says nothing, and spends nothing, before Begin or Restore.
type Member struct {
	s      Settings
	rng    *rand.Rand
	holder *quota.Lessee
	voter  *lease.Voter // nil for who is no lender
	book   *quota.Allocator
	sum    *observations.Aggregator
	joint  map[string]*overload.SharedLevel // levels, by set of endpoints, while it keeps the book
	all    observations.Aggregate           // that it comes to,
	allAt  monotime.Micros                  // as added up last
	out    []Out

	seen   func(now monotime.Micros) observations.Observations // what it has seen itself; may be nil
	told   observations.Aggregate                              // what all have
	toldAt monotime.Micros
	news   bool // since it was taken last
	askAt  monotime.Micros
	since  monotime.Micros // unanswered since then
}

// New returns an instance that has not begun, or the error of settings that make no sense.
func New(s Settings) (*Member, error) {
	m := &Member{s: s, rng: rand.New(rand.NewPCG(s.Seed, 3)), sum: observations.NewAggregator(), joint: map[string]*overload.SharedLevel{}}
	var err error
	if m.holder, err = quota.NewLessee(s.Loans); err != nil {
		return nil, err
	}
	if m.book, err = quota.NewAllocator(s.Loans); err != nil {
		return nil, err
	}
	_, err = lease.New(0, m.lease(1))
	if m.lends() && err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Member) lends() bool { return slices.Contains(m.s.Lenders, m.s.Self) }

func (m *Member) lease(life uint64) lease.Settings {
	return lease.Settings{Self: m.s.Self, Incarnation: life, Voters: m.s.Lenders, Duration: m.s.Lease, MaxClockDrift: m.s.Loans.MaxClockDrift, Seed: m.s.Seed}
}

// Sees says what tells what the instance has seen itself.
func (m *Member) Sees(f func(now monotime.Micros) observations.Observations) { m.seen = f }

// Begin begins the instance's life, as a process that no other is beside. life is a number that no other process of its name
// has had.
func (m *Member) Begin(now monotime.Micros, life uint64) {
	m.holder.Start(now, life)
	m.begin(now, life)
}

// Restore begins in another process's place, with what it had so long ago.
func (m *Member) Restore(now, age monotime.Micros, life uint64, s *quota.State) {
	m.holder.Restore(now, age, s)
	m.begin(now, life)
}

func (m *Member) begin(now monotime.Micros, life uint64) {
	m.out, m.since = nil, now
	m.askAt = now + m.rng.Int64N(m.s.Loans.RequestInterval) // all may start at once
	if m.lends() {
		m.voter, _ = lease.New(now, m.lease(life)) // its settings were taken before
	}
}

// Begun says whether it has begun.
func (m *Member) Begun() bool { return m.holder.Active() }

// Give ends this process's part, for another that takes its place, and returns what that has to know.
func (m *Member) Give(now monotime.Micros) *quota.State {
	s := m.holder.HandOver(now)
	m.Leave(now)
	return s
}

// Leave tells that the process is about to end: the others need not wait until its lease is over.
func (m *Member) Leave(now monotime.Micros) {
	if m.voter != nil {
		m.voter.Resign(now)
		m.flush()
		m.voter = nil
	}
	m.book.Stop()
}

// ---- Budgets ---------------------------------------------------------------

// Budget says what units a second a budget has over all instances; earned says that it is what instances add up to.
func (m *Member) Budget(name string, units float64, earned bool) {
	if earned {
		units = 0
	}
	m.holder.SetBudget(name, units)
	m.book.SetBudget(name, units, earned)
}

// Forget forgets a budget.
func (m *Member) Forget(name string) {
	m.holder.RemoveBudget(name)
	m.book.RemoveBudget(name)
}

// Earn says what units a second this instance adds to a budget, and what all can add by what endpoints report.
func (m *Member) Earn(name string, units, ceiling float64) {
	m.holder.SetContribution(name, units)
	m.book.SetCeiling(name, ceiling)
}

// Want notes that a unit is asked for, whether or not there is one.
func (m *Member) Want(now monotime.Micros, name string) { m.holder.RecordDemand(now, name) }

// Take spends a unit, and says whether there was one.
func (m *Member) Take(now monotime.Micros, name string) bool { return m.holder.Spend(now, name) }

// Left returns how many units may be spent at once.
func (m *Member) Left(now monotime.Micros, name string) int { return m.holder.Available(now, name) }

// Allowed returns how many units may be spent within the second that ends now.
func (m *Member) Allowed(now monotime.Micros, name string) int { return m.holder.Allowed(now, name) }

// ---- Words -----------------------------------------------------------------

// Next is when Tick has something to do.
func (m *Member) Next() monotime.Micros {
	at := m.askAt
	if m.voter != nil {
		at = min(at, m.voter.NextTick())
	}
	return at
}

// Out returns what is to be told since it was called last.
func (m *Member) Out() []Out {
	out := m.out
	m.out = nil
	return out
}

// Tick does what is due.
func (m *Member) Tick(now monotime.Micros) {
	if !m.Begun() {
		return
	}
	if m.voter != nil {
		m.voter.Tick(now)
		m.flush()
		m.keep(now)
	}
	if now >= m.askAt {
		m.ask(now)
	}
}

// flush takes the voter's words.
func (m *Member) flush() {
	for _, o := range m.voter.TakeOutgoing() {
		m.out = append(m.out, Out{o.To, Word{Lease: &o.Message}})
	}
}

// keep keeps the book while the lease is held.
func (m *Member) keep(now monotime.Micros) {
	held, _, yes := m.voter.HeldTerm(now)
	if term, open := m.book.ActiveTerm(); open && (!yes || held != term) {
		m.book.Stop()
	}
	if _, open := m.book.ActiveTerm(); yes && !open {
		m.book.Start(now, held)
		m.sum, m.all, m.allAt = observations.NewAggregator(), observations.Aggregate{}, now
		clear(m.joint)
	}
}

// unanswered is after how many periods without an answer all lenders are asked who keeps the book.
const unanswered = 3

// ask asks for a loan, and tells what was seen.
func (m *Member) ask(now monotime.Micros) {
	every := m.s.Loans.RequestInterval
	m.askAt = now + every - every/16 + m.rng.Int64N(every/8) // not in step
	if len(m.s.Lenders) == 0 {
		return
	}
	if now-m.since > unanswered*every {
		m.holder.ForgetAllocator()
		m.since = now
	}
	a := m.holder.NewRequest(now)
	w := Word{Ask: &a}
	if m.seen != nil {
		seen := m.seen(now)
		w.Seen = &seen
	}
	if a.Term.Holder != "" {
		m.tell(now, a.Term.Holder, w)
		return
	}
	for _, name := range m.s.Lenders {
		m.tell(now, name, w)
	}
}

func (m *Member) tell(now monotime.Micros, to string, w Word) {
	if to == m.s.Self {
		m.Hear(now, to, w)
		return
	}
	m.out = append(m.out, Out{to, w})
}

// Hear takes another's word in.
func (m *Member) Hear(now monotime.Micros, from string, w Word) {
	switch {
	case !m.Begun():
	case w.Lease != nil && m.voter != nil:
		m.voter.Receive(now, from, *w.Lease)
		m.flush()
		m.keep(now)
	case w.Ask != nil && m.voter != nil:
		m.keep(now)
		g, ok := m.book.HandleRequest(now, from, *w.Ask)
		if !ok {
			return
		}
		answer := Word{Grant: &g}
		if w.Seen != nil {
			m.sum.Receive(now, from, *w.Seen)
		}
		if g.Serial != 0 {
			all := m.everything(now) // its own copy: it goes on while the sum is made anew
			answer.All = &all
		}
		m.tell(now, from, answer)
	case w.Grant != nil:
		if m.holder.HandleGrant(now, *w.Grant) {
			m.askAt = now
		}
		if _, at := m.holder.KnownAllocator(); at == now {
			m.since = now
			if w.All != nil {
				m.told, m.toldAt, m.news = *w.All, now, true
			}
		}
	}
}

// everything is what all have seen, added up once in a while.
func (m *Member) everything(now monotime.Micros) observations.Aggregate {
	if now-m.allAt >= m.s.Loans.RequestInterval/4 {
		m.all, m.allAt = m.sum.Aggregate(now), now
		m.all.Levels = slices.Clone(m.all.Levels)
		for i := range m.all.Levels {
			l := &m.all.Levels[i]
			j := m.joint[l.EndpointSet]
			if j == nil {
				j = overload.NewSharedLevel(now, l.Level)
				m.joint[l.EndpointSet] = j
			}
			l.Level = j.Update(now, l.Requests, l.Failed, l.Load)
		}
	}
	return m.all
}

// old is for how many periods what all have seen is taken for what they see.
const old = 6

// Told returns what all have seen, once each time that it is news; ok is false where nothing new was heard. Where nothing has
// been heard for long it returns nothing as news, once.
func (m *Member) Told(now monotime.Micros) (all observations.Aggregate, ok bool) {
	if !m.news && m.told.Members > 0 && now-m.toldAt > old*m.s.Loans.RequestInterval {
		m.told, m.news = observations.Aggregate{}, true
	}
	ok, m.news = m.news, false
	return m.told, ok
}

// ---- For people --------------------------------------------------------------

// View is what an instance knows of its fleet.
type View struct {
	Begun    bool                `json:"Begun"`
	Book     string              `json:"Book"`     // who keeps it, as far as is known
	HeardAgo monotime.Micros     `json:"HeardAgo"` // from the book
	Loan     monotime.Micros     `json:"Loan"`     // until the loan in force ends; 0 is that there is none
	Shares   []Share             `json:"Shares"`
	Members  int                 `json:"Members"`  // whose words the book has
	Learning monotime.Micros     `json:"Learning"` // keeping the book, until it lends anew; 0 is that it does
	Loans    []quota.LeaseStatus `json:"Loans"`    // if it keeps the book
}

// Share is what an instance may spend of a budget.
type Share struct {
	Budget  string `json:"Budget"`
	Allowed int    `json:"Allowed"` // within a second
	Spent   int    `json:"Spent"`   // within the last
}

// View returns what the instance knows.
func (m *Member) View(now monotime.Micros) View {
	term, at := m.holder.KnownAllocator()
	v := View{Begun: m.Begun(), Book: term.Holder, HeardAgo: now - at, Members: m.told.Members}
	if until, _, _, yes := m.holder.HeldLease(now); yes {
		v.Loan = until - now
	}
	for _, name := range m.holder.BudgetNames() {
		v.Shares = append(v.Shares, Share{name, m.holder.Allowed(now, name), m.holder.Allowed(now, name) - m.holder.Available(now, name)})
	}
	if _, open := m.book.ActiveTerm(); open {
		v.Learning = max(0, m.book.RecoveringUntil()-now)
		v.Loans = m.book.Leases(now)
	}
	return v
}
