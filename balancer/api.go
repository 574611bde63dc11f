package balancer

import "dunlinsail/internal/monotime"

// EndpointState is the state of an endpoint, as discovery gives it.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready    EndpointState = iota
	Draining               // gets no new attempts; attempts in flight go on
	Gone                   // gets no new attempts, and is forgotten once it has none in flight
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        uint32 // the host's number for it
	Zone      uint8
	Kind      uint8  // of machine. Not used by the balancer.
	Cell      uint16 // part of its zone, with a deduplication scope of its own (DedupCell); unique over all zones
	State     EndpointState
	Share     float32         // of the service's capacity, 0 to 1. Not used by the balancer.
	StartTime monotime.Micros // instant at which its present process started; 0 is unknown (startTimeOf)
}

// ListKind is the meaning of the entries of an endpoint list.
type ListKind uint8

// The kinds of endpoint list.
const (
	ListDelta  ListKind = iota // the entries that have changed
	ListFull                   // all entries
	ListCached                 // all entries, as of an earlier time
	ListFailed                 // no entries: discovery failed
)

// Request is a client's request. It gets one final answer: an outcome that answers it, a rejection or a
// failure.
type Request struct {
	ID        uint64
	ObjectKey uint64          // hash of the object that the request is about, 0 for none. Not used by the balancer.
	Deadline  monotime.Micros // instant at which the client gives up

	// QueueTime is the time that the request has waited in the host's queue. The latency objective counts
	// from the arrival at the host.
	QueueTime monotime.Micros

	WorkHint    monotime.Micros // expected work, if HasWorkHint
	HasWorkHint bool
	Retry       bool // the client marked it as its own retry; it is no retry by the balancer
	MaxAttempts int  // within Limits.MaxAttempts; 0 for that number
	Write       bool // it changes data. Not used by the balancer.

	// Upload is set for a request whose body is sent while the endpoint reads it. Until its end the endpoint
	// is not expected to answer, and the attempt has no timeout of its own.
	Upload bool

	Tenant uint16 // index into Settings.Tenants
	Class  uint8  // index into Settings.Classes
}

// Status is how an attempt or a probe ended.
type Status uint8

// The statuses of an attempt. Rejected, ConnectFailed and NotSent prove that the attempt never ran. After all
// others, Cancelled included, it may have run, which limits retries and rejections of its request; after OK
// it has run.
const (
	OK            Status = iota
	Error                // an error of the endpoint
	Rejected             // by the endpoint, before the attempt ran
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // by Actions.Cancel
	NotSent              // the host sent nothing
)

// Outcome is the end of an attempt. Load is valid during the call only.
type Outcome struct {
	ID            uint64 // of the request
	Attempt       int    // number among the request's attempts, from 0, in the order of Actions.Send
	Endpoint      uint32 // Not used by the balancer, which knows it by the attempt.
	Status        Status
	Latency       monotime.Micros // from the send to the end
	Stalled       monotime.Micros // of Latency, the part for which the host's process did not run
	Answered      bool            // the request has its final answer
	NotReplayable bool            // a part of its body was sent that cannot be sent again: no retry is possible
	Load          []float32       // load report on the answer. Not used by the balancer.
}

// OverloadPolicy is what the fleet's overload control admits. All ratios are 0 to 1. The host may change the
// slices between calls.
type OverloadPolicy struct {
	AdmitRatio          []float64 // by class: of its requests
	OverQuotaAdmitRatio []float64 // by class: of its requests over their tenant's quota
	WithinQuotaRatio    []float64 // by tenant: the part of its requests that is within its quota
	RetryAdmitRatio     float64   // of the clients' retries (Request.Retry) that the ratios above admit

	QueueWaitFraction      []float64 // by class: part of the rest of the latency objective that queueing may take
	FloorQueueWaitFraction float64   // the same, at least, for the requests of FloorRatio, of any class
	FloorRatio             float64   // of the requests: those of the lowest rank numbers, which are admitted first

	ForcedAdmitInterval monotime.Micros // time between two forced admissions of a class
	RetryAllowed        bool            // this instance may send one more retry, by its own budget or its leased quota
	MaxProbeRate        float64         // probes per second of this instance
}

// Actions is what a balancer requires of its host. Calls come from within event methods, in the order in
// which they are to take effect. They must not call the balancer, and must not block.
type Actions interface {
	// Send starts an attempt. Its end is passed to Balancer.HandleOutcome. After timeout the host gives it up
	// with status Timeout; 0 is at the request's deadline.
	Send(id uint64, endpoint uint32, timeout monotime.Micros)

	// Reject gives the final answer "rejected", which promises that a retry is harmless. The client may retry
	// after retryAfter; 0 gives no time.
	Reject(id uint64, retryAfter monotime.Micros)

	// Fail gives the final answer "failed", which promises nothing.
	Fail(id uint64)

	// Cancel ends the wait for an attempt. Its outcome still comes, with any status.
	Cancel(id uint64, attempt int)

	// SetTimer calls Balancer.HandleTimer with token after a delay, which is positive. There may be several
	// timers of a token.
	SetTimer(delay monotime.Micros, token uint32)

	// Probe requests a load report of an endpoint. Its end is passed to Balancer.HandleProbe.
	Probe(endpoint uint32)

	// Watch subscribes to discovery's endpoint list, or ends the subscription, which the balancer never does.
	// Lists are passed to Balancer.UpdateEndpoints.
	Watch(on bool)

	// Log writes a line for on-call staff. args are alternating keys and values, as in log/slog.
	Log(message string, args ...any)
}
