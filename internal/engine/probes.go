package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Probe requests a load report from an endpoint if the probe budgets allow it.
func (act actions) Probe(number uint32) {
	if e := act.pool.byNumber[number]; e != nil && act.pool.allowProbe(act.now, number) {
		act.openProbes++
		act.config.Host.StartProbe(act.pool, e)
	}
}

// allowProbe decides whether the balancer may send a probe. The probe must be within the probe budget of
// overload control (Controller.TakeProbe) and, if the instance uses a subset, within its share of the
// endpoints' probe budgets. For a suppressed probe the balancer gets the outcome NotSent in the next event,
// since requests may be waiting for the probe.
func (p *Pool) allowProbe(now monotime.Micros, number uint32) bool {
	allowed := true
	if o := p.overload; o != nil && !o.controller.TakeProbe(now, p.probeQuota(now)) {
		allowed = false
		o.suppressedProbes++
	}
	if s := p.subset; allowed && s != nil {
		allowed, _ = s.probeBudget.Take(now, s.initialProbeTokens)
	}
	if !allowed {
		p.engine.schedule(now, func(now monotime.Micros) {
			if !p.dissolved {
				p.balancer.HandleProbe(now, number, balancer.NotSent, 0, nil)
			}
		})
	}
	return allowed
}

// probeQuota returns a function that spends a unit of the probe quota that the fleet has leased to this
// instance, and reports whether a unit was available. It returns nil if probes have no fleet budget.
func (p *Pool) probeQuota(now monotime.Micros) func() bool {
	f := p.engine.fleet
	if f == nil || !f.Scope.Probes {
		return nil
	}
	return func() bool {
		budget := p.budgetName(probeBudget)
		f.member.RecordDemand(now, budget)
		return p.engine.spendQuota(now, budget)
	}
}

// ProbeEnded reports the outcome of a probe that was sent at sentAt.
func (eng *Engine) ProbeEnded(now monotime.Micros, p *Pool, e *Endpoint, sentAt monotime.Micros, r AttemptResult) {
	eng.now = now
	eng.openProbes--
	latency := max(0, r.ObservedAt-sentAt)
	if o := eng.config.Observer; o != nil {
		o.ProbeEnded(now, e.Name, r.Status, latency)
	}
	stalled := eng.stalls.Within(sentAt, r.ObservedAt)
	if isInconclusive(latency, stalled) {
		r.Status = balancer.NotSent // its load report is out of date
		r.Load = nil
	}
	p.observeUtilization(e, r.Load)
	p.observeProbe(now, &r)
	p.balancer.HandleProbe(now, e.Number, r.Status, latency-stalled, r.Load)
	eng.dispatchQueued(now)
}

// observeProbe passes the load report of a successful probe to overload control.
func (p *Pool) observeProbe(now monotime.Micros, r *AttemptResult) {
	if p.overload != nil && r.Status == balancer.OK {
		p.overload.observeLoadReport(now, r.Load)
		p.refreshBounds(now)
	}
}
