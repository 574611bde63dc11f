package overload

import (
	"math"

	"dunlinsail/internal/monotime"
)

// setRetryRatio sets the allowed ratio of retries to accepted first attempts. The ratio is lower while there is
// a reason to reduce the retry budget.
func (c *Controller) setRetryRatio(reason Reason) {
	c.retryRatio = c.settings.RetryRatio
	if reason != None {
		c.retryRatio = c.settings.OverloadedRetryRatio
	}
}

// RetryAllowed decides whether one more retry is within the budget that the instance may use without a quota
// lease. The retries within any second must not exceed retryLimit, neither its value at the start of the second
// nor its current value.
func (c *Controller) RetryAllowed(now monotime.Micros) bool {
	c.startSecond(now)
	return c.retryBudget.allows(now, c.retryLimit(now))
}

// retryLimit returns the number of retries per second that the first attempts accepted in the last second
// allow, limited to the share that the instance may use without a quota lease.
func (c *Controller) retryLimit(now monotime.Micros) float64 {
	return c.unleasedShares.retryBudget * c.retryRatio * float64(c.acceptedInLastSecond.count(now, false))
}

// reportTolerance is the factor by which the rate that endpoints serve may exceed the rate that they report,
// since reports are averages over the previous second.
const reportTolerance = 1.5

// EarnedRetryRate returns the rate of retries, per second, that this instance's accepted first attempts add to
// the fleet's retry budget. maxFleetRate is the greatest rate that the whole fleet can earn, derived from the
// served rates that endpoints report; it is infinite without reports.
func (c *Controller) EarnedRetryRate(now monotime.Micros) (ownRate, maxFleetRate float64) {
	maxFleetRate = math.Inf(1)
	if reported := c.endpointRate.valueOr(0) * float64(c.endpointCount); reported > 0 {
		maxFleetRate = c.settings.RetryRatio * reported * reportTolerance
	}
	return c.retryRatio * float64(c.acceptedInLastSecond.count(now, false)), maxFleetRate
}
