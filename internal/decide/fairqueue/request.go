package fairqueue

import "dunlinsail/internal/monotime"

const second = monotime.Second

// Request is a client's request.
type Request struct {
	ID       uint64          // unique among the open requests of a scheduler
	Class    int             // index in Settings.InitialTimes
	Deadline monotime.Micros // instant after which a response is useless

	// MaxWaitFraction is the fraction of the time until its latest start for which the request may wait,
	// greater than 0 and up to 1; 0 stands for 1. Requests that are admitted at their latest start get their
	// response at the last moment, and many of them too late.
	MaxWaitFraction float64
}

// Action states how the caller must handle a request.
type Action uint8

// The actions of a Decision.
const (
	Admit  Action = iota // pass the request to the balancer
	Reject               // respond with a rejection: no part of the request was sent, so that a retry is harmless
)

// Reason states why a request is rejected.
type Reason uint8

// The reasons for a rejection. None is the reason of an admitted request.
const (
	None               Reason = iota
	WouldMissDeadline         // the response would be too late at the earliest possible admission
	ClientAtLimit             // the client has ClientSpec.MaxOpen open requests
	ClientOverRate            // the client exceeds ClientSpec.Rate
	SharedLimitReached        // there are SharedLimit.Max open requests
)

var reasonTexts = [...]string{
	"",
	"the answer would come too late",
	"too many requests of this client are open",
	"too many requests a second of this client",
	"too many requests are open",
}

// String returns the text of the reason for clients and logs.
func (r Reason) String() string { return reasonTexts[r] }

// Decision is the action for one request.
type Decision struct {
	ID         uint64 // Request.ID
	Action     Action
	Reason     Reason          // why the request is rejected; None for Admit
	RetryAfter monotime.Micros // time after a rejection until there may be capacity; 0: not known
}
