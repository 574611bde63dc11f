package balancer

import "dunlinsail/internal/monotime"

// Discovery is polled only with Settings.Subscribe; else the host passes on each list that discovery pushes.

const (
	pollCallTime = 50 * millisecond // that discovery is assumed to take for one call

	// minJitterDivisor and maxJitterDivisor divide Contract.PollInterval for the bounds of pollJitter.
	minJitterDivisor = 10
	maxJitterDivisor = 2 // see minJitterDivisor

	initialBackoffDivisor = 2 // of pollJitter: the backoff after the first failure

	// repollDivisor divides Contract.PollInterval for the longest backoff, and for the random part of the pause
	// between polls. With the fixed half of the interval, each pause stays within the interval.
	repollDivisor = 4
)

// pollJitter returns the time over which the balancers of a fleet that start together spread their polls: one
// pollCallTime for each balancer, since discovery answers so many calls per second, within 1/10 to 1/2 of
// Contract.PollInterval.
func (b *Balancer) pollJitter() monotime.Micros {
	interval := b.settings.Contract.PollInterval
	callTime := monotime.Micros(b.settings.Balancers) * pollCallTime
	return min(max(interval/minJitterDivisor, callTime), interval/maxJitterDivisor)
}

// schedulePoll sets the discovery timer.
func (b *Balancer) schedulePoll(now, delay monotime.Micros) {
	b.nextPollAt = now + delay
	b.actions.SetTimer(delay, tokenDiscovery)
}

// startPolling schedules the first poll. It is spread at random, since all instances of a fleet may start at
// once.
func (b *Balancer) startPolling(now monotime.Micros) {
	if b.settings.Subscribe {
		b.schedulePoll(now, 1+b.random.durationBelow(b.pollJitter()))
	}
}

// poll handles the discovery timer: it subscribes unless the balancer is subscribed, and polls again after
// 1/2 to 3/4 of Contract.PollInterval, since the answer may be lost.
func (b *Balancer) poll(now monotime.Micros) {
	if b.settings.Subscribe && !b.subscribed && now >= b.nextPollAt {
		b.actions.Watch(true)
		interval := b.settings.Contract.PollInterval
		b.schedulePoll(now, 1+interval/2+b.random.durationBelow(interval/repollDivisor))
	}
}

// retryPoll schedules a poll after a failure of discovery, with exponential backoff (doubled after each
// failure) and jitter: after 0.5 to 1.5 of the backoff.
func (b *Balancer) retryPoll(now monotime.Micros) {
	if !b.settings.Subscribe {
		return
	}
	backoff := max(2*b.pollBackoff, b.pollJitter()/initialBackoffDivisor)
	b.pollBackoff = min(backoff, b.settings.Contract.PollInterval/repollDivisor)
	b.schedulePoll(now, 1+b.pollBackoff/2+b.random.durationBelow(b.pollBackoff))
}
