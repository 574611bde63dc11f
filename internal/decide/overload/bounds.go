package overload

import "dunlinsail/internal/monotime"

// Reason is why something is bounded, for logs and metrics.
type Reason uint8

// The reasons.
const (
	None               Reason = iota // nothing is bounded
	EndpointsSaturated               // requests spend too large a part of their objective at endpoints
	AttemptsFailing                  // many attempts fail
)

// String returns the reason as it stands in the log.
func (r Reason) String() string {
	return [...]string{"none", "endpoints are full", "many attempts fail"}[r]
}

// Bounds are the decisions of a Controller as of an instant.
type Bounds struct {
	Level                  float64   // admission level: 1 admits all work, towards 0 ever less
	AdmitRatio             []float64 // by class: part of the requests that is admitted
	OverShareAdmitRatio    []float64 // by class: the same of requests over their tenant's share
	TenantWithinShareRatio []float64 // by tenant: part of its requests that is within its share
	ClientRetryAdmitRatio  float64   // of the requests that AdmitRatio admits, the part of client retries that is admitted

	// How long a request may wait at an endpoint, as a part of the time that its latency objective leaves beyond its
	// service time: by class, and for the requests of the floor, which is the part FloorRatio of every class.
	QueueWaitFraction      []float64
	FloorQueueWaitFraction float64
	FloorRatio             float64

	RetryAllowed bool    // one more retry or hedged request may be sent
	ProbeRate    float64 // probes a second within the budget

	// ForcedAdmitInterval is how often one request of a class is admitted against its limit, so that a wrong
	// estimate is corrected by new samples.
	ForcedAdmitInterval monotime.Micros

	Load          float64 // part of its latency objective that a request spends at an endpoint
	AdmittedRatio float64 // part of the work offered lately that was admitted
	Reason        Reason
}

const (
	// failingThreshold is the part of first attempts whose failure reduces the retry budget: beyond it the
	// healthy endpoints could not serve all retries.
	failingThreshold = 0.3
	// sheddingThreshold is the admitted part of the work below which an instance counts as shedding.
	sheddingThreshold = 0.9
	// forcedAdmitRate is how many requests a second may be admitted against their limits at one endpoint, by
	// all instances together: about an eighth of what an endpoint of two cores serves. One for each class and
	// instance, as without bounds, would be all of the demand at 300 instances.
	forcedAdmitRate = 4.0
)

// Bounds returns the bounds in force. Its slices belong to the controller and are valid until its next event.
func (c *Controller) Bounds(now monotime.Micros) Bounds {
	admitted := 1.0
	if offered := c.workOffered.rate(now); offered > 0 {
		admitted = min(1, c.workAdmitted.rate(now)/offered)
	}
	b := Bounds{
		Level:         c.level.value,
		Load:          c.level.load,
		AdmittedRatio: admitted,
		ProbeRate:     c.probeLimits(now).total(),
	}
	b.AdmitRatio, b.OverShareAdmitRatio = c.shedding.ratios(b.Level, c.answerTimes)
	b.ClientRetryAdmitRatio = clientRetryRatio(b.Level)
	b.QueueWaitFraction = c.shedding.queueWaits
	b.FloorQueueWaitFraction = floorQueueWait
	b.FloorRatio = c.shedding.floorRatio
	b.TenantWithinShareRatio = c.shedding.withinShareRatios(now, c.tenantDemand)
	b.ForcedAdmitInterval = c.forcedAdmitInterval()
	ratio := c.settings.RetryRatio
	endedRate := c.endedFirst.rate(now)
	switch {
	case c.level.saturated() || admitted < sheddingThreshold:
		b.Reason = EndpointsSaturated
		ratio = c.settings.OverloadedRetryRatio
	case endedRate >= 1 && 1-c.servedFirst.rate(now)/endedRate > failingThreshold:
		b.Reason = AttemptsFailing
		ratio = c.settings.OverloadedRetryRatio
	}
	c.retryRatio = ratio
	c.startSecond(now)
	b.RetryAllowed = c.RetryAllowed(now)
	return b
}

// forcedAdmitInterval spreads forcedAdmitRate over the fleet's instances and classes.
func (c *Controller) forcedAdmitInterval() monotime.Micros {
	sources := float64(len(c.settings.Classes) * c.settings.Instances)
	rate := forcedAdmitRate * float64(max(1, c.endpoints))
	return max(second, monotime.Micros(sources/rate*float64(second)))
}

// RetryAllowed reports whether one more retry or hedged request is within the budget that the instance has on its own.
func (c *Controller) RetryAllowed(now monotime.Micros) bool {
	c.startSecond(now)
	return c.retries.allows(now, c.retryLimit(now))
}

// retryLimit is how many retries the first attempts of the last second have earned.
func (c *Controller) retryLimit(now monotime.Micros) float64 {
	return c.local.retries * c.retryRatio * float64(c.acceptedFirst.count(now, false))
}
