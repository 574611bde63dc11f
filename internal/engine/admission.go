package engine

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
)

// ConcurrencySettings limit the number of requests that may be open at once.
type ConcurrencySettings struct {
	MaxInFlight int // limit of requests in flight in each pool; 0 is no limit. Ignored with Adaptive
	MaxOpen     int // limit of requests queued and in flight in all pools together; 0 is no limit
	// Adaptive makes each pool learn its limit of requests in flight; nil uses MaxInFlight. The engine sets
	// Adaptive.Classes and Adaptive.Seed.
	Adaptive *concurrency.Settings
}

// objectiveToServiceTime is the ratio of a class's latency objective to the service time that is assumed until
// a request of the class has been measured. The balancer's own initial estimate uses the same ratio.
const objectiveToServiceTime = 5

// initConcurrency creates the pool's fair queue and, with ConcurrencySettings.Adaptive, its limiter that learns
// the concurrency limit.
func (p *Pool) initConcurrency(s ConcurrencySettings, seed uint64) error {
	classes := p.engine.config.Site.Settings.Classes
	expectedTimes := make([]monotime.Micros, len(classes))
	for i, class := range classes {
		expectedTimes[i] = class.LatencyObjective / objectiveToServiceTime
	}
	maxInFlight := s.MaxInFlight
	if s.Adaptive != nil {
		adaptive := *s.Adaptive
		adaptive.Classes = len(expectedTimes)
		adaptive.Seed = seed
		var err error
		if p.concurrency, err = concurrency.New(adaptive); err != nil {
			return err
		}
		maxInFlight = p.concurrency.Limit()
	}
	p.queue = newAdmissionQueue(maxInFlight, fairqueue.Settings{
		InitialTimes: expectedTimes,
		Shared:       p.engine.openTotal,
	})
	return nil
}

// enqueue adds a new request to the pool's fair queue unless its tenant is over its limit (rejectOverLimit) or
// overload control rejects it (shed). The queue (package fairqueue) admits it now or later, or rejects it if it
// cannot be served before the instant from which its response is of no use: its deadline or, if late responses
// have no weight in its class, the end of its latency objective. dispatchQueued carries out the queue's
// decision.
func (p *Pool) enqueue(now monotime.Micros, c *Call) {
	if p.rejectOverLimit(now, c) || p.shed(now, c) {
		return
	}
	class := &p.engine.config.Site.Settings.Classes[c.Request.Class]
	usefulUntil := c.Request.Deadline
	if class.LateWeight == 0 {
		usefulUntil = min(usefulUntil, c.ArrivedAt+class.LatencyObjective)
	}
	p.queue.enqueue(now, c, usefulUntil, p.balancer.QueueWaitFraction(now, c.Request))
	p.engine.markDirty(p)
}

// markDirty records that decisions of a pool's queue may have become due, so that dispatchQueued checks the
// pool.
func (eng *Engine) markDirty(p *Pool) {
	if !p.dirty {
		p.dirty = true
		eng.dirtyPools = append(eng.dirtyPools, p)
	}
}

// dispatchQueued carries out all due decisions of the queues of all pools. It is called once at the end of each
// event, never while an event is being handled. It loops because a decision may free a slot, which can make
// further decisions due.
func (eng *Engine) dispatchQueued(now monotime.Micros) {
	for len(eng.dirtyPools) > 0 {
		last := len(eng.dirtyPools) - 1
		p := eng.dirtyPools[last]
		eng.dirtyPools = eng.dirtyPools[:last]
		p.dirty = false
		p.dispatchQueued(now)
	}
}

// dispatchQueued carries out the due decisions of the pool's queue, at the current concurrency limit.
func (p *Pool) dispatchQueued(now monotime.Micros) {
	eng := p.engine
	if p.concurrency != nil {
		p.queue.maxInFlight = p.concurrency.Limit()
	}
	for {
		decision, ok := p.queue.next(now)
		if !ok {
			break
		}
		c := eng.calls[decision.ID]
		if decision.Action == fairqueue.Reject {
			eng.respond(c, eng.rejection(decision))
			continue
		}
		p.admit(now, c)
	}
	p.scheduleQueue()
}

// admit passes a request from the queue to the balancer.
func (p *Pool) admit(now monotime.Micros, c *Call) {
	_, inFlight := p.queue.counts()
	c.admittedAt = now
	c.inFlightAtAdmission = inFlight
	c.Request.QueueTime = now - c.ArrivedAt
	p.balancer.HandleRequest(now, c.Request)
}

// scheduleQueue sets the timer for the earliest instant at which a queued request can no longer be served in
// time and must be rejected.
func (p *Pool) scheduleQueue() {
	due := p.queue.nextExpiry()
	if due == p.queueTimerDue {
		return
	}
	eng := p.engine
	eng.cancelTimer(p.queueTimer)
	p.queueTimer = nil
	p.queueTimerDue = due
	if due == 0 {
		return
	}
	p.queueTimer = eng.schedule(due, func(monotime.Micros) {
		p.queueTimerDue = 0
		eng.markDirty(p)
	})
}

// retryAfterJitterDivisor limits the random addition to a Retry-After to one half of it, so that clients that
// were rejected at the same time do not retry at the same time.
const retryAfterJitterDivisor = 2

// rejection returns the response to a request that the queue rejects. Its Retry-After is the queue's estimate
// of the time until capacity is available, with jitter, and at most Limits.MaxRetryAfter.
func (eng *Engine) rejection(decision fairqueue.Decision) Response {
	r := Response{Verdict: Rejected, Reason: decision.Reason.String()}
	if decision.Reason == fairqueue.ClientOverRate {
		r.Verdict = RateLimited
	}
	limits := &eng.config.Site.Settings.Limits
	if limits.RetryAfter && decision.RetryAfter > 0 {
		retryAfter := monotime.Micros(float64(decision.RetryAfter) * (1 + eng.rng.Float64()/retryAfterJitterDivisor))
		r.RetryAfter = min(retryAfter, limits.MaxRetryAfter)
	}
	return r
}

// minQueueTime is the minimum time from a request's arrival to its admission that counts as queueing. A request
// takes up to this time from the frontend to the engine even if the queue is empty.
const minQueueTime = monotime.Millisecond

// observeServiceTime updates learned estimates from the time that a served request was in flight: the queue's
// service time of its class, and the concurrency limit. limitReached is set if other requests are queued or
// this one was, so that the limit may be too low. A request during which this process stalled is skipped, since
// its service time is unknown, and so is an upload, whose time depends on its client.
func (p *Pool) observeServiceTime(now monotime.Micros, c *Call) {
	serviceTime := now - c.admittedAt
	if c.Request.Upload || p.engine.stalls.Within(c.admittedAt, now) > 0 {
		return
	}
	class := int(c.Request.Class)
	p.queue.requests.ObserveServiceTime(class, serviceTime)
	if p.concurrency == nil {
		return
	}
	queued, _ := p.queue.counts()
	limitReached := queued > 0 || c.admittedAt > c.ArrivedAt+minQueueTime
	p.concurrency.AddSample(now, class, serviceTime, c.inFlightAtAdmission, limitReached)
}

// RequestCounts returns the number of the pool's requests that are queued and in flight, and the learned limit of
// requests in flight, which is lowered while the limiter runs a measurement. The limit is 0 if it is not
// learned.
func (p *Pool) RequestCounts() (queued, inFlight, maxInFlight int) {
	queued, inFlight = p.queue.counts()
	if p.concurrency != nil {
		maxInFlight = p.concurrency.Limit()
	}
	return queued, inFlight, maxInFlight
}
