// Package upstream holds the connections to endpoints and makes attempts and health checks on them over HTTP/1.1
// (RFC 9112). It does not choose endpoints, and must not import the packages that serve clients. pool.go keeps the
// connections, and reuse.go selects the one that an attempt uses; arrivals.go finds the idle connections on which
// something has arrived, inspect.go looks at them, surplus.go counts the responses found there, and processortime.go
// reads how scarce processors are. exchange.go makes
// the attempts of clients' requests, with forwardbody.go for bodies that stream; buffered.go makes health checks, and
// small exchanges that are read completely. parse.go parses responses, and repeated.go recognizes those that repeat
// the response to an earlier request.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/reuse"
	"dunlinsail/internal/monotime"
)

// sweepInterval is how often Run closes idle connections that have expired or that their endpoint has closed.
const sweepInterval = time.Second

// connReadBufferSize is the size in bytes of a connection's read buffer, the least that http1msg.NewBody takes.
const connReadBufferSize = 4 << 10

// shortageLogInterval is how long after a shortage of connections has been logged another one is not.
const shortageLogInterval = time.Second

// Options configure a Pool.
type Options struct {
	Clock       clock.Clock
	Log         *slog.Logger
	DialTimeout time.Duration // 0 means probeTimeout
	KeepAlive   time.Duration // after which an endpoint closes an idle connection
	MaxConns    int           // connections open or being opened
	ReuseDelay  time.Duration // before a connection is used again (DefaultReuseDelay); 0 is none
	// ReuseDelayOptional has an attempt never wait for a ReuseDelay (Pool.Get).
	ReuseDelayOptional bool
	// DistrustedReuseDelay is the reuse delay of an address that has sent a response to no request. 0 means
	// DefaultDistrustedReuseDelay if there is a ReuseDelay, and none otherwise.
	DistrustedReuseDelay time.Duration
	LoadFields           []string // fields of a load report, in the order of their values
	LoadInResponses      bool     // load reports are also read from responses

	// Dial opens a connection; nil is that of package net.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// threadsDirectory has the statistics of threads. "" is that of this process, or none with ReuseDelayOptional: a
	// new connection for each request would cost a machine without processors to spare more than it has.
	threadsDirectory string
}

// Pool is a pool of connections. Its methods may be called concurrently. It is not an http.Transport, which resends
// some requests by itself when a reused connection breaks, and does not report whether the last byte was written.
// Here an attempt is written once at most.
type Pool struct {
	options     Options
	maxIdleTime time.Duration // of a connection
	forwarded   atomic.Uint64 // attempts written completely

	mu              sync.Mutex
	openConns       int                  // open or being opened
	idleTargets     map[*Target]struct{} // those with idle connections
	lastShortageLog time.Time            // when a shortage of connections was last logged
	discardIdle     bool                 // idle connections are closed

	reuseDelays     *reuse.Decider // decides how long connections rest
	arrivals        arrivals       // on connections that have been idle
	delayedConns    []delayedConn  // in the order in which they began to rest
	observing       bool           // observeReuseDelays runs
	waitingAttempts int            // attempts that wait for a connection to have rested
	nextObservation time.Time      // when observeReuseDelays is due, if it runs
	processorTimes  processorTimes // of observeReuseDelays
	surplus         surplusCounts

	idleLimits map[string]float64 // idle connections allowed, by owner; empty is no bound
	maxIdle    int                // the sum of idleLimits; 0 is no bound
	idleConns  int                // idle at present
}

// New returns an empty pool. The caller runs Run.
func New(o Options) *Pool {
	if o.DialTimeout <= 0 {
		o.DialTimeout = probeTimeout
	}
	if o.ReuseDelay > 0 && o.DistrustedReuseDelay <= 0 {
		o.DistrustedReuseDelay = DefaultDistrustedReuseDelay
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	if !o.ReuseDelayOptional && o.threadsDirectory == "" {
		o.threadsDirectory = ownThreadsDirectory
	}
	p := &Pool{
		options:     o,
		maxIdleTime: o.maxIdleTime(),
		idleTargets: map[*Target]struct{}{},
		reuseDelays: reuse.New(reuse.Settings{
			Rest:           clock.Micros(o.ReuseDelay),
			DistrustedRest: clock.Micros(o.DistrustedReuseDelay),
		}),
		surplus:        newSurplusCounts(),
		processorTimes: processorTimes{directory: o.threadsDirectory},
	}
	used := p.processorTimes.sinceLastRead(time.Now())
	p.reuseDelays.ObserveProcessorTime(o.Clock.Now(), used.ran, used.waited)
	return p
}

// maxIdleTime returns how long a connection may be idle: two thirds of the time after which the endpoint closes it,
// since a request that crosses the endpoint's close is lost.
func (o *Options) maxIdleTime() time.Duration {
	return o.KeepAlive * 2 / 3
}

// Forwarded returns how many attempts have been written to endpoints, their last byte included.
func (p *Pool) Forwarded() uint64 { return p.forwarded.Load() }

// Target is the address of one endpoint, with the connections to it. Targets with the same address do not share them:
// a new endpoint may listen at the address of one that has gone, whose requests must not reach it.
type Target struct {
	pool     *Pool
	endpoint reuse.Endpoint

	// Guarded by Pool.mu.
	idle             []*Conn
	dropped          bool // no attempt is made any more
	sendsLoadReports bool // a health check has got a load report
}

// Target returns a new target for the address of an endpoint of a pool of endpoints (core.Pool), which is given by its
// name.
func (p *Pool) Target(pool, addr string) core.Target {
	return &Target{pool: p, endpoint: reuse.Endpoint{Pool: pool, Address: addr}}
}

// Conn is a connection to an endpoint.
type Conn struct {
	net.Conn
	raw             syscall.RawConn  // nil: the connection has no descriptor
	readLimit       io.LimitedReader // bytes that may still be read
	reader          *bufio.Reader
	target          *Target
	idleSince       time.Time // since when it is idle
	isIdle          bool      // it is among the idle connections of its target
	lastUsedByProbe bool      // its last exchange was a health check

	watchedFD    int32 // its descriptor, if arrivals watches it
	arrivedInUse bool  // an arrival on it was reported while it was in use

	lastResponse     time.Time       // after which a second response may follow; zero: there was none
	previousResponse time.Time       // the one before lastResponse; zero: there was none
	lastDigest       responseDigest  // of the last response
	availableAt      monotime.Micros // when its rest ended, if an attempt waited for that; else 0
}

func newConn(netConn net.Conn, target *Target) *Conn {
	c := &Conn{Conn: netConn, target: target}
	if sc, ok := netConn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // its error is that of a closed connection, which has no descriptor either
	}
	c.readLimit.R = netConn
	c.reader = bufio.NewReaderSize(&c.readLimit, connReadBufferSize)
	return c
}

var (
	errConnLimit    = errors.New("all connections are in use")
	errEndpointGone = errors.New("the endpoint is gone")
)

// noConnStatus returns the status of an attempt for which there is no connection, which never ran. A shortage in this
// process does not count as a failure of the endpoint, which would be ejected for it.
func (p *Pool) noConnStatus(ctx context.Context, err error) balancer.Status {
	shortage := isShortage(err)
	if shortage {
		p.logShortage(err)
	}
	if shortage || errors.Is(err, errEndpointGone) || errors.Is(ctx.Err(), context.Canceled) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// isShortage reports whether a connection could not be opened for lack of descriptors or ports in this process.
func isShortage(err error) bool {
	return errors.Is(err, errConnLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL)
}

// logShortage logs, once in shortageLogInterval at most, that this process has no connection for an attempt.
func (p *Pool) logShortage(err error) {
	p.mu.Lock()
	isDue := time.Since(p.lastShortageLog) > shortageLogInterval
	if isDue {
		p.lastShortageLog = time.Now()
	}
	p.mu.Unlock()
	if isDue {
		p.options.Log.Warn("no connection for an attempt", "error", err)
	}
}

// LimitIdle bounds the idle connections on behalf of one owner of endpoints; the bounds of all owners add up. With a
// sum below 1 one connection stays idle for that part of the idle time, which over many instances has the same mean.
// The connection that has been idle for longest is closed first. A limit of 0 removes the bound of the owner.
func (p *Pool) LimitIdle(owner string, limit float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleLimits == nil {
		p.idleLimits = map[string]float64{}
	}
	p.idleLimits[owner] = limit
	if limit <= 0 {
		delete(p.idleLimits, owner)
	}
	p.maxIdle = 0
	p.maxIdleTime = p.options.maxIdleTime()
	if len(p.idleLimits) == 0 {
		return
	}
	var sum float64
	for _, n := range p.idleLimits {
		sum += n
	}
	p.maxIdle = max(1, int(sum))
	p.maxIdleTime = time.Duration(float64(p.options.maxIdleTime()) * min(1, sum))
	p.trimIdleLocked()
}

// trimIdleLocked closes idle connections beyond their bound.
func (p *Pool) trimIdleLocked() {
	for p.maxIdle > 0 && p.idleConns > p.maxIdle && p.evictOldestLocked() {
	}
}

// Put returns a connection on which a response to an attempt has ended.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsedByProbe = false
	p.putLocked(c)
}

// putLocked returns a connection on which a response has ended.
func (p *Pool) putLocked(c *Conn) {
	c.previousResponse = c.lastResponse
	c.lastResponse = time.Now()
	c.idleSince = c.lastResponse
	p.insertIdleLocked(c)
	p.observeReuseDelayLocked(c)
}

// putUnused returns a connection that was not used. Its idle time continues, since the endpoint counts from its last
// use.
func (p *Pool) putUnused(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleSince.IsZero() {
		c.idleSince = time.Now() // it has just been opened
	}
	p.insertIdleLocked(c)
	p.observeReuseDelayLocked(c)
}

// insertIdleLocked adds an idle connection to its target, in the order in which they were last used. One on
// which something has arrived, or that cannot be watched for that, is closed.
func (p *Pool) insertIdleLocked(c *Conn) {
	if c.target.dropped || p.discardIdle || !p.watchLocked(c) {
		p.inspectLocked(c)
		p.closeLocked(c)
		return
	}
	index := len(c.target.idle)
	for index > 0 && c.target.idle[index-1].idleSince.After(c.idleSince) {
		index--
	}
	c.target.idle = slices.Insert(c.target.idle, index, c)
	c.isIdle = true
	p.idleTargets[c.target] = struct{}{}
	p.idleConns++
	p.trimIdleLocked()
}

// Discard closes a connection that Get returned.
func (p *Pool) Discard(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeLocked(c)
}

func (p *Pool) closeLocked(c *Conn) {
	c.Conn.Close()
	p.arrivals.forget(c)
	p.openConns--
}

// closeIdleLocked closes an idle connection of a target. Whether a second response has arrived on it is evidence for
// the others.
func (p *Pool) closeIdleLocked(target *Target, i int) {
	c := p.removeIdleLocked(target, i)
	p.inspectLocked(c)
	p.closeLocked(c)
}

// removeIdleLocked removes an idle connection from its target.
func (p *Pool) removeIdleLocked(target *Target, i int) *Conn {
	c := target.idle[i]
	c.isIdle = false
	p.idleConns--
	if target.idle = slices.Delete(target.idle, i, i+1); len(target.idle) == 0 {
		delete(p.idleTargets, target)
	}
	return c
}

// removeConnLocked removes a connection that is idle from its target.
func (p *Pool) removeConnLocked(c *Conn) *Conn {
	return p.removeIdleLocked(c.target, slices.Index(c.target.idle, c))
}

// evictOldestLocked closes the connection that has been idle for longest.
func (p *Pool) evictOldestLocked() bool {
	var oldest *Target
	for target := range p.idleTargets {
		if oldest == nil || target.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = target
		}
	}
	if oldest == nil {
		return false
	}
	p.closeIdleLocked(oldest, 0)
	return true
}

// Drop ends the use of a target. Attempts in flight go on.
func (target *Target) Drop() {
	p := target.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	target.dropped = true
	for len(target.idle) > 0 {
		p.closeIdleLocked(target, 0)
	}
}

// AttemptTimedOut closes the idle connections to an endpoint that were last used before an instant. An attempt that was
// sent then has had no response, and the network path of the other connections may be broken, too.
func (target *Target) AttemptTimedOut(since time.Time) {
	p := target.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(target.idle) - 1; i >= 0; i-- {
		if target.idle[i].idleSince.Before(since) {
			p.closeIdleLocked(target, i)
		}
	}
}

// sweep closes connections that have been idle for too long or that the endpoint has closed.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inspectArrivalsLocked()
	for target := range p.idleTargets {
		for i := len(target.idle) - 1; i >= 0; i-- {
			if p.hasExpiredLocked(target.idle[i]) {
				p.closeIdleLocked(target, i)
			}
		}
	}
}

// SetKeepIdle sets whether connections stay open while they are idle. They do not while another process may need the
// descriptors (hot restart).
func (p *Pool) SetKeepIdle(keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.discardIdle = !keep; p.discardIdle {
		for p.evictOldestLocked() {
		}
	}
}

// Run sweeps idle connections until ctx ends, and then closes them all.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.sweep()
			p.reportSurplus()
		case <-ctx.Done():
			p.SetKeepIdle(false)
			p.stopWatching()
			return
		}
	}
}

// stopWatching ends the watch of idle connections, of which there are none any more.
func (p *Pool) stopWatching() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals.close()
}
