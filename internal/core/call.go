package core

import (
	"context"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// AttemptFunc makes one attempt of a request and waits for its end, on a goroutine of its own. When ctx ends, the
// attempt is aborted.
type AttemptFunc func(ctx context.Context, a *AttemptContext) engine.AttemptResult

// AttemptContext is an attempt as its AttemptFunc has it: where to send it, and how to report progress.
type AttemptContext struct {
	Target   Target
	Deadline monotime.Micros // the attempt is aborted at this instant

	// ClaimSend reports whether the first byte may be written. It must be called right before that. If it returns
	// false, nothing may be written, and the result's status must be balancer.NotSent.
	ClaimSend func(now monotime.Micros) bool

	// OnAbort sets a function that ends the sending at once, without blocking. It must be called before ClaimSend. If
	// it returns false, the attempt has been aborted already. A nil OnAbort is that of an attempt that is never
	// aborted.
	OnAbort func(abort func()) bool
	// ReleaseConn must be called once nothing is written or read any more. If it returns false, the attempt was
	// aborted, and its connection must not be reused.
	ReleaseConn func() bool

	// ResponseStarted reports that a response has started that is too large to be buffered
	// (engine.Engine.ResponseStarted). If it returns false, the response must be dropped.
	ResponseStarted func(r engine.AttemptResult) bool

	// ResponseProgress reports that a buffered response is arriving, if slowly (engine.Engine.ResponseProgress).
	ResponseProgress func()
}

// Call is a client's request on its way through the core. Its exported fields are set before Core.Submit.
type Call struct {
	Client    *engine.Client
	Pool      *Pool            // the pool of endpoints that may serve it
	ID        string           // the client's ID of the request, unique among its open requests
	Request   balancer.Request // the engine sets its ID
	ArrivedAt monotime.Micros  // when the request was received completely
	Attempt   AttemptFunc

	// Response receives the one final response. It must have a buffer of one.
	Response chan engine.Response
	// NotReplayable is as in engine.Call.
	NotReplayable func() bool

	engineCall engine.Call
}

// Submit accepts a client's request. Its final response comes on c.Response.
func (core *Core) Submit(c *Call) {
	c.engineCall = engine.Call{
		Client:        c.Client,
		Pool:          c.Pool.enginePool,
		ID:            c.ID,
		Request:       c.Request,
		ArrivedAt:     c.ArrivedAt,
		HostData:      c,
		NotReplayable: c.NotReplayable,
	}
	core.postDeferrable(func(now monotime.Micros) { core.engine.Submit(now, &c.engineCall) })
}

// ClientGone reports that the client of a request has gone (engine.Engine.ClientGone).
func (core *Core) ClientGone(c *Call) {
	core.postDeferrable(func(now monotime.Micros) { core.engine.ClientGone(now, &c.engineCall) })
}

// SetClientSpec changes a client's spec, or returns an error if that is invalid. Open requests are not affected.
func (core *Core) SetClientSpec(c *engine.Client, spec fairqueue.ClientSpec) error {
	if err := spec.Validate(); err != nil {
		return err
	}
	core.post(func(monotime.Micros) { _ = c.SetSpec(spec) }) // its only error is that of Validate
	return nil
}
