package balancer

import "dunlinsail/internal/monotime"

// HandleOutcome handles the end of an attempt: its request is finished, retried, rejected or failed.
//
// A request is retried if no other attempt of it is in flight, its body can be sent again, the retry budget
// has one left (mayRetry), and attemptRequest finds an endpoint. Otherwise it is rejected where a retry by
// the client would be harmless (mayReject), else failed. An outcome with Answered is the final answer,
// whatever its status: it is never retried.
//
// The balancer does not hedge: another attempt starts only here, and only when no other is in flight.
func (b *Balancer) HandleOutcome(now monotime.Micros, o Outcome) {
	r, a := b.findAttempt(o.ID, o.Attempt)
	if a == nil || !a.inflight {
		return
	}
	r.inflight--
	a.markEnded(now)
	if o.Status == Rejected || o.Status == ConnectFailed || o.Status == NotSent {
		a.mayHaveRun = false
	}
	b.recordOutcome(now, r, a, &o)
	if o.Status == OK && !r.finished && now-r.arrivedAt <= b.classOf(r).LatencyObjective {
		r.onTime = 1
	}
	if o.Answered || o.Status == OK || r.finished {
		class := r.Class
		b.finishRequest(r)
		b.dispatchAwaitingResponses(now, class)
		return
	}
	if r.inflight > 0 {
		return
	}
	if !o.NotReplayable && b.mayRetry(now) && b.attemptRequest(now, r, false) {
		b.countRetry(now)
		return
	}
	b.reject(r)
}

// recordOutcome records the end of an attempt in the served work, the breaker, the outlier detection and the
// latency predictions. An attempt that was cancelled or not sent shows nothing of its endpoint.
func (b *Balancer) recordOutcome(now monotime.Micros, r *request, a *attempt, o *Outcome) {
	e := a.endpoint
	switch o.Status {
	case OK:
		b.servedWork += r.work / max(b.settings.Contract.WarmupStartCapacity, b.effectiveCapacity(now))
		b.lastServedAt = now
		e.breaker.record(now, 1, 0)
		if latency, known := o.chargedLatency(e.breaker.currentLatency); known {
			e.breaker.recordLatency(latency)
		}
		for _, part := range b.trafficParts(r) {
			e.outliers[part] = outlierStats{}
		}
		if latency, known := o.chargedLatency(a.expectedLatency); known {
			b.updateLatencyEstimates(now, r, a, latency, false)
		}
	case Cancelled, NotSent:
	default:
		e.breaker.record(now, 0, 1)
		for _, part := range b.trafficParts(r) {
			b.recordFailure(now, e, part)
		}
		if o.Status == Timeout {
			b.updateLatencyEstimates(now, r, a, float64(o.Latency-o.Stalled), true)
		}
	}
}

// HandleClientGone handles a client that left before its final answer: its attempts are cancelled, with
// Limits.Cancel. Without it they go on, and their outcomes count as usual. For its class the request counts
// as not answered in time, unless a streamed answer began in time.
func (b *Balancer) HandleClientGone(now monotime.Micros, id uint64) {
	if r := b.requests[id]; r != nil {
		b.finishRequest(r)
	}
}

// handleRequestTimer handles a request that has waited long enough for probes, or that has reached its
// deadline. In the first case all queued requests are dispatched, not only this one.
func (b *Balancer) handleRequestTimer(now monotime.Micros, r *request) {
	switch {
	case r.queued:
		b.dispatchQueued(now)
	case r.waiting:
		b.stopAwaitingResponses(r)
		b.dispatch(now, r)
	case now >= r.Deadline:
		b.reject(r)
	}
}

// finishRequest records that a request has its final answer, and cancels its attempts in flight. The record
// is dropped once no attempt is in flight.
func (b *Balancer) finishRequest(r *request) {
	if !r.finished {
		b.classes[r.Class].onTimeRatio.add(r.onTime, slowWeight)
		r.finished = true
		b.openRequests--
		if r.queued {
			b.removeFromQueue(r)
		}
		if r.waiting {
			b.stopAwaitingResponses(r)
		}
		b.cancelAttempts(r, -1)
	}
	if r.inflight == 0 && b.requests[r.ID] == r {
		delete(b.requests, r.ID)
		b.freeRequests = append(b.freeRequests, r)
	}
}
