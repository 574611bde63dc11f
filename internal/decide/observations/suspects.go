package observations

import (
	"cmp"
	"slices"
)

// outcomeTotal is the sum of all members' outcomes of a key.
type outcomeTotal struct {
	succeeded           float64
	failed              float64
	accusers            int     // members that report failures
	topAccuserFailed    float64 // failures reported by the member that reports most
	topAccuserSucceeded float64 // successes reported by the member that reports most failures
}

// attempts are outcomes without those of the member that reports most failures.
type attemptCounts struct {
	total  float64
	failed float64
}

const (
	// minOtherOutcomes is the number of outcomes, without those of the top accuser, up to which an endpoint is no suspect.
	// Beyond it the probability grows with the part of the outcomes that is beyond it.
	minOtherOutcomes = 5.0
	// steepness is the probability of avoiding an endpoint per difference of failure ratios, between the endpoint and
	// the others of the class: with many outcomes, a difference of 0.4 reaches maxAvoidProbability.
	avoidanceSlope = 2.4
	// maxIgnoredAccusers is the largest number of members that report failures of an endpoint without making it a suspect:
	// among so few members one may be the cause itself.
	maxIgnoredAccusers = 2
	// maxAvoidProbability leaves a suspect some requests, by which its recovery is detected.
	maxAvoidProbability = 0.95
	// maxSuspects is the largest number of suspects in an aggregate. Where more endpoints fail, to avoid one would only
	// move its requests to another.
	maxSuspects = 32
)

// suspects returns the endpoints that fail a much larger part of a class of requests than the other endpoints do, by
// the outcomes that several members report, the most suspected first. The probability of avoiding an endpoint is the
// difference of the two failure ratios times steepness, less where there are few outcomes. The outcomes of the member
// that reports most failures of an endpoint do not count, so that no single member can make an endpoint a suspect.
func (a *Aggregator) suspects(members []string) (found []Suspect) {
	totals, keys := a.outcomeTotals(members)
	byClass := map[int]attemptCounts{}
	byKey := map[attemptKey]attemptCounts{}
	for _, key := range keys {
		counts := totals[key].withoutTopAccuser()
		byKey[key] = counts
		classCounts := byClass[key.class]
		byClass[key.class] = attemptCounts{classCounts.total + counts.total, classCounts.failed + counts.failed}
	}
	for _, key := range keys {
		counts := byKey[key]
		classCounts := byClass[key.class]
		if totals[key].accusers <= maxIgnoredAccusers || counts.total <= minOtherOutcomes {
			continue
		}
		// One failure is added for the others: without outcomes of others, all are taken to fail.
		othersFailure := (classCounts.failed - counts.failed + 1) / (classCounts.total - counts.total + 1)
		probability := avoidanceSlope * (counts.failed/counts.total - othersFailure) *
			(counts.total - minOtherOutcomes) / counts.total
		if probability > 0 {
			found = append(found, Suspect{key.endpoint, key.class, min(probability, maxAvoidProbability)})
		}
	}
	slices.SortFunc(found, func(x, y Suspect) int {
		return cmp.Or(
			cmp.Compare(y.AvoidProbability, x.AvoidProbability),
			cmp.Compare(x.Endpoint, y.Endpoint),
			cmp.Compare(x.Class, y.Class),
		)
	})
	return found[:min(len(found), maxSuspects)]
}

// outcomeTotals returns the totals by key, and the keys in the order of the members' reports, on which the sums of
// floating-point numbers depend.
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

// add adds one member's outcomes.
func (t *outcomeTotal) add(c OutcomeCount) {
	t.succeeded += c.Succeeded
	t.failed += c.Failed
	if c.Failed >= negligibleCount {
		t.accusers++
	}
	if c.Failed > t.topAccuserFailed {
		t.topAccuserFailed = c.Failed
		t.topAccuserSucceeded = c.Succeeded
	}
}

// withoutTopAccuser returns the outcomes without those of the member that reports most failures.
func (t *outcomeTotal) withoutTopAccuser() attemptCounts {
	return attemptCounts{
		total:  t.succeeded + t.failed - t.topAccuserFailed - t.topAccuserSucceeded,
		failed: t.failed - t.topAccuserFailed,
	}
}
