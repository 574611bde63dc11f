package quota

import (
	"cmp"
	"slices"
	"strings"

	"dunlinsail/internal/monotime"
)

// lesseeID identifies a lessee's process. Another incarnation of a name is another lessee, since the leases of the
// earlier one may still be in force.
type lesseeID struct {
	name        string
	incarnation uint64
}

// lesseeRecord is the allocator's record of a lessee.
type lesseeRecord struct {
	lesseeID
	lastSequence  uint64 // of its latest request
	lastRequestAt monotime.Micros
	demands       map[string]Demand // by budget, as of its latest request
	targets       map[string]int    // by budget: units a second that it gets once others have returned them
	committed     map[string]int    // by budget: its part of budget.committed, in units a second
	commitments   []commitment
}

// commitment is the units of a lease, which count as spendable by the lessee until the commitment expires.
type commitment struct {
	serial    uint64         // of the lease; 0 is a lease of an earlier allocator
	units     map[string]int // by budget, within any second
	expiresAt monotime.Micros
}

// lessee returns the record of a lessee, and creates it at the lessee's first request. The order of lessees decides the
// order of floating-point sums. It compares incarnations as float64, so incarnations that differ only in bits beyond
// the 53 of a float64 are tied: to compare them as integers would change the order, and so results in the last bit.
func (a *Allocator) lessee(id lesseeID) *lesseeRecord {
	if record := a.lessees[id]; record != nil {
		return record
	}
	record := &lesseeRecord{lesseeID: id, targets: map[string]int{}, committed: map[string]int{}}
	a.lessees[id] = record
	a.sortedLessees = append(a.sortedLessees, record)
	slices.SortFunc(a.sortedLessees, func(p, q *lesseeRecord) int {
		return cmp.Or(
			strings.Compare(p.name, q.name),
			cmp.Compare(float64(p.incarnation), float64(q.incarnation)),
		)
	})
	a.dirty = true
	return record
}

// applyHeldLease handles a request's statement of which lease is in force: the lessee spends nothing from earlier
// leases any more, so their commitments end a window from now, when what was spent from them no longer counts.
func (a *Allocator) applyHeldLease(now monotime.Micros, lessee *lesseeRecord, r *LeaseRequest) {
	if r.HeldSerial == 0 {
		return // it may not have received its lease yet: all commitments stay until they expire
	}
	if r.HeldTerm != a.term {
		a.applyEarlierTerm(now, lessee)
		return
	}
	for i := range lessee.commitments {
		if c := &lessee.commitments[i]; c.serial < r.HeldSerial {
			c.expiresAt = min(c.expiresAt, now+a.settings.countingWindow())
		}
	}
}

// applyEarlierTerm commits the units that a lessee holds by a lease of an earlier allocator, during recovery. The lease
// replaces one that the lessee stated before.
func (a *Allocator) applyEarlierTerm(now monotime.Micros, lessee *lesseeRecord) {
	if now >= a.recoveringUntil {
		return // the lease expired before the request arrived
	}
	held := commitment{units: map[string]int{}, expiresAt: a.commitmentEnd(now)}
	for _, d := range lessee.demands {
		held.units[d.Budget] = d.Held
	}
	lessee.commitments = slices.DeleteFunc(lessee.commitments, func(c commitment) bool { return c.serial == 0 })
	lessee.commitments = append(lessee.commitments, held)
}

// dropExpired removes expired commitments, and lessees that have no commitment and have sent no request within a
// lease's lifetime.
func (a *Allocator) dropExpired(now monotime.Micros) {
	expired := func(c commitment) bool { return now >= c.expiresAt }
	a.sortedLessees = slices.DeleteFunc(a.sortedLessees, func(lessee *lesseeRecord) bool {
		lessee.commitments = slices.DeleteFunc(lessee.commitments, expired)
		remove := len(lessee.commitments) == 0 && now-lessee.lastRequestAt > a.settings.leaseLifetime()
		if remove {
			a.recountCommitted(now, lessee)
			delete(a.lessees, lessee.lesseeID)
			a.dirty = true
		}
		return remove
	})
}

// recountCommitted updates a lessee's part of budget.committed to the commitments that have not expired.
func (a *Allocator) recountCommitted(now monotime.Micros, lessee *lesseeRecord) {
	for _, name := range a.budgetNames {
		units := lessee.committedUnits(now, name)
		a.budgets[name].committed += units - lessee.committed[name]
		lessee.committed[name] = units
	}
}

// committedUnits returns the units of a budget that the lessee may spend within a second: the largest of its
// commitments, since it spends from one lease at a time.
func (r *lesseeRecord) committedUnits(now monotime.Micros, name string) (maxUnits int) {
	for i := range r.commitments {
		if c := &r.commitments[i]; now < c.expiresAt {
			maxUnits = max(maxUnits, c.units[name])
		}
	}
	return maxUnits
}

// status returns the lessee's status for one budget.
func (r *lesseeRecord) status(now monotime.Micros, name string) LeaseStatus {
	leaseStatus := LeaseStatus{
		Lessee:        r.name,
		Incarnation:   r.incarnation,
		Budget:        name,
		Units:         r.committedUnits(now, name),
		Target:        r.targets[name],
		Requested:     r.demands[name].Requested,
		LastRequestAt: r.lastRequestAt,
	}
	for _, c := range r.commitments {
		if c.units[name] > 0 {
			leaseStatus.Until = max(leaseStatus.Until, c.expiresAt)
		}
	}
	return leaseStatus
}
