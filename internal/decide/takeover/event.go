package takeover

import "dunlinsail/internal/monotime"

// Version is the version of the messages between predecessor and successor. A successor with another version is
// rejected.
const Version = 1

// Times limits the durations of the steps of a hot restart. A step that takes longer ends with DeadlineReached.
type Times struct {
	Ready  monotime.Micros // from Offer to Ready: the start of the successor
	Answer monotime.Micros // from a message to its reply, for replies that need no work
	Drain  monotime.Micros // from Activate to Done, or a graceful shutdown; then remaining connections are closed
}

// Event is a message from the other process or an event of the host. The numeric values of the messages are part of the
// wire format.
type Event uint8

// The events. An event that is a message has the name of that message. Comments that start with Predecessor or
// Successor are of events that only that state machine handles.
const (
	Hello           Event = iota // the successor requests a hot restart
	Offer                        // the predecessor sends the listening sockets and a snapshot
	Ready                        // the successor is able to serve
	Handover                     // the predecessor has stopped accepting, and sends the final snapshot
	Prepared                     // the successor has restored the final snapshot
	Activate                     // the successor must start to accept
	Done                         // the predecessor has no connections left
	Stopping                     // the successor shuts down, and the predecessor must not serve again
	Rejected                     // the other process rejects the hot restart
	ConnectionLost               // the connection to the other process has ended without Done or Rejected
	DeadlineReached              // the instant that Deadline returns has passed
	Stop                         // the host was requested to shut down
	Started                      // Successor: the host is able to serve
	Drained                      // Predecessor: the host has no connections left, and will get no new ones
	HandedOver                   // Successor: a successor of its own has taken over; also sent to the predecessor
	Resumed                      // Successor: its successor is lost and it accepts again; also sent to the predecessor
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

// String returns the name of the event in logs.
func (e Event) String() string { return eventNames[e] }

// Action is a kind of work that a Predecessor or Successor requests from its host.
type Action uint8

// The actions. Comments that start with Predecessor or Successor are of actions that only that state machine requests.
const (
	Send                Action = iota // send the message of the step
	Disconnect                        // close the connection to the other process
	StopAccepting                     // Predecessor: stop accepting, and leave the warm-up budget to the successor
	ResumeServing                     // Predecessor: accept again, and take the warm-up budget back
	HandOverConnections               // Predecessor: hand over client connections as they become idle
	Drain                             // Predecessor: shut down gracefully, without a successor
	DrainForSuccessor                 // Predecessor: shut down gracefully while another process accepts
	CloseRemaining                    // Predecessor: close the connections that are still open
	Exit                              // end the process
	StartWithOffer                    // Successor: start with the sockets and the snapshot of Offer
	RestoreState                      // Successor: restore the snapshot of Handover
	StartServing                      // Successor: start to accept connections
	StartAlone                        // Successor: start without a predecessor
	Fail                              // Successor: end the process, which has not taken over anything
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

// String returns the name of the action in logs.
func (a Action) String() string { return actionNames[a] }

// Step is one action with its operands.
type Step struct {
	Action  Action
	Message Event  // message of a Send
	Reason  string // reason of a Fail, or of a Send of Rejected
}

// sendMessage returns the step that sends a message to the other process.
func sendMessage(message Event) Step { return Step{Action: Send, Message: message} }

// rejectAndDisconnect returns the steps that reject the hot restart and close the connection.
func rejectAndDisconnect(reason string) []Step {
	return []Step{{Action: Send, Message: Rejected, Reason: reason}, {Action: Disconnect}}
}
