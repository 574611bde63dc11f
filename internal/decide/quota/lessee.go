package quota

import (
	"maps"
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Lessee decides what one instance may spend. Create one with NewLessee; it spends nothing before Start or Restore.
// It is not safe for concurrent use.
type Lessee struct {
	settings    Settings
	incarnation uint64
	startedAt   monotime.Micros
	active      bool               // this process may spend: it is started, and has not handed over to a successor
	buckets     map[string]*bucket // by budget

	sequence    uint64                       // of the latest request
	sent        [maxSentRequests]sentRequest // ring of the latest requests, by sequence number
	term        lease.Term                   // latest known term of the allocator; the zero value is unknown
	heldSerial  uint64                       // of the lease in force; 0 is none
	heldTerm    lease.Term                   // of the allocator that granted it
	expiresAt   monotime.Micros              // when the lease in force expires
	lastGrantAt monotime.Micros              // when the latest lease was received
}

// maxSentRequests is the number of latest requests whose time of sending is known: a grant for an earlier request is
// ignored.
const maxSentRequests = 16

// sentRequest is the time at which a request was sent.
type sentRequest struct {
	sequence uint64
	sentAt   monotime.Micros
}

// bucket is what may be spent of one budget, and what was spent.
type bucket struct {
	minimum     int               // units within any second without a lease
	leased      int               // units within any second in addition to minimum, while the lease is in force
	spent       []monotime.Micros // instants of the units spent within the last second, the oldest first
	demand      rateEstimator     // of units needed, available or not
	usage       rateEstimator     // of units spent
	contributed float64           // units a second that this instance adds to a contributed budget
}

// NewLessee returns the lessee of a process that has just started, or a *setting.Error.
func NewLessee(s Settings) (*Lessee, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Lessee{settings: s, buckets: map[string]*bucket{}}, nil
}

// Start activates the lessee of a process that has no predecessor. It has no lease, and for its first second no minimum
// either, since a killed process of the same name may have spent that within the second before.
func (l *Lessee) Start(now monotime.Micros, incarnation uint64) {
	l.active = true
	l.incarnation = incarnation
	l.startedAt = now
	l.heldSerial = 0
	l.expiresAt = 0
	l.sent = [maxSentRequests]sentRequest{}
}

// Active reports whether this process may spend.
func (l *Lessee) Active() bool { return l.active }

// SetBudget sets the units a second that all instances together may spend of a budget, and adds the budget if it is
// new. For a contributed budget, of which nothing is reserved, units must be 0.
func (l *Lessee) SetBudget(name string, units float64) {
	b := l.buckets[name]
	if b == nil {
		b = &bucket{}
		l.buckets[name] = b
	}
	b.minimum = l.settings.Minimum(units)
}

// RemoveBudget removes a budget, of which nothing may be spent from now on.
func (l *Lessee) RemoveBudget(name string) { delete(l.buckets, name) }

// SetContribution sets the units a second that this instance adds to a contributed budget.
func (l *Lessee) SetContribution(name string, units float64) {
	if b := l.buckets[name]; b != nil {
		b.contributed = units
	}
}

// Allowed returns the units of a budget that may be spent within the second that ends at now: the minimum, except in
// the process's first second, plus the units of the lease in force.
func (l *Lessee) Allowed(now monotime.Micros, name string) int {
	b := l.buckets[name]
	if b == nil || !l.active {
		return 0
	}
	n := 0
	if now >= l.startedAt+l.settings.countingWindow() {
		n = b.minimum
	}
	if now < l.expiresAt {
		n += b.leased
	}
	return n
}

// Available returns the units of a budget that may be spent at now: those that are allowed, less those that were spent
// within the last second.
func (l *Lessee) Available(now monotime.Micros, name string) int {
	b := l.buckets[name]
	if b == nil {
		return 0
	}
	b.dropSpentBefore(now - l.settings.countingWindow())
	return max(0, l.Allowed(now, name)-len(b.spent))
}

// RecordDemand counts a unit that is needed, whether or not it is available.
func (l *Lessee) RecordDemand(now monotime.Micros, name string) {
	if b := l.buckets[name]; b != nil {
		b.demand.add(now)
	}
}

// Spend spends a unit of a budget, and reports whether one was available.
func (l *Lessee) Spend(now monotime.Micros, name string) bool {
	if l.Available(now, name) == 0 {
		return false
	}
	b := l.buckets[name]
	b.spent = append(b.spent, now)
	b.usage.add(now)
	return true
}

// dropSpentBefore removes units that were spent at or before an instant.
func (b *bucket) dropSpentBefore(instant monotime.Micros) {
	n := 0
	for n < len(b.spent) && b.spent[n] <= instant {
		n++
	}
	if n > 0 {
		b.spent = append(b.spent[:0], b.spent[n:]...)
	}
}

// HeldLease returns when the lease in force ends, the term of the allocator that granted it and its serial. held is
// false if there is none.
func (l *Lessee) HeldLease(now monotime.Micros) (expiry monotime.Micros, term lease.Term, serial uint64, held bool) {
	if !l.active || l.heldSerial == 0 || now >= l.expiresAt {
		return 0, lease.Term{}, 0, false
	}
	return l.expiresAt, l.heldTerm, l.heldSerial, true
}

// KnownAllocator returns the latest known term of the allocator, which is the zero value if it is unknown, and the time
// at which the latest lease was received.
func (l *Lessee) KnownAllocator() (t lease.Term, lastGrantAt monotime.Micros) {
	return l.term, l.lastGrantAt
}

// ForgetAllocator sets the allocator to unknown, so that the next request goes to all candidates.
func (l *Lessee) ForgetAllocator() { l.term = lease.Term{} }

// NewRequest returns a lease request with this instance's demand. The caller must send it at now, from which a lease
// that it results in counts.
func (l *Lessee) NewRequest(now monotime.Micros) LeaseRequest {
	l.sequence++
	l.sent[l.sequence%maxSentRequests] = sentRequest{l.sequence, now}
	r := LeaseRequest{Incarnation: l.incarnation, Sequence: l.sequence, Term: l.term}
	if _, grantedIn, serial, held := l.HeldLease(now); held {
		r.HeldSerial = serial
		r.HeldTerm = grantedIn
	}
	for name, bucket := range l.buckets {
		d := Demand{
			Budget:      name,
			Requested:   bucket.demand.demandRate(now),
			Used:        bucket.usage.recentRate(now),
			Contributed: bucket.contributed,
		}
		if r.HeldSerial != 0 {
			d.Held = bucket.leased
		}
		r.Demands = append(r.Demands, d)
	}
	slices.SortFunc(r.Demands, func(a, b Demand) int { return strings.Compare(a.Budget, b.Budget) })
	return r
}

// HandleGrant handles the reply to a request. A grant is ignored if it is for another process, for a request that is
// not among the latest, or not newer than the lease in force. requestNow reports that the next request should be sent
// at once: because the allocator is another one than the request was sent to, or because the new lease is smaller, so
// that the allocator can lease the difference to others as soon as it is informed.
func (l *Lessee) HandleGrant(now monotime.Micros, g Grant) (requestNow bool) {
	request := l.sent[g.Sequence%maxSentRequests]
	if g.Incarnation != l.incarnation || !l.active || request.sequence != g.Sequence || g.Sequence == 0 {
		return false
	}
	if g.Serial == 0 {
		return l.updateAllocatorTerm(g)
	}
	expiry := request.sentAt + min(g.Duration, l.settings.LeaseDuration)
	if !l.supersedes(g, expiry) || now >= expiry {
		return false
	}
	l.heldSerial = g.Serial
	l.heldTerm = g.Term
	l.expiresAt = expiry
	l.lastGrantAt = now
	return l.applyAllocations(g.Allocations)
}

// updateAllocatorTerm stores the term of an allocator that granted no lease, if the grant replies to the latest request. It
// reports whether the term has changed.
func (l *Lessee) updateAllocatorTerm(g Grant) bool {
	if l.term == g.Term || g.Sequence != l.sequence {
		return false
	}
	l.term = g.Term
	return true
}

// supersedes reports whether a lease that expires at until replaces the one in force. A lessee never returns to an
// earlier lease, which the allocator may have granted to others in the meantime.
func (l *Lessee) supersedes(g Grant, expiry monotime.Micros) bool {
	switch {
	case g.Term != l.term:
		return false // of an allocator whose term has ended, or that is not known
	case g.Term == l.heldTerm && g.Serial <= l.heldSerial:
		return false // an earlier lease
	case l.heldSerial != 0 && expiry <= l.expiresAt:
		return false // the reply to an earlier request
	}
	return true
}

// applyAllocations sets the leased units of each budget to those of the new lease, and reports whether any budget has
// fewer than before.
func (l *Lessee) applyAllocations(allocations []Allocation) (reduced bool) {
	for name, bucket := range l.buckets {
		previous := bucket.leased
		bucket.leased = 0
		for _, a := range allocations {
			if a.Units > 0 && a.Budget == name {
				bucket.leased = a.Units
			}
		}
		reduced = reduced || bucket.leased < previous
	}
	return reduced
}

// BudgetNames returns the names of all budgets, sorted.
func (l *Lessee) BudgetNames() []string { return slices.Sorted(maps.Keys(l.buckets)) }
