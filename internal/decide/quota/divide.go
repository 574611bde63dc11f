package quota

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// claim is one lessee's claim to units of a budget while the budget is divided.
type claim struct {
	lessee *lesseeRecord
	units  int    // claimed units a second; the lessee is assigned no more, except spare units
	rank   uint64 // order among equal claims, lowest first; a new pseudorandom number for each rotationPeriod
}

// silentIntervals is the number of request intervals without a request after which a lessee is silent: it takes no part
// in divisions. Units that it has leased remain committed to it until the lease expires.
const silentIntervals = 3

// divide sets the targets of all lessees, in units a second. It divides the leasable units of each budget among the
// lessees that are not silent, in whole units, by max-min fairness over their demands (Bertsekas and Gallager, "Data
// Networks", 6.5.2). A later request is granted the target as far as the commitments to other lessees permit.
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

// sumContributions sets the size of a contributed budget to the sum of the active lessees' contributions, bounded by
// the budget's ceiling. It does not change other budgets.
func (b *budget) sumContributions(budgetName string, active []*lesseeRecord) {
	if !b.contributed {
		return
	}
	b.units = 0
	for _, lessee := range active {
		b.units += lessee.demands[budgetName].Contributed
	}
	b.units = min(b.units, b.ceiling)
}

// divideBudget sets the lessees' targets for one budget. It assigns fair shares of the claims, then the units left over
// by integer division, and finally most of the units beyond all claims. The seed is different for each budget, so that
// lessees with equal claims are ranked differently in each.
func (a *Allocator) divideBudget(now monotime.Micros, budgetName string, seed uint64, active []*lesseeRecord) {
	units := a.leasableUnits(budgetName)
	if units <= 0 {
		return
	}
	claims := newClaims(now, budgetName, seed, active, units)
	unassigned := assignFairly(claims, budgetName, units)
	unassigned = assignRemainder(claims, budgetName, unassigned)
	if unassigned > 0 {
		assignSpare(claims, budgetName, unassigned)
	}
}

const (
	// rotationPeriod is the time for which the order of equal claims stays the same. Where a budget has less than one
	// unit for each lessee, other lessees are assigned a unit in the next period.
	rotationPeriod = 4 * second
	// minUtilization is the fraction of its leased units that a lessee must use; below it, maxClaimPerUse bounds the
	// lessee's claim if the demands exceed the budget.
	minUtilization = 0.7
	// maxClaimPerUse bounds the claim of a lessee below minUtilization, as a multiple of the units that the lessee
	// uses.
	maxClaimPerUse = 2
)

// newClaims returns the claim of each active lessee, in the order of active, to a budget with the given leasable
// units a second. A claim is the lessee's demand. If the demands exceed the budget, the claim of a lessee that uses
// less than minUtilization of its leased units is bounded by the larger of an equal share of the budget and
// maxClaimPerUse times the units that it uses. So a lessee that overstates its demand gains nothing beyond this
// bound.
func newClaims(now monotime.Micros, budgetName string, seed uint64, active []*lesseeRecord, units int) []claim {
	claims := make([]claim, len(active))
	total := 0
	for i, lessee := range active {
		rotation := hash64.SplitMix(seed ^ uint64(now/rotationPeriod))
		claims[i] = claim{
			lessee: lessee,
			units:  int(min(math.Ceil(lessee.demands[budgetName].Requested), float64(units))),
			rank:   hash64.SplitMix(rotation ^ hash64.String(lessee.name)),
		}
		total += claims[i].units
	}
	if total <= units {
		return claims
	}
	fairShare := float64(units) / float64(len(active))
	for i, lessee := range active {
		if d := lessee.demands[budgetName]; d.Used < minUtilization*float64(d.Held) {
			claims[i].units = min(claims[i].units, int(math.Ceil(math.Max(fairShare, maxClaimPerUse*d.Used))))
		}
	}
	return claims
}

// assignFairly sets the targets by max-min fairness. In ascending order of the claims, it assigns each lessee the
// claimed units, but at most an equal share of the units that are not yet assigned. It leaves claims sorted in this
// order, and returns the units that remain unassigned.
func assignFairly(claims []claim, budgetName string, units int) (unassigned int) {
	unassigned = units
	slices.SortFunc(claims, func(a, b claim) int {
		return cmp.Or(cmp.Compare(a.units, b.units), cmp.Compare(a.rank, b.rank))
	})
	for i, c := range claims {
		share := min(c.units, unassigned/(len(claims)-i))
		c.lessee.targets[budgetName] = share
		unassigned -= share
	}
	return unassigned
}

// assignRemainder adds one unit to the target of each lessee whose claim is not met, in the order of claims, until no
// units are left. It returns the units that remain unassigned.
func assignRemainder(claims []claim, budgetName string, units int) (unassigned int) {
	unassigned = units
	for _, c := range claims {
		if unassigned == 0 {
			return 0
		}
		if c.lessee.targets[budgetName] < c.units {
			c.lessee.targets[budgetName]++
			unassigned--
		}
	}
	return unassigned
}

// spareRetainedDivisor determines how many units beyond all claims stay unassigned: one in this many, for the next
// request of any lessee.
const spareRetainedDivisor = 4

// assignSpare divides units beyond all claims equally among the lessees, except those that spareRetainedDivisor
// retains. A lessee can then serve new demand from leased units before its next request.
func assignSpare(claims []claim, budgetName string, units int) {
	spare := units - units/spareRetainedDivisor
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.rank, b.rank) })
	for i, c := range claims {
		share := spare / (len(claims) - i)
		c.lessee.targets[budgetName] += share
		spare -= share
	}
}
