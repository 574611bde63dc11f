// Package coordination is one instance's part in its fleet. It combines the election of the allocator (package lease),
// the division of the fleet's budgets (package quota) and the exchange of observations (package observations).
//
// # Protocol
//
// A few instances, the candidates, are named in the settings of all. The one that wins the lease by the votes of a
// majority of them is the allocator. Every instance sends the allocator a quota.LeaseRequest at each request
// interval, with its observations. The allocator replies with a quota.Grant and the aggregate of all observations. An
// instance that does not know the allocator, or gets no reply for maxUnanswered intervals, sends its request to all
// candidates.
//
// No request of a client waits for a message. An instance without a reply continues with its lease until that expires,
// and then with its minimum. Messages may be lost, delayed, duplicated and reordered.
//
// Member is a deterministic state machine without I/O or a clock: package engine passes the time and received messages
// in and sends the outgoing ones, and the seed determines all random delays. The package must not know how messages are
// transported (package peers does), or which instances are alive.
package coordination

import (
	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Settings must be the same for all instances of a fleet, except for Self, Seed and Quota.Position.
type Settings struct {
	// Self is this instance's name.
	Self string
	// Candidates are the names of the instances that may be the allocator. They are the lease's voters. Without any,
	// there are no quota leases and no aggregates.
	Candidates []string
	// Quota configures the division of budgets.
	Quota quota.Settings
	// LeaseDuration is the time for which the allocator's lease holds without renewal (lease.Settings.Duration).
	LeaseDuration monotime.Micros
	// Seed determines the random delays.
	Seed uint64
}

// Message is what instances send to each other: a vote (Lease), a request (Request and Observations), or the reply to
// one (Grant and Aggregate). The other fields are nil. Its tags are the names on the wire, which all builds share.
type Message struct {
	Lease        *lease.Message             `cbor:"Lease"`
	Request      *quota.LeaseRequest        `cbor:"Ask"`
	Observations *observations.Observations `cbor:"Seen"` // with Request; nil if the instance has no observer
	Grant        *quota.Grant               `cbor:"Grant"`
	Aggregate    *observations.Aggregate    `cbor:"All"` // with Grant; nil if the grant has no lease
}

// Outgoing is a message that the caller must send to an instance.
type Outgoing struct {
	To      string
	Message Message
}
