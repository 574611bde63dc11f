package engine

import (
	"slices"
	"sync/atomic"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// Endpoint is an endpoint in the list of a pool's balancer. It belongs to its engine; only MaySend and IsAt may
// be called from other goroutines.
type Endpoint struct {
	Number uint32 // ID that the balancer uses for the endpoint
	Name   string
	Addr   string
	Target Target // the host's handle for Addr

	state         balancer.EndpointState
	excluded      bool         // cordoned, or excluded by the maintenance plan
	utilization   float64      // moving average of the reported utilization, 0 to 1
	stopSendingAt atomic.Int64 // instant in microseconds from which no attempt is sent; 0 is no limit

	addressVersion atomic.Uint32 // AddressVersion of Addr
}

// MaySend reports whether an attempt may still be sent to the endpoint. The host calls it immediately before it
// writes the first byte, because after the balancer picked the endpoint, the drain grace may have passed during
// a slow dial, or the endpoint may have been excluded. MaySend is safe for concurrent use.
func (e *Endpoint) MaySend(now monotime.Micros) bool {
	stopAt := e.stopSendingAt.Load()
	return stopAt == 0 || now < stopAt
}

// EndpointInfo is an entry of an endpoint list. It has names where balancer.Endpoint has numbers.
type EndpointInfo struct {
	Name      string                 `json:"Name"`
	Addr      string                 `json:"Addr"` // may be empty if State is balancer.Gone
	Zone      string                 `json:"Zone"` // "" if it is not known
	Kind      string                 `json:"Kind"`
	Cell      uint16                 `json:"Cell"` // valid if HasCell
	State     balancer.EndpointState `json:"State"`
	Weight    float32                `json:"Weight"`
	StartedAt monotime.Micros        `json:"Started"` // Unix time of the latest start; 0 as in balancer.Endpoint

	// CellKnown is set if the list states the cell. Earlier builds do not write it.
	CellKnown bool `json:"CellKnown,omitempty"`
	// ZoneAssumed is set if the list does not state the zone, and Zone is an assumption that serves for prices and
	// for the choice of a subset only.
	ZoneAssumed bool `json:"ZoneAssumed,omitempty"`
}

// HasCell reports whether the cell is known. In the snapshot of an earlier build, 0 may be a cell or the lack of one,
// and counts as unknown.
func (info *EndpointInfo) HasCell() bool { return info.CellKnown || info.Cell != 0 }

// HasZone reports whether the endpoint is known to be in Zone.
func (info *EndpointInfo) HasZone() bool { return info.Zone != "" && !info.ZoneAssumed }

// dropGroups makes the zone and the cell unknown. Zone remains as an assumption.
func (info *EndpointInfo) dropGroups() {
	info.Cell = 0
	info.CellKnown = false
	info.ZoneAssumed = true
}

// EndpointUpdate is an update of an endpoint list. Generations of one source never decrease.
type EndpointUpdate struct {
	Kind             balancer.ListKind
	Generation       int64
	Source           string // name of the origin, as PoolConfig.Source; "" is that of the update before
	NewSource        bool   // the update comes from another source, whose generations are independent
	GenerationsReset bool   // with NewSource: the same source has restarted its count of generations
	Endpoints        []EndpointInfo
}

// unknownIndex is the index of a zone or kind that is not in the settings.
const unknownIndex = 255

// UpdateEndpoints applies an update of the endpoint list. An update older than the current list is ignored
// unless it comes from a new source. Updates after OnSourceUnused are ignored.
func (p *Pool) UpdateEndpoints(now monotime.Micros, update EndpointUpdate) {
	if p.sourceReleased {
		return
	}
	p.engine.now = now
	p.applyUpdate(now, update)
	p.passListOn(now)
	p.engine.dispatchQueued(now)
}

// applyUpdate applies an update of the endpoint list. It ignores an update of the same source whose generation
// is older than that of the current list, because an old list would bring back endpoints that are known to be
// draining.
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
	p.dedupGroups.setSource(update.Source, p.fullEndpointList(), update.Endpoints)
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

// updateBalancer passes an update of the endpoints that the instance uses to the balancer.
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
	p.stopSendingToReusedAddresses(now)
	p.balancer.UpdateEndpoints(now, update.Kind, entries)
	// Map order is harmless here: only new endpoints change, and they have no requests yet.
	for name, e := range p.byName {
		p.applyExclusion(now, name, e)
	}
	p.updateEndpointCount()
	p.reportUnknownGroups()
	p.reportReady()
}

// updateEndpoint applies one entry of an update and returns the corresponding entry for the balancer. ok is
// false for an endpoint that is gone and was not known. With generationsReset, the entry may be older than a
// drain that is already known, so an endpoint that is draining and has not restarted since stays draining.
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
		e.moveTo(info.Addr, p.engine.config.Host.NewTarget(p.name, info.Addr))
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
		Kind:      indexOf(site.MachineTypes, info.Kind),
		ZoneGroup: p.dedupGroups.zoneGroup(&info),
		CellGroup: p.dedupGroups.cellGroup(&info),
		State:     info.State,
		Share:     info.Weight,
		StartTime: info.StartedAt,
	}, true
}

// drainGraceMargin is subtracted from Contract.DrainGrace, because requests must arrive at the endpoint within
// the drain grace, not only be sent within it.
const drainGraceMargin = 50 * monotime.Millisecond

// setEndpointState records an endpoint's state. The balancer stops picking an endpoint as soon as it is not
// ready; attempts that already wait for a connection to it may still be sent until the drain grace, less
// drainGraceMargin, has passed.
func (p *Pool) setEndpointState(now monotime.Micros, name string, e *Endpoint, state balancer.EndpointState) {
	switch {
	case e.excluded: // keep the stopSendingAt that setExcluded set
	case state == balancer.Ready:
		e.stopSendingAt.Store(0)
	case e.state == balancer.Ready:
		grace := p.engine.config.Site.Settings.Contract.DrainGrace
		e.stopSendingAt.Store(max(1, now+grace-drainGraceMargin))
		p.leaving = append(p.leaving, e)
	}
	e.state = state
	if state == balancer.Gone {
		e.Target.Drop()
		delete(p.byName, name)
		delete(p.endpointList, name)
		delete(p.byNumber, e.Number)
	}
}

// reportReady notifies the host when an endpoint of any pool is ready for the first time.
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

// indexOf returns the index of a name in a list of the settings, or unknownIndex if the list does not have it.
func indexOf(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 {
		return uint8(i)
	}
	return unknownIndex
}
