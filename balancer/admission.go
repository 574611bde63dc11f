package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	maxQueueWaitFraction = 0.6  // for the class of the highest weight: latencies vary
	minQueueWaitFraction = 0.2  // for any class
	minTenantMix         = 0.05 // part of all quotas that a balancer must carry to compare tenants
	tenantQuotaSlack     = 1.25 // a rejected ratio below a fifth tells nothing of quotas
	forcedAdmitOneOf     = 10.0 // requests, of which one is admitted where nothing else tells latencies
	worstWindowGain      = 4.0  // weights count more in the worst windows, and requests are rejected in those
)

// SetOverloadPolicy sets what the fleet's overload control admits from now on; nil is that it has no say.
func (b *Balancer) SetOverloadPolicy(policy *OverloadPolicy) { b.overload = policy }

// requestRand is a request's own random source: it is judged alike before it queues at the host and after.
func (b *Balancer) requestRand(id uint64) randomSource {
	return randomSource(b.seed ^ id*0x9e3779b97f4a7c15)
}

// ShouldReject says whether the overload policy rejects a request that has just arrived, and when the client
// may retry. The host calls it before the request queues there, and does not pass on what is rejected.
func (b *Balancer) ShouldReject(in Request) (retryAfter monotime.Micros, reject bool) {
	if b.overload == nil || int(in.Class) >= len(b.classes) {
		return 0, false
	}
	admit := b.overload.AdmitRatio[in.Class]
	random := b.requestRand(in.ID)
	rank := random.float()
	within := b.overload.WithinQuotaRatio
	if tenant := int(in.Tenant); tenant < len(within) && random.float() >= within[tenant] {
		admit = b.overload.OverQuotaAdmitRatio[in.Class]
	}
	if in.Retry {
		admit *= b.overload.RetryAdmitRatio
	}
	if rank < admit {
		return 0, false
	}
	return b.retryAfter(&b.settings.Classes[in.Class]), true
}

// HandleRequest handles a client's request: it is sent, queued until probes answer, or rejected.
func (b *Balancer) HandleRequest(now monotime.Micros, in Request) {
	if b.requests[in.ID] != nil {
		return
	}
	if int(in.Class) >= len(b.classes) {
		b.actions.Reject(in.ID, 0)
		return
	}
	r := b.newRequest(now, in)
	b.requestRate.add(now, 1)
	b.retryCredit = min(retryBurst, b.retryCredit+b.settings.RetryRatio)
	b.recentRequests.add(b.retrySlot(now))
	c := &b.classes[in.Class]
	c.requestRate.add(now, 1)
	if int(in.Tenant) < len(b.tenantRates) {
		b.tenantRates[in.Tenant].add(now, 1)
	}
	r.work = c.meanWork.value
	if in.HasWorkHint && in.WorkHint > 0 {
		c.meanWork.add(float64(in.WorkHint), slowWeight)
		r.logHintRatio = math.Log(float64(in.WorkHint) / c.meanWork.value)
		r.work = c.meanWork.value * math.Exp(b.hintTrust*r.logHintRatio)
	}
	b.meanWork.add(r.work, slowWeight)
	if now >= in.Deadline || b.openRequests > b.settings.Limits.MaxOpenRequests {
		b.reject(r)
		return
	}
	if !b.queueUntilProbed(now, r) {
		b.dispatch(now, r)
	}
}

// dispatch sends a new request or rejects it.
func (b *Balancer) dispatch(now monotime.Micros, r *request) {
	sent := b.attemptRequest(now, r, true)
	b.rejectedRatio.add(indicator(!sent), ratioWeight)
	if !sent {
		b.reject(r)
	}
}

// attemptRequest picks an endpoint and sends r there, and says whether it did. Where the breaker rejects the
// first pick, it picks once more.
func (b *Balancer) attemptRequest(now monotime.Micros, r *request, first bool) bool {
	e := b.pickEndpoint(now, r, nil)
	if e == nil {
		return false
	}
	expected := b.predictLatency(now, e, r.work)
	if budget := b.latencyBudget(now, r, e); expected > budget {
		// The answer would be too late to be worth its work. Now and then one is admitted all the same, so
		// that a wrong prediction does not sustain itself.
		c := &b.classes[r.Class]
		if !first || now-c.lastForcedAdmit < b.forcedAdmitInterval(now, c) {
			b.logRejection(now, e, expected, budget)
			return false
		}
		c.lastForcedAdmit = now
	}
	if !b.breakerAllows(now, r, e) {
		e = b.pickEndpoint(now, r, e)
		if e == nil || !b.breakerAllows(now, r, e) {
			return false
		}
	}
	return b.sendAttempt(now, r, e)
}

// forcedAdmitInterval is the time between two requests of a class that are admitted against the prediction.
func (b *Balancer) forcedAdmitInterval(now monotime.Micros, c *classStats) monotime.Micros {
	switch {
	case b.overload == nil && b.withoutLoadReports:
		// Only what is admitted tells latencies, and one request a second would tell them too late.
		interval := forcedAdmitOneOf * float64(second) / max(1, c.requestRate.rate(now))
		return min(forcedPassInterval, monotime.Micros(interval))
	case b.overload == nil:
		return forcedPassInterval
	}
	if c.lastForcedAdmit == 0 { // not at the same time as balancers that have started with this one
		c.lastForcedAdmit = now - b.random.durationBelow(b.overload.ForcedAdmitInterval)
	}
	return b.overload.ForcedAdmitInterval
}

// latencyBudget is the longest predicted latency at which r is still sent to e: that with no other request
// there, and for queueing a part of what remains of the objective, less for classes of little weight.
func (b *Balancer) latencyBudget(now monotime.Micros, r *request, e *endpoint) float64 {
	idle := e.rtt.valueOr(0) + r.work*b.fleetSlowdown()*e.currentServiceTimeRatio(now, b)
	fraction := b.queueWaitFraction(now, r)
	if b.reportsLate {
		fraction = 1 // the least loaded endpoint is not known: averages must not reject what it would serve
	}
	remaining := float64(b.classOf(r).LatencyObjective) - float64(now-r.arrivedAt) - idle
	return min(idle+fraction*remaining, float64(r.Deadline-now))
}

// QueueWaitFraction is the part of what remains of its latency objective that a request may spend in the
// host's queue: the same that latencyBudget allows for an endpoint's.
func (b *Balancer) QueueWaitFraction(now monotime.Micros, in Request) float64 {
	if int(in.Class) >= len(b.classes) {
		return minQueueWaitFraction
	}
	return b.queueWaitFraction(now, &request{Request: in})
}

func (b *Balancer) queueWaitFraction(now monotime.Micros, r *request) float64 {
	if b.overload == nil {
		return max(minQueueWaitFraction, maxQueueWaitFraction*b.priorityWeight(now, r))
	}
	fraction := b.overload.QueueWaitFraction[r.Class]
	random := b.requestRand(r.ID)
	if random.float() < b.overload.TopRatio {
		fraction = max(b.overload.TopQueueWaitFraction, fraction)
	}
	return fraction
}

// priorityWeight ranks requests from 0 to 1 by what the goal gains from a unit of their work: by the class's
// weight, and more for classes of which fewer are answered in time.
func (b *Balancer) priorityWeight(now monotime.Micros, r *request) float64 {
	goal := &b.settings.Goal
	var work, weight float64
	worst := 1.0
	for i := range b.classes {
		c := &b.classes[i]
		rate := c.requestRate.rate(now)
		work += rate * c.meanWork.value
		weight += rate * b.classWeight(i)
		worst = min(worst, c.onTimeRatio.valueOr(1))
	}
	var top, own float64
	for i := range b.classes {
		c := &b.classes[i]
		part := c.requestRate.rate(now) * c.meanWork.value / work
		gain := (goal.Overall + worstWindowGain*goal.WorstWindow) * b.classWeight(i) / c.meanWork.value
		gain = gain * work / weight
		gain += goal.WorstClass / max(0.05, part) * math.Exp((worst-c.onTimeRatio.valueOr(1))/0.1)
		top = max(top, gain)
		own += gain * indicator(i == int(r.Class))
	}
	if !(top > 0) {
		return 1 // the settings have no weights
	}
	return own / top * b.tenantWeight(now, r)
}

// tenantWeight is the mean weight of a request of r's tenant, by how much of its traffic is over quota. The
// fleet's traffic is assumed to exceed the quotas as much as this balancer's exceeds what it admits.
func (b *Balancer) tenantWeight(now monotime.Micros, r *request) float64 {
	if int(r.Tenant) >= len(b.tenantRates) {
		return 1
	}
	var rate, quota float64
	for i := range b.tenantRates {
		rate += b.tenantRates[i].rate(now)
		quota += b.settings.Tenants[i].Quota
	}
	if quota <= 0 || rate < minTenantMix*quota {
		return 1 // the mix of so few requests tells nothing of the fleet's
	}
	part := b.tenantRates[r.Tenant].rate(now) / rate
	within := b.settings.Tenants[r.Tenant].Quota / quota / part * (1 - b.rejectedRatio.value) * tenantQuotaSlack
	within = min(1, within)
	return within + (1-within)*b.settings.OverQuotaWeight
}
