package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// AttemptResult is the outcome of an attempt or a probe.
type AttemptResult struct {
	Status     balancer.Status
	ObservedAt monotime.Micros // when the host knew it
	SentAt     monotime.Micros // when the last byte of the request was written: latency counts from it; 0 is StartedAt
	Load       []float32       // the endpoint's load report, in the order of the settings; nil is none

	// Response is the host's form of what the endpoint answered. It may be nil where Status is not OK.
	Response any
}

// Verdict is how a request ended for its client.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota
	Rejected            // a retry is harmless: nothing of it ran, or running it again has no second effect
	RateLimited         // as Rejected, because its client or tenant is over its rate limit
	Failed              // the request may have had an effect
	TimedOut            // as Failed, and the last attempt timed out
	DuplicateID         // not accepted: another request with this ID is open
)

// Response is the final response to a request.
type Response struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // of Rejected and RateLimited: after which to retry; 0 is no advice
	Reason     string          // of Rejected and RateLimited, for people; may be empty
	Result     *AttemptResult  // of Served; otherwise the latest that carried an endpoint's response, or nil

	Attempts  int             // how many were started
	QueueTime monotime.Micros // time in the queue before the request went to the balancer
	Endpoint  string          // the name of the endpoint that served it; empty is none
}

// Call is a client's request on its way through the engine. The exported fields are set before Engine.Submit.
type Call struct {
	Client    *Client
	Pool      *Pool            // the pool of endpoints that may serve it
	ID        string           // the client's ID of the request, unique among its open requests
	Request   balancer.Request // the engine sets its ID and QueueTime
	ArrivedAt monotime.Micros  // when the request was received completely
	HostData  any              // for the host's use

	// NotReplayable reports whether a part of the request was sent that cannot be sent again: the request then gets no
	// retry. nil is never.
	NotReplayable func() bool

	admittedAt          monotime.Micros // when it went to the balancer; 0 before
	inFlightAtAdmission int             // requests in flight then, itself included
	attempts            []*Attempt
	openAttempts        int            // attempts without an outcome
	finished            bool           // it has its final response, or its client has gone
	lastTimedOut        bool           // the latest outcome was a timeout
	lastResult          *AttemptResult // the latest that carried an endpoint's response
}

// Attempt is one send of a request to an endpoint. The balancer gets exactly one outcome of it, whatever the host
// reports.
type Attempt struct {
	Call       *Call
	Number     int // among the call's attempts, from 0; those after the first are retries
	Endpoint   *Endpoint
	StartedAt  monotime.Micros
	Deadline   monotime.Micros // the attempt is abandoned at this instant
	SendBefore monotime.Micros // the first byte must be written before this instant; 0 is no such bound
	HostData   any             // for the host's use

	deadlineTimer *timer
	timeoutAt     monotime.Micros // end of its own timeout, before any stall of this process; 0 is no timeout
	done          bool            // the balancer has the outcome
}

// Done reports whether the balancer has the attempt's outcome: what the host still receives for it is dropped.
func (a *Attempt) Done() bool { return a.done }
