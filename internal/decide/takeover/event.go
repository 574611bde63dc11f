package takeover

import "dunlinsail/internal/monotime"

// Version is that of the messages. A Successor of another version is rejected.
const Version = 1

// Times bound the steps.
type Times struct {
	Ready  monotime.Micros // from Offer to Ready
	Answer monotime.Micros // from a message to its answer, where that takes no work
	Drain  monotime.Micros // from Activate to Done
}

// Event is what happened: a message came from the other side, or something happened at the host. The numbers of the
// messages are sent.
type Event uint8

// The events. Those of the messages are named by them.
const (
	Hello           Event = iota
	Offer                 // the listening sockets and a snapshot
	Ready                 // the successor could serve
	Handover              // the predecessor has stopped accepting; the final snapshot
	Prepared              // the successor has restored it
	Activate              // the successor is to serve
	Done                  // the predecessor has nothing left
	Stopping              // the successor was told to stop: the predecessor must not serve on
	Rejected              // the other side rejects the hot restart
	ConnectionLost        // the connection to the other side has ended without that
	DeadlineReached       // the instant that Deadline named has come
	Stop                  // the host was told to stop
	Started               // Successor: the host could serve
	Drained               // Predecessor: the host holds no connection, and none will be handed to it
	HandedOver            // Successor: the host hands over to its own successor; also a message to its predecessor
	Resumed               // Successor: its own successor is lost, it accepts again; also a message to its predecessor
)

var eventNames = [...]string{
	Hello:           "hello",
	Offer:           "offer",
	Ready:           "ready",
	Handover:        "handover",
	Prepared:        "prepared",
	Activate:        "activate",
	Done:            "done",
	Stopping:        "stopping",
	Rejected:        "rejected",
	ConnectionLost:  "connection lost",
	DeadlineReached: "deadline reached",
	Stop:            "stop",
	Started:         "started",
	Drained:         "drained",
	HandedOver:      "handed over",
	Resumed:         "resumed",
}

// String returns the event's name in logs.
func (e Event) String() string { return eventNames[e] }

// Action is what a host is to do.
type Action uint8

// The actions.
const (
	Send                Action = iota // the message that Step names
	Disconnect                        // close the connection to the other side
	StopAccepting                     // Predecessor: accept nothing more; the successor has the warm-up budget
	ResumeServing                     // Predecessor: accept again, and take the warm-up budget back
	HandOverConnections               // Predecessor: hand connections over as they become idle
	Drain                             // Predecessor: shut down gracefully, without a successor
	DrainForSuccessor                 // Predecessor: as Drain, but another process accepts
	CloseRemaining                    // Predecessor: close what is still open
	Exit                              // the host's process is over
	StartWithOffer                    // Successor: start with what was offered
	RestoreState                      // Successor: restore what came with Handover
	StartServing                      // Successor: serve
	StartAlone                        // Successor: there is no predecessor: start without
	Fail                              // Successor: the process is over, and has taken over nothing
)

var actionNames = [...]string{
	Send:                "send",
	Disconnect:          "disconnect",
	StopAccepting:       "stop accepting",
	ResumeServing:       "resume serving",
	HandOverConnections: "hand over connections",
	Drain:               "drain",
	DrainForSuccessor:   "drain for successor",
	CloseRemaining:      "close remaining",
	Exit:                "exit",
	StartWithOffer:      "start with offer",
	RestoreState:        "restore state",
	StartServing:        "start serving",
	StartAlone:          "start alone",
	Fail:                "fail",
}

// String returns the action's name in logs.
func (a Action) String() string { return actionNames[a] }

// Step is one action.
type Step struct {
	Action  Action
	Message Event  // of Send
	Reason  string // of Send Rejected and of Fail
}

func send(message Event) Step { return Step{Action: Send, Message: message} }

func rejectWith(reason string) []Step {
	return []Step{{Action: Send, Message: Rejected, Reason: reason}, {Action: Disconnect}}
}
