package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Probe requests a load report from an endpoint, if the probe budgets allow it.
func (x actions) Probe(number uint32) {
	if e := x.pool.byNumber[number]; e != nil && x.pool.allowProbe(x.now, number) {
		x.openProbes++
		x.config.Host.StartProbe(x.pool, e)
	}
}

// allowProbe decides whether the balancer may send a probe: within the probe budget of overload control (in probes a
// second, Controller.TakeProbe), and within this instance's part of the endpoints' probe budgets where it uses a
// subset. The balancer gets the outcome NotSent of a suppressed probe as the next event, since requests may wait for
// it.
func (p *Pool) allowProbe(now monotime.Micros, number uint32) bool {
	allowed := true
	if o := p.overload; o != nil && !o.control.TakeProbe(now, p.probeQuota(now)) {
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
func (x *Engine) ProbeEnded(now monotime.Micros, p *Pool, e *Endpoint, sentAt monotime.Micros, r AttemptResult) {
	x.now = now
	x.openProbes--
	latency := max(0, r.ObservedAt-sentAt)
	if o := x.config.Observer; o != nil {
		o.ProbeEnded(now, e.Name, r.Status, latency)
	}
	stalled := x.stalls.Within(sentAt, r.ObservedAt)
	if isInconclusive(latency, stalled) {
		r.Status = balancer.NotSent // its load report is old by now
		r.Load = nil
	}
	p.observeUtilization(e, r.Load)
	p.observeProbe(now, &r)
	p.balancer.HandleProbe(now, e.Number, r.Status, latency-stalled, r.Load)
	x.dispatchQueued(now)
}

// observeProbe passes the answer of a probe to overload control.
func (p *Pool) observeProbe(now monotime.Micros, r *AttemptResult) {
	if p.overload != nil && r.Status == balancer.OK {
		p.overload.observeLoad(now, r.Load)
		p.refreshBounds(now)
	}
}
