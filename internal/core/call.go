package core

import (
	"context"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// AttemptFunc makes one attempt of a request and returns its result. It is called on a separate goroutine. When
// ctx ends, it must abort the attempt and return.
type AttemptFunc func(ctx context.Context, attempt *AttemptContext) engine.AttemptResult

// AttemptContext provides an AttemptFunc with the target of its attempt and the functions that report progress
// to the core.
type AttemptContext struct {
	Target   Target
	Deadline monotime.Micros // instant at which the attempt is aborted

	// ClaimSend reports whether the first byte may be written. It must be called directly before the first
	// write. If it returns false, nothing may be written, and the attempt's status must be balancer.NotSent.
	ClaimSend func(now monotime.Micros) bool

	// OnAbort registers a function that stops the sending immediately, without blocking. It must be called
	// before ClaimSend. It returns false if the attempt has already been aborted. A nil OnAbort means that the
	// attempt is never aborted.
	OnAbort func(abort func()) bool
	// ReleaseConn must be called once the attempt neither writes to nor reads from its connection any more. If
	// it returns false, the attempt was aborted, and its connection must not be reused.
	ReleaseConn func() bool

	// ResponseStarted reports the start of a response that is too large to be buffered
	// (engine.Engine.ResponseStarted). If it returns false, the response must be dropped.
	ResponseStarted func(r engine.AttemptResult) bool

	// ResponseProgress reports that a buffered response is arriving slowly (engine.Engine.ResponseProgress).
	ResponseProgress func()
}

// Call is a client's request while the core processes it. The exported fields are set before Core.Submit.
type Call struct {
	Client *engine.Client
	Pool   *Pool  // pool of endpoints that may serve the request
	ID     string // request ID, unique among the client's open requests
	// GeneratedID is set if the client has not chosen the ID.
	GeneratedID bool
	Request     balancer.Request // the engine sets Request.ID
	ArrivedAt   monotime.Micros  // instant at which the request was completely received
	Attempt     AttemptFunc

	// Response receives exactly one final response. It must be a channel with a buffer of one.
	Response chan engine.Response
	// NotReplayable reports whether a part of the request was sent that cannot be sent again; the request is
	// then not retried. A nil NotReplayable means that the request can always be sent again.
	NotReplayable func() bool

	engineCall engine.Call
}

// Submit accepts a client's request. The final response is sent to c.Response.
func (core *Core) Submit(c *Call) {
	c.engineCall = engine.Call{
		Client:        c.Client,
		Pool:          c.Pool.enginePool,
		ID:            c.ID,
		GeneratedID:   c.GeneratedID,
		Request:       c.Request,
		ArrivedAt:     c.ArrivedAt,
		HostData:      c,
		NotReplayable: c.NotReplayable,
	}
	core.postDeferrable(func(now monotime.Micros) { core.engine.Submit(now, &c.engineCall) })
}

// ClientGone reports that the client of a request has gone away (engine.Engine.ClientGone).
func (core *Core) ClientGone(c *Call) {
	core.postDeferrable(func(now monotime.Micros) { core.engine.ClientGone(now, &c.engineCall) })
}

// Expire reports that the time of a request is over and that nothing of it has been sent (engine.Engine.Expire).
func (core *Core) Expire(c *Call) {
	core.postDeferrable(func(now monotime.Micros) { core.engine.Expire(now, &c.engineCall) })
}

// SetClientSpec changes a client's spec, or returns an error if the spec is invalid. Open requests are not
// affected.
func (core *Core) SetClientSpec(c *engine.Client, spec fairqueue.ClientSpec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	core.post(func(monotime.Micros) { _ = c.SetSpec(spec) }) // SetSpec fails only if Validate fails
	return nil
}
