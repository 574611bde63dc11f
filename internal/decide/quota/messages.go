package quota

import (
	"math"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// The tags of these types are the names on the wire, which all builds share.

// LeaseRequest is sent by a lessee to the allocator, or to all candidates if it does not know which one that is.
type LeaseRequest struct {
	Incarnation uint64 `cbor:"Life"`   // of the lessee's process
	Sequence    uint64 `cbor:"Number"` // grows with each request of the process
	// Term is the allocator's as far as the lessee knows it. An allocator grants no lease to a request of another term.
	Term       lease.Term `cbor:"Term"`
	HeldSerial uint64     `cbor:"Of"`     // serial of the lease in force; 0 is none
	HeldTerm   lease.Term `cbor:"OfTerm"` // of the allocator that granted it
	Demands    []Demand   `cbor:"Wants"`  // by budget
}

// Demand is what a lessee says about one budget.
type Demand struct {
	Budget      string  `cbor:"Budget"`
	Requested   float64 `cbor:"Asked"` // units a second that it would spend if it could
	Used        float64 `cbor:"Used"`  // units a second that it has spent lately
	Held        int     `cbor:"Holds"` // units of the lease in force
	Contributed float64 `cbor:"Earns"` // units a second that it adds to a budget that lessees contribute to
}

// sanitized returns the demand with numbers that can be computed with.
func (d Demand) sanitized() Demand {
	for _, v := range []*float64{&d.Requested, &d.Used, &d.Contributed} {
		if !(*v >= 0) || math.IsInf(*v, 0) {
			*v = 0
		}
	}
	d.Held = max(0, d.Held)
	return d
}

// Grant answers a LeaseRequest.
type Grant struct {
	Incarnation uint64          `cbor:"Life"`   // of the request
	Sequence    uint64          `cbor:"Number"` // of the request
	Term        lease.Term      `cbor:"Term"`   // of the allocator
	Serial      uint64          `cbor:"Serial"` // of the lease; 0 grants none: the lessee must ask again in this term
	Duration    monotime.Micros `cbor:"Length"` // of the lease, from when the request was sent, by the lessee's clock
	Allocations []Allocation    `cbor:"Shares"` // by budget; none of those that are not listed
}

// Allocation is how many units of a budget a lease gives within any second.
type Allocation struct {
	Budget string `cbor:"Budget"`
	Units  int    `cbor:"Units"`
}
