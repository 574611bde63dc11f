package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

// loaded is a pool whose instance bounds what it adds to the load of endpoints that others load, too (package overload).
type overloadState struct {
	control          *overload.Controller
	bounds           balancer.Bounds // the balancer's, kept up to date
	decided          overload.Bounds // the same, as decided
	loggedReason     overload.Reason // in the log
	loggedAt         monotime.Micros
	shedRequests     uint64 // requests turned away by the level
	suppressedProbes uint64 // probes that the budget did not let out
	inFlightField    int    // places of figures in a load report; -1 is that it has none
	servedField      int
}

func (p *Pool) initOverload(s overload.Settings, seed uint64) error {
	site := &p.engine.config.Site.Settings
	s.Seed, s.OverShareWeight = seed, site.OverShareWorth
	s.Goal = overload.Goal{Overall: site.Goal.Whole + site.Goal.WorstWindow + site.Goal.WorstTenant, WorstClass: site.Goal.WorstClass}
	for i := range site.Classes {
		s.Classes = append(s.Classes, overload.Class{PriorityWeight: site.Classes[i].Worth, LatencyObjective: site.Classes[i].Aim})
	}
	for i := range site.Tenants {
		s.Tenants = append(s.Tenants, overload.Tenant{Allowance: site.Tenants[i].Allowance})
	}
	control, err := overload.New(s)
	if err != nil {
		return err
	}
	l := &overloadState{control: control, inFlightField: -1, servedField: -1}
	for i, f := range p.engine.config.Site.Settings.Fields {
		switch f {
		case balancer.FieldInflight:
			l.inFlightField = i
		case balancer.FieldServed:
			l.servedField = i
		}
	}
	p.overload = l
	p.refreshBounds(0)
	p.balancer.Bound(&l.bounds)
	return nil
}

// rebound brings the balancer's bounds up to date.
func (p *Pool) refreshBounds(now monotime.Micros) {
	l := p.overload
	b := l.control.Bounds(now)
	l.bounds = balancer.Bounds{Admit: b.AdmitRatio, Excess: b.ExcessAdmitRatio, Inside: b.WithinShareRatio, Again: b.RepeatAdmitRatio, Waits: b.QueueWaitFraction, First: b.FloorQueueWaitFraction,
		Floor: b.FloorRatio, PassEvery: b.ForcedAdmitInterval, Further: b.RetryAllowed || p.hasRetryQuota(now), Probes: b.ProbeRate}
	l.decided = b
	if b.Reason != l.loggedReason && now-l.loggedAt >= second {
		l.loggedReason, l.loggedAt = b.Reason, now
		p.engine.config.Host.Log("overload", "pool", p.name, "reason", b.Reason.String(), "load", b.Load, "let", b.AdmittedRatio, "level", b.Level)
	}
}

// turnsAway answers a request that the overload leaves no room for, and says whether it did.
func (p *Pool) shed(now monotime.Micros, c *Call) bool {
	l := p.overload
	if l == nil {
		return false
	}
	tenant := -1
	if int(c.Request.Tenant) < len(p.engine.config.Site.Settings.Tenants) {
		tenant = int(c.Request.Tenant)
	}
	l.control.OnRequest(now, int(c.Request.Class), tenant, c.Request.Retry)
	p.refreshBounds(now)
	after, yes := p.balancer.TurnsAway(c.Request)
	if yes {
		l.shedRequests++
		l.control.OnRejected(now, int(c.Request.Class), false)
		p.observeRejection(now)
		p.engine.respond(c, Response{Verdict: Rejected, RetryAfter: after, Reason: "the endpoints cannot do all that is asked for"})
	}
	return yes
}

// attemptEnded tells the control how an attempt ended.
func (p *Pool) observeAttempt(now monotime.Micros, a *Attempt, r AttemptResult, took monotime.Micros) {
	l := p.overload
	if l == nil {
		return
	}
	how := overload.Failed
	switch r.Status {
	case balancer.OK:
		how = overload.Answered
	case balancer.Full, balancer.Timeout:
		how = overload.Overloaded
	case balancer.Cancelled, balancer.Moot:
		how = overload.Cancelled
	}
	l.control.OnAttemptEnded(now, int(a.Call.Request.Class), a.Number == 0, how, took)
	l.observeLoad(now, r.Load)
	p.requestRetryQuota(now, a, r.Status)
	p.refreshBounds(now)
}

// reported tells the control what an endpoint says of its load.
func (l *overloadState) observeLoad(now monotime.Micros, load []float32) {
	if l.inFlightField >= 0 && l.servedField >= 0 && max(l.inFlightField, l.servedField) < len(load) {
		l.control.OnLoadReport(now, overload.LoadReport{InFlight: float64(load[l.inFlightField]), ServedRate: float64(load[l.servedField])})
	}
}

// probed tells the control what a probe's answer says.
func (p *Pool) observeProbe(now monotime.Micros, r *AttemptResult) {
	if p.overload != nil && r.Status == balancer.OK {
		p.overload.observeLoad(now, r.Load)
		p.refreshBounds(now)
	}
}

// counted tells the control how many endpoints the fleet shares: all that are listed, also where this instance deals with a part.
func (p *Pool) updateEndpointCount() {
	if p.overload == nil {
		return
	}
	n := 0
	if p.subset != nil {
		for name, m := range p.subset.endpoints {
			if m.State == balancer.Ready && !p.engine.cordons.Out(name) {
				n++
			}
		}
	} else {
		for _, e := range p.byName {
			if e.state == balancer.Ready && !e.excluded {
				n++
			}
		}
	}
	p.overload.control.SetEndpointCount(n)
}
