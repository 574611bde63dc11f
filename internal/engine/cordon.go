package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

// SetCordon takes an endpoint out of service in all pools that list it, or lets it back in. The instant at is on the
// clock of cordons, which all processes that exchange them share. It returns the cordon that was set; known is false,
// and nothing is changed, for a name that no pool lists and that is not cordoned.
func (x *Engine) SetCordon(now monotime.Micros, name string, out bool, at monotime.Micros) (
	entry cordon.Record, known bool) {
	for _, p := range x.pools {
		known = known || p.listsEndpoint(name)
	}
	if !known && !x.cordons.Cordoned(name) {
		return cordon.Record{}, false
	}
	entry = cordon.Record{Name: name, Cordoned: out, At: max(at, x.cordons.LastChange(name)+1)}
	x.ReceiveCordon(now, entry)
	return entry, true
}

// ReceiveCordon applies a cordon that was set here or in another process. One that is older than the latest of its
// endpoint changes nothing.
func (x *Engine) ReceiveCordon(now monotime.Micros, entry cordon.Record) {
	x.now = now
	if !x.cordons.Apply(entry) {
		return
	}
	x.config.Host.Log("endpoint cordon changed", "endpoint", entry.Name, "out", entry.Cordoned)
	for _, p := range x.pools {
		if e := p.byName[entry.Name]; e != nil {
			p.applyExclusion(now, entry.Name, e)
		}
		p.updateEndpointCount()
	}
	x.dispatchQueued(now)
}

// Cordons returns all cordons, for another process that is to hold the same.
func (x *Engine) Cordons() []cordon.Record { return x.cordons.Records() }

// setExcluded has the balancer send nothing more to an endpoint, or lets it send there again. Attempts that wait for a
// connection are stopped, too.
func (p *Pool) setExcluded(now monotime.Micros, e *Endpoint, excluded bool) {
	if e.excluded == excluded {
		return
	}
	e.excluded = excluded
	if excluded {
		e.stopSendingAt.Store(max(1, now))
	} else if e.state == balancer.Ready {
		e.stopSendingAt.Store(0)
	}
	p.balancer.SetCordon(now, e.Number, excluded)
}

// listsEndpoint reports whether the pool's endpoint list has a name.
func (p *Pool) listsEndpoint(name string) bool {
	if p.subset != nil {
		_, listed := p.subset.endpoints[name]
		return listed
	}
	return p.byName[name] != nil
}
