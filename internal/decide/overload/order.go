package overload

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// order says what a level means for each class. The level is a part of a mix that is the same for all instances, one in
// which every class has as much work as the others, and not of the own one: at the same level all instances turn the same
// classes away, also one that is asked for nothing but bookings. What a level lets in of the real mix the loop finds by
// itself (level.go).
//
// Within the level classes go by worth for their work, and as the goal weighs the class served worst, all are served a
// part first: the best such part for that mix (a linear program whose best point lies at one of a few corners).
type order struct {
	s             Settings
	admit, excess []float64
	waits         []float64
	tenants       []float64
	buckets       []bucket
	last          float64 // level that admit and excess are of
	least         float64
	stale         int // calls since the order was made anew
}

// bucket is the requests of a class within the shares of their tenants, or beyond them.
type bucket struct {
	class  int
	beyond bool
	worth  float64 // of a unit of work
	part   float64 // of all work
}

func newOrder(s Settings) order {
	n := len(s.Classes)
	return order{s: s, admit: make([]float64, n), excess: make([]float64, n), waits: make([]float64, n), tenants: make([]float64, len(s.Tenants)), last: -1}
}

// splits says whether what tenants ask beyond their share is told apart.
func (o *order) splits() bool { return o.s.OverShare < 1 && len(o.s.Tenants) > 1 }

// anew is after how many looks the order is made anew: how long answers take changes slowly.
const anew = 256

// parts returns, by class, the part of the requests that goes on at a level, within their tenants' shares and beyond.
func (o *order) parts(level float64, took []mean) (admit, excess []float64) {
	if o.stale++; len(o.buckets) == 0 || o.stale >= anew {
		o.sort(took)
		o.stale, o.last = 0, -1
	}
	if level == o.last {
		return o.admit, o.excess
	}
	o.last = level
	floor, rest := o.floor(level)
	o.least = floor
	for _, b := range o.buckets {
		part := floor
		if more := (1 - floor) * b.part; rest >= more {
			part, rest = 1, rest-more
		} else {
			part, rest = floor+rest/b.part, 0
		}
		part = min(1, part)
		if !o.splits() {
			o.admit[b.class], o.excess[b.class] = part, part
		} else if b.beyond {
			o.excess[b.class] = part
		} else {
			o.admit[b.class] = part
		}
	}
	return o.admit, o.excess
}

// sort puts the buckets into their order: the most worth for its work first. Time at an endpoint stands for work.
func (o *order) sort(took []mean) {
	o.buckets = o.buckets[:0]
	n := float64(len(o.s.Classes))
	for i, c := range o.s.Classes {
		worth := c.Worth / max(1, took[i].v)
		if !o.splits() {
			o.buckets = append(o.buckets, bucket{i, false, worth, 1 / n})
			continue
		}
		o.buckets = append(o.buckets, bucket{i, false, worth, 0.9 / n}, bucket{i, true, worth * o.s.OverShare, 0.1 / n})
	}
	slices.SortStableFunc(o.buckets, func(a, b bucket) int {
		switch {
		case a.beyond != b.beyond:
			if a.beyond {
				return 1 // a tenant's excess goes before anybody's share
			}
			return -1
		case a.worth > b.worth:
			return -1
		case a.worth < b.worth:
			return 1
		}
		return 0
	})
	rank := 0
	for _, b := range o.buckets {
		if !b.beyond {
			o.waits[b.class] = waitMost - (waitMost-waitLeast)*float64(rank)/max(1, n-1)
			rank++
		}
	}
}

// Limits on what a request may wait at an endpoint, as parts of what its aim leaves beyond its time there alone. Those of
// the classes are spread evenly by rank, so that where too much went on for a moment what is worth least is turned away.
const (
	waitMost  = 0.8  // of the class that ranks first: what is shed before it keeps the queues below that
	waitFirst = 0.35 // at least, of the part of every class that the goal has served whatever its worth
	waitLeast = 0.15 // of the class that ranks last: in calm hardly any waits for so long
)

// again is the part of the repeats that go on at a level: none once a fifth is shed. A client that asks again has lost a part of
// its aim by then, and each that is served late is work for nothing; what is shed of first tries beside it was in time.
func again(level float64) float64 { return max(0, min(1, (level-againFrom)/(1-againFrom))) }

const againFrom = 0.8

// floor returns the part of every bucket that is served whatever its worth, and what of the level is left beyond that. The
// goal's gain is linear between the corners where the rest fills whole buckets, so that one of those is the best.
func (o *order) floor(level float64) (floor, rest float64) {
	best, found := -1.0, 0.0
	full := 0.0 // work of the buckets that are served whole
	for i := 0; i <= len(o.buckets); i++ {
		m := 0.0
		if full < level && full < 1 {
			m = (level - full) / (1 - full)
		}
		if g := o.gain(level, m); g > best {
			best, found = g, m
		}
		if i < len(o.buckets) {
			full += o.buckets[i].part
		}
	}
	return found, level - found
}

// gain is the goal's, of serving a part m of all and what the level leaves by worth.
func (o *order) gain(level, m float64) float64 {
	var whole, all float64
	rest := level - m
	for _, b := range o.buckets {
		more := max(0, min(rest, (1-m)*b.part))
		rest -= more
		whole += b.worth * (m*b.part + more)
		all += b.worth * b.part
	}
	if all == 0 {
		return 0
	}
	return o.s.Goal.Whole*whole/all + o.s.Goal.WorstClass*m
}

// inside returns, by tenant, the part of its requests that lies within its share: of two that ask in proportion to their
// allowances neither is beyond it, however much both ask. One of no allowance has no share to be beyond. It does not go by
// what is served, or what is turned away for being beyond a share would make that share ever smaller.
func (o *order) inside(now monotime.Micros, asked []meter) []float64 {
	var all, allowed float64
	for i, t := range o.s.Tenants {
		if t.Allowance > 0 {
			all += asked[i].rate(now)
			allowed += t.Allowance
		}
	}
	for i, t := range o.s.Tenants {
		o.tenants[i] = 1
		if mine := asked[i].rate(now); t.Allowance > 0 && mine > 0 && all >= mixLeast*allowed {
			o.tenants[i] = min(1, t.Allowance/allowed*all/mine*slack)
		}
	}
	return o.tenants
}

const (
	mixLeast = 0.05 // part of all allowances that an instance must carry to judge of shares: less is a mix of its own
	slack    = 1.25 // what the mix of two seconds strays by
)
