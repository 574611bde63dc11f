package balancer

import "dunlinsail/internal/monotime"

const (
	// probeBudget is the greatest part of the goal's result, 0 to 1, that probes may cost while requests are
	// rejected. Divided by Prices.Probe it gives probes per request.
	probeBudget = 0.005

	// calmProbeShare is the part of probeBudget that is used while no request is rejected. Then more probes
	// gain little (docs/design/model.md).
	calmProbeShare = 0.2

	fullProbeRejectedRatio = 0.05 // of the requests are rejected: from there on probeBudget is used in full
	maxProbesPerRequest    = 4.0  // probes per request, however cheap a probe is
	minProbePrice          = 1e-9 // of the result per probe and request: a free probe must not divide by 0
	minProbeRate           = 0.1  // probes per second, without an overload policy
	minLimitedProbeRate    = 0.01 // probes per second under an overload policy: rates divide by it

	// minFirstAttemptRatio is the least part of the requests that counts as admitted. While all requests are
	// rejected, reports must show when that may end.
	minFirstAttemptRatio = 0.3

	// limitedRoundShare is the part of the probe rate that rounds use under an overload policy. The rest is
	// for probes that queued requests wait for: their reports are recent, and many requests share them.
	limitedRoundShare = 0.2
)

// probeRate returns how many probes per second this balancer sends in rounds, over all endpoints together.
// The host may send fewer (its own budgets).
//
// Inputs are Prices.Probe (part of the result per probe and request), the request rate (per second), the
// ratio of rejected requests, and OverloadPolicy.MaxProbeRate (per second). The price bounds probes per
// request; the rate grows with rejections, since then a better choice of endpoints serves more requests.
func (b *Balancer) probeRate(now monotime.Micros) float64 {
	perRequest := min(maxProbesPerRequest, probeBudget/max(minProbePrice, b.settings.Prices.Probe))
	perRequest *= calmProbeShare + (1-calmProbeShare)*min(1, b.rejectedRatio.value/fullProbeRejectedRatio)
	// The price is per first attempt, so only requests that are admitted count.
	firstAttemptRatio := max(minFirstAttemptRatio, 1-b.rejectedRatio.value)
	rate := perRequest * b.requestRate.rate(now) * firstAttemptRatio
	rate = max(minProbeRate, rate)
	if b.overload != nil {
		rate = max(minLimitedProbeRate, limitedRoundShare*min(rate, b.overload.MaxProbeRate))
	}
	return rate
}
