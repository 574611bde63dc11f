package quota

import (
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// ---- One process in another's place -----------------------------------------

// State is what a process that takes another's place has to know, with ages in place of instants.
type State struct {
	Incarnation uint64          `json:"Life"`
	Sequence    uint64          `json:"Number"`
	Term        lease.Term      `json:"Term"`
	HeldSerial  uint64          `json:"Of"`
	HeldTerm    lease.Term      `json:"OfTerm"`
	Remaining   monotime.Micros `json:"Left"` // of the loan in force
	Age         monotime.Micros `json:"Age"`  // of the process
	Buckets     []BucketState   `json:"Pots"`
}

// PotState is what was lent and spent of one budget.
type BucketState struct {
	Budget string            `json:"Budget"`
	Leased int               `json:"Lent"`
	Spent  []monotime.Micros `json:"Spent"` // how long ago, of each unit of the last second
}

// State returns what the holder holds.
func (h *Lessee) State(now monotime.Micros) *State {
	s := &State{Incarnation: h.incarnation, Sequence: h.sequence, Term: h.term, HeldSerial: h.heldSerial, HeldTerm: h.heldTerm, Remaining: max(0, h.expiresAt-now), Age: now - h.startedAt}
	for name, p := range h.buckets {
		p.dropSpentBefore(now - h.settings.window())
		c := BucketState{Budget: name, Leased: p.leased}
		for _, at := range p.spent {
			c.Spent = append(c.Spent, now-at)
		}
		s.Buckets = append(s.Buckets, c)
	}
	slices.SortFunc(s.Buckets, func(a, b BucketState) int { return strings.Compare(a.Budget, b.Budget) })
	return s
}

// Give leaves all to the process that takes this one's place, and returns what that has to know: from now on nothing is spent
// here. Should nobody take it, Begin with another life goes on.
func (h *Lessee) HandOver(now monotime.Micros) *State {
	s := h.State(now)
	h.active = false
	return s
}

// Restore goes on as another process has left off so long ago.
func (h *Lessee) Restore(now, age monotime.Micros, s *State) {
	age = max(0, age)
	h.active, h.incarnation, h.sequence, h.term, h.heldSerial, h.heldTerm = true, s.Incarnation, s.Sequence, s.Term, s.HeldSerial, s.HeldTerm
	h.expiresAt, h.startedAt = now+s.Remaining-age, now-age-s.Age
	for _, c := range s.Buckets {
		p := h.buckets[c.Budget]
		if p == nil {
			continue // the budget is not this process's: nobody spends what was lent of it
		}
		p.leased, p.spent = c.Leased, p.spent[:0]
		for _, ago := range c.Spent {
			p.spent = append(p.spent, now-age-ago)
		}
	}
}
