// Package coordination is one instance's part in its fleet. It combines who holds the fleet's lease (package lease),
// what each instance may spend of the fleet's budgets (package quota) and what all instances observe (package
// observations).
//
// # Protocol
//
// A few instances, the candidates, are named in the settings of all. The one that wins the lease by the votes of a
// majority of them is the allocator. Every instance sends the allocator a quota.LeaseRequest at each request
// interval, with its observations; the quota.Grant that answers comes with the aggregate of all observations. An
// instance that does not know the allocator, or gets no answer for some intervals, asks all candidates.
//
// No request of a client waits for a message. An instance without an answer goes on with the lease that it has, and
// after that with its minimum. Messages may be lost, delayed, duplicated and reordered.
//
// Member is a deterministic state machine without I/O or a clock: package engine passes the time in and carries the
// messages out, and the seed determines all random delays. The package must not know how messages are carried (package
// peers does), or who is alive.
package coordination

import (
	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Settings must be the same for all instances of a fleet, but for Self, Seed and Quota.Position.
type Settings struct {
	Self          string   // this instance's name
	Candidates    []string // names of the instances that may be the allocator
	Quota         quota.Settings
	LeaseDuration monotime.Micros // of the allocator's lease
	Seed          uint64          // of the random delays
}

// Message is what instances send to each other: a vote (Lease), a request (Request and Observations), or the answer to
// one (Grant and Aggregate). The other fields are nil. Its tags are the names on the wire, which all builds share.
type Message struct {
	Lease        *lease.Message             `cbor:"Lease"`
	Request      *quota.LeaseRequest        `cbor:"Ask"`
	Observations *observations.Observations `cbor:"Seen"` // with Request; nil if the instance has no observer
	Grant        *quota.Grant               `cbor:"Grant"`
	Aggregate    *observations.Aggregate    `cbor:"All"` // with Grant; nil if that grants no lease
}

// Outgoing is a message that the caller must send to an instance.
type Outgoing struct {
	To      string
	Message Message
}
