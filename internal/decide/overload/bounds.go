package overload

import "dunlinsail/internal/monotime"

// Reason is why something is bounded, for logs and metrics.
type Reason uint8

// The reasons.
const (
	None               Reason = iota // nothing is bounded
	EndpointsSaturated               // requests spend too large a part of their objective at endpoints, or work is shed
	AttemptsFailing                  // many first attempts fail
)

// String returns the reason as it is logged.
func (r Reason) String() string {
	return [...]string{"none", "endpoints are full", "many attempts fail"}[r]
}

// Bounds are the decisions of a Controller as of an instant.
type Bounds struct {
	Level               float64   // admission level, minLevel to 1: the part of a standard mix of work
	AdmitRatio          []float64 // by class: admitted part of the requests within their tenants' quotas, 0 to 1
	OverQuotaAdmitRatio []float64 // by class: admitted part of the requests over their tenants' quotas, 0 to 1
	WithinQuotaRatio    []float64 // by tenant: part of its requests that is within its quota, 0 to 1
	RetryAdmitRatio     float64   // admitted part of client retries, 0 to 1, of those that AdmitRatio admits

	// The time for which a request may wait at an endpoint, as a part of the time that its latency objective leaves
	// beyond its service time: by class, and for the requests of the floor. The floor is the part FloorRatio of every
	// class.
	QueueWaitFraction      []float64
	FloorQueueWaitFraction float64
	FloorRatio             float64

	RetryAllowed bool    // one more retry may be sent without a lease
	MaxProbeRate float64 // probes a second, at most, by the budget

	// ForcedAdmitInterval is the time between requests of a class that are admitted against its limit, so that new
	// samples correct a wrong estimate.
	ForcedAdmitInterval monotime.Micros

	Load          float64 // part of its latency objective that a request spends at an endpoint, as a recent mean
	AdmittedRatio float64 // admitted part of the work that was offered in the last seconds, 0 to 1
	Reason        Reason  // why the retry budget is reduced
}

// Bounds brings the bounds up to date, and returns them: it sets the retry ratio and, at the start of a second, the
// second's budgets. Its slices belong to the controller and are valid until its next event.
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

// admittedRatio returns the admitted part of the work that was offered in the last seconds; 1 if none was.
func (c *Controller) admittedRatio(now monotime.Micros) float64 {
	offered := c.workOffered.rate(now)
	if offered > 0 {
		return min(1, c.workAdmitted.rate(now)/offered)
	}
	return 1
}

const (
	// sheddingThreshold is the admitted part of the work below which an instance counts as shedding.
	sheddingThreshold = 0.9
	// failingThreshold is the part of the first attempts that fail beyond which many count as failing: the endpoints
	// that still serve could not serve a retry of each.
	failingThreshold = 0.3
	// minEndedRate is the rate of first attempts, a second, from which on their failures are judged.
	minEndedRate = 1
)

// boundReason decides whether the retry budget is reduced, and why: the endpoints are saturated (level.go) or work is
// shed, or many first attempts fail. admitted is the admitted part of the work, 0 to 1.
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

// forcedAdmitRate is the rate, a second, of requests that all instances together admit at one endpoint against their
// limits: about an eighth of what an endpoint of two cores serves. If each instance admitted one of each class a
// second, as without overload control, that would be all of the demand in a fleet of 300 instances.
const forcedAdmitRate = 4.0

// forcedAdmitInterval spreads forcedAdmitRate over the fleet's instances and classes. It is at least a second.
func (c *Controller) forcedAdmitInterval() monotime.Micros {
	classInstancePairs := float64(len(c.settings.Classes) * c.settings.Instances)
	rate := forcedAdmitRate * float64(max(1, c.endpoints))
	return max(second, monotime.Micros(classInstancePairs/rate*float64(second)))
}
