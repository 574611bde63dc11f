package quota

import (
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// State is what a process hands over to its successor in a hot restart. It holds ages rather than instants, since the
// clocks of the two may have different origins. Its tags are the names in the takeover snapshot, which all builds
// share.
type State struct {
	Incarnation uint64          `json:"Life"`
	Sequence    uint64          `json:"Number"` // of the latest request
	Term        lease.Term      `json:"Term"`   // latest known term of the allocator; the zero value is unknown
	HeldSerial  uint64          `json:"Of"`     // of the lease in force; 0 is none
	HeldTerm    lease.Term      `json:"OfTerm"` // of the allocator that granted it
	Remaining   monotime.Micros `json:"Left"`   // of the lease in force
	Age         monotime.Micros `json:"Age"`    // of the process
	Buckets     []BucketState   `json:"Pots"`   // by budget
}

// BucketState is what was leased and spent of one budget.
type BucketState struct {
	Budget string            `json:"Budget"`
	Leased int               `json:"Lent"`
	Spent  []monotime.Micros `json:"Spent"` // age of each unit that was spent within the last second
}

// State returns the lessee's state as of now.
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
// successor takes over, Start activates the lessee again; it must get another incarnation.
func (l *Lessee) HandOver(now monotime.Micros) *State {
	s := l.State(now)
	l.active = false
	return s
}

// Restore activates the lessee with a predecessor's state. age is the time since the state was taken, in microseconds.
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
			continue // not a budget of this process: its leased units are not spent
		}
		bucket.leased = b.Leased
		bucket.spent = bucket.spent[:0]
		for _, ago := range b.Spent {
			bucket.spent = append(bucket.spent, now-age-ago)
		}
	}
}
