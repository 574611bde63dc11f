package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// outcome tells the balancer how an attempt ended. The first whole answer of an endpoint is the client's.
func (x *Engine) recordOutcome(now monotime.Micros, a *Attempt, r AttemptResult) {
	if a.done {
		return // its time was up before this came
	}
	a.done = true
	x.config.Host.AbortAttempt(a)
	x.cancelTimer(a.deadlineTimer)
	c := a.Call
	c.openAttempts--
	c.lastTimedOut = r.Status == balancer.Timeout
	if r.Response != nil {
		c.lastResult = &r
	}
	switch {
	case c.finished:
	case r.Status == balancer.OK:
		c.Pool.observeServiceTime(now, c)
		x.respond(c, Response{Verdict: Served, Result: &r, Endpoint: a.Endpoint.Name})
	}
	settled := c.finished
	x.removeFinished(c)
	latency := max(0, r.At-max(a.StartedAt, r.SentAt))
	c.Pool.observeEndpointHealth(now, a.Endpoint, r.Status, latency)
	c.Pool.observeLoad(now, -1)
	c.Pool.observeUtilization(a.Endpoint, r.Load)
	c.Pool.recordObservation(now, a, r.Status)
	c.Pool.observeAttempt(now, a, r, latency)
	if o := x.config.Observer; o != nil {
		o.AttemptEnded(now, a.Endpoint.Name, r.Status, latency)
	}
	c.Pool.balancer.Outcome(now, balancer.Outcome{ID: c.Request.ID, Attempt: a.Number, Endpoint: a.Endpoint.Number,
		Status: r.Status, Latency: latency, Settled: settled, Spent: c.NotReplayable != nil && c.NotReplayable(), Load: r.Load})
}

// timeUp ends an attempt by our clock, whatever its connection does.
func (x *Engine) expireAttempt(now monotime.Micros, a *Attempt) {
	if a.done {
		return
	}
	status := balancer.Timeout
	if x.config.Host.CancelUnsent(a) {
		// Nothing was written. Only a dial that had its whole time says something of the endpoint.
		if status = balancer.Moot; now-a.StartedAt >= x.config.Site.Settings.Limits.DialTimeout {
			status = balancer.ConnectFailed
		}
	} else {
		x.config.Host.AttemptTimedOut(a)
	}
	x.recordOutcome(now, a, AttemptResult{Status: status, At: now})
}

// began gives an answer that has begun to the client, if the request has none yet.
func (x *Engine) startResponse(now monotime.Micros, a *Attempt, r AttemptResult) bool {
	c := a.Call
	if a.done || c.finished {
		return false
	}
	x.cancelTimer(a.deadlineTimer)
	p := c.Pool
	p.balancer.Headers(now, c.Request.ID, a.Number, max(0, r.At-max(a.StartedAt, r.SentAt))) // ends the others
	p.observeServiceTime(now, c)
	x.respond(c, Response{Verdict: Served, Result: &r, Endpoint: a.Endpoint.Name})
	// Its place is free for the next: what is left is bytes, and they wait for nobody's processor.
	p.queue.Done(now, c.Request.ID)
	x.markDirty(p)
	return true
}

// fail gives a request the answer that it failed, with what an endpoint said last.
func (x *Engine) failRequest(c *Call) {
	v := Failed
	if c.lastTimedOut {
		v = TimedOut
	}
	x.respond(c, Response{Verdict: v, Result: c.lastResult})
}

// finish gives a request its one final answer; nothing new goes out for it.
func (x *Engine) respond(c *Call, a Response) {
	a.Attempts, a.QueueTime = len(c.attempts), x.now-c.ArrivedAt
	if c.admittedAt > 0 {
		a.QueueTime = c.admittedAt - c.ArrivedAt
	}
	x.config.Host.Respond(c, a)
	x.finishRequest(c)
}

// end marks a request as over and keeps in what has not gone out yet. What is kept in has ended, whether or not attempts may be
// withdrawn that run: nobody waits for its connection any more, and nothing is held for it.
func (x *Engine) finishRequest(c *Call) {
	c.finished = true
	for _, a := range c.attempts {
		if !a.done && x.config.Host.CancelUnsent(a) {
			x.schedule(x.now, func(now monotime.Micros) { x.recordOutcome(now, a, AttemptResult{Status: balancer.Moot, At: now}) })
		}
	}
	x.removeFinished(c)
}

// forget drops a request that is over once all its outcomes are in.
func (x *Engine) removeFinished(c *Call) {
	if c.finished && c.openAttempts == 0 && x.calls[c.Request.ID] == c {
		delete(x.calls, c.Request.ID)
		delete(c.Client.openCalls, c.ID)
		c.Pool.queue.Done(x.now, c.Request.ID)
		x.markDirty(c.Pool)
		c.Pool.openCalls--
		c.Pool.dissolveIfIdle()
	}
}
