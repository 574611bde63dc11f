package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// probeLimits are the bounds on this instance's probes. Rates are in probes a second, but for servedRate.
type probeLimits struct {
	ratio         float64 // probes for each accepted first attempt
	servedRate    float64 // accepted first attempts a second
	minRate       float64 // allowed in any case
	maxEarnedRate float64 // greatest rate of earned probes without a lease; infinite is no bound
	leasedRate    float64 // leased from the fleet, beyond maxEarnedRate
}

// total returns the rate of probes that is within the limits.
func (l probeLimits) total() float64 {
	return min(l.ratio*l.servedRate, l.maxEarnedRate+l.leasedRate) + l.minRate
}

// probeBucket is a token bucket of probes that are earned by accepted first attempts. Rejected requests and retries
// earn none.
type probeBucket struct {
	tokens float64
}

const (
	// probeBucketFillTime is the time at the present rate for which a full bucket lasts: probes need not keep step with
	// answers.
	probeBucketFillTime = second / 2
	// minProbeBucket is the least size of a bucket, in probes: two candidates of a request, and one probe beside them.
	minProbeBucket = 3
)

// earn adds the tokens of one accepted first attempt.
func (p *probeBucket) earn(limits probeLimits) {
	size := max(minProbeBucket, limits.ratio*limits.servedRate*float64(probeBucketFillTime)/float64(second))
	p.tokens = min(p.tokens+limits.ratio, size)
}

// empty reports whether no probe is earned.
func (p *probeBucket) empty() bool { return p.tokens < 1 }

// take removes a token from a bucket that is not empty.
func (p *probeBucket) take() { p.tokens-- }

// TakeProbe decides whether a probe may be sent, and charges it. It may if the rate allowed in any case has one left
// in this second (MinEndpointProbeRate, divided by the instances), whatever is served. Beyond that it takes a token
// that an accepted first attempt has earned, and a unit of the endpoints' bound (MaxEndpointProbeRate): of the
// instance's own part, or else a leased one, if leaseProbe returns true. A nil leaseProbe leases none.
func (c *Controller) TakeProbe(now monotime.Micros, leaseProbe func() bool) bool {
	c.startSecond(now)
	switch {
	case c.discoveryProbes.allows(now, math.Inf(1)):
		c.discoveryProbes.sentEvents.add(now)
	case c.probeTokens.empty():
		return false
	case c.earnedProbes.allows(now, math.Inf(1)):
		c.earnedProbes.sentEvents.add(now)
		c.probeTokens.take()
	case leaseProbe != nil && leaseProbe():
		c.probeTokens.take()
	default:
		return false
	}
	return true
}

// probeLimits returns the bounds on this instance's probes. Its part of the endpoints' bound is its part of the fleet's
// load: what it is served, of what endpoints report to serve to all.
func (c *Controller) probeLimits(now monotime.Micros) probeLimits {
	s := &c.settings
	limits := probeLimits{
		ratio:         s.ProbeRatio,
		servedRate:    c.acceptedFirstRate.rate(now),
		minRate:       s.MinEndpointProbeRate * float64(c.endpoints) / float64(s.Instances),
		maxEarnedRate: math.Inf(1),
		leasedRate:    c.leasedProbeRate,
	}
	fleetRate := c.endpointRate.valueOr(0) * float64(c.endpoints)
	if s.MaxEndpointProbeRate > 0 && fleetRate > 0 {
		loadShare := min(1, limits.servedRate/fleetRate)
		perEndpoint := max(0, s.MaxEndpointProbeRate-s.MinEndpointProbeRate)
		limits.maxEarnedRate = c.unleasedShares.probes * perEndpoint * float64(c.endpoints) * loadShare
	}
	return limits
}

// MaxFleetProbeRate returns the probes a second that all instances together may send; 0 is no bound.
func (c *Controller) MaxFleetProbeRate() float64 {
	return c.settings.MaxEndpointProbeRate * float64(c.endpoints)
}
