package quota

import (
	"math"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Want is what a holder says of a budget.
type Demand struct {
	Budget      string  `cbor:"Budget"`
	Requested   float64 `cbor:"Asked"` // units a second that it would spend
	Used        float64 `cbor:"Used"`  // that it spent of late
	Held        int     `cbor:"Holds"` // units of the loan in force
	Contributed float64 `cbor:"Earns"` // of a budget that holders earn: what this one adds to it
}

// Ask is a holder's question: what may I spend?
type LeaseRequest struct {
	Incarnation uint64     `cbor:"Life"`   // of the holder
	Sequence    uint64     `cbor:"Number"` // of the question; they grow
	Term        lease.Term `cbor:"Term"`   // of the book that is asked, as far as the holder knows it: a book answers no question of another term with a loan
	HeldSerial  uint64     `cbor:"Of"`     // the loan in force, by its serial; 0 is none
	HeldTerm    lease.Term `cbor:"OfTerm"` // and who lent it
	Demands     []Demand   `cbor:"Wants"`
}

// Share is what of a budget a loan gives.
type Allocation struct {
	Budget string `cbor:"Budget"`
	Units  int    `cbor:"Units"`
}

// Grant answers an Ask.
type Grant struct {
	Incarnation uint64          `cbor:"Life"`
	Sequence    uint64          `cbor:"Number"` // of the question
	Term        lease.Term      `cbor:"Term"`
	Serial      uint64          `cbor:"Serial"` // of the loan; 0 is that this is none: ask again, in this term
	Duration    monotime.Micros `cbor:"Length"` // from when the question went out, by the holder's clock
	Allocations []Allocation    `cbor:"Shares"`
}

// sound makes of a want one that can be reckoned with.
func (w Demand) sanitized() Demand {
	for _, v := range []*float64{&w.Requested, &w.Used, &w.Contributed} {
		if !(*v >= 0) || math.IsInf(*v, 0) {
			*v = 0
		}
	}
	w.Held = max(0, w.Held)
	return w
}
