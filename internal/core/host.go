package core

import (
	"context"
	"time"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// host carries out what the engine asks for (engine.Host), on goroutines that report by posted events.
type host Core

// sending is what is out of an attempt.
type inFlightSend struct {
	startedAt time.Time
	gate      sendGate
	guard     sendGuard
	cancel    context.CancelFunc
}

// Target makes a target of an address.
func (h *host) NewTarget(addr string) engine.Target { return h.config.Upstream.Target(addr) }

// Start makes an attempt.
func (h *host) StartAttempt(a *engine.Attempt) {
	x := (*Core)(h)
	ctx, cancel := context.WithCancel(context.Background())
	s := &inFlightSend{startedAt: time.Now(), cancel: cancel}
	a.HostData = s
	e, c := a.Endpoint, a.Call.HostData.(*Call)
	to, deadline, until := e.Target.(Target), a.Deadline, a.SendBefore // they may change later
	go func() {
		r := c.Attempt(ctx, &AttemptContext{Target: to, Deadline: deadline, ClaimSend: func(now monotime.Micros) bool {
			// The dial may have outlasted the grace of a drain, the time of the request, or the window in which it may be repeated.
			return e.MaySend(now) && now < deadline && (until == 0 || now < until) && s.gate.claim()
		}, ResponseStarted: func(r engine.AttemptResult) bool {
			return query(x, func(now monotime.Micros) bool { return x.engine.ResponseStarted(now, a, r) })
		}, OnAbort: s.guard.attach, ReleaseConn: s.guard.detach, ResponseProgress: func() { x.post(func(now monotime.Micros) { x.engine.ResponseProgress(now, a) }) }})
		x.post(func(now monotime.Micros) { x.engine.AttemptEnded(now, a, r) })
	}()
}

// Shut keeps in what has not gone out. What was never started never runs.
func (h *host) CancelUnsent(a *engine.Attempt) bool {
	s, started := a.HostData.(*inFlightSend)
	return !started || s.gate.closeUnsent()
}

// Withdraw ends an attempt.
func (h *host) AbortAttempt(a *engine.Attempt) {
	if s, started := a.HostData.(*inFlightSend); started {
		s.guard.abort()
		s.cancel()
	}
}

// Silent tells the target.
func (h *host) AttemptTimedOut(a *engine.Attempt) {
	a.Endpoint.Target.(Target).AttemptTimedOut(a.HostData.(*inFlightSend).startedAt)
}

// Probe asks an endpoint.
func (h *host) StartProbe(p *engine.Pool, e *engine.Endpoint) {
	x := (*Core)(h)
	sent, to := h.config.Clock.Now(), e.Target.(Target)
	go func() {
		r := to.Probe()
		x.post(func(now monotime.Micros) { x.engine.ProbeEnded(now, p, e, sent, r) })
	}()
}

// Answer hands the answer to the front.
func (h *host) Respond(c *engine.Call, a engine.Response) {
	c.HostData.(*Call).Response <- a // room for one, and the engine gives one
}

// Ready notes it.
func (h *host) EndpointReady() {
	h.ready.Store(true)
	close(h.readySignal)
}

// Log writes to the log.
func (h *host) Log(line string, args ...any) { h.config.Log.Info(line, args...) }

// Warn writes to the log.
func (h *host) Warn(line string, args ...any) { h.config.Log.Warn(line, args...) }
