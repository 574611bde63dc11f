// Package upstream holds the connections to endpoints, and makes attempts and health checks on them over
// HTTP/1.1 (RFC 9112). It does not choose endpoints, and must not import the packages that serve clients.
//
// pool.go manages the connections, and reuse.go selects the connection for an attempt. arrivals.go finds idle
// connections with unread bytes, inspect.go inspects them, surplus.go counts the surplus responses found there,
// and processortime.go measures how scarce processors are. exchange.go makes the attempts of clients' requests,
// with forwardbody.go for streaming bodies. buffered.go makes health checks and other small exchanges that are
// buffered completely. parse.go parses responses, and repeated.go recognizes a second response to an earlier
// request by its content.
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

// connReadBufferSize is the size in bytes of a connection's read buffer, the minimum that http1msg.NewBody
// accepts.
const connReadBufferSize = 4 << 10

// shortageLogInterval is the minimum time between two log messages about a shortage of connections.
const shortageLogInterval = time.Second

// Options are the settings of a Pool.
type Options struct {
	Clock       clock.Clock
	Log         *slog.Logger
	DialTimeout time.Duration // maximum time for opening a connection; 0: probeTimeout
	KeepAlive   time.Duration // the endpoints close a connection that has been idle for this long
	MaxConns    int           // maximum number of connections that are open or being opened
	ReuseDelay  time.Duration // time from a response until its connection is reused (DefaultReuseDelay); 0: none
	// ReuseDelayOptional has attempts open a new connection rather than wait for a reuse delay to pass
	// (Pool.Get).
	ReuseDelayOptional bool
	// DistrustedReuseDelay is the reuse delay at an address that has sent a second response recently. 0 means
	// DefaultDistrustedReuseDelay if ReuseDelay is positive, and no delay otherwise.
	DistrustedReuseDelay time.Duration
	LoadFields           []string // names of the fields of a load report, in the order in which values are returned
	LoadInResponses      bool     // load reports are also read from the headers of responses

	// Dial opens a connection. If it is nil, a net.Dialer is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	// threadsDirectory has the scheduler statistics of threads, in the layout of ownThreadsDirectory. "" means
	// ownThreadsDirectory, or no statistics if ReuseDelayOptional is set: with it, a longer reuse delay means
	// more new connections, which cost more than a machine with scarce processors can spare.
	threadsDirectory string
}

// Pool is a pool of connections to endpoints. Its methods may be called concurrently. It writes an attempt once
// at most, and reports whether the last byte was written. http.Transport does neither: it resends some requests
// by itself when a reused connection breaks.
type Pool struct {
	options     Options
	maxIdleTime time.Duration // an idle connection expires after this time
	forwarded   atomic.Uint64 // number of attempts of which the last byte was written

	mu              sync.Mutex
	openConns       int                  // number of connections that are open or being opened
	idleTargets     map[*Target]struct{} // targets with idle connections
	lastShortageLog time.Time            // when a shortage of connections was last logged
	discardIdle     bool                 // connections are closed when they become idle

	reuseDelays     *reuse.Decider // decides on reuse delays
	arrivals        arrivals       // watches the connections that are or have been idle
	delayedConns    []delayedConn  // connections observed by observeReuseDelays, in the order in which they became idle
	observing       bool           // observeReuseDelays is running
	waitingAttempts int            // number of attempts that wait for a reuse delay to pass
	nextObservation time.Time      // when observeReuseDelays is due, if it is running
	processorTimes  processorTimes // after New, only observeReuseDelays reads it
	surplus         surplusCounts

	idleLimits map[string]float64 // maximum number of idle connections, by owner; empty: no limit
	maxIdle    int                // sum of idleLimits, rounded down, but at least 1; 0: no limit
	idleConns  int                // current number of idle connections
}

// New returns an empty pool. The caller must call Run, which closes expired connections.
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
			ReuseDelay:           clock.Micros(o.ReuseDelay),
			DistrustedReuseDelay: clock.Micros(o.DistrustedReuseDelay),
		}),
		surplus:        newSurplusCounts(),
		processorTimes: processorTimes{directory: o.threadsDirectory},
	}
	threadTimes := p.processorTimes.sinceLastRead(time.Now())
	p.reuseDelays.ObserveProcessorTime(o.Clock.Now(), threadTimes.ran, threadTimes.waited)
	return p
}

// maxIdleTime returns how long a connection may be idle. This is two thirds of the time after which the
// endpoint closes the connection, since a request that is sent while the endpoint closes the connection is
// lost.
func (o *Options) maxIdleTime() time.Duration {
	return o.KeepAlive * 2 / 3
}

// Forwarded returns the number of attempts that were written to endpoints completely.
func (p *Pool) Forwarded() uint64 { return p.forwarded.Load() }

// Target is the address of one endpoint, with the idle connections to it. Targets with the same address do not
// share connections: a new endpoint may listen at the address of a previous one, and must not receive requests
// that are meant for the previous one.
type Target struct {
	pool     *Pool
	endpoint reuse.Endpoint

	// Guarded by Pool.mu.
	idle             []*Conn
	dropped          bool // the endpoint is gone, and no more attempts are made
	sendsLoadReports bool // a health check has received a load report
}

// Target returns a new target for an endpoint. pool is the name of the endpoint's pool (core.Pool), and addr is
// its address.
func (p *Pool) Target(pool, addr string) core.Target {
	return &Target{pool: p, endpoint: reuse.Endpoint{Pool: pool, Address: addr}}
}

// Conn is a connection to an endpoint.
type Conn struct {
	net.Conn
	raw             syscall.RawConn  // nil if the connection has no descriptor
	limitedReader   io.LimitedReader // reads from Conn; N is the number of bytes that may still be read
	reader          *bufio.Reader
	target          *Target
	idleSince       time.Time // when the connection was last used, or opened
	isIdle          bool      // is among the idle connections of target
	lastUsedByProbe bool      // the last exchange was a health check

	watchedFD    int32 // descriptor of the connection, if it is watched by arrivals
	arrivedInUse bool  // an arrival was reported while the connection was in use

	lastResponse     time.Time       // when the last response ended; zero if there was none
	previousResponse time.Time       // when the response before the last one ended; zero if there was none
	lastDigest       responseDigest  // digest of the last response
	availableAt      monotime.Micros // when the reuse delay passed, if an attempt waited for it; otherwise 0
}

// newConn wraps an open network connection to a target.
func newConn(netConn net.Conn, target *Target) *Conn {
	c := &Conn{Conn: netConn, target: target}
	if sc, ok := netConn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn() // fails only for a closed connection, which has no descriptor either
	}
	c.limitedReader.R = netConn
	c.reader = bufio.NewReaderSize(&c.limitedReader, connReadBufferSize)
	return c
}

var (
	errConnLimit    = errors.New("all connections are in use")
	errEndpointGone = errors.New("the endpoint is gone")
)

// noConnStatus returns the status of an attempt that got no connection because of err. The request was not
// sent. A shortage in this process does not count as a failure of the endpoint, which would be ejected because
// of it.
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

// isShortage reports whether err means that this process lacks connections, descriptors or ports.
func isShortage(err error) bool {
	return errors.Is(err, errConnLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL)
}

// logShortage logs that this process has no connection for an attempt, once per shortageLogInterval at most.
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

// LimitIdle limits the number of idle connections on behalf of one owner of endpoints. The limits of all owners
// add up. If the sum is below 1, one connection may be idle, for that fraction of the usual idle time, so that
// the mean over many instances is the sum. The connection that has been idle for longest is closed first. A
// limit of 0 removes the limit of the owner.
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

// trimIdleLocked closes the oldest idle connections while there are more than maxIdle.
func (p *Pool) trimIdleLocked() {
	for p.maxIdle > 0 && p.idleConns > p.maxIdle && p.evictOldestLocked() {
	}
}

// Put returns a connection to the pool after a complete response to an attempt.
func (p *Pool) Put(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsedByProbe = false
	p.putLocked(c)
}

// putLocked returns a connection to the pool after a complete response to an attempt or a health check.
func (p *Pool) putLocked(c *Conn) {
	c.previousResponse = c.lastResponse
	c.lastResponse = time.Now()
	c.idleSince = c.lastResponse
	p.insertIdleLocked(c)
	p.observeReuseDelayLocked(c)
}

// putUnused returns a connection to the pool to which nothing was written. It does not reset the idle time,
// since the endpoint measures it from the last use.
func (p *Pool) putUnused(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleSince.IsZero() {
		c.idleSince = time.Now() // opened just now
	}
	p.insertIdleLocked(c)
	p.observeReuseDelayLocked(c)
}

// insertIdleLocked inserts a connection into the idle connections of its target, which are ordered by their
// last use. It closes the connection instead if it has unread bytes, cannot be watched, or is no longer needed.
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

// closeLocked closes a connection that is not among the idle ones.
func (p *Pool) closeLocked(c *Conn) {
	c.Conn.Close()
	p.arrivals.forget(c)
	p.openConns--
}

// closeIdleLocked closes idle connection i of a target. It first inspects the connection, since a second
// response on it is evidence about other connections.
func (p *Pool) closeIdleLocked(target *Target, i int) {
	c := p.removeIdleLocked(target, i)
	p.inspectLocked(c)
	p.closeLocked(c)
}

// removeIdleLocked removes and returns idle connection i of a target.
func (p *Pool) removeIdleLocked(target *Target, i int) *Conn {
	c := target.idle[i]
	c.isIdle = false
	p.idleConns--
	if target.idle = slices.Delete(target.idle, i, i+1); len(target.idle) == 0 {
		delete(p.idleTargets, target)
	}
	return c
}

// removeConnLocked removes an idle connection from its target, and returns it.
func (p *Pool) removeConnLocked(c *Conn) *Conn {
	return p.removeIdleLocked(c.target, slices.Index(c.target.idle, c))
}

// evictOldestLocked closes the connection that has been idle for longest, of all targets. It returns false if
// no connection is idle.
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

// Drop closes the idle connections to an endpoint that is gone, and prevents further attempts. Attempts in
// flight continue.
func (target *Target) Drop() {
	p := target.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	target.dropped = true
	for len(target.idle) > 0 {
		p.closeIdleLocked(target, 0)
	}
}

// AttemptTimedOut closes the idle connections to an endpoint that were last used before since, when an attempt
// was sent that got no response: the network path of those connections may be broken, too.
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

// sweep closes idle connections that have expired, have unread bytes, or were closed by their endpoints.
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

// SetKeepIdle sets whether connections stay open while they are idle. During a hot restart they do not, since
// the other process may need the descriptors.
func (p *Pool) SetKeepIdle(keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.discardIdle = !keep; p.discardIdle {
		for p.evictOldestLocked() {
		}
	}
}

// Run sweeps idle connections periodically until ctx ends, and then closes all idle connections.
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

// stopWatching closes the epoll instance. It is called when no idle connections are left.
func (p *Pool) stopWatching() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.arrivals.close()
}
