package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// HandleRequest handles a client's request: it is sent, queued until probes return, or rejected. A request is
// rejected at once after its deadline, or beyond Limits.MaxOpenRequests. One of an unknown class is rejected
// at once without a Retry-After, and is counted nowhere. One with the ID of a request that is open is
// ignored.
func (b *Balancer) HandleRequest(now monotime.Micros, incoming Request) {
	if b.requests[incoming.ID] != nil {
		return
	}
	if int(incoming.Class) >= len(b.classes) {
		b.actions.Reject(incoming.ID, 0)
		return
	}
	r := b.newRequest(now, incoming)
	b.countRequest(now, r)
	b.estimateWork(r)
	b.meanWork.add(r.work, slowWeight)
	if now >= incoming.Deadline || b.openRequests > b.settings.Limits.MaxOpenRequests {
		b.reject(r)
		return
	}
	if !b.queueUntilProbed(now, r) {
		b.dispatch(now, r)
	}
}

// countRequest counts a new request in the request rates and in the retry budget, and its hint (microseconds)
// in the mean work of its class.
func (b *Balancer) countRequest(now monotime.Micros, r *request) {
	b.requestRate.add(now, 1)
	b.countRequestForRetries(now)
	b.classes[r.Class].requestRate.add(now, 1)
	if int(r.Tenant) < len(b.tenantRates) {
		b.tenantRates[r.Tenant].add(now, 1)
	}
	if r.HasWorkHint && r.WorkHint > 0 {
		b.classes[r.Class].meanWork.add(float64(r.WorkHint), slowWeight)
	}
}

// initialHintTrust is the first hintTrust, 0 to 1: hints count half until answers show how far they are
// right.
const initialHintTrust = 0.5

// estimateWork sets the work (microseconds) that is expected of a request: the mean of its class, or its
// hint, which counts by hintTrust (0: not at all; 1: as it is). Both are compared as logarithms, since hints
// are wrong by factors.
func (b *Balancer) estimateWork(r *request) {
	r.work = b.classes[r.Class].meanWork.value
	if r.HasWorkHint && r.WorkHint > 0 {
		r.logHintRatio = math.Log(float64(r.WorkHint) / r.work)
		r.work *= math.Exp(b.hintTrust * r.logHintRatio)
	}
}

// dispatch sends a new request or rejects it, and counts that in the rejected ratio. It does neither with a
// request over the latency budget that waits for answers to its class (queueForResponses).
func (b *Balancer) dispatch(now monotime.Micros, r *request) {
	if !r.HasWorkHint {
		r.work = b.classes[r.Class].meanWork.value // answers may have come while r waited
	}
	sent := b.attemptRequest(now, r, true)
	if r.waiting {
		if !sent {
			return
		}
		b.stopAwaitingResponses(r)
	}
	b.rejectedRatio.add(indicator(!sent), ratioWeight)
	if !sent {
		b.reject(r)
	}
}

// attemptRequest picks an endpoint and sends r there, and reports whether it did. first is set for the first
// attempt of a request. Where the breaker of the picked endpoint rejects the attempt, one other endpoint is
// picked. That one is not checked by admit: its predicted latency may be over the latency budget.
func (b *Balancer) attemptRequest(now monotime.Micros, r *request, first bool) bool {
	e := b.pickEndpoint(now, r, nil)
	if e == nil || !b.admit(now, r, e, first) {
		return false
	}
	if !b.breakerAllows(now, r, e) {
		e = b.pickEndpoint(now, r, e)
		if e == nil || !b.breakerAllows(now, r, e) {
			return false
		}
	}
	return b.sendAttempt(now, r, e)
}

// admit decides whether r may be sent to e, the best endpoint, by comparing the latency that is predicted
// there (predictLatency, microseconds) with latencyBudget. A request over budget would be answered too late.
//
// From time to time a first attempt is admitted although it is over budget (forced admission): its latency
// corrects a prediction that is wrong. The forced admission counts as used, even if a breaker then rejects
// the attempt. A retry over budget is never admitted.
//
// What is not admitted is logged as rejected (logRejection), also a retry, whose request may then fail. A new
// request may wait for answers to its class instead (queueForResponses).
func (b *Balancer) admit(now monotime.Micros, r *request, e *endpoint, first bool) bool {
	expected := b.predictLatency(now, e, r.work)
	budget := b.latencyBudget(now, r, e)
	if !(expected > budget) {
		return true
	}
	c := &b.classes[r.Class]
	if first {
		b.initForcedAdmit(now, c)
	}
	if !first || now-c.lastForcedAdmit < b.forcedAdmitInterval(now, c) {
		if !r.waiting && !(first && b.queueForResponses(now, r)) {
			b.logRejection(now, r, e, expected, budget)
		}
		return false
	}
	c.lastForcedAdmit = now
	return true
}

const (
	// defaultForcedAdmitInterval is the time between two forced admissions of a class without an overload
	// policy: 1 s, the interval at which a breaker lets an attempt pass.
	defaultForcedAdmitInterval = forcedPassInterval

	// requestsPerForcedAdmit is the number of requests of a class per forced admission while endpoints report
	// no load. Then only the requests that are admitted show latencies, and one per second would show them
	// too late.
	requestsPerForcedAdmit = 10.0
)

// initForcedAdmit sets, under an overload policy, the instant of a class's latest forced admission to a
// random one within OverloadPolicy.ForcedAdmitInterval, if the class had none: balancers that start together
// must not force admissions together.
func (b *Balancer) initForcedAdmit(now monotime.Micros, c *classStats) {
	if b.overload != nil && c.lastForcedAdmit == 0 {
		c.lastForcedAdmit = now - b.random.durationBelow(b.overload.ForcedAdmitInterval)
	}
}

// forcedAdmitInterval returns the time between two forced admissions of a class: that of the overload policy,
// else a constant, and less for a class of many requests (per second) while endpoints report no load.
func (b *Balancer) forcedAdmitInterval(now monotime.Micros, c *classStats) monotime.Micros {
	if b.overload != nil {
		return b.overload.ForcedAdmitInterval
	}
	if b.withoutLoadReports {
		interval := requestsPerForcedAdmit * float64(second) / max(1, c.requestRate.rate(now))
		return min(defaultForcedAdmitInterval, monotime.Micros(interval))
	}
	return defaultForcedAdmitInterval
}
