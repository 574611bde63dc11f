package observations

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// outcomeDecayTime is the time constant by which outcomes are forgotten. In a fleet of three hundred instances that
// each send a request a second, one endpoint of twelve is met ten times within it by a tenth of the instances.
const outcomeDecayTime = 5 * second

// negligibleCount is the smallest count of outcomes that is worth reporting.
const negligibleCount = 0.05

// Local is what one instance has observed of endpoints. The zero value has observed nothing.
type Local struct {
	counts   map[attemptKey]*decayingCount
	rotation int // how many reports had no room for all counts
}

// attemptKey is what outcomes are counted by.
type attemptKey struct {
	endpoint string
	class    int
}

// decayingCount is the outcomes of a key as of decayedAt.
type decayingCount struct {
	succeeded float64
	failed    float64
	decayedAt monotime.Micros
}

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

// RecordOutcome counts an attempt at an endpoint that has ended.
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

// OutcomesToReport returns at most limit counts, for the next report. Where there are more, those with failures come
// first and the others in rotation from call to call.
func (l *Local) OutcomesToReport(now monotime.Micros, limit int) []OutcomeCount {
	var all []OutcomeCount
	for key, c := range l.counts {
		c.decay(now)
		if c.succeeded+c.failed < negligibleCount {
			delete(l.counts, key)
			continue
		}
		all = append(all, OutcomeCount{key.endpoint, key.class, c.succeeded, c.failed})
	}
	slices.SortFunc(all, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Class, b.Class))
	})
	if len(all) <= limit {
		return all
	}
	l.rotation++
	slices.SortStableFunc(all, func(a, b OutcomeCount) int { return cmp.Compare(b.Failed, a.Failed) })
	failing := 0
	for failing < limit && all[failing].Failed >= negligibleCount {
		failing++
	}
	rotate(all[failing:], limit-failing, l.rotation)
	return all[:limit]
}

// rotate brings n counts to the front, others with each rotation.
func rotate(counts []OutcomeCount, n, rotation int) {
	for i := range n {
		to := i % len(counts)
		from := (rotation*n + i) % len(counts)
		counts[to], counts[from] = counts[from], counts[to]
	}
}
