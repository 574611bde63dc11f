package measure

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// quotaSpendTimes are the instants at which instances spent a unit of a fleet-wide budget, by the name of the
// budget.
type quotaSpendTimes map[string][]monotime.Micros

// QuotaSpent records that an instance spent a unit of a fleet-wide budget.
func (m *Meter) QuotaSpent(now monotime.Micros, budget string) {
	if m.quotaSpending == nil {
		m.quotaSpending = quotaSpendTimes{}
	}
	m.quotaSpending[budget] = append(m.quotaSpending[budget], now)
}

// figures adds the figures of tenant limits: the largest use of a limit in any second, the units beyond a
// limit, and the fraction of the limits that was used in seconds with contended demand. Budgets that are not
// tenant limits grow with the accepted requests; the figures of arrivals show their effect.
func (spendTimes quotaSpendTimes) figures(figures map[string]float64, criteria *Criteria, demand map[int][]int) {
	figures["over_budget"] = 0
	figures["beyond_limit"] = 0
	figures["budget_use"] = 1
	var available, used float64
	for i, tenant := range criteria.Tenants {
		times := spendTimes["tenant/"+tenant.Name]
		limit := criteria.TenantLimits[tenant.Name]
		if limit <= 0 || len(times) == 0 {
			continue
		}
		slices.Sort(times) // each process reports its instants as one list, so they are not in order
		peak, beyond := PeakSecond(times, limit)
		figures["over_budget"] = max(figures["over_budget"], float64(peak)/limit)
		figures["beyond_limit"] += float64(beyond)
		spent := make([]float64, len(demand[i]))
		for _, spentAt := range times {
			if secondIndex := spentAt / second; secondIndex >= 0 && secondIndex < monotime.Micros(len(spent)) {
				spent[secondIndex]++
			}
		}
		for secondIndex, requested := range demand[i] {
			if float64(requested) >= contendedDemand*limit {
				available += limit
				used += min(spent[secondIndex], limit)
			}
		}
	}
	if available > 0 {
		figures["budget_use"] = used / available
	}
}

// contendedDemand is the demand of a tenant in a second, as a multiple of its limit, from which the whole limit
// should be used.
const contendedDemand = 1.2

// PeakSecond returns the largest number of instants within any period of one second, and the number of instants
// that exceed a limit a second. The instants must be sorted.
func PeakSecond(times []monotime.Micros, limit float64) (peak, beyond int) {
	oldest := 0
	for i, spentAt := range times {
		for times[oldest] <= spentAt-second {
			oldest++
		}
		count := i - oldest + 1
		peak = max(peak, count)
		if float64(count) > limit {
			beyond++
		}
	}
	return peak, beyond
}
