package quota

import (
	"math"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// The struct tags of the message types in this file are the names on the wire, which all builds share.

// LeaseRequest is sent by a lessee to the allocator, or to all candidates if the lessee does not know the allocator.
type LeaseRequest struct {
	Incarnation uint64 `cbor:"Life"`   // incarnation of the lessee's process
	Sequence    uint64 `cbor:"Number"` // number of the request, which increases with each request of the process
	// Term is the latest term of an allocator that the lessee knows; the zero value means unknown. An allocator grants
	// no lease to a request with another term than its own.
	Term       lease.Term `cbor:"Term"`
	HeldSerial uint64     `cbor:"Of"`     // serial number of the lease in force; 0 if there is none
	HeldTerm   lease.Term `cbor:"OfTerm"` // term of the allocator that granted the lease in force
	Demands    []Demand   `cbor:"Wants"`  // one entry for each budget, sorted by budget name
}

// Demand describes how much of one budget a lessee demands, uses, holds and contributes.
type Demand struct {
	Budget      string  `cbor:"Budget"`
	Requested   float64 `cbor:"Asked"` // units a second that the lessee would spend if they were available
	Used        float64 `cbor:"Used"`  // units a second that the lessee has recently spent (recentRate)
	Held        int     `cbor:"Holds"` // units of the lease in force
	Contributed float64 `cbor:"Earns"` // units a second that the lessee adds to a contributed budget
}

// sanitized returns the demand with each negative, infinite or NaN value replaced by 0.
func (d Demand) sanitized() Demand {
	for _, v := range []*float64{&d.Requested, &d.Used, &d.Contributed} {
		if !(*v >= 0) || math.IsInf(*v, 0) {
			*v = 0
		}
	}
	d.Held = max(0, d.Held)
	return d
}

// Grant is the allocator's reply to a LeaseRequest.
type Grant struct {
	Incarnation uint64          `cbor:"Life"`   // copied from the request
	Sequence    uint64          `cbor:"Number"` // copied from the request
	Term        lease.Term      `cbor:"Term"`   // current term of the allocator
	Serial      uint64          `cbor:"Serial"` // serial number of the lease; 0 if no lease is granted
	Duration    monotime.Micros `cbor:"Length"` // time from the request to the lease's expiry, by the lessee's clock
	Allocations []Allocation    `cbor:"Shares"` // leased units of each budget; a budget that is not listed has 0
}

// Allocation is the number of units of a budget that a lease allows within any second.
type Allocation struct {
	Budget string `cbor:"Budget"`
	Units  int    `cbor:"Units"`
}
