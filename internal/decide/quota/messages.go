package quota

import (
	"math"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// The tags of these types are the names on the wire, which all builds share.

// LeaseRequest is sent by a lessee to the allocator, or to all candidates if it does not know the allocator.
type LeaseRequest struct {
	Incarnation uint64 `cbor:"Life"`   // of the lessee's process
	Sequence    uint64 `cbor:"Number"` // increases with each request of the process
	// Term is the latest allocator's term that the lessee knows; the zero value is unknown. An allocator grants no
	// lease to a request of another term.
	Term       lease.Term `cbor:"Term"`
	HeldSerial uint64     `cbor:"Of"`     // serial of the lease in force; 0 is none
	HeldTerm   lease.Term `cbor:"OfTerm"` // of the allocator that granted it
	Demands    []Demand   `cbor:"Wants"`  // by budget
}

// Demand is a lessee's demand for one budget, and what it uses and holds of it.
type Demand struct {
	Budget      string  `cbor:"Budget"`
	Requested   float64 `cbor:"Asked"` // units a second that it would spend if they were available
	Used        float64 `cbor:"Used"`  // units a second that it spent (recentRate)
	Held        int     `cbor:"Holds"` // units of the lease in force
	Contributed float64 `cbor:"Earns"` // units a second that it adds to a budget that lessees contribute to
}

// sanitized returns the demand with 0 in place of each number that is negative, infinite or not a number.
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
	Incarnation uint64          `cbor:"Life"`   // of the request
	Sequence    uint64          `cbor:"Number"` // of the request
	Term        lease.Term      `cbor:"Term"`   // of the allocator
	Serial      uint64          `cbor:"Serial"` // of the lease; 0 grants none: the lessee must repeat its request
	Duration    monotime.Micros `cbor:"Length"` // of the lease, from when the request was sent, by the lessee's clock
	Allocations []Allocation    `cbor:"Shares"` // by budget; 0 units of budgets that are not listed
}

// Allocation is the number of units of a budget that a lease allows within any second.
type Allocation struct {
	Budget string `cbor:"Budget"`
	Units  int    `cbor:"Units"`
}
