package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	// loadMemoryWorks is the age of a load report, in mean works (microseconds each), at which it counts by a
	// factor of e less: the requests that it counted have mostly ended.
	loadMemoryWorks = 10.0

	// maxHerdFactor is the greatest number of other balancers' attempts that are assumed for each of our own
	// since a report: other balancers have seen the same report, and follow it as well.
	maxHerdFactor = 2.0
)

// predictLoad returns how many requests e is expected to hold: the other balancers' by its latest report, and
// this balancer's attempts. For each attempt since the report, attempts of some other balancers are assumed.
//
// The older the report, the more the typical load counts instead. Only averages count while reports are late.
func (b *Balancer) predictLoad(now monotime.Micros, e *endpoint) float64 {
	typicalLoad := b.typicalLoadOf(now, e).value
	ownAttempts := e.activeAttempts()
	if b.reportsLate || !e.hasReport {
		return typicalLoad + ownAttempts
	}
	age := float64(now-e.reportedAt) + b.reportInterval()/2 // a report is half an interval old on average
	reportWeight := math.Exp(-age / (loadMemoryWorks * b.meanWork.value))
	herdFactor := min(maxHerdFactor, float64(b.settings.Balancers-1)/2)
	return typicalLoad + (e.othersLoad-typicalLoad)*reportWeight + ownAttempts +
		herdFactor*max(0, ownAttempts-e.ownLoadAtReport)
}

// typicalLoadOf returns the mean load (requests) by other balancers of endpoints like e. Warming endpoints
// have an average of their own: all balancers limit them, so they hold little.
func (b *Balancer) typicalLoadOf(now monotime.Micros, e *endpoint) *ewma {
	if e.warmingUp(now, b) {
		return &b.typicalWarmingLoad
	}
	return &b.typicalLoad
}
