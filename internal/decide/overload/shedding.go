package overload

import (
	"slices"

	"dunlinsail/internal/monotime"
)

// sheddingOrder translates an admission level into the admitted fraction of each class. The level refers to a
// standard mix, in which all classes have the same amount of work, and not to the instance's own mix. All
// instances therefore shed the same classes at the same level, even an instance that serves only one class. How
// much of the actual mix a level admits does not matter, since the control loop (admissionLevel) finds a
// suitable level.
//
// Within the level, classes are admitted in the order of priority weight per cost. As the goal also includes
// the class with the lowest served fraction, the same fraction of every class, called the floor, is admitted
// first. The best floor for the standard mix is the solution of a linear program, which lies at one of a few
// corners.
type sheddingOrder struct {
	settings       Settings
	admit          []float64   // by class: Bounds.AdmitRatio
	overQuotaAdmit []float64   // by class: Bounds.OverQuotaAdmitRatio
	queueWaits     []float64   // by class: Bounds.QueueWaitFraction
	withinQuota    []float64   // by tenant: Bounds.WithinQuotaRatio
	groups         []workGroup // in the order of admission (compareGroups)
	lastLevel      float64     // level for which admit and overQuotaAdmit were computed; -1: not computed yet
	floorRatio     float64     // Bounds.FloorRatio
	callsSinceRank int         // calls of ratios since the last rank
}

// workGroup contains the requests of a class that are either all within or all over their tenants' quotas. If
// quotas do not matter (splitsByQuota), it contains all requests of the class.
type workGroup struct {
	class        int
	overQuota    bool
	weight       float64 // priority weight per microsecond at an endpoint
	workFraction float64 // fraction of the work of the standard mix
}

// newSheddingOrder returns an order whose groups are ranked by the first call of ratios.
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

// splitsByQuota reports whether a class's requests over their tenants' quotas form a separate group.
func (o *sheddingOrder) splitsByQuota() bool {
	return o.settings.OverQuotaWeight < 1 && len(o.settings.Tenants) > 1
}

// rankInterval is the number of calls of ratios after which the groups are ranked again: response times change
// slowly.
const rankInterval = 256

// ratios returns the admitted fraction of each class at a level, for requests within and over their tenants'
// quotas. Every group is admitted up to the floor. The remaining level then admits whole groups by rank, the
// highest weight first.
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

// setRatio sets the admitted fraction of a group.
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

// The fractions of a class's work in the standard mix that are within and over tenants' quotas, if the class is
// split by quota.
const (
	withinQuotaWorkFraction = 0.9
	overQuotaWorkFraction   = 0.1
)

// The queue wait of a request is the fraction of the time that its latency objective leaves beyond its service
// time for which it may wait at an endpoint. The values of the classes are spread evenly by rank, so that the
// class with the lowest rank is rejected first if too much was admitted for a moment.
const (
	maxQueueWait   = 0.8  // for the first class by rank: shedding keeps queues shorter
	minQueueWait   = 0.15 // for the last class by rank: without an overload few requests wait longer
	floorQueueWait = 0.35 // least value for requests of the floor, whatever their class
)

// rank sorts the groups by compareGroups, with the priority weight per cost as weight, and sets the queue wait
// of each class from its rank. The cost of a request is its time at an endpoint.
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

// compareGroups orders groups by rank: groups within the tenants' quotas come before all groups over the
// quotas, and otherwise a group with a higher weight comes first. The last group is shed first.
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

// minRetryLevel is the admission level up to which no client retries are admitted.
const minRetryLevel = 0.8

// clientRetryRatio returns the fraction of client retries that is admitted at a level: none once a fifth of the
// work is shed. A client that retries has already spent a part of its time. A retry whose response is late is
// wasted work, and the first requests that are shed in its place would have been in time.
func clientRetryRatio(level float64) float64 {
	return max(0, min(1, (level-minRetryLevel)/(1-minRetryLevel)))
}

// bestFloor returns the fraction of every group that is admitted whatever its priority weight, and the
// remaining level. The goal is a linear function of the floor between the corners at which the remaining level
// admits whole groups, so that one of the corners is the best floor.
func (o *sheddingOrder) bestFloor(level float64) (floor, remaining float64) {
	bestValue := -1.0
	bestFloor := 0.0
	workFullyServed := 0.0 // work fraction of the groups that are admitted in full
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

// goalValue returns the value of the goal if the fraction floorRatio of every group is admitted, and the rest
// of the level admits groups by rank.
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
	minQuotaLoad   = 0.05 // least demand, as a fraction of all quotas, for quotas to apply: less has no typical mix
	quotaTolerance = 1.25 // tolerance factor on a tenant's quota, since the mix of requests varies within two seconds
)

// withinQuotaRatios returns the fraction of each tenant's requests that is within its quota. If the demands of
// all tenants are in proportion to their quotas, all requests are within the quotas, however great the demand
// is. All requests of a tenant without a quota are within quota. The input is the requested rate, per second,
// and not the served rate: otherwise rejections of requests over a quota would reduce the quota further.
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
