package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Reply is what came of an attempt or a probe.
type AttemptResult struct {
	Status   balancer.Status
	At       monotime.Micros
	SentAt   monotime.Micros // its latency counts from here, when the last byte of the request had gone; 0 is from its start
	Load     []float32
	Response any // whatever the request's front makes the client's answer of; of what is not OK it may be nil
}

// Verdict is how a request ended for its client.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota
	Rejected            // trying again is harmless
	RateLimited         // as Refused: its client asks more often than it may
	Failed              // no such promise
	TimedOut            // as Failed, and the last attempt ran out of time
	DuplicateID         // not taken: another request with its id is open
)

// Answer is the final answer to a request.
type Response struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // Refused and Limited only; 0 is no advice
	Reason     string          // of those, for people; may be empty
	Result     *AttemptResult  // of Served; of Refused and Failed, the last that an endpoint answered, or nil

	Attempts  int             // that were started
	QueueTime monotime.Micros // for its turn, before it went to the balancer
	Endpoint  string          // that served it, by its name; "" is none
}

// Call is a client's request on its way through the engine.
type Call struct {
	Client    *Client
	Pool      *Pool            // whose endpoints it may go to
	ID        string           // the client's
	Request   balancer.Request // but for the ID, which the engine gives
	ArrivedAt monotime.Micros  // when the request was whole
	HostData  any              // the host's own

	// Spent says whether a part of the request has gone out that cannot be shown again: then no further attempt is
	// made. nil is never.
	NotReplayable func() bool

	admittedAt          monotime.Micros // when it went to the balancer; 0 before
	inFlightAtAdmission int             // requests in flight then, itself included
	attempts            []*Attempt
	openAttempts        int // attempts without outcome
	finished            bool
	lastTimedOut        bool           // the last outcome was a time-out
	lastResult          *AttemptResult // the last that an endpoint answered
}

// Ended says whether the call has its final answer, or needs none.
func (c *Call) Finished() bool { return c.finished }

// Attempts returns how many attempts have been started for the call.
func (c *Call) AttemptCount() int { return len(c.attempts) }

// Attempt is one send of a request. Its host reports its end once; the engine tells the balancer once.
type Attempt struct {
	Call       *Call
	Number     int // among the call's, from 0
	Endpoint   *Endpoint
	StartedAt  monotime.Micros
	Deadline   monotime.Micros // nothing of it is waited for from then on
	SendBefore monotime.Micros // its first byte may not go out from then on; 0 is no such instant
	HostData   any             // the host's own

	deadlineTimer *timer
	done          bool // the balancer knows the outcome
}

// Done says whether the balancer knows the attempt's outcome: what its host still has of it is for nobody.
func (a *Attempt) Done() bool { return a.done }
