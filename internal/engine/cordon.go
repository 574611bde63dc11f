package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

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
