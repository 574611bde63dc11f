package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// startDeadlineTimer sets the timer that ends an attempt at its deadline.
func (eng *Engine) startDeadlineTimer(a *Attempt) {
	a.deadlineTimer = eng.schedule(a.Deadline, func(now monotime.Micros) { eng.expireAttempt(now, a) })
}

// scheduleOutcome records an outcome in a separate event at the current instant, because the balancer must not
// receive an outcome while it is making a decision.
func (eng *Engine) scheduleOutcome(a *Attempt, status balancer.Status) {
	eng.schedule(eng.now, func(now monotime.Micros) {
		eng.recordOutcome(now, a, AttemptResult{Status: status, ObservedAt: now})
	})
}

// recordOutcome passes the outcome of an attempt to all parts of the pool that use it. The balancer gets it
// last, since it may start the next attempt. The first successful attempt gives the request its final response.
// An outcome of an attempt that already has one is ignored.
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
	c.mayHaveRun = c.mayHaveRun || !neverRan(r.Status)
	if r.Response != nil {
		c.lastResult = &r
		c.lastResultAttempt = a.Number
	}
	if !c.finished && r.Status == balancer.OK {
		c.Pool.observeServiceTime(now, c)
		eng.respondToSuccess(a, &r)
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

// neverRan reports whether an attempt with the given outcome has certainly not run.
func neverRan(status balancer.Status) bool {
	return status == balancer.NotSent || status == balancer.ConnectFailed || status == balancer.Rejected
}

// observeOutcome passes the outcome of an attempt to the parts of the pool that keep estimates from it, except
// the balancer.
func (p *Pool) observeOutcome(now monotime.Micros, a *Attempt, r AttemptResult, latency monotime.Micros) {
	p.observeEndpointHealth(now, a.Endpoint, r.Status, latency)
	p.observeOpenAttempts(now, -1)
	p.observeUtilization(a.Endpoint, r.Load)
	p.recordObservation(now, a, r.Status)
	p.observeAttempt(now, a, r, latency)
}

// attemptLatency returns the time from when the request was sent, or from the attempt's start if that is
// unknown, to the attempt's result.
func attemptLatency(a *Attempt, r *AttemptResult) monotime.Micros {
	return max(0, r.ObservedAt-max(a.StartedAt, r.SentAt))
}

// expireAttempt ends an attempt whose deadline has passed. The outcome is Timeout if any byte of the attempt
// was written. Otherwise it is ConnectFailed if the attempt lasted at least Limits.DialTimeout, not counting
// stalls, and NotSent if it was shorter, since a dial that had less time is no evidence against the endpoint.
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
