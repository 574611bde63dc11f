// Package sidecar assembles the platform's sidecar: one listener for one application, the core with its balancer,
// the pool of connections to endpoints, and the watch at discovery. It starts these parts, switches them to a new
// configuration, and stops them in order.
//
// sidecar.go assembles the parts; lifecycle.go takes a process from its start to its end, with successor.go and
// predecessor.go for the two sides of a hot restart; admin.go, cordons.go and metrics.go answer operators; reload.go
// applies a new configuration.
package sidecar

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
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

// reservedSockets is the number of descriptors that neither clients nor endpoints may use: standard streams, the
// listener, the runtime, arrivals on idle connections, calls of discovery and the configuration file.
const reservedSockets = 16

const (
	// idleConnsDivisor limits the clients' connections without an open request to this part of the descriptors. The
	// clients' machine has limits of its own, and each idle connection that is kept is one that other clients there
	// cannot open.
	idleConnsDivisor = 6
	maxIdleTime      = 15 * time.Second       // idle time of a connection between requests, while no other is idle
	minIdleTime      = 100 * time.Millisecond // idle time of a connection while as many are idle as may be
)

// Where lists are pushed, discovery is an agent on this machine, and a call to it is fast and cheap. What the agent
// learns when it is reachable again counts as known to this sidecar from that moment, so that a call must be open then,
// or follow within the drain grace.
const (
	agentResponseTimeout = 500 * time.Millisecond // until an answer of the agent begins
	agentMaxBackoff      = 50 * time.Millisecond  // longest backoff between calls to the agent
)

// availableSockets returns the number of descriptors that clients and endpoints share, with the reserved ones.
func availableSockets(c *platform.Config) int {
	if c.AdminAddress != "" {
		return c.Sockets - admin.Sockets
	}
	return c.Sockets
}

// clientLimits returns the limits of clients' connections. They may use half of the descriptors that are not reserved.
// The other half is for connections to endpoints: an open request has one of each, and health checks and hedged
// requests need further ones.
func clientLimits(sockets int) connlimit.Limits {
	return connlimit.Limits{
		MaxConnections: (sockets - reservedSockets) / 2,
		MaxIdle:        (sockets - reservedSockets) / idleConnsDivisor,
		MaxIdleTime:    clock.Micros(maxIdleTime),
		MinIdleTime:    clock.Micros(minIdleTime),
	}
}

// upstreamConns returns the number of connections to endpoints that may be open.
func upstreamConns(sockets int) int {
	return sockets - reservedSockets - clientLimits(sockets).MaxConnections
}

// Run serves until stop ends or another process has taken over, then finishes the open requests and returns. At each
// signal of reload it calls read for the configuration. An error means that the process could not start, or that its
// listener failed.
func Run(stop context.Context, c *platform.Config, reload <-chan os.Signal, readConfig func() (*platform.Config, error),
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
	return s.serve(stop, ln, reload, readConfig)
}

// listen returns the clients' listening socket: the one inherited from the platform, or a new one without that.
func listen(c *platform.Config) (net.Listener, error) {
	if c.InheritedFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	return inheritListener(c.InheritedFD)
}

// sidecar holds the parts that assemble makes.
type sidecar struct {
	config     *platform.Config
	clock      clock.Clock
	log        *slog.Logger
	connPool   *upstream.Pool
	core       *core.Core
	listSource *discovery.Source
	frontend   *http1.Server
	client     *http1.Client // the application
	events     *eventlog.Log // nil unless the configuration has an event log

	endpointPool  *core.Pool
	firstWatcher  *discovery.Watcher // the one that source starts with
	start         func()             // starts the goroutines of core, pool and source; set by serve
	lifecycle     *lifecycle
	accepting     atomic.Bool // reports whether this process accepts clients
	cordonsFileMu sync.Mutex  // guards the file of cordons
}

// dialFunc opens a connection to an endpoint.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// assemble makes a sidecar without starting it. A nil dial is a net.Dialer's.
func assemble(c *platform.Config, dial dialFunc, log *slog.Logger) (*sidecar, error) {
	s := &sidecar{config: c, clock: clock.New(), log: log}
	var observer engine.Observer
	if c.Events != nil {
		s.events = eventlog.NewLog(c.Events, s.clock.Now)
		observer = s.events
		dial = s.logDials(dial)
	}
	s.connPool = upstream.New(upstream.Options{
		Clock:           s.clock,
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
	s.core = core.New(core.Config{
		Clock:    s.clock,
		Site:     &c.Site,
		Seed:     c.Seed,
		Upstream: s.connPool,
		Log:      log,
		Observer: observer,
	})
	if err := s.newEndpoints(); err != nil {
		return nil, err
	}
	return s, s.newFrontend()
}

// newEndpoints adds the sidecar's only pool of endpoints to the core.
func (s *sidecar) newEndpoints() error {
	c := s.config
	pool := engine.PoolConfig{
		Source:           c.Discovery,
		InitialEndpoints: c.Known.EndpointUpdate(),
		SetWatch:         s.listSource.SetWatching,
	}
	if c.OverloadControl {
		settings := overload.DefaultSettings()
		settings.Instances = c.Site.Settings.Balancers
		pool.Overload = &settings
	}
	var err error
	s.endpointPool, err = s.core.NewPool(pool)
	return err
}

// newFrontend makes the frontend and its only client, the application.
func (s *sidecar) newFrontend() error {
	c := s.config
	var err error
	s.frontend, err = http1.New(http1.Options{
		Clock:       s.clock,
		Site:        &c.Site,
		Core:        s.core,
		Pool:        s.endpointPool,
		SendAttempt: s.connPool.Send,
		Limits:      clientLimits(availableSockets(c)),
		Log:         s.log,
	})
	if err != nil {
		return err
	}
	s.client, err = s.frontend.NewClient(http1.ClientSettings{
		ClientSpec: fairqueue.ClientSpec{Name: c.Name, Weight: 1},
	})
	return err
}

// logDials returns a dial whose connections and errors are written to the event log. A nil dial is a net.Dialer's.
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
		s.listSource = discovery.NewContinuousSource(watcher)
		return
	}
	s.listSource = discovery.NewPolledSource(watcher, func() {
		s.endpointPool.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFailed})
	})
}

// identify returns the client of a connection: the application is the only one.
func (s *sidecar) identify(net.Conn) (*http1.Client, func(), error) { return s.client, nil, nil }

// watchDiscovery returns a discovery watcher that updates the core with the lists after a generation. The source starts
// it.
func (s *sidecar) watchDiscovery(addr string, after int64) *discovery.Watcher {
	w := discovery.NewWatcher(addr, after, s.config.MemoryMB, s.updateEndpoints, s.log)
	if s.events != nil {
		w.OnRequest = s.events.DiscoveryPolled
	}
	if !s.config.Site.Settings.Subscribe {
		w.ResponseTimeout = agentResponseTimeout
		w.MaxBackoff = agentMaxBackoff
	}
	return w
}

// updateEndpoints passes an update of the endpoint list to the core. Watchers have it before s.endpoints is set.
func (s *sidecar) updateEndpoints(ctx context.Context, update engine.EndpointUpdate) {
	s.endpointPool.UpdateEndpoints(ctx, update)
}

// serve runs the sidecar on a listener, which it closes, until stop ends or another process has taken over. read is
// called at each signal of reload.
func (s *sidecar) serve(stop context.Context, ln net.Listener, reload <-chan os.Signal,
	readConfig func() (*platform.Config, error)) error {
	// The goroutines of core, pool and reload end after the frontend, so that every request is answered first.
	// That is why ctx is not derived from stop.
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel()
	background.Go(func() { s.reloadOnSignal(ctx, reload, readConfig) })
	s.start = func() {
		background.Go(func() { s.core.Run(ctx) })
		background.Go(func() { s.connPool.Run(ctx) })
		if !s.config.Site.Settings.Subscribe {
			s.listSource.SetWatching(true)
		}
	}
	defer s.listSource.Close()
	s.lifecycle = newLifecycle(s, ln)
	stopAdmin, err := s.serveAdmin()
	if err != nil {
		ln.Close()
		return err
	}
	defer stopAdmin()
	return s.lifecycle.run(stop)
}
