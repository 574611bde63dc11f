package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// startDeadlineTimer has an attempt end at its deadline.
func (eng *Engine) startDeadlineTimer(a *Attempt) {
	a.deadlineTimer = eng.schedule(a.Deadline, func(now monotime.Micros) { eng.expireAttempt(now, a) })
}

// scheduleOutcome records an outcome as the next event of the present instant: not from within the balancer.
func (eng *Engine) scheduleOutcome(a *Attempt, status balancer.Status) {
	eng.schedule(eng.now, func(now monotime.Micros) {
		eng.recordOutcome(now, a, AttemptResult{Status: status, ObservedAt: now})
	})
}

// recordOutcome passes the outcome of an attempt to all that learn from it, and to the balancer last, which may start
// the next attempt. The first complete response of an endpoint is the client's. An attempt that has an outcome already
// gets no other one.
func (eng *Engine) recordOutcome(now monotime.Micros, a *Attempt, r AttemptResult) {
	if a.done {
		return
	}
	a.done = true
	eng.config.Host.AbortAttempt(a)
	eng.cancelTimer(a.deadlineTimer)
	c := a.Call
	c.openAttempts--
	c.lastTimedOut = r.Status == balancer.Timeout
	if r.Response != nil {
		c.lastResult = &r
	}
	if !c.finished && r.Status == balancer.OK {
		c.Pool.observeServiceTime(now, c)
		eng.respond(c, Response{Verdict: Served, Result: &r, Endpoint: a.Endpoint.Name})
	}
	responded := c.finished
	eng.removeFinished(c)
	latency := attemptLatency(a, &r)
	stalled := eng.stalls.Within(r.ObservedAt-latency, r.ObservedAt)
	chargedResult := r
	chargedResult.Status = chargedStatus(r.Status, latency, stalled)
	c.Pool.observeOutcome(now, a, chargedResult, latency-stalled)
	if o := eng.config.Observer; o != nil {
		o.AttemptEnded(now, a.Endpoint.Name, r.Status, latency)
	}
	c.Pool.balancer.HandleOutcome(now, balancer.Outcome{
		ID:            c.Request.ID,
		Attempt:       a.Number,
		Endpoint:      a.Endpoint.Number,
		Status:        chargedResult.Status,
		Latency:       latency,
		Stalled:       stalled,
		Answered:      responded,
		NotReplayable: c.NotReplayable != nil && c.NotReplayable(),
		Load:          r.Load,
	})
}

// observeOutcome passes the outcome of an attempt to all parts of the pool that learn from it, but for the balancer.
func (p *Pool) observeOutcome(now monotime.Micros, a *Attempt, r AttemptResult, latency monotime.Micros) {
	p.observeEndpointHealth(now, a.Endpoint, r.Status, latency)
	p.observeOpenAttempts(now, -1)
	p.observeUtilization(a.Endpoint, r.Load)
	p.recordObservation(now, a, r.Status)
	p.observeAttempt(now, a, r, latency)
}

// attemptLatency returns the time from when the request was sent, or else from the attempt's start, to its result.
func attemptLatency(a *Attempt, r *AttemptResult) monotime.Micros {
	return max(0, r.ObservedAt-max(a.StartedAt, r.SentAt))
}

// expireAttempt decides on the outcome of an attempt whose deadline is over: Timeout if a part of it was written. If
// nothing was, it is ConnectFailed after at least Limits.DialTimeout, and NotSent before, since a dial with less time
// is no evidence against the endpoint.
func (eng *Engine) expireAttempt(now monotime.Micros, a *Attempt) {
	if a.done {
		return
	}
	stalled := eng.stalls.Within(a.StartedAt, now)
	status := balancer.Timeout
	if eng.config.Host.CancelUnsent(a) {
		status = balancer.NotSent
		if now-a.StartedAt-stalled >= eng.config.Site.Settings.Limits.DialTimeout {
			status = balancer.ConnectFailed
		}
	} else if !isInconclusive(now-a.StartedAt, stalled) {
		eng.config.Host.AttemptTimedOut(a)
	}
	eng.recordOutcome(now, a, AttemptResult{Status: status, ObservedAt: now})
}

// startResponse gives a response that has started to the client, if the request has none yet, and reports whether it
// did. The request no longer counts as in flight: the rest of the response is transfer, which takes no processor
// time.
func (eng *Engine) startResponse(now monotime.Micros, a *Attempt, r AttemptResult) bool {
	c := a.Call
	if a.done || c.finished {
		return false
	}
	eng.cancelTimer(a.deadlineTimer)
	p := c.Pool
	p.balancer.HandleHeaders(now, c.Request.ID, a.Number, attemptLatency(a, &r)) // ends the other attempts
	p.observeServiceTime(now, c)
	eng.respond(c, Response{Verdict: Served, Result: &r, Endpoint: a.Endpoint.Name})
	p.queue.Done(now, c.Request.ID)
	eng.markDirty(p)
	return true
}

// failRequest responds that a request failed, with the latest response that an endpoint gave.
func (eng *Engine) failRequest(c *Call) {
	verdict := Failed
	if c.lastTimedOut {
		verdict = TimedOut
	}
	eng.respond(c, Response{Verdict: verdict, Result: c.lastResult})
}

// respond gives a request its one final response, after which no attempt of it is started.
func (eng *Engine) respond(c *Call, r Response) {
	r.Attempts = len(c.attempts)
	r.QueueTime = eng.now - c.ArrivedAt
	if c.admittedAt > 0 {
		r.QueueTime = c.admittedAt - c.ArrivedAt
	}
	eng.config.Host.Respond(c, r)
	eng.finishRequest(c)
}

// finishRequest marks a request as finished and cancels attempts of which nothing has been written, also where
// Limits.Cancel is not set: that forbids only to cancel attempts that an endpoint may have received.
func (eng *Engine) finishRequest(c *Call) {
	c.finished = true
	for _, a := range c.attempts {
		if !a.done && eng.config.Host.CancelUnsent(a) {
			eng.scheduleOutcome(a, balancer.NotSent)
		}
	}
	eng.removeFinished(c)
}

// removeFinished removes a finished request from the table once all its attempts have outcomes.
func (eng *Engine) removeFinished(c *Call) {
	if !c.finished || c.openAttempts != 0 || eng.calls[c.Request.ID] != c {
		return
	}
	delete(eng.calls, c.Request.ID)
	delete(c.Client.openCalls, c.ID)
	c.Pool.queue.Done(eng.now, c.Request.ID)
	eng.markDirty(c.Pool)
	c.Pool.openCalls--
	c.Pool.dissolveIfIdle()
}
