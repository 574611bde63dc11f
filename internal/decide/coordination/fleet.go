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
	Self          string
	Candidates    []string // names; a majority of them decides who keeps the book
	Quota         quota.Settings
	LeaseDuration monotime.Micros // how long the one who keeps the book does, without a majority that says so anew
	Seed          uint64
}

// Word is what instances tell one another; one of its parts is set.
type Message struct {
	Lease        *lease.Message             `cbor:"Lease"`
	Request      *quota.LeaseRequest        `cbor:"Ask"`
	Observations *observations.Observations `cbor:"Seen"` // with Ask
	Grant        *quota.Grant               `cbor:"Grant"`
	Aggregate    *observations.Aggregate    `cbor:"All"` // with Grant
}

// Out is a word that is to be told.
type Outgoing struct {
	To      string
	Message Message
}

// Member is one instance. Make one with New; it says nothing, and spends nothing, before Begin or Restore.
type Member struct {
	settings     Settings
	rng          *rand.Rand
	lessee       *quota.Lessee
	voter        *lease.Voter // nil for who is no lender
	allocator    *quota.Allocator
	aggregator   *observations.Aggregator
	jointLevels  map[string]*overload.SharedLevel // levels, by set of endpoints, while it keeps the book
	ownAggregate observations.Aggregate           // that it comes to,
	aggregatedAt monotime.Micros                  // as added up last
	outgoing     []Outgoing

	observe         func(now monotime.Micros) observations.Observations // what it has seen itself; may be nil
	received        observations.Aggregate                              // what all have
	receivedAt      monotime.Micros
	receivedNew     bool // since it was taken last
	nextRequestAt   monotime.Micros
	unansweredSince monotime.Micros // unanswered since then
}

// New returns an instance that has not begun, or the error of settings that make no sense.
func New(s Settings) (*Member, error) {
	m := &Member{settings: s, rng: rand.New(rand.NewPCG(s.Seed, 3)), aggregator: observations.NewAggregator(), jointLevels: map[string]*overload.SharedLevel{}}
	var err error
	if m.lessee, err = quota.NewLessee(s.Quota); err != nil {
		return nil, err
	}
	if m.allocator, err = quota.NewAllocator(s.Quota); err != nil {
		return nil, err
	}
	_, err = lease.New(0, m.leaseSettings(1))
	if m.isCandidate() && err != nil {
		return nil, err
	}
	return m, nil
}

func (m *Member) isCandidate() bool { return slices.Contains(m.settings.Candidates, m.settings.Self) }

func (m *Member) leaseSettings(life uint64) lease.Settings {
	return lease.Settings{Self: m.settings.Self, Incarnation: life, Voters: m.settings.Candidates, Duration: m.settings.LeaseDuration, MaxClockDrift: m.settings.Quota.MaxClockDrift, Seed: m.settings.Seed}
}

// Sees says what tells what the instance has seen itself.
func (m *Member) SetObserver(f func(now monotime.Micros) observations.Observations) { m.observe = f }

// Begin begins the instance's life, as a process that no other is beside. life is a number that no other process of its name
// has had.
func (m *Member) Start(now monotime.Micros, life uint64) {
	m.lessee.Start(now, life)
	m.activate(now, life)
}

// Restore begins in another process's place, with what it had so long ago.
func (m *Member) Restore(now, age monotime.Micros, life uint64, s *quota.State) {
	m.lessee.Restore(now, age, s)
	m.activate(now, life)
}

func (m *Member) activate(now monotime.Micros, life uint64) {
	m.outgoing, m.unansweredSince = nil, now
	m.nextRequestAt = now + m.rng.Int64N(m.settings.Quota.RequestInterval) // all may start at once
	if m.isCandidate() {
		m.voter, _ = lease.New(now, m.leaseSettings(life)) // its settings were taken before
	}
}

// Begun says whether it has begun.
func (m *Member) Active() bool { return m.lessee.Active() }

// Give ends this process's part, for another that takes its place, and returns what that has to know.
func (m *Member) HandOver(now monotime.Micros) *quota.State {
	s := m.lessee.HandOver(now)
	m.Leave(now)
	return s
}

// Leave tells that the process is about to end: the others need not wait until its lease is over.
func (m *Member) Leave(now monotime.Micros) {
	if m.voter != nil {
		m.voter.Resign(now)
		m.queueLeaseMessages()
		m.voter = nil
	}
	m.allocator.Stop()
}

// ---- Budgets ---------------------------------------------------------------

// Budget says what units a second a budget has over all instances; earned says that it is what instances add up to.
func (m *Member) SetBudget(name string, units float64, earned bool) {
	if earned {
		units = 0
	}
	m.lessee.SetBudget(name, units)
	m.allocator.SetBudget(name, units, earned)
}

// Forget forgets a budget.
func (m *Member) RemoveBudget(name string) {
	m.lessee.RemoveBudget(name)
	m.allocator.RemoveBudget(name)
}

// Earn says what units a second this instance adds to a budget, and what all can add by what endpoints report.
func (m *Member) SetContribution(name string, units, ceiling float64) {
	m.lessee.SetContribution(name, units)
	m.allocator.SetCeiling(name, ceiling)
}

// Want notes that a unit is asked for, whether or not there is one.
func (m *Member) RecordDemand(now monotime.Micros, name string) { m.lessee.RecordDemand(now, name) }

// Take spends a unit, and says whether there was one.
func (m *Member) Spend(now monotime.Micros, name string) bool { return m.lessee.Spend(now, name) }

// Left returns how many units may be spent at once.
func (m *Member) Available(now monotime.Micros, name string) int {
	return m.lessee.Available(now, name)
}

// Allowed returns how many units may be spent within the second that ends now.
func (m *Member) Allowed(now monotime.Micros, name string) int { return m.lessee.Allowed(now, name) }

// ---- Words -----------------------------------------------------------------

// Next is when Tick has something to do.
func (m *Member) NextTick() monotime.Micros {
	at := m.nextRequestAt
	if m.voter != nil {
		at = min(at, m.voter.NextTick())
	}
	return at
}

// Out returns what is to be told since it was called last.
func (m *Member) TakeOutgoing() []Outgoing {
	out := m.outgoing
	m.outgoing = nil
	return out
}

// Tick does what is due.
func (m *Member) Tick(now monotime.Micros) {
	if !m.Active() {
		return
	}
	if m.voter != nil {
		m.voter.Tick(now)
		m.queueLeaseMessages()
		m.followLease(now)
	}
	if now >= m.nextRequestAt {
		m.sendRequest(now)
	}
}

// flush takes the voter's words.
func (m *Member) queueLeaseMessages() {
	for _, o := range m.voter.TakeOutgoing() {
		m.outgoing = append(m.outgoing, Outgoing{o.To, Message{Lease: &o.Message}})
	}
}

// keep keeps the book while the lease is held.
func (m *Member) followLease(now monotime.Micros) {
	held, _, yes := m.voter.HeldTerm(now)
	if term, open := m.allocator.ActiveTerm(); open && (!yes || held != term) {
		m.allocator.Stop()
	}
	if _, open := m.allocator.ActiveTerm(); yes && !open {
		m.allocator.Start(now, held)
		m.aggregator, m.ownAggregate, m.aggregatedAt = observations.NewAggregator(), observations.Aggregate{}, now
		clear(m.jointLevels)
	}
}

// unanswered is after how many periods without an answer all lenders are asked who keeps the book.
const maxUnanswered = 3

// ask asks for a loan, and tells what was seen.
func (m *Member) sendRequest(now monotime.Micros) {
	every := m.settings.Quota.RequestInterval
	m.nextRequestAt = now + every - every/16 + m.rng.Int64N(every/8) // not in step
	if len(m.settings.Candidates) == 0 {
		return
	}
	if now-m.unansweredSince > maxUnanswered*every {
		m.lessee.ForgetAllocator()
		m.unansweredSince = now
	}
	a := m.lessee.NewRequest(now)
	w := Message{Request: &a}
	if m.observe != nil {
		seen := m.observe(now)
		w.Observations = &seen
	}
	if a.Term.Holder != "" {
		m.send(now, a.Term.Holder, w)
		return
	}
	for _, name := range m.settings.Candidates {
		m.send(now, name, w)
	}
}

func (m *Member) send(now monotime.Micros, to string, w Message) {
	if to == m.settings.Self {
		m.Receive(now, to, w)
		return
	}
	m.outgoing = append(m.outgoing, Outgoing{to, w})
}

// Hear takes another's word in.
func (m *Member) Receive(now monotime.Micros, from string, w Message) {
	switch {
	case !m.Active():
	case w.Lease != nil && m.voter != nil:
		m.voter.Receive(now, from, *w.Lease)
		m.queueLeaseMessages()
		m.followLease(now)
	case w.Request != nil && m.voter != nil:
		m.followLease(now)
		g, ok := m.allocator.HandleRequest(now, from, *w.Request)
		if !ok {
			return
		}
		answer := Message{Grant: &g}
		if w.Observations != nil {
			m.aggregator.Receive(now, from, *w.Observations)
		}
		if g.Serial != 0 {
			all := m.aggregate(now) // its own copy: it goes on while the sum is made anew
			answer.Aggregate = &all
		}
		m.send(now, from, answer)
	case w.Grant != nil:
		if m.lessee.HandleGrant(now, *w.Grant) {
			m.nextRequestAt = now
		}
		if _, at := m.lessee.KnownAllocator(); at == now {
			m.unansweredSince = now
			if w.Aggregate != nil {
				m.received, m.receivedAt, m.receivedNew = *w.Aggregate, now, true
			}
		}
	}
}

// everything is what all have seen, added up once in a while.
func (m *Member) aggregate(now monotime.Micros) observations.Aggregate {
	if now-m.aggregatedAt >= m.settings.Quota.RequestInterval/4 {
		m.ownAggregate, m.aggregatedAt = m.aggregator.Aggregate(now), now
		m.ownAggregate.Levels = slices.Clone(m.ownAggregate.Levels)
		for i := range m.ownAggregate.Levels {
			l := &m.ownAggregate.Levels[i]
			j := m.jointLevels[l.EndpointSet]
			if j == nil {
				j = overload.NewSharedLevel(now, l.Level)
				m.jointLevels[l.EndpointSet] = j
			}
			l.Level = j.Update(now, l.Requests, l.Failed, l.Load)
		}
	}
	return m.ownAggregate
}

// old is for how many periods what all have seen is taken for what they see.
const aggregateLifetime = 6

// Told returns what all have seen, once each time that it is news; ok is false where nothing new was heard. Where nothing has
// been heard for long it returns nothing as news, once.
func (m *Member) TakeAggregate(now monotime.Micros) (all observations.Aggregate, ok bool) {
	if !m.receivedNew && m.received.Members > 0 && now-m.receivedAt > aggregateLifetime*m.settings.Quota.RequestInterval {
		m.received, m.receivedNew = observations.Aggregate{}, true
	}
	ok, m.receivedNew = m.receivedNew, false
	return m.received, ok
}

// ---- For people --------------------------------------------------------------

// View is what an instance knows of its fleet.
type View struct {
	Active            bool                `json:"Begun"`
	Allocator         string              `json:"Book"`     // who keeps it, as far as is known
	SinceLastGrant    monotime.Micros     `json:"HeardAgo"` // from the book
	LeaseRemaining    monotime.Micros     `json:"Loan"`     // until the loan in force ends; 0 is that there is none
	Budgets           []BudgetStatus      `json:"Shares"`
	Members           int                 `json:"Members"`  // whose words the book has
	RecoveryRemaining monotime.Micros     `json:"Learning"` // keeping the book, until it lends anew; 0 is that it does
	Leases            []quota.LeaseStatus `json:"Loans"`    // if it keeps the book
}

// Share is what an instance may spend of a budget.
type BudgetStatus struct {
	Budget  string `json:"Budget"`
	Allowed int    `json:"Allowed"` // within a second
	Spent   int    `json:"Spent"`   // within the last
}

// View returns what the instance knows.
func (m *Member) View(now monotime.Micros) View {
	term, at := m.lessee.KnownAllocator()
	v := View{Active: m.Active(), Allocator: term.Holder, SinceLastGrant: now - at, Members: m.received.Members}
	if until, _, _, yes := m.lessee.HeldLease(now); yes {
		v.LeaseRemaining = until - now
	}
	for _, name := range m.lessee.BudgetNames() {
		v.Budgets = append(v.Budgets, BudgetStatus{name, m.lessee.Allowed(now, name), m.lessee.Allowed(now, name) - m.lessee.Available(now, name)})
	}
	if _, open := m.allocator.ActiveTerm(); open {
		v.RecoveryRemaining = max(0, m.allocator.RecoveringUntil()-now)
		v.Leases = m.allocator.Leases(now)
	}
	return v
}
