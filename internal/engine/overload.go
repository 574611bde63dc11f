package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

// loaded is a pool whose instance bounds what it adds to the load of endpoints that others load, too (package overload).
type loaded struct {
	control  *overload.Controller
	bounds   balancer.Bounds // the balancer's, kept up to date
	decided  overload.Bounds // the same, as decided
	told     overload.Reason // in the log
	toldAt   monotime.Micros
	shed     uint64 // requests turned away by the level
	keptIn   uint64 // probes that the budget did not let out
	inflight int    // places of figures in a load report; -1 is that it has none
	served   int
}

func (p *Pool) bound(s overload.Settings, seed uint64) error {
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
	l := &loaded{control: control, inflight: -1, served: -1}
	for i, f := range p.engine.config.Site.Settings.Fields {
		switch f {
		case balancer.FieldInflight:
			l.inflight = i
		case balancer.FieldServed:
			l.served = i
		}
	}
	p.loaded = l
	p.rebound(0)
	p.balancer.Bound(&l.bounds)
	return nil
}

// rebound brings the balancer's bounds up to date.
func (p *Pool) rebound(now monotime.Micros) {
	l := p.loaded
	b := l.control.Bounds(now)
	l.bounds = balancer.Bounds{Admit: b.AdmitRatio, Excess: b.ExcessAdmitRatio, Inside: b.WithinShareRatio, Again: b.RepeatAdmitRatio, Waits: b.QueueWaitFraction, First: b.FloorQueueWaitFraction,
		Floor: b.FloorRatio, PassEvery: b.ForcedAdmitInterval, Further: b.RetryAllowed || p.lendsFurther(now), Probes: b.ProbeRate}
	l.decided = b
	if b.Reason != l.told && now-l.toldAt >= second {
		l.told, l.toldAt = b.Reason, now
		p.engine.config.Host.Log("overload", "pool", p.name, "reason", b.Reason.String(), "load", b.Load, "let", b.AdmittedRatio, "level", b.Level)
	}
}

// turnsAway answers a request that the overload leaves no room for, and says whether it did.
func (p *Pool) turnsAway(now monotime.Micros, c *Call) bool {
	l := p.loaded
	if l == nil {
		return false
	}
	tenant := -1
	if int(c.In.Tenant) < len(p.engine.config.Site.Settings.Tenants) {
		tenant = int(c.In.Tenant)
	}
	l.control.OnRequest(now, int(c.In.Class), tenant, c.In.Retry)
	p.rebound(now)
	after, yes := p.balancer.TurnsAway(c.In)
	if yes {
		l.shed++
		l.control.OnRejected(now, int(c.In.Class), false)
		p.turnedAway(now)
		p.engine.finish(c, Answer{Verdict: Refused, RetryAfter: after, Reason: "the endpoints cannot do all that is asked for"})
	}
	return yes
}

// attemptEnded tells the control how an attempt ended.
func (p *Pool) attemptEnded(now monotime.Micros, a *Attempt, r Reply, took monotime.Micros) {
	l := p.loaded
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
	l.control.OnAttemptEnded(now, int(a.Call.In.Class), a.Number == 0, how, took)
	l.reported(now, r.Load)
	p.wantsFurther(now, a, r.Status)
	p.rebound(now)
}

// reported tells the control what an endpoint says of its load.
func (l *loaded) reported(now monotime.Micros, load []float32) {
	if l.inflight >= 0 && l.served >= 0 && max(l.inflight, l.served) < len(load) {
		l.control.OnLoadReport(now, overload.LoadReport{InFlight: float64(load[l.inflight]), ServedRate: float64(load[l.served])})
	}
}

// probed tells the control what a probe's answer says.
func (p *Pool) probed(now monotime.Micros, r *Reply) {
	if p.loaded != nil && r.Status == balancer.OK {
		p.loaded.reported(now, r.Load)
		p.rebound(now)
	}
}

// counted tells the control how many endpoints the fleet shares: all that are listed, also where this instance deals with a part.
func (p *Pool) counted() {
	if p.loaded == nil {
		return
	}
	n := 0
	if p.narrowed != nil {
		for name, m := range p.narrowed.whole {
			if m.State == balancer.Ready && !p.engine.bans.Out(name) {
				n++
			}
		}
	} else {
		for _, e := range p.byName {
			if e.state == balancer.Ready && !e.banned {
				n++
			}
		}
	}
	p.loaded.control.SetEndpointCount(n)
}
