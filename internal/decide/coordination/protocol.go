package coordination

import (
	"slices"

	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

// NextTick returns when Tick must be called next.
func (m *Member) NextTick() monotime.Micros {
	at := m.nextRequestAt
	if m.voter != nil {
		at = min(at, m.voter.NextTick())
	}
	return at
}

// Tick performs the actions that are due at now: the voter's rounds, and sending the next lease request.
func (m *Member) Tick(now monotime.Micros) {
	if !m.Active() {
		return
	}
	if m.voter != nil {
		m.voter.Tick(now)
		m.queueLeaseMessages()
		m.syncAllocatorWithLease(now)
	}
	if now >= m.nextRequestAt {
		m.sendRequest(now)
	}
}

// TakeOutgoing returns the messages to send that were queued since its last call.
func (m *Member) TakeOutgoing() []Outgoing {
	taken := m.outgoing
	m.outgoing = nil
	return taken
}

// send queues a message to another instance. A message to this instance itself is handled at once.
func (m *Member) send(now monotime.Micros, to string, message Message) {
	if to == m.settings.Self {
		m.Receive(now, to, message)
		return
	}
	m.outgoing = append(m.outgoing, Outgoing{to, message})
}

// queueLeaseMessages moves the voter's outgoing messages to this member's queue.
func (m *Member) queueLeaseMessages() {
	for _, o := range m.voter.TakeOutgoing() {
		m.outgoing = append(m.outgoing, Outgoing{o.To, Message{Lease: &o.Message}})
	}
}

// syncAllocatorWithLease starts the allocator if this instance has won the lease. It stops the allocator if the lease
// was lost, and restarts it if the lease was won in another term. A started allocator is in recovery and has no
// observations.
func (m *Member) syncAllocatorWithLease(now monotime.Micros) {
	held, _, holds := m.voter.HeldTerm(now)
	if term, active := m.allocator.ActiveTerm(); active && (!holds || held != term) {
		m.allocator.Stop()
	}
	if _, active := m.allocator.ActiveTerm(); holds && !active {
		m.allocator.Start(now, held)
		m.aggregator = observations.NewAggregator()
		m.ownAggregate = observations.Aggregate{}
		m.aggregatedAt = now
		clear(m.sharedLevels)
	}
}

// maxUnansweredIntervals is the time without a grant, in request intervals, after which a request is sent to all
// candidates.
const maxUnansweredIntervals = 3

// requestJitterDivisor determines the jitter of the time between two requests: it varies over a range of this fraction
// (one eighth) of the request interval, centered on the interval. Without jitter the instances' requests would
// synchronize.
const requestJitterDivisor = 8

// sendRequest sends a lease request to the allocator, or to all candidates if the allocator is not known or has not
// replied for maxUnansweredIntervals request intervals. It also sets the time of the next request.
func (m *Member) sendRequest(now monotime.Micros) {
	interval := m.settings.Quota.RequestInterval
	m.nextRequestAt = now + interval - interval/(2*requestJitterDivisor) + m.rng.Int64N(interval/requestJitterDivisor)
	if len(m.settings.Candidates) == 0 {
		return
	}
	if now-m.unansweredSince > maxUnansweredIntervals*interval {
		m.lessee.ForgetAllocator()
		m.unansweredSince = now
	}
	request := m.lessee.NewRequest(now)
	message := Message{Request: &request}
	if m.observe != nil {
		observed := m.observe(now)
		message.Observations = &observed
	}
	if allocator := request.Term.Holder; allocator != "" {
		m.send(now, allocator, message)
		return
	}
	for _, name := range m.settings.Candidates {
		m.send(now, name, message)
	}
}

// Receive handles a message from an instance. Messages are ignored before Start or Restore, and after HandOver.
// Election messages and lease requests are ignored unless this instance is a candidate.
func (m *Member) Receive(now monotime.Micros, from string, message Message) {
	switch {
	case !m.Active():
	case message.Lease != nil && m.voter != nil:
		m.voter.Receive(now, from, *message.Lease)
		m.queueLeaseMessages()
		m.syncAllocatorWithLease(now)
	case message.Request != nil && m.voter != nil:
		m.handleRequest(now, from, message)
	case message.Grant != nil:
		m.handleGrant(now, message)
	}
}

// handleRequest handles a lease request if this instance is the allocator: it passes the observations to the aggregator
// and replies with a grant.
func (m *Member) handleRequest(now monotime.Micros, from string, message Message) {
	m.syncAllocatorWithLease(now)
	grant, ok := m.allocator.HandleRequest(now, from, *message.Request)
	if !ok {
		return
	}
	reply := Message{Grant: &grant}
	if message.Observations != nil {
		m.aggregator.Receive(now, from, *message.Observations)
	}
	if grant.Serial != 0 {
		aggregate := m.aggregate(now) // copied because ownAggregate may change before the message is sent
		reply.Aggregate = &aggregate
	}
	m.send(now, from, reply)
}

// handleGrant handles the reply to a lease request. The aggregate in the reply is used only if its lease was accepted.
func (m *Member) handleGrant(now monotime.Micros, message Message) {
	if m.lessee.HandleGrant(now, *message.Grant) {
		m.nextRequestAt = now
	}
	if _, lastGrantAt := m.lessee.KnownAllocator(); lastGrantAt != now {
		return
	}
	m.unansweredSince = now
	if message.Aggregate != nil {
		m.receivedAggregate = *message.Aggregate
		m.aggregateReceivedAt = now
		m.aggregateUnread = true
	}
}

// aggregationsPerInterval limits how often the allocator computes the aggregate within a request interval. Replies
// between two computations contain the earlier aggregate.
const aggregationsPerInterval = 4

// aggregate returns the aggregate of all instances' observations. Its admission level for each endpoint set is the
// fleet's shared level (overload.SharedLevel) instead of the mean of the instances' levels.
func (m *Member) aggregate(now monotime.Micros) observations.Aggregate {
	if now-m.aggregatedAt < m.settings.Quota.RequestInterval/aggregationsPerInterval {
		return m.ownAggregate
	}
	m.ownAggregate = m.aggregator.TakeAggregate(now)
	m.aggregatedAt = now
	m.ownAggregate.Levels = slices.Clone(m.ownAggregate.Levels)
	for i := range m.ownAggregate.Levels {
		level := &m.ownAggregate.Levels[i]
		sharedLevel := m.sharedLevels[level.EndpointSet]
		if sharedLevel == nil {
			sharedLevel = overload.NewSharedLevel(now, level.Level)
			m.sharedLevels[level.EndpointSet] = sharedLevel
		}
		level.Level = sharedLevel.Update(now, level.Requests, level.Failed, level.Load)
	}
	return m.ownAggregate
}
