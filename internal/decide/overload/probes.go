package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	probeBucketSpan = second / 2 // for so long what was earned is kept: probes need not go in step with answers
	minProbeBucket  = 3          // and so many at least: what two draws for a request need, and one beside them
)

// rates are what probes are bounded by.
type probeLimits struct {
	ratio         float64 // of a probe for each first attempt accepted
	servedRate    float64 // of these, a second
	minRate       float64 // probes a second beside that
	maxEarnedRate float64 // of those that are earned, a second; infinite is no bound
	borrowedRate  float64 // beside those
}

// rate is how many probes a second there is room for.
func (r probeLimits) total() float64 {
	return min(r.ratio*r.servedRate, r.maxEarnedRate+r.borrowedRate) + r.minRate
}

// purse is what probes are earned by: a part of one for each first attempt that was accepted. Neither refusals nor repeats
// fill it.
type probeBucket struct{ tokens float64 }

func (p *probeBucket) earn(limits probeLimits) {
	p.tokens = min(p.tokens+limits.ratio, max(minProbeBucket, limits.ratio*limits.servedRate*float64(probeBucketSpan)/float64(second)))
}

func (p *probeBucket) take() bool {
	if p.tokens < 1 {
		return false
	}
	p.tokens--
	return true
}

// Probe says whether a probe may go out, and takes it out of the budget: of what the instance has by itself, or else of what
// lent takes of what others lend; nil lends nothing.
func (c *Controller) TakeProbe(now monotime.Micros, borrow func() bool) bool {
	c.startSecond(now)
	switch {
	case c.discoveryProbes.allows(now, math.Inf(1)):
		c.discoveryProbes.sent.add(now)
	case c.probeTokens.tokens < 1:
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

// rates returns what probes are bounded by.
func (c *Controller) probeLimits(now monotime.Micros) probeLimits {
	limits := probeLimits{ratio: c.settings.ProbeRatio, servedRate: c.servedFirst.rate(now), minRate: c.settings.MinEndpointProbes * float64(c.endpoints) / float64(c.settings.Instances), maxEarnedRate: math.Inf(1), borrowedRate: c.borrowedProbeRate}
	// The own part of the fleet's load: what is served to this instance, of what endpoints say that they serve to all.
	if fleetRate := c.endpointRate.valueOr(0) * float64(c.endpoints); c.settings.MaxEndpointProbes > 0 && fleetRate > 0 {
		limits.maxEarnedRate = c.local.probes * max(0, c.settings.MaxEndpointProbes-c.settings.MinEndpointProbes) * float64(c.endpoints) * min(1, limits.servedRate/fleetRate)
	}
	return limits
}
