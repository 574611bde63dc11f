package consensus

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// The json tags of this package are the stored and sent names. They are used in the entries of the raft log (JSON),
// in messages between instances (CBOR, whose encoder reads json tags too) and in replies to operators (JSON).
// Earlier builds use the same names, so the tags must not change.

// Message is a message from one instance to another. Exactly one of its fields is set. Messages may be lost,
// delayed, duplicated or reordered.
type Message struct {
	Raft            []byte                 `json:"Raft"`    // between voters: an encoded raftpb.Message
	NoLog           bool                   `json:"Blank"`   // between voters: the sender has no stored log
	Report          *maintenance.Report    `json:"Report"`  // to the leader, or to all voters if it is unknown
	Grant           *maintenance.PlanGrant `json:"Told"`    // the leader's reply to a Report
	Leader          string                 `json:"Leader"`  // reply of a voter that does not lead: the leader's name
	OperatorRequest *OperatorRequest       `json:"Command"` // to the leader, or to all voters if it is unknown
	OperatorReply   *OperatorReply         `json:"Reply"`   // the leader's reply to an OperatorRequest
}

// Outgoing is a message that the caller must send to another instance.
type Outgoing struct {
	To      string // name of the receiving instance
	Message Message
}

// OperatorRequest is an operator's request, which is either a command for the log or a request for the View.
type OperatorRequest struct {
	Number  uint64              `json:"Number"` // chosen by the sending instance, to match the reply to the request
	View    bool                `json:"Look"`   // whether this is a request for the View
	Command maintenance.Command `json:"Order"`  // the command for the log; ignored if View is true
}

// OperatorReply is the leader's reply to the OperatorRequest with the same number.
type OperatorReply struct {
	Number uint64 `json:"Number"`
	Result string `json:"Answer"` // result text of a command that was applied
	Error  string `json:"Error"`  // reason why the command had no effect; empty if it had one
	View   *View  `json:"View"`   // reply to a request for the View; nil for a command
}

// View is the maintenance plan and the state of its instances as the leader knows them, for display to operators.
type View struct {
	Leader          string                 `json:"Leader"`
	Now             monotime.Micros        `json:"Now"` // time of the replicated state's clock
	OnHold          bool                   `json:"Held"`
	Requests        []maintenance.Request  `json:"Jobs"`      // sorted by time of the request, oldest first
	Machines        []maintenance.Machine  `json:"Items"`     // sorted by name
	Instances       []maintenance.Instance `json:"Instances"` // sorted by name
	Events          []maintenance.Event    `json:"Events"`    // oldest first
	SilentInstances []maintenance.Instance `json:"Silent"`    // without a report for silentAfterLeases lease durations
}

// logEntry is the data of an entry of the raft log.
type logEntry struct {
	ProposalID uint64              `json:"ID"` // by which the leader finds the operator's call to reply to
	Command    maintenance.Command `json:"Order"`
}
