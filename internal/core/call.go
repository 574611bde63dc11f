package core

import (
	"context"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Attempt makes one attempt of a request and waits for its end, on a goroutine of its own. When ctx ends, the attempt
// is withdrawn.
type AttemptFunc func(ctx context.Context, t *AttemptContext) engine.AttemptResult

// Try is what an Attempt is told.
type AttemptContext struct {
	Target   Target
	Deadline monotime.Micros

	// MayGo is asked last, right before the first byte; if it says no, nothing goes out and the reply is Moot.
	ClaimSend func(now monotime.Micros) bool

	// Hold is told how to end the sending at once, without waiting, before MayGo is asked; if it says no the attempt has been
	// withdrawn. LetGo is told once nothing is sent or read any more, and says whether the sending was not ended: only then may
	// what it was sent on be used again. nil is nobody who withdraws.
	OnAbort     func(end func()) bool
	ReleaseConn func() bool

	// Began is asked when an answer has begun that is too large to be held (engine.Engine.Began).
	ResponseStarted func(r engine.AttemptResult) bool

	// Heard tells that an answer that is held comes, if slowly (engine.Engine.Heard).
	ResponseProgress func()
}

// Call is a client's request on its way through the core.
type Call struct {
	Client        *engine.Client
	Pool          *Pool            // whose endpoints it may go to
	ID            string           // the client's
	Request       balancer.Request // but for the ID, which the engine gives
	ArrivedAt     monotime.Micros  // when the request was whole
	Attempt       AttemptFunc
	Response      chan engine.Response // has room for one; the one final answer comes here
	NotReplayable func() bool          // as engine.Call has it

	call engine.Call
}

// Submit takes a client's request; the one final answer comes on c.Answer.
func (x *Core) Submit(c *Call) {
	c.call = engine.Call{Client: c.Client, Pool: c.Pool.pool, ID: c.ID, Request: c.Request, ArrivedAt: c.ArrivedAt, HostData: c, NotReplayable: c.NotReplayable}
	x.post(func(now monotime.Micros) { x.engine.Submit(now, &c.call) })
}

// Leave tells that the client of a request has gone, and that nobody will take its answer if it has come meanwhile.
func (x *Core) ClientGone(c *Call) {
	x.post(func(now monotime.Micros) { x.engine.ClientGone(now, &c.call) })
}

// ChangeClient gives a client another spec, or returns the error of one that makes no sense; what it has open stays
// open.
func (x *Core) SetClientSpec(c *engine.Client, s fairqueue.ClientSpec) error {
	if err := s.Validate(); err != nil {
		return err
	}
	x.post(func(monotime.Micros) { c.SetSpec(s) }) // its only error is that of Validate
	return nil
}
