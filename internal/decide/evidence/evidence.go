// Package evidence adds up what the instances of a fleet have seen. Each by itself sees little of a fleet that is large: an
// endpoint that fails is met once in a while by each of hundreds, and how much work has to be turned away shows in a few
// requests. Together they have seen enough within a second. Own holds what one instance has seen, Sum what all have; what Sum
// says is evidence only: whoever hears it decides by itself, and goes on by its own where nothing is heard. It is deterministic,
// for one caller at a time: no I/O, no clock. It may not know balancers, sockets or who is alive.
package evidence

import (
	"cmp"
	"math"
	"slices"
)

// Micros is an instant or a duration in microseconds, by the own clock.
type Micros = int64

const second Micros = 1_000_000

// span is the time over which outcomes count: at a tenth of a fleet of three hundred that each ask for one thing a second, an
// endpoint of twelve is met ten times within it.
const span = 5 * second

// Count is how often attempts at an endpoint ended well and not, lately.
type Count struct {
	Endpoint   string
	OK, Failed float64
}

// Seen is what one instance has seen.
type Seen struct {
	Level  float64 // at which it turns work away: 1 for none (package overload); 0 is that it does not decide that
	Load   float64 // the part of its aim that a request spends at endpoints
	Weight float64 // work that it is asked for, as any measure that all have alike
	Counts []Count
}

// Suspect is an endpoint that fails much.
type Suspect struct {
	Endpoint string
	Chance   float64 // with which it is better left out
}

// All is what all instances have seen.
type All struct {
	Level, Load float64
	Members     int // that it is of
	Suspects    []Suspect
}

// Own is what an instance has seen. The zero value has seen nothing.
type Own struct {
	counts map[string]*tally
	turn   int
}

type tally struct {
	ok, failed float64
	at         Micros
}

func (t *tally) decay(now Micros) {
	if since := now - t.at; since > 0 {
		f := math.Exp(-float64(since) / float64(span))
		t.ok, t.failed, t.at = t.ok*f, t.failed*f, now
	}
}

// Ended tells how an attempt at an endpoint ended.
func (o *Own) Ended(now Micros, endpoint string, ok bool) {
	if o.counts == nil {
		o.counts = map[string]*tally{}
	}
	t := o.counts[endpoint]
	if t == nil {
		t = &tally{at: now}
		o.counts[endpoint] = t
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

// Counts returns what there is to say of so many endpoints at most: first of those that failed, then of others in turn.
func (o *Own) Counts(now Micros, most int) (all []Count) {
	for name, t := range o.counts {
		if t.decay(now); t.ok+t.failed < faint {
			delete(o.counts, name)
			continue
		}
		all = append(all, Count{name, t.ok, t.failed})
	}
	slices.SortFunc(all, func(a, b Count) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
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
	of map[string]*heard // by member
}

type heard struct {
	Seen
	at Micros
}

// NewSum returns one that has heard nobody.
func NewSum() *Sum { return &Sum{of: map[string]*heard{}} }

// Hear takes in what a member has seen, in place of what it said before. What makes no sense is passed over.
func (s *Sum) Hear(now Micros, member string, seen Seen) {
	good := func(v, most float64) bool { return v >= 0 && v <= most }
	seen.Counts = slices.DeleteFunc(slices.Clone(seen.Counts), func(c Count) bool { return !good(c.OK, countMost) || !good(c.Failed, countMost) })
	if !good(seen.Level, 1) || !good(seen.Load, 1) || !good(seen.Weight, 1e12) {
		seen.Level, seen.Load, seen.Weight = 0, 0, 0
	}
	s.of[member] = &heard{seen, now}
}

// countMost bounds what one count may be: no instance ends so many attempts at an endpoint in so short a time.
const countMost = 1e7

const (
	// A member's word counts for so long: one that has died must not be heard on.
	wordSpan = 2 * second
	// No member counts for more than so many times the median weight: one that is loud, or says so, decides for nobody.
	weightMost = 4
	// The breaker's constants (go-zero): so many are let fail before anything is held against an endpoint, and of those that
	// ended well each makes up for so many.
	protection = 5.0
	lenience   = 1.5
	// Of two members that say an endpoint fails one may be the cause: the one that says so most is left out.
	accusersLeast = 2
	chanceMost    = 0.95
)

// All returns what all have seen by now. Sums of fractions depend on their order: members go by name.
func (s *Sum) All(now Micros) (all All) {
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
	var each []float64
	for _, name := range names {
		if h := s.of[name]; h.Level > 0 {
			each = append(each, h.Weight)
		}
	}
	slices.Sort(each)
	var weights float64
	for _, name := range names {
		if h := s.of[name]; h.Level > 0 {
			w := min(h.Weight, weightMost*each[len(each)/2])
			all.Level += w * h.Level
			all.Load += w * h.Load
			weights += w
		}
	}
	if weights > 0 {
		all.Level /= weights
		all.Load /= weights
	} else {
		all.Level, all.Load = 0, 0
	}
	all.Suspects = s.suspects(names)
	return all
}

// suspects returns the endpoints that fail much by what several have seen.
func (s *Sum) suspects(names []string) (all []Suspect) {
	type total struct {
		ok, failed, loudest, loudestOK float64
		accusers                       int
	}
	totals := map[string]*total{}
	for _, name := range names {
		for _, c := range s.of[name].Counts {
			t := totals[c.Endpoint]
			if t == nil {
				t = &total{}
				totals[c.Endpoint] = t
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
	for endpoint, t := range totals {
		if t.accusers <= accusersLeast {
			continue
		}
		ok := t.ok - t.loudestOK
		n := ok + t.failed - t.loudest
		if chance := (n - protection - lenience*ok) / (n + 1); chance > 0 {
			all = append(all, Suspect{endpoint, min(chance, chanceMost)})
		}
	}
	slices.SortFunc(all, func(a, b Suspect) int {
		return cmp.Or(cmp.Compare(b.Chance, a.Chance), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return all[:min(len(all), suspectsMost)]
}

// suspectsMost is how many are told of: where more fail, none is to be left out for the others.
const suspectsMost = 32
