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

// generation is what assemble put together: all that serves by one configuration. A configuration that cannot
// be changed into while serving has a generation of its own, which takes over from the one before it (life).
type generation struct {
	options   Options
	config    *config.Config // that it goes by; o.Config is what it was put together by
	log       *slog.Logger
	upstreams *upstream.Pool // to endpoints
	core      *core.Core
	pools     pools
	front     *http1.Server
	clients   *clients

	gossip        atomic.Pointer[peers.Peers] // nil while it is among no others
	spentLog      *spentLog                   // nil where none is kept
	consensus     *consensusMember            // nil while it takes no part in the order of machines out
	inheritedPlan *engine.MaintenancePlan     // what the process before this one obeyed; nil is nothing
	clock         clock.Clock
	stopAdmin     func() // ends serving operators; nil while none are

	recorder  *accesslog.Writer // nil where no access record is kept
	keyHasher *accesslog.Hasher
	tally     *canaryTally // nil where versions are not tried

	listeners []*listener

	ctx        context.Context // of what runs beside the front
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// assemble puts a daemon together without starting it.
func assemble(o Options) (*generation, error) {
	c := o.Config
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	d := &generation{options: o, config: c, log: o.Log, pools: pools{}}
	clk := clock.New()
	if c.Peers.On {
		clk = clock.NewBootClock() // leases end while the host sleeps, too
	}
	d.clock = clk
	n := &c.Connections
	d.upstreams = upstream.New(upstream.Options{
		Clock:           clk,
		Log:             o.Log,
		MaxConns:        n.MaxEndpoints,
		DialTimeout:     c.Attempts.DialTimeout.Duration,
		KeepAlive:       c.Site.KeepAlive,
		LoadFields:      c.Site.LoadReportFields,
		LoadInResponses: c.Site.ReportsOnResponses,
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
	return d, d.openAccessLog() // last, since it runs
}

// newCore makes the core, and joins it to the other instances where the configuration says so.
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

// newFrontend makes the frontend, and what it records requests in.
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

// startBackground starts what runs beside the frontend: core, connections, watches. stopBackground ends it.
func (d *generation) startBackground() {
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.goroutines.Go(func() { d.core.Run(d.ctx) })
	d.goroutines.Go(func() { d.upstreams.Run(d.ctx) })
	for _, p := range d.pools {
		d.startSource(p)
	}
}

// stopBackground ends what runs beside the frontend. It may be called without startBackground.
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
	d.front.CloseAll() // nothing is left, unless the start failed
	d.goroutines.Wait()
	if d.recorder != nil {
		d.recorder.Close()
	}
	d.spentLog.close()
}

// changesLive reports whether a configuration can be applied while serving, and which tables prevent it.
func (d *generation) changesLive(next *config.Config) (tables []string, ok bool) {
	// Compared with the configuration that it was assembled by, however often it has been changed since.
	tables = d.options.Config.TablesNeedingRestart(next)
	return tables, len(tables) == 0
}

// apply changes into a configuration that is live.
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
	d.log.Info(
		"configuration changed while serving",
		"clients",
		changed,
		"pools",
		d.pools.names(),
		"new",
		added,
		"gone",
		removed,
		"routes",
		len(next.Routes),
	)
	return nil
}

// addresses returns the address that each listener has.
func (d *generation) addresses() map[string]string {
	all := map[string]string{}
	for _, l := range d.listeners {
		all[l.config.Name] = l.socket.Addr().String()
	}
	return all
}
