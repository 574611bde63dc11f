package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Host carries out the actions that an engine requests. The engine calls the methods in the order in which they
// must take effect. The methods must not block, and must not call the engine.
type Host interface {
	// NewTarget returns the target for attempts to the address of an endpoint of a pool.
	NewTarget(pool, addr string) Target
	// StartAttempt starts an attempt. The host reports the outcome to Engine.AttemptEnded. a.HostData is
	// reserved for the host.
	StartAttempt(a *Attempt)
	// CancelUnsent cancels an attempt if none of its bytes has been written yet, and reports whether it did. A
	// cancelled attempt never reaches its endpoint.
	CancelUnsent(a *Attempt) (unsent bool)
	// AbortAttempt ends an attempt in any state and frees its resources. Outcomes that the host reports for it
	// afterwards are ignored.
	AbortAttempt(a *Attempt)
	// AttemptTimedOut notifies the host that an attempt that was sent got no response before its deadline.
	AttemptTimedOut(a *Attempt)
	// StartProbe requests a load report from an endpoint. The host reports the outcome to Engine.ProbeEnded.
	StartProbe(p *Pool, e *Endpoint)
	// Respond delivers the final response of a request. It is called once per request.
	Respond(c *Call, r Response)
	// EndpointReady notifies the host that an endpoint is ready for requests. It is called once in the lifetime
	// of an engine, for the first ready endpoint.
	EndpointReady()
	// Log records an informational message for on-call staff.
	Log(message string, args ...any)
	// Warn records a message that needs attention.
	Warn(message string, args ...any)
}

// Target is the host's handle for the address of an endpoint. Requests for the endpoint must not reach a
// different endpoint that listens at the same address later.
type Target interface {
	// Drop ends the use of the target for new attempts. Attempts in flight continue.
	Drop()
}

// unknownTarget is the target of an endpoint that is not in the endpoint list.
type unknownTarget struct{}

// Drop does nothing, since an unknown target has no resources.
func (unknownTarget) Drop() {}

// Observer is notified of an engine's attempts, probes and endpoint lists, so that they can be counted over a
// fleet. Its methods must not block, and must not call the engine.
type Observer interface {
	// AttemptStarted is called for each attempt that starts at an endpoint.
	AttemptStarted(now monotime.Micros, endpoint string)
	// AttemptEnded is called with the outcome of each attempt.
	AttemptEnded(now monotime.Micros, endpoint string, status balancer.Status, latency monotime.Micros)
	// ProbeEnded is called with the outcome of each probe.
	ProbeEnded(now monotime.Micros, endpoint string, status balancer.Status, latency monotime.Micros)
	// EndpointsUpdated is called with each endpoint list update that the engine applies.
	EndpointsUpdated(now monotime.Micros, update EndpointUpdate)
}
