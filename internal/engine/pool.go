package engine

import (
	"hash/fnv"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Name string
	// Source identifies the origin of the endpoint list. A snapshot of another engine's pool is restored only
	// if its name and source are those of this pool.
	Source string
	// StaticList is set if the endpoint list is part of the configuration. The list of a snapshot is then not
	// restored.
	StaticList bool

	// InitialEndpoints is the last known endpoint list, which may be out of date. Its Kind is ignored. A
	// negative Generation means that no list is known.
	InitialEndpoints EndpointUpdate

	// SetWatch starts or stops the watch of the endpoint list at discovery. It must not block.
	SetWatch func(active bool)

	// OnSourceUnused is called once updates of the endpoint list are not needed any more: the closed pool follows the
	// list of its replacement, or all its requests have ended. It must not block. It may be nil.
	OnSourceUnused func()

	// Subset makes the instance use a subset of the endpoint list; nil uses the whole list.
	Subset *subset.Settings
	// OnIdleConnections is called with the number of idle connections that the pool may keep, if Subset is set.
	// It must not block. It may be nil.
	OnIdleConnections func(connections float64)

	// Overload enables overload control, which sheds requests and limits retries and probes, depending on the
	// load that the whole fleet puts on the endpoints; nil disables it. The engine sets the fields that the
	// site's settings determine (initOverload).
	Overload *overload.Settings

	// RetryRatio, RetryWindow and MinRetryRate configure the retry budget. RetryRatio is the ratio of retries
	// to the pool's requests; 0 uses the ratio of the site's settings. RetryWindow and MinRetryRate are passed
	// unchanged to balancer.Settings.
	RetryRatio   float64
	RetryWindow  monotime.Micros
	MinRetryRate float64 // retries per second
}

// Pool is a set of endpoints with its own balancer, queue and concurrency limit. It belongs to its engine; only
// Name may be called from other goroutines.
type Pool struct {
	engine   *Engine
	name     string
	config   PoolConfig
	balancer *balancer.Balancer

	queue         *admissionQueue
	concurrency   *concurrency.Limiter // nil if the concurrency limit is not learned
	leaving       []*Endpoint          // endpoints in their drain grace: no longer ready, but attempts may be sent
	queueTimer    *timer               // for the next expiry of a queued request; may be nil
	queueTimerDue monotime.Micros      // instant at which queueTimer fires; 0 without a timer
	dirty         bool                 // the pool is in Engine.dirtyPools
	source        string               // origin of the endpoint list

	byName          map[string]*Endpoint
	byNumber        map[uint32]*Endpoint
	lastNumber      uint32
	endpointList    map[string]EndpointInfo // endpoints passed to the balancer, by name
	dedupGroups     dedupGroups             // of the endpoints in endpointList
	generation      int64                   // generation of the endpoint list
	subset          *subsetState            // nil if the whole list is used
	overload        *overloadState          // nil without overload control
	hasFleetBudgets bool                    // retries and probes may use fleet budgets

	openCalls int  // number of the pool's calls in the request table
	closed    bool // no further requests are accepted
	dissolved bool // closed, without open requests, and removed from the engine

	replacement    *Pool // the pool in place of this closed one; nil if there is none
	sourceReleased bool  // OnSourceUnused has been called
}

// NewPool returns a pool, or an error that names the invalid setting. The engine does not use the pool before
// Pool.Start, so NewPool may be called while the engine runs on another goroutine, unless the pool has a
// subset, which draws from the engine's random number generator.
func (eng *Engine) NewPool(c PoolConfig) (*Pool, error) {
	p := &Pool{
		engine:       eng,
		name:         c.Name,
		config:       c,
		source:       c.Source,
		byName:       map[string]*Endpoint{},
		byNumber:     map[uint32]*Endpoint{},
		endpointList: map[string]EndpointInfo{},
		dedupGroups:  newDedupGroups(c.Source),
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
		// Overload control allows no more retries than the pool would have without it.
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

// poolSeed returns the part of a pool's seed that is derived from its name; 0 for a pool with an empty name.
func poolSeed(name string) uint64 {
	if name == "" {
		return 0
	}
	hash := fnv.New64a()
	hash.Write([]byte(name))
	return hash.Sum64()
}

// Start adds the pool to its engine and applies its initial endpoint list.
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
		// Without an initial list, the endpoints of the first list that arrives are not treated as recently
		// started.
		p.generation = initialList.Generation
	}
	eng.dispatchQueued(now)
}

// Name returns the pool's name.
func (p *Pool) Name() string { return p.name }

// Dissolved reports whether the pool is closed and all its requests have ended.
func (p *Pool) Dissolved() bool { return p.dissolved }

// SetSource changes the name of the origin of the endpoint list.
func (p *Pool) SetSource(source string) { p.source = source }

// Close makes the pool stop accepting requests. Open requests continue at its endpoints until they end. replacement is
// the pool in its place, whose endpoint list it follows (followReplacement), or nil.
func (p *Pool) Close(now monotime.Micros, replacement *Pool) {
	p.engine.now = now
	p.closed = true
	p.replacement = replacement
	p.queue.close()
	p.followReplacement(now)
	p.dissolveIfIdle()
	p.engine.dispatchQueued(now)
}

// dissolveIfIdle removes a closed pool from the engine and drops its endpoints once it has no open requests, and no
// other pool follows its list.
func (p *Pool) dissolveIfIdle() {
	if !p.closed || p.dissolved || p.openCalls > 0 || len(p.replacedPools()) > 0 {
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
	p.releaseSource()
	if p.replacement != nil {
		p.replacement.dissolveIfIdle()
	}
}
