package engine

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/monotime"
)

// SetCordon cordons an endpoint in all pools that list it: it gets no new requests. With cordoned false it uncordons
// it: it starts a warm-up, unless the maintenance plan excludes it still. The instant at is on the clock of cordons,
// which all processes that exchange them share. It returns the record of the change; known is false, and nothing is
// changed, for a name that no pool lists and that is not cordoned.
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

// ReceiveCordon applies a record of a cordon that was set here or in another process. One that is not newer than the
// latest of its endpoint changes nothing.
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

// Cordons returns all records of cordons, for another process that has to have the same.
func (eng *Engine) Cordons() []cordon.Record { return eng.cordons.Records() }

// setExcluded decides whether an endpoint gets new requests: the balancer picks an excluded one no more, and attempts
// that wait for a connection to it are not sent (Endpoint.MaySend).
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
