package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// setRetryRatio sets the ratio of retries to accepted first attempts: the lower one while there is a reason to bound
// work.
func (c *Controller) setRetryRatio(reason Reason) {
	c.retryRatio = c.settings.RetryRatio
	if reason != None {
		c.retryRatio = c.settings.OverloadedRetryRatio
	}
}

// RetryAllowed decides whether one more retry is within the budget that the instance has without a
// lease. Within any second that is the retry ratio of the first attempts accepted in the last second (retryLimit), both
// as of the second's beginning and as of now.
func (c *Controller) RetryAllowed(now monotime.Micros) bool {
	c.startSecond(now)
	return c.retries.allows(now, c.retryLimit(now))
}

// retryLimit returns the retries a second that the first attempts accepted in the last second have earned, as far as
// the instance may use them without a lease.
func (c *Controller) retryLimit(now monotime.Micros) float64 {
	return c.unleasedShares.retries * c.retryRatio * float64(c.acceptedInLastSecond.count(now, false))
}

// reportTolerance is the factor by which endpoints may serve more than they report: reports are averages over a second
// that is past.
const reportTolerance = 1.5

// EarnedRetryRate returns the retries a second that this instance's accepted first attempts add to the fleet's budget,
// and the greatest rate that the fleet can earn by the served rates that endpoints report; infinite without reports.
func (c *Controller) EarnedRetryRate(now monotime.Micros) (ownRate, maxFleetRate float64) {
	maxFleetRate = math.Inf(1)
	if reported := c.endpointRate.valueOr(0) * float64(c.endpoints); reported > 0 {
		maxFleetRate = c.settings.RetryRatio * reported * reportTolerance
	}
	return c.retryRatio * float64(c.acceptedInLastSecond.count(now, false)), maxFleetRate
}
