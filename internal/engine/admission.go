package engine

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
)

// ConcurrencySettings bound how many requests may be open at once.
type ConcurrencySettings struct {
	MaxInFlight int                   // requests in flight in each pool; 0 is no bound. Not used with Adaptive
	MaxOpen     int                   // requests in flight and queued, in all pools together; 0 is no bound
	Adaptive    *concurrency.Settings // the bound of each pool is learned; the engine sets Classes and Seed
}

// objectiveToServiceTime is the ratio of a class's latency objective to its expected service time until a request was
// measured. The balancer's own initial estimate has the same ratio.
const objectiveToServiceTime = 5

// initConcurrency makes the pool's fair queue and, with ConcurrencySettings.Adaptive, its learned concurrency limit.
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
	p.queue = fairqueue.New(fairqueue.Settings{
		InitialTimes: expectedTimes,
		MaxInFlight:  maxInFlight,
		Shared:       p.engine.openTotal,
	})
	return nil
}

// enqueue decides whether a new request is queued: not if its tenant is over its limit (rejectOverLimit), nor if
// overload control sheds it (shed). The fair queue then rejects it, or admits it now or later (package fairqueue), by
// the instant after which its answer is of no use: its deadline, or the end of its latency objective if its class
// gives late answers no weight. dispatchQueued carries that decision out.
func (p *Pool) enqueue(now monotime.Micros, c *Call) {
	if p.rejectOverLimit(now, c) || p.shed(now, c) {
		return
	}
	class := &p.engine.config.Site.Settings.Classes[c.Request.Class]
	usefulUntil := c.Request.Deadline
	if class.LateWeight == 0 {
		usefulUntil = min(usefulUntil, c.ArrivedAt+class.LatencyObjective)
	}
	p.queue.Enqueue(now, c.Client.account, fairqueue.Request{
		ID:              c.Request.ID,
		Class:           int(c.Request.Class),
		Deadline:        usefulUntil,
		MaxWaitFraction: p.balancer.QueueWaitFraction(now, c.Request),
	})
	p.engine.markDirty(p)
}

// markDirty notes that decisions of a pool's queue may have become due.
func (eng *Engine) markDirty(p *Pool) {
	if !p.dirty {
		p.dirty = true
		eng.dirtyPools = append(eng.dirtyPools, p)
	}
}

// dispatchQueued carries out all decisions of queues that are due. It is called once at the end of each event, and
// never from within one: a decision may free a slot, and with that make further decisions due.
func (eng *Engine) dispatchQueued(now monotime.Micros) {
	for len(eng.dirtyPools) > 0 {
		last := len(eng.dirtyPools) - 1
		p := eng.dirtyPools[last]
		eng.dirtyPools = eng.dirtyPools[:last]
		p.dirty = false
		p.dispatchQueued(now)
	}
}

// dispatchQueued carries out the due decisions of the pool's queue, at the concurrency limit in force.
func (p *Pool) dispatchQueued(now monotime.Micros) {
	eng := p.engine
	if p.concurrency != nil {
		p.queue.SetMaxInFlight(p.concurrency.Limit())
	}
	for {
		decision, ok := p.queue.Next(now)
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
	_, inFlight := p.queue.Counts()
	c.admittedAt = now
	c.inFlightAtAdmission = inFlight
	c.Request.QueueTime = now - c.ArrivedAt
	p.balancer.HandleRequest(now, c.Request)
}

// scheduleQueue sets the timer for the instant from which a queued request cannot be answered in time any more, and
// must be rejected.
func (p *Pool) scheduleQueue() {
	due := p.queue.NextExpiry()
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

// retryAfterJitterDivisor bounds the random part of a Retry-After: up to a half of it is added, so that clients that
// were rejected at the same time do not retry at the same time.
const retryAfterJitterDivisor = 2

// rejection returns the response to a request that the queue rejects. Its Retry-After is the queue's estimate of when
// there is capacity, with jitter, and at most Limits.MaxRetryAfter.
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

// minQueueTime is the time from a request's arrival to its admission from which it counts as queued. Less than that
// passes between frontend and engine without any queue.
const minQueueTime = monotime.Millisecond

// observeServiceTime learns from the time that a served request was in flight: the queue its class's service time,
// and the concurrency limiter whether the limit can grow. limited is set if the limit kept a request waiting
// meanwhile. A time in which this process has stalled is not known, and is left out.
func (p *Pool) observeServiceTime(now monotime.Micros, c *Call) {
	serviceTime := now - c.admittedAt
	if p.engine.stalls.Within(c.admittedAt, now) > 0 {
		return
	}
	class := int(c.Request.Class)
	p.queue.ObserveServiceTime(class, serviceTime)
	if p.concurrency == nil {
		return
	}
	queued, _ := p.queue.Counts()
	limitReached := queued > 0 || c.admittedAt > c.ArrivedAt+minQueueTime
	p.concurrency.AddSample(now, class, serviceTime, c.inFlightAtAdmission, limitReached)
}

// Counts returns how many of the pool's requests are queued and in flight, and the learned limit of those in flight,
// lowered while a measurement runs; 0 if the limit is not learned.
func (p *Pool) Counts() (queued, inFlight, maxInFlight int) {
	queued, inFlight = p.queue.Counts()
	if p.concurrency != nil {
		maxInFlight = p.concurrency.Limit()
	}
	return queued, inFlight, maxInFlight
}
