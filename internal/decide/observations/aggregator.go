package observations

import (
	"cmp"
	"slices"

	"dunlinsail/internal/monotime"
)

// Sum is what all have seen. Make one with NewSum.
type Aggregator struct {
	reports map[string]*memberReport  // by member
	totals  map[string]*requestTotals // by set of endpoints, since All was called last
}

// flow is what came and went in vain.
type requestTotals struct{ requests, failed float64 }

type memberReport struct {
	Observations
	receivedAt monotime.Micros
}

// NewSum returns one that has heard nobody.
func NewAggregator() *Aggregator {
	return &Aggregator{reports: map[string]*memberReport{}, totals: map[string]*requestTotals{}}
}

// Hear takes in what a member has seen, in place of what it said before. What makes no sense is passed over.
func (s *Aggregator) Receive(now monotime.Micros, member string, seen Observations) {
	good := func(v, most float64) bool { return v >= 0 && v <= most }
	seen.Outcomes = slices.DeleteFunc(slices.Clone(seen.Outcomes), func(c OutcomeCount) bool { return !good(c.Succeeded, maxCount) || !good(c.Failed, maxCount) })
	seen.Levels = slices.DeleteFunc(slices.Clone(seen.Levels), func(l OverloadLevel) bool {
		return !good(l.Level, 1) || !good(l.Load, 1) || !good(l.Requests, maxCount) || !good(l.Failed, l.Requests)
	})
	for _, l := range seen.Levels {
		f := s.totals[l.EndpointSet]
		if f == nil {
			f = &requestTotals{}
			s.totals[l.EndpointSet] = f
		}
		// No member counts for more than so many times the median: one that is loud, or says so, decides for nobody.
		part := 1.0
		if most := maxMedianWeight * s.medianRequests(l.EndpointSet); most > 0 && l.Requests > most {
			part = most / l.Requests
		}
		f.requests += part * l.Requests
		f.failed += part * l.Failed
	}
	s.reports[member] = &memberReport{seen, now}
}

// countMost bounds what one count may be: no instance ends so many attempts at an endpoint in so short a time.
const maxCount = 1e7

const (
	// A member's word counts for so long: one that has died must not be heard on.
	reportLifetime  = 2 * second
	maxMedianWeight = 4
	// So many outcomes are let pass before anything is held against an endpoint. Beyond that it is left out the more, the
	// more it fails beyond what the others do: nearly always where that is two in five.
	minOutcomes = 5.0
	steepness   = 2.4
	// Of two members that say an endpoint fails one may be the cause: the one that says so most is left out.
	ignoredAccusers     = 2
	maxAvoidProbability = 0.95
)

// All returns what all have seen by now. Sums of fractions depend on their order: members go by name.
func (s *Aggregator) Aggregate(now monotime.Micros) (all Aggregate) {
	var names []string
	for name, h := range s.reports {
		if now-h.receivedAt > reportLifetime {
			delete(s.reports, name)
			continue
		}
		names = append(names, name)
	}
	slices.Sort(names)
	all.Members = len(names)
	all.Levels = s.levels(names)
	all.Suspects = s.suspects(names)
	return all
}

// median is that of what members were asked for, as they told last.
func (s *Aggregator) medianRequests(of string) float64 {
	var each []float64
	for _, h := range s.reports {
		for _, l := range h.Levels {
			if l.EndpointSet == of {
				each = append(each, l.Requests)
			}
		}
	}
	if len(each) < 3 {
		return 0
	}
	slices.Sort(each)
	return each[len(each)/2]
}

// levels returns the mean levels, by name.
func (s *Aggregator) levels(names []string) (all []OverloadLevel) {
	for of, f := range s.totals {
		sum := OverloadLevel{EndpointSet: of, Requests: f.requests, Failed: f.failed}
		var weights float64
		most := maxMedianWeight * s.medianRequests(of)
		for _, name := range names {
			for _, l := range s.reports[name].Levels {
				if l.EndpointSet == of && l.Level > 0 {
					w := l.Requests
					if most > 0 {
						w = min(w, most)
					}
					sum.Level += w * l.Level
					sum.Load += w * l.Load
					weights += w
				}
			}
		}
		if weights > 0 {
			sum.Level /= weights
			sum.Load /= weights
			all = append(all, sum)
			*f = requestTotals{}
		}
	}
	slices.SortFunc(all, func(a, b OverloadLevel) int { return cmp.Compare(a.EndpointSet, b.EndpointSet) })
	return all
}
