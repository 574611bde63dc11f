package quota

import (
	"cmp"
	"slices"
	"strings"

	"dunlinsail/internal/monotime"
)

// lesseeID identifies a lessee's process. Another incarnation of a name is another lessee: what the one before had
// leased does not end with it.
type lesseeID struct {
	name        string
	incarnation uint64
}

// lesseeRecord is what the allocator knows of a lessee.
type lesseeRecord struct {
	lesseeID
	lastSequence  uint64 // of its latest request
	lastRequestAt monotime.Micros
	demands       map[string]Demand // by budget, as of its latest request
	targets       map[string]int    // by budget: units that it gets once others have returned them
	committed     map[string]int    // by budget: its part of budget.committed
	commitments   []commitment
}

// commitment is units that a lessee may spend until the commitment expires.
type commitment struct {
	serial    uint64 // of the lease; 0 is one that an allocator before this one granted
	units     map[string]int
	expiresAt monotime.Micros
}

// lessee returns the record of a lessee, a new one if there is none.
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

// applyHeldLease takes in which lease a lessee shows to be in force. Earlier ones can be spent of no more.
func (a *Allocator) applyHeldLease(now monotime.Micros, lessee *lesseeRecord, r *LeaseRequest) {
	if r.HeldSerial == 0 {
		return // it may not have received any yet: what it was granted expires
	}
	if r.HeldTerm != a.term {
		a.applyEarlierTerm(now, lessee)
		return
	}
	for i := range lessee.commitments {
		if c := &lessee.commitments[i]; c.serial < r.HeldSerial {
			c.expiresAt = min(c.expiresAt, now+a.settings.window())
		}
	}
}

// applyEarlierTerm commits what a lessee shows to hold by a lease of an allocator before this one.
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

// dropExpired removes expired commitments, and lessees that have none and are silent.
func (a *Allocator) dropExpired(now monotime.Micros) {
	expired := func(c commitment) bool { return now >= c.expiresAt }
	a.sortedLessees = slices.DeleteFunc(a.sortedLessees, func(lessee *lesseeRecord) bool {
		lessee.commitments = slices.DeleteFunc(lessee.commitments, expired)
		gone := len(lessee.commitments) == 0 && now-lessee.lastRequestAt > a.settings.leaseLifetime()
		if gone {
			a.recountCommitted(now, lessee)
			delete(a.lessees, lessee.lesseeID)
			a.dirty = true
		}
		return gone
	})
}

// recountCommitted brings a lessee's part of budget.committed up to date.
func (a *Allocator) recountCommitted(now monotime.Micros, lessee *lesseeRecord) {
	for _, name := range a.budgetNames {
		n := lessee.committedUnits(now, name)
		a.budgets[name].committed += n - lessee.committed[name]
		lessee.committed[name] = n
	}
}

// committedUnits returns how many units of a budget the lessee may be spending within a second.
func (x *lesseeRecord) committedUnits(now monotime.Micros, name string) (n int) {
	for i := range x.commitments {
		if c := &x.commitments[i]; now < c.expiresAt {
			n = max(n, c.units[name])
		}
	}
	return n
}

// status returns what the lessee has of a budget.
func (x *lesseeRecord) status(now monotime.Micros, name string) LeaseStatus {
	l := LeaseStatus{
		Lessee:        x.name,
		Incarnation:   x.incarnation,
		Budget:        name,
		Units:         x.committedUnits(now, name),
		Target:        x.targets[name],
		Requested:     x.demands[name].Requested,
		LastRequestAt: x.lastRequestAt,
	}
	for _, c := range x.commitments {
		if c.units[name] > 0 {
			l.Until = max(l.Until, c.expiresAt)
		}
	}
	return l
}
