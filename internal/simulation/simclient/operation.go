// Package simclient models a client of the fleet as a state machine: what it requests, how long it waits and how it
// retries. All requests for one purpose belong to one Operation. The package does no I/O and reads no clock, so that
// the same clients run in simulated time (package simulation) and over sockets (package processes). Package measure
// says what an operation weighs.
package simclient

import (
	"math/rand/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Behavior describes how clients behave. Each pair is a range from which a client's value is drawn.
type Behavior struct {
	Retries         [2]int             // retries of an operation, at most
	TimeoutShare    [2]float64         // timeout of a request, as a part of the class's client timeout
	Backoff         [2]monotime.Micros // before the first retry; it doubles with each retry
	HonorRetryAfter float64            // part of the clients that wait for Retry-After
	EarlyAbort      float64            // part of the requests whose client leaves before the timeout
	MarkRetries     bool               // retries are marked as such
	FreshKeys       float64            // part of the clients that give each retry a new idempotency key
}

// Operation is one thing that a client wants, with all its requests: the first and its retries.
type Operation struct {
	ID             uint64
	Instance       int // to which its requests go
	Process        int // client process, among those of the instance
	Class          int
	Tenant         int // -1 is none
	Work           monotime.Micros
	IdempotencyKey uint64 // of classes with idempotency keys only
	Object         uint64
	StartedAt      monotime.Micros // when its first request was sent

	Requests         int // sent so far
	Outcome          Outcome
	EndedAt          monotime.Micros // when it was served or given up
	Executions       int             // attempts that an endpoint completed
	Effects          int             // of these, those that took effect
	DiscardsResponse bool            // it counts as unserved although a response comes (a planted harm)
	Rejected         int             // requests that were rejected
	Failed           int             // requests that failed
	Unanswered       int             // requests without a response: a connection reset, a timeout or an abort

	maxRetries       int
	honorsRetryAfter bool
	freshKeys        bool
	timeoutShare     float64
	backoff          monotime.Micros
	inFlight         bool // a request has not ended
	requestNumber    int  // number of the latest request, from 1
}

// Outcome is how an operation ended.
type Outcome uint8

// The outcomes of an operation.
const (
	Pending      Outcome = iota
	Served               // a response came
	Unserved             // no request was served within the client timeout
	OutcomeCount         // number of outcomes
)

// RequestOutcome is how one request ended.
type RequestOutcome uint8

// The outcomes of a request.
const (
	OK         RequestOutcome = iota
	Rejected                  // a retry is harmless
	Failed                    // it may have run
	NoResponse                // no complete response; it may have run
)

// Request is one request of an operation.
type Request struct {
	Number         int
	IdempotencyKey uint64
	Deadline       monotime.Micros // when the client times out
	AbortAt        monotime.Micros // when the client leaves early; 0: it does not
	Retry          bool            // it is marked as a retry
}

// Start draws the behavior of an operation's client, and returns its first request.
func (s *Operation) Start(now monotime.Micros, h *Behavior, c *balancer.Class, r *rand.Rand) Request {
	s.StartedAt = now
	s.maxRetries = h.Retries[0] + r.IntN(h.Retries[1]-h.Retries[0]+1)
	s.timeoutShare = h.TimeoutShare[0] + (h.TimeoutShare[1]-h.TimeoutShare[0])*r.Float64()
	s.backoff = h.Backoff[0] + monotime.Micros(r.Float64()*float64(h.Backoff[1]-h.Backoff[0]))
	s.honorsRetryAfter = r.Float64() < h.HonorRetryAfter
	s.freshKeys = r.Float64() < h.FreshKeys
	return s.nextRequest(now, h, c, r)
}

// Deadline returns when the client gives up the operation at the latest.
func (s *Operation) Deadline(c *balancer.Class) monotime.Micros { return s.StartedAt + c.ClientTimeout }

// retryKeyStep separates the idempotency keys of an operation's requests, for clients that give each its own.
const retryKeyStep = 0x9e3779b97f4a7c15

// nextRequest makes the operation's next request.
func (s *Operation) nextRequest(now monotime.Micros, h *Behavior, c *balancer.Class, r *rand.Rand) Request {
	s.Requests++
	s.requestNumber = s.Requests
	s.inFlight = true
	t := Request{Number: s.requestNumber, IdempotencyKey: s.IdempotencyKey, Retry: h.MarkRetries && s.requestNumber > 1}
	if s.freshKeys && s.IdempotencyKey != 0 && s.requestNumber > 1 {
		t.IdempotencyKey = s.IdempotencyKey + uint64(s.requestNumber)*retryKeyStep
	}
	t.Deadline = min(s.Deadline(c), now+monotime.Micros(s.timeoutShare*float64(c.ClientTimeout)))
	if s.requestNumber > s.maxRetries {
		t.Deadline = s.Deadline(c) // the last request has all the remaining time
	}
	if r.Float64() < h.EarlyAbort {
		t.AbortAt = now + monotime.Micros(r.Float64()*float64(t.Deadline-now))
	}
	return t
}

// RequestEnded records how a request ended, and reports whether the client retries, and when: Retry makes that request.
// Clients retry rejected requests, and others if their class is safe to repeat. The end of any but the latest request
// is ignored.
func (s *Operation) RequestEnded(now monotime.Micros, number int, v RequestOutcome, retryAfter monotime.Micros,
	c *balancer.Class, r *rand.Rand) (at monotime.Micros, again bool) {
	if !s.inFlight || number != s.requestNumber || s.Outcome != Pending {
		return 0, false
	}
	s.inFlight = false
	switch v {
	case OK:
		s.Outcome = Served
		s.EndedAt = now
		if s.DiscardsResponse {
			s.Outcome = Unserved
		}
		return 0, false
	case Rejected:
		s.Rejected++
	case Failed:
		s.Failed++
	case NoResponse:
		s.Unanswered++
	}
	wait := s.backoff << (s.requestNumber - 1)
	wait = wait/2 + monotime.Micros(r.Float64()*float64(wait)) // jitter of half either way
	if v == Rejected && s.honorsRetryAfter {
		wait = max(wait, retryAfter)
	}
	unsafe := v != Rejected && c.Idempotency == balancer.NonIdempotent
	if s.requestNumber > s.maxRetries || now+wait >= s.Deadline(c) || unsafe {
		s.Outcome = Unserved
		s.EndedAt = now
		return 0, false
	}
	return now + wait, true
}

// Retry makes the next request.
func (s *Operation) Retry(now monotime.Micros, h *Behavior, c *balancer.Class, r *rand.Rand) Request {
	return s.nextRequest(now, h, c, r)
}
