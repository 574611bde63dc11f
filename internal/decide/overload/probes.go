package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	probeBucketSpan = second / 2 // earned probes are available for this long: probes need not keep step with answers
	minProbeBucket  = 3          // size of the bucket at least: two candidates of a request, and one probe beside them
)

// probeLimits are the bounds on probes, in probes a second unless said otherwise.
type probeLimits struct {
	ratio         float64 // probes for each accepted first attempt
	servedRate    float64 // accepted first attempts a second
	minRate       float64 // sent in any case
	maxEarnedRate float64 // of those that are earned; infinite is no bound
	borrowedRate  float64 // lent by other instances, beyond maxEarnedRate
}

// total is how many probes a second are within the limits.
func (l probeLimits) total() float64 {
	return min(l.ratio*l.servedRate, l.maxEarnedRate+l.borrowedRate) + l.minRate
}

// probeBucket holds the probes that are earned: a part of one for each accepted first attempt. Rejected requests and
// retries earn none.
type probeBucket struct {
	tokens float64
}

// earn adds the tokens of one accepted first attempt.
func (p *probeBucket) earn(limits probeLimits) {
	size := max(minProbeBucket, limits.ratio*limits.servedRate*float64(probeBucketSpan)/float64(second))
	p.tokens = min(p.tokens+limits.ratio, size)
}

// empty reports whether no probe is earned.
func (p *probeBucket) empty() bool { return p.tokens < 1 }

// take removes a token from a bucket that is not empty.
func (p *probeBucket) take() { p.tokens-- }

// TakeProbe reports whether a probe may be sent, and takes it out of the budget: out of the instance's own, or
// else out of what borrow obtains from other instances. A nil borrow obtains nothing.
func (c *Controller) TakeProbe(now monotime.Micros, borrow func() bool) bool {
	c.startSecond(now)
	switch {
	case c.discoveryProbes.allows(now, math.Inf(1)):
		c.discoveryProbes.sent.add(now)
	case c.probeTokens.empty():
		return false
	case c.earnedProbes.allows(now, math.Inf(1)):
		c.earnedProbes.sent.add(now)
		c.probeTokens.take()
	case borrow != nil && borrow():
		c.probeTokens.take()
	default:
		return false
	}
	return true
}

// probeLimits returns the bounds on this instance's probes.
func (c *Controller) probeLimits(now monotime.Micros) probeLimits {
	s := &c.settings
	limits := probeLimits{
		ratio:         s.ProbeRatio,
		servedRate:    c.servedFirst.rate(now),
		minRate:       s.MinEndpointProbeRate * float64(c.endpoints) / float64(s.Instances),
		maxEarnedRate: math.Inf(1),
		borrowedRate:  c.borrowedProbeRate,
	}
	fleetRate := c.endpointRate.valueOr(0) * float64(c.endpoints)
	if s.MaxEndpointProbeRate > 0 && fleetRate > 0 {
		// This instance's part of the fleet's load: what it is served, of what endpoints report to serve to all.
		part := min(1, limits.servedRate/fleetRate)
		perEndpoint := max(0, s.MaxEndpointProbeRate-s.MinEndpointProbeRate)
		limits.maxEarnedRate = c.local.probes * perEndpoint * float64(c.endpoints) * part
	}
	return limits
}
