package quota

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// claim is the units that one lessee is considered for when a budget is divided.
type claim struct {
	lessee *lesseeRecord
	units  int    // units a second that the lessee gets if there are enough
	rank   uint64 // order among equal claims, the lowest first; drawn anew for each rotationPeriod
}

// silentIntervals is the number of request intervals without a request after which a lessee counts as one without
// demand. Its leased units remain committed to it until the lease expires.
const silentIntervals = 3

// divide sets the targets of all lessees, in units a second. It divides each budget by max-min fairness over the
// demands (Bertsekas and Gallager, "Data Networks", 6.5.2), in whole units, among the lessees that are not silent. A
// target is granted as far as the other lessees' commitments leave units free.
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

// sumContributions sets the units of a contributed budget to the sum of the active lessees' contributions, but at most
// to its ceiling.
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

// divideBudget sets the targets of one budget in three steps: fair parts of the claims, single units that the division
// leaves, and spare units beyond all claims. The seed, a number of the budget, lets ranks differ between budgets.
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
	// rotationPeriod is the time for which the order of equal claims stays the same. After it, other lessees come first
	// where a budget has less than one unit for each.
	rotationPeriod = 4 * second
	// minUtilization is the fraction of its leased units that a lessee must use for its whole demand to be a claim.
	minUtilization = 0.7
	// maxClaimPerUse bounds the claim of a lessee below minUtilization, in multiples of the units that it uses.
	maxClaimPerUse = 2
)

// newClaims returns the lessees' claims to a budget of the given leasable units a second, in the order of lessees. A
// claim is the lessee's demand. Where the demands exceed the budget, the claim of a lessee that uses less than
// minUtilization of its leased units is bounded by maxClaimPerUse times its use, or by an equal part of the budget if
// that is more: a lessee that overstates its demand gets no more than an equal part.
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

// assignFairly sorts the claims, the smallest first, and sets the targets: each claim gets its units, but at most an
// equal part of the units that the claims before it have left. It returns the units that are not assigned.
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

// assignRemainder adds one unit to the target of each claim that is not met, in the order of claims, while units are
// left. It returns the units that are not assigned.
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

// spareRetainedDivisor gives the part of the spare units that stays unassigned, for the next request of any lessee.
const spareRetainedDivisor = 4

// assignSpare divides the units beyond all claims equally, so that demand that arises before a lessee's next request
// finds units leased.
func assignSpare(claims []claim, budgetName string, units int) {
	spare := units - units/spareRetainedDivisor
	slices.SortFunc(claims, func(a, b claim) int { return cmp.Compare(a.rank, b.rank) })
	for i, c := range claims {
		share := spare / (len(claims) - i)
		c.lessee.targets[budgetName] += share
		spare -= share
	}
}
