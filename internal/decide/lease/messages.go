package lease

import "dunlinsail/internal/monotime"

// MessageKind distinguishes the messages of the protocol.
type MessageKind uint8

// The kinds of messages. Their numbers are part of the wire format.
const (
	VoteRequest  MessageKind = iota + 1 // requests the voter's vote
	VoteGranted                         // gives the voter's vote to the candidate
	VoteDenied                          // the vote is another candidate's, or the voter grants none yet
	VoteReleased                        // the candidate no longer needs the vote of this round
)

// Message is what voters send to each other. Its tags are the names on the wire, which all builds share.
type Message struct {
	Kind        MessageKind     `cbor:"Kind"`
	Incarnation uint64          `cbor:"Life"`   // of the candidate's process
	Round       uint64          `cbor:"Number"` // of the candidate's request
	Holder      string          `cbor:"Holder"` // VoteDenied: candidate that has the vote; empty if none has
	Remaining   monotime.Micros `cbor:"Left"`   // VoteDenied: the longest time until the vote is free
}

// Outgoing is a message that the caller must send to a voter.
type Outgoing struct {
	To      string
	Message Message
}

// Term identifies an uninterrupted holding of the lease, renewals included. The zero value is no term.
type Term struct {
	Holder      string `cbor:"Holder" json:"Holder"`
	Incarnation uint64 `cbor:"Life" json:"Life"`
	Round       uint64 `cbor:"Number" json:"Number"` // in which the holder won the lease
}
