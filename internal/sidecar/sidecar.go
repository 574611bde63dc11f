// Package sidecar assembles the platform's sidecar: one listener for one application, the core with its balancer,
// the pool of connections to endpoints, and the watch at discovery. It starts them, moves them to a new
// configuration, and stops them in order.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/admin"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/eventlog"
	"dunlinsail/internal/frontend/http1"
	"dunlinsail/internal/platform"
	"dunlinsail/internal/upstream"
)

// reservedSockets are for what is neither a client's nor an endpoint's: standard streams, the listener, the
// runtime, calls of discovery, the file of the configuration.
const reservedSockets = 16

const (
	// restPart of the descriptors, at most, are clients' connections without an open request. The machine of the
	// clients has limits of its own, and every connection that we keep at rest is one that they cannot open anew:
	// with half of the descriptors for such, clients that asked once and stayed held all that the usual ones
	// needed, and their requests never came (incident r412b9a).
	idleConnsDivisor = 6
	maxIdle          = 15 * time.Second // between requests, while no other connection rests
	minIdle          = 100 * time.Millisecond
)

// Where lists are pushed, discovery is an agent on this machine: it answers at once and at no cost. What it is
// told when it is back after a silence counts as told to us at that moment, so that a call must be waiting, or
// follow within the grace of a drain.
const (
	agentAnswerTimeout = 500 * time.Millisecond
	agentPollWait      = 50 * time.Millisecond
)

// availableSockets is how many descriptors clients and endpoints share.
func availableSockets(c *platform.Config) int {
	if c.AdminAddress != "" {
		return c.Sockets - admin.Sockets
	}
	return c.Sockets
}

// clientLimits is how many connections of clients may be open: half of the descriptors. The other half is for
// connections to endpoints: an open request has one of each, and probes and second attempts want more.
func clientLimits(sockets int) connlimit.Limits {
	return connlimit.Limits{
		MaxConnections: (sockets - reservedSockets) / 2,
		MaxIdle:        (sockets - reservedSockets) / idleConnsDivisor,
		MaxIdleTime:    clock.Micros(maxIdle),
		MinIdleTime:    clock.Micros(minIdle),
	}
}

// upstreamConns is how many connections to endpoints may be open.
func upstreamConns(sockets int) int {
	return sockets - reservedSockets - clientLimits(sockets).MaxConnections
}

// Run serves until stop ends, or another process has taken over, then finishes what it has taken and returns. At each
// signal of reload it reads the configuration again.
func Run(stop context.Context, c *platform.Config, reload <-chan os.Signal, read func() (*platform.Config, error),
	log *slog.Logger) error {
	ln, err := listen(c)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	s, err := assemble(c, nil, log)
	if err != nil {
		ln.Close()
		return err
	}
	return s.serve(stop, ln, reload, read)
}

// listen returns the clients' listening socket: the platform's, where it holds it, or our own.
func listen(c *platform.Config) (net.Listener, error) {
	if c.InheritedFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	f := os.NewFile(uintptr(c.InheritedFD), "inherited")
	if f == nil {
		return nil, fmt.Errorf("ROUTER_INHERITED_FD: %d is no descriptor", c.InheritedFD)
	}
	defer f.Close() // the listener has one of its own
	for option, is := range map[int]int{syscall.SO_TYPE: syscall.SOCK_STREAM, syscall.SO_ACCEPTCONN: 1} {
		if v, err := syscall.GetsockoptInt(c.InheritedFD, syscall.SOL_SOCKET, option); err != nil || v != is {
			return nil, fmt.Errorf("ROUTER_INHERITED_FD: %d is no listening stream socket", c.InheritedFD)
		}
	}
	return net.FileListener(f)
}

// sidecar is what assemble put together.
type sidecar struct {
	config *platform.Config
	clock  clock.Clock
	log    *slog.Logger
	pool   *upstream.Pool
	core   *core.Core
	source *discovery.Source
	front  *http1.Server
	client *http1.Client // the application
	events *eventlog.Log // nil where they are not asked for

	endpoints     *core.Pool
	firstWatcher  *discovery.Watcher // the first
	start         func()             // starts what runs beside the front
	lifecycle     *lifecycle
	accepting     atomic.Bool // clients are taken
	cordonsFileMu sync.Mutex  // of the words by hand
}

// dialFunc opens a connection to an endpoint.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// assemble puts a sidecar together without starting it. A nil dial is the usual one.
func assemble(c *platform.Config, dial dialFunc, log *slog.Logger) (*sidecar, error) {
	clk := clock.New()
	s := &sidecar{config: c, clock: clk, log: log}
	var observe engine.Observer
	if c.Events != nil {
		s.events = eventlog.NewLog(c.Events, clk.Now)
		observe = s.events
		dial = s.logDials(dial)
	}
	s.pool = upstream.New(upstream.Options{
		Clock:           clk,
		Log:             log,
		MaxConns:        upstreamConns(availableSockets(c)),
		DialTimeout:     clock.Duration(c.Site.Settings.Limits.DialTimeout),
		KeepAlive:       c.Site.KeepAlive,
		ReuseDelay:      upstream.DefaultReuseDelay,
		LoadFields:      c.Site.LoadReportFields,
		LoadInResponses: c.Site.ReportsOnResponses,
		Dial:            dial,
	})
	s.newSource()
	var err error
	s.core = core.New(core.Config{
		Clock:    clk,
		Site:     &c.Site,
		Seed:     c.Seed,
		Upstream: s.pool,
		Log:      log,
		Observer: observe,
	})
	pool := engine.PoolConfig{
		Source:           c.Discovery,
		InitialEndpoints: c.Known.EndpointUpdate(),
		SetWatch:         s.source.SetWatching,
	}
	if c.OverloadControl {
		o := overload.DefaultSettings()
		o.Instances = c.Site.Settings.Balancers
		pool.Overload = &o
	}
	s.endpoints, err = s.core.NewPool(pool)
	if err != nil {
		return nil, err
	}
	s.front, err = http1.New(http1.Options{
		Clock:       clk,
		Site:        &c.Site,
		Core:        s.core,
		Pool:        s.endpoints,
		SendAttempt: s.pool.Send,
		Limits:      clientLimits(availableSockets(c)),
		Log:         log,
	})
	if err != nil {
		return nil, err
	}
	s.client, err = s.front.NewClient(http1.ClientSettings{ClientSpec: fairqueue.ClientSpec{Name: c.Name, Weight: 1}})
	return s, err
}

// logDials returns a dial whose connections and errors are logged as events; nil is the usual dial.
func (s *sidecar) logDials(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{Timeout: clock.Duration(s.config.Site.Settings.Limits.DialTimeout)}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		return s.events.ConnOpened(addr, conn, err)
	}
}

// newSource makes the source of endpoint lists, without starting it.
func (s *sidecar) newSource() {
	watcher := s.watchDiscovery(s.config.Discovery, s.config.Known.Generation)
	s.firstWatcher = watcher
	if !s.config.Site.Settings.Subscribe {
		s.source = discovery.NewContinuousSource(watcher)
		return
	}
	s.source = discovery.NewPolledSource(watcher, func() {
		s.endpoints.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFailed})
	})
}

// identify says whose a connection is: the application's, the only client there is.
func (s *sidecar) identify(net.Conn) (*http1.Client, func(), error) { return s.client, nil, nil }

// watchDiscovery returns a discovery watcher that updates the core.
func (s *sidecar) watchDiscovery(addr string, after int64) *discovery.Watcher {
	w := discovery.NewWatcher(addr, after, s.config.MemoryMB, s.updateEndpoints, s.log)
	if s.events != nil {
		w.OnRequest = s.events.DiscoveryPolled
	}
	if !s.config.Site.Settings.Subscribe {
		w.ResponseTimeout = agentAnswerTimeout
		w.MaxBackoff = agentPollWait
	}
	return w
}

func (s *sidecar) updateEndpoints(ctx context.Context, t engine.EndpointUpdate) {
	s.endpoints.UpdateEndpoints(ctx, t)
}

func (s *sidecar) serve(stop context.Context, ln net.Listener, reload <-chan os.Signal,
	read func() (*platform.Config, error)) error {
	// What runs beside the front ends after it, so that all that it has taken is answered first.
	ctx, cancel := context.WithCancel(context.Background())
	var beside sync.WaitGroup
	defer beside.Wait()
	defer cancel()
	beside.Go(func() { s.reloadOnSignal(ctx, reload, read) })
	s.start = func() {
		beside.Go(func() { s.core.Run(ctx) })
		beside.Go(func() { s.pool.Run(ctx) })
		if !s.config.Site.Settings.Subscribe {
			s.source.SetWatching(true)
		}
	}
	defer s.source.Close()
	s.lifecycle = newLifecycle(s, ln)
	unoperate, err := s.serveAdmin()
	if err != nil {
		ln.Close()
		return err
	}
	defer unoperate()
	return s.lifecycle.run(stop)
}
