package balancer

import "dunlinsail/internal/monotime"

// The retry budget (Envoy: retry budget) limits retries to a ratio of the requests, so that retries do not
// multiply the load of endpoints that fail. All retries count, those of attempts that never ran as well:
// where most endpoints reject, free retries would be a storm.
//
// There are three forms. Under an overload policy the fleet's budget counts (OverloadPolicy.RetryAllowed).
// With Settings.RetryWindow, retries are a ratio of the requests in that window. Without one, each request
// earns a part of a retry, and retries that are not used are saved up to retryBurst.

const (
	retryBurst = 10.0 // retries that a budget without a window saves up at most, and starts with

	// retrySlots is the number of slots of the retry window. Requests are counted over so many slots, retries
	// over one more, so that the ratio holds in any stretch of the window's length.
	retrySlots = 10
)

// initRetryBudget sets up the budget. It starts with retryBurst, where it has no window.
func (b *Balancer) initRetryBudget() {
	b.retryCredit = retryBurst
	b.recentRequests.ring = make([]int, retrySlots)
	b.recentRetries.ring = make([]int, retrySlots+1)
}

// countRequestForRetries counts a request.
func (b *Balancer) countRequestForRetries(now monotime.Micros) {
	b.retryCredit = min(retryBurst, b.retryCredit+b.settings.RetryRatio)
	b.recentRequests.add(b.retrySlot(now))
}

// countRetry counts a retry.
func (b *Balancer) countRetry(now monotime.Micros) {
	b.retryCredit--
	b.recentRetries.add(b.retrySlot(now))
}

// mayRetry reports whether the retry budget has a retry left: by OverloadPolicy.RetryAllowed, if there is an
// overload policy. Else, with Settings.RetryWindow, it has one if, of the counts in the window,
//
//	retries + 1 <= max(RetryRatio x requests, MinRetryRate x RetryWindow)
//
// The second term (MinRetryRate is per second) is for a quiet balancer, whose RetryRatio x requests is less
// than one. Without a window it has one if retryCredit is at least 1.
func (b *Balancer) mayRetry(now monotime.Micros) bool {
	if b.overload != nil {
		return b.overload.RetryAllowed
	}
	if b.settings.RetryWindow == 0 {
		return b.retryCredit >= 1
	}
	minimum := b.settings.MinRetryRate * float64(b.settings.RetryWindow) / float64(second)
	earned := b.settings.RetryRatio * float64(b.recentRequests.advance(b.retrySlot(now)))
	return float64(b.recentRetries.advance(b.retrySlot(now))+1) <= max(minimum, earned)
}

// retrySlot returns the number of the retry window's slot at an instant.
func (b *Balancer) retrySlot(now monotime.Micros) int64 {
	return now / max(1, b.settings.RetryWindow/retrySlots)
}
