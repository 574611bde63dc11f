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
func (o *Operation) Start(now monotime.Micros, b *Behavior, class *balancer.Class, random *rand.Rand) Request {
	o.StartedAt = now
	o.maxRetries = b.Retries[0] + random.IntN(b.Retries[1]-b.Retries[0]+1)
	o.timeoutShare = b.TimeoutShare[0] + (b.TimeoutShare[1]-b.TimeoutShare[0])*random.Float64()
	o.backoff = b.Backoff[0] + monotime.Micros(random.Float64()*float64(b.Backoff[1]-b.Backoff[0]))
	o.honorsRetryAfter = random.Float64() < b.HonorRetryAfter
	o.freshKeys = random.Float64() < b.FreshKeys
	return o.nextRequest(now, b, class, random)
}

// Deadline returns when the client gives up the operation at the latest.
func (o *Operation) Deadline(class *balancer.Class) monotime.Micros {
	return o.StartedAt + class.ClientTimeout
}

// retryKeyStep separates the idempotency keys of an operation's requests, for clients that give each its own.
const retryKeyStep = 0x9e3779b97f4a7c15

// nextRequest makes the operation's next request.
func (o *Operation) nextRequest(now monotime.Micros, b *Behavior, class *balancer.Class, random *rand.Rand) Request {
	o.Requests++
	o.requestNumber = o.Requests
	o.inFlight = true
	request := Request{
		Number:         o.requestNumber,
		IdempotencyKey: o.IdempotencyKey,
		Retry:          b.MarkRetries && o.requestNumber > 1,
	}
	if o.freshKeys && o.IdempotencyKey != 0 && o.requestNumber > 1 {
		request.IdempotencyKey = o.IdempotencyKey + uint64(o.requestNumber)*retryKeyStep
	}
	request.Deadline = min(o.Deadline(class), now+monotime.Micros(o.timeoutShare*float64(class.ClientTimeout)))
	if o.requestNumber > o.maxRetries {
		request.Deadline = o.Deadline(class) // the last request has all the remaining time
	}
	if random.Float64() < b.EarlyAbort {
		request.AbortAt = now + monotime.Micros(random.Float64()*float64(request.Deadline-now))
	}
	return request
}

// RequestEnded records how a request ended, and reports whether the client retries, and when: Retry makes that request.
// Clients retry rejected requests, and others if their class is safe to repeat. The end of any but the latest request
// is ignored.
func (o *Operation) RequestEnded(now monotime.Micros, number int, outcome RequestOutcome, retryAfter monotime.Micros,
	class *balancer.Class, random *rand.Rand) (retryAt monotime.Micros, retries bool) {
	if !o.inFlight || number != o.requestNumber || o.Outcome != Pending {
		return 0, false
	}
	o.inFlight = false
	switch outcome {
	case OK:
		o.Outcome = Served
		o.EndedAt = now
		if o.DiscardsResponse {
			o.Outcome = Unserved
		}
		return 0, false
	case Rejected:
		o.Rejected++
	case Failed:
		o.Failed++
	case NoResponse:
		o.Unanswered++
	}
	wait := o.backoff << (o.requestNumber - 1)
	wait = wait/2 + monotime.Micros(random.Float64()*float64(wait)) // jitter of half either way
	if outcome == Rejected && o.honorsRetryAfter {
		wait = max(wait, retryAfter)
	}
	unsafeToRetry := outcome != Rejected && class.Idempotency == balancer.NonIdempotent
	if o.requestNumber > o.maxRetries || now+wait >= o.Deadline(class) || unsafeToRetry {
		o.Outcome = Unserved
		o.EndedAt = now
		return 0, false
	}
	return now + wait, true
}

// Retry makes the next request.
func (o *Operation) Retry(now monotime.Micros, b *Behavior, class *balancer.Class, random *rand.Rand) Request {
	return o.nextRequest(now, b, class, random)
}
