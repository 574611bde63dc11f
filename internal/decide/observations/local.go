package observations

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

// span is the time over which outcomes count: at a tenth of a fleet of three hundred that each ask for one thing a second, an
// endpoint of twelve is met ten times within it.
const outcomeDecayTime = 5 * second

// Own is what an instance has seen. The zero value has seen nothing.
type Local struct {
	counts   map[attemptKey]*decayingCount
	rotation int
}

type attemptKey struct {
	endpoint string
	class    int
}

type decayingCount struct {
	succeeded, failed float64
	decayedAt         monotime.Micros
}

func (t *decayingCount) decay(now monotime.Micros) {
	if since := now - t.decayedAt; since > 0 {
		f := math.Exp(-float64(since) / float64(outcomeDecayTime))
		t.succeeded, t.failed, t.decayedAt = t.succeeded*f, t.failed*f, now
	}
}

// Ended tells how an attempt at an endpoint ended.
func (o *Local) RecordOutcome(now monotime.Micros, endpoint string, class int, ok bool) {
	if o.counts == nil {
		o.counts = map[attemptKey]*decayingCount{}
	}
	at := attemptKey{endpoint, class}
	t := o.counts[at]
	if t == nil {
		t = &decayingCount{decayedAt: now}
		o.counts[at] = t
	}
	t.decay(now)
	if ok {
		t.succeeded++
	} else {
		t.failed++
	}
}

// faint is what counts as nothing any more.
const negligibleCount = 0.05

// Counts returns so many counts at most: first of what failed, then of others in turn.
func (o *Local) Outcomes(now monotime.Micros, most int) (all []OutcomeCount) {
	for at, t := range o.counts {
		if t.decay(now); t.succeeded+t.failed < negligibleCount {
			delete(o.counts, at)
			continue
		}
		all = append(all, OutcomeCount{at.endpoint, at.class, t.succeeded, t.failed})
	}
	slices.SortFunc(all, func(a, b OutcomeCount) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Class, b.Class))
	})
	if len(all) > most {
		o.rotation++
		slices.SortStableFunc(all, func(a, b OutcomeCount) int { return cmp.Compare(b.Failed, a.Failed) })
		failed := 0
		for failed < most && all[failed].Failed >= negligibleCount {
			failed++
		}
		rest := all[failed:]
		for i := range most - failed {
			j := (o.rotation*(most-failed) + i) % len(rest)
			rest[i%len(rest)], rest[j] = rest[j], rest[i%len(rest)]
		}
		all = all[:most]
	}
	return all
}
