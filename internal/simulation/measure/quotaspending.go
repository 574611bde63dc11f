package measure

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// quotaSpending are the instants at which instances spent a unit of a budget of the fleet, by budget.
type quotaSpending map[string][]monotime.Micros

// QuotaSpent records that an instance spent a unit of a budget.
func (m *Meter) QuotaSpent(now monotime.Micros, budget string) {
	if m.quotaSpending == nil {
		m.quotaSpending = quotaSpending{}
	}
	m.quotaSpending[budget] = append(m.quotaSpending[budget], now)
}

// figures adds the figures of tenant limits: the largest use of a limit in any second, the units beyond a limit, and
// the part of the limits that was used in seconds of contended demand. Other budgets grow with the accepted requests;
// the figures of arrivals show them.
func (s quotaSpending) figures(f map[string]float64, j *Criteria, demand map[int][]int) {
	f["over_budget"] = 0
	f["beyond_limit"] = 0
	f["budget_use"] = 1
	var available, used float64
	for i, t := range j.Tenants {
		at := s["tenant/"+t.Name]
		limit := j.TenantLimits[t.Name]
		if limit <= 0 || len(at) == 0 {
			continue
		}
		slices.Sort(at) // processes report theirs one after another
		worst, beyond := PeakSecond(at, limit)
		f["over_budget"] = max(f["over_budget"], float64(worst)/limit)
		f["beyond_limit"] += float64(beyond)
		spent := make([]float64, len(demand[i]))
		for _, v := range at {
			if n := v / second; n >= 0 && n < monotime.Micros(len(spent)) {
				spent[n]++
			}
		}
		for n, requested := range demand[i] {
			if float64(requested) >= contendedDemand*limit {
				available += limit
				used += min(spent[n], limit)
			}
		}
	}
	if available > 0 {
		f["budget_use"] = used / available
	}
}

// contendedDemand is the demand of a tenant in a second, relative to its limit, from which all of the limit should be
// used.
const contendedDemand = 1.2

// PeakSecond returns the largest number of instants, which are sorted, within any second, and how many of them exceed a
// limit of a second.
func PeakSecond(at []monotime.Micros, limit float64) (worst, beyond int) {
	from := 0
	for i, v := range at {
		for at[from] <= v-second {
			from++
		}
		n := i - from + 1
		worst = max(worst, n)
		if float64(n) > limit {
			beyond++
		}
	}
	return worst, beyond
}
