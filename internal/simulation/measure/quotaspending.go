package measure

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// quotaSpending is what instances spent of the fleet's budgets, by budget: the instants of units.
type quotaSpending map[string][]monotime.Micros

// QuotaSpent records that an instance spent a unit of a budget.
func (m *Meter) QuotaSpent(now monotime.Micros, budget string) {
	if m.quotaSpending == nil {
		m.quotaSpending = quotaSpending{}
	}
	m.quotaSpending[budget] = append(m.quotaSpending[budget], now)
}

// figures adds what the worst second of any tenant's limit comes to, and what part of the limits was used in the
// seconds in which more was asked for. Of budgets that grow with what is accepted the endpoints' figures tell.
func (s quotaSpending) figures(f map[string]float64, j *Criteria, demand map[int][]int) {
	f["over_budget"] = 0
	f["beyond_limit"] = 0
	f["budget_use"] = 1
	var could, used float64
	for i, t := range j.Tenants {
		at := s["tenant/"+t.Name]
		limit := j.TenantLimits[t.Name]
		if limit <= 0 || len(at) == 0 {
			continue
		}
		slices.Sort(at) // processes tell of theirs one after another
		worst, beyond := PeakSecond(at, limit)
		f["over_budget"] = max(f["over_budget"], float64(worst)/limit)
		f["beyond_limit"] += float64(beyond)
		each := make([]float64, len(demand[i]))
		for _, v := range at {
			if n := v / second; n >= 0 && n < monotime.Micros(len(each)) {
				each[n]++
			}
		}
		for n, want := range demand[i] {
			if float64(want) >= contendedDemand*limit {
				could += limit
				used += min(each[n], limit)
			}
		}
	}
	if could > 0 {
		f["budget_use"] = used / could
	}
}

// contendedDemand is how many times its limit a tenant must ask for in a second for all of it to be wanted.
const contendedDemand = 1.2

// PeakSecond returns how many of instants in order lie within any second, and how many of them came beyond a limit of a
// second.
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
