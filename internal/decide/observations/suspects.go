package observations

import (
	"cmp"
	"slices"
)

// outcomeTotal is the sum of all members' outcomes at an endpoint for a request class.
type outcomeTotal struct {
	succeeded           float64
	failed              float64
	accusers            int     // number of members that report failures
	topAccuserFailed    float64 // failures reported by the member that reports the most failures
	topAccuserSucceeded float64 // successes reported by the member that reports the most failures
}

// attemptCounts contains the numbers of all attempts and of failed attempts, without the attempts of the member that
// reports the most failures (the top accuser).
type attemptCounts struct {
	total  float64
	failed float64
}

const (
	// minOtherOutcomes is the number of outcomes that members other than the top accuser must exceed for an endpoint to
	// be a suspect. The probability of avoiding the endpoint is proportional to the fraction of these outcomes that is
	// beyond this number.
	minOtherOutcomes = 5.0
	// avoidanceSlope is the ratio of the probability of avoiding an endpoint to the difference between its failure
	// ratio and that of the other endpoints. With many outcomes, a difference of 0.4 reaches maxAvoidProbability.
	avoidanceSlope = 2.4
	// maxIgnoredAccusers is the largest number of members whose reported failures do not make an endpoint a suspect.
	// Failures that so few members report may be caused by one of these members.
	maxIgnoredAccusers = 2
	// maxAvoidProbability is the largest probability of avoiding a suspect. It is less than 1 so that a suspect still
	// gets some requests, from which its recovery is detected.
	maxAvoidProbability = 0.95
	// maxSuspects is the largest number of suspects in an aggregate. If more endpoints fail, avoiding one of them would
	// only move its requests to another.
	maxSuspects = 32
)

// suspects returns the endpoints that fail a much larger fraction of the requests of a class than the other endpoints
// do, sorted by descending probability of avoiding them. The probability is the difference of the two failure ratios
// times avoidanceSlope, and lower if there are few outcomes. The outcomes of the member that reports the most failures
// of an endpoint are excluded, so that a single member cannot make an endpoint a suspect.
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
		// One failed attempt is added for the other endpoints, so that without outcomes their failure ratio is 1.
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

// outcomeTotals returns the sums of all members' outcomes by key. It also returns the keys in the order of the members'
// reports, because results of floating-point sums depend on the order.
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

// add adds the outcomes that one member reports for the endpoint and request class of the total.
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

// withoutTopAccuser returns the attempt counts of all members except the member that reports the most failures.
func (t *outcomeTotal) withoutTopAccuser() attemptCounts {
	return attemptCounts{
		total:  t.succeeded + t.failed - t.topAccuserFailed - t.topAccuserSucceeded,
		failed: t.failed - t.topAccuserFailed,
	}
}
