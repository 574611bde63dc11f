package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// actions carries out what the balancer of a pool decides (balancer.Actions).
type actions struct {
	*Engine
	pool *Pool
}

// Send starts an attempt of a request at an endpoint. An attempt that must not be sent any more ends as NotSent: its
// request has a response, its endpoint has gone, its deadline is over, or it has had all its attempts.
func (x actions) Send(id uint64, number uint32, timeout monotime.Micros) {
	c := x.calls[id]
	if c == nil {
		return
	}
	now := x.now
	a := x.newAttempt(c, x.pool.byNumber[number], timeout)
	x.pool.observeLoad(now, 1)
	x.pool.countAttempt(now, a)
	if a.Endpoint == nil {
		a.Endpoint = &Endpoint{Number: number, Target: unknownTarget{}}
		x.scheduleOutcome(a, balancer.NotSent)
		return
	}
	if c.finished || now >= a.Deadline || len(c.attempts) > x.config.Site.Settings.Limits.MaxAttempts {
		x.scheduleOutcome(a, balancer.NotSent)
		return
	}
	x.startDeadlineTimer(a)
	if o := x.config.Observer; o != nil {
		o.AttemptStarted(now, a.Endpoint.Name)
	}
	x.config.Host.StartAttempt(a)
}

// newAttempt adds an attempt to a call. It ends by the request's deadline, and after a timeout unless that is 0.
func (x actions) newAttempt(c *Call, e *Endpoint, timeout monotime.Micros) *Attempt {
	a := &Attempt{
		Call:      c,
		Number:    len(c.attempts),
		Endpoint:  e,
		StartedAt: x.now,
		Deadline:  c.Request.Deadline,
	}
	if timeout > 0 {
		a.timeoutAt = x.now + timeout
		a.Deadline = min(a.Deadline, a.timeoutAt)
	}
	a.SendBefore = x.pool.balancer.FirstByteDeadline(c.Request.ID)
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	return a
}

// Reject rejects a request: a retry by the client is harmless.
func (x actions) Reject(id uint64, retryAfter monotime.Micros) {
	c := x.calls[id]
	if c == nil || c.finished {
		return
	}
	if len(c.attempts) == 0 {
		x.pool.observeRejection(x.now)
		if o := x.pool.overload; o != nil {
			o.control.OnRejected(x.now, int(c.Request.Class), true)
		}
	}
	x.respond(c, Response{Verdict: Rejected, RetryAfter: retryAfter, Result: c.lastResult})
}

// Fail responds to a client that its request failed.
func (x actions) Fail(id uint64) {
	if c := x.calls[id]; c != nil && !c.finished {
		x.failRequest(c)
	}
}

// Cancel aborts an attempt. Its outcome is NotSent if nothing of it was written, and Cancelled otherwise.
func (x actions) Cancel(id uint64, number int) {
	c := x.calls[id]
	if c == nil || number < 0 || number >= len(c.attempts) || c.attempts[number].done {
		return
	}
	a := c.attempts[number]
	status := balancer.Cancelled
	if x.config.Host.CancelUnsent(a) {
		status = balancer.NotSent
	}
	x.config.Host.AbortAttempt(a)
	x.scheduleOutcome(a, status)
}

// SetTimer has the balancer's HandleTimer called with a token after a delay.
func (x actions) SetTimer(delay monotime.Micros, token uint32) {
	x.schedule(x.now+delay, func(now monotime.Micros) {
		if !x.pool.dissolved {
			x.pool.balancer.HandleTimer(now, token)
		}
	})
}

// Watch starts or stops the watch of the endpoint list.
func (x actions) Watch(active bool) { x.pool.config.SetWatch(active) }

// Log records a line for on-call staff.
func (x actions) Log(message string, args ...any) {
	if x.pool.name != "" {
		args = append(args, "pool", x.pool.name)
	}
	x.config.Host.Log(message, args...)
}
