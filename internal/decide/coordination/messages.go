package coordination

import (
	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
)

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
