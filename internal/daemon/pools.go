package daemon

import (
	"context"
	"maps"
	"reflect"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
	"dunlinsail/internal/core"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/endpointsource"
	"dunlinsail/internal/engine"
)

// pool is a configured pool, with the source of its endpoint list.
type pool struct {
	config          config.Pool
	corePool        *core.Pool
	discoverySource *discovery.Source    // nil if the list does not come from discovery
	firstWatcher    *discovery.Watcher   // the watcher with which discoverySource starts
	fileSource      *endpointsource.File // nil if the list does not come from a file
	listGeneration  int64                // generation of an endpoint list that is part of the configuration
}

// pools holds the pools to which routes lead, by name. A configuration without routes has a single pool, named
// "", whose endpoint list comes from discovery.
type pools map[string]*pool

// newPool adds a pool to the core. startSource starts the source of the pool's endpoint list.
func (g *generation) newPool(conf config.Pool, subscribe bool) (*pool, error) {
	p := &pool{config: conf}
	poolConfig := engine.PoolConfig{
		Name:              conf.Name,
		Source:            conf.Source(),
		InitialEndpoints:  engine.EndpointUpdate{Generation: discovery.NoGeneration},
		RetryRatio:        conf.RetryBudget,
		MinRetryRate:      conf.EffectiveMinRetryRate(),
		RetryWindow:       clock.Micros(conf.RetryWindow()),
		Overload:          g.config.Overload.Settings(g.config.Fleet.Instances),
		Subset:            g.config.Fleet.SubsetSettings(),
		OnIdleConnections: func(n float64) { g.upstreams.LimitIdle(conf.Name, n) },
		SetWatch:          func(bool) {},
		OnSourceUnused:    func() { g.goroutines.Go(func() { g.releaseSource(p) }) },
	}
	switch {
	case conf.Endpoints != nil:
		poolConfig.StaticList = true
		poolConfig.InitialEndpoints = endpointsource.StaticList(*conf.Endpoints, g.config.Fleet.Zone, 0)
	case conf.File != "":
		poolConfig.StaticList = true
	default:
		p.firstWatcher = g.newWatcher(p, conf)
		if subscribe {
			p.discoverySource = discovery.NewPolledSource(p.firstWatcher, func() {
				p.corePool.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFailed})
			})
		} else {
			p.discoverySource = discovery.NewContinuousSource(p.firstWatcher)
		}
		poolConfig.SetWatch = p.discoverySource.SetWatching
	}
	var err error
	p.corePool, err = g.core.NewPool(poolConfig)
	return p, err
}

// newWatcher returns a watcher that updates a pool from the discovery in conf. The watcher requests the complete
// endpoint list first.
func (g *generation) newWatcher(p *pool, conf config.Pool) *discovery.Watcher {
	update := func(ctx context.Context, update engine.EndpointUpdate) {
		update.Source = conf.Source()
		p.updateEndpoints(ctx, update)
	}
	return discovery.NewWatcher(conf.Discovery, discovery.NoGeneration,
		int(g.options.Config.Process.Memory.Bytes/bytesPerMB), update, g.log)
}

// bytesPerMB converts bytes to the megabytes in which package discovery takes memory sizes.
const bytesPerMB = 1 << 20

// updateEndpoints passes an update of the endpoint list to the pool.
func (p *pool) updateEndpoints(ctx context.Context, update engine.EndpointUpdate) {
	p.corePool.UpdateEndpoints(ctx, update)
}

// startSource starts the source of a pool's endpoint list.
func (g *generation) startSource(p *pool) {
	switch {
	case p.config.File != "":
		p.fileSource = endpointsource.WatchFile(
			p.config.File, endpointsource.DefaultFileInterval, p.updateEndpoints, g.log)
	case p.discoverySource != nil && !g.options.Config.Site.Settings.Subscribe:
		p.discoverySource.SetWatching(true)
	}
}

// stopSource stops the source of a pool's endpoint list.
func (p *pool) stopSource() {
	if p.discoverySource != nil {
		p.discoverySource.Close()
	}
	if p.fileSource != nil {
		p.fileSource.Close()
	}
}

// configuredPools returns the pools of a configuration. A configuration without routes has one unnamed pool
// with the endpoint list of the discovery address.
func configuredPools(c *config.Config) []config.Pool {
	if len(c.Routes) == 0 {
		return []config.Pool{{Discovery: c.Discovery.Address}}
	}
	return c.Pools
}

// changePools applies the pools and routes of a configuration, and returns the names of the pools that were
// added and removed. Open requests finish in the pool in which they started. After an error nothing has
// changed.
func (g *generation) changePools(next *config.Config) (added, removed []string, err error) {
	nextPools := pools{}
	addedPools := pools{}
	for _, conf := range configuredPools(next) {
		if p := g.pools[conf.Name]; p != nil && p.canReconfigure(&conf) {
			nextPools[conf.Name] = p
			continue
		}
		p, err := g.newPool(conf, g.options.Config.Site.Settings.Subscribe)
		if err != nil {
			for _, p := range addedPools {
				p.corePool.Close(nil)
			}
			return nil, nil, err
		}
		nextPools[conf.Name] = p
		addedPools[conf.Name] = p
		added = append(added, conf.Name)
	}
	for _, conf := range configuredPools(next) {
		switch p := nextPools[conf.Name]; {
		case addedPools[conf.Name] != nil:
			g.startSource(p)
		case reflect.DeepEqual(p.config, conf):
		case conf.Endpoints != nil:
			g.updateStaticList(p, *conf.Endpoints)
		default:
			p.discoverySource.SwitchTo(g.newWatcher(p, conf))
			p.corePool.SetSource(conf.Source())
		}
		nextPools[conf.Name].config = conf
	}
	previousPools := g.pools
	g.pools = nextPools
	g.setRoutes(next)
	for name, p := range previousPools {
		if nextPools[name] != p {
			g.closePool(p, nextPools[name])
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return added, removed, nil
}

// updateStaticList passes a list that is part of the configuration to a pool.
func (g *generation) updateStaticList(p *pool, addresses []string) {
	p.listGeneration++
	list := endpointsource.StaticList(addresses, g.config.Fleet.Zone, p.listGeneration)
	p.corePool.UpdateEndpoints(context.Background(), list)
}

// closePool closes a pool to which no route leads any more. replacement is the pool that has its name now, or nil.
// The source of the pool goes on until it is not needed any more (releaseSource): queued requests and retries must
// not go to endpoints that begin to drain or are removed.
func (g *generation) closePool(p, replacement *pool) {
	g.closing.Store(p, nil)
	if replacement == nil {
		p.corePool.Close(nil)
		return
	}
	p.corePool.Close(replacement.corePool)
}

// releaseSource stops the source of a closed pool.
func (g *generation) releaseSource(p *pool) {
	p.stopSource()
	g.closing.Delete(p)
}

// canReconfigure reports whether a pool can get another configuration without losing its learned state. The
// endpoint list or the discovery address may differ; the kind of the source and the retry budget must not.
func (p *pool) canReconfigure(conf *config.Pool) bool {
	if p.config.RetryBudget != conf.RetryBudget {
		return false
	}
	return reflect.DeepEqual(p.config, *conf) ||
		p.config.Endpoints != nil && conf.Endpoints != nil ||
		p.config.Discovery != "" && conf.Discovery != ""
}

// names returns the names of the pools, sorted.
func (p pools) names() []string { return slices.Sorted(maps.Keys(p)) }
