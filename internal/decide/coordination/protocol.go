package coordination

import (
	"slices"

	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

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
