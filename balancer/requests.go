package balancer

import "dunlinsail/internal/monotime"

const (
	timeoutFactor     = 6.0  // times the expected latency,
	minTimeoutDivisor = 10   // but at least this part of the objective: busy hosts are silent for shorter times
	retryBurst        = 10.0 // retries that a budget without a window saves up
	retrySlots        = 10   // parts of the window of a budget with one
)

// Attempts, rejections and failures go through sendAttempt, reject and failRequest, which enforce the rules.

// finishRequest marks that the final answer is out. The record stays while attempts are in flight.
func (b *Balancer) finishRequest(r *request) {
	if !r.finished {
		b.classes[r.Class].onTimeRatio.add(r.onTime, slowWeight)
		r.finished = true
		b.openRequests--
		if r.queued {
			b.removeFromQueue(r)
		}
		b.cancelAttempts(r, -1)
	}
	if r.inflight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.freeRequests = append(b.freeRequests, r)
	}
}

// cancelAttempts cancels the attempts in flight but one.
func (b *Balancer) cancelAttempts(r *request, except int) {
	for i := range r.attempts {
		if i != except && r.attempts[i].inflight && b.settings.Limits.Cancel {
			b.actions.Cancel(r.ID, i)
		}
	}
}

// attemptsLeft says whether r may have another attempt by its number of attempts.
func (b *Balancer) attemptsLeft(r *request) bool {
	limit := b.settings.Limits.MaxAttempts
	if r.MaxAttempts > 0 {
		limit = min(limit, r.MaxAttempts)
	}
	return len(r.attempts) < limit
}

// maySend says whether the rules allow an attempt of r at e now. A request that may have run is sent again
// only where a second run has no effect: a keyed one within the deduplication window and scope of the first.
func (b *Balancer) maySend(now monotime.Micros, r *request, e *endpoint) bool {
	if r.finished || r.streaming || now >= r.Deadline || !b.attemptsLeft(r) || !e.isEligible() {
		return false
	}
	if r.inflight > 0 && !b.settings.Limits.Hedging {
		return false
	}
	if e.warmingUp(now, b) && (b.handedOver || !b.hasWarmupCapacity(now, e, r.work)) {
		return false
	}
	c := b.classOf(r)
	first := r.firstMayHaveRun()
	if first == nil || c.Idempotency == Idempotent {
		return true
	}
	if c.Idempotency != IdempotentByKey || now >= first.sentAt+c.DedupWindow {
		return false
	}
	return c.DedupScope == DedupAll || c.DedupScope == DedupZone && e.Zone == first.zone ||
		c.DedupScope == DedupCell && e.Cell == first.cell
}

// FirstByteDeadline is until when the first byte of a request's latest attempt may go out: the end of its
// deduplication window, if an earlier attempt may have run; 0 is no such instant.
func (b *Balancer) FirstByteDeadline(id uint64) monotime.Micros {
	if r := b.requests[id]; r != nil && b.classOf(r).Idempotency == IdempotentByKey {
		if first := r.firstMayHaveRun(); first != nil && first != &r.attempts[len(r.attempts)-1] {
			return first.sentAt + b.classOf(r).DedupWindow
		}
	}
	return 0
}

// mayReject says whether a rejection of r, which promises that a retry is harmless, would be true.
func (b *Balancer) mayReject(r *request) bool {
	c := b.classOf(r)
	return c.Idempotency == Idempotent || r.firstMayHaveRun() == nil ||
		c.Idempotency == IdempotentByKey && c.DedupScope == DedupAll && !b.settings.StrictIdempotencyKeys
}

// sendAttempt starts an attempt if the rules allow it, and says whether it did.
func (b *Balancer) sendAttempt(now monotime.Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	if e.warmingUp(now, b) {
		e.warmupTokens -= r.work * warmupCharge
		e.servedTokens -= r.work
	}
	expected := b.predictLatency(now, e, r.work)
	r.attempts = append(r.attempts, attempt{
		endpoint: e, zone: e.Zone, cell: e.Cell, sentAt: now, inflight: true, mayHaveRun: true,
		expectedLatency: expected, workFactor: r.work * b.queueDelayFactor(now, e),
	})
	r.inflight++
	if e.inflight == 0 {
		e.silentSince = now
	}
	e.inflight++
	if r.Upload {
		r.attempts[len(r.attempts)-1].markStreaming()
	}
	e.lastSentAt = now
	for _, part := range b.trafficParts(r) {
		e.outliers[part].recordSend(now)
	}
	b.sentWorkRate.add(now, r.work)
	b.actions.Send(r.ID, e.ID, b.attemptTimeout(now, r, expected))
	b.actions.SetTimer(max(1, r.Deadline-now), r.timerToken)
	return true
}

// attemptTimeout is how long an attempt is waited for, 0 for as long as the client waits. One that takes much
// longer than expected has most likely lost its connection: it is retried where that is harmless and in time.
func (b *Balancer) attemptTimeout(now monotime.Micros, r *request, expected float64) monotime.Micros {
	c := b.classOf(r)
	objective := float64(c.LatencyObjective)
	timeout := max(timeoutFactor*expected, objective/minTimeoutDivisor)
	if c.Idempotency != Idempotent || r.Upload || !b.attemptsLeft(r) || !b.mayRetry(now) ||
		float64(now-r.arrivedAt)+timeout+expected > objective {
		return 0
	}
	return monotime.Micros(timeout)
}

// reject gives the final answer "rejected" where that is true, else "failed".
func (b *Balancer) reject(r *request) {
	if r.finished || !b.mayReject(r) {
		b.failRequest(r)
		return
	}
	b.actions.Reject(r.ID, b.retryAfter(b.classOf(r)))
	b.finishRequest(r)
}

// retryAfter spreads the retries of rejected clients, within the time in which an answer is still of use.
func (b *Balancer) retryAfter(c *Class) monotime.Micros {
	if !b.settings.Limits.RetryAfter {
		return 0
	}
	wait := monotime.Micros((0.1 + 0.2*b.random.float()) * float64(c.LatencyObjective))
	return min(wait, b.settings.Limits.MaxRetryAfter)
}

func (b *Balancer) failRequest(r *request) {
	if !r.finished {
		b.actions.Fail(r.ID)
		b.finishRequest(r)
	}
}

// HandleClientGone handles a client that left before its final answer.
func (b *Balancer) HandleClientGone(now monotime.Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finishRequest(r)
	}
}

// onRequestTimer handles a request that has waited long enough for probes, or whose deadline is over.
func (b *Balancer) onRequestTimer(now monotime.Micros, r *request) {
	if r.queued {
		b.dispatchQueued(now)
	} else if now >= r.Deadline {
		b.reject(r)
	}
}

// HandleHeaders handles the start of a streamed answer: from then on there is no deadline and no retry.
func (b *Balancer) HandleHeaders(now monotime.Micros, id uint64, number int, latency monotime.Micros) {
	r, a := b.findAttempt(id, number)
	if a == nil || r.finished {
		return
	}
	r.streaming = true
	a.endpoint.silentSince = now
	if r.Upload || now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.onTime = 1
	}
	a.markStreaming()
	b.cancelAttempts(r, number)
}

// HandleOutcome handles the end of an attempt: the request is finished, retried, rejected or failed.
func (b *Balancer) HandleOutcome(now monotime.Micros, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if a == nil || !a.inflight {
		return
	}
	r.inflight--
	a.end(now)
	if o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent {
		a.mayHaveRun = false
	}
	b.recordOutcome(now, r, a, &o)
	if o.Status == OK && !r.finished && now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.onTime = 1
	}
	if o.Answered || o.Status == OK || r.finished {
		b.finishRequest(r)
		return
	}
	if r.inflight > 0 {
		return
	}
	if !o.NotReplayable && b.mayRetry(now) && b.attemptRequest(now, r, false) {
		// What never ran counts, too: where most endpoints reject, free retries would be a storm.
		b.retryCredit--
		b.recentRetries.add(b.retrySlot(now))
		return
	}
	b.reject(r)
}

// mayRetry says whether the retry budget has one left.
func (b *Balancer) mayRetry(now monotime.Micros) bool {
	if b.overload != nil {
		return b.overload.RetryAllowed
	}
	if b.settings.RetryWindow == 0 {
		return b.retryCredit >= 1
	}
	least := b.settings.MinRetryRate * float64(b.settings.RetryWindow) / float64(second)
	earned := b.settings.RetryRatio * float64(b.recentRequests.advance(b.retrySlot(now)))
	return float64(b.recentRetries.advance(b.retrySlot(now))+1) <= max(least, earned)
}

// retrySlot numbers the parts of the retry window.
func (b *Balancer) retrySlot(now monotime.Micros) int64 {
	return now / max(1, b.settings.RetryWindow/retrySlots)
}
