package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"dunlinsail/internal/accesslog"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/frontend/http1"
	"dunlinsail/internal/peers"
	"dunlinsail/internal/upstream"
)

// generation holds the parts that serve by one configuration. A configuration that the running generation cannot apply
// while serving has a generation of its own, which takes over from the one before it (lifecycle).
type generation struct {
	options   Options
	config    *config.Config // in effect now; options.Config is the one that it was assembled from
	log       *slog.Logger
	upstreams *upstream.Pool // connections to endpoints
	core      *core.Core
	pools     pools
	front     *http1.Server
	clients   *clients

	gossip        atomic.Pointer[peers.Peers] // nil while this instance is not part of a fleet
	spentLog      *spentLog                   // nil without a file for it
	consensus     *consensusMember            // nil while this instance takes no part in the consensus
	inheritedPlan *engine.MaintenancePlan     // the predecessor's; nil without one
	clock         clock.Clock
	stopAdmin     func() // stops the admin server; nil while none runs

	recorder  *accesslog.Writer // nil without an access log
	keyHasher *accesslog.Hasher // of the access log
	tally     *canaryTally      // nil without canaries

	listeners []*listener

	ctx        context.Context // of the goroutines below; nil before startBackground
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // of core and upstreams, from startBackground to stopBackground
}

// assemble makes a generation without starting it.
func assemble(o Options) (*generation, error) {
	c := o.Config
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	d := &generation{options: o, config: c, log: o.Log, pools: pools{}}
	clk := clock.New()
	if c.Peers.On {
		clk = clock.NewBootClock() // it counts the time while the host sleeps, in which leases end, too
	}
	d.clock = clk
	d.upstreams = upstream.New(upstream.Options{
		Clock:              clk,
		Log:                o.Log,
		MaxConns:           c.Connections.MaxEndpoints,
		DialTimeout:        c.Attempts.DialTimeout.Duration,
		KeepAlive:          c.Site.KeepAlive,
		ReuseDelay:         upstream.DefaultReuseDelay,
		ReuseDelayOptional: true, // a host's clients would wait for it at their usual rates
		LoadFields:         c.Site.LoadReportFields,
		LoadInResponses:    c.Site.ReportsOnResponses,
	})
	if err := d.newCore(); err != nil {
		return nil, err
	}
	for _, conf := range configuredPools(c) {
		p, err := d.newPool(conf, c.Site.Settings.Subscribe)
		if err != nil {
			return nil, err
		}
		d.pools[conf.Name] = p
	}
	if err := d.newFrontend(); err != nil {
		return nil, err
	}
	d.setRoutes(c)
	var err error
	if d.clients, err = newClients(d.front, c); err != nil {
		return nil, err
	}
	return d, d.openAccessLog() // last, because it starts a goroutine
}

// newCore makes the core, with coordination in a fleet if the configuration has one.
func (d *generation) newCore() error {
	o := &d.options
	c := d.config
	conf := core.Config{
		Clock:       d.clock,
		Site:        &c.Site,
		Seed:        o.Seed,
		Concurrency: c.ConcurrencySettings(),
		Upstream:    d.upstreams,
		Log:         o.Log,
	}
	if path := c.Peers.SpentLog; path != "" {
		var err error
		if d.spentLog, err = openSpentLog(path, o.Log); err != nil {
			return fmt.Errorf("peers.spent: %w", err)
		}
		conf.OnQuotaSpent = d.spentLog.record
	}
	d.core = core.New(conf)
	return d.joinCoordination()
}

// newFrontend makes the frontend, and the canary tally that it records requests in.
func (d *generation) newFrontend() error {
	c := d.config
	front := http1.Options{
		Clock:       d.clock,
		Site:        &c.Site,
		Core:        d.core,
		SendAttempt: d.upstreams.Send,
		Log:         d.log,
		Limits:      c.ConnectionLimits(),
	}
	if p := d.pools[""]; p != nil {
		front.Pool = p.endpoints
	}
	if c.ControlPlane.CanaryEnabled() {
		d.tally = &canaryTally{}
		d.tally.setObjectives(c.Site.Settings.Classes, nil)
	}
	if c.AccessLog.Dir != "" || d.tally != nil {
		front.RecordExchange = d.recordExchange
	}
	var err error
	d.front, err = http1.New(front)
	return err
}

// startBackground starts core, connections to endpoints and the sources of endpoint lists. stopBackground ends them.
func (d *generation) startBackground() {
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.goroutines.Go(func() { d.core.Run(d.ctx) })
	d.goroutines.Go(func() { d.upstreams.Run(d.ctx) })
	for _, p := range d.pools {
		d.startSource(p)
	}
}

// stopBackground ends everything that the generation has started, listeners and connections included. It may be called
// without startBackground.
func (d *generation) stopBackground() {
	for _, l := range d.listeners {
		l.close()
	}
	d.stopServingAdmin()
	d.stopConsensus()
	if d.cancel != nil {
		d.stopGossip(true)
	}
	for _, p := range d.pools {
		p.stopSource()
	}
	if d.cancel != nil {
		d.cancel()
	}
	d.front.CloseAll() // there are connections only if the start failed
	d.goroutines.Wait()
	if d.recorder != nil {
		d.recorder.Close()
	}
	d.spentLog.close()
}

// changesLive reports whether a configuration can be applied while serving, and returns the tables that prevent it.
// These are compared with the configuration that the generation was assembled from, not with the one in effect.
func (d *generation) changesLive(next *config.Config) (tables []string, live bool) {
	tables = d.options.Config.TablesNeedingRestart(next)
	return tables, len(tables) == 0
}

// applyConfig applies a configuration for which changesLive is true, on the lifecycle's goroutine.
func (d *generation) applyConfig(next *config.Config) error {
	changed, err := d.clients.applyConfig(next)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	added, removed, err := d.changePools(next)
	if err != nil {
		return fmt.Errorf("pools and routes: %w", err)
	}
	d.config = next
	d.log.Info("configuration changed while serving", "clients", changed, "pools", d.pools.names(), "new", added,
		"gone", removed, "routes", len(next.Routes))
	return nil
}

// addresses returns the address of each listener by its name.
func (d *generation) addresses() map[string]string {
	all := map[string]string{}
	for _, l := range d.listeners {
		all[l.config.Name] = l.socket.Addr().String()
	}
	return all
}
