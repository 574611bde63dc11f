// Package lease elects the holder of a fleet's one lease by the votes of a majority, without a disk and without
// synchronized clocks. Package coordination makes the holder the fleet's quota allocator.
//
// Safety comes first: at no instant do two processes hold the lease, whatever is lost, delayed, duplicated or
// reordered, and whoever is killed, stopped or partitioned. Liveness comes second: once a majority of the voters can
// talk to each other, one of them wins the lease and renews it.
//
// # Protocol
//
// A candidate sends a VoteRequest with a new round number to all voters, itself included. A voter answers with
// VoteGranted, or with VoteDenied and who has its vote. A majority of grants within the lease's duration wins the
// lease, or renews it. A candidate that fails sends VoteReleased, so that its votes need not expire.
//
// # Why two never hold it
//
//   - A voter's vote belongs to one candidate at a time, for Settings.Duration extended by what two clocks' rates may
//     differ (monotime.ExtendForDrift), counted from when the vote is given.
//   - A holder counts its lease from before it sent the requests, for Settings.Duration. So while a lease is valid by
//     its holder's clock, all votes that won it are valid by their voters' clocks.
//   - Two majorities share a voter, and that voter has one vote.
//   - A voter that starts has forgotten its vote: it grants none until any that it may have granted has expired.
//   - A vote counts only for the round that it answers, so a late one counts for nothing.
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

// Settings configure a voter. They must be the same at all voters, but for Self, Incarnation and Seed.
type Settings struct {
	Self          string          // this voter's name, one of Voters
	Incarnation   uint64          // of this process; no two processes of a name may have the same
	Voters        []string        // the names of all voters
	Duration      monotime.Micros // of a lease
	MaxClockDrift float64         // the most by which a clock's rate is off, as a fraction of the true rate
	Seed          uint64          // of the random delays
}

// minDuration is the shortest lease that makes sense.
const minDuration = monotime.Millisecond

// maxClockDrift is the largest value of Settings.MaxClockDrift.
const maxClockDrift = 0.1

// invalidSetting returns the error of a setting that is out of range.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "lease", Key: key, Reason: reason}
}

// MessageKind tells the messages of the protocol apart.
type MessageKind uint8

// The kinds of messages. Their numbers are part of the wire format.
const (
	VoteRequest  MessageKind = iota + 1 // asks a voter for its vote
	VoteGranted                         // the voter's vote
	VoteDenied                          // the vote is another candidate's, or none is granted yet
	VoteReleased                        // the candidate needs the vote of this round no longer
)

// Message is what voters send to each other. Its tags are the names on the wire, which all builds share.
type Message struct {
	Kind        MessageKind     `cbor:"Kind"`
	Incarnation uint64          `cbor:"Life"`   // of the candidate's process
	Round       uint64          `cbor:"Number"` // of the candidate's request
	Holder      string          `cbor:"Holder"` // VoteDenied: who has the vote; empty if the voter grants none yet
	Remaining   monotime.Micros `cbor:"Left"`   // VoteDenied: the longest time until the vote is free
}

// Outgoing is a message that the caller must send to a voter.
type Outgoing struct {
	To      string
	Message Message
}

// Term identifies an uninterrupted holding of the lease, renewals included. The zero value is none.
type Term struct {
	Holder      string `cbor:"Holder" json:"Holder"`
	Incarnation uint64 `cbor:"Life" json:"Life"`
	Round       uint64 `cbor:"Number" json:"Number"` // in which the lease was won
}
