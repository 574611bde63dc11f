package takeover

import "dunlinsail/internal/monotime"

// Version is the version of the messages. A successor with another version is rejected.
const Version = 1

// Times bound the steps. A step that takes longer ends the hot restart with DeadlineReached.
type Times struct {
	Ready  monotime.Micros // from Offer to Ready: the successor's start
	Answer monotime.Micros // from a message to its reply, where that needs no work
	Drain  monotime.Micros // from Activate to Done, and of a graceful shutdown: remaining connections are closed then
}

// Event is a message of the other side, or an event of the host. The numbers of the messages are part of the wire form.
type Event uint8

// The events. An event that is a message has the message's name.
const (
	Hello           Event = iota // the successor requests a hot restart
	Offer                        // the listening sockets and a snapshot
	Ready                        // the successor is able to serve
	Handover                     // the predecessor has stopped accepting; the final snapshot
	Prepared                     // the successor has restored the final snapshot
	Activate                     // the successor is to serve
	Done                         // the predecessor has no connections left
	Stopping                     // the successor shuts down: the predecessor must not serve again
	Rejected                     // the other side rejects the hot restart
	ConnectionLost               // the connection to the other side has ended without Done or Rejected
	DeadlineReached              // the instant of Deadline has passed
	Stop                         // the host was requested to shut down
	Started                      // Successor: the host is able to serve
	Drained                      // Predecessor: the host has no connection left, and will get none
	HandedOver                   // Successor: the host has handed over to its own successor; also a message
	Resumed                      // Successor: its own successor is lost and it accepts again; also a message
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

// Action is what a host must do.
type Action uint8

// The actions.
const (
	Send                Action = iota // the message that Step names
	Disconnect                        // close the connection to the other side
	StopAccepting                     // Predecessor: stop accepting, and leave the warm-up budget to the successor
	ResumeServing                     // Predecessor: accept again, and take the warm-up budget back
	HandOverConnections               // Predecessor: hand connections over as they become idle
	Drain                             // Predecessor: shut down gracefully, without a successor
	DrainForSuccessor                 // Predecessor: as Drain, but another process accepts
	CloseRemaining                    // Predecessor: close what is still open
	Exit                              // end the process
	StartWithOffer                    // Successor: start with the sockets and the snapshot of Offer
	RestoreState                      // Successor: restore the snapshot of Handover
	StartServing                      // Successor: serve
	StartAlone                        // Successor: start without a predecessor
	Fail                              // Successor: end the process, which has taken nothing over
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

// send returns the step that sends a message.
func sendMessage(message Event) Step { return Step{Action: Send, Message: message} }

// rejectAndDisconnect returns the steps that reject the hot restart and end the connection.
func rejectAndDisconnect(reason string) []Step {
	return []Step{{Action: Send, Message: Rejected, Reason: reason}, {Action: Disconnect}}
}
