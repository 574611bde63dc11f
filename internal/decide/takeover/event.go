package takeover

import "dunlinsail/internal/monotime"

// Version is the version of the messages between predecessor and successor. A successor with another version is
// rejected.
const Version = 1

// Times limits the durations of the steps of a hot restart. A step that exceeds its limit ends with the event
// DeadlineReached.
type Times struct {
	Ready monotime.Micros // from Offer to Ready, which is the time in which the successor starts
	Reply monotime.Micros // from a message to its reply, if the other process can reply at once
	Drain monotime.Micros // from Activate to Done, or of a graceful shutdown; remaining connections are then closed
}

// Event is a message from the other process or an event of the host. The numeric values of the messages are part of the
// wire format.
type Event uint8

// The events. An event that is a message has the name of that message. If a comment below starts with "Successor:" or
// "Predecessor:", only the state machine of that name handles the event; both handle the other events.
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
	Drained                      // Predecessor: the host has no connections left and receives no new ones
	HandedOver                   // Successor: the next successor has taken over from it; also sent to the predecessor
	Resumed                      // Successor: it accepts again without the next successor; also sent to the predecessor
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

// The actions. If a comment below starts with "Predecessor:" or "Successor:", only the state machine of that name
// requests the action; both request the other actions.
const (
	Send                Action = iota // send Step.Message to the other process
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
	Fail                              // Successor: end the process without having served
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

// Step is one action that the host must execute, with its operands.
type Step struct {
	Action  Action
	Message Event  // message to send if Action is Send
	Reason  string // why the process fails or rejects, if Action is Fail or Message is Rejected
}

// sendMessage returns the step that sends a message to the other process.
func sendMessage(message Event) Step { return Step{Action: Send, Message: message} }

// rejectAndDisconnect returns the steps that reject the hot restart and close the connection.
func rejectAndDisconnect(reason string) []Step {
	return []Step{{Action: Send, Message: Rejected, Reason: reason}, {Action: Disconnect}}
}
