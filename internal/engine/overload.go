package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

// noMetric is the index of a figure that load reports do not carry.
const noMetric = -1

// overloadState is the overload control of a pool (package overload): it bounds what the instance adds to the load of
// endpoints that it shares with other instances.
type overloadState struct {
	controller       *overload.Controller
	policy           balancer.OverloadPolicy // in force; the balancer reads it
	bounds           overload.Bounds         // that policy was made from
	loggedReason     overload.Reason         // of the latest log line about the bounds
	loggedAt         monotime.Micros
	shedRequests     uint64 // requests rejected by overload control so far
	suppressedProbes uint64 // probes that its budget did not allow so far
	inFlightIndex    int    // index of the requests in flight in a load report, or noMetric
	servedRateIndex  int    // index of the served rate in a load report, or noMetric
}

// initOverload makes the pool's overload control. Its settings of classes, tenants and goal weights are the site's.
func (p *Pool) initOverload(s overload.Settings, seed uint64) error {
	site := &p.engine.config.Site.Settings
	s.Seed = seed
	s.OverQuotaWeight = site.OverQuotaWeight
	s.GoalWeights = overload.GoalWeights{
		Overall:    site.Goal.Overall + site.Goal.WorstWindow + site.Goal.WorstTenant,
		WorstClass: site.Goal.WorstClass,
	}
	for i := range site.Classes {
		s.Classes = append(s.Classes, overload.Class{
			PriorityWeight:   site.Classes[i].PriorityWeight,
			LatencyObjective: site.Classes[i].LatencyObjective,
		})
	}
	for i := range site.Tenants {
		s.Tenants = append(s.Tenants, overload.Tenant{Quota: site.Tenants[i].Quota})
	}
	controller, err := overload.New(s)
	if err != nil {
		return err
	}
	p.overload = &overloadState{controller: controller, inFlightIndex: noMetric, servedRateIndex: noMetric}
	for i, metric := range site.LoadMetrics {
		switch metric {
		case balancer.MetricInflight:
			p.overload.inFlightIndex = i
		case balancer.MetricServedRate:
			p.overload.servedRateIndex = i
		}
	}
	p.refreshBounds(0)
	p.balancer.SetOverloadPolicy(&p.overload.policy)
	return nil
}

// refreshBounds puts the bounds of this instant in force (overload.Controller.Bounds). A retry is also allowed by the
// fleet's quota. It is called after each event that changes them.
func (p *Pool) refreshBounds(now monotime.Micros) {
	o := p.overload
	b := o.controller.Bounds(now)
	o.policy = balancer.OverloadPolicy{
		AdmitRatio:             b.AdmitRatio,
		OverQuotaAdmitRatio:    b.OverQuotaAdmitRatio,
		WithinQuotaRatio:       b.WithinQuotaRatio,
		RetryAdmitRatio:        b.RetryAdmitRatio,
		QueueWaitFraction:      b.QueueWaitFraction,
		FloorQueueWaitFraction: b.FloorQueueWaitFraction,
		FloorRatio:             b.FloorRatio,
		ForcedAdmitInterval:    b.ForcedAdmitInterval,
		RetryAllowed:           b.RetryAllowed || p.hasRetryQuota(now),
		MaxProbeRate:           b.MaxProbeRate,
	}
	o.bounds = b
	p.logBounds(now)
}

// overloadLogInterval is the minimum time between two log lines of a pool about its bounds.
const overloadLogInterval = monotime.Second

// logBounds logs a change of the reason for which work is bounded.
func (p *Pool) logBounds(now monotime.Micros) {
	o := p.overload
	b := &o.bounds
	if b.Reason != o.loggedReason && now-o.loggedAt >= overloadLogInterval {
		o.loggedReason = b.Reason
		o.loggedAt = now
		p.engine.config.Host.Log("overload bounds changed", "pool", p.name,
			"reason", b.Reason.String(), "load", b.Load, "admitted", b.AdmittedRatio, "level", b.Level)
	}
}

// shed decides whether overload control rejects a request before it is queued, and reports whether it did: by the
// part of its class and tenant that the policy in force admits (balancer.ShouldReject, overload.Bounds).
func (p *Pool) shed(now monotime.Micros, c *Call) bool {
	o := p.overload
	if o == nil {
		return false
	}
	tenant := -1
	if int(c.Request.Tenant) < len(p.engine.config.Site.Settings.Tenants) {
		tenant = int(c.Request.Tenant)
	}
	o.controller.OnRequest(now, int(c.Request.Class), tenant, c.Request.Retry)
	p.refreshBounds(now)
	retryAfter, rejected := p.balancer.ShouldReject(c.Request)
	if !rejected {
		return false
	}
	o.shedRequests++
	o.controller.OnRejected(now, int(c.Request.Class), false)
	p.observeRejection(now)
	p.engine.respond(c, Response{
		Verdict:    Rejected,
		RetryAfter: retryAfter,
		Reason:     "the endpoints cannot do all that is asked for",
	})
	return true
}

// observeAttempt passes the outcome of an attempt to overload control.
func (p *Pool) observeAttempt(now monotime.Micros, a *Attempt, r AttemptResult, latency monotime.Micros) {
	o := p.overload
	if o == nil {
		return
	}
	isFirst := a.Number == 0
	o.controller.OnAttemptEnded(now, int(a.Call.Request.Class), isFirst, overloadOutcome(r.Status), latency)
	o.observeLoadReport(now, r.Load)
	p.requestRetryQuota(now, a, r.Status)
	p.refreshBounds(now)
}

// overloadOutcome returns what the status of an attempt shows of the load of its endpoint.
func overloadOutcome(status balancer.Status) overload.Outcome {
	switch status {
	case balancer.OK:
		return overload.Answered
	case balancer.Rejected, balancer.Timeout:
		return overload.Overloaded
	case balancer.Cancelled, balancer.NotSent:
		return overload.Cancelled
	default:
		return overload.Failed
	}
}

// observeOpenAttempts passes a load report to overload control, if it has the figures for that.
func (o *overloadState) observeLoadReport(now monotime.Micros, loadReport []float32) {
	if o.inFlightIndex == noMetric || o.servedRateIndex == noMetric ||
		max(o.inFlightIndex, o.servedRateIndex) >= len(loadReport) {
		return
	}
	o.controller.OnLoadReport(now, overload.LoadReport{
		InFlight:   float64(loadReport[o.inFlightIndex]),
		ServedRate: float64(loadReport[o.servedRateIndex]),
	})
}

// updateEndpointCount passes overload control the number of endpoints that the fleet shares: all that are listed, ready
// and not excluded, also where this instance uses a subset of them.
func (p *Pool) updateEndpointCount() {
	if p.overload == nil {
		return
	}
	count := 0
	if p.subset != nil {
		for name, info := range p.subset.endpoints {
			if info.State == balancer.Ready && !p.engine.cordons.Cordoned(name) {
				count++
			}
		}
	} else {
		for _, e := range p.byName {
			if e.state == balancer.Ready && !e.excluded {
				count++
			}
		}
	}
	p.overload.controller.SetEndpointCount(count)
}
