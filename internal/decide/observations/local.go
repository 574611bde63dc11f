package observations

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// Local holds one instance's observations of endpoints. The zero value has none.
type Local struct {
	counts   map[attemptKey]*decayingCount
	rotation int // number of reports that were too small for all counts
}

// attemptKey is the key by which outcomes are counted.
type attemptKey struct {
	endpoint string
	class    int
}

// outcomeDecayTime is the time constant of the decay of outcomes. It has to be long enough for a fleet whose instances
// each send a request a second to see several attempts at each endpoint, and short enough to follow a recovery.
const outcomeDecayTime = 5 * second

// decayingCount is the number of outcomes of a key, decayed as of decayedAt.
type decayingCount struct {
	succeeded float64
	failed    float64
	decayedAt monotime.Micros
}

// decay brings the counts to now. An earlier instant changes nothing.
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

// RecordOutcome counts an attempt at an endpoint that has ended. class is the number of the request's class.
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

// negligibleCount is the smallest decayed count of outcomes that is reported, and of failures that counts as an
// accusation.
const negligibleCount = 0.05

// OutcomesToReport returns the counts for the next report, at most limit. Where there are more, those with the most
// failures come first, and those without failures take turns from call to call.
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

// rotate moves n counts to the front, different ones for each rotation.
func rotate(counts []OutcomeCount, count, rotation int) {
	for i := range count {
		to := i % len(counts)
		from := (rotation*count + i) % len(counts)
		counts[to], counts[from] = counts[from], counts[to]
	}
}
