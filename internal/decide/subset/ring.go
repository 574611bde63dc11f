package subset

import (
	"cmp"
	"math"
	"slices"
)

// placed is an endpoint on the ring.
type ringEntry struct {
	Endpoint
	hash    uint64
	sortKey float64 // by which the ring is sorted
	start   float64 // where it begins, in weight
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

// whole says whether the arc is the whole ring.
func (x *Set) coversRing(doublings int) bool {
	return math.Pow(2, float64(doublings)) >= float64(x.arcCount())
}
