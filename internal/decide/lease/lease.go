// Package lease elects the holder of a fleet's one lease by the votes of a majority, without a disk and without
// synchronized clocks. Package coordination makes the holder the fleet's quota allocator.
//
// Safety comes first: at no instant do two processes hold the lease, whatever is lost, delayed, duplicated or
// reordered, and whichever voter is killed, stopped or partitioned. Liveness comes second: once a majority of the
// voters can communicate, one of them wins the lease and renews it.
//
// # Protocol
//
// Every voter is also a candidate. A candidate sends a VoteRequest with a new round number to all voters, itself
// included. A voter replies with VoteGranted, or with VoteDenied and the name of the candidate that has its vote. A
// majority of grants within the lease's duration wins the lease, or renews it. A candidate that fails sends
// VoteReleased, so that other candidates need not wait until its votes expire.
//
// # Why two never hold it
//
//   - A voter's vote belongs to one candidate at a time, for Settings.Duration extended by the possible difference of
//     two clocks' rates (monotime.ExtendForDrift), counted from when the vote is granted.
//   - A holder counts its lease from before it sent the requests, for Settings.Duration. So while a lease is valid by
//     its holder's clock, all votes that won it are valid by their voters' clocks.
//   - Two majorities share a voter, and that voter has one vote.
//   - A voter that starts does not know its earlier vote: it grants none until any earlier vote has expired.
//   - A vote counts only for the round of its request, so a late vote is ignored.
//
// Source: Trencseni, Gazso and Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012. With one decision to make and
// nothing to remember beyond it, the paper's ballots are not needed.
//
// The package is a deterministic state machine without I/O or a clock: callers pass the time in and carry the messages
// out, and the seed determines all random delays. Its types are not safe for concurrent use. It must not know about
// sockets, members other than the voters, or what the lease is for.
package lease

import (
	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

// Settings configure a voter. They must be the same at all voters, except for Self, Incarnation and Seed.
type Settings struct {
	// Self is this voter's name, which must be one of Voters.
	Self string
	// Incarnation numbers this process. No two processes of a name may have the same: a vote that was granted to an
	// earlier process would count for this one.
	Incarnation uint64
	// Voters are the distinct names of all voters.
	Voters []string
	// Duration is the time for which a lease holds without renewal, by its holder's clock, at least minDuration. After
	// a holder's crash there is no holder for up to this time and a random delay.
	Duration monotime.Micros
	// MaxClockDrift is the largest difference between the rate of a voter's clock and the true rate, as a fraction of
	// the true rate, in 0..maxClockDrift. There is at most one holder only while all clocks are within it.
	MaxClockDrift float64
	// Seed determines the random delays.
	Seed uint64
}

const (
	// minDuration is the smallest value of Settings.Duration.
	minDuration = monotime.Millisecond
	// maxClockDrift is the largest value of Settings.MaxClockDrift, as a fraction of the true rate.
	maxClockDrift = 0.1
)

// invalidSetting returns the *setting.Error of a setting that is out of range.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "lease", Key: key, Reason: reason}
}

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
