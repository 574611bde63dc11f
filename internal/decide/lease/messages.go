package lease

import "dunlinsail/internal/monotime"

// MessageKind is the kind of a protocol message.
type MessageKind uint8

// The kinds of protocol messages. Their numbers are part of the wire format.
const (
	VoteRequest  MessageKind = iota + 1 // a candidate requests the voter's vote
	VoteGranted                         // the voter gives its vote to the candidate
	VoteDenied                          // another candidate has the vote, or the voter does not grant votes yet
	VoteReleased                        // the candidate no longer needs the voter's vote of this round
)

// Message is a protocol message between two voters. The struct tags are the names on the wire, which all builds share.
type Message struct {
	Kind        MessageKind     `cbor:"Kind"`
	Incarnation uint64          `cbor:"Life"`   // incarnation of the candidate's process
	Round       uint64          `cbor:"Number"` // round of the candidate's request
	Holder      string          `cbor:"Holder"` // in VoteDenied, the candidate that has the vote; empty if none has
	Remaining   monotime.Micros `cbor:"Left"`   // in VoteDenied, the longest time until the vote is free
}

// Outgoing is a message that the caller must send to a voter.
type Outgoing struct {
	To      string // name of the voter
	Message Message
}

// Term identifies an uninterrupted period in which one process holds the lease, including renewals. The zero value
// means that there is no term.
type Term struct {
	Holder      string `cbor:"Holder" json:"Holder"`
	Incarnation uint64 `cbor:"Life" json:"Life"`     // incarnation of the holder's process
	Round       uint64 `cbor:"Number" json:"Number"` // round in which the holder won the lease
}
