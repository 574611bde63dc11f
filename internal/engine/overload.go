package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

// noMetric is the index of a metric that load reports do not include.
const noMetric = -1

// overloadState is the overload control of a pool (package overload). It limits the load that this instance
// adds to endpoints that it shares with other instances.
type overloadState struct {
	controller       *overload.Controller
	policy           balancer.OverloadPolicy // policy in force, which the balancer reads
	bounds           overload.Bounds         // bounds from which the policy was derived
	loggedReason     overload.Reason         // reason in the latest log message about the bounds
	loggedAt         monotime.Micros         // instant of the latest log message about the bounds
	shedRequests     uint64                  // total number of requests rejected by overload control
	suppressedProbes uint64                  // total number of probes suppressed by the probe budget
	inFlightIndex    int                     // index of balancer.MetricInflight in a load report, or noMetric
	servedRateIndex  int                     // index of balancer.MetricServedRate in a load report, or noMetric
}

// initOverload creates the pool's overload control. Classes, tenants, goal weights and the weight of requests
// over quota are taken from the site's settings.
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

// refreshBounds applies the current bounds (overload.Controller.Bounds). A retry is allowed by the bounds or by
// the fleet's quota. refreshBounds is called after each event that changes the bounds or the quota.
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

// overloadLogInterval is the minimum time between two log messages of a pool about its bounds.
const overloadLogInterval = monotime.Second

// logBounds logs a change of the reason why overload control limits the pool's work.
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

// shed lets overload control decide, before a request is queued, whether it is rejected, and reports whether it
// was. The decision depends on the fraction of requests that the policy in force admits for the request's class
// and tenant (balancer.ShouldReject, overload.Bounds).
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

// overloadOutcome returns what the status of an attempt indicates about the load of its endpoint.
func overloadOutcome(status balancer.Status) overload.Outcome {
	switch status {
	case balancer.OK:
		return overload.Responded
	case balancer.Rejected, balancer.Timeout:
		return overload.Overloaded
	case balancer.Cancelled, balancer.NotSent:
		return overload.Cancelled
	default:
		return overload.Failed
	}
}

// observeLoadReport passes a load report to overload control if it includes the requests in flight and the
// served rate.
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

// updateEndpointCount passes overload control the number of endpoints that the fleet shares: all listed
// endpoints that are ready and not excluded. With a subset, endpoints outside the subset count too, and only
// cordons exclude.
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
