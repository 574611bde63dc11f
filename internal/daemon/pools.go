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

// pool is a pool of the configuration with the source of its endpoint list.
type pool struct {
	config         config.Pool
	endpoints      *core.Pool
	source         *discovery.Source    // nil for a list that is not from discovery
	firstWatcher   *discovery.Watcher   // the one that source starts with
	file           *endpointsource.File // nil for a list that is not from a file
	listGeneration int64                // generation of a list in the configuration itself
}

// pools are the pools that routes lead to, by name. Without routes there is one, named "", whose list is from
// discovery.
type pools map[string]*pool

// newPool adds a pool to the core. startSource starts the source of its list.
func (d *generation) newPool(conf config.Pool, subscribe bool) (*pool, error) {
	p := &pool{config: conf}
	c := engine.PoolConfig{
		Name:              conf.Name,
		Source:            conf.Source(),
		InitialEndpoints:  engine.EndpointUpdate{Generation: discovery.NoGeneration},
		RetryRatio:        conf.RetryBudget,
		MinRetryRate:      conf.EffectiveMinRetryRate(),
		RetryWindow:       clock.Micros(conf.RetryWindow()),
		Overload:          d.config.Overload.Settings(d.config.Fleet.Instances),
		Subset:            d.config.Fleet.SubsetSettings(),
		OnIdleConnections: func(n float64) { d.upstreams.LimitIdle(conf.Name, n) },
		SetWatch:          func(bool) {},
	}
	switch {
	case conf.Endpoints != nil:
		c.StaticList = true
		c.InitialEndpoints = endpointsource.StaticList(*conf.Endpoints, d.config.Fleet.Zone, 0)
	case conf.File != "":
		c.StaticList = true
	default:
		p.firstWatcher = d.watcher(p, conf.Discovery)
		if subscribe {
			p.source = discovery.NewPolledSource(p.firstWatcher, func() {
				p.endpoints.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFailed})
			})
		} else {
			p.source = discovery.NewContinuousSource(p.firstWatcher)
		}
		c.SetWatch = p.source.SetWatching
	}
	var err error
	p.endpoints, err = d.core.NewPool(c)
	return p, err
}

// watcher returns a discovery watcher that updates a pool. It requests the complete list first.
func (d *generation) watcher(p *pool, addr string) *discovery.Watcher {
	return discovery.NewWatcher(addr, discovery.NoGeneration, int(d.options.Config.Process.Memory.Bytes/bytesPerMB),
		p.update, d.log)
}

// bytesPerMB is the unit of memory sizes as discovery takes them.
const bytesPerMB = 1 << 20

// update passes an update of the endpoint list to the pool.
func (p *pool) update(ctx context.Context, update engine.EndpointUpdate) {
	p.endpoints.UpdateEndpoints(ctx, update)
}

// startSource starts the source of a pool's list.
func (d *generation) startSource(p *pool) {
	switch {
	case p.config.File != "":
		p.file = endpointsource.WatchFile(p.config.File, endpointsource.DefaultFileInterval, p.update, d.log)
	case p.source != nil && !d.options.Config.Site.Settings.Subscribe:
		p.source.SetWatching(true)
	}
}

// stopSource stops the source of a pool's list.
func (p *pool) stopSource() {
	if p.source != nil {
		p.source.Close()
	}
	if p.file != nil {
		p.file.Close()
	}
}

// configuredPools returns the pools that a configuration has.
func configuredPools(c *config.Config) []config.Pool {
	if len(c.Routes) == 0 {
		return []config.Pool{{Discovery: c.Discovery.Address}}
	}
	return c.Pools
}

// changePools applies the pools and routes of a configuration, and returns the names of pools that are new or gone.
// Open requests end in the pool that they are in. After an error nothing has changed.
func (d *generation) changePools(next *config.Config) (added, removed []string, err error) {
	after := pools{}
	fresh := pools{}
	for _, conf := range configuredPools(next) {
		if p := d.pools[conf.Name]; p != nil && p.canBecome(&conf) {
			after[conf.Name] = p
			continue
		}
		p, err := d.newPool(conf, d.options.Config.Site.Settings.Subscribe)
		if err != nil {
			for _, p := range fresh {
				p.endpoints.Close()
			}
			return nil, nil, err
		}
		after[conf.Name] = p
		fresh[conf.Name] = p
		added = append(added, conf.Name)
	}
	for _, conf := range configuredPools(next) {
		switch p := after[conf.Name]; {
		case fresh[conf.Name] != nil:
			d.startSource(p)
		case reflect.DeepEqual(p.config, conf):
		case conf.Endpoints != nil:
			p.listGeneration++
			list := endpointsource.StaticList(*conf.Endpoints, d.config.Fleet.Zone, p.listGeneration)
			p.endpoints.UpdateEndpoints(context.Background(), list)
		default:
			p.source.SwitchTo(d.watcher(p, conf.Discovery))
			p.endpoints.SetSource(conf.Source())
		}
		after[conf.Name].config = conf
	}
	before := d.pools
	d.pools = after
	d.setRoutes(next)
	for name, p := range before {
		if after[name] != p {
			p.endpoints.Close()
			p.stopSource()
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	return added, removed, nil
}

// canBecome reports whether a pool can be changed into one of another configuration without losing its learned state.
// The list or the discovery address may differ, but not the kind of source.
func (p *pool) canBecome(conf *config.Pool) bool {
	if p.config.RetryBudget != conf.RetryBudget {
		return false
	}
	return reflect.DeepEqual(p.config, *conf) ||
		p.config.Endpoints != nil && conf.Endpoints != nil ||
		p.config.Discovery != "" && conf.Discovery != ""
}

// names returns the pools' names, sorted.
func (p pools) names() []string { return slices.Sorted(maps.Keys(p)) }
