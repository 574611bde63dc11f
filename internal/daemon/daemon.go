// Package daemon assembles the fleet daemon: listeners for the client processes of a host, one core and balancer for
// all of them, the pool of connections to endpoints, the watch at discovery, and the takeover by the next process.
// It starts these, changes them by signal, and stops them in order. What is decided, the packages below it decide.
package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/config"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/conns"
	"dunlinsail/internal/decide/limit"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/front/http1"
	"dunlinsail/internal/upstream"
)

// acceptFor is how long a daemon that stops goes on accepting: clients that have just asked where it is still come.
const acceptFor = 300 * time.Millisecond

// Options are what a daemon is started with.
type Options struct {
	Config *config.Config
	Log    *slog.Logger

	Reload <-chan os.Signal               // at each, Read is called; nil is never
	Read   func() (*config.Config, error) // the file anew
	Seed   uint64                         // for random numbers; 0 is drawn

	// Serving is called once the daemon accepts, with the address that each listener has by name; nil is nobody.
	Serving func(addresses map[string]string)
}

// Run serves until stop ends or another process has taken over, and returns once what was taken is answered.
func Run(stop context.Context, o Options) error {
	d, err := assemble(o)
	if err != nil {
		return err
	}
	return d.run(stop)
}

// daemon is what assemble put together.
type daemon struct {
	o       Options
	config  *config.Config // as last read
	log     *slog.Logger
	pool    *upstream.Pool
	core    *core.Core
	source  *discovery.Source
	watch   *discovery.Watcher // the source's first
	front   *http1.Front
	clients *clients

	listeners []*listener

	ctx    context.Context // of what runs beside the front
	cancel context.CancelFunc
	beside sync.WaitGroup
}

// assemble puts a daemon together without starting it.
func assemble(o Options) (*daemon, error) {
	c := o.Config
	if o.Seed == 0 {
		o.Seed = rand.Uint64()
	}
	d := &daemon{o: o, config: c, log: o.Log}
	clk := clock.New()
	n := &c.Connections
	d.pool = upstream.New(upstream.Options{Clock: clk, Log: o.Log, Most: n.Endpoints,
		DialTimeout: c.Attempts.DialTimeout.Duration, KeepAlive: c.Site.KeepAlive, Fields: c.Site.Fields, OnAnswers: c.Site.OnAnswers})
	d.watch = d.watcher(c.Discovery.Address)
	if c.Site.Settings.Subscribe {
		d.source = discovery.Once(d.watch, func() { d.core.Members(context.Background(), core.Told{Kind: balancer.ListFailed}) })
	} else {
		d.source = discovery.Keep(d.watch)
	}
	r := &c.Requests
	sharing := core.Sharing{Slots: r.InFlight, Open: r.Open}
	if r.InFlight == 0 {
		first := min(r.InFlightMost, max(r.InFlightLeast, 16))
		sharing.Adaptive = &limit.Settings{Least: r.InFlightLeast, Most: r.InFlightMost, First: first}
	}
	var err error
	d.core, err = core.New(core.Config{Clock: clk, Site: &c.Site, Seed: o.Seed, Sharing: sharing, Upstream: d.pool,
		Known: core.Told{Generation: discovery.Unlisted}, Watch: d.source.Watch, Log: o.Log})
	if err != nil {
		return nil, err
	}
	d.front, err = http1.New(http1.Options{Clock: clk, Site: &c.Site, Core: d.core, Send: d.pool.Send, Log: o.Log,
		Limits: conns.Limits{Total: n.Clients, AtRest: n.AtRest, IdleMost: n.RestMost.Micros(), IdleLeast: n.RestLeast.Micros()}})
	if err != nil {
		return nil, err
	}
	d.clients, err = newClients(d.front, c)
	return d, err
}

// watcher returns a watcher of a discovery that tells the core. It asks for the whole list first.
func (d *daemon) watcher(addr string) *discovery.Watcher {
	return discovery.NewWatcher(addr, discovery.Unlisted, int(d.o.Config.Process.Memory.Bytes>>20),
		func(ctx context.Context, t core.Told) { d.core.Members(ctx, t) }, d.log)
}

// start starts what runs beside the front: core, pool, watch. end ends it.
func (d *daemon) start() {
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.beside.Go(func() { d.core.Run(d.ctx) })
	d.beside.Go(func() { d.pool.Keep(d.ctx) })
	if !d.o.Config.Site.Settings.Subscribe {
		d.source.Watch(true)
	}
}

// end ends what runs beside the front. It may be called without start.
func (d *daemon) end() {
	for _, l := range d.listeners {
		l.close()
	}
	d.source.Close()
	if d.cancel != nil {
		d.cancel()
	}
	d.front.Cut() // nothing is left, unless the start failed
	d.beside.Wait()
}

// reload changes what a new file changes and can be changed while serving, and tells what else it changes.
func (d *daemon) reload() {
	next, err := d.o.Read()
	if err != nil {
		d.log.Error("configuration not read again, the old one is kept", "error", err)
		return
	}
	if next.Discovery.Address != d.config.Discovery.Address {
		d.source.Move(d.watcher(next.Discovery.Address))
	}
	changed, err := d.clients.change(next)
	if err != nil {
		d.log.Error("clients not changed", "error", err)
		return
	}
	later := d.config.Differs(next)
	d.config = next
	d.log.Info("configuration read again", "discovery", next.Discovery.Address, "clients", changed)
	if len(later) > 0 {
		d.log.Warn("some changes wait for the next process: start one, it takes over", "tables", later)
	}
}

// addresses returns the address that each listener has.
func (d *daemon) addresses() map[string]string {
	all := map[string]string{}
	for _, l := range d.listeners {
		all[l.conf.Name] = l.ln.Addr().String()
	}
	return all
}

// errf is an error of a part of the start.
func errf(format string, args ...any) error { return fmt.Errorf(format, args...) }
