package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// This file gives requests their final responses.

// respondToSuccess gives a request its final response after a successful attempt: the endpoint's response, or a
// failure if that response may not be forwarded.
func (eng *Engine) respondToSuccess(a *Attempt, r *AttemptResult) {
	if !mayForward(a.Call, a.Number, r) {
		eng.respond(a.Call, Response{Verdict: Failed})
		return
	}
	eng.respond(a.Call, Response{Verdict: Served, Result: r, Endpoint: a.Endpoint.Name})
}

// mayForward reports whether the response in the result of an attempt may be the final response of the call. A
// response that promises that a retry is harmless would be untrue for the request if another attempt may have run.
func mayForward(c *Call, attemptNumber int, r *AttemptResult) bool {
	return !r.PromisesHarmlessRetry || c.Pool.balancer.MayForwardRejection(c.Request.ID, attemptNumber)
}

// startResponse makes a response that has started the client's final response, and reports whether it did. It does
// not if the request already has a final response, or if this one may not be forwarded (mayForward). The request no
// longer counts as in flight: only the transfer of the response is left, which takes no processor time.
func (eng *Engine) startResponse(now monotime.Micros, a *Attempt, r AttemptResult) bool {
	c := a.Call
	if a.done || c.finished || !mayForward(c, a.Number, &r) {
		return false
	}
	eng.cancelTimer(a.deadlineTimer)
	p := c.Pool
	p.balancer.HandleHeaders(now, c.Request.ID, a.Number, attemptLatency(a, &r)) // cancels the other attempts
	p.observeServiceTime(now, c)
	eng.respond(c, Response{Verdict: Served, Result: &r, Endpoint: a.Endpoint.Name})
	p.queue.done(now, c)
	eng.markDirty(p)
	return true
}

// failRequest responds that a request failed or timed out, with the latest response that an endpoint gave if that
// may be forwarded. A request fails with an attempt in flight only at its deadline, where its timer may fire before
// the one of the attempt.
func (eng *Engine) failRequest(c *Call) {
	verdict := Failed
	if c.lastTimedOut || c.openAttempts > 0 {
		verdict = TimedOut
	}
	eng.respond(c, Response{Verdict: verdict, Result: c.forwardableResult()})
}

// forwardableResult returns the latest result that carries an endpoint's response, or nil if there is none or its
// response may not be forwarded (mayForward).
func (c *Call) forwardableResult() *AttemptResult {
	if c.lastResult == nil || !mayForward(c, c.lastResultAttempt, c.lastResult) {
		return nil
	}
	return c.lastResult
}

// respond gives a request its final response. No attempt of the request starts after it.
func (eng *Engine) respond(c *Call, r Response) {
	r.Attempts = len(c.attempts)
	r.QueueTime = eng.now - c.ArrivedAt
	if c.admittedAt > 0 {
		r.QueueTime = c.admittedAt - c.ArrivedAt
	}
	eng.config.Host.Respond(c, r)
	eng.finishRequest(c)
}

// finishRequest marks a request as finished and cancels its attempts of which nothing has been written. It does
// so even if Limits.Cancel is not set, because that setting only forbids cancelling attempts that an endpoint
// may have received.
func (eng *Engine) finishRequest(c *Call) {
	c.finished = true
	for _, a := range c.attempts {
		if !a.done && eng.config.Host.CancelUnsent(a) {
			eng.scheduleOutcome(a, balancer.NotSent)
		}
	}
	eng.removeFinished(c)
}

// removeFinished removes a finished request from the request table once all its attempts have outcomes.
func (eng *Engine) removeFinished(c *Call) {
	if !c.finished || c.openAttempts != 0 || eng.calls[c.Request.ID] != c {
		return
	}
	delete(eng.calls, c.Request.ID)
	delete(c.Client.openCalls, c.ID)
	eng.reserveAbandoned(c)
	c.Pool.queue.done(eng.now, c)
	eng.markDirty(c.Pool)
	c.Pool.openCalls--
	c.Pool.dissolveIfIdle()
}
