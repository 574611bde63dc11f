// Package lease decides which of a few named processes holds the one lease that there is, by the votes of a majority of them,
// without a disk and without synchronised clocks. At no instant do two hold it, whatever is lost, late, doubled or out of
// order, whoever is killed, stopped or cut off; that somebody holds it is the aim after that. It is a deterministic state
// machine for one caller at a time: no I/O, no clock, chance by a seed. It may not know sockets, members beyond the voters'
// names, or what the lease is for.
//
// Why two never hold it. A voter's vote is one holder's at a time, for Length lengthened by how far two clocks' rates may
// differ, from when it gives the vote. A holder counts its lease from before it asked, for Length. So while a lease holds by
// its holder's clock, all votes that it was won by hold by their voters' clocks; two majorities share a voter, and that has one
// vote. A voter that starts has forgotten its vote: it gives none until any that it may have given is over. Votes are counted
// for the very question that they answer, so that a late one counts for nothing. (Leases without a disk: Trencseni, Gazso and
// Reinhardt, "PaxosLease: Diskless Paxos for Leases", 2012; with one decision to make and nothing to remember beyond it, their
// ballots are not needed.)
package lease

import (
	"math"

	"dunlinsail/internal/decide/setting"
	"dunlinsail/internal/monotime"
)

// Settings are a voter's. All voters must have the same, but for Self, Life and Seed.
type Settings struct {
	Self          string          // one of Voters
	Incarnation   uint64          // of the process: no two processes of a name have the same
	Voters        []string        // all names
	Duration      monotime.Micros // of a lease
	MaxClockDrift float64         // by what part of itself a clock's rate may be off, at most
	Seed          uint64
}

// invalidSetting returns the error of a setting.
func invalidSetting(key, reason string) error {
	return &setting.Error{Component: "lease", Key: key, Reason: reason}
}

// Longer is how long one has to wait by the own clock for a time to have passed by any.
func ExtendForDrift(d monotime.Micros, drift float64) monotime.Micros {
	return monotime.Micros(math.Ceil(float64(d) * (1 + drift) / (1 - drift)))
}

// Kind is what a word is.
type MessageKind uint8

// The kinds.
const (
	VoteRequest  MessageKind = iota + 1 // for a vote
	VoteGranted                         // the vote
	VoteDenied                          // it is another's
	VoteReleased                        // the vote that was asked for is not wanted any more
)

// Word is what voters tell one another.
type Message struct {
	Kind        MessageKind     `cbor:"Kind"`
	Incarnation uint64          `cbor:"Life"`   // of the process that asks
	Round       uint64          `cbor:"Number"` // of its question
	Holder      string          `cbor:"Holder"` // with No: whose the vote is, "" for nobody's yet,
	Remaining   monotime.Micros `cbor:"Left"`   // and for how long at most
}

// Out is a word that is to be told to a voter.
type Outgoing struct {
	To      string
	Message Message
}

// Term names one holding of the lease, from when it was won without a gap. The zero value is none.
type Term struct {
	Holder      string `cbor:"Holder" json:"Holder"`
	Incarnation uint64 `cbor:"Life" json:"Life"`
	Round       uint64 `cbor:"Number" json:"Number"` // of the question by which it was won
}
