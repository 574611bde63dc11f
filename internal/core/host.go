package core

import (
	"context"
	"time"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// host carries out what the engine requests (engine.Host), on goroutines that report by posting events.
type host Core

// attemptState is the host's part of an attempt (engine.Attempt.HostData).
type attemptState struct {
	startedAt time.Time
	gate      sendGate
	guard     sendGuard
	cancel    context.CancelFunc
}

// NewTarget returns the target for the address of an endpoint of a pool.
func (h *host) NewTarget(pool, addr string) engine.Target {
	return h.config.Upstream.Target(pool, addr)
}

// StartAttempt makes an attempt on a goroutine of its own, which ends with the attempt's function; AbortAttempt makes
// that return.
func (h *host) StartAttempt(a *engine.Attempt) {
	core := (*Core)(h)
	ctx, cancel := context.WithCancel(context.Background())
	state := &attemptState{startedAt: time.Now(), cancel: cancel}
	a.HostData = state
	c := a.Call.HostData.(*Call)
	attempt := core.attemptContext(a, state)
	go func() {
		r := c.Attempt(ctx, attempt)
		core.post(func(now monotime.Micros) { core.engine.AttemptEnded(now, a, r) })
	}()
}

// attemptContext returns the AttemptContext of an attempt. It copies the attempt's fields, which the engine may change
// later.
func (core *Core) attemptContext(a *engine.Attempt, state *attemptState) *AttemptContext {
	endpoint := a.Endpoint
	deadline := a.Deadline
	sendBefore := a.SendBefore
	return &AttemptContext{
		Target:   endpoint.Target.(Target),
		Deadline: deadline,
		ClaimSend: func(now monotime.Micros) bool {
			// A slow dial may have outlasted the drain grace, the deadline, or the dedup window of an idempotency key.
			return endpoint.MaySend(now) && now < deadline && (sendBefore == 0 || now < sendBefore) &&
				state.gate.claim()
		},
		OnAbort:     state.guard.attach,
		ReleaseConn: state.guard.detach,
		ResponseStarted: func(r engine.AttemptResult) bool {
			return query(core, func(now monotime.Micros) bool { return core.engine.ResponseStarted(now, a, r) })
		},
		ResponseProgress: func() {
			core.post(func(now monotime.Micros) { core.engine.ResponseProgress(now, a) })
		},
	}
}

// CancelUnsent cancels an attempt of which nothing has been written, and reports whether that was so. It is so of an
// attempt that was never started.
func (h *host) CancelUnsent(a *engine.Attempt) bool {
	state, started := a.HostData.(*attemptState)
	return !started || state.gate.closeUnsent()
}

// AbortAttempt ends an attempt: its sending at once, its function by the end of its context.
func (h *host) AbortAttempt(a *engine.Attempt) {
	if state, started := a.HostData.(*attemptState); started {
		state.guard.abort()
		state.cancel()
	}
}

// AttemptTimedOut notifies the attempt's target.
func (h *host) AttemptTimedOut(a *engine.Attempt) {
	a.Endpoint.Target.(Target).AttemptTimedOut(a.HostData.(*attemptState).startedAt)
}

// StartProbe probes an endpoint on a goroutine of its own, which ends once Target.Probe returns.
func (h *host) StartProbe(p *engine.Pool, e *engine.Endpoint) {
	core := (*Core)(h)
	sentAt := h.config.Clock.Now()
	target := e.Target.(Target)
	go func() {
		r := target.Probe()
		core.post(func(now monotime.Micros) { core.engine.ProbeEnded(now, p, e, sentAt, r) })
	}()
}

// Respond passes the response to the frontend.
func (h *host) Respond(c *engine.Call, r engine.Response) {
	c.HostData.(*Call).Response <- r // never blocks: it has a buffer of one, and the engine responds once
}

// EndpointReady notes that an endpoint is ready.
func (h *host) EndpointReady() {
	h.ready.Store(true)
	close(h.readySignal)
}

// Log writes an informational line to the log, with the time for which the event that led to it has waited for the
// core: a process that is paused takes its own delay for that of endpoints.
func (h *host) Log(message string, args ...any) {
	h.config.Log.Info(message, append(args, "event_wait_ms", h.eventWait/monotime.Millisecond)...)
}

// Warn writes a warning to the log.
func (h *host) Warn(message string, args ...any) { h.config.Log.Warn(message, args...) }
