package consensus

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// The json tags of this package are the stored and sent names: of raft's log entries (JSON), of messages between
// instances (CBOR, whose encoder goes by them too) and of operators' calls (JSON). They are those of earlier builds
// and must not change.

// Message is what instances send each other. One of its fields is set. Messages may be lost, late, doubled or out of
// order.
type Message struct {
	Raft            []byte                 `json:"Raft"`    // between voters: a raftpb.Message
	NoLog           bool                   `json:"Blank"`   // between voters: the sender has no log
	Report          *maintenance.Report    `json:"Report"`  // to the leader, or to every voter while it is not known
	Grant           *maintenance.PlanGrant `json:"Told"`    // the leader's answer to a Report
	Leader          string                 `json:"Leader"`  // another voter's answer: who leads
	OperatorRequest *OperatorRequest       `json:"Command"` // to the leader, or to every voter while it is not known
	OperatorReply   *OperatorReply         `json:"Reply"`   // the leader's answer to an OperatorRequest
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string // an instance's name
	Message Message
}

// OperatorRequest is an operator's request: a command for the log, or a look at the View.
type OperatorRequest struct {
	Number  uint64              `json:"Number"` // chosen by the instance that sends it, to match the reply
	View    bool                `json:"Look"`
	Command maintenance.Command `json:"Order"` // where View is false
}

// OperatorReply answers the OperatorRequest of the same number.
type OperatorReply struct {
	Number uint64 `json:"Number"`
	Answer string `json:"Answer"`
	Error  string `json:"Error"` // why the command changes nothing
	View   *View  `json:"View"`
}

// View is the plan as the leader has it, for operators.
type View struct {
	Leader    string                 `json:"Leader"`
	Now       monotime.Micros        `json:"Now"` // by the state's clock
	OnHold    bool                   `json:"Held"`
	Requests  []maintenance.Request  `json:"Jobs"`      // the oldest first
	Machines  []maintenance.Machine  `json:"Items"`     // by name
	Instances []maintenance.Instance `json:"Instances"` // by name
	Events    []maintenance.Event    `json:"Events"`    // the oldest first
	Silent    []maintenance.Instance `json:"Silent"`    // without a report for long; nothing can be acknowledged
}

// logEntry is the content of an entry of the raft log.
type logEntry struct {
	ProposalID uint64              `json:"ID"` // by which the leader knows whom to answer
	Command    maintenance.Command `json:"Order"`
}
