// Package subset decides which endpoints an instance of a large fleet deals with, and how much of what a node has for the
// whole fleet (idle connections, probes) is this instance's. It knows a list, this instance's place in the
// fleet and what of the list is unwell; it knows nothing of requests, sockets or the other instances, and which member a
// request goes to is the balancer's to decide. It is a deterministic state machine for one caller at a time.
//
// The rule is a deterministic aperture (Finagle's, docs "Aperture Load Balancers") on rings that are shuffled anew for each
// lot of instances (Google's "Reinventing Backend Subsetting", ACM Queue 2022): endpoints lie on a ring by weight, in an
// order that a hash of lot and endpoint makes; the instances of a lot cut the ring into arcs of equal weight, and each deals
// with what its arc touches. Each lot loads every endpoint by its weight exactly; a change of one endpoint moves the ends of
// arcs by a part of that one's weight; and two lots have different neighbours, so that what an arc takes over when its
// members fail is spread over all endpoints. Nobody needs to know how many instances there are to do so.
package subset

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"dunlinsail/internal/monotime"
)

const second monotime.Micros = 1_000_000

// Settings are what a Set needs.
type Settings struct {
	Position  uint64 // of this instance in the fleet, from 0. Where none is told, a hash of its name: less even, as chance is
	Instances int    // in the fleet, about; 0 is not known, and then nothing is divided
	Least     int    // members at least, where there are so many: fewer leave no choice and no second try elsewhere
	Seed      uint64 // of what is left to chance: when to widen and to narrow

	// What one node has for all instances together. 0 is no bound.
	IdleConnections float64 // held at rest
	Probes          float64 // a second
}

// Error says which setting makes no sense.
type Error struct{ Key, Reason string }

// Error tells the key and the reason.
func (e *Error) Error() string { return e.Key + ": " + e.Reason }

// Validate returns an *Error for the first setting that makes no sense.
func (s Settings) Validate() error {
	if s.Least < 1 {
		return &Error{"least", fmt.Sprintf("%d: at least one endpoint is needed", s.Least)}
	}
	if s.Instances < 0 {
		return &Error{"instances", fmt.Sprintf("%d is negative", s.Instances)}
	}
	for _, b := range []struct {
		key string
		v   float64
	}{{"idle_connections", s.IdleConnections}, {"probes", s.Probes}} {
		if !(b.v >= 0) || math.IsInf(b.v, 0) {
			return &Error{b.key, fmt.Sprintf("%v: must be a number from 0 on", b.v)}
		}
		if b.v > 0 && s.Instances == 0 {
			return &Error{b.key, "is divided over the fleet's instances, and their number is not set"}
		}
	}
	return nil
}

// Endpoint is one entry of the list.
type Endpoint struct {
	ID     string // the same at every instance
	Zone   int
	Weight float64 // what it can do, against the others; 0 and what is no number count as 1
}

// Member is an endpoint that this instance deals with.
type Member struct {
	ID    string
	Share float64 // part of this instance's traffic that is its own: the part of the arc that lies on it
}

const (
	widenAt    = 0.5         // part of the arc's weight that is well, below which the arc doubles
	narrowAt   = 0.8         // and from which on, at half its length, it may be halved again
	widenPause = second      // mean time from one widening to the next: so many at once are no herd
	narrowCalm = 10 * second // mean time for which all must have been well before it narrows

	// The load band is that of Finagle's aperture (com.twitter.finagle.loadbalancer.aperture, its default of 0.5 to 2.0): own
	// requests in flight for each member. The halves of a wide arc hold twice as many each, so that one step does not call
	// for the next.
	loadLow   = 0.5
	loadHigh  = 2.0
	loadPause = second / 5 // mean time to a step that own load calls for: nobody else makes it for the same reason
)

// Set is the members of one instance. Make one with New.
type Set struct {
	s      Settings
	rng    uint64
	ring   []placed
	total  float64
	unwell map[string]bool
	steps  int             // how often the arc is doubled
	wake   monotime.Micros // when to make the next step; 0 is never
	wider  bool            // that step is one wider
	load   float64         // own requests in flight, on the mean of some seconds
	member []Member
}

// placed is an endpoint on the ring.
type placed struct {
	Endpoint
	hash  uint64
	order float64 // by which the ring is sorted
	from  float64 // where it begins, in weight
}

// New returns a set without members, or an *Error.
func New(s Settings) (*Set, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Set{s: s, rng: mix(s.Seed ^ 0x5eed), unwell: map[string]bool{}}, nil
}

// arcs is into how many the ring is cut: a power of two, so that a list that grows or shrinks by a few hardly ever
// changes it. Each arc then has Least to twice as many members.
func (x *Set) arcs() uint64 {
	n := uint64(1)
	for 2*n*uint64(x.size()) <= uint64(len(x.ring)) {
		n *= 2
	}
	return n
}

// size is how many members the instance wants: more than Least only while nodes have room for that much held at rest.
func (x *Set) size() int {
	if x.s.IdleConnections == 0 {
		return x.s.Least
	}
	return max(x.s.Least, int(x.s.IdleConnections*float64(len(x.ring))/float64(x.s.Instances)))
}

// List takes the whole list. Entries whose IDs are empty or told before are passed over.
func (x *Set) List(now monotime.Micros, list []Endpoint) {
	x.ring = x.ring[:0]
	known := map[string]bool{}
	for _, e := range list {
		if e.ID == "" || known[e.ID] {
			continue
		}
		known[e.ID] = true
		if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1
		}
		x.ring = append(x.ring, placed{Endpoint: e})
	}
	for id := range x.unwell {
		if !known[id] {
			delete(x.unwell, id)
		}
	}
	x.lay()
	x.look(now, false)
}

// lay puts the endpoints on the ring of this instance's lot: those of each zone in the order of their hashes, spread
// evenly over the ring, so that any arc has of every zone its part.
func (x *Set) lay() {
	lot := mix(x.s.Position / x.arcs())
	zones := map[int]float64{}
	x.total = 0
	for i := range x.ring {
		p := &x.ring[i]
		p.hash = mix(lot ^ text(p.ID))
		zones[p.Zone] += p.Weight
		x.total += p.Weight
	}
	byHash := func(a, b placed) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(x.ring, byHash)
	var sum float64
	for i := range x.ring {
		p := &x.ring[i]
		if i == 0 || p.Zone != x.ring[i-1].Zone {
			sum = 0
		}
		p.order = (sum + p.Weight/2) / zones[p.Zone]
		sum += p.Weight
	}
	slices.SortFunc(x.ring, func(a, b placed) int { return cmp.Or(cmp.Compare(a.order, b.order), byHash(a, b)) })
	sum = 0
	for i := range x.ring {
		x.ring[i].from = sum
		sum += x.ring[i].Weight
	}
}

// Unwell tells that an endpoint fails, drains or is full, or no longer. It is whoever knows outcomes that says so.
func (x *Set) Unwell(now monotime.Micros, id string, yes bool) {
	if x.unwell[id] == yes {
		return
	}
	if yes {
		x.unwell[id] = true
	} else {
		delete(x.unwell, id)
	}
	x.look(now, false)
}

// Load tells how many requests of its own the instance has in flight, on the mean of some seconds. What makes no sense is
// passed over.
func (x *Set) Load(now monotime.Micros, inFlight float64) {
	if inFlight >= 0 && !math.IsInf(inFlight, 0) {
		x.load = inFlight
		x.look(now, false)
	}
}

// crowded says whether the arc, once it is doubled so often, is too short for the own load.
func (x *Set) crowded(steps int) bool {
	return x.load > loadHigh*float64(len(x.cut(steps))) && !x.whole(steps)
}

// Next returns when Advance has something to decide; ok says whether it ever has.
func (x *Set) Next() (at monotime.Micros, ok bool) { return x.wake, x.wake > 0 }

// Advance widens or narrows the set if that is due. It says whether the members changed.
func (x *Set) Advance(now monotime.Micros) bool {
	if x.wake == 0 || now < x.wake {
		return false
	}
	return x.look(now, true)
}

// look cuts the arc anew; due says that a step may be made now.
func (x *Set) look(now monotime.Micros, due bool) bool {
	was := x.steps
	want := x.step()
	switch {
	case want == x.steps:
		x.wake = 0
	case due:
		x.steps = want
		if want = x.step(); want != x.steps {
			x.arm(now, want)
		} else {
			x.wake = 0
		}
	case x.wake == 0 || (want > x.steps) != x.wider:
		x.arm(now, want)
	}
	before := x.member
	x.member = x.cut(x.steps)
	return was != x.steps || !slices.Equal(before, x.member)
}

// arm sets when the next step is made: spread, so that those who see the same do not all do it at once.
func (x *Set) arm(now monotime.Micros, want int) {
	pause := widenPause
	switch x.wider = want > x.steps; {
	case !x.wider:
		pause = narrowCalm
	case x.crowded(x.steps):
		pause = loadPause
	}
	x.wake = now + max(1, pause/2+monotime.Micros(x.float()*float64(pause)))
}

// step is the next step from here on: as much wider as the own load calls for, one wider, one narrower, or none.
func (x *Set) step() int {
	if x.crowded(x.steps) {
		steps := x.steps + 1
		for x.crowded(steps) {
			steps++
		}
		return steps
	}
	if x.well(x.steps) < widenAt && !x.whole(x.steps) {
		return x.steps + 1
	}
	if x.steps > 0 && x.well(x.steps-1) >= narrowAt && x.load < loadLow*float64(len(x.member)) {
		return x.steps - 1
	}
	return x.steps
}

// well is how much of the arc's own weight, once it is doubled so often, is well: more than 1 where it is long.
func (x *Set) well(steps int) float64 {
	var sum float64
	for _, m := range x.cut(steps) {
		if !x.unwell[m.ID] {
			sum += m.Share
		}
	}
	return sum * min(math.Pow(2, float64(steps)), float64(x.arcs()))
}

// whole says whether the arc is the whole ring.
func (x *Set) whole(steps int) bool { return math.Pow(2, float64(steps)) >= float64(x.arcs()) }

// cut returns what lies on the arc. It grows towards its end.
func (x *Set) cut(steps int) []Member {
	if len(x.ring) == 0 {
		return nil
	}
	arcs := float64(x.arcs())
	length := min(1, math.Pow(2, float64(steps))/arcs)
	from := float64(x.s.Position%x.arcs()) / arcs * x.total
	var list []Member
	add := func(from, to float64) {
		i, _ := slices.BinarySearchFunc(x.ring, from, func(p placed, at float64) int { return cmp.Compare(p.from+p.Weight, at) })
		for ; i < len(x.ring) && x.ring[i].from < to; i++ {
			p := &x.ring[i]
			part := (min(to, p.from+p.Weight) - max(from, p.from)) / (length * x.total)
			if part <= 1e-9 {
				continue // it ends where the arc begins, but for rounding
			}
			if len(list) > 0 && list[0].ID == p.ID {
				list[0].Share += part // both ends of the arc lie on it
			} else {
				list = append(list, Member{p.ID, part})
			}
		}
	}
	to := from + length*x.total
	add(from, min(to, x.total))
	if to > x.total {
		add(0, to-x.total)
	}
	return list
}

// Members returns those this instance deals with, in the order of the ring. They are not to be changed.
func (x *Set) Members() []Member { return x.member }

// Widened returns how often the arc is doubled at present.
func (x *Set) Widened() int { return x.steps }

// Budgets is this instance's part of what all nodes have for the fleet. 0 is no bound.
type Budgets struct {
	IdleConnections float64 // held at rest, over all members; below 1 none is kept for longer than that part of the time
	Probes          float64 // a second
}

// Budgets divides what the nodes have over the instances.
func (x *Set) Budgets() Budgets {
	if x.s.Instances == 0 {
		return Budgets{}
	}
	part := float64(len(x.ring)) / float64(x.s.Instances)
	return Budgets{x.s.IdleConnections * part, x.s.Probes * part}
}

func (x *Set) float() float64 {
	x.rng += 0x9e3779b97f4a7c15
	return float64(mix(x.rng)>>11) / (1 << 53)
}

// mix is SplitMix64's last step (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014).
func mix(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// text is FNV-1a of a text, 64 bits.
func text(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
