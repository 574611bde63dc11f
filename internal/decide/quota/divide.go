package quota

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/decide/hash64"
	"dunlinsail/internal/monotime"
)

// silent is after how many periods without a question a holder is taken to want nothing. What it was lent is its own until that
// has ended.
const silentIntervals = 3

// divide decides anew what each holder is to have of each budget: by max-min over what they want (Bertsekas and Gallager,
// "Data Networks", 6.5.2), in whole units. Where not all can have what they want, a holder that does not use what it has
// counts for no more than twice that: one that asks for everything gets what fairness gives.
func (b *Allocator) divide(now monotime.Micros) {
	b.dividedAt, b.dirty = now, false
	var heard []*lesseeRecord
	for _, x := range b.sortedLessees {
		clear(x.targets)
		b.recountCommitted(now, x)
		if now-x.lastRequestAt <= silentIntervals*b.settings.RequestInterval {
			heard = append(heard, x)
		}
	}
	for k, name := range b.budgetNames {
		budget := b.budgets[name]
		if budget.contributed {
			budget.units = 0
			for _, x := range heard {
				budget.units += x.demands[name].Contributed
			}
			budget.units = min(budget.units, budget.ceiling)
		}
		if len(heard) > 0 {
			b.divideBudget(now, name, uint64(k), heard)
		}
	}
}

// turn is for how long the same holders come first where there is less than a unit for each.
const rotationPeriod = 4 * second

// split divides one budget.
func (b *Allocator) divideBudget(now monotime.Micros, name string, seed uint64, heard []*lesseeRecord) {
	left := b.leasableUnits(name)
	if left <= 0 {
		return
	}
	fair := float64(left) / float64(len(heard))
	wants, total := make([]int, len(heard)), 0
	order := make([]int, len(heard))
	turns := make([]uint64, len(heard))
	for i, x := range heard {
		w := x.demands[name]
		wants[i] = int(min(math.Ceil(w.Requested), float64(left)))
		total += wants[i]
		order[i] = i
		rotation := hash64.SplitMix(seed ^ uint64(now/rotationPeriod))
		turns[i] = hash64.SplitMix(rotation ^ hash64.String(x.name))
	}
	if total > left {
		for i, x := range heard {
			if w := x.demands[name]; w.Used < minUtilization*float64(w.Held) {
				wants[i] = min(wants[i], int(math.Ceil(math.Max(fair, 2*w.Used))))
			}
		}
	}
	// The least wants first: each gets what it wants as long as that is within an equal part of what is left.
	slices.SortFunc(order, func(a, c int) int { return cmp.Or(cmp.Compare(wants[a], wants[c]), cmp.Compare(turns[a], turns[c])) })
	for i, at := range order {
		n := min(wants[at], left/(len(order)-i))
		heard[at].targets[name] = n
		left -= n
	}
	// Units that no equal part could have are given in turn.
	for _, at := range order {
		if left == 0 {
			return
		}
		if x := heard[at]; x.targets[name] < wants[at] {
			x.targets[name]++
			left--
		}
	}
	// What nobody wants now is lent all the same, for what comes before the next question; a part of it is kept for who asks next.
	spare := left - left/4
	slices.SortFunc(order, func(a, c int) int { return cmp.Compare(turns[a], turns[c]) })
	for i, at := range order {
		n := spare / (len(order) - i)
		heard[at].targets[name] += n
		spare -= n
	}
}

// spends is the part of what it holds that a holder must use to be taken at its word that it wants more.
const minUtilization = 0.7
