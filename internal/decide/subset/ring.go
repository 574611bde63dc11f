package subset

import (
	"cmp"
	"math"
	"slices"

	"dunlinsail/internal/decide/hash64"
)

// ringEntry is an endpoint on the ring.
type ringEntry struct {
	Endpoint
	hash    uint64  // hash of the instance's group and the endpoint
	sortKey float64 // position in its zone as a fraction of the zone's weight, by which the ring is sorted
	start   float64 // start of the endpoint's section of the ring: the total weight of all entries before it
}

// arcCount returns the number of arcs that the ring is cut into: the greatest power of two for which each arc has at
// least targetSize endpoints. Because it is a power of two, adding or removing a few endpoints rarely changes it. Each
// arc has between targetSize and twice as many members.
func (s *Set) arcCount() uint64 {
	arcs := uint64(1)
	for 2*arcs*uint64(s.targetSize()) <= uint64(len(s.ring)) {
		arcs *= 2
	}
	return arcs
}

// targetSize returns the smallest number of members that the instance should have. It is the larger of
// Settings.MinMembers and the instance's share of the idle connections of all endpoints.
func (s *Set) targetSize() int {
	if s.settings.EndpointIdleConnections == 0 {
		return s.settings.MinMembers
	}
	connections := s.settings.EndpointIdleConnections * float64(len(s.ring))
	return max(s.settings.MinMembers, int(connections/float64(s.settings.Instances)))
}

// buildRing places the endpoints on the ring of this instance's group. The endpoints of each zone are in the order of
// their hashes and are spread evenly over the ring, so that every arc contains a proportional share of each zone.
func (s *Set) buildRing() {
	group := hash64.SplitMix(s.settings.Position / s.arcCount())
	zoneWeights := map[int]float64{}
	s.totalWeight = 0
	for i := range s.ring {
		entry := &s.ring[i]
		entry.hash = hash64.SplitMix(group ^ hash64.String(entry.ID))
		zoneWeights[entry.Zone] += entry.Weight
		s.totalWeight += entry.Weight
	}
	slices.SortFunc(s.ring, compareByHash)
	var sum float64
	for i := range s.ring {
		entry := &s.ring[i]
		if i == 0 || entry.Zone != s.ring[i-1].Zone {
			sum = 0
		}
		entry.sortKey = (sum + entry.Weight/2) / zoneWeights[entry.Zone]
		sum += entry.Weight
	}
	slices.SortFunc(s.ring, func(a, b ringEntry) int {
		return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), compareByHash(a, b))
	})
	sum = 0
	for i := range s.ring {
		s.ring[i].start = sum
		sum += s.ring[i].Weight
	}
}

// compareByHash orders entries by zone, and within a zone by hash.
func compareByHash(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

// arcMembers returns the endpoints on the instance's arc if its length is doubled the given number of times. A doubled
// arc has the same start and a later end.
func (s *Set) arcMembers(doublings int) []Member {
	if len(s.ring) == 0 {
		return nil
	}
	arcCount := float64(s.arcCount())
	length := min(1, math.Pow(2, float64(doublings))/arcCount)
	from := float64(s.settings.Position%s.arcCount()) / arcCount * s.totalWeight
	to := from + length*s.totalWeight
	members := s.appendSection(nil, from, min(to, s.totalWeight), length)
	if to > s.totalWeight {
		members = s.appendSection(members, 0, to-s.totalWeight, length)
	}
	return members
}

// minShareOnArc is the smallest fraction of an arc that an endpoint must cover to be a member. Rounding errors can make
// an endpoint that ends where the arc starts appear to overlap the arc.
const minShareOnArc = 1e-9

// appendSection appends the endpoints between two points of the ring to an arc's members. The points are measured in
// weight from the start of the ring. length is the length of the whole arc, as a fraction of the ring.
func (s *Set) appendSection(members []Member, from, to, length float64) []Member {
	i, _ := slices.BinarySearchFunc(s.ring, from, func(entry ringEntry, at float64) int {
		return cmp.Compare(entry.start+entry.Weight, at)
	})
	for ; i < len(s.ring) && s.ring[i].start < to; i++ {
		entry := &s.ring[i]
		share := (min(to, entry.start+entry.Weight) - max(from, entry.start)) / (length * s.totalWeight)
		if share <= minShareOnArc {
			continue
		}
		if len(members) > 0 && members[0].ID == entry.ID {
			members[0].Share += share // both ends of the arc are within this endpoint's section
		} else {
			members = append(members, Member{entry.ID, share})
		}
	}
	return members
}

// coversRing reports whether the arc covers the whole ring if its length is doubled the given number of times.
func (s *Set) coversRing(doublings int) bool {
	return math.Pow(2, float64(doublings)) >= float64(s.arcCount())
}
