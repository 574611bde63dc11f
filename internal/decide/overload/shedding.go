package overload

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// Limits on what a request may wait at an endpoint, as parts of what its aim leaves beyond its time there alone. Those of
// the classes are spread evenly by rank, so that where too much went on for a moment what is worth least is turned away.
const (
	maxQueueWait   = 0.8  // of the class that ranks first: what is shed before it keeps the queues below that
	floorQueueWait = 0.35 // at least, of the part of every class that the goal has served whatever its worth
	minQueueWait   = 0.15 // of the class that ranks last: in calm hardly any waits for so long
)

const repeatThreshold = 0.8

// anew is after how many looks the order is made anew: how long answers take changes slowly.
const rankInterval = 256

const (
	minAllowanceLoad = 0.05 // part of all allowances that an instance must carry to judge of shares: less is a mix of its own
	shareTolerance   = 1.25 // what the mix of two seconds strays by
)

// order says what a level means for each class. The level is a part of a mix that is the same for all instances, one in
// which every class has as much work as the others, and not of the own one: at the same level all instances turn the same
// classes away, also one that is asked for nothing but bookings. What a level lets in of the real mix the loop finds by
// itself (level.go).
//
// Within the level classes go by worth for their work, and as the goal weighs the class served worst, all are served a
// part first: the best such part for that mix (a linear program whose best point lies at one of a few corners).
type sheddingOrder struct {
	settings       Settings
	admit, excess  []float64
	queueWaits     []float64
	withinShare    []float64
	groups         []workGroup
	lastLevel      float64 // level that admit and excess are of
	floorRatio     float64
	callsSinceRank int // calls since the order was made anew
}

// bucket is the requests of a class within the shares of their tenants, or beyond them.
type workGroup struct {
	class        int
	overShare    bool
	weight       float64 // of a unit of work
	workFraction float64 // of all work
}

func newSheddingOrder(s Settings) sheddingOrder {
	n := len(s.Classes)
	return sheddingOrder{settings: s, admit: make([]float64, n), excess: make([]float64, n), queueWaits: make([]float64, n), withinShare: make([]float64, len(s.Tenants)), lastLevel: -1}
}

// splits says whether what tenants ask beyond their share is told apart.
func (o *sheddingOrder) splitsByShare() bool {
	return o.settings.OverShareWeight < 1 && len(o.settings.Tenants) > 1
}

// parts returns, by class, the part of the requests that goes on at a level, within their tenants' shares and beyond.
func (o *sheddingOrder) ratios(level float64, answerTimes []movingAverage) (admit, excess []float64) {
	if o.callsSinceRank++; len(o.groups) == 0 || o.callsSinceRank >= rankInterval {
		o.rank(answerTimes)
		o.callsSinceRank, o.lastLevel = 0, -1
	}
	if level == o.lastLevel {
		return o.admit, o.excess
	}
	o.lastLevel = level
	floor, rest := o.bestFloor(level)
	o.floorRatio = floor
	for _, b := range o.groups {
		ratio := floor
		if upgradeCost := (1 - floor) * b.workFraction; rest >= upgradeCost {
			ratio, rest = 1, rest-upgradeCost
		} else {
			ratio, rest = floor+rest/b.workFraction, 0
		}
		ratio = min(1, ratio)
		if !o.splitsByShare() {
			o.admit[b.class], o.excess[b.class] = ratio, ratio
		} else if b.overShare {
			o.excess[b.class] = ratio
		} else {
			o.admit[b.class] = ratio
		}
	}
	return o.admit, o.excess
}

// sort puts the buckets into their order: the most worth for its work first. Time at an endpoint stands for work.
func (o *sheddingOrder) rank(answerTimes []movingAverage) {
	o.groups = o.groups[:0]
	n := float64(len(o.settings.Classes))
	for i, c := range o.settings.Classes {
		weight := c.PriorityWeight / max(1, answerTimes[i].value)
		if !o.splitsByShare() {
			o.groups = append(o.groups, workGroup{i, false, weight, 1 / n})
			continue
		}
		o.groups = append(o.groups, workGroup{i, false, weight, 0.9 / n}, workGroup{i, true, weight * o.settings.OverShareWeight, 0.1 / n})
	}
	slices.SortStableFunc(o.groups, func(a, b workGroup) int {
		switch {
		case a.overShare != b.overShare:
			if a.overShare {
				return 1 // a tenant's excess goes before anybody's share
			}
			return -1
		case a.weight > b.weight:
			return -1
		case a.weight < b.weight:
			return 1
		}
		return 0
	})
	rank := 0
	for _, b := range o.groups {
		if !b.overShare {
			o.queueWaits[b.class] = maxQueueWait - (maxQueueWait-minQueueWait)*float64(rank)/max(1, n-1)
			rank++
		}
	}
}

// again is the part of the repeats that go on at a level: none once a fifth is shed. A client that asks again has lost a part of
// its aim by then, and each that is served late is work for nothing; what is shed of first tries beside it was in time.
func repeatRatio(level float64) float64 {
	return max(0, min(1, (level-repeatThreshold)/(1-repeatThreshold)))
}

// floor returns the part of every bucket that is served whatever its worth, and what of the level is left beyond that. The
// goal's gain is linear between the corners where the rest fills whole buckets, so that one of those is the best.
func (o *sheddingOrder) bestFloor(level float64) (floor, rest float64) {
	best, bestFloor := -1.0, 0.0
	workFullyServed := 0.0 // work of the buckets that are served whole
	for i := 0; i <= len(o.groups); i++ {
		candidate := 0.0
		if workFullyServed < level && workFullyServed < 1 {
			candidate = (level - workFullyServed) / (1 - workFullyServed)
		}
		if value := o.goalValue(level, candidate); value > best {
			best, bestFloor = value, candidate
		}
		if i < len(o.groups) {
			workFullyServed += o.groups[i].workFraction
		}
	}
	return bestFloor, level - bestFloor
}

// gain is the goal's, of serving a part m of all and what the level leaves by worth.
func (o *sheddingOrder) goalValue(level, floor float64) float64 {
	var earned, total float64
	rest := level - floor
	for _, b := range o.groups {
		extra := max(0, min(rest, (1-floor)*b.workFraction))
		rest -= extra
		earned += b.weight * (floor*b.workFraction + extra)
		total += b.weight * b.workFraction
	}
	if total == 0 {
		return 0
	}
	return o.settings.Goal.Overall*earned/total + o.settings.Goal.WorstClass*floor
}

// inside returns, by tenant, the part of its requests that lies within its share: of two that ask in proportion to their
// allowances neither is beyond it, however much both ask. One of no allowance has no share to be beyond. It does not go by
// what is served, or what is turned away for being beyond a share would make that share ever smaller.
func (o *sheddingOrder) shareRatios(now monotime.Micros, demand []decayingRate) []float64 {
	var totalDemand, totalAllowance float64
	for i, t := range o.settings.Tenants {
		if t.Allowance > 0 {
			totalDemand += demand[i].rate(now)
			totalAllowance += t.Allowance
		}
	}
	for i, t := range o.settings.Tenants {
		o.withinShare[i] = 1
		if own := demand[i].rate(now); t.Allowance > 0 && own > 0 && totalDemand >= minAllowanceLoad*totalAllowance {
			o.withinShare[i] = min(1, t.Allowance/totalAllowance*totalDemand/own*shareTolerance)
		}
	}
	return o.withinShare
}
