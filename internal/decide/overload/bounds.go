package overload

import (
	"dunlinsail/internal/monotime"
)

// Reason says why something is bounded, for logs and figures.
type Reason uint8

// The reasons.
const (
	None               Reason = iota // nothing is
	EndpointsSaturated               // endpoints' requests take too large a part of their aim
	AttemptsFailing                  // many attempts fail
)

// String names the reason.
func (r Reason) String() string {
	return [...]string{"none", "endpoints are full", "many attempts fail"}[r]
}

// Bounds is what is decided, as of an instant.
type Bounds struct {
	Level                  float64   // 1: all work goes on; towards 0 ever less does
	AdmitRatio             []float64 // by class, the part of the requests that goes on
	ExcessAdmitRatio       []float64 // the same of what tenants ask beyond their share
	WithinShareRatio       []float64 // by tenant, the part of its requests that lies within its share
	RepeatAdmitRatio       float64   // of what goes on by that, the part of the requests that say that they repeat an earlier one
	QueueWaitFraction      []float64 // by class, the part of what its aim leaves that a request may wait at an endpoint
	FloorQueueWaitFraction float64   // the same of what ranks first, whatever its class,
	FloorRatio             float64   // which is this part of the requests

	RetryAllowed        bool            // one more further attempt may go out
	ProbeRate           float64         // probes a second that there is room for
	ForcedAdmitInterval monotime.Micros // one request of a class may go on against its limit after so long: a wrong guess must not feed itself

	Load          float64 // the part of its aim that a request spends at an endpoint
	AdmittedRatio float64 // the part of what was asked for that went on lately
	Reason        Reason
}

const (
	// The part of first attempts whose failing makes further ones few: beyond it the others could not serve them all anyway.
	failingThreshold = 0.3
	// Below this part of its requests an instance is turning work away.
	sheddingThreshold = 0.9
	// Requests a second that may go on against their limits at one endpoint, of all instances together: an eighth or so of
	// what an endpoint of two cores serves. Were it one for each class and instance, as it is without bounds, at 300 instances
	// it would be all that they are asked for: that is what the number of instances did harm by.
	forcedAdmitRate = 4.0
)

// Bounds returns what holds now. Its lists are the control's own, until its next event.
func (c *Controller) Bounds(now monotime.Micros) Bounds {
	admitted := 1.0
	if n := c.workOffered.rate(now); n > 0 {
		admitted = min(1, c.workAdmitted.rate(now)/n)
	}
	b := Bounds{Level: c.level.value, Load: c.level.load, AdmittedRatio: admitted, ProbeRate: c.probeLimits(now).total()}
	b.AdmitRatio, b.ExcessAdmitRatio = c.shedding.ratios(b.Level, c.answerTimes)
	b.RepeatAdmitRatio = repeatRatio(b.Level)
	b.QueueWaitFraction, b.FloorQueueWaitFraction, b.FloorRatio = c.shedding.queueWaits, floorQueueWait, c.shedding.floorRatio
	b.WithinShareRatio = c.shedding.shareRatios(now, c.tenantDemand)
	b.ForcedAdmitInterval = max(second, monotime.Micros(float64(len(c.settings.Classes)*c.settings.Instances)/(forcedAdmitRate*float64(max(1, c.endpoints)))*float64(second)))
	ratio := c.settings.RetryRatio
	endedRate := c.endedFirst.rate(now)
	switch {
	case c.level.saturated() || admitted < sheddingThreshold:
		b.Reason, ratio = EndpointsSaturated, c.settings.OverloadedRetryRatio
	case endedRate >= 1 && 1-c.servedFirst.rate(now)/endedRate > failingThreshold:
		b.Reason, ratio = AttemptsFailing, c.settings.OverloadedRetryRatio
	}
	c.retryRatio = ratio
	c.startSecond(now)
	b.RetryAllowed = c.RetryAllowed(now)
	return b
}

// Further says whether one more further attempt is within what the instance has by itself.
func (c *Controller) RetryAllowed(now monotime.Micros) bool {
	c.startSecond(now)
	return c.retries.allows(now, c.retryLimit(now))
}

// furtherMost is how many further attempts the latest second has earned.
func (c *Controller) retryLimit(now monotime.Micros) float64 {
	return c.local.further * c.retryRatio * float64(c.acceptedFirst.count(now, false))
}
