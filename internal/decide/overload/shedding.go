package overload

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// sheddingOrder translates an admission level into the part of each class that is admitted. The level is a part of a
// standard mix, in which every class has as much work as the others, and not of the instance's own mix: at the same
// level all instances shed the same classes, also an instance that serves one class only. How much of the real mix a
// level admits does not matter, since the control loop (level.go) finds the level that fits.
//
// Within the level, classes are admitted by their priority weight over their cost. As the goal also weighs the class
// that is served worst, a part of all classes, the floor, is admitted first. The best floor for the standard mix is
// the solution of a linear program, which lies at one of a few corners.
type sheddingOrder struct {
	settings       Settings
	admit          []float64 // by class, as Bounds.AdmitRatio
	overQuotaAdmit []float64 // by class, as Bounds.OverQuotaAdmitRatio
	queueWaits     []float64 // by class, as Bounds.QueueWaitFraction
	withinQuota    []float64 // by tenant, as Bounds.WithinQuotaRatio
	groups         []workGroup
	lastLevel      float64 // level that admit and overQuotaAdmit are of; -1 is none
	floorRatio     float64 // as Bounds.FloorRatio
	callsSinceRank int
}

// workGroup is the requests of a class that are within the quotas of their tenants, or those over them.
type workGroup struct {
	class        int
	overQuota    bool
	weight       float64 // priority weight for a microsecond at an endpoint
	workFraction float64 // its part of the work of the standard mix
}

// newSheddingOrder returns an order without ranks.
func newSheddingOrder(s Settings) sheddingOrder {
	n := len(s.Classes)
	return sheddingOrder{
		settings:       s,
		admit:          make([]float64, n),
		overQuotaAdmit: make([]float64, n),
		queueWaits:     make([]float64, n),
		withinQuota:    make([]float64, len(s.Tenants)),
		lastLevel:      -1,
	}
}

// splitsByQuota reports whether requests over their tenant's quota are a group of their own.
func (o *sheddingOrder) splitsByQuota() bool {
	return o.settings.OverQuotaWeight < 1 && len(o.settings.Tenants) > 1
}

// rankInterval is the number of calls of ratios after which the classes are ranked anew: answer times change slowly.
const rankInterval = 256

// ratios decides which part of each class is admitted at a level: of the requests within their tenants' quotas, and
// of those over them. Every group gets the floor; then groups get all of their requests admitted by rank, the highest
// weight first, as long as the rest of the level allows.
func (o *sheddingOrder) ratios(level float64, responseTimes []movingAverage) (admit, overQuotaAdmit []float64) {
	o.callsSinceRank++
	if len(o.groups) == 0 || o.callsSinceRank >= rankInterval {
		o.rank(responseTimes)
		o.callsSinceRank = 0
		o.lastLevel = -1
	}
	if level == o.lastLevel {
		return o.admit, o.overQuotaAdmit
	}
	o.lastLevel = level
	floor, remaining := o.bestFloor(level)
	o.floorRatio = floor
	for _, group := range o.groups {
		var ratio float64
		if upgradeCost := (1 - floor) * group.workFraction; remaining >= upgradeCost {
			ratio = 1
			remaining -= upgradeCost
		} else {
			ratio = floor + remaining/group.workFraction
			remaining = 0
		}
		o.setRatio(group, min(1, ratio))
	}
	return o.admit, o.overQuotaAdmit
}

// setRatio sets the admitted part of a group.
func (o *sheddingOrder) setRatio(group workGroup, ratio float64) {
	switch {
	case !o.splitsByQuota():
		o.admit[group.class] = ratio
		o.overQuotaAdmit[group.class] = ratio
	case group.overQuota:
		o.overQuotaAdmit[group.class] = ratio
	default:
		o.admit[group.class] = ratio
	}
}

// The parts of a class's work in the standard mix, where it is split by tenants' quotas.
const (
	withinQuotaWorkFraction = 0.9
	overQuotaWorkFraction   = 0.1
)

// The part of the time that a request's objective leaves beyond its service time for which it may wait at an
// endpoint. The classes' values are spread evenly by rank, so that where too much was admitted for a moment the
// lowest class is rejected first.
const (
	maxQueueWait   = 0.8  // of the class that ranks first: shedding keeps the queues below that
	minQueueWait   = 0.15 // of the class that ranks last: without overload hardly any request waits for longer
	floorQueueWait = 0.35 // least value for the requests of the floor, whatever their class
)

// rank orders the groups by priority weight over cost, the highest first, and sets the queue wait of each class by its
// rank. The cost of a request is its time at an endpoint.
func (o *sheddingOrder) rank(responseTimes []movingAverage) {
	o.groups = o.groups[:0]
	n := float64(len(o.settings.Classes))
	for i, c := range o.settings.Classes {
		weight := c.PriorityWeight / max(1, responseTimes[i].value)
		if !o.splitsByQuota() {
			o.groups = append(o.groups, workGroup{i, false, weight, 1 / n})
			continue
		}
		overQuotaWeight := weight * o.settings.OverQuotaWeight
		o.groups = append(o.groups,
			workGroup{i, false, weight, withinQuotaWorkFraction / n},
			workGroup{i, true, overQuotaWeight, overQuotaWorkFraction / n})
	}
	slices.SortStableFunc(o.groups, compareGroups)
	rank := 0
	for _, group := range o.groups {
		if !group.overQuota {
			o.queueWaits[group.class] = maxQueueWait - (maxQueueWait-minQueueWait)*float64(rank)/max(1, n-1)
			rank++
		}
	}
}

// compareGroups orders groups by rank: all requests over their tenants' quotas are shed before any within a quota, and
// otherwise the lowest weight is shed first.
func compareGroups(a, b workGroup) int {
	switch {
	case a.overQuota != b.overQuota:
		if a.overQuota {
			return 1
		}
		return -1
	case a.weight > b.weight:
		return -1
	case a.weight < b.weight:
		return 1
	}
	return 0
}

// minRetryLevel is the level up to which no client retries are admitted.
const minRetryLevel = 0.8

// clientRetryRatio decides which part of the clients' retries is admitted at a level: none once a fifth of the work
// is shed. A client that retries has used a part of its time by then; a retry that is served late is wasted work, and
// first requests that are shed in its place would have been in time.
func clientRetryRatio(level float64) float64 {
	return max(0, min(1, (level-minRetryLevel)/(1-minRetryLevel)))
}

// bestFloor returns the part of every group that is admitted whatever its priority weight, and the rest of the level.
// The goal's value is linear between the corners at which the rest fills whole groups, so that one of these is best.
func (o *sheddingOrder) bestFloor(level float64) (floor, remaining float64) {
	bestValue := -1.0
	bestFloor := 0.0
	workFullyServed := 0.0 // of the groups that are admitted in full
	for i := 0; i <= len(o.groups); i++ {
		candidate := 0.0
		if workFullyServed < level && workFullyServed < 1 {
			candidate = (level - workFullyServed) / (1 - workFullyServed)
		}
		if value := o.goalValue(level, candidate); value > bestValue {
			bestValue = value
			bestFloor = candidate
		}
		if i < len(o.groups) {
			workFullyServed += o.groups[i].workFraction
		}
	}
	return bestFloor, level - bestFloor
}

// goalValue returns the goal's value if a floor is admitted of all groups, and the rest of the level by rank.
func (o *sheddingOrder) goalValue(level, floorRatio float64) float64 {
	var servedWeight, totalWeight float64
	remaining := level - floorRatio
	for _, group := range o.groups {
		aboveFloor := max(0, min(remaining, (1-floorRatio)*group.workFraction))
		remaining -= aboveFloor
		servedWeight += group.weight * (floorRatio*group.workFraction + aboveFloor)
		totalWeight += group.weight * group.workFraction
	}
	if totalWeight == 0 {
		return 0
	}
	return o.settings.GoalWeights.Overall*servedWeight/totalWeight + o.settings.GoalWeights.WorstClass*floorRatio
}

const (
	minQuotaLoad   = 0.05 // part of all quotas that must be demanded of the instance: the mix of less is unusual
	quotaTolerance = 1.25 // factor on a tenant's part of all quotas, since the mix of two seconds varies
)

// withinQuotaRatios decides which part of each tenant's requests is within its quota. Tenants whose demands are in
// proportion to their quotas are all within them, however much they demand; so is a tenant without a quota. The input
// is demand, in requests a second: by what is served, rejections for being over a quota would shrink what is within it.
func (o *sheddingOrder) withinQuotaRatios(now monotime.Micros, demand []decayingRate) []float64 {
	var totalDemand, totalQuota float64
	for i, t := range o.settings.Tenants {
		if t.Quota > 0 {
			totalDemand += demand[i].rate(now)
			totalQuota += t.Quota
		}
	}
	for i, t := range o.settings.Tenants {
		o.withinQuota[i] = 1
		tenantRate := demand[i].rate(now)
		if t.Quota > 0 && tenantRate > 0 && totalDemand >= minQuotaLoad*totalQuota {
			o.withinQuota[i] = min(1, t.Quota/totalQuota*totalDemand/tenantRate*quotaTolerance)
		}
	}
	return o.withinQuota
}
