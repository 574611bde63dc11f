package consensus

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// Word is what instances tell one another; one of its parts is set.
type Message struct {
	Raft            []byte                 `json:"Raft"`    // to a voter from a voter
	NoLog           bool                   `json:"Blank"`   // a voter's: nothing was ever kept by it
	Report          *maintenance.Report    `json:"Report"`  // to who leads, or to any voter
	Grant           *maintenance.PlanGrant `json:"Told"`    // its answer,
	Leader          string                 `json:"Leader"`  // or who leads, as far as is known
	OperatorRequest *OperatorRequest       `json:"Command"` // of an operator, to who leads
	OperatorReply   *OperatorReply         `json:"Reply"`   // its answer
}

// Command is what an operator says, with a number of its own.
type OperatorRequest struct {
	Number  uint64              `json:"Number"`
	View    bool                `json:"Look"` // at how all stands, in place of an order
	Command maintenance.Command `json:"Order"`
}

// Reply answers a Command.
type OperatorReply struct {
	Number uint64 `json:"Number"`
	Answer string `json:"Answer"`
	Error  string `json:"Error"`
	View   *View  `json:"View"`
}

// Out is a word that is to be told.
type Outgoing struct {
	To      string
	Message Message
}

// View is the order as who leads has it, for people.
type View struct {
	Leader    string                 `json:"Leader"`
	Now       monotime.Micros        `json:"Now"`
	OnHold    bool                   `json:"Held"`
	Requests  []maintenance.Request  `json:"Jobs"`
	Machines  []maintenance.Machine  `json:"Items"`
	Instances []maintenance.Instance `json:"Instances"`
	Events    []maintenance.Event    `json:"Events"`
	Silent    []maintenance.Instance `json:"Silent"` // not heard for long: they keep machines from being known as ahead
}

// entry is what the log has.
type logEntry struct {
	ProposalID uint64              `json:"ID"` // of the proposal
	Command    maintenance.Command `json:"Order"`
}
