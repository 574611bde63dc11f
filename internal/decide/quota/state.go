package quota

import (
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// State is the state of a lessee that a process hands over to its successor in a hot restart. It contains ages and
// durations rather than instants, because the clocks of the two processes may have different origins. The struct tags
// are the names in the takeover snapshot, which all builds share.
type State struct {
	Incarnation uint64          `json:"Life"`
	Sequence    uint64          `json:"Number"` // sequence number of the latest request
	Term        lease.Term      `json:"Term"`   // latest known term of the allocator; the zero value means unknown
	HeldSerial  uint64          `json:"Of"`     // serial number of the latest accepted lease; 0 if there was none
	HeldTerm    lease.Term      `json:"OfTerm"` // term of the allocator that granted the latest accepted lease
	Remaining   monotime.Micros `json:"Left"`   // time until the latest accepted lease expires; 0 if it has expired
	Age         monotime.Micros `json:"Age"`    // time since the lessee was started
	Buckets     []BucketState   `json:"Pots"`   // one entry for each budget, sorted by budget name
}

// BucketState describes how much of one budget is leased and was recently spent.
type BucketState struct {
	Budget string            `json:"Budget"`
	Leased int               `json:"Lent"`  // units of the latest accepted lease
	Spent  []monotime.Micros `json:"Spent"` // time since each unit of the last second was spent
}

// State returns the lessee's state at now.
func (l *Lessee) State(now monotime.Micros) *State {
	s := &State{
		Incarnation: l.incarnation,
		Sequence:    l.sequence,
		Term:        l.term,
		HeldSerial:  l.heldSerial,
		HeldTerm:    l.heldTerm,
		Remaining:   max(0, l.expiresAt-now),
		Age:         now - l.startedAt,
	}
	for name, bucket := range l.buckets {
		bucket.dropSpentBefore(now - l.settings.countingWindow())
		b := BucketState{Budget: name, Leased: bucket.leased}
		for _, at := range bucket.spent {
			b.Spent = append(b.Spent, now-at)
		}
		s.Buckets = append(s.Buckets, b)
	}
	slices.SortFunc(s.Buckets, func(a, b BucketState) int { return strings.Compare(a.Budget, b.Budget) })
	return s
}

// HandOver returns the state for a successor and deactivates the lessee, which spends nothing from now on. If no
// successor takes over, the lessee can be activated again by Start with another incarnation.
func (l *Lessee) HandOver(now monotime.Micros) *State {
	s := l.State(now)
	l.active = false
	return s
}

// Restore activates the lessee with the state of its predecessor. age is the time since that state was taken.
func (l *Lessee) Restore(now, age monotime.Micros, s *State) {
	age = max(0, age)
	l.active = true
	l.incarnation = s.Incarnation
	l.sequence = s.Sequence
	l.term = s.Term
	l.heldSerial = s.HeldSerial
	l.heldTerm = s.HeldTerm
	l.expiresAt = now + s.Remaining - age
	l.startedAt = now - age - s.Age
	for _, b := range s.Buckets {
		bucket := l.buckets[b.Budget]
		if bucket == nil {
			continue // this process does not have the budget, and must not spend its leased units
		}
		bucket.leased = b.Leased
		bucket.spent = bucket.spent[:0]
		for _, ago := range b.Spent {
			bucket.spent = append(bucket.spent, now-age-ago)
		}
	}
}
