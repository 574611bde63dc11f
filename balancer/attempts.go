package balancer

import "dunlinsail/internal/monotime"

// attemptsLeft reports whether r may have another attempt by Limits.MaxAttempts and Request.MaxAttempts.
func (b *Balancer) attemptsLeft(r *request) bool {
	limit := b.settings.Limits.MaxAttempts
	if r.MaxAttempts > 0 {
		limit = min(limit, r.MaxAttempts)
	}
	return len(r.attempts) < limit
}

// sendAttempt starts an attempt of r at e if the rules allow it (maySend), and reports whether it did.
//
// With the send it charges the token buckets of a warming endpoint (chargeWarmup), makes the attempt a trial
// for each part of the traffic with an earlier ejection (startTrial), and sets the timer of the deadline.
func (b *Balancer) sendAttempt(now monotime.Micros, r *request, e *endpoint) bool {
	if !b.maySend(now, r, e) {
		return false
	}
	b.chargeWarmup(now, r, e)
	expected := b.predictLatency(now, e, r.work)
	r.attempts = append(r.attempts, attempt{
		endpoint:        e,
		zone:            e.Zone,
		cell:            e.Cell,
		sentAt:          now,
		inflight:        true,
		mayHaveRun:      true,
		expectedLatency: expected,
		workFactor:      r.work * b.queueDelayFactor(now, e),
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
		e.outliers[part].startTrial(now)
	}
	b.sentWorkRate.add(now, r.work)
	b.actions.Send(r.ID, e.ID, b.attemptTimeout(now, r, expected))
	b.actions.SetTimer(max(1, r.Deadline-now), r.timerToken)
	return true
}

const (
	// timeoutFactor multiplies the expected latency. An attempt that takes longer has likely lost its
	// connection.
	timeoutFactor = 6.0

	// minTimeoutDivisor divides the latency objective for the shortest timeout. An endpoint that is busy
	// sends nothing for shorter times, however short the expected latency is.
	minTimeoutDivisor = 10
)

// attemptTimeout returns after which time (microseconds) an attempt is given up, 0 for not before the
// deadline.
//
// Only an attempt that can be retried has a timeout: of an idempotent class, without an upload, with an
// attempt and a retry left, and early enough for the retry to be answered within the latency objective.
// expected is the latency (microseconds) that was predicted for the attempt.
func (b *Balancer) attemptTimeout(now monotime.Micros, r *request, expected float64) monotime.Micros {
	c := b.classOf(r)
	if c.Idempotency != Idempotent || r.Upload || !b.attemptsLeft(r) || !b.mayRetry(now) {
		return 0
	}
	objective := float64(c.LatencyObjective)
	timeout := max(timeoutFactor*expected, objective/minTimeoutDivisor)
	if float64(now-r.arrivedAt)+timeout+expected > objective {
		return 0
	}
	return monotime.Micros(timeout)
}

// HandleHeaders handles the start of a streamed answer of an attempt. From then on the request has neither a
// deadline nor a retry, and with Limits.Cancel its other attempts are cancelled. latency, from the send to
// the start, is not used by the balancer.
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

// cancelAttempts cancels the attempts of r that are in flight, except one number (-1 for none), with
// Limits.Cancel.
func (b *Balancer) cancelAttempts(r *request, exceptNumber int) {
	if !b.settings.Limits.Cancel {
		return
	}
	for i := range r.attempts {
		if i != exceptNumber && r.attempts[i].inflight {
			b.actions.Cancel(r.ID, i)
		}
	}
}
