// Package sidecar assembles the platform's sidecar: a listener for one application, the core with its balancer,
// the pool of connections to endpoints, and the watch for endpoint lists at discovery. It starts these parts,
// applies a new configuration to them, and stops them in order.
//
// sidecar.go assembles the parts; lifecycle.go controls a process from its start to its end, with successor.go and
// predecessor.go for the two sides of a hot restart; admin.go, cordons.go and metrics.go handle operators' requests;
// reload.go applies a new configuration.
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
	"dunlinsail/internal/timesharing"
	"dunlinsail/internal/upstream"
)

// reservedSockets is the number of file descriptors that connections to clients and endpoints may not use. They
// are for the standard streams, the listener, the Go runtime, the detection of arrivals on idle connections,
// requests to discovery and the configuration file.
const reservedSockets = 16

const (
	// idleConnsDivisor limits client connections without an open request to 1/6 of the unreserved descriptors. The
	// clients' machine has its own limit on connections, and each idle connection that is kept open reduces the
	// number of connections that other clients on that machine can open.
	idleConnsDivisor = 6
	maxIdleTime      = 15 * time.Second       // idle timeout of a client connection while no other is idle
	minIdleTime      = 100 * time.Millisecond // idle timeout of a client connection at the limit on idle ones
)

// Timeouts for discovery that pushes endpoint lists. Such a discovery is an agent on this machine, and requests to
// it are fast and cheap. When the agent is reachable again after an outage, its updates count as known to this
// sidecar from that moment. A request to the agent must therefore be open at that moment, or follow within the
// drain grace.
const (
	agentResponseTimeout = 500 * time.Millisecond // limit on the time until a response of the agent starts
	agentMaxBackoff      = 50 * time.Millisecond  // maximum pause between requests that return no list
)

// availableSockets returns the number of descriptors for connections to clients and endpoints, including the
// reservedSockets. Descriptors for the admin server are not included.
func availableSockets(c *platform.Config) int {
	if c.AdminAddress != "" {
		return c.Sockets - admin.MaxDescriptors
	}
	return c.Sockets
}

// clientLimits returns the limits on client connections. They may use half of the unreserved descriptors. The
// other half is for connections to endpoints: an open request uses one connection to the client and one to an
// endpoint, and health checks and hedged requests need additional connections to endpoints.
func clientLimits(sockets, memoryMB int) connlimit.Limits {
	return connlimit.Limits{
		MaxReservedBytes: connlimit.MaxReservedBytes(int64(memoryMB) << 20),
		MaxConnections:   maxClientConns(sockets),
		MaxIdle:          (sockets - reservedSockets) / idleConnsDivisor,
		MaxIdleTime:      clock.Micros(maxIdleTime),
		MinIdleTime:      clock.Micros(minIdleTime),
	}
}

// maxClientConns returns the maximum number of open client connections.
func maxClientConns(sockets int) int { return (sockets - reservedSockets) / 2 }

// upstreamConns returns the maximum number of open connections to endpoints.
func upstreamConns(sockets int) int {
	return sockets - reservedSockets - maxClientConns(sockets)
}

// Run serves until stop ends or another process has taken over, then finishes the open requests and returns. At
// each signal from reload it calls readConfig for the new configuration. Run returns an error if the process could
// not start or its listener failed.
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

// listen returns the listening socket for clients. The socket is inherited from the platform if InheritedFD is
// set, and new otherwise.
func listen(c *platform.Config) (net.Listener, error) {
	if c.InheritedFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	return inheritListener(c.InheritedFD)
}

// sidecar holds the parts of the sidecar; assemble creates it.
type sidecar struct {
	config     *platform.Config
	clock      clock.Clock
	log        *slog.Logger
	connPool   *upstream.Pool
	core       *core.Core
	listSource *discovery.Source
	frontend   *http1.Server
	client     *http1.Client // the only client, the application
	processors *timesharing.Processors
	events     *eventlog.Log // nil if the configuration has no event log

	endpointPool  *core.Pool
	firstWatcher  *discovery.Watcher // the first watcher of listSource
	start         func()             // starts core, connPool and listSource; set by serve
	lifecycle     *lifecycle
	accepting     atomic.Bool // whether this process accepts clients
	cordonsFileMu sync.Mutex  // guards cordonsFile
}

// dialFunc opens a connection to an endpoint.
type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// assemble creates a sidecar without starting it. Connections to endpoints are opened by dial, or by a net.Dialer if
// dial is nil.
func assemble(c *platform.Config, dial dialFunc, log *slog.Logger) (*sidecar, error) {
	s := &sidecar{config: c, clock: clock.New(), log: log}
	s.processors = timesharing.New(s.clock, log)
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
		InitialEndpoints: c.InitialList.EndpointUpdate(),
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

// newFrontend creates the frontend and its only client, the application.
func (s *sidecar) newFrontend() error {
	c := s.config
	var err error
	s.frontend, err = http1.New(http1.Options{
		Clock:       s.clock,
		Site:        &c.Site,
		Core:        s.core,
		Pool:        s.endpointPool,
		SendAttempt: s.connPool.Send,
		Limits:      clientLimits(availableSockets(c), c.MemoryMB),
		Processors:  s.processors,
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

// logDials returns a dialFunc that calls dial and writes the connections and errors to the event log. A net.Dialer
// is used if dial is nil.
func (s *sidecar) logDials(dial dialFunc) dialFunc {
	if dial == nil {
		dial = (&net.Dialer{Timeout: clock.Duration(s.config.Site.Settings.Limits.DialTimeout)}).DialContext
	}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		return s.events.ConnOpened(addr, conn, err)
	}
}

// newSource creates the source of endpoint lists without starting it.
func (s *sidecar) newSource() {
	watcher := s.watchDiscovery(s.config.Discovery, s.config.InitialList.Generation)
	s.firstWatcher = watcher
	if !s.config.Site.Settings.Subscribe {
		s.listSource = discovery.NewContinuousSource(watcher)
		return
	}
	s.listSource = discovery.NewPolledSource(watcher, func() {
		s.endpointPool.UpdateEndpoints(context.Background(), engine.EndpointUpdate{Kind: balancer.ListFailed})
	})
}

// identify returns the client of a connection, which is always the application.
func (s *sidecar) identify(net.Conn) (*http1.Client, func(), error) { return s.client, nil, nil }

// watchDiscovery returns a watcher that requests the endpoint lists that follow afterGeneration from the discovery
// at addr, and passes them to the core. listSource starts the watcher.
func (s *sidecar) watchDiscovery(addr string, afterGeneration int64) *discovery.Watcher {
	update := func(ctx context.Context, update engine.EndpointUpdate) {
		update.Source = addr
		s.updateEndpoints(ctx, update)
	}
	w := discovery.NewWatcher(addr, afterGeneration, s.config.MemoryMB, update, s.log)
	if s.events != nil {
		w.OnRequest = s.events.DiscoveryPolled
	}
	if !s.config.Site.Settings.Subscribe {
		w.ResponseTimeout = agentResponseTimeout
		w.MaxBackoff = agentMaxBackoff
	}
	return w
}

// updateEndpoints passes an update of the endpoint list to the core. It is a method of its own because watchers are
// created before s.endpointPool is set.
func (s *sidecar) updateEndpoints(ctx context.Context, update engine.EndpointUpdate) {
	s.endpointPool.UpdateEndpoints(ctx, update)
}

// serve runs the sidecar on a listener until stop ends or another process has taken over, and then closes the
// listener. readConfig is called at each signal from reload.
func (s *sidecar) serve(stop context.Context, ln net.Listener, reload <-chan os.Signal,
	readConfig func() (*platform.Config, error)) error {
	// ctx is not derived from stop, because the goroutines of core, connPool and reload must run until the
	// frontend has sent a response to every request.
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
