package observations

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// Local collects one instance's observations of attempt outcomes at endpoints. The zero value is empty.
type Local struct {
	counts   map[attemptKey]*decayingCount
	rotation int // number of reports so far that could not contain all counts
}

// attemptKey identifies an endpoint and a request class, for which outcomes are counted together.
type attemptKey struct {
	endpoint string
	class    int // number of the request class
}

// outcomeDecayTime is the time constant of the exponential decay of outcome counts. It is long enough that a fleet
// whose instances each send one request a second observes several attempts at each endpoint, and short enough that
// the counts follow an endpoint's recovery.
const outcomeDecayTime = 5 * second

// decayingCount contains the numbers of successes and failures for one attemptKey, with exponential decay.
type decayingCount struct {
	succeeded float64
	failed    float64
	decayedAt monotime.Micros // time as of which both counts are decayed
}

// decay applies the exponential decay up to now to the counts. It does nothing if now is before decayedAt.
func (c *decayingCount) decay(now monotime.Micros) {
	elapsed := now - c.decayedAt
	if elapsed <= 0 {
		return
	}
	factor := math.Exp(-float64(elapsed) / float64(outcomeDecayTime))
	c.succeeded *= factor
	c.failed *= factor
	c.decayedAt = now
}

// RecordOutcome counts the outcome of an attempt at an endpoint. class is the number of the request's class.
func (l *Local) RecordOutcome(now monotime.Micros, endpoint string, class int, succeeded bool) {
	if l.counts == nil {
		l.counts = map[attemptKey]*decayingCount{}
	}
	key := attemptKey{endpoint, class}
	c := l.counts[key]
	if c == nil {
		c = &decayingCount{decayedAt: now}
		l.counts[key] = c
	}
	c.decay(now)
	if succeeded {
		c.succeeded++
	} else {
		c.failed++
	}
}

// negligibleCount is the decayed count below which outcomes are not reported. It is also the count below which a
// member's failures at an endpoint do not make the member an accuser.
const negligibleCount = 0.05

// OutcomesToReport returns at most limit counts for the next report. If there are more, the counts with the most
// failures are preferred, and counts without failures are reported in rotation from call to call.
func (l *Local) OutcomesToReport(now monotime.Micros, limit int) []OutcomeCount {
	var reportable []OutcomeCount
	for key, c := range l.counts {
		c.decay(now)
		if c.succeeded+c.failed < negligibleCount {
			delete(l.counts, key)
			continue
		}
		reportable = append(reportable, OutcomeCount{key.endpoint, key.class, c.succeeded, c.failed})
	}
	slices.SortFunc(reportable, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Class, b.Class))
	})
	if len(reportable) <= limit {
		return reportable
	}
	l.rotation++
	slices.SortStableFunc(reportable, func(a, b OutcomeCount) int { return cmp.Compare(b.Failed, a.Failed) })
	failingCount := 0
	for failingCount < limit && reportable[failingCount].Failed >= negligibleCount {
		failingCount++
	}
	rotate(reportable[failingCount:], limit-failingCount, l.rotation)
	return reportable[:limit]
}

// rotate moves count elements of counts to the front, which are different elements for each rotation.
func rotate(counts []OutcomeCount, count, rotation int) {
	for i := range count {
		to := i % len(counts)
		from := (rotation*count + i) % len(counts)
		counts[to], counts[from] = counts[from], counts[to]
	}
}
