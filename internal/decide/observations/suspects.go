package observations

import (
	"cmp"
	"slices"
)

// suspects returns the endpoints that fail much by what several have seen.
func (s *Aggregator) suspects(names []string) (all []Suspect) {
	type total struct {
		ok, failed, loudest, loudestOK float64
		accusers                       int
	}
	totals := map[attemptKey]*total{}
	var order []attemptKey // sums of fractions depend on it
	for _, name := range names {
		for _, c := range s.reports[name].Outcomes {
			at := attemptKey{c.Endpoint, c.Class}
			t := totals[at]
			if t == nil {
				t = &total{}
				totals[at] = t
				order = append(order, at)
			}
			t.ok += c.Succeeded
			t.failed += c.Failed
			if c.Failed >= negligibleCount {
				t.accusers++
			}
			if c.Failed > t.loudest {
				t.loudest, t.loudestOK = c.Failed, c.Succeeded
			}
		}
	}
	type part struct{ n, failed float64 }
	every := map[int]part{} // by class, at all endpoints
	parts := map[attemptKey]part{}
	for _, at := range order {
		t := totals[at]
		p := part{t.ok + t.failed - t.loudest - t.loudestOK, t.failed - t.loudest}
		parts[at] = p
		e := every[at.class]
		every[at.class] = part{e.n + p.n, e.failed + p.failed}
	}
	for _, at := range order {
		p, e := parts[at], every[at.class]
		if totals[at].accusers <= ignoredAccusers || p.n <= minOutcomes {
			continue
		}
		others := (e.failed - p.failed + 1) / (e.n - p.n + 1) // nothing is known of others: all may fail
		if chance := steepness * (p.failed/p.n - others) * (p.n - minOutcomes) / p.n; chance > 0 {
			all = append(all, Suspect{at.endpoint, at.class, min(chance, maxAvoidProbability)})
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.AvoidProbability, a.AvoidProbability), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Class, b.Class))
	})
	return all[:min(len(all), maxSuspects)]
}

// suspectsMost is how many are told of: where more fail, none is to be left out for the others.
const maxSuspects = 32
