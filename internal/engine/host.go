package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// nowhere stands in for the target of an endpoint that is not known.
type unknownTarget struct{}

func (unknownTarget) Drop() {}

// Host carries out what an engine asks for. Its methods are called from within the engine's, in the order in which they
// are to take effect; they must not wait, and must not call the engine.
type Host interface {
	// Target makes what attempts are sent to of an endpoint's address.
	NewTarget(addr string) Target
	// Start starts an attempt; its end is told to Engine.Ended. a.Host is the host's to use.
	StartAttempt(a *Attempt)
	// Shut keeps an attempt in that has not gone out, and says whether it had not: then it never runs.
	CancelUnsent(a *Attempt) (never bool)
	// Withdraw ends an attempt, however far it is; nobody waits for it any more.
	AbortAttempt(a *Attempt)
	// Silent tells that an attempt that went out was not answered in its time.
	AttemptTimedOut(a *Attempt)
	// Probe asks an endpoint for its load; the answer is told to Engine.Probed.
	StartProbe(p *Pool, e *Endpoint)
	// Answer gives a request its one final answer.
	Respond(c *Call, a Response)
	// Ready tells that an endpoint is known to serve, once.
	EndpointReady()
	// Log records a line for on-call staff; Warn one that asks for a look.
	Log(line string, args ...any)
	Warn(line string, args ...any)
}

// Target is the host's own for where an endpoint listens. What is meant for it must not reach another endpoint that
// listens at the same address later.
type Target interface {
	// Drop ends the target's use. What is out there goes on.
	Drop()
}

// Observer is told what an engine does, for counting over a fleet. Its methods must not wait, and must not call the engine.
type Observer interface {
	// Sent tells that an attempt started at an endpoint.
	AttemptStarted(now monotime.Micros, endpoint string)
	// Ended tells an attempt's outcome, Probed a probe's.
	AttemptEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	ProbeEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	// Told tells news of the list, as the pool was told.
	EndpointsUpdated(now monotime.Micros, t EndpointUpdate)
}
