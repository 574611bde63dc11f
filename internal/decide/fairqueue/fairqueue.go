// Package fairqueue decides between the clients of one instance: whose request goes on now, whose waits, and whose
// is turned away. It knows clients with weights and bounds, and how many requests may be in flight at once: a
// Scheduler stands for one set of endpoints, and several may share their clients. It knows nothing of endpoints, which the balancer picks afterwards, nor of sockets. It is a deterministic state
// machine for one caller at a time: its host passes events with their instants, and takes the decisions that
// follow from them with Next until there is none.
//
// What is shared is time in flight: a client whose requests take longer gets fewer of them. The order is that of
// start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queueing", SIGCOMM 1996) over several servers
// (SFQ(D): Jin, Chase, Kaur: "Interposed proportional sharing for a storage service utility", SIGMETRICS 2004):
// each client has a tag in virtual time, the least tag goes first, and each request moves its client's tag on by
// its cost over the client's weight. A cost is known only at the end: the mean of the class is charged at the
// start, and the difference settled then. Nothing is ever held back while there is room for it.
package fairqueue

import (
	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Request is a client's request.
type Request struct {
	ID       uint64
	Class    int             // its place among the classes; costs are learned for each
	Deadline monotime.Micros // an answer after this instant is worth nothing

	// Patience is the part of the time that is left for waiting, over 0 to 1, that it may spend waiting here; 0 is all.
	// Where all wait until it is nearly too late, all answers come at the last moment, and many after it.
	MaxWaitFraction float64
}

// Verb is what is to be done with a request.
type Action uint8

// The verbs.
const (
	Admit  Action = iota // it goes on to the balancer
	Reject               // it is given up: nothing of it has been sent, so trying again is harmless
)

// Reason says why a request is turned away.
type Reason uint8

// The reasons.
const (
	None              Reason = iota
	WouldMissDeadline        // by the time its turn would come, no answer could be in time
	ClientAtLimit            // its client has as many open as it may
	ClientOverRate           // its client asks more often than it may
	TotalAtLimit             // the instance holds as many as it may
)

var reasonTexts = [...]string{"", "the answer would come too late", "too many requests of this client are open",
	"too many requests a second of this client", "too many requests are open"}

func (r Reason) String() string { return reasonTexts[r] }

// Decision is what is to be done with one request.
type Decision struct {
	ID         uint64
	Action     Action
	Reason     Reason          // TurnAway only
	RetryAfter monotime.Micros // TurnAway only: after so long there may be room; 0 is no advice
}
