package core

import (
	"context"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
)

// actions carries out what the balancer asks for (balancer.Actions).
type actions struct{ *Core }

// nowhere stands in for the target of an endpoint that is not known.
type nowhere struct{}

func (nowhere) Probe() Reply     { return Reply{Status: balancer.Moot} }
func (nowhere) Silent(time.Time) {}
func (nowhere) Drop()            {}

// Send starts an attempt.
func (x actions) Send(id uint64, number uint32, timeout balancer.Micros) {
	now := x.config.Clock.Now()
	c, e := x.calls[id], x.byNumber[number]
	if c == nil {
		return
	}
	a := &attempt{call: c, number: len(c.attempts), endpoint: e, sent: now, began: time.Now(), deadline: c.In.Deadline}
	if timeout > 0 {
		a.deadline = min(a.deadline, now+timeout)
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	c.attempts = append(c.attempts, a)
	c.open++
	if c.ended || e == nil || now >= a.deadline || len(c.attempts) > x.config.Site.Settings.Limits.MaxAttempts {
		if e == nil {
			a.endpoint = &endpoint{number: number, to: nowhere{}}
		}
		x.at(now, func(now balancer.Micros) { x.outcome(now, a, Reply{Status: balancer.Moot, At: now}) })
		return
	}
	a.timeUp = x.at(a.deadline, func(now balancer.Micros) { x.timeUp(now, a) })
	to := e.to
	go func() {
		r := c.Attempt(ctx, to, a.deadline, func(now balancer.Micros) bool {
			// The dial may have outlasted the grace of a drain or the time of the request.
			stop := e.stopAt.Load()
			return (stop == 0 || now < stop) && now < a.deadline && a.gate.pass()
		})
		x.post(func(now balancer.Micros) { x.outcome(now, a, r) })
	}()
}

// Refuse answers a client that trying again is harmless.
func (x actions) Refuse(id uint64, retryAfter balancer.Micros) {
	if c := x.calls[id]; c != nil && !c.ended {
		x.finish(c, Answer{Verdict: Refused, RetryAfter: clock.Duration(retryAfter)})
	}
}

// Fail answers a client that its request failed.
func (x actions) Fail(id uint64) {
	if c := x.calls[id]; c != nil && !c.ended {
		v := Failed
		if c.late {
			v = FailedLate
		}
		x.finish(c, Answer{Verdict: v})
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
	if a.gate.shut() {
		status = balancer.Moot
	}
	a.cancel()
	now := x.config.Clock.Now()
	x.at(now, func(now balancer.Micros) { x.outcome(now, a, Reply{Status: status, At: now}) })
}

// Timer asks for a Timer event.
func (x actions) Timer(delay balancer.Micros, token uint32) {
	x.at(x.config.Clock.Now()+delay, func(now balancer.Micros) { x.balancer.Timer(now, token) })
}

// Probe asks an endpoint for its load.
func (x actions) Probe(number uint32) {
	sent := x.config.Clock.Now()
	e := x.byNumber[number]
	if e == nil {
		return
	}
	to := e.to
	go func() {
		r := to.Probe()
		x.post(func(now balancer.Micros) {
			x.balancer.Probed(now, number, r.Status, max(0, r.At-sent), r.Load)
		})
	}()
}

// Watch asks for the list's changes, or ends that.
func (x actions) Watch(on bool) { x.config.Watch(on) }

// Log records a line for on-call staff.
func (x actions) Log(line string) { x.config.Log.Info(line) }
