package observations

import (
	"cmp"
	"slices"
)

const (
	// minOutcomes is how many outcomes an endpoint must have before any is held against it, and steepness how the
	// probability of avoiding it grows with what it fails beyond the others: beyond two in five it is nearly certain.
	minOutcomes = 5.0
	steepness   = 2.4
	// ignoredAccusers is how many members that report failures of an endpoint are not enough: of so few one may be the
	// cause itself. The one that reports most failures is left out in any case.
	ignoredAccusers = 2
	// maxAvoidProbability leaves a suspect some requests, by which its recovery shows.
	maxAvoidProbability = 0.95
	// maxSuspects is how many suspects there are at most: where more endpoints fail, none is to be avoided for another.
	maxSuspects = 32
)

// outcomeTotal is what all members report of a key.
type outcomeTotal struct {
	succeeded    float64
	failed       float64
	accusers     int     // members that report failures
	topFailed    float64 // failures by the member that reports most of them,
	topSucceeded float64 // and its successes
}

// attempts are outcomes without those of the member that reports most failures.
type attempts struct {
	count  float64
	failed float64
}

// suspects returns the endpoints that fail much more of a class of requests than the others do, by what several members
// report.
func (a *Aggregator) suspects(members []string) (all []Suspect) {
	totals, keys := a.outcomeTotals(members)
	byClass := map[int]attempts{}
	byKey := map[attemptKey]attempts{}
	for _, key := range keys {
		own := totals[key].withoutTopAccuser()
		byKey[key] = own
		class := byClass[key.class]
		byClass[key.class] = attempts{class.count + own.count, class.failed + own.failed}
	}
	for _, key := range keys {
		own := byKey[key]
		class := byClass[key.class]
		if totals[key].accusers <= ignoredAccusers || own.count <= minOutcomes {
			continue
		}
		// One more failure: where nothing is known of others, all may fail.
		othersFailure := (class.failed - own.failed + 1) / (class.count - own.count + 1)
		p := steepness * (own.failed/own.count - othersFailure) * (own.count - minOutcomes) / own.count
		if p > 0 {
			all = append(all, Suspect{key.endpoint, key.class, min(p, maxAvoidProbability)})
		}
	}
	slices.SortFunc(all, func(x, y Suspect) int {
		return cmp.Or(
			cmp.Compare(y.AvoidProbability, x.AvoidProbability),
			cmp.Compare(x.Endpoint, y.Endpoint),
			cmp.Compare(x.Class, y.Class),
		)
	})
	return all[:min(len(all), maxSuspects)]
}

// outcomeTotals returns the totals by key, and the keys in the order in which members report them: sums of
// floating-point numbers depend on it.
func (a *Aggregator) outcomeTotals(members []string) (totals map[attemptKey]*outcomeTotal, keys []attemptKey) {
	totals = map[attemptKey]*outcomeTotal{}
	for _, name := range members {
		for _, c := range a.reports[name].Outcomes {
			key := attemptKey{c.Endpoint, c.Class}
			t := totals[key]
			if t == nil {
				t = &outcomeTotal{}
				totals[key] = t
				keys = append(keys, key)
			}
			t.add(c)
		}
	}
	return totals, keys
}

func (t *outcomeTotal) add(c OutcomeCount) {
	t.succeeded += c.Succeeded
	t.failed += c.Failed
	if c.Failed >= negligibleCount {
		t.accusers++
	}
	if c.Failed > t.topFailed {
		t.topFailed = c.Failed
		t.topSucceeded = c.Succeeded
	}
}

// withoutTopAccuser returns the outcomes without those of the member that reports most failures.
func (t *outcomeTotal) withoutTopAccuser() attempts {
	return attempts{
		count:  t.succeeded + t.failed - t.topFailed - t.topSucceeded,
		failed: t.failed - t.topFailed,
	}
}
