package core

import (
	"context"
	"time"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// host implements engine.Host: it makes attempts and probes on separate goroutines, which post their outcomes
// as events.
type host Core

// attemptState is the state that the host keeps for an attempt (engine.Attempt.HostData).
type attemptState struct {
	startedAt time.Time
	gate      sendGate
	guard     sendGuard
	cancel    context.CancelFunc
}

// NewTarget returns the target for the address of an endpoint of the named pool.
func (h *host) NewTarget(pool, addr string) engine.Target {
	return h.config.Upstream.Target(pool, addr)
}

// StartAttempt makes an attempt on a separate goroutine, which ends when the call's AttemptFunc returns.
// AbortAttempt causes the AttemptFunc to return.
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

// attemptContext returns the AttemptContext of an attempt. It copies the fields of the attempt, since the
// engine may change them later.
func (core *Core) attemptContext(a *engine.Attempt, state *attemptState) *AttemptContext {
	endpoint := a.Endpoint
	deadline := a.Deadline
	sendBefore := a.SendBefore
	addressVersion := a.AddressVersion
	return &AttemptContext{
		Target:   endpoint.Target.(Target),
		Deadline: deadline,
		ClaimSend: func(now monotime.Micros) bool {
			// During a slow dial, the drain grace, the deadline, or the dedup window of an idempotency key may
			// have ended, and another process may have come up at the address.
			return endpoint.MaySend(now) && endpoint.IsAt(addressVersion) &&
				now < deadline && (sendBefore == 0 || now < sendBefore) && state.gate.claim()
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

// CancelUnsent cancels an attempt if none of its bytes has been written, and reports whether it did. It always
// cancels an attempt that was never started.
func (h *host) CancelUnsent(a *engine.Attempt) bool {
	state, started := a.HostData.(*attemptState)
	return !started || state.gate.closeUnsent()
}

// AbortAttempt aborts an attempt: it stops the sending immediately, and ends the context of the AttemptFunc so
// that the function returns.
func (h *host) AbortAttempt(a *engine.Attempt) {
	if state, started := a.HostData.(*attemptState); started {
		state.guard.abort()
		state.cancel()
	}
}

// AttemptTimedOut notifies the attempt's target that the attempt got no response before its deadline.
func (h *host) AttemptTimedOut(a *engine.Attempt) {
	a.Endpoint.Target.(Target).AttemptTimedOut(a.HostData.(*attemptState).startedAt)
}

// StartProbe probes an endpoint on a separate goroutine, which ends once Target.Probe returns.
func (h *host) StartProbe(pool *engine.Pool, endpoint *engine.Endpoint) {
	core := (*Core)(h)
	sentAt := h.config.Clock.Now()
	target := endpoint.Target.(Target)
	go func() {
		r := target.Probe()
		core.post(func(now monotime.Micros) { core.engine.ProbeEnded(now, pool, endpoint, sentAt, r) })
	}()
}

// Respond passes the final response of a request to the frontend.
func (h *host) Respond(c *engine.Call, r engine.Response) {
	c.HostData.(*Call).Response <- r // never blocks: the channel has a buffer of one, and the engine responds once
}

// EndpointReady records that an endpoint is ready. The engine calls it once, for the first endpoint that
// becomes ready.
func (h *host) EndpointReady() {
	h.ready.Store(true)
	close(h.readySignal)
}

// Log writes an informational message to the log. It adds the time that the event behind the message waited in
// the queue, because a process that was paused mistakes its own delay for a delay of its endpoints.
func (h *host) Log(message string, args ...any) {
	h.config.Log.Info(message, append(args, "event_wait_ms", h.eventWait/monotime.Millisecond)...)
}

// Warn writes a warning to the log.
func (h *host) Warn(message string, args ...any) { h.config.Log.Warn(message, args...) }
