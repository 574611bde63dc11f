package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// AttemptResult is the outcome of an attempt or a probe.
type AttemptResult struct {
	Status     balancer.Status
	ObservedAt monotime.Micros // when the host observed the outcome
	// SentAt is when the last byte of the request was written. Latency counts from SentAt, or from
	// Attempt.StartedAt if SentAt is 0.
	SentAt monotime.Micros
	Load   []float32 // the endpoint's load report, in the order of Settings.LoadMetrics; nil if there is none

	// Response is the endpoint's response in the host's representation. It may be nil if Status is not OK.
	Response any
	// PromisesHarmlessRetry is set if Response tells its client that a retry is harmless, as a rejection does. The
	// endpoint knows of this attempt only, so other attempts decide whether the response may be forwarded.
	PromisesHarmlessRetry bool
}

// Verdict is the result of a request as its client sees it.
type Verdict uint8

// Verdicts of requests.
const (
	Served      Verdict = iota
	Rejected            // a retry is harmless: no endpoint executed the request, or repeating it has no further effect
	RateLimited         // rejected because its client or tenant is over its rate limit; a retry is harmless
	Failed              // the request failed and may have had an effect
	TimedOut            // the request failed with a timeout of its last attempt, and may have had an effect
	DuplicateID         // not accepted: another request of the client with this ID is open or may still run
)

// verdictNames are the names of the verdicts in the log.
var verdictNames = [...]string{"served", "rejected", "rate limited", "failed", "timed out", "duplicate ID"}

// String returns the verdict's name in the log.
func (v Verdict) String() string { return verdictNames[v] }

// Response is the final response to a request.
type Response struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // with Rejected and RateLimited: delay before a retry; 0 is no advice
	Reason     string          // with Rejected and RateLimited: human-readable reason; may be empty
	// Result is the result that is served with Served. With other verdicts it is the latest result that carries
	// an endpoint's response, or nil if there is none or that response may not be forwarded.
	Result *AttemptResult

	Attempts  int             // number of attempts started
	QueueTime monotime.Micros // time in the queue before the request was admitted
	Endpoint  string          // name of the endpoint that served the request; empty if none did
}

// Call is a client's request while the engine handles it. The exported fields are set before Engine.Submit.
type Call struct {
	Client *Client
	Pool   *Pool  // pool of endpoints that may serve the request
	ID     string // request ID chosen by the client, unique among its open requests
	// GeneratedID is set if the client has not chosen the ID, so that no other request can have it.
	GeneratedID bool
	Request     balancer.Request // the engine sets Request.ID and Request.QueueTime
	ArrivedAt   monotime.Micros  // when the request had been received completely
	HostData    any              // reserved for the host; the engine does not use it

	// NotReplayable reports whether the host has already sent a part of the request that it cannot send again;
	// the request then gets no retry. nil means that the request can always be sent again.
	NotReplayable func() bool

	admittedAt          monotime.Micros // when the queue admitted the request; 0 before that
	inFlightAtAdmission int             // requests in flight in the pool at admission, including this one
	attempts            []*Attempt
	openAttempts        int            // attempts without an outcome
	finished            bool           // the request has its final response, or its client has disconnected
	clientGone          bool           // the client disconnected before the final response
	mayHaveRun          bool           // an attempt with an outcome may have run
	lastTimedOut        bool           // the latest outcome of an attempt was a timeout
	lastResult          *AttemptResult // latest result that carried an endpoint's response; nil if none did
	lastResultAttempt   int            // number of the attempt that lastResult belongs to
}

// Attempt is one sending of a request to an endpoint. The balancer gets exactly one outcome for each attempt,
// even if the host reports none or several.
type Attempt struct {
	Call      *Call
	Number    int // index among the call's attempts, from 0; later attempts are retries or hedged requests
	Endpoint  *Endpoint
	StartedAt monotime.Micros
	Deadline  monotime.Micros // instant at which the attempt is abandoned
	// AddressVersion is the version of the endpoint's address to which the attempt is sent.
	AddressVersion AddressVersion
	SendBefore     monotime.Micros // the first byte must be written before this instant; 0 is no limit
	HostData       any             // reserved for the host; the engine does not use it

	deadlineTimer *timer
	// timeoutAt is the end of the attempt's own timeout, not extended by stalls of this process; 0 is no
	// timeout.
	timeoutAt monotime.Micros
	done      bool // the outcome is recorded
}

// Done reports whether the attempt's outcome is recorded. The host drops any data that arrives for the attempt
// afterwards.
func (a *Attempt) Done() bool { return a.done }
