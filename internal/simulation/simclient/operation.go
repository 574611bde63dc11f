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

// Behavior says how clients behave.
type Behavior struct {
	Retries      [2]int     // a client requests again so many times at most, drawn between these
	TimeoutShare [2]float64 // and waits for each request this part of all the time it has
	// before the first request of its own again; twice as long before each further one
	Backoff         [2]monotime.Micros
	HonorRetryAfter float64 // part of the clients that wait for as long as they are told
	EarlyAbort      float64 // part of the requests that are left before their time
	MarkRetries     bool    // requests after the first say so
	// part of the clients whose requests have a new key each, as if they were new requests
	FreshKeys float64
}

// Operation is one thing that a client wants, with all its requests.
type Operation struct {
	ID             uint64
	Instance       int // that it asks
	Process        int // of the clients there
	Class          int
	Tenant         int // -1 is none
	Work           monotime.Micros
	IdempotencyKey uint64 // keyed classes only
	Object         uint64
	StartedAt      monotime.Micros // when its first request began

	Requests         int // begun
	Outcome          Outcome
	EndedAt          monotime.Micros // when its outcome was known, or it was given up
	Executions       int             // attempts that were worked at to their end
	Effects          int             // of these, those that took effect
	DiscardsResponse bool            // whatever answer comes is no use to the client
	Rejected         int             // requests that were rejected,
	Failed           int             // that failed,
	Unanswered       int             // and that had no answer: the connection broke, or the request was given up

	maxRetries       int
	honorsRetryAfter bool
	freshKeys        bool
	timeoutShare     float64
	backoff          monotime.Micros
	inFlight         bool // a request is under way
	requestNumber    int  // its number, from 1
}

// Outcome is how an operation ended.
type Outcome uint8

// The outcomes of an operation.
const (
	Pending      Outcome = iota
	Served               // an answer came
	Unserved             // none came in all its requests, or in its time
	OutcomeCount         // how many there are
)

// RequestOutcome is how one request ended.
type RequestOutcome uint8

// The outcomes of a request.
const (
	OK         RequestOutcome = iota
	Rejected                  // trying again is harmless
	Failed                    // no such promise
	NoResponse                // no whole answer
)

// Request is a request that a client makes.
type Request struct {
	Number         int
	IdempotencyKey uint64
	Deadline       monotime.Micros // when the client gives this request up
	AbortAt        monotime.Micros // it leaves already then; 0 is that it does not
	Retry          bool            // it says that it is a repetition
}

// Start draws what an operation's client is like, and returns its first request.
func (s *Operation) Start(now monotime.Micros, h *Behavior, c *balancer.Class, r *rand.Rand) Request {
	s.StartedAt = now
	s.maxRetries = h.Retries[0] + r.IntN(h.Retries[1]-h.Retries[0]+1)
	s.timeoutShare = h.TimeoutShare[0] + (h.TimeoutShare[1]-h.TimeoutShare[0])*r.Float64()
	s.backoff = h.Backoff[0] + monotime.Micros(r.Float64()*float64(h.Backoff[1]-h.Backoff[0]))
	s.honorsRetryAfter = r.Float64() < h.HonorRetryAfter
	s.freshKeys = r.Float64() < h.FreshKeys
	return s.nextRequest(now, h, c, r)
}

// Deadline returns when an operation is given up at the latest.
func (s *Operation) Deadline(c *balancer.Class) monotime.Micros { return s.StartedAt + c.ClientTimeout }

func (s *Operation) nextRequest(now monotime.Micros, h *Behavior, c *balancer.Class, r *rand.Rand) Request {
	s.Requests++
	s.requestNumber = s.Requests
	s.inFlight = true
	t := Request{Number: s.requestNumber, IdempotencyKey: s.IdempotencyKey, Retry: h.MarkRetries && s.requestNumber > 1}
	if s.freshKeys && s.IdempotencyKey != 0 && s.requestNumber > 1 {
		t.IdempotencyKey = s.IdempotencyKey + uint64(s.requestNumber)*0x9e3779b97f4a7c15
	}
	t.Deadline = min(s.Deadline(c), now+monotime.Micros(s.timeoutShare*float64(c.ClientTimeout)))
	if s.requestNumber > s.maxRetries {
		t.Deadline = s.Deadline(c) // the last one is waited for as long as there is time
	}
	if r.Float64() < h.EarlyAbort {
		t.AbortAt = now + monotime.Micros(r.Float64()*float64(t.Deadline-now))
	}
	return t
}

// RequestEnded tells how a request ended; trying again is harmless after a rejection only, and otherwise as the class
// allows. If again is so, the next request begins at an instant: Again makes it. Of a request that is not the present
// one nothing is taken in.
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
	wait = wait/2 + monotime.Micros(r.Float64()*float64(wait)) // spread by half either way
	if v == Rejected && s.honorsRetryAfter {
		wait = max(wait, retryAfter)
	}
	if s.requestNumber > s.maxRetries || now+wait >= s.Deadline(c) || v != Rejected &&
		c.Idempotency == balancer.NonIdempotent {
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
