// Package observations adds up what the instances of a fleet have seen. Each by itself sees little of a fleet that is large: an
// endpoint that fails is met once in a while by each of hundreds, and how much work has to be turned away shows in a few
// requests. Together they have seen enough within a second. Own holds what one instance has seen, Sum what all have; what Sum
// says is evidence only: whoever hears it decides by itself, and goes on by its own where nothing is heard. It is deterministic,
// for one caller at a time: no I/O, no clock. It may not know balancers, sockets or who is alive.
package observations

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// span is the time over which outcomes count: at a tenth of a fleet of three hundred that each ask for one thing a second, an
// endpoint of twelve is met ten times within it.
const outcomeDecayTime = 5 * second

// Count is how often attempts of a class of requests at an endpoint ended well and not, lately.
type OutcomeCount struct {
	Endpoint  string  `cbor:"Endpoint"`
	Class     int     `cbor:"Class"`
	Succeeded float64 `cbor:"OK"`
	Failed    float64 `cbor:"Failed"`
}

// Level is what an instance has met in turning work away from one set of endpoints (package overload) since it told last.
type OverloadLevel struct {
	EndpointSet string  `cbor:"Of"`    // the set's name
	Level       float64 `cbor:"Level"` // at which it is
	Load        float64 `cbor:"Load"`  // the part of its aim that a request spends at endpoints
	Requests    float64 `cbor:"Asked"` // requests that came, and of these such as went on
	Failed      float64 `cbor:"Vain"`  // in vain
}

// Seen is what one instance has seen.
type Observations struct {
	Levels   []OverloadLevel `cbor:"Levels"`
	Outcomes []OutcomeCount  `cbor:"Counts"`
}

// Suspect is an endpoint that fails much of a class of requests.
type Suspect struct {
	Endpoint         string  `cbor:"Endpoint"`
	Class            int     `cbor:"Class"`
	AvoidProbability float64 `cbor:"Chance"` // with which it is better left out
}

// All is what all instances have seen.
type Aggregate struct {
	Levels   []OverloadLevel `cbor:"Levels"`  // means of levels and loads by what is asked for; sums of the others since All was called last
	Members  int             `cbor:"Members"` // that it is of
	Suspects []Suspect       `cbor:"Suspects"`
}

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
