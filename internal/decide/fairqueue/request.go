package fairqueue

import "dunlinsail/internal/monotime"

const second = monotime.Second

// Request is a client's request.
type Request struct {
	ID       uint64
	Class    int             // index in Settings.InitialTimes
	Deadline monotime.Micros // an answer after this instant is of no use

	// MaxWaitFraction is the part of the time until its latest start for which the request may wait, greater than 0,
	// up to 1; 0 stands for all of it. Requests that start at their latest start are answered at the last moment, and
	// many of them too late.
	MaxWaitFraction float64
}

// Action is what is to be done with a request.
type Action uint8

// The actions.
const (
	Admit  Action = iota // pass it to the balancer
	Reject               // respond that it is rejected: nothing of it was sent, so that a retry is harmless
)

// Reason is why a request is rejected.
type Reason uint8

// The reasons.
const (
	None               Reason = iota
	WouldMissDeadline         // once it could be admitted, its answer would come too late
	ClientAtLimit             // its client has ClientSpec.MaxOpen requests open
	ClientOverRate            // its client is over ClientSpec.Rate
	SharedLimitReached        // SharedLimit.Max requests are open
)

var reasonTexts = [...]string{
	"",
	"the answer would come too late",
	"too many requests of this client are open",
	"too many requests a second of this client",
	"too many requests are open",
}

// String returns the reason as it is given to clients and in logs.
func (r Reason) String() string { return reasonTexts[r] }

// Decision is what is to be done with one request.
type Decision struct {
	ID         uint64
	Action     Action
	Reason     Reason          // of Reject
	RetryAfter monotime.Micros // of Reject: after which there may be capacity; 0 is no advice
}
