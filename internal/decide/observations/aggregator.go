package observations

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

// Aggregator computes the Aggregate from the reports of all members. A member is an instance that reports. Create one
// with NewAggregator.
type Aggregator struct {
	reports map[string]*memberReport  // latest report of each member, keyed by the member's name
	totals  map[string]*requestTotals // requests since the previous aggregate, keyed by endpoint set
}

// memberReport is a member's latest report.
type memberReport struct {
	Observations
	receivedAt monotime.Micros
}

// requestTotals contains sums over the reports of all members, weighted so that no member dominates them.
type requestTotals struct {
	requests float64 // weighted sum of OverloadLevel.Requests
	failed   float64 // weighted sum of OverloadLevel.Failed
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{reports: map[string]*memberReport{}, totals: map[string]*requestTotals{}}
}

// Receive replaces a member's previous report, and adds the requests of the new report to the totals. The requests are
// weighted so that no member counts for more than maxMedianMultiple times the median member. Counts and levels that are
// out of range are dropped.
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

// maxCount is the largest valid count of attempts or requests in a report. No instance reaches it within the time that
// a report covers.
const maxCount = 1e7

// inRange reports whether v is in 0..limit. It returns false for NaN.
func inRange(v, limit float64) bool { return v >= 0 && v <= limit }

// valid reports whether both counts are in range.
func (c *OutcomeCount) valid() bool {
	return inRange(c.Succeeded, maxCount) && inRange(c.Failed, maxCount)
}

// valid reports whether the level, the load and both counts are in range.
func (l *OverloadLevel) valid() bool {
	return inRange(l.Level, 1) && inRange(l.Load, 1) && inRange(l.Requests, maxCount) && inRange(l.Failed, l.Requests)
}

// reportLifetime is the time for which a member's report is included in aggregates. It bounds how long the report of an
// instance that no longer runs has an effect.
const reportLifetime = 2 * second

// TakeAggregate returns the aggregate of all reports that are no older than reportLifetime, and resets the request
// totals that it contains.
func (a *Aggregator) TakeAggregate(now monotime.Micros) Aggregate {
	var names []string
	for name, r := range a.reports {
		if now-r.receivedAt > reportLifetime {
			delete(a.reports, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names) // the order of the names determines the order of floating-point sums
	return Aggregate{Reporters: len(names), Levels: a.aggregatedLevels(names), Suspects: a.suspects(names)}
}

const (
	// maxMedianMultiple bounds a member's weight, as a multiple of the median of all members' requests. A member that
	// reports far more requests than the others, correctly or not, must not determine the aggregate alone.
	maxMedianMultiple = 4
	// minMembersForMedian is the smallest number of members for which the median bounds a member's weight.
	minMembersForMedian = 3
)

// medianRequests returns the median of the members' requests for an endpoint set, from their latest reports. It returns
// 0, which means no bound, if fewer than minMembersForMedian members have reported on the endpoint set.
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

// aggregatedLevels returns the aggregated level of each endpoint set, sorted by endpoint set. It resets the totals of
// the endpoint sets that it returns.
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

// meanLevel returns the means of the members' levels and loads for an endpoint set, weighted by their requests. known
// is false if no member with requests has reported a level.
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
