package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Host carries out what an engine requests. The engine calls its methods in the order in which they are to take effect.
// They must not block, and must not call the engine.
type Host interface {
	// NewTarget returns the target of attempts for the address of an endpoint of a pool.
	NewTarget(pool, addr string) Target
	// StartAttempt starts an attempt. The host reports its end to Engine.AttemptEnded. a.HostData is the host's to use.
	StartAttempt(a *Attempt)
	// CancelUnsent cancels an attempt of which nothing has been written yet, and reports whether that was so: the
	// attempt then never reaches its endpoint.
	CancelUnsent(a *Attempt) (unsent bool)
	// AbortAttempt ends an attempt in whatever state it is, and frees what it holds. What the host reports of it after
	// that is ignored.
	AbortAttempt(a *Attempt)
	// AttemptTimedOut reports that an attempt that was sent got no answer before its deadline.
	AttemptTimedOut(a *Attempt)
	// StartProbe requests a load report from an endpoint. The host reports the outcome to Engine.ProbeEnded.
	StartProbe(p *Pool, e *Endpoint)
	// Respond gives a request its one final response.
	Respond(c *Call, r Response)
	// EndpointReady reports that an endpoint is ready for requests. It is called once in an engine's life, for the
	// first.
	EndpointReady()
	// Log records an informational line for on-call staff.
	Log(line string, args ...any)
	// Warn records a line that needs attention.
	Warn(line string, args ...any)
}

// Target is the host's handle for the address of an endpoint. Requests meant for it must not reach another endpoint
// that listens at the same address later.
type Target interface {
	// Drop ends the use of the target. Attempts in flight go on.
	Drop()
}

// unknownTarget is the target of an endpoint that is not in the list.
type unknownTarget struct{}

// Drop does nothing.
func (unknownTarget) Drop() {}

// Observer is notified of what an engine does, for counting over a fleet. Its methods must not block, and must not call
// the engine.
type Observer interface {
	// AttemptStarted is called for each attempt that starts at an endpoint.
	AttemptStarted(now monotime.Micros, endpoint string)
	// AttemptEnded is called with the outcome of each attempt.
	AttemptEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	// ProbeEnded is called with the outcome of each probe.
	ProbeEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	// EndpointsUpdated is called with each endpoint list update that the engine applies.
	EndpointsUpdated(now monotime.Micros, update EndpointUpdate)
}
