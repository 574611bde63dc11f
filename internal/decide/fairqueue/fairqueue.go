// Package fairqueue schedules the requests of an instance's clients: which request is admitted now, which
// waits, and which is rejected. A Scheduler bounds the requests in flight to one set of endpoints; several
// schedulers may share their clients. It must not import endpoints, which the balancer picks after admission,
// nor sockets.
//
// What is shared is time in flight: a client whose requests take longer gets fewer of them. The algorithm is
// start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996) with several requests
// in service, SFQ(D) (Jin, Chase, Kaur: "Interposed Proportional Sharing for a Storage Service Utility",
// SIGMETRICS 2004): each client has a start tag in virtual time, the least tag is served first, and each
// request advances its client's tag by its cost over the client's weight. As the cost is known only at the end,
// the mean of the request's class is charged at the start and the difference corrected at the end. The
// scheduler is work-conserving: nothing waits while there is capacity.
//
// A Scheduler is a deterministic state machine for one goroutine at a time. Its caller passes events with their
// instants, and calls Next for the decisions that follow until there are none.
package fairqueue

import "dunlinsail/internal/monotime"

const second = monotime.Second

// Request is a client's request.
type Request struct {
	ID       uint64
	Class    int             // index in Settings.InitialTimes
	Deadline monotime.Micros // an answer after this instant is worthless

	// MaxWaitFraction is the part of the time left for waiting, over 0 to 1, that the request may wait here; 0
	// is all. If all requests waited until their latest start, all answers would come at the last moment, and
	// many after it.
	MaxWaitFraction float64
}

// Action is what is to be done with a request.
type Action uint8

// The actions.
const (
	Admit  Action = iota // pass it on to the balancer
	Reject               // answer without it; nothing of it was sent, so that a retry is safe
)

// Reason is why a request is rejected.
type Reason uint8

// The reasons.
const (
	None               Reason = iota
	WouldMissDeadline         // no answer could be in time by the time its turn comes
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
	RetryAfter monotime.Micros // of Reject: when there may be capacity; 0 is no advice
}
