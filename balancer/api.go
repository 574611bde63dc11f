package balancer

import "dunlinsail/internal/monotime"

// EndpointState is the state of an endpoint by discovery.
type EndpointState uint8

// The states of an endpoint.
const (
	Ready    EndpointState = iota
	Draining               // gets nothing new
	Gone
)

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        uint32 // the host's number for it
	Zone      uint8
	Kind      uint8  // of machine; no decision reads it
	Cell      uint16 // of its zone; a deduplication scope (DedupCell)
	State     EndpointState
	Share     float32         // of the service; no decision reads it
	StartTime monotime.Micros // of its present process; 0 is long ago
}

// ListKind says how the entries of an endpoint list are to be read.
type ListKind uint8

// The kinds of endpoint list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // a complete list of an earlier time; it may be old
	ListFailed                 // discovery failed; no entries
)

// Request is a client's request. It gets one final answer: an outcome that answers it, a rejection or a
// failure.
type Request struct {
	ID          uint64
	ObjectKey   uint64          // hash of the object that the request is about, 0 for none; no decision reads it
	Deadline    monotime.Micros // the instant at which the client gives up
	QueueTime   monotime.Micros // time in the host's queue: the latency objective counts from the arrival there
	WorkHint    monotime.Micros // expected work, if HasWorkHint
	HasWorkHint bool
	Retry       bool // the client marked it as a retry
	MaxAttempts int  // within Limits.MaxAttempts; 0 is that many
	Write       bool // no decision reads it
	Upload      bool // its body is sent while an endpoint reads it: until the end the endpoint owes no answer
	Tenant      uint16
	Class       uint8
}

// Status says how an attempt or a probe ended.
type Status uint8

// The ways in which an attempt may end. Rejected, ConnectFailed and NotSent prove that it never ran; all
// others but OK leave that open.
const (
	OK            Status = iota
	Error                // an error of the endpoint
	Rejected             // by the endpoint, before it ran
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // by Actions.Cancel
	NotSent              // the host sent nothing
)

// Outcome is the end of an attempt. Load is valid during the call only.
type Outcome struct {
	ID            uint64
	Attempt       int // number among the request's attempts, from 0, in the order of Actions.Send
	Endpoint      uint32
	Status        Status
	Latency       monotime.Micros
	Answered      bool // the request has its final answer
	NotReplayable bool // a part of its body that cannot be sent again has gone out: no retry is possible
	Load          []float32
}

// OverloadPolicy is what the fleet's overload control admits. The host may change the slices between calls.
type OverloadPolicy struct {
	AdmitRatio           []float64 // by class: part of the requests that is admitted
	OverQuotaAdmitRatio  []float64 // by class: the same of requests over their tenant's quota
	WithinQuotaRatio     []float64 // by tenant: part of its requests that is within its quota
	RetryAdmitRatio      float64   // part of the retries that is admitted, of those that are by the ratios above
	QueueWaitFraction    []float64 // by class: part of what remains of the latency objective for queueing
	TopQueueWaitFraction float64   // the same for the requests of the highest rank, whatever their class
	TopRatio             float64   // part of the requests that has that rank

	ForcedAdmitInterval monotime.Micros // time between requests of a class that are admitted against the prediction
	RetryAllowed        bool
	MaxProbeRate        float64 // probes per second
}

// Actions is what a balancer calls its host for. Calls come from within event methods, in the order in which
// they are to take effect; they must not call the balancer.
type Actions interface {
	// Send starts an attempt. Timeout 0 is until the request's deadline.
	Send(id uint64, endpoint uint32, timeout monotime.Micros)
	// Reject is a final answer that promises that a retry is harmless. retryAfter 0 is not said to the
	// client.
	Reject(id uint64, retryAfter monotime.Micros)
	// Fail is a final answer that promises nothing.
	Fail(id uint64)
	// Cancel ends the wait for an attempt; its outcome still comes.
	Cancel(id uint64, attempt int)
	// SetTimer has Balancer.HandleTimer called with this token after a delay.
	SetTimer(delay monotime.Micros, token uint32)
	// Probe asks an endpoint for a load report; Balancer.HandleProbe gets it.
	Probe(endpoint uint32)
	// Watch subscribes to discovery's endpoint list, or ends the subscription.
	Watch(on bool)
	// Log writes a line for on-call staff. args are alternating keys and values, as of log/slog.
	Log(message string, args ...any)
}
