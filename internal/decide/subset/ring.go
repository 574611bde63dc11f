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
	hash    uint64  // of group and endpoint
	sortKey float64 // by which the ring is sorted
	start   float64 // where it begins on the ring, in weight
}

// arcCount decides how many arcs the ring is cut into: the greatest power of two with which each arc has at least
// targetSize endpoints. By powers of two, a list that grows or shrinks by a few endpoints hardly ever changes it.
// Each arc has targetSize to twice as many members.
func (x *Set) arcCount() uint64 {
	n := uint64(1)
	for 2*n*uint64(x.targetSize()) <= uint64(len(x.ring)) {
		n *= 2
	}
	return n
}

// targetSize returns the number of members that the instance should have at least: MinMembers, or its part of all
// endpoints' idle connections if that is more.
func (x *Set) targetSize() int {
	if x.settings.EndpointIdleConnections == 0 {
		return x.settings.MinMembers
	}
	connections := x.settings.EndpointIdleConnections * float64(len(x.ring))
	return max(x.settings.MinMembers, int(connections/float64(x.settings.Instances)))
}

// buildRing places the endpoints on the ring of this instance's group: those of each zone in the order of their hashes,
// spread evenly over the ring, so that any arc has its part of each zone.
func (x *Set) buildRing() {
	group := hash64.SplitMix(x.settings.Position / x.arcCount())
	zoneWeights := map[int]float64{}
	x.totalWeight = 0
	for i := range x.ring {
		entry := &x.ring[i]
		entry.hash = hash64.SplitMix(group ^ hash64.String(entry.ID))
		zoneWeights[entry.Zone] += entry.Weight
		x.totalWeight += entry.Weight
	}
	slices.SortFunc(x.ring, compareByHash)
	var sum float64
	for i := range x.ring {
		entry := &x.ring[i]
		if i == 0 || entry.Zone != x.ring[i-1].Zone {
			sum = 0
		}
		entry.sortKey = (sum + entry.Weight/2) / zoneWeights[entry.Zone]
		sum += entry.Weight
	}
	slices.SortFunc(x.ring, func(a, b ringEntry) int {
		return cmp.Or(cmp.Compare(a.sortKey, b.sortKey), compareByHash(a, b))
	})
	sum = 0
	for i := range x.ring {
		x.ring[i].start = sum
		sum += x.ring[i].Weight
	}
}

// compareByHash orders entries by zone, and within a zone by hash.
func compareByHash(a, b ringEntry) int {
	return cmp.Or(cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

// arcMembers returns the endpoints on the instance's arc if that is doubled so often. An arc grows at its end.
func (x *Set) arcMembers(doublings int) []Member {
	if len(x.ring) == 0 {
		return nil
	}
	arcCount := float64(x.arcCount())
	length := min(1, math.Pow(2, float64(doublings))/arcCount)
	from := float64(x.settings.Position%x.arcCount()) / arcCount * x.totalWeight
	to := from + length*x.totalWeight
	members := x.appendSection(nil, from, min(to, x.totalWeight), length)
	if to > x.totalWeight {
		members = x.appendSection(members, 0, to-x.totalWeight, length)
	}
	return members
}

// minShare is the part of an arc below which an endpoint does not lie on it: by rounding, an endpoint may seem to end
// behind the point at which the arc begins.
const minShare = 1e-9

// appendSection appends the endpoints between two points of the ring, in weight, to an arc's members. length is that of
// the whole arc, as a part of the ring.
func (x *Set) appendSection(members []Member, from, to, length float64) []Member {
	i, _ := slices.BinarySearchFunc(x.ring, from, func(entry ringEntry, at float64) int {
		return cmp.Compare(entry.start+entry.Weight, at)
	})
	for ; i < len(x.ring) && x.ring[i].start < to; i++ {
		entry := &x.ring[i]
		share := (min(to, entry.start+entry.Weight) - max(from, entry.start)) / (length * x.totalWeight)
		if share <= minShare {
			continue
		}
		if len(members) > 0 && members[0].ID == entry.ID {
			members[0].Share += share // both ends of the arc lie on it
		} else {
			members = append(members, Member{entry.ID, share})
		}
	}
	return members
}

// coversRing reports whether the arc is the whole ring if it is doubled so often.
func (x *Set) coversRing(doublings int) bool {
	return math.Pow(2, float64(doublings)) >= float64(x.arcCount())
}
