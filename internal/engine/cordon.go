package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

// SetCordon cordons an endpoint in all pools that list it, so that it gets no new requests, or uncordons it if
// cordoned is false. An uncordoned endpoint starts a warm-up unless the maintenance plan still excludes it.
// setAt is the instant of the change on the clock of cordon records, which all processes that exchange cordons
// share. SetCordon returns the record of the change. known is false, and nothing changes, if no pool lists the
// name and it is not cordoned.
func (eng *Engine) SetCordon(now monotime.Micros, name string, cordoned bool, setAt monotime.Micros) (
	record cordon.Record, known bool) {
	for _, p := range eng.pools {
		known = known || p.listsEndpoint(name)
	}
	if !known && !eng.cordons.Cordoned(name) {
		return cordon.Record{}, false
	}
	record = cordon.Record{Name: name, Cordoned: cordoned, At: max(setAt, eng.cordons.LastChange(name)+1)}
	eng.ReceiveCordon(now, record)
	return record, true
}

// ReceiveCordon applies a cordon record of this process or of another one. A record that is not newer than the
// latest record of the same endpoint is ignored.
func (eng *Engine) ReceiveCordon(now monotime.Micros, record cordon.Record) {
	eng.now = now
	if !eng.cordons.Apply(record) {
		return
	}
	eng.config.Host.Log("endpoint cordon changed", "endpoint", record.Name, "out", record.Cordoned)
	for _, p := range eng.pools {
		if e := p.byName[record.Name]; e != nil {
			p.applyExclusion(now, record.Name, e)
		}
		p.updateEndpointCount()
	}
	eng.dispatchQueued(now)
}

// Cordons returns all cordon records, so that another process can apply them.
func (eng *Engine) Cordons() []cordon.Record { return eng.cordons.Records() }

// setExcluded excludes an endpoint from new requests or admits it again. The balancer does not pick an excluded
// endpoint, and attempts that still wait for a connection to it are not sent (Endpoint.MaySend).
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

// listsEndpoint reports whether the pool's full endpoint list contains a name.
func (p *Pool) listsEndpoint(name string) bool {
	if p.subset != nil {
		_, listed := p.subset.endpoints[name]
		return listed
	}
	return p.byName[name] != nil
}
