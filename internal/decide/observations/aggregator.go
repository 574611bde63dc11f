package observations

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

// Aggregator adds up the members' reports. A member is an instance that reports. Create one with NewAggregator.
type Aggregator struct {
	reports map[string]*memberReport  // the latest of each member, by its name
	totals  map[string]*requestTotals // by set of endpoints, since the previous aggregate
}

// memberReport is a member's latest report.
type memberReport struct {
	Observations
	receivedAt monotime.Micros
}

// requestTotals are the weighted sums of OverloadLevel.Requests and Failed.
type requestTotals struct {
	requests float64
	failed   float64
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{reports: map[string]*memberReport{}, totals: map[string]*requestTotals{}}
}

// Receive stores a member's report in place of its previous one, and adds its requests to the totals, weighted so that
// no member counts for more than maxMedianMultiple times the median. Counts and levels that are out of range are dropped.
func (a *Aggregator) Receive(now monotime.Micros, member string, report Observations) {
	report.Outcomes = slices.DeleteFunc(slices.Clone(report.Outcomes), func(c OutcomeCount) bool { return !c.valid() })
	report.Levels = slices.DeleteFunc(slices.Clone(report.Levels), func(l OverloadLevel) bool { return !l.valid() })
	for _, l := range report.Levels {
		t := a.totals[l.EndpointSet]
		if t == nil {
			t = &requestTotals{}
			a.totals[l.EndpointSet] = t
		}
		weight := 1.0
		if limit := maxMedianMultiple * a.medianRequests(l.EndpointSet); limit > 0 && l.Requests > limit {
			weight = limit / l.Requests
		}
		t.requests += weight * l.Requests
		t.failed += weight * l.Failed
	}
	a.reports[member] = &memberReport{report, now}
}

// maxCount is the largest valid count of attempts or requests in a report: no instance makes that many within the time
// that a report covers.
const maxCount = 1e7

// inRange reports whether v is in 0..limit; NaN is not.
func inRange(v, limit float64) bool { return v >= 0 && v <= limit }

// valid reports whether the counts are in range.
func (c *OutcomeCount) valid() bool {
	return inRange(c.Succeeded, maxCount) && inRange(c.Failed, maxCount)
}

// valid reports whether level, load and counts are in range.
func (l *OverloadLevel) valid() bool {
	return inRange(l.Level, 1) && inRange(l.Load, 1) && inRange(l.Requests, maxCount) && inRange(l.Failed, l.Requests)
}

// reportLifetime is the time for which a member's report counts: an instance that has ended must not count for longer.
const reportLifetime = 2 * second

// TakeAggregate returns the aggregate of the reports that are younger than reportLifetime, and starts new totals of
// requests.
func (a *Aggregator) TakeAggregate(now monotime.Micros) Aggregate {
	var names []string
	for name, r := range a.reports {
		if now-r.receivedAt > reportLifetime {
			delete(a.reports, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names) // sums of floating-point numbers depend on their order
	return Aggregate{Reporters: len(names), Levels: a.aggregatedLevels(names), Suspects: a.suspects(names)}
}

const (
	// maxMedianMultiple bounds a member's weight, in multiples of the median of the members' requests: a member that
	// reports far more requests than the others, rightly or not, must not decide for all.
	maxMedianMultiple = 4
	// minMembersForMedian is the smallest number of members whose median is used as a bound.
	minMembersForMedian = 3
)

// medianRequests returns the median of the requests in the members' latest reports for a set of endpoints; 0, which is
// no bound, for fewer than minMembersForMedian members.
func (a *Aggregator) medianRequests(endpointSet string) float64 {
	var requests []float64
	for _, r := range a.reports {
		for _, l := range r.Levels {
			if l.EndpointSet == endpointSet {
				requests = append(requests, l.Requests)
			}
		}
	}
	if len(requests) < minMembersForMedian {
		return 0
	}
	slices.Sort(requests)
	return requests[len(requests)/2]
}

// levels returns the aggregated levels by set of endpoints, and resets the totals of those returned.
func (a *Aggregator) aggregatedLevels(members []string) (aggregated []OverloadLevel) {
	for endpointSet, t := range a.totals {
		mean, known := a.meanLevel(endpointSet, members)
		if !known {
			continue
		}
		mean.Requests = t.requests
		mean.Failed = t.failed
		aggregated = append(aggregated, mean)
		*t = requestTotals{}
	}
	slices.SortFunc(aggregated, func(x, y OverloadLevel) int { return cmp.Compare(x.EndpointSet, y.EndpointSet) })
	return aggregated
}

// meanLevel returns the mean of the members' levels and loads, weighted by their requests; known is false if no member
// has a level.
func (a *Aggregator) meanLevel(endpointSet string, members []string) (mean OverloadLevel, known bool) {
	mean.EndpointSet = endpointSet
	var weights float64
	limit := maxMedianMultiple * a.medianRequests(endpointSet)
	for _, name := range members {
		for _, l := range a.reports[name].Levels {
			if l.EndpointSet != endpointSet || l.Level <= 0 {
				continue
			}
			weight := l.Requests
			if limit > 0 {
				weight = min(weight, limit)
			}
			mean.Level += weight * l.Level
			mean.Load += weight * l.Load
			weights += weight
		}
	}
	if weights <= 0 {
		return mean, false
	}
	mean.Level /= weights
	mean.Load /= weights
	return mean, true
}
