package wire

import "fmt"

// Code is the code of a record on the wire. The record is either an event from the simulator or an action in
// the reply.
type Code uint8

// Codes of events. Their names on the wire are in eventNames.
const (
	EventStart        Code = 16
	EventEndpointList Code = 17
	EventRequest      Code = 18
	EventHeaders      Code = 19
	EventOutcome      Code = 20
	EventClientGone   Code = 21
	EventTimer        Code = 22
	EventProbe        Code = 23
	EventGossip       Code = 24
	EventStop         Code = 25
	EventEntries      Code = 26
	EventInstance     Code = 27
)

// Codes of actions. The comments of Reply's methods state the actions' names on the wire.
const (
	ActionSend      Code = 80
	ActionReject    Code = 81
	ActionFail      Code = 82
	ActionCancel    Code = 83
	ActionSetTimer  Code = 84
	ActionProbe     Code = 85
	ActionRelease   Code = 86
	ActionGossip    Code = 87
	ActionLog       Code = 88
	ActionException Code = 89
	ActionWatch     Code = 90
	ActionListAll   Code = 91
	ActionInstance  Code = 92
)

// eventNames are the names of events on the wire.
var eventNames = map[Code]string{
	EventStart:        "begin",
	EventEndpointList: "membership",
	EventRequest:      "request",
	EventHeaders:      "headers",
	EventOutcome:      "answer",
	EventClientGone:   "cancelled_by_client",
	EventTimer:        "timeout_fired",
	EventProbe:        "health_result",
	EventGossip:       "whisper",
	EventStop:         "stop",
	EventEntries:      "manifest",
	EventInstance:     "instance",
}

// String returns the event's name on the wire, or "event" and the code if it is not the code of an event.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}
