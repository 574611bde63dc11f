package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Probe requests a load report from an endpoint, if the probe budgets allow it.
func (act actions) Probe(number uint32) {
	if e := act.pool.byNumber[number]; e != nil && act.pool.allowProbe(act.now, number) {
		act.openProbes++
		act.config.Host.StartProbe(act.pool, e)
	}
}

// allowProbe decides whether the balancer may send a probe: within the probe budget of overload control (in probes a
// second, Controller.TakeProbe), and within this instance's part of the endpoints' probe budgets where it uses a
// subset. The balancer gets the outcome NotSent of a suppressed probe as the next event, since requests may wait for
// it.
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

// probeQuota returns a function that takes a probe out of the quota that the fleet has leased to this instance, and
// reports whether there was one; nil where probes have no fleet budget.
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

// ProbeEnded reports the outcome of a probe that was sent at an instant.
func (eng *Engine) ProbeEnded(now monotime.Micros, p *Pool, e *Endpoint, sentAt monotime.Micros, r AttemptResult) {
	eng.now = now
	eng.openProbes--
	latency := max(0, r.ObservedAt-sentAt)
	if o := eng.config.Observer; o != nil {
		o.ProbeEnded(now, e.Name, r.Status, latency)
	}
	stalled := eng.stalls.Within(sentAt, r.ObservedAt)
	if isInconclusive(latency, stalled) {
		r.Status = balancer.NotSent // its load report is old by now
		r.Load = nil
	}
	p.observeUtilization(e, r.Load)
	p.observeProbe(now, &r)
	p.balancer.HandleProbe(now, e.Number, r.Status, latency-stalled, r.Load)
	eng.dispatchQueued(now)
}

// observeProbe passes the answer of a probe to overload control.
func (p *Pool) observeProbe(now monotime.Micros, r *AttemptResult) {
	if p.overload != nil && r.Status == balancer.OK {
		p.overload.observeLoadReport(now, r.Load)
		p.refreshBounds(now)
	}
}
