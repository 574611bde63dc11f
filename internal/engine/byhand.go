package engine

import (
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

// This file holds what operators say and ask: endpoints out by hand, and figures.

// ByHand takes an endpoint out of all pools that have it, or lets it in again; at is the instant on the clock of words,
// which all who exchange them read alike. known is false for a name that nobody has: then nothing is changed, and there is
// no word. A name that is out is known whether or not a list has it.
func (x *Engine) SetCordon(now monotime.Micros, name string, out bool, at monotime.Micros) (w cordon.Word, known bool) {
	for _, p := range x.pools {
		known = known || p.listsEndpoint(name)
	}
	if !known && !x.cordons.Out(name) {
		return cordon.Word{}, false
	}
	w = cordon.Word{Name: name, Out: out, At: max(at, x.cordons.Latest(name)+1)}
	x.ReceiveCordon(now, w)
	return w, true
}

// Hear takes a word in that was said here or elsewhere.
func (x *Engine) ReceiveCordon(now monotime.Micros, w cordon.Word) {
	x.now = now
	if !x.cordons.Say(w) {
		return
	}
	x.config.Host.Log("endpoint by hand", "endpoint", w.Name, "out", w.Out)
	for _, p := range x.pools {
		if e := p.byName[w.Name]; e != nil {
			p.applyExclusion(now, w.Name, e)
		}
		p.updateEndpointCount()
	}
	x.dispatchQueued(now)
}

// Words returns the words on endpoints by hand, for another that is to hold the same.
func (x *Engine) Cordons() []cordon.Word { return x.cordons.Words() }

// ban has the balancer obey, and keeps in what waits for a connection.
func (p *Pool) setExcluded(now monotime.Micros, e *Endpoint, out bool) {
	if e.excluded == out {
		return
	}
	if e.excluded = out; out {
		e.stopSendingAt.Store(max(1, now))
	} else if e.state == balancer.Ready {
		e.stopSendingAt.Store(0)
	}
	p.balancer.Ban(now, e.Number, out)
}

// has says whether the pool's list has a name.
func (p *Pool) listsEndpoint(name string) bool {
	if p.subset != nil {
		_, listed := p.subset.endpoints[name]
		return listed
	}
	return p.byName[name] != nil
}

// Figures are what an engine shows of itself, of one instant.
type Statistics struct {
	ListedEndpoints  int // endpoints in the lists of all pools
	AvoidedEndpoints int // of these, those that get nothing now by hand or by choice

	// Of the overload (package overload), where it is decided.
	OverloadControlled bool
	OverloadLevel      float64 // the lowest of all pools
	ShedRequests       uint64  // requests turned away by it so far
	SuppressedProbes   uint64  // probes that the budget did not let out so far

	// Of what is decided with the others of the fleet.
	HasTenantLimits    bool   // tenants have limits
	RequestsOverLimit  uint64 // requests beyond them so far
	QuotaLeased        bool   // a loan is in force
	SuspectedEndpoints int    // classes at endpoints that are better left out, by what all have seen
}

// Figures returns them.
func (x *Engine) Statistics(now monotime.Micros) (f Statistics) {
	if t := x.fleet; t != nil {
		f.HasTenantLimits, f.RequestsOverLimit, f.SuspectedEndpoints = slices.ContainsFunc(t.tenantBudgets, func(b string) bool { return b != "" }), t.requestsOverLimit, len(t.suspicions)
		f.QuotaLeased = t.member.View(now).Loan > 0
	}
	for _, p := range x.pools {
		f.ListedEndpoints += len(p.byName)
		if p.subset != nil {
			f.ListedEndpoints += len(p.subset.endpoints) - len(p.byName)
		}
		if l := p.overload; l != nil {
			if !f.OverloadControlled || l.decided.Level < f.OverloadLevel {
				f.OverloadLevel = l.decided.Level
			}
			f.OverloadControlled = true
			f.ShedRequests += l.shedRequests
			f.SuppressedProbes += l.suppressedProbes
		}
		for _, e := range p.byName {
			if p.balancer.Avoids(now, e.Number) {
				f.AvoidedEndpoints++
			}
		}
	}
	return f
}
