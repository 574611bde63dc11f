package quota

import (
	"cmp"
	"slices"
	"strings"

	"dunlinsail/internal/monotime"
)

// lesseeID identifies a lessee's process. Two incarnations of the same name are different lessees, because leases of
// the earlier incarnation may still be in force.
type lesseeID struct {
	name        string
	incarnation uint64
}

// lesseeRecord is the allocator's record of a lessee.
type lesseeRecord struct {
	lesseeID
	lastSequence  uint64            // sequence number of the latest request
	lastRequestAt monotime.Micros   // when the latest request arrived
	demands       map[string]Demand // demand as of the latest request, keyed by budget
	targets       map[string]int    // units a second to grant once others have returned them, keyed by budget
	committed     map[string]int    // this lessee's share of budget.committed, in units a second, keyed by budget
	commitments   []commitment
}

// commitment records the units of a granted lease. Until it expires, the allocator assumes that the lessee may spend
// them.
type commitment struct {
	serial    uint64         // serial number of the lease; 0 if an earlier allocator granted it
	units     map[string]int // units that may be spent within any second, keyed by budget
	expiresAt monotime.Micros
}

// getOrCreateLessee returns the record of a lessee, and creates it at the lessee's first request. The sort order of
// the lessees determines the order of floating-point sums. Incarnations are compared as float64, so two that differ
// only beyond its 53 bits are equal; comparing them as integers would change the order, and thereby the last bit of
// some sums.
func (a *Allocator) getOrCreateLessee(id lesseeID) *lesseeRecord {
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

// applyHeldLease handles the part of a request that states which lease is in force. The lessee no longer spends units
// from earlier leases, so their commitments end one countingWindow from now, when units spent earlier no longer count.
func (a *Allocator) applyHeldLease(now monotime.Micros, lessee *lesseeRecord, r *LeaseRequest) {
	if r.HeldSerial == 0 {
		return // the lessee may not have received its lease yet: all commitments stay until they expire
	}
	if r.HeldTerm != a.term {
		a.commitEarlierTermLease(now, lessee)
		return
	}
	for i := range lessee.commitments {
		if c := &lessee.commitments[i]; c.serial < r.HeldSerial {
			c.expiresAt = min(c.expiresAt, now+a.settings.countingWindow())
		}
	}
}

// commitEarlierTermLease commits the units of a lease that the lessee holds from an earlier allocator. It does so
// only during recovery. The new commitment replaces the commitment for a lease of an earlier allocator that the
// lessee reported before.
func (a *Allocator) commitEarlierTermLease(now monotime.Micros, lessee *lesseeRecord) {
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

// dropExpired removes expired commitments. It also removes lessees that have no commitment and have sent no request
// within the lifetime of a lease.
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

// recountCommitted updates a lessee's share of budget.committed, for all budgets, so that it includes only commitments
// that have not expired.
func (a *Allocator) recountCommitted(now monotime.Micros, lessee *lesseeRecord) {
	for _, name := range a.budgetNames {
		units := lessee.committedUnits(now, name)
		a.budgets[name].committed += units - lessee.committed[name]
		lessee.committed[name] = units
	}
}

// committedUnits returns the units of a budget that the lessee may spend within a second. It is the maximum over the
// lessee's commitments, not their sum, because a lessee spends from one lease at a time.
func (r *lesseeRecord) committedUnits(now monotime.Micros, name string) (maxUnits int) {
	for i := range r.commitments {
		if c := &r.commitments[i]; now < c.expiresAt {
			maxUnits = max(maxUnits, c.units[name])
		}
	}
	return maxUnits
}

// status returns the status of the lessee's lease of one budget, for operators.
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
