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
func (b *Allocator) divide(now monotime.Micros) {
	b.dividedAt = now
	b.dirty = false
	var active []*lesseeRecord
	for _, x := range b.sortedLessees {
		clear(x.targets)
		b.recountCommitted(now, x)
		if now-x.lastRequestAt <= silentIntervals*b.settings.RequestInterval {
			active = append(active, x)
		}
	}
	for i, name := range b.budgetNames {
		b.budgets[name].sumContributions(name, active)
		if len(active) > 0 {
			b.divideBudget(now, name, uint64(i), active)
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
func (b *Allocator) divideBudget(now monotime.Micros, name string, seed uint64, active []*lesseeRecord) {
	units := b.leasableUnits(name)
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
	for i, x := range active {
		rotation := hash64.SplitMix(seed ^ uint64(now/rotationPeriod))
		claims[i] = claim{
			lessee: x,
			units:  int(min(math.Ceil(x.demands[name].Requested), float64(units))),
			rank:   hash64.SplitMix(rotation ^ hash64.String(x.name)),
		}
		total += claims[i].units
	}
	if total <= units {
		return claims
	}
	fairShare := float64(units) / float64(len(active))
	for i, x := range active {
		if d := x.demands[name]; d.Used < minUtilization*float64(d.Held) {
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
