package quota

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

const (
	// silentIntervals is after how many request intervals without a request a lessee is taken to have no demand. What
	// it was leased remains its own until the lease expires.
	silentIntervals = 3
	// rotationPeriod is for how long the same lessees come first where there is less than a unit for each.
	rotationPeriod = 4 * second
	// minUtilization is the fraction of its units that a lessee must use for its whole demand to be believed.
	minUtilization = 0.7
)

// claim is what a lessee gets considered for when a budget is divided.
type claim struct {
	lessee *lesseeRecord
	units  int    // that it gets if there are enough
	rank   uint64 // random for a rotationPeriod; the lower comes first
}

// divide sets the targets of all lessees: each budget is divided by max-min fairness over the demands (Bertsekas and
// Gallager, "Data Networks", 6.5.2), in whole units.
func (a *Allocator) divide(now monotime.Micros) {
	a.dividedAt = now
	a.dirty = false
	var active []*lesseeRecord
	for _, lessee := range a.sortedLessees {
		clear(lessee.targets)
		a.recountCommitted(now, lessee)
		if now-lessee.lastRequestAt <= silentIntervals*a.settings.RequestInterval {
			active = append(active, lessee)
		}
	}
	for i, name := range a.budgetNames {
		a.budgets[name].sumContributions(name, active)
		if len(active) > 0 {
			a.divideBudget(now, name, uint64(i), active)
		}
	}
}

// sumContributions sets the units of a contributed budget to what its lessees add up to.
func (x *budget) sumContributions(name string, active []*lesseeRecord) {
	if !x.contributed {
		return
	}
	x.units = 0
	for _, lessee := range active {
		x.units += lessee.demands[name].Contributed
	}
	x.units = min(x.units, x.ceiling)
}

// divideBudget sets the targets of one budget.
func (a *Allocator) divideBudget(now monotime.Micros, name string, seed uint64, active []*lesseeRecord) {
	units := a.leasableUnits(name)
	if units <= 0 {
		return
	}
	claims := newClaims(now, name, seed, active, units)
	left := assignFairly(claims, name, units)
	left = assignRemainder(claims, name, left)
	if left > 0 {
		assignSpare(claims, name, left)
	}
}

// newClaims returns the lessees' claims of a budget, in the lessees' order. Where not all can have what they demand, a
// lessee that does not use what it has claims no more than twice what it uses or what is fair: one that demands
// everything gets what fairness gives.
func newClaims(now monotime.Micros, name string, seed uint64, active []*lesseeRecord, units int) []claim {
	claims := make([]claim, len(active))
	total := 0
	for i, lessee := range active {
		rotation := hash64.SplitMix(seed ^ uint64(now/rotationPeriod))
		claims[i] = claim{
			lessee: lessee,
			units:  int(min(math.Ceil(lessee.demands[name].Requested), float64(units))),
			rank:   hash64.SplitMix(rotation ^ hash64.String(lessee.name)),
		}
		total += claims[i].units
	}
	if total <= units {
		return claims
	}
	fairShare := float64(units) / float64(len(active))
	for i, lessee := range active {
		if d := lessee.demands[name]; d.Used < minUtilization*float64(d.Held) {
			claims[i].units = min(claims[i].units, int(math.Ceil(math.Max(fairShare, 2*d.Used))))
		}
	}
	return claims
}

// assignFairly sorts the claims, the smallest first, gives each its units as long as these are within an equal part of
// what is left, and returns what is left then.
func assignFairly(claims []claim, name string, units int) (left int) {
	left = units
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.units, b.units), cmp.Compare(a.rank, b.rank))
	})
	for i, c := range claims {
		n := min(c.units, left/(len(claims)-i))
		c.lessee.targets[name] = n
		left -= n
	}
	return left
}

// assignRemainder gives one unit more to claims that are not met, as long as there are any, and returns what is left.
func assignRemainder(claims []claim, name string, units int) (left int) {
	left = units
	for _, c := range claims {
		if left == 0 {
			return 0
		}
		if c.lessee.targets[name] < c.units {
			c.lessee.targets[name]++
			left--
		}
	}
	return left
}

// assignSpare divides what nobody demands now, so that demand before the next request is met. A quarter is held back
// for whoever asks next.
func assignSpare(claims []claim, name string, units int) {
	spare := units - units/4
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.rank, b.rank) })
	for i, c := range claims {
		n := spare / (len(claims) - i)
		c.lessee.targets[name] += n
		spare -= n
	}
}
