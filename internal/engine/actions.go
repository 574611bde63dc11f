package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// actions carries out what a pool's balancer asks for (balancer.Actions).
type actions struct {
	*Engine
	pool *Pool
}

// Send starts an attempt.
func (x actions) Send(id uint64, number uint32, timeout monotime.Micros) {
	now := x.now
	c, e := x.calls[id], x.pool.byNumber[number]
	if c == nil {
		return
	}
	a := &Attempt{Call: c, Number: len(c.attempts), Endpoint: e, StartedAt: now, Deadline: c.Request.Deadline}
	if timeout > 0 {
		a.Deadline = min(a.Deadline, now+timeout)
	}
	a.SendBefore = x.pool.balancer.Until(id)
	c.attempts = append(c.attempts, a)
	c.openAttempts++
	x.pool.observeLoad(now, 1)
	if l := x.pool.overload; l != nil && a.Number == 0 {
		l.control.OnAttemptSent(now, int(c.Request.Class), true)
	} else if l != nil {
		x.pool.countRetry(now, int(c.Request.Class))
	}
	if c.finished || e == nil || now >= a.Deadline || len(c.attempts) > x.config.Site.Settings.Limits.MaxAttempts {
		if e == nil {
			a.Endpoint = &Endpoint{Number: number, Target: unknownTarget{}}
		}
		x.schedule(now, func(now monotime.Micros) { x.recordOutcome(now, a, AttemptResult{Status: balancer.Moot, At: now}) })
		return
	}
	a.deadlineTimer = x.schedule(a.Deadline, func(now monotime.Micros) { x.expireAttempt(now, a) })
	if o := x.config.Observer; o != nil {
		o.AttemptStarted(now, e.Name)
	}
	x.config.Host.StartAttempt(a)
}

// Refuse answers a client that trying again is harmless.
func (x actions) Refuse(id uint64, retryAfter monotime.Micros) {
	if c := x.calls[id]; c != nil && !c.finished {
		if len(c.attempts) == 0 {
			x.pool.observeRejection(x.now)
			if l := x.pool.overload; l != nil {
				l.control.OnRejected(x.now, int(c.Request.Class), true)
			}
		}
		x.respond(c, Response{Verdict: Rejected, RetryAfter: retryAfter, Result: c.lastResult})
	}
}

// Fail answers a client that its request failed.
func (x actions) Fail(id uint64) {
	if c := x.calls[id]; c != nil && !c.finished {
		x.failRequest(c)
	}
}

// Cancel withdraws an attempt. One that wrote nothing never ran.
func (x actions) Cancel(id uint64, number int) {
	c := x.calls[id]
	if c == nil || number < 0 || number >= len(c.attempts) || c.attempts[number].done {
		return
	}
	a := c.attempts[number]
	status := balancer.Cancelled
	if x.config.Host.CancelUnsent(a) {
		status = balancer.Moot
	}
	x.config.Host.AbortAttempt(a)
	x.schedule(x.now, func(now monotime.Micros) { x.recordOutcome(now, a, AttemptResult{Status: status, At: now}) })
}

// Timer asks for a Timer event.
func (x actions) Timer(delay monotime.Micros, token uint32) {
	x.schedule(x.now+delay, func(now monotime.Micros) {
		if !x.pool.dissolved {
			x.pool.balancer.Timer(now, token)
		}
	})
}

// Probe asks an endpoint for its load.
func (x actions) Probe(number uint32) {
	if e := x.pool.byNumber[number]; e != nil && x.pool.allowProbe(x.now, number) {
		x.config.Host.StartProbe(x.pool, e)
	}
}

// Watch asks for the list's changes, or ends that.
func (x actions) Watch(on bool) { x.pool.config.Watch(on) }

// Log records a line for on-call staff.
func (x actions) Log(line string) {
	if x.pool.name == "" {
		x.config.Host.Log(line)
		return
	}
	x.config.Host.Log(line, "pool", x.pool.name)
}
