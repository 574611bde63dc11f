// Package simclient models a client of the fleet as a state machine: which requests it sends, how long it
// waits and how it retries. A first request and its retries belong to one Operation. The package does no I/O
// and reads no clock, so that the same clients run in simulated time (package simulation) and over sockets
// (package processes). Package measure defines the weight of an operation.
package simclient

import (
	"math/rand/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Behavior describes how clients behave. A field with two values is a range from which each client's value is
// drawn.
type Behavior struct {
	Retries         [2]int             // maximum number of retries of an operation
	TimeoutShare    [2]float64         // timeout of a request, as a fraction of the class's client timeout
	Backoff         [2]monotime.Micros // wait before the first retry, doubled with each further retry
	HonorRetryAfter float64            // fraction of the clients that wait for Retry-After
	EarlyAbort      float64            // fraction of the requests that the client aborts before the timeout
	MarkRetries     bool               // retries are marked as retries
	FreshKeys       float64            // fraction of the clients that give each retry a new idempotency key
}

// Operation is a task for which a client sends a first request and, if that fails, retries.
type Operation struct {
	ID             uint64
	Instance       int // instance that receives its requests
	Process        int // client process that sends its requests, by index at the instance
	Class          int
	Tenant         int             // -1 for an operation without a tenant
	Work           monotime.Micros // mean work of an execution, in microseconds at speed 1
	IdempotencyKey uint64          // 0 for classes without idempotency keys
	Object         uint64          // object that the requests concern
	StartedAt      monotime.Micros // when the first request was sent

	Requests         int // requests sent so far
	Outcome          Outcome
	EndedAt          monotime.Micros // when the operation was served or abandoned
	Executions       int             // attempts that an endpoint executed
	Effects          int             // executions that took effect
	DiscardsResponse bool            // the operation counts as unserved even if it gets a response (a planted harm)
	Rejected         int             // requests that were rejected
	Failed           int             // requests with an error response
	Unanswered       int             // requests without a response: a connection reset, a timeout or an abort

	maxRetries       int             // retries that the client sends at most
	honorsRetryAfter bool            // the client waits for Retry-After
	freshKeys        bool            // each retry gets a new idempotency key
	timeoutShare     float64         // timeout of a request, as a fraction of the class's client timeout
	backoff          monotime.Micros // wait before the first retry
	inFlight         bool            // the latest request has not ended
	requestNumber    int             // number of the latest request, from 1
}

// Outcome is the result of an operation.
type Outcome uint8

// The outcomes of an operation.
const (
	Pending      Outcome = iota // the operation has not ended
	Served                      // a request got a successful response
	Unserved                    // no request was served within the client timeout
	OutcomeCount                // number of outcomes
)

// RequestOutcome is the result of one request.
type RequestOutcome uint8

// The outcomes of a request.
const (
	OK         RequestOutcome = iota // a successful response
	Rejected                         // rejected without execution, so that a retry is safe
	Failed                           // an error response; the request may have been executed
	NoResponse                       // no complete response; the request may have been executed
)

// Request is one request that a client sends for an operation.
type Request struct {
	Number         int // position in the operation, from 1
	IdempotencyKey uint64
	Deadline       monotime.Micros // when the client times out
	AbortAt        monotime.Micros // when the client aborts the request early; 0 if it does not
	Retry          bool            // the request is marked as a retry
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

// Deadline returns the latest time until which the client pursues the operation.
func (o *Operation) Deadline(class *balancer.Class) monotime.Micros {
	return o.StartedAt + class.ClientTimeout
}

// retryKeyIncrement is the distance between the idempotency keys of an operation's requests, for clients that give
// each retry a new key.
const retryKeyIncrement = 0x9e3779b97f4a7c15

// nextRequest returns the operation's next request and counts it as sent.
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
		request.IdempotencyKey = o.IdempotencyKey + uint64(o.requestNumber)*retryKeyIncrement
	}
	request.Deadline = min(o.Deadline(class), now+monotime.Micros(o.timeoutShare*float64(class.ClientTimeout)))
	if o.requestNumber > o.maxRetries {
		request.Deadline = o.Deadline(class) // the last request gets all the remaining time
	}
	if random.Float64() < b.EarlyAbort {
		request.AbortAt = now + monotime.Micros(random.Float64()*float64(request.Deadline-now))
	}
	return request
}

// RequestEnded records how a request ended. It reports whether the client retries, and when the caller has to
// send the request that Retry returns. Clients retry rejected requests, and other unsuccessful requests if
// repeating the class is safe. The end of a request that is not the latest one is ignored.
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
	wait = wait/2 + monotime.Micros(random.Float64()*float64(wait)) // jitter: 0.5 to 1.5 times the backoff
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

// Retry returns the operation's next request, when RequestEnded has reported that the client retries.
func (o *Operation) Retry(now monotime.Micros, b *Behavior, class *balancer.Class, random *rand.Rand) Request {
	return o.nextRequest(now, b, class, random)
}
