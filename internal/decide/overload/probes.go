package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// probeLimits are the limits on this instance's probes. Its rates are in probes per second, except servedRate.
type probeLimits struct {
	ratio         float64 // probes per accepted first attempt
	servedRate    float64 // accepted first attempts per second
	minRate       float64 // probe rate that is allowed unconditionally
	maxEarnedRate float64 // greatest rate of earned probes without a quota lease; infinite means no limit
	leasedRate    float64 // probe rate leased from the fleet in addition to maxEarnedRate
}

// total returns the rate of probes, per second, that the limits allow.
func (l probeLimits) total() float64 {
	return min(l.ratio*l.servedRate, l.maxEarnedRate+l.leasedRate) + l.minRate
}

// probeBucket is a token bucket for probes. Accepted first attempts add tokens; rejected requests and retries
// add none.
type probeBucket struct {
	tokens float64
}

const (
	// probeBucketFillTime is the time in which accepted first attempts at the current rate fill an empty
	// bucket. The size of the bucket allows bursts of probes between responses.
	probeBucketFillTime = second / 2
	// minProbeBucket is the least size of a bucket, in probes: two for the candidates of one request, and one
	// spare.
	minProbeBucket = 3
)

// earn adds the tokens of one accepted first attempt, up to the size of the bucket.
func (p *probeBucket) earn(limits probeLimits) {
	size := max(minProbeBucket, limits.ratio*limits.servedRate*float64(probeBucketFillTime)/float64(second))
	p.tokens = min(p.tokens+limits.ratio, size)
}

// empty reports whether the bucket has less than one token.
func (p *probeBucket) empty() bool { return p.tokens < 1 }

// take removes a token. The bucket must not be empty.
func (p *probeBucket) take() { p.tokens-- }

// TakeProbe decides whether a probe may be sent, and charges it. Each second a few probes are allowed
// unconditionally: the instance's share of MinEndpointProbeRate. Any other probe needs a token that an accepted
// first attempt has added, and a unit of MaxEndpointProbeRate, from the instance's own share or, if leaseProbe
// returns true, from a quota lease. With a nil leaseProbe no lease is used.
func (c *Controller) TakeProbe(now monotime.Micros, leaseProbe func() bool) bool {
	c.startSecond(now)
	switch {
	case c.unconditionalProbeBudget.allows(now, math.Inf(1)):
		c.unconditionalProbeBudget.sentEvents.add(now)
	case c.probeTokens.empty():
		return false
	case c.earnedProbeBudget.allows(now, math.Inf(1)):
		c.earnedProbeBudget.sentEvents.add(now)
		c.probeTokens.take()
	case leaseProbe != nil && leaseProbe():
		c.probeTokens.take()
	default:
		return false
	}
	return true
}

// probeLimits returns the current limits on this instance's probes. Its share of MaxEndpointProbeRate is its
// share of the fleet's load: its own accepted first attempts divided by the rate that the endpoints report to
// serve for all instances.
func (c *Controller) probeLimits(now monotime.Micros) probeLimits {
	s := &c.settings
	limits := probeLimits{
		ratio:         s.ProbeRatio,
		servedRate:    c.acceptedFirstRate.rate(now),
		minRate:       s.MinEndpointProbeRate * float64(c.endpointCount) / float64(s.Instances),
		maxEarnedRate: math.Inf(1),
		leasedRate:    c.leasedProbeRate,
	}
	fleetRate := c.endpointRate.valueOr(0) * float64(c.endpointCount)
	if s.MaxEndpointProbeRate > 0 && fleetRate > 0 {
		loadShare := min(1, limits.servedRate/fleetRate)
		perEndpoint := max(0, s.MaxEndpointProbeRate-s.MinEndpointProbeRate)
		limits.maxEarnedRate = c.unleasedShares.probeBudget * perEndpoint * float64(c.endpointCount) * loadShare
	}
	return limits
}

// MaxFleetProbeRate returns the greatest rate of probes, per second, of all instances together; 0 means no
// limit.
func (c *Controller) MaxFleetProbeRate() float64 {
	return c.settings.MaxEndpointProbeRate * float64(c.endpointCount)
}
