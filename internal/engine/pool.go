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
	Name string
	// Source identifies where the endpoint list comes from. A snapshot of another engine's pool is restored if name and
	// source are the same.
	Source string
	// StaticList is set if the endpoint list is a part of the configuration: that of a snapshot is not restored.
	StaticList bool

	// InitialEndpoints is the list as last known, which may be old. Its Kind is ignored; a negative Generation is no
	// list.
	InitialEndpoints EndpointUpdate

	// SetWatch starts or stops the watch of the endpoint list. It must not block.
	SetWatch func(active bool)

	// Subset has the instance use a subset of the endpoint list; nil is all of it.
	Subset *subset.Settings
	// OnIdleConnections is called with how many idle connections the pool may hold, with Subset. It may be nil, and
	// must not block.
	OnIdleConnections func(n float64)

	// Overload has requests shed, and retries and probes limited, by the load that the whole fleet puts on the
	// endpoints; nil is no overload control. The engine sets the fields that the site's settings determine
	// (initOverload).
	Overload *overload.Settings

	// The retry budget. RetryRatio is the ratio of retries to the pool's requests, 0 for the site's; RetryWindow and
	// MinRetryRate are as in balancer.Settings, and 0 is 0.
	RetryRatio   float64
	RetryWindow  monotime.Micros
	MinRetryRate float64 // retries a second
}

// Pool is a set of endpoints with its own balancer, queue and concurrency limit. It belongs to its engine; only Name
// may be called from other goroutines.
type Pool struct {
	engine   *Engine
	name     string
	config   PoolConfig
	balancer *balancer.Balancer

	queue         *fairqueue.Scheduler
	concurrency   *concurrency.Limiter // nil where the limit is not learned
	queueTimer    *timer
	queueTimerDue monotime.Micros // 0 is no timer
	dirty         bool            // in the engine's dirtyPools
	source        string          // of the endpoint list

	byName          map[string]*Endpoint
	byNumber        map[uint32]*Endpoint
	lastNumber      uint32
	endpointList    map[string]EndpointInfo // as passed to the balancer, by name
	generation      int64                   // of the endpoint list
	subset          *subsetState            // nil where all of the list is used
	overload        *overloadState          // nil without overload control
	hasFleetBudgets bool                    // its retries and probes may have budgets over the fleet

	openCalls int  // in the request table
	closed    bool // no request is accepted any more
	dissolved bool // closed, without an open request, and no longer in the engine
}

// NewPool returns a pool, or an error that names the invalid setting. The engine does not know it before Start: NewPool
// may be called while the engine runs on another goroutine, unless the pool has a subset, which draws from the engine's
// random numbers.
func (eng *Engine) NewPool(c PoolConfig) (*Pool, error) {
	p := &Pool{
		engine:       eng,
		name:         c.Name,
		config:       c,
		source:       c.Source,
		byName:       map[string]*Endpoint{},
		byNumber:     map[uint32]*Endpoint{},
		endpointList: map[string]EndpointInfo{},
	}
	seed := eng.config.Seed ^ poolSeed(c.Name)
	if err := p.initConcurrency(eng.config.Concurrency, seed); err != nil {
		return nil, err
	}
	if c.Subset != nil {
		if err := p.initSubset(*c.Subset, seed); err != nil {
			return nil, err
		}
	}
	settings := eng.config.Site.Settings
	if c.RetryRatio > 0 {
		settings.RetryRatio = c.RetryRatio
	}
	settings.RetryWindow = c.RetryWindow
	settings.MinRetryRate = c.MinRetryRate
	var err error
	if p.balancer, err = balancer.New(settings, seed, actions{eng, p}); err != nil {
		return nil, err
	}
	if c.Overload != nil {
		// Overload control grants no more retries than the pool has without it.
		overloadSettings := *c.Overload
		if settings.RetryRatio > 0 {
			overloadSettings.RetryRatio = min(overloadSettings.RetryRatio, settings.RetryRatio)
		}
		overloadSettings.OverloadedRetryRatio = min(overloadSettings.OverloadedRetryRatio, overloadSettings.RetryRatio)
		if err := p.initOverload(overloadSettings, seed); err != nil {
			return nil, err
		}
	}
	return p, nil
}

// poolSeed returns the part of a pool's seed that depends on its name: 0 for the pool without a name.
func poolSeed(name string) uint64 {
	if name == "" {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// Start adds the pool to its engine, with its initial endpoint list.
func (p *Pool) Start(now monotime.Micros) {
	eng := p.engine
	eng.now = now
	eng.pools = append(eng.pools, p)
	p.addFleetBudgets()
	p.balancer.Start(now)
	if initialList := p.config.InitialEndpoints; initialList.Generation >= 0 {
		initialList.Kind = balancer.ListCached
		initialList.NewSource = true
		p.applyUpdate(now, initialList)
	} else {
		// No list is known: the endpoints of the first one have not just started.
		p.generation = initialList.Generation
	}
	eng.dispatchQueued(now)
}

// Name returns the pool's name.
func (p *Pool) Name() string { return p.name }

// Dissolved reports whether the pool was closed and no request of it is left.
func (p *Pool) Dissolved() bool { return p.dissolved }

// SetSource changes the name of the source of the endpoint list.
func (p *Pool) SetSource(source string) { p.source = source }

// Close has the pool accept no more requests. Open ones go on at its endpoints until they end.
func (p *Pool) Close(now monotime.Micros) {
	p.engine.now = now
	p.closed = true
	p.queue.Close()
	p.dissolveIfIdle()
	p.engine.dispatchQueued(now)
}

// dissolveIfIdle frees the endpoints of a closed pool once it has no open request.
func (p *Pool) dissolveIfIdle() {
	if !p.closed || p.dissolved || p.openCalls > 0 {
		return
	}
	p.dissolved = true
	p.removeFleetBudgets()
	p.engine.pools = slices.DeleteFunc(p.engine.pools, func(other *Pool) bool { return other == p })
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
	p.byName = nil
	p.byNumber = nil
	p.endpointList = nil
}
