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
	"dunlinsail/internal/takeover"
	"dunlinsail/internal/upstream"
)

// generation holds the parts that serve with one configuration. A configuration that the running generation
// cannot apply while serving gets a new generation, which takes over from the running one (lifecycle).
type generation struct {
	options   Options        // the options with which this generation was assembled
	config    *config.Config // the configuration in effect; options.Config is the initial one
	log       *slog.Logger
	upstreams *upstream.Pool // connections to endpoints
	core      *core.Core
	pools     pools         // by pool name
	closing   sync.Map      // *pool: pools without a route whose source is still needed
	frontend  *http1.Server // serves the connections of clients
	clients   *clients

	gossip           atomic.Pointer[peers.Peers] // nil while this instance has not joined a fleet
	spentLog         *spentLog                   // nil unless the configuration has a file for this log
	consensus        *consensusMember            // nil while this instance takes no part in the consensus
	inheritedPlan    *engine.MaintenancePlan     // the maintenance plan of the predecessor; nil if there is none
	clock            clock.Clock
	closeAdminServer func()               // stops the admin server; nil while it does not run
	cordonPeers      takeover.CordonPeers // the other generations of a hot restart

	accessLog *accesslog.Writer // nil if the configuration has no access log
	keyHasher *accesslog.Hasher // hashes the keys and objects in the access log
	tally     *canaryTally      // nil if canaries are disabled

	listeners []*listener

	ctx        context.Context // context of the goroutines; nil before startBackground
	cancel     context.CancelFunc
	goroutines sync.WaitGroup // the goroutines that run core and upstreams
}

// assemble returns a generation for the configuration in options, without starting it.
func assemble(options Options) (*generation, error) {
	c := options.Config
	if options.Seed == 0 {
		options.Seed = rand.Uint64()
	}
	g := &generation{options: options, config: c, log: options.Log, pools: pools{}}
	clk := clock.New()
	if c.Peers.On {
		// The boot clock also counts the time in which the host sleeps, because leases expire during that time,
		// too.
		clk = clock.NewBootClock()
	}
	g.clock = clk
	g.upstreams = upstream.New(upstream.Options{
		Clock:       clk,
		Log:         options.Log,
		MaxConns:    c.Connections.MaxEndpoints,
		DialTimeout: c.Attempts.DialTimeout.Duration,
		KeepAlive:   c.Site.KeepAlive,
		ReuseDelay:  upstream.DefaultReuseDelay,
		// Otherwise attempts would have to wait for the reuse delay at the usual request rates of a host's
		// clients.
		ReuseDelayOptional: true,
		LoadFields:         c.Site.LoadReportFields,
		LoadInResponses:    c.Site.ReportsOnResponses,
	})
	if err := g.newCore(); err != nil {
		return nil, err
	}
	for _, conf := range configuredPools(c) {
		p, err := g.newPool(conf, c.Site.Settings.Subscribe)
		if err != nil {
			return nil, err
		}
		g.pools[conf.Name] = p
	}
	if err := g.newFrontend(); err != nil {
		return nil, err
	}
	g.setRoutes(c)
	var err error
	if g.clients, err = newClients(g.frontend, c); err != nil {
		return nil, err
	}
	return g, g.openAccessLog() // called last, because it starts a goroutine
}

// newCore creates the core, and joins it to the coordination of the fleet if the configuration has a fleet.
func (g *generation) newCore() error {
	options := &g.options
	c := g.config
	coreConfig := core.Config{
		Clock:       g.clock,
		Site:        &c.Site,
		Seed:        options.Seed,
		Concurrency: c.ConcurrencySettings(),
		Upstream:    g.upstreams,
		Log:         options.Log,
	}
	if path := c.Peers.SpentBudgetLog; path != "" {
		var err error
		if g.spentLog, err = openSpentLog(path, options.Log); err != nil {
			return fmt.Errorf("peers.spent: %w", err)
		}
		coreConfig.OnQuotaSpent = g.spentLog.recordSpent
	}
	g.core = core.New(coreConfig)
	return g.joinCoordination()
}

// newFrontend creates the frontend, and the canary tally if canaries are enabled.
func (g *generation) newFrontend() error {
	c := g.config
	frontOptions := http1.Options{
		Clock:       g.clock,
		Site:        &c.Site,
		Core:        g.core,
		SendAttempt: g.upstreams.Send,
		Log:         g.log,
		Limits:      c.ConnectionLimits(),
		Processors:  g.options.processors,
	}
	if p := g.pools[""]; p != nil {
		frontOptions.Pool = p.corePool
	}
	if c.ControlPlane.CanaryEnabled() {
		g.tally = &canaryTally{}
		g.tally.setObjectives(c.Site.Settings.Classes, nil)
	}
	if c.AccessLog.Dir != "" || g.tally != nil {
		frontOptions.RecordExchange = g.recordExchange
	}
	var err error
	g.frontend, err = http1.New(frontOptions)
	return err
}

// startBackground starts the core, the connections to endpoints and the sources of endpoint lists.
// stopBackground stops them.
func (g *generation) startBackground() {
	g.ctx, g.cancel = context.WithCancel(context.Background())
	g.goroutines.Go(func() { g.core.Run(g.ctx) })
	g.goroutines.Go(func() { g.upstreams.Run(g.ctx) })
	for _, p := range g.pools {
		g.startSource(p)
	}
}

// stopBackground stops everything that the generation has started, including listeners and connections. It may
// be called without a preceding startBackground.
func (g *generation) stopBackground() {
	for _, l := range g.listeners {
		l.close()
	}
	g.stopAdminServer()
	g.stopConsensus()
	if g.cancel != nil {
		g.stopGossip(true)
	}
	for _, p := range g.pools {
		p.stopSource()
	}
	for p := range g.closing.Range {
		p.(*pool).stopSource()
	}
	if g.cancel != nil {
		g.cancel()
	}
	g.frontend.CloseAll() // connections are still open only if the start failed
	g.goroutines.Wait()
	if g.accessLog != nil {
		g.accessLog.Close()
	}
	g.spentLog.close()
}

// canApplyLive reports whether the generation can apply a configuration while serving, and returns the
// configuration tables that prevent it. It compares with the configuration that the generation was assembled
// from, not with the configuration in effect.
func (g *generation) canApplyLive(next *config.Config) (tables []string, live bool) {
	tables = g.options.Config.TablesNeedingRestart(next)
	return tables, len(tables) == 0
}

// applyConfig applies a configuration for which canApplyLive reports true. It runs on the lifecycle's
// goroutine.
func (g *generation) applyConfig(next *config.Config) error {
	changed, err := g.clients.applyConfig(next)
	if err != nil {
		return fmt.Errorf("clients: %w", err)
	}
	added, removed, err := g.changePools(next)
	if err != nil {
		return fmt.Errorf("pools and routes: %w", err)
	}
	g.config = next
	g.log.Info("configuration changed while serving", "clients", changed, "pools", g.pools.names(), "new", added,
		"gone", removed, "routes", len(next.Routes))
	return nil
}

// addresses returns the address of each listener, by listener name.
func (g *generation) addresses() map[string]string {
	addresses := map[string]string{}
	for _, l := range g.listeners {
		addresses[l.config.Name] = l.socket.Addr().String()
	}
	return addresses
}
