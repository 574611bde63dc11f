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

// unanswered is after how many periods without an answer all lenders are asked who keeps the book.
const maxUnanswered = 3

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
