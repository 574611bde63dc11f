package balancer

import "dunlinsail/internal/monotime"

// SetOverloadPolicy sets what the fleet's overload control admits from now on. A policy adds ShouldReject,
// and replaces the parts of the objective for queueing, the interval of forced admissions and the retry
// budget; it also limits probes. nil is no policy. All other rules (admit, the breaker, the deadline,
// Limits.MaxOpenRequests) hold in both cases.
func (b *Balancer) SetOverloadPolicy(policy *OverloadPolicy) { b.overload = policy }

// ShouldReject reports whether the overload policy rejects a request that has just arrived, and after which
// time the client may retry (0: not given). The host calls it before the request enters the host's queue, and
// does not pass on a request that is rejected.
//
// The policy's ratios (0 to 1) for the request's class, for requests over their tenant's quota and for
// retries give the part that is admitted. A random rank number (0 to 1) per request decides, so that each
// client gets its part: a request is admitted if its rank number is below the ratio.
func (b *Balancer) ShouldReject(incoming Request) (retryAfter monotime.Micros, reject bool) {
	if b.overload == nil || int(incoming.Class) >= len(b.classes) {
		return 0, false
	}
	admitRatio := b.overload.AdmitRatio[incoming.Class]
	random := b.requestRand(incoming.ID)
	rank := random.float()
	withinQuota := b.overload.WithinQuotaRatio
	if tenant := int(incoming.Tenant); tenant < len(withinQuota) && random.float() >= withinQuota[tenant] {
		admitRatio = b.overload.OverQuotaAdmitRatio[incoming.Class]
	}
	if incoming.Retry {
		admitRatio *= b.overload.RetryAdmitRatio
	}
	if rank < admitRatio {
		return 0, false
	}
	return b.retryAfter(&b.settings.Classes[incoming.Class]), true
}

// isInFloor reports whether a request is in OverloadPolicy.FloorRatio (part of the requests, 0 to 1): those
// of the lowest rank numbers, which ShouldReject admits first.
func (b *Balancer) isInFloor(id uint64) bool {
	random := b.requestRand(id)
	return random.float() < b.overload.FloorRatio
}

// requestRand returns a request's own random source. Its first number is the request's rank, which is
// therefore the same before and after the request waits in the host's queue.
func (b *Balancer) requestRand(id uint64) randomSource {
	return randomSource(b.seed ^ id*goldenGamma)
}
