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
	Position   uint64 // of this instance in the fleet, from 0. Where none is told, a hash of its name: less even, as chance is
	Instances  int    // in the fleet, about; 0 is not known, and then nothing is divided
	MinMembers int    // members at least, where there are so many: fewer leave no choice and no second try elsewhere
	Seed       uint64 // of what is left to chance: when to widen and to narrow

	// What one node has for all instances together. 0 is no bound.
	EndpointIdleConnections float64 // held at rest
	EndpointProbes          float64 // a second
}

// Error says which setting makes no sense.
type SettingError struct{ Key, Reason string }

// Error tells the key and the reason.
func (e *SettingError) Error() string { return e.Key + ": " + e.Reason }

// Validate returns an *Error for the first setting that makes no sense.
func (s Settings) Validate() error {
	if s.MinMembers < 1 {
		return &SettingError{"least", fmt.Sprintf("%d: at least one endpoint is needed", s.MinMembers)}
	}
	if s.Instances < 0 {
		return &SettingError{"instances", fmt.Sprintf("%d is negative", s.Instances)}
	}
	for _, b := range []struct {
		key string
		v   float64
	}{{"idle_connections", s.EndpointIdleConnections}, {"probes", s.EndpointProbes}} {
		if !(b.v >= 0) || math.IsInf(b.v, 0) {
			return &SettingError{b.key, fmt.Sprintf("%v: must be a number from 0 on", b.v)}
		}
		if b.v > 0 && s.Instances == 0 {
			return &SettingError{b.key, "is divided over the fleet's instances, and their number is not set"}
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
	widenBelowHealthy  = 0.5         // part of the arc's weight that is well, below which the arc doubles
	narrowAboveHealthy = 0.8         // and from which on, at half its length, it may be halved again
	widenInterval      = second      // mean time from one widening to the next: so many at once are no herd
	narrowInterval     = 10 * second // mean time for which all must have been well before it narrows

	// The load band is that of Finagle's aperture (com.twitter.finagle.loadbalancer.aperture, its default of 0.5 to 2.0): own
	// requests in flight for each member. The halves of a wide arc hold twice as many each, so that one step does not call
	// for the next.
	minLoadPerMember = 0.5
	maxLoadPerMember = 2.0
	loadStepInterval = second / 5 // mean time to a step that own load calls for: nobody else makes it for the same reason
)

// Set is the members of one instance. Make one with New.
type Set struct {
	settings       Settings
	randState      uint64
	ring           []ringEntry
	totalWeight    float64
	unhealthy      map[string]bool
	doublings      int             // how often the arc is doubled
	nextStepAt     monotime.Micros // when to make the next step; 0 is never
	nextStepWidens bool            // that step is one wider
	load           float64         // own requests in flight, on the mean of some seconds
	members        []Member
}

// placed is an endpoint on the ring.
type ringEntry struct {
	Endpoint
	hash    uint64
	sortKey float64 // by which the ring is sorted
	start   float64 // where it begins, in weight
}

// New returns a set without members, or an *Error.
func New(s Settings) (*Set, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	return &Set{settings: s, randState: mix64(s.Seed ^ 0x5eed), unhealthy: map[string]bool{}}, nil
}

// arcs is into how many the ring is cut: a power of two, so that a list that grows or shrinks by a few hardly ever
// changes it. Each arc then has Least to twice as many members.
func (x *Set) arcCount() uint64 {
	n := uint64(1)
	for 2*n*uint64(x.targetSize()) <= uint64(len(x.ring)) {
		n *= 2
	}
	return n
}

// size is how many members the instance wants: more than Least only while nodes have room for that much held at rest.
func (x *Set) targetSize() int {
	if x.settings.EndpointIdleConnections == 0 {
		return x.settings.MinMembers
	}
	return max(x.settings.MinMembers, int(x.settings.EndpointIdleConnections*float64(len(x.ring))/float64(x.settings.Instances)))
}

// List takes the whole list. Entries whose IDs are empty or told before are passed over.
func (x *Set) SetEndpoints(now monotime.Micros, endpoints []Endpoint) {
	x.ring = x.ring[:0]
	known := map[string]bool{}
	for _, e := range endpoints {
		if e.ID == "" || known[e.ID] {
			continue
		}
		known[e.ID] = true
		if !(e.Weight > 0) || math.IsInf(e.Weight, 0) {
			e.Weight = 1
		}
		x.ring = append(x.ring, ringEntry{Endpoint: e})
	}
	for id := range x.unhealthy {
		if !known[id] {
			delete(x.unhealthy, id)
		}
	}
	x.buildRing()
	x.update(now, false)
}

// lay puts the endpoints on the ring of this instance's lot: those of each zone in the order of their hashes, spread
// evenly over the ring, so that any arc has of every zone its part.
func (x *Set) buildRing() {
	shuffle := mix64(x.settings.Position / x.arcCount())
	zones := map[int]float64{}
	x.totalWeight = 0
	for i := range x.ring {
		p := &x.ring[i]
		p.hash = mix64(shuffle ^ hashString(p.ID))
		zones[p.Zone] += p.Weight
		x.totalWeight += p.Weight
	}
	byHash := func(a, b ringEntry) int {
		return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	}
	slices.SortFunc(x.ring, byHash)
	var sum float64
	for i := range x.ring {
		p := &x.ring[i]
		if i == 0 || p.Zone != x.ring[i-1].Zone {
			sum = 0
		}
		p.sortKey = (sum + p.Weight/2) / zones[p.Zone]
		sum += p.Weight
	}
	slices.SortFunc(x.ring, func(a, b ringEntry) int { return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), byHash(a, b)) })
	sum = 0
	for i := range x.ring {
		x.ring[i].start = sum
		sum += x.ring[i].Weight
	}
}

// Unwell tells that an endpoint fails, drains or is full, or no longer. It is whoever knows outcomes that says so.
func (x *Set) SetUnhealthy(now monotime.Micros, id string, unhealthy bool) {
	if x.unhealthy[id] == unhealthy {
		return
	}
	if unhealthy {
		x.unhealthy[id] = true
	} else {
		delete(x.unhealthy, id)
	}
	x.update(now, false)
}

// Load tells how many requests of its own the instance has in flight, on the mean of some seconds. What makes no sense is
// passed over.
func (x *Set) SetLoad(now monotime.Micros, inFlight float64) {
	if inFlight >= 0 && !math.IsInf(inFlight, 0) {
		x.load = inFlight
		x.update(now, false)
	}
}

// crowded says whether the arc, once it is doubled so often, is too short for the own load.
func (x *Set) overloaded(doublings int) bool {
	return x.load > maxLoadPerMember*float64(len(x.arcMembers(doublings))) && !x.coversRing(doublings)
}

// Next returns when Advance has something to decide; ok says whether it ever has.
func (x *Set) NextStep() (at monotime.Micros, ok bool) { return x.nextStepAt, x.nextStepAt > 0 }

// Advance widens or narrows the set if that is due. It says whether the members changed.
func (x *Set) Advance(now monotime.Micros) bool {
	if x.nextStepAt == 0 || now < x.nextStepAt {
		return false
	}
	return x.update(now, true)
}

// look cuts the arc anew; due says that a step may be made now.
func (x *Set) update(now monotime.Micros, due bool) bool {
	previous := x.doublings
	target := x.targetDoublings()
	switch {
	case target == x.doublings:
		x.nextStepAt = 0
	case due:
		x.doublings = target
		if target = x.targetDoublings(); target != x.doublings {
			x.scheduleStep(now, target)
		} else {
			x.nextStepAt = 0
		}
	case x.nextStepAt == 0 || (target > x.doublings) != x.nextStepWidens:
		x.scheduleStep(now, target)
	}
	previousMembers := x.members
	x.members = x.arcMembers(x.doublings)
	return previous != x.doublings || !slices.Equal(previousMembers, x.members)
}

// arm sets when the next step is made: spread, so that those who see the same do not all do it at once.
func (x *Set) scheduleStep(now monotime.Micros, target int) {
	interval := widenInterval
	switch x.nextStepWidens = target > x.doublings; {
	case !x.nextStepWidens:
		interval = narrowInterval
	case x.overloaded(x.doublings):
		interval = loadStepInterval
	}
	x.nextStepAt = now + max(1, interval/2+monotime.Micros(x.randomFloat()*float64(interval)))
}

// step is the next step from here on: as much wider as the own load calls for, one wider, one narrower, or none.
func (x *Set) targetDoublings() int {
	if x.overloaded(x.doublings) {
		doublings := x.doublings + 1
		for x.overloaded(doublings) {
			doublings++
		}
		return doublings
	}
	if x.healthyWeight(x.doublings) < widenBelowHealthy && !x.coversRing(x.doublings) {
		return x.doublings + 1
	}
	if x.doublings > 0 && x.healthyWeight(x.doublings-1) >= narrowAboveHealthy && x.load < minLoadPerMember*float64(len(x.members)) {
		return x.doublings - 1
	}
	return x.doublings
}

// well is how much of the arc's own weight, once it is doubled so often, is well: more than 1 where it is long.
func (x *Set) healthyWeight(doublings int) float64 {
	var sum float64
	for _, m := range x.arcMembers(doublings) {
		if !x.unhealthy[m.ID] {
			sum += m.Share
		}
	}
	return sum * min(math.Pow(2, float64(doublings)), float64(x.arcCount()))
}

// whole says whether the arc is the whole ring.
func (x *Set) coversRing(doublings int) bool {
	return math.Pow(2, float64(doublings)) >= float64(x.arcCount())
}

// cut returns what lies on the arc. It grows towards its end.
func (x *Set) arcMembers(doublings int) []Member {
	if len(x.ring) == 0 {
		return nil
	}
	arcCount := float64(x.arcCount())
	length := min(1, math.Pow(2, float64(doublings))/arcCount)
	from := float64(x.settings.Position%x.arcCount()) / arcCount * x.totalWeight
	var list []Member
	add := func(from, to float64) {
		i, _ := slices.BinarySearchFunc(x.ring, from, func(p ringEntry, at float64) int { return cmp.Compare(p.start+p.Weight, at) })
		for ; i < len(x.ring) && x.ring[i].start < to; i++ {
			p := &x.ring[i]
			part := (min(to, p.start+p.Weight) - max(from, p.start)) / (length * x.totalWeight)
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
	to := from + length*x.totalWeight
	add(from, min(to, x.totalWeight))
	if to > x.totalWeight {
		add(0, to-x.totalWeight)
	}
	return list
}

// Members returns those this instance deals with, in the order of the ring. They are not to be changed.
func (x *Set) Members() []Member { return x.members }

// Widened returns how often the arc is doubled at present.
func (x *Set) Doublings() int { return x.doublings }

// Budgets is this instance's part of what all nodes have for the fleet. 0 is no bound.
type Budgets struct {
	IdleConnections float64 // held at rest, over all members; below 1 none is kept for longer than that part of the time
	Probes          float64 // a second
}

// Budgets divides what the nodes have over the instances.
func (x *Set) Budgets() Budgets {
	if x.settings.Instances == 0 {
		return Budgets{}
	}
	part := float64(len(x.ring)) / float64(x.settings.Instances)
	return Budgets{x.settings.EndpointIdleConnections * part, x.settings.EndpointProbes * part}
}

func (x *Set) randomFloat() float64 {
	x.randState += 0x9e3779b97f4a7c15
	return float64(mix64(x.randState)>>11) / (1 << 53)
}

// mix is SplitMix64's last step (Steele, Lea, Flood: "Fast Splittable Pseudorandom Number Generators", 2014).
func mix64(z uint64) uint64 {
	z += 0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// text is FNV-1a of a text, 64 bits.
func hashString(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(s) {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}
