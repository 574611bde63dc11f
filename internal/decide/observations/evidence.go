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
const span = 5 * second

// Count is how often attempts of a class of requests at an endpoint ended well and not, lately.
type Count struct {
	Endpoint string  `cbor:"Endpoint"`
	Class    int     `cbor:"Class"`
	OK       float64 `cbor:"OK"`
	Failed   float64 `cbor:"Failed"`
}

// Level is what an instance has met in turning work away from one set of endpoints (package overload) since it told last.
type Level struct {
	Of    string  `cbor:"Of"`    // the set's name
	Level float64 `cbor:"Level"` // at which it is
	Load  float64 `cbor:"Load"`  // the part of its aim that a request spends at endpoints
	Asked float64 `cbor:"Asked"` // requests that came, and of these such as went on
	Vain  float64 `cbor:"Vain"`  // in vain
}

// Seen is what one instance has seen.
type Seen struct {
	Levels []Level `cbor:"Levels"`
	Counts []Count `cbor:"Counts"`
}

// Suspect is an endpoint that fails much of a class of requests.
type Suspect struct {
	Endpoint string  `cbor:"Endpoint"`
	Class    int     `cbor:"Class"`
	Chance   float64 `cbor:"Chance"` // with which it is better left out
}

// All is what all instances have seen.
type All struct {
	Levels   []Level   `cbor:"Levels"`  // means of levels and loads by what is asked for; sums of the others since All was called last
	Members  int       `cbor:"Members"` // that it is of
	Suspects []Suspect `cbor:"Suspects"`
}

// Own is what an instance has seen. The zero value has seen nothing.
type Own struct {
	counts map[place]*tally
	turn   int
}

type place struct {
	endpoint string
	class    int
}

type tally struct {
	ok, failed float64
	at         monotime.Micros
}

func (t *tally) decay(now monotime.Micros) {
	if since := now - t.at; since > 0 {
		f := math.Exp(-float64(since) / float64(span))
		t.ok, t.failed, t.at = t.ok*f, t.failed*f, now
	}
}

// Ended tells how an attempt at an endpoint ended.
func (o *Own) Ended(now monotime.Micros, endpoint string, class int, ok bool) {
	if o.counts == nil {
		o.counts = map[place]*tally{}
	}
	at := place{endpoint, class}
	t := o.counts[at]
	if t == nil {
		t = &tally{at: now}
		o.counts[at] = t
	}
	t.decay(now)
	if ok {
		t.ok++
	} else {
		t.failed++
	}
}

// faint is what counts as nothing any more.
const faint = 0.05

// Counts returns so many counts at most: first of what failed, then of others in turn.
func (o *Own) Counts(now monotime.Micros, most int) (all []Count) {
	for at, t := range o.counts {
		if t.decay(now); t.ok+t.failed < faint {
			delete(o.counts, at)
			continue
		}
		all = append(all, Count{at.endpoint, at.class, t.ok, t.failed})
	}
	slices.SortFunc(all, func(a, b Count) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Class, b.Class))
	})
	if len(all) > most {
		o.turn++
		slices.SortStableFunc(all, func(a, b Count) int { return cmp.Compare(b.Failed, a.Failed) })
		failed := 0
		for failed < most && all[failed].Failed >= faint {
			failed++
		}
		rest := all[failed:]
		for i := range most - failed {
			j := (o.turn*(most-failed) + i) % len(rest)
			rest[i%len(rest)], rest[j] = rest[j], rest[i%len(rest)]
		}
		all = all[:most]
	}
	return all
}

// Sum is what all have seen. Make one with NewSum.
type Sum struct {
	of   map[string]*heard // by member
	sums map[string]*flow  // by set of endpoints, since All was called last
}

// flow is what came and went in vain.
type flow struct{ asked, vain float64 }

type heard struct {
	Seen
	at monotime.Micros
}

// NewSum returns one that has heard nobody.
func NewSum() *Sum { return &Sum{of: map[string]*heard{}, sums: map[string]*flow{}} }

// Hear takes in what a member has seen, in place of what it said before. What makes no sense is passed over.
func (s *Sum) Hear(now monotime.Micros, member string, seen Seen) {
	good := func(v, most float64) bool { return v >= 0 && v <= most }
	seen.Counts = slices.DeleteFunc(slices.Clone(seen.Counts), func(c Count) bool { return !good(c.OK, countMost) || !good(c.Failed, countMost) })
	seen.Levels = slices.DeleteFunc(slices.Clone(seen.Levels), func(l Level) bool {
		return !good(l.Level, 1) || !good(l.Load, 1) || !good(l.Asked, countMost) || !good(l.Vain, l.Asked)
	})
	for _, l := range seen.Levels {
		f := s.sums[l.Of]
		if f == nil {
			f = &flow{}
			s.sums[l.Of] = f
		}
		// No member counts for more than so many times the median: one that is loud, or says so, decides for nobody.
		part := 1.0
		if most := weightMost * s.median(l.Of); most > 0 && l.Asked > most {
			part = most / l.Asked
		}
		f.asked += part * l.Asked
		f.vain += part * l.Vain
	}
	s.of[member] = &heard{seen, now}
}

// countMost bounds what one count may be: no instance ends so many attempts at an endpoint in so short a time.
const countMost = 1e7

const (
	// A member's word counts for so long: one that has died must not be heard on.
	wordSpan   = 2 * second
	weightMost = 4
	// So many outcomes are let pass before anything is held against an endpoint. Beyond that it is left out the more, the
	// more it fails beyond what the others do: nearly always where that is two in five.
	protection = 5.0
	steepness  = 2.4
	// Of two members that say an endpoint fails one may be the cause: the one that says so most is left out.
	accusersLeast = 2
	chanceMost    = 0.95
)

// All returns what all have seen by now. Sums of fractions depend on their order: members go by name.
func (s *Sum) All(now monotime.Micros) (all All) {
	var names []string
	for name, h := range s.of {
		if now-h.at > wordSpan {
			delete(s.of, name)
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
func (s *Sum) median(of string) float64 {
	var each []float64
	for _, h := range s.of {
		for _, l := range h.Levels {
			if l.Of == of {
				each = append(each, l.Asked)
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
func (s *Sum) levels(names []string) (all []Level) {
	for of, f := range s.sums {
		sum := Level{Of: of, Asked: f.asked, Vain: f.vain}
		var weights float64
		most := weightMost * s.median(of)
		for _, name := range names {
			for _, l := range s.of[name].Levels {
				if l.Of == of && l.Level > 0 {
					w := l.Asked
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
			*f = flow{}
		}
	}
	slices.SortFunc(all, func(a, b Level) int { return cmp.Compare(a.Of, b.Of) })
	return all
}

// suspects returns the endpoints that fail much by what several have seen.
func (s *Sum) suspects(names []string) (all []Suspect) {
	type total struct {
		ok, failed, loudest, loudestOK float64
		accusers                       int
	}
	totals := map[place]*total{}
	var order []place // sums of fractions depend on it
	for _, name := range names {
		for _, c := range s.of[name].Counts {
			at := place{c.Endpoint, c.Class}
			t := totals[at]
			if t == nil {
				t = &total{}
				totals[at] = t
				order = append(order, at)
			}
			t.ok += c.OK
			t.failed += c.Failed
			if c.Failed >= faint {
				t.accusers++
			}
			if c.Failed > t.loudest {
				t.loudest, t.loudestOK = c.Failed, c.OK
			}
		}
	}
	type part struct{ n, failed float64 }
	every := map[int]part{} // by class, at all endpoints
	parts := map[place]part{}
	for _, at := range order {
		t := totals[at]
		p := part{t.ok + t.failed - t.loudest - t.loudestOK, t.failed - t.loudest}
		parts[at] = p
		e := every[at.class]
		every[at.class] = part{e.n + p.n, e.failed + p.failed}
	}
	for _, at := range order {
		p, e := parts[at], every[at.class]
		if totals[at].accusers <= accusersLeast || p.n <= protection {
			continue
		}
		others := (e.failed - p.failed + 1) / (e.n - p.n + 1) // nothing is known of others: all may fail
		if chance := steepness * (p.failed/p.n - others) * (p.n - protection) / p.n; chance > 0 {
			all = append(all, Suspect{at.endpoint, at.class, min(chance, chanceMost)})
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Chance, a.Chance), cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Class, b.Class))
	})
	return all[:min(len(all), suspectsMost)]
}

// suspectsMost is how many are told of: where more fail, none is to be left out for the others.
const suspectsMost = 32
