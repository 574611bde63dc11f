package coordination

import (
	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
)

// Message is a message between two instances: a message of the lease's election (Lease), a lease request (Request and
// Observations), or the reply to a lease request (Grant and Aggregate). All other fields are nil. The struct tags are
// the names on the wire, which all builds share.
type Message struct {
	Lease        *lease.Message             `cbor:"Lease"`
	Request      *quota.LeaseRequest        `cbor:"Ask"`
	Observations *observations.Observations `cbor:"Seen"` // sent with Request; nil if the instance has no observer
	Grant        *quota.Grant               `cbor:"Grant"`
	Aggregate    *observations.Aggregate    `cbor:"All"` // sent with Grant; nil if the grant contains no lease
}

// Outgoing is a message that the caller must send to an instance.
type Outgoing struct {
	To      string // name of the instance
	Message Message
}
