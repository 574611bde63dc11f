package engine

import (
	"hash/fnv"
	"slices"
	"sync/atomic"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// PoolConfig is what a pool needs.
type PoolConfig struct {
	Name             string
	Source           string         // where its list comes from: what another pool of this name has learned holds here if it is the same
	StaticList       bool           // the list is a part of the configuration: another's is not taken over
	InitialEndpoints EndpointUpdate // the list as last held; perhaps old. Its Kind is not read; a negative Generation is no list
	Watch            func(on bool)  // asks for the list's changes, or ends that; must not wait

	Subset            *subset.Settings // the instance deals with a part of the list only; nil is with all
	OnIdleConnections func(n float64)  // told how many idle connections the pool may hold, with Subset; may be nil; must not wait

	Overload *overload.Settings // what the fleet's overload leaves is decided with the others in mind; nil is not. The site's part is filled in

	RetryShare  float64         // retries at its endpoints, as a part of their requests; 0 is the site's
	RetryWithin monotime.Micros // as balancer.Settings has it
	RetryLeast  float64
}

// Pool is a set of endpoints with a balancer, and with places for requests in flight, of its own. Its fields belong
// to the engine, but for those that do not change.
type Pool struct {
	engine   *Engine
	name     string
	config   PoolConfig
	balancer *balancer.Balancer

	queue         *fairqueue.Scheduler
	concurrency   *concurrency.Limiter // nil where the number in flight is not learned
	queueTimer    *timer               // for shares
	queueTimerDue monotime.Micros
	dirty         bool
	source        string

	byName          map[string]*Endpoint
	byNumber        map[uint32]*Endpoint
	lastNumber      uint32
	endpointList    map[string]EndpointInfo // as held, by name
	generation      int64                   // of the list
	subset          *subsetState            // nil where all of the list is dealt with
	overload        *overloadState          // nil where each request is judged by itself
	hasFleetBudgets bool                    // its budgets are lent among instances

	openCalls int  // not forgotten
	closed    bool // nothing new is taken
	dissolved bool // and nothing is left
}

// NewPool makes a pool, or returns the *balancer.SettingError of settings that make no sense. It is the engine's from
// Begin on; until then it is not, and may be made while the engine is at work elsewhere.
func (x *Engine) NewPool(c PoolConfig) (*Pool, error) {
	p := &Pool{engine: x, name: c.Name, config: c, source: c.Source, byName: map[string]*Endpoint{}, byNumber: map[uint32]*Endpoint{}, endpointList: map[string]EndpointInfo{}}
	seed := x.config.Seed
	if c.Name != "" {
		h := fnv.New64a()
		h.Write([]byte(c.Name))
		seed ^= h.Sum64()
	}
	if err := p.initConcurrency(x.config.Concurrency, seed); err != nil {
		return nil, err
	}
	if c.Subset != nil {
		if err := p.initSubset(*c.Subset, seed); err != nil {
			return nil, err
		}
	}
	settings := x.config.Site.Settings
	if c.RetryShare > 0 {
		settings.RetryShare = c.RetryShare
	}
	settings.RetryWithin, settings.RetryLeast = c.RetryWithin, c.RetryLeast
	var err error
	if p.balancer, err = balancer.New(settings, seed, actions{x, p}); err != nil {
		return nil, err
	}
	if c.Overload != nil {
		// No more is tried again than the pool has without it.
		o := *c.Overload
		if settings.RetryShare > 0 {
			o.RetryRatio = min(o.RetryRatio, settings.RetryShare)
		}
		o.OverloadedRetryRatio = min(o.OverloadedRetryRatio, o.RetryRatio)
		if err := p.initOverload(o, seed); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// Begin adds a pool, with the list that is known.
func (p *Pool) Start(now monotime.Micros) {
	x := p.engine
	x.now = now
	x.pools = append(x.pools, p)
	p.addFleetBudgets()
	p.balancer.Start(now)
	if known := p.config.InitialEndpoints; known.Generation >= 0 {
		known.Kind, known.NewSource = balancer.ListCached, true
		p.applyUpdate(now, known)
	} else {
		// No list is known: what the first one names has not just appeared.
		p.generation = known.Generation
	}
	x.dispatchQueued(now)
}

// Name returns the pool's name.
func (p *Pool) Name() string { return p.name }

// Gone says whether the pool was closed and nothing is left of it.
func (p *Pool) Dissolved() bool { return p.dissolved }

// Moved tells that the list comes from another source from now on.
func (p *Pool) SetSource(source string) { p.source = source }

// Members tells news of the list.
func (p *Pool) UpdateEndpoints(now monotime.Micros, told EndpointUpdate) {
	if p.dissolved {
		return
	}
	p.engine.now = now
	p.applyUpdate(now, told)
	p.engine.dispatchQueued(now)
}

// Close takes nothing new; what is open goes on to its end, at the endpoints of the pool.
func (p *Pool) Close(now monotime.Micros) {
	p.engine.now = now
	p.closed = true
	p.queue.Close()
	p.dissolveIfIdle()
	p.engine.dispatchQueued(now)
}

// dissolve lets the endpoints of a closed pool go once nothing is open there.
func (p *Pool) dissolveIfIdle() {
	if !p.closed || p.dissolved || p.openCalls > 0 {
		return
	}
	p.dissolved = true
	p.removeFleetBudgets()
	p.engine.pools = slices.DeleteFunc(p.engine.pools, func(o *Pool) bool { return o == p })
	p.engine.cancelTimer(p.queueTimer)
	if p.subset != nil {
		p.engine.cancelTimer(p.subset.timer)
		if p.subset.onIdleConnections != nil {
			p.subset.onIdleConnections(0)
		}
	}
	for _, e := range p.byName {
		e.Target.Drop()
	}
	p.byName, p.byNumber, p.endpointList = nil, nil, nil
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

// ---- The list ---------------------------------------------------------------

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

// text is a hash of a text.
func hashString(s string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(s))
	return h.Sum32()
}
