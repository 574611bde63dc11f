package engine

import (
	"hash/fnv"
	"slices"

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
