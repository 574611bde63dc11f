package engine

import (
	"slices"
	"sync/atomic"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Members tells news of the list.
func (p *Pool) UpdateEndpoints(now monotime.Micros, told EndpointUpdate) {
	if p.dissolved {
		return
	}
	p.engine.now = now
	p.applyUpdate(now, told)
	p.engine.dispatchQueued(now)
}

// Endpoint is an entry of the list.
type Endpoint struct {
	Number        uint32 // for the balancer
	Name          string
	Addr          string
	Target        Target // of the address
	state         balancer.State
	excluded      bool         // out by hand, or by order
	utilization   float64      // how busy it says that it is, 0 to 1, on the mean
	stopSendingAt atomic.Int64 // nothing new goes out from this instant on; 0: no such instant. Attempts read it
}

// MaySend says whether the first byte of an attempt may still go out: an endpoint that drains gets nothing new past the
// grace, and connecting may have outlasted it. It may be called beside the engine.
func (e *Endpoint) MaySend(now monotime.Micros) bool {
	stop := e.stopSendingAt.Load()
	return stop == 0 || now < stop
}

// graceMargin is kept from the grace for drains: the send's first byte must arrive within it.
const drainGraceMargin = 50_000

// Member is an entry of the list of endpoints, with names where the balancer has numbers.
type EndpointInfo struct {
	Name      string          `json:"Name"`
	Addr      string          `json:"Addr"` // may be empty for what is gone
	Zone      string          `json:"Zone"`
	Kind      string          `json:"Kind"`
	Cell      uint16          `json:"Cell"`
	State     balancer.State  `json:"State"`
	Weight    float32         `json:"Weight"`
	StartedAt monotime.Micros `json:"Started"` // Unix time of its latest start; 0 for long ago
}

// Told is news of the list of endpoints. The generations of one discovery only grow.
type EndpointUpdate struct {
	Kind             balancer.ListKind
	Generation       int64
	NewSource        bool // it comes from another discovery, whose generations are its own
	GenerationsReset bool // with Anew: it is the same discovery, whose generations have begun anew
	Endpoints        []EndpointInfo
}

// members passes news of the list on, with names turned into numbers. What is older than the list held is passed
// over: it would bring back endpoints that are known to be draining.
func (p *Pool) applyUpdate(now monotime.Micros, told EndpointUpdate) {
	if told.Kind == balancer.ListFailed {
		p.balancer.Members(now, told.Kind, nil)
		return
	}
	if told.Generation < p.generation && !told.NewSource {
		p.engine.config.Host.Warn("stale list passed over", "pool", p.name, "generation", told.Generation, "have", p.generation)
		return
	}
	p.generation = told.Generation
	if o := p.engine.config.Observer; o != nil {
		o.EndpointsUpdated(now, told)
	}
	if p.subset != nil {
		told = p.subset.applyUpdate(now, told)
		defer p.scheduleSubsetStep()
	}
	p.updateBalancer(now, told)
}

// apply tells the balancer of endpoints.
func (p *Pool) updateBalancer(now monotime.Micros, told EndpointUpdate) {
	entries := make([]balancer.Endpoint, 0, len(told.Endpoints))
	named := map[string]bool{}
	for _, m := range told.Endpoints {
		if m.Name == "" || m.Addr == "" && m.State != balancer.Gone {
			p.engine.config.Host.Warn("entry of the list passed over: no id or no address", "pool", p.name, "id", m.Name)
			continue
		}
		named[m.Name] = true
		e := p.byName[m.Name]
		if e == nil {
			if m.State == balancer.Gone {
				continue
			}
			p.lastNumber++
			e = &Endpoint{Number: p.lastNumber, Name: m.Name, Addr: m.Addr, Target: p.engine.config.Host.NewTarget(m.Addr)}
			p.byName[m.Name], p.byNumber[e.Number] = e, e
		}
		if m.Addr != "" && m.Addr != e.Addr {
			e.Target.Drop()
			e.Addr, e.Target = m.Addr, p.engine.config.Host.NewTarget(m.Addr)
		}
		if old := p.endpointList[m.Name]; told.GenerationsReset && e.state == balancer.Draining && old.StartedAt == m.StartedAt {
			m.State = max(m.State, balancer.Draining) // it may be older than what told of the drain
		}
		p.endpointList[m.Name] = m
		p.setEndpointState(now, m.Name, e, m.State)
		entries = append(entries, balancer.Endpoint{ID: e.Number, Zone: indexOf(p.engine.config.Site.Zones, m.Zone),
			Kind: indexOf(p.engine.config.Site.Kinds, m.Kind), Cell: m.Cell, State: m.State, Share: m.Weight,
			StartTime: m.StartedAt})
	}
	if told.Kind != balancer.ListDelta {
		for name, e := range p.byName {
			if !named[name] {
				p.setEndpointState(now, name, e, balancer.Gone)
			}
		}
	}
	p.balancer.Members(now, told.Kind, entries)
	for name, e := range p.byName { // one that is new is in, and has had no chance to get anything
		p.applyExclusion(now, name, e)
	}
	p.updateEndpointCount()
	for _, e := range p.byName {
		if e.state == balancer.Ready {
			if !p.engine.ready {
				p.engine.ready = true
				p.engine.config.Host.EndpointReady()
			}
			break
		}
	}
}

// setState notes from when on nothing new may go to an endpoint. The balancer stops at once; this is for
// attempts that are waiting for a connection.
func (p *Pool) setEndpointState(now monotime.Micros, name string, e *Endpoint, state balancer.State) {
	switch {
	case e.excluded: // nothing goes out since then, whatever is told
	case state == balancer.Ready:
		e.stopSendingAt.Store(0)
	case e.state == balancer.Ready:
		e.stopSendingAt.Store(max(1, now+p.engine.config.Site.Settings.Contract.DrainGrace-drainGraceMargin))
	}
	e.state = state
	if state == balancer.Gone {
		e.Target.Drop()
		delete(p.byName, name)
		delete(p.endpointList, name)
		delete(p.byNumber, e.Number)
	}
}

// index returns the place of a name in the settings, or one past all places.
func indexOf(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 {
		return uint8(i)
	}
	return 255
}
