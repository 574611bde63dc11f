package overload

import "dunlinsail/internal/monotime"

// Reason states why an instance reduces its retry budget, for logs and metrics.
type Reason uint8

// The reasons for a reduced retry budget.
const (
	None               Reason = iota // the retry budget is not reduced
	EndpointsSaturated               // the mean load is over saturatedLoad, or work is shed
	AttemptsFailing                  // a fraction of first attempts over failingThreshold fails
)

// String returns the text of the reason for logs.
func (r Reason) String() string {
	return [...]string{"none", "endpoints are full", "many attempts fail"}[r]
}

// Bounds are the decisions of a Controller at one instant.
type Bounds struct {
	Level               float64   // admission level, minLevel to 1: admitted fraction of a standard mix of work
	AdmitRatio          []float64 // by class: admitted fraction of requests within their tenants' quotas, 0 to 1
	OverQuotaAdmitRatio []float64 // by class: admitted fraction of requests over their tenants' quotas, 0 to 1
	WithinQuotaRatio    []float64 // by tenant: fraction of its requests that is within its quota, 0 to 1
	RetryAdmitRatio     float64   // fraction of client retries within AdmitRatio that is admitted, 0 to 1

	// QueueWaitFraction, by class, and FloorQueueWaitFraction, for requests of the floor, limit how long a
	// request may wait at an endpoint, as a fraction of the time that its latency objective leaves beyond its
	// service time. The floor is the fraction FloorRatio of the requests of every class that is admitted
	// whatever its priority weight.
	QueueWaitFraction      []float64
	FloorQueueWaitFraction float64
	FloorRatio             float64

	RetryAllowed bool    // one more retry may be sent without a quota lease
	MaxProbeRate float64 // greatest rate of probes, per second, within the probe budget

	// ForcedAdmitInterval is the time between two requests of a class that are admitted although its limit
	// would reject them, so that new samples correct a wrong estimate.
	ForcedAdmitInterval monotime.Micros

	Load          float64 // recent mean fraction of its latency objective that a request spends at an endpoint
	AdmittedRatio float64 // admitted fraction of the work offered in the last seconds, 0 to 1
	Reason        Reason  // why the retry budget is reduced; None if it is not
}

// Bounds updates the retry ratio and, at the start of a second, the budgets of that second, and returns the
// current bounds. The returned slices belong to the controller and are valid until the next call of one of its
// methods.
func (c *Controller) Bounds(now monotime.Micros) Bounds {
	b := Bounds{
		Level:                  c.level.value,
		Load:                   c.level.load,
		AdmittedRatio:          c.admittedRatio(now),
		MaxProbeRate:           c.probeLimits(now).total(),
		RetryAdmitRatio:        clientRetryRatio(c.level.value),
		FloorQueueWaitFraction: floorQueueWait,
		ForcedAdmitInterval:    c.forcedAdmitInterval(),
	}
	b.AdmitRatio, b.OverQuotaAdmitRatio = c.shedding.ratios(b.Level, c.responseTimes)
	b.QueueWaitFraction = c.shedding.queueWaits
	b.FloorRatio = c.shedding.floorRatio
	b.WithinQuotaRatio = c.shedding.withinQuotaRatios(now, c.tenantDemand)
	b.Reason = c.boundReason(now, b.AdmittedRatio)
	c.setRetryRatio(b.Reason)
	c.startSecond(now)
	b.RetryAllowed = c.RetryAllowed(now)
	return b
}

// admittedRatio returns the admitted fraction of the work offered in the last seconds; 1 if no work was
// offered.
func (c *Controller) admittedRatio(now monotime.Micros) float64 {
	offeredRate := c.workOffered.rate(now)
	if offeredRate > 0 {
		return min(1, c.workAdmitted.rate(now)/offeredRate)
	}
	return 1
}

const (
	// sheddingThreshold is the admitted fraction of the work below which an instance counts as shedding.
	sheddingThreshold = 0.9
	// failingThreshold is the fraction of failed first attempts above which the retry budget is reduced: the
	// endpoints that still serve could not serve a retry of each failed attempt.
	failingThreshold = 0.3
	// minEndedRate is the least rate of ended first attempts, per second, at which their failed fraction is
	// evaluated.
	minEndedRate = 1
)

// boundReason decides whether the retry budget is reduced, and why: the endpoints are saturated
// (admissionLevel.saturated), work is shed, or many first attempts fail. admittedRatio is the admitted fraction
// of the work, 0 to 1.
func (c *Controller) boundReason(now monotime.Micros, admittedRatio float64) Reason {
	if c.level.saturated() || admittedRatio < sheddingThreshold {
		return EndpointsSaturated
	}
	endedRate := c.endedFirstRate.rate(now)
	if endedRate >= minEndedRate && 1-c.acceptedFirstRate.rate(now)/endedRate > failingThreshold {
		return AttemptsFailing
	}
	return None
}

// forcedAdmitRate is the rate, per second, at which all instances together admit requests to one endpoint
// although their limits would reject them. It is about an eighth of the rate that an endpoint with two cores
// serves. If each instance admitted one request of each class per second, as it does without overload control,
// these requests would be the whole demand in a fleet of 300 instances.
const forcedAdmitRate = 4.0

// forcedAdmitInterval returns the ForcedAdmitInterval of one class of one instance, at least a second, so that
// all classes of all instances together have forcedAdmitRate.
func (c *Controller) forcedAdmitInterval() monotime.Micros {
	classInstancePairs := float64(len(c.settings.Classes) * c.settings.Instances)
	rate := forcedAdmitRate * float64(max(1, c.endpointCount))
	return max(second, monotime.Micros(classInstancePairs/rate*float64(second)))
}
