package engine

import (
	"slices"
	"sync/atomic"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Endpoint is an endpoint that the balancer of a pool knows. It belongs to its engine; only MaySend may be called from
// other goroutines.
type Endpoint struct {
	Number uint32 // the balancer's ID of it
	Name   string
	Addr   string
	Target Target // for Addr

	state         balancer.EndpointState
	excluded      bool         // cordoned, or excluded by the maintenance plan
	utilization   float64      // moving average of the utilization that it reports, 0 to 1
	stopSendingAt atomic.Int64 // no attempt is sent from this instant on, in microseconds; 0 is no such instant
}

// MaySend decides, right before the first byte of an attempt is written, whether the endpoint may still get it. The
// balancer has picked the endpoint before; a slow dial may have outlasted the drain grace since, or the endpoint may
// have been excluded. It is safe for concurrent use.
func (e *Endpoint) MaySend(now monotime.Micros) bool {
	stopAt := e.stopSendingAt.Load()
	return stopAt == 0 || now < stopAt
}

// EndpointInfo is an entry of an endpoint list, with names where the balancer has numbers.
type EndpointInfo struct {
	Name      string                 `json:"Name"`
	Addr      string                 `json:"Addr"` // may be empty with balancer.Gone
	Zone      string                 `json:"Zone"`
	Kind      string                 `json:"Kind"`
	Cell      uint16                 `json:"Cell"`
	State     balancer.EndpointState `json:"State"`
	Weight    float32                `json:"Weight"`
	StartedAt monotime.Micros        `json:"Started"` // Unix time of its latest start; 0 as in balancer.Endpoint
}

// EndpointUpdate is an update of an endpoint list. The generations of one source only grow.
type EndpointUpdate struct {
	Kind             balancer.ListKind
	Generation       int64
	NewSource        bool // it comes from another source, with generations of its own
	GenerationsReset bool // with NewSource: it is the same source, which counts its generations anew
	Endpoints        []EndpointInfo
}

// unknownIndex stands for a zone or kind that the settings do not name.
const unknownIndex = 255

// UpdateEndpoints applies an update of the endpoint list. One that is older than the current list is ignored, unless it
// comes from a new source.
func (p *Pool) UpdateEndpoints(now monotime.Micros, update EndpointUpdate) {
	if p.dissolved {
		return
	}
	p.engine.now = now
	p.applyUpdate(now, update)
	p.engine.dispatchQueued(now)
}

// applyUpdate applies an update, unless its generation is older than that of the current list and it comes from the
// same source: an old list would bring back endpoints that are known to be draining.
func (p *Pool) applyUpdate(now monotime.Micros, update EndpointUpdate) {
	if update.Kind == balancer.ListFailed {
		p.balancer.UpdateEndpoints(now, update.Kind, nil)
		return
	}
	if update.Generation < p.generation && !update.NewSource {
		p.engine.config.Host.Warn("stale endpoint list ignored",
			"pool", p.name, "generation", update.Generation, "have", p.generation)
		return
	}
	p.generation = update.Generation
	if o := p.engine.config.Observer; o != nil {
		o.EndpointsUpdated(now, update)
	}
	if p.subset == nil {
		p.updateBalancer(now, update)
		return
	}
	p.updateBalancer(now, p.subset.applyUpdate(now, update))
	p.scheduleSubsetStep()
}

// updateBalancer passes an update of the endpoints in use to the balancer.
func (p *Pool) updateBalancer(now monotime.Micros, update EndpointUpdate) {
	entries := make([]balancer.Endpoint, 0, len(update.Endpoints))
	listed := map[string]bool{}
	for _, info := range update.Endpoints {
		if info.Name == "" || info.Addr == "" && info.State != balancer.Gone {
			p.engine.config.Host.Warn("endpoint list entry without ID or address ignored",
				"pool", p.name, "id", info.Name)
			continue
		}
		listed[info.Name] = true
		if entry, ok := p.updateEndpoint(now, info, update.GenerationsReset); ok {
			entries = append(entries, entry)
		}
	}
	if update.Kind != balancer.ListDelta {
		for name, e := range p.byName {
			if !listed[name] {
				p.setEndpointState(now, name, e, balancer.Gone)
			}
		}
	}
	p.balancer.UpdateEndpoints(now, update.Kind, entries)
	for name, e := range p.byName { // in any order: only new endpoints change here, which have no requests yet
		p.applyExclusion(now, name, e)
	}
	p.updateEndpointCount()
	p.reportReady()
}

// updateEndpoint applies one entry and returns the balancer's form of it; ok is false for an unknown endpoint that is
// gone. After a reset of generations an entry may be older than a drain that is known: an endpoint that drains and
// has not restarted since then goes on draining.
func (p *Pool) updateEndpoint(now monotime.Micros, info EndpointInfo, generationsReset bool) (
	entry balancer.Endpoint, ok bool) {
	site := p.engine.config.Site
	e := p.byName[info.Name]
	if e == nil {
		if info.State == balancer.Gone {
			return balancer.Endpoint{}, false
		}
		p.lastNumber++
		e = &Endpoint{
			Number: p.lastNumber,
			Name:   info.Name,
			Addr:   info.Addr,
			Target: p.engine.config.Host.NewTarget(p.name, info.Addr),
		}
		p.byName[info.Name] = e
		p.byNumber[e.Number] = e
	}
	if info.Addr != "" && info.Addr != e.Addr {
		e.Target.Drop()
		e.Addr = info.Addr
		e.Target = p.engine.config.Host.NewTarget(p.name, info.Addr)
	}
	if previous := p.endpointList[info.Name]; generationsReset && e.state == balancer.Draining &&
		previous.StartedAt == info.StartedAt {
		info.State = max(info.State, balancer.Draining)
	}
	p.endpointList[info.Name] = info
	p.setEndpointState(now, info.Name, e, info.State)
	return balancer.Endpoint{
		ID:        e.Number,
		Zone:      indexOf(site.Zones, info.Zone),
		Kind:      indexOf(site.Kinds, info.Kind),
		Cell:      info.Cell,
		State:     info.State,
		Share:     info.Weight,
		StartTime: info.StartedAt,
	}, true
}

// drainGraceMargin is subtracted from Contract.DrainGrace: requests must have arrived within the grace, not only have
// been sent.
const drainGraceMargin = 50 * monotime.Millisecond

// setEndpointState notes an endpoint's state, and from when on attempts that wait for a connection to it may not be
// sent: once it is no longer ready, after the drain grace less a margin. The balancer picks it no more at once.
func (p *Pool) setEndpointState(now monotime.Micros, name string, e *Endpoint, state balancer.EndpointState) {
	switch {
	case e.excluded: // stopSendingAt stays as setExcluded has set it
	case state == balancer.Ready:
		e.stopSendingAt.Store(0)
	case e.state == balancer.Ready:
		grace := p.engine.config.Site.Settings.Contract.DrainGrace
		e.stopSendingAt.Store(max(1, now+grace-drainGraceMargin))
	}
	e.state = state
	if state == balancer.Gone {
		e.Target.Drop()
		delete(p.byName, name)
		delete(p.endpointList, name)
		delete(p.byNumber, e.Number)
	}
}

// reportReady notifies the host once, when an endpoint of any pool is ready.
func (p *Pool) reportReady() {
	if p.engine.ready {
		return
	}
	for _, e := range p.byName {
		if e.state == balancer.Ready {
			p.engine.ready = true
			p.engine.config.Host.EndpointReady()
			return
		}
	}
}

// indexOf returns the index of a name in the settings, or unknownIndex.
func indexOf(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 {
		return uint8(i)
	}
	return unknownIndex
}
