// Package coordination is what one instance says to the others of its fleet, and takes of what they say: it puts together who holds
// the fleet's one lease (package lease), what each may spend of the fleet's budgets (package quota) and what all have seen
// (package observations). A few instances, the lenders, are named in all files; the one that holds the lease keeps the book, all ask
// it for loans once in a while, and tell it with that what they have seen. Nothing waits for any of it: whoever is not answered
// goes on with what it holds, and then with its least. It is a deterministic state machine for one caller at a time: no I/O, no
// clock, chance by a seed. It may not know how words are carried, or whom.
package coordination

import (
	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Settings are the same for all instances of a fleet, but for Self and Seed.
type Settings struct {
	Self          string
	Candidates    []string // names; a majority of them decides who keeps the book
	Quota         quota.Settings
	LeaseDuration monotime.Micros // how long the one who keeps the book does, without a majority that says so anew
	Seed          uint64
}

// Word is what instances tell one another; one of its parts is set.
type Message struct {
	Lease        *lease.Message             `cbor:"Lease"`
	Request      *quota.LeaseRequest        `cbor:"Ask"`
	Observations *observations.Observations `cbor:"Seen"` // with Ask
	Grant        *quota.Grant               `cbor:"Grant"`
	Aggregate    *observations.Aggregate    `cbor:"All"` // with Grant
}

// Out is a word that is to be told.
type Outgoing struct {
	To      string
	Message Message
}
