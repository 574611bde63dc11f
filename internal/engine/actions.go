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

// nowhere stands in for the target of an endpoint that is not known.
type nowhere struct{}

func (nowhere) Drop() {}

// Send starts an attempt.
func (x actions) Send(id uint64, number uint32, timeout monotime.Micros) {
	now := x.now
	c, e := x.calls[id], x.pool.byNumber[number]
	if c == nil {
		return
	}
	a := &Attempt{Call: c, Number: len(c.attempts), Endpoint: e, Sent: now, Deadline: c.In.Deadline}
	if timeout > 0 {
		a.Deadline = min(a.Deadline, now+timeout)
	}
	a.Until = x.pool.balancer.Until(id)
	c.attempts = append(c.attempts, a)
	c.open++
	x.pool.weigh(now, 1)
	if l := x.pool.loaded; l != nil && a.Number == 0 {
		l.control.OnAttemptSent(now, int(c.In.Class), true)
	} else if l != nil {
		x.pool.sentFurther(now, int(c.In.Class))
	}
	if c.ended || e == nil || now >= a.Deadline || len(c.attempts) > x.config.Site.Settings.Limits.MaxAttempts {
		if e == nil {
			a.Endpoint = &Endpoint{Number: number, Target: nowhere{}}
		}
		x.at(now, func(now monotime.Micros) { x.outcome(now, a, Reply{Status: balancer.Moot, At: now}) })
		return
	}
	a.timeUp = x.at(a.Deadline, func(now monotime.Micros) { x.timeUp(now, a) })
	if o := x.config.Observe; o != nil {
		o.Sent(now, e.Name)
	}
	x.config.Host.Start(a)
}

// Refuse answers a client that trying again is harmless.
func (x actions) Refuse(id uint64, retryAfter monotime.Micros) {
	if c := x.calls[id]; c != nil && !c.ended {
		if len(c.attempts) == 0 {
			x.pool.turnedAway(x.now)
			if l := x.pool.loaded; l != nil {
				l.control.OnRejected(x.now, int(c.In.Class), true)
			}
		}
		x.finish(c, Answer{Verdict: Refused, RetryAfter: retryAfter, Reply: c.said})
	}
}

// Fail answers a client that its request failed.
func (x actions) Fail(id uint64) {
	if c := x.calls[id]; c != nil && !c.ended {
		x.fail(c)
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
	if x.config.Host.Shut(a) {
		status = balancer.Moot
	}
	x.config.Host.Withdraw(a)
	x.at(x.now, func(now monotime.Micros) { x.outcome(now, a, Reply{Status: status, At: now}) })
}

// Timer asks for a Timer event.
func (x actions) Timer(delay monotime.Micros, token uint32) {
	x.at(x.now+delay, func(now monotime.Micros) {
		if !x.pool.gone {
			x.pool.balancer.Timer(now, token)
		}
	})
}

// Probe asks an endpoint for its load.
func (x actions) Probe(number uint32) {
	if e := x.pool.byNumber[number]; e != nil && x.pool.mayProbe(x.now, number) {
		x.config.Host.Probe(x.pool, e)
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
