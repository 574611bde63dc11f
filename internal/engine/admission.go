package engine

import (
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
)

// Sharing says how many requests may go on together.
type ConcurrencySettings struct {
	MaxInFlight int                   // in flight at once in each pool; 0 is no bound. With Adaptive it is not used
	MaxOpen     int                   // in flight and waiting, in all pools together; 0 is no bound
	Adaptive    *concurrency.Settings // learns how many may be in flight in each pool; its Classes are filled in
}

// share makes the decisions between clients.
func (p *Pool) initConcurrency(s ConcurrencySettings, seed uint64) error {
	expect := make([]monotime.Micros, len(p.engine.config.Site.Settings.Classes))
	for i, class := range p.engine.config.Site.Settings.Classes {
		expect[i] = class.Aim / 5 // as the balancer's own first guess
	}
	if s.Adaptive != nil {
		l := *s.Adaptive
		l.Classes, l.Seed = len(expect), seed
		var err error
		if p.concurrency, err = concurrency.New(l); err != nil {
			return err
		}
		s.MaxInFlight = p.concurrency.Limit()
	}
	p.queue = fairqueue.New(fairqueue.Settings{InitialTimes: expect, MaxInFlight: s.MaxInFlight, Shared: p.engine.openTotal})
	return nil
}

// offer asks whether a call may go on. What the decision is shows in pump.
func (p *Pool) enqueue(now monotime.Micros, c *Call) {
	if p.rejectOverLimit(now, c) || p.shed(now, c) {
		return
	}
	class := &p.engine.config.Site.Settings.Classes[c.Request.Class]
	until := c.Request.Deadline
	if class.LateWorth == 0 {
		until = min(until, c.ArrivedAt+class.Aim)
	}
	p.queue.Enqueue(now, c.Client.account, fairqueue.Request{ID: c.Request.ID, Class: int(c.Request.Class), Deadline: until, MaxWaitFraction: p.balancer.Patience(now, c.Request)})
	p.engine.markDirty(p)
}

// touch notes that decisions between a pool's clients may have become due.
func (x *Engine) markDirty(p *Pool) {
	if !p.dirty {
		p.dirty = true
		x.dirtyPools = append(x.dirtyPools, p)
	}
}

// pump carries out the decisions between clients that have become due. It is called once after each event and
// never from within one: what it does may free a place, which its next turn sees.
func (x *Engine) dispatchQueued(now monotime.Micros) {
	for len(x.dirtyPools) > 0 {
		p := x.dirtyPools[len(x.dirtyPools)-1]
		x.dirtyPools = x.dirtyPools[:len(x.dirtyPools)-1]
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
		d, ok := p.queue.Next(now)
		if !ok {
			break
		}
		c := x.calls[d.ID]
		if d.Action == fairqueue.Reject {
			x.respond(c, x.rejection(d))
			continue
		}
		_, inFlight := p.queue.Counts()
		c.admittedAt, c.inFlightAtAdmission, c.Request.Waited = now, inFlight, now-c.ArrivedAt
		p.balancer.Request(now, c.Request)
	}
	// Whoever waits is looked at again when no answer could be in time any more.
	if at := p.queue.NextExpiry(); at != p.queueTimerDue {
		x.cancelTimer(p.queueTimer)
		if p.queueTimer, p.queueTimerDue = nil, at; at != 0 {
			p.queueTimer = x.schedule(at, func(monotime.Micros) {
				p.queueTimerDue = 0
				x.markDirty(p)
			})
		}
	}
}

// turnedAway is the answer to a request that is not admitted.
func (x *Engine) rejection(d fairqueue.Decision) Response {
	a := Response{Verdict: Rejected, Reason: d.Reason.String()}
	if d.Reason == fairqueue.ClientOverRate {
		a.Verdict = RateLimited
	}
	limits := &x.config.Site.Settings.Limits
	if limits.RetryAfter && d.RetryAfter > 0 {
		// Spread, so that those turned away together do not return together.
		after := monotime.Micros(float64(d.RetryAfter) * (1 + x.rng.Float64()/2))
		a.RetryAfter = min(after, limits.MaxRetryAfter)
	}
	return a
}

// learn takes in what a request that was served tells of how long such take.
func (p *Pool) observeServiceTime(now monotime.Micros, c *Call) {
	took := now - c.admittedAt
	p.queue.ObserveServiceTime(int(c.Request.Class), took)
	if p.concurrency != nil {
		waiting, _ := p.queue.Counts()
		p.concurrency.AddSample(now, int(c.Request.Class), took, c.inFlightAtAdmission, waiting > 0 || c.admittedAt > c.ArrivedAt+minQueueTime)
	}
}

// waitedLeast is how long a request must have been on its way to the balancer to count as one that waited for its
// turn: less is the way from its front.
const minQueueTime = 1000

// Counts returns how many of the pool's requests wait and are in flight, and how many may be (0 is no bound that is
// learned).
func (p *Pool) Counts() (waiting, inFlight, slots int) {
	waiting, inFlight = p.queue.Counts()
	if p.concurrency != nil {
		slots = p.concurrency.Limit()
	}
	return waiting, inFlight, slots
}
