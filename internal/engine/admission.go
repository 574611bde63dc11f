package engine

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
)

// ConcurrencySettings bound how many requests may be in progress at once.
type ConcurrencySettings struct {
	MaxInFlight int                   // in each pool; 0 is no bound. Not used with Adaptive
	MaxOpen     int                   // in flight and queued, in all pools together; 0 is no bound
	Adaptive    *concurrency.Settings // learns the bound of each pool; the engine sets Classes and Seed
}

// objectiveToServiceTime is how many times its expected service time a class's latency objective is, before any request
// was measured. The balancer's own first estimate is the same.
const objectiveToServiceTime = 5

// minQueueTime is how long a request must have been on its way to the balancer to count as queued: less than that is
// spent between the frontend and the engine.
const minQueueTime = 1000

// initConcurrency makes the pool's fair queue and, where that is to be learned, its concurrency limit.
func (p *Pool) initConcurrency(s ConcurrencySettings, seed uint64) error {
	classes := p.engine.config.Site.Settings.Classes
	expected := make([]monotime.Micros, len(classes))
	for i, class := range classes {
		expected[i] = class.LatencyObjective / objectiveToServiceTime
	}
	maxInFlight := s.MaxInFlight
	if s.Adaptive != nil {
		adaptive := *s.Adaptive
		adaptive.Classes = len(expected)
		adaptive.Seed = seed
		var err error
		if p.concurrency, err = concurrency.New(adaptive); err != nil {
			return err
		}
		maxInFlight = p.concurrency.Limit()
	}
	p.queue = fairqueue.New(fairqueue.Settings{
		InitialTimes: expected,
		MaxInFlight:  maxInFlight,
		Shared:       p.engine.openTotal,
	})
	return nil
}

// enqueue offers a request to the fair queue, unless its tenant is over its limit or overload control sheds it. The
// queue's decisions are carried out by dispatchQueued.
func (p *Pool) enqueue(now monotime.Micros, c *Call) {
	if p.rejectOverLimit(now, c) || p.shed(now, c) {
		return
	}
	class := &p.engine.config.Site.Settings.Classes[c.Request.Class]
	until := c.Request.Deadline
	if class.LateWeight == 0 {
		until = min(until, c.ArrivedAt+class.LatencyObjective)
	}
	p.queue.Enqueue(now, c.Client.account, fairqueue.Request{
		ID:              c.Request.ID,
		Class:           int(c.Request.Class),
		Deadline:        until,
		MaxWaitFraction: p.balancer.QueueWaitFraction(now, c.Request),
	})
	p.engine.markDirty(p)
}

// markDirty notes that decisions of a pool's queue may have become due.
func (x *Engine) markDirty(p *Pool) {
	if !p.dirty {
		p.dirty = true
		x.dirtyPools = append(x.dirtyPools, p)
	}
}

// dispatchQueued carries out all decisions of queues that have become due. It is called once at the end of each event
// and never from within one: what it does may free a slot, which it then looks at again.
func (x *Engine) dispatchQueued(now monotime.Micros) {
	for len(x.dirtyPools) > 0 {
		last := len(x.dirtyPools) - 1
		p := x.dirtyPools[last]
		x.dirtyPools = x.dirtyPools[:last]
		p.dirty = false
		p.dispatchQueued(now)
	}
}

func (p *Pool) dispatchQueued(now monotime.Micros) {
	x := p.engine
	if p.concurrency != nil {
		p.queue.SetMaxInFlight(p.concurrency.Limit())
	}
	for {
		decision, ok := p.queue.Next(now)
		if !ok {
			break
		}
		c := x.calls[decision.ID]
		if decision.Action == fairqueue.Reject {
			x.respond(c, x.rejection(decision))
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

// scheduleQueue has the queue looked at again at the instant from which a queued request cannot be served in time any
// more.
func (p *Pool) scheduleQueue() {
	due := p.queue.NextExpiry()
	if due == p.queueTimerDue {
		return
	}
	x := p.engine
	x.cancelTimer(p.queueTimer)
	p.queueTimer = nil
	p.queueTimerDue = due
	if due == 0 {
		return
	}
	p.queueTimer = x.schedule(due, func(monotime.Micros) {
		p.queueTimerDue = 0
		x.markDirty(p)
	})
}

// rejection returns the response to a request that the queue rejects.
func (x *Engine) rejection(d fairqueue.Decision) Response {
	r := Response{Verdict: Rejected, Reason: d.Reason.String()}
	if d.Reason == fairqueue.ClientOverRate {
		r.Verdict = RateLimited
	}
	limits := &x.config.Site.Settings.Limits
	if limits.RetryAfter && d.RetryAfter > 0 {
		// With jitter, so that clients that were rejected at the same time do not retry at the same time.
		after := monotime.Micros(float64(d.RetryAfter) * (1 + x.rng.Float64()/2))
		r.RetryAfter = min(after, limits.MaxRetryAfter)
	}
	return r
}

// observeServiceTime learns from how long a request took that was served.
func (p *Pool) observeServiceTime(now monotime.Micros, c *Call) {
	took := now - c.admittedAt
	class := int(c.Request.Class)
	p.queue.ObserveServiceTime(class, took)
	if p.concurrency == nil {
		return
	}
	queued, _ := p.queue.Counts()
	limited := queued > 0 || c.admittedAt > c.ArrivedAt+minQueueTime
	p.concurrency.AddSample(now, class, took, c.inFlightAtAdmission, limited)
}

// Counts returns how many of the pool's requests are queued and in flight, and how many may be in flight (0 is no bound
// that is learned).
func (p *Pool) Counts() (queued, inFlight, maxInFlight int) {
	queued, inFlight = p.queue.Counts()
	if p.concurrency != nil {
		maxInFlight = p.concurrency.Limit()
	}
	return queued, inFlight, maxInFlight
}
