package quota

import (
	"maps"
	"slices"
	"strings"

	"dunlinsail/internal/decide/lease"
	"dunlinsail/internal/monotime"
)

// Lessee decides how many units of each budget one instance may spend. Create one with NewLessee. It spends nothing
// before Start or Restore. It is not safe for concurrent use.
type Lessee struct {
	settings    Settings
	incarnation uint64
	startedAt   monotime.Micros
	active      bool               // the process is started and has not handed over to a successor: it may spend
	buckets     map[string]*bucket // keyed by budget name

	sequence    uint64                       // sequence number of the latest request
	sent        [maxSentRequests]sentRequest // ring of the latest requests, indexed by sequence number
	term        lease.Term                   // latest known term of the allocator; the zero value means unknown
	heldSerial  uint64                       // serial number of the latest accepted lease; 0 if there was none
	heldTerm    lease.Term                   // term of the allocator that granted the latest accepted lease
	expiresAt   monotime.Micros              // when the latest accepted lease expires
	lastGrantAt monotime.Micros              // when the latest accepted lease was received
}

// maxSentRequests is the number of latest requests for which the send time is kept. Grants for earlier requests are
// ignored.
const maxSentRequests = 16

// sentRequest records when the request with a sequence number was sent.
type sentRequest struct {
	sequence uint64
	sentAt   monotime.Micros
}

// bucket tracks the units of one budget that the instance may spend and has spent.
type bucket struct {
	minimum     int               // units that may be spent within any second without a lease
	leased      int               // units that may be spent in addition to minimum while the lease is in force
	spent       []monotime.Micros // when each unit of the last second was spent, oldest first
	demand      rateEstimator     // rate of units needed, whether or not available
	usage       rateEstimator     // rate of units spent
	contributed float64           // units a second that this instance adds to a contributed budget
}

// NewLessee returns an inactive lessee without budgets. The error is a *setting.Error if a setting is out of range.
func NewLessee(s Settings) (*Lessee, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Lessee{settings: s, buckets: map[string]*bucket{}}, nil
}

// Start activates the lessee of a process that has no predecessor. The lessee has no lease. In its first second it has
// no minimum either, because a killed process of the same name may have spent the minimum shortly before.
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

// SetBudget sets the units a second that all instances together may spend of a budget. It adds the budget if it is new.
// For a contributed budget, units must be 0, because such a budget has no reserved minimum.
func (l *Lessee) SetBudget(name string, units float64) {
	b := l.buckets[name]
	if b == nil {
		b = &bucket{}
		l.buckets[name] = b
	}
	b.minimum = l.settings.Minimum(units)
}

// RemoveBudget removes a budget. None of its units may be spent from now on.
func (l *Lessee) RemoveBudget(name string) { delete(l.buckets, name) }

// SetContribution sets the units a second that this instance adds to a contributed budget.
func (l *Lessee) SetContribution(name string, units float64) {
	if b := l.buckets[name]; b != nil {
		b.contributed = units
	}
}

// Allowed returns the units of a budget that may be spent within the second that ends at now. It is the sum of the
// minimum, which is 0 in the first second of the process, and the units of the lease in force.
func (l *Lessee) Allowed(now monotime.Micros, name string) int {
	b := l.buckets[name]
	if b == nil || !l.active {
		return 0
	}
	units := 0
	if now >= l.startedAt+l.settings.countingWindow() {
		units = b.minimum
	}
	if now < l.expiresAt {
		units += b.leased
	}
	return units
}

// Available returns the units of a budget that may be spent at now: the allowed units less the units that were spent
// within the last second.
func (l *Lessee) Available(now monotime.Micros, name string) int {
	b := l.buckets[name]
	if b == nil {
		return 0
	}
	b.dropSpentBefore(now - l.settings.countingWindow())
	return max(0, l.Allowed(now, name)-len(b.spent))
}

// RecordDemand counts one unit of demand for a budget, whether or not a unit is available.
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

// dropSpentBefore removes the records of units that were spent at or before an instant.
func (b *bucket) dropSpentBefore(instant monotime.Micros) {
	expired := 0
	for expired < len(b.spent) && b.spent[expired] <= instant {
		expired++
	}
	if expired > 0 {
		b.spent = append(b.spent[:0], b.spent[expired:]...)
	}
}

// HeldLease returns when the lease in force expires, the term of the allocator that granted it, and its serial number.
// held is false if no lease is in force.
func (l *Lessee) HeldLease(now monotime.Micros) (expiry monotime.Micros, term lease.Term, serial uint64, held bool) {
	if !l.active || l.heldSerial == 0 || now >= l.expiresAt {
		return 0, lease.Term{}, 0, false
	}
	return l.expiresAt, l.heldTerm, l.heldSerial, true
}

// KnownAllocator returns the latest known term of the allocator and the time at which the latest accepted lease was
// received. The term is the zero value if the allocator is unknown.
func (l *Lessee) KnownAllocator() (t lease.Term, lastGrantAt monotime.Micros) {
	return l.term, l.lastGrantAt
}

// ForgetAllocator marks the allocator as unknown, so that the caller sends the next request to all candidates.
func (l *Lessee) ForgetAllocator() { l.term = lease.Term{} }

// NewRequest returns a lease request with this instance's demand. The caller must send it at now: the duration of the
// lease that it is granted is counted from now.
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

// HandleGrant handles the reply to a request. It ignores a grant for another process, for a request that is not among
// the latest maxSentRequests, and with a lease that is not newer than the lease in force. requestNow reports whether
// the next request should be sent at once. It is true if the reply states a term that was not known, and if the new
// lease has fewer units than before: the allocator can lease the difference to others once it is notified.
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

// updateAllocatorTerm stores the term that a grant without a lease states, if the grant is the reply to the latest
// request. It reports whether the term has changed.
func (l *Lessee) updateAllocatorTerm(g Grant) bool {
	if l.term == g.Term || g.Sequence != l.sequence {
		return false
	}
	l.term = g.Term
	return true
}

// supersedes reports whether a granted lease with the given expiry replaces the lease in force. A lessee never returns
// to an earlier lease, whose units the allocator may have granted to others in the meantime.
func (l *Lessee) supersedes(g Grant, expiry monotime.Micros) bool {
	switch {
	case g.Term != l.term:
		return false // the allocator's term has ended or is not known here
	case g.Term == l.heldTerm && g.Serial <= l.heldSerial:
		return false // the lease is not newer than the lease in force
	case l.heldSerial != 0 && expiry <= l.expiresAt:
		return false // the grant replies to an earlier request than the lease in force did
	}
	return true
}

// applyAllocations sets the leased units of each budget to the units of the new lease. It reports whether any budget
// has fewer leased units than before.
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
