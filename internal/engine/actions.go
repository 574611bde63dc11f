package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// actions implements balancer.Actions: it carries out the decisions of one pool's balancer.
type actions struct {
	*Engine
	pool *Pool
}

// Send starts an attempt of a request at an endpoint. The attempt is not sent and ends as NotSent if the
// endpoint is no longer listed, the request has its final response, the attempt's deadline has passed, or the
// request has used up Limits.MaxAttempts. An unknown request ID is ignored.
func (act actions) Send(id uint64, number uint32, timeout monotime.Micros) {
	c := act.calls[id]
	if c == nil {
		return
	}
	now := act.now
	a := act.newAttempt(c, act.pool.byNumber[number], timeout)
	act.pool.observeOpenAttempts(now, 1)
	act.pool.countAttempt(now, a)
	if a.Endpoint == nil {
		a.Endpoint = &Endpoint{Number: number, Target: unknownTarget{}}
		act.scheduleOutcome(a, balancer.NotSent)
		return
	}
	if c.finished || now >= a.Deadline || len(c.attempts) > act.config.Site.Settings.Limits.MaxAttempts {
		act.scheduleOutcome(a, balancer.NotSent)
		return
	}
	act.startDeadlineTimer(a)
	if o := act.config.Observer; o != nil {
		o.AttemptStarted(now, a.Endpoint.Name)
	}
	act.config.Host.StartAttempt(a)
}

// newAttempt adds an attempt to a call. The attempt's deadline is the request's deadline or, with a positive
// timeout, the end of that timeout if it is earlier.
func (act actions) newAttempt(c *Call, e *Endpoint, timeout monotime.Micros) *Attempt {
	a := &Attempt{
		Call:      c,
		Number:    len(c.attempts),
		Endpoint:  e,
		StartedAt: act.now,
		Deadline:  c.Request.Deadline,
	}
	if e != nil {
		a.AddressVersion = e.addressVersion.Load()
	}
	if timeout > 0 {
		a.timeoutAt = act.now + timeout
		a.Deadline = min(a.Deadline, a.timeoutAt)
	}
	a.SendBefore = act.pool.balancer.FirstByteDeadline(c.Request.ID)
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	return a
}

// Reject responds to the client that its request is rejected, which means that retrying it is harmless. A
// retryAfter of 0 gives no advice.
func (act actions) Reject(id uint64, retryAfter monotime.Micros) {
	c := act.calls[id]
	if c == nil || c.finished {
		return
	}
	if len(c.attempts) == 0 {
		act.pool.observeRejection(act.now)
		if o := act.pool.overload; o != nil {
			o.controller.OnRejected(act.now, int(c.Request.Class), true)
		}
	}
	act.respond(c, Response{Verdict: Rejected, RetryAfter: retryAfter, Result: c.forwardableResult()})
}

// Fail responds to the client that its request failed.
func (act actions) Fail(id uint64) {
	if c := act.calls[id]; c != nil && !c.finished {
		act.failRequest(c)
	}
}

// Cancel aborts an attempt. The outcome is NotSent if no byte of the attempt was written, and Cancelled
// otherwise.
func (act actions) Cancel(id uint64, number int) {
	c := act.calls[id]
	if c == nil || number < 0 || number >= len(c.attempts) || c.attempts[number].done {
		return
	}
	a := c.attempts[number]
	status := balancer.Cancelled
	if act.config.Host.CancelUnsent(a) {
		status = balancer.NotSent
	}
	act.config.Host.AbortAttempt(a)
	act.scheduleOutcome(a, status)
}

// SetTimer schedules a call of the balancer's HandleTimer with a token after a delay.
func (act actions) SetTimer(delay monotime.Micros, token uint32) {
	act.schedule(act.now+delay, func(now monotime.Micros) {
		if !act.pool.dissolved {
			act.pool.balancer.HandleTimer(now, token)
		}
	})
}

// Watch starts or stops the watch of the endpoint list at discovery.
func (act actions) Watch(active bool) {
	if !act.pool.sourceReleased {
		act.pool.config.SetWatch(active)
	}
}

// Log records an informational message for on-call staff, with the name of the pool.
func (act actions) Log(message string, args ...any) {
	if act.pool.name != "" {
		args = append(args, "pool", act.pool.name)
	}
	act.config.Host.Log(message, args...)
}
