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

// delayRandomStream selects the random number stream of this package's delays. It keeps them independent of the lease
// voter's delays, which use the same seed.
const delayRandomStream = 3

// Member represents this process's instance in the fleet. Create one with New. It sends no messages and spends no units
// before Start or Restore. It is not safe for concurrent use.
type Member struct {
	settings Settings
	rng      *rand.Rand
	outgoing []Outgoing
	voter    *lease.Voter // nil if this instance is not a candidate, or not active

	// The state of this instance as a lessee.
	lessee              *quota.Lessee
	observe             func(now monotime.Micros) observations.Observations // observer of this instance; may be nil
	receivedAggregate   observations.Aggregate                              // latest aggregate from the allocator
	aggregateReceivedAt monotime.Micros
	aggregateUnread     bool            // receivedAggregate has changed since the latest TakeAggregate
	nextRequestAt       monotime.Micros // when to send the next lease request
	unansweredSince     monotime.Micros // when the latest grant arrived, or the allocator was last forgotten

	// The state of this instance as the allocator.
	allocator    *quota.Allocator
	aggregator   *observations.Aggregator
	sharedLevels map[string]*overload.SharedLevel // the fleet's shared admission levels, keyed by endpoint set
	ownAggregate observations.Aggregate           // the aggregate that was computed at aggregatedAt
	aggregatedAt monotime.Micros
}

// New returns a member that is not started. The error is a *setting.Error if a setting is out of range.
func New(s Settings) (*Member, error) {
	m := &Member{
		settings:     s,
		rng:          rand.New(rand.NewPCG(s.Seed, delayRandomStream)),
		aggregator:   observations.NewAggregator(),
		sharedLevels: map[string]*overload.SharedLevel{},
	}
	var err error
	if m.lessee, err = quota.NewLessee(s.Quota); err != nil {
		return nil, err
	}
	if m.allocator, err = quota.NewAllocator(s.Quota); err != nil {
		return nil, err
	}
	if !m.isCandidate() {
		return m, nil
	}
	if _, err := lease.New(0, m.leaseSettings(1)); err != nil {
		return nil, err
	}
	return m, nil
}

// isCandidate reports whether this instance may be the allocator.
func (m *Member) isCandidate() bool { return slices.Contains(m.settings.Candidates, m.settings.Self) }

// leaseSettings returns the settings of this instance's voter.
func (m *Member) leaseSettings(incarnation uint64) lease.Settings {
	return lease.Settings{
		Self:          m.settings.Self,
		Incarnation:   incarnation,
		Voters:        m.settings.Candidates,
		Duration:      m.settings.LeaseDuration,
		MaxClockDrift: m.settings.Quota.MaxClockDrift,
		Seed:          m.settings.Seed,
	}
}

// SetObserver sets the function that returns this instance's observations. The member calls it before it sends a
// lease request. The function may call SetContribution and SetBudget.
func (m *Member) SetObserver(observe func(now monotime.Micros) observations.Observations) {
	m.observe = observe
}

// Start starts an instance whose process has no predecessor. The incarnation must be different from the incarnations of
// all earlier processes with the same name.
func (m *Member) Start(now monotime.Micros, incarnation uint64) {
	m.lessee.Start(now, incarnation)
	m.activate(now, incarnation)
}

// Restore starts an instance whose process is the successor of another, with the state that the predecessor handed
// over. age is the time since that state was taken.
func (m *Member) Restore(now, age monotime.Micros, incarnation uint64, s *quota.State) {
	m.lessee.Restore(now, age, s)
	m.activate(now, incarnation)
}

// activate lets the instance send requests and, if it is a candidate, take part in elections.
func (m *Member) activate(now monotime.Micros, incarnation uint64) {
	m.outgoing = nil
	m.unansweredSince = now
	// All instances may start at the same time, so their first requests are spread over one request interval.
	m.nextRequestAt = now + m.rng.Int64N(m.settings.Quota.RequestInterval)
	if m.isCandidate() {
		m.voter, _ = lease.New(now, m.leaseSettings(incarnation)) // the function New has validated the settings
	}
}

// Active reports whether the instance is started and has not handed over to a successor.
func (m *Member) Active() bool { return m.lessee.Active() }

// HandOver deactivates this process and returns the state for its successor.
func (m *Member) HandOver(now monotime.Micros) *quota.State {
	s := m.lessee.HandOver(now)
	m.resign(now)
	return s
}

// resign ends the allocator's lease, if this process holds it, so that another candidate can win the lease before it
// would expire. It is called before the process ends.
func (m *Member) resign(now monotime.Micros) {
	if m.voter != nil {
		m.voter.Resign(now)
		m.queueLeaseMessages()
		m.voter = nil
	}
	m.allocator.Stop()
}

// SetBudget sets the units a second that all instances together may spend of a budget. It adds the budget if it is new.
// For a contributed budget, units is ignored: its size is the sum of the instances' contributions.
func (m *Member) SetBudget(name string, units float64, contributed bool) {
	if contributed {
		units = 0
	}
	m.lessee.SetBudget(name, units)
	m.allocator.SetBudget(name, units, contributed)
}

// RemoveBudget removes a budget. None of its units may be spent from now on.
func (m *Member) RemoveBudget(name string) {
	m.lessee.RemoveBudget(name)
	m.allocator.RemoveBudget(name)
}

// SetContribution sets the units a second that this instance adds to a contributed budget. ceiling is the upper bound
// of the whole budget, in units a second, which has an effect only while this instance is the allocator.
func (m *Member) SetContribution(name string, units, ceiling float64) {
	m.lessee.SetContribution(name, units)
	m.allocator.SetCeiling(name, ceiling)
}

// RecordDemand counts one unit of demand for a budget, whether or not a unit is available.
func (m *Member) RecordDemand(now monotime.Micros, name string) { m.lessee.RecordDemand(now, name) }

// Spend spends a unit of a budget, and reports whether one was available.
func (m *Member) Spend(now monotime.Micros, name string) bool { return m.lessee.Spend(now, name) }

// Available returns the units of a budget that may be spent at now.
func (m *Member) Available(now monotime.Micros, name string) int {
	return m.lessee.Available(now, name)
}

// Allowed returns the units of a budget that may be spent within the second that ends at now.
func (m *Member) Allowed(now monotime.Micros, name string) int { return m.lessee.Allowed(now, name) }

// aggregateLifetime is the time for which a received aggregate is valid, in request intervals.
const aggregateLifetime = 6

// TakeAggregate returns the latest aggregate of all instances' observations. changed reports whether the aggregate
// differs from the one that the previous call returned. When an aggregate expires, it is replaced by the zero value,
// which is reported as changed once.
func (m *Member) TakeAggregate(now monotime.Micros) (aggregate observations.Aggregate, changed bool) {
	lifetime := aggregateLifetime * m.settings.Quota.RequestInterval
	if !m.aggregateUnread && m.receivedAggregate.Reporters > 0 && now-m.aggregateReceivedAt > lifetime {
		m.receivedAggregate = observations.Aggregate{}
		m.aggregateUnread = true
	}
	changed = m.aggregateUnread
	m.aggregateUnread = false
	return m.receivedAggregate, changed
}
