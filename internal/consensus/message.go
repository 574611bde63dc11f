package consensus

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// The json tags of this package are the stored and sent names: in raft's log entries (JSON), in messages between
// instances (CBOR, whose encoder uses them too) and in operators' calls (JSON). Earlier builds have the same names,
// which must not change.

// Message is what instances send to each other. One of its fields is set. Messages may be lost, delayed, duplicated or
// reordered.
type Message struct {
	Raft            []byte                 `json:"Raft"`    // between voters: a raftpb.Message
	NoLog           bool                   `json:"Blank"`   // between voters: the sender has no log
	Report          *maintenance.Report    `json:"Report"`  // to the leader, or to all voters if it is unknown
	Grant           *maintenance.PlanGrant `json:"Told"`    // the leader's reply to a Report
	Leader          string                 `json:"Leader"`  // another voter's reply: the leader's name
	OperatorRequest *OperatorRequest       `json:"Command"` // to the leader, or to all voters if it is unknown
	OperatorReply   *OperatorReply         `json:"Reply"`   // the leader's reply to an OperatorRequest
}

// Outgoing is a message that the caller must send to an instance.
type Outgoing struct {
	To      string // an instance's name
	Message Message
}

// OperatorRequest is an operator's request: a command for the log, or a request for the View.
type OperatorRequest struct {
	Number  uint64              `json:"Number"` // chosen by the instance that sends it, to match the reply
	View    bool                `json:"Look"`   // requests the View
	Command maintenance.Command `json:"Order"`  // if View is false
}

// OperatorReply is the leader's reply to the OperatorRequest of the same number.
type OperatorReply struct {
	Number uint64 `json:"Number"`
	Answer string `json:"Answer"` // of a command that was applied
	Error  string `json:"Error"`  // why the command has no effect; empty if it has one
	View   *View  `json:"View"`   // nil for a command
}

// View is the leader's view of the plan, for operators.
type View struct {
	Leader    string                 `json:"Leader"`
	Now       monotime.Micros        `json:"Now"` // by the state's clock
	OnHold    bool                   `json:"Held"`
	Requests  []maintenance.Request  `json:"Jobs"`      // the oldest first
	Machines  []maintenance.Machine  `json:"Items"`     // by name
	Instances []maintenance.Instance `json:"Instances"` // by name
	Events    []maintenance.Event    `json:"Events"`    // the oldest first
	Silent    []maintenance.Instance `json:"Silent"`    // without a report for silentAfterLeases
}

// logEntry is the content of an entry of the raft log.
type logEntry struct {
	ProposalID uint64              `json:"ID"` // identifies the operator's request to reply to
	Command    maintenance.Command `json:"Order"`
}
