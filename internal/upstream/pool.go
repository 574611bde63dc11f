// Package upstream keeps connections to endpoints and makes attempts and probes on them. It decides nothing of
// where a request goes, and knows nothing of clients. pool.go holds the connections, for whatever protocol is
// spoken on them; exchange.go speaks HTTP/1.1.
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
	"dunlinsail/internal/monotime"
)

const sweepInterval = time.Second

// Options say how a Pool behaves.
type Options struct {
	Clock           clock.Clock
	Log             *slog.Logger
	DialTimeout     time.Duration // 0 is that of a probe
	KeepAlive       time.Duration // an endpoint closes a connection that has been idle for so long
	MaxConns        int           // connections open or being opened
	ReuseDelay      time.Duration // for which a connection rests after an answer: a second one may follow; 0 is not at all
	LoadFields      []string      // of a load report
	LoadInResponses bool          // answers carry load reports, too

	// Dial opens a connection; nil is that of package net.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Pool is a small pool of connections. It is not an http.Transport since that sends some requests again by
// itself when a kept connection breaks, and does not tell whether the last byte was written. Here an attempt is
// written at most once, in one piece.
type Pool struct {
	options     Options
	maxIdleTime time.Duration
	forwarded   atomic.Uint64 // attempts written whole

	mu              sync.Mutex
	openConns       int                  // open or being opened
	idleTargets     map[*Target]struct{} // those with idle connections
	lastShortageLog time.Time            // when a shortage of connections was last logged
	discardIdle     bool                 // nothing idle is kept any more

	idleLimits map[string]float64 // idle connections that may be held, by whom it was said; nil is no bound
	maxIdle    int                // that many; 0 is no bound
	idleConns  int                // held
}

// New returns an empty pool. Run its Keep.
func New(o Options) *Pool {
	if o.DialTimeout <= 0 {
		o.DialTimeout = probeTimeout
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: o.DialTimeout}).DialContext
	}
	// Well before the endpoint's own limit: a request that crosses its close is lost.
	return &Pool{options: o, maxIdleTime: o.KeepAlive * 2 / 3, idleTargets: map[*Target]struct{}{}}
}

// Forwarded returns how many attempts have been written whole to endpoints, their last byte included.
func (p *Pool) Forwarded() uint64 { return p.forwarded.Load() }

// Target is where one endpoint listens. Its connections are its own: a new endpoint may listen where one has
// gone, and what was meant for the one must not reach the other.
type Target struct {
	pool *Pool
	addr string

	// Guarded by Pool.mu.
	idle    []*Conn
	dropped bool // nothing new goes there
}

// Target returns a new target for an address.
func (p *Pool) Target(addr string) core.Target { return &Target{pool: p, addr: addr} }

// Conn is a connection to an endpoint.
type Conn struct {
	net.Conn
	readLimit io.LimitedReader // what may still be read
	reader    *bufio.Reader
	target    *Target
	idleSince time.Time // since when

	lastResponse time.Time       // when the last answer came that may be followed by a second one; zero is never
	availableAt  monotime.Micros // when an attempt on it could begin that had to wait for it; 0 is that it did not
}

func newConn(nc net.Conn, to *Target) *Conn {
	c := &Conn{Conn: nc, target: to}
	c.readLimit.R = nc
	c.reader = bufio.NewReaderSize(&c.readLimit, 4096)
	return c
}

var (
	errConnLimit    = errors.New("all connections are in use")
	errEndpointGone = errors.New("the endpoint is gone")
)

// NoConn says what it means that there is no connection for an attempt, which never ran. What is our own doing
// says nothing of the endpoint: blamed for it, a sound one would be ejected.
func (p *Pool) noConnStatus(ctx context.Context, err error) balancer.Status {
	shortage := errors.Is(err, errConnLimit) || errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) ||
		errors.Is(err, syscall.EADDRNOTAVAIL)
	if shortage {
		p.mu.Lock()
		due := time.Since(p.lastShortageLog) > time.Second
		if due {
			p.lastShortageLog = time.Now()
		}
		p.mu.Unlock()
		if due {
			p.options.Log.Warn("no connection for an attempt", "error", err)
		}
	}
	if shortage || errors.Is(err, errEndpointGone) || errors.Is(ctx.Err(), context.Canceled) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// DefaultReuseDelay is how long a connection rests after an answer. A second one may come some milliseconds late: what was written to
// the connection meanwhile would be answered by it. A rest of this length shows such an answer, and the connection is
// not used again. One that comes later still is only shown if nothing was written in between.
const DefaultReuseDelay = 20 * time.Millisecond

// Get returns the idle connection used last of those that have rested, since the others may then grow old; else one that still
// rests, once it has, since a new one costs more; else a new one.
func (p *Pool) Get(ctx context.Context, to *Target) (*Conn, error) {
	for {
		c, wait, err := p.getConn(ctx, to, false)
		if c == nil || wait <= 0 {
			return c, err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			p.putUnused(c)
			return nil, ctx.Err()
		}
		c.availableAt = p.options.Clock.Now() // what it waited for says nothing of the endpoint
		p.mu.Lock()
		gone, usable := to.dropped, p.isUsable(c)
		if gone || !usable {
			p.closeLocked(c)
		}
		p.mu.Unlock()
		switch {
		case gone:
			return nil, errEndpointGone
		case usable:
			return c, nil
		}
	}
}

// get returns a connection, and for how long it still has to rest. Of those at rest any will do for who asks for it.
func (p *Pool) getConn(ctx context.Context, to *Target, any bool) (c *Conn, wait time.Duration, err error) {
	p.mu.Lock()
	for i := len(to.idle) - 1; i >= 0 && !to.dropped; i-- {
		if !any && p.remainingReuseDelay(to.idle[i]) > 0 {
			continue
		}
		c := p.removeIdleLocked(to, i)
		if p.isUsable(c) {
			c.availableAt = 0
			p.mu.Unlock()
			return c, 0, nil
		}
		p.closeLocked(c)
	}
	switch {
	case to.dropped:
		err = errEndpointGone
	case len(to.idle) > 0:
		c, wait = p.takeDelayedLocked(to)
	case p.openConns >= p.options.MaxConns && !p.evictOldestLocked(): // descriptors must not run out: one idle elsewhere makes room
		err = errConnLimit
	default:
		p.openConns++
	}
	p.mu.Unlock()
	if c != nil || err != nil {
		return c, wait, err
	}
	nc, err := p.options.Dial(ctx, "tcp", to.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.openConns--
		return nil, 0, err
	}
	c = newConn(nc, to)
	if to.dropped {
		p.closeLocked(c) // another may listen there by now
		return nil, 0, errEndpointGone
	}
	return c, 0, nil
}

// restingLocked takes out the connection that has rested for longest, and returns for how long it still has to.
func (p *Pool) takeDelayedLocked(to *Target) (*Conn, time.Duration) {
	at := 0
	for i, c := range to.idle {
		if c.lastResponse.Before(to.idle[at].lastResponse) {
			at = i
		}
	}
	c := p.removeIdleLocked(to, at)
	return c, max(time.Nanosecond, p.remainingReuseDelay(c))
}

// settlesFor returns for how long a connection still has to rest.
func (p *Pool) remainingReuseDelay(c *Conn) time.Duration {
	if p.options.ReuseDelay <= 0 {
		return 0
	}
	return p.options.ReuseDelay - time.Since(c.lastResponse)
}

func (p *Pool) isUsable(c *Conn) bool { return time.Since(c.idleSince) < p.maxIdleTime && c.isAlive() }

// LimitIdle bounds how many idle connections are held, for one who has endpoints here; the bounds of all add up. Of less than
// one, one is held for that part of its time: over many instances that comes to the same. The one unused longest gives way.
// 0 takes the bound of that one back.
func (p *Pool) LimitIdle(who string, n float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idleLimits == nil {
		p.idleLimits = map[string]float64{}
	}
	if p.idleLimits[who] = n; n <= 0 {
		delete(p.idleLimits, who)
	}
	if p.maxIdle, p.maxIdleTime = 0, p.options.KeepAlive*2/3; len(p.idleLimits) == 0 {
		return
	}
	var sum float64
	for _, n := range p.idleLimits {
		sum += n
	}
	p.maxIdle = max(1, int(sum))
	p.maxIdleTime = time.Duration(float64(p.options.KeepAlive*2/3) * min(1, sum))
	p.trimIdleLocked()
}

// trimLocked closes what is held at rest beyond its bound.
func (p *Pool) trimIdleLocked() {
	for p.maxIdle > 0 && p.idleConns > p.maxIdle && p.evictOldestLocked() {
	}
}

// Put gives back a connection on which nothing is out any more.
func (p *Pool) Put(c *Conn) { p.putAfterResponse(c, time.Now()) }

// put does so with the instant of the last answer that may be followed by a second one.
func (p *Pool) putAfterResponse(c *Conn, answered time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastResponse, c.idleSince = answered, time.Now()
	p.insertIdleLocked(c)
}

// back puts back a connection that was not used. It has been idle all the while: the endpoint counts from its last use.
func (p *Pool) putUnused(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.idleSince.IsZero() {
		c.idleSince = time.Now() // it has just come up
	}
	p.insertIdleLocked(c)
}

// keepLocked keeps an idle connection, in the order in which they were last used.
func (p *Pool) insertIdleLocked(c *Conn) {
	if c.target.dropped || p.discardIdle {
		p.closeLocked(c)
		return
	}
	at := len(c.target.idle)
	for at > 0 && c.target.idle[at-1].idleSince.After(c.idleSince) {
		at--
	}
	c.target.idle = slices.Insert(c.target.idle, at, c)
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
	p.openConns--
}

// popLocked takes an idle connection out.
func (p *Pool) removeIdleLocked(to *Target, i int) *Conn {
	c := to.idle[i]
	p.idleConns--
	if to.idle = slices.Delete(to.idle, i, i+1); len(to.idle) == 0 {
		delete(p.idleTargets, to)
	}
	return c
}

// evictLocked closes the connection that has been idle for longest.
func (p *Pool) evictOldestLocked() bool {
	var oldest *Target
	for to := range p.idleTargets {
		if oldest == nil || to.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = to
		}
	}
	if oldest == nil {
		return false
	}
	p.closeLocked(p.removeIdleLocked(oldest, 0))
	return true
}

// Drop ends the use of a target. What is out there goes on.
func (to *Target) Drop() {
	p := to.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	to.dropped = true
	for len(to.idle) > 0 {
		p.closeLocked(p.removeIdleLocked(to, 0))
	}
}

// AttemptTimedOut closes the idle connections to an endpoint that were last used before an instant: one that has been
// silent since then may not be the only one.
func (to *Target) AttemptTimedOut(since time.Time) {
	p := to.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(to.idle) - 1; i >= 0; i-- {
		if to.idle[i].idleSince.Before(since) {
			p.closeLocked(p.removeIdleLocked(to, i))
		}
	}
}

// sweep closes connections that have been idle for too long or that the endpoint has closed.
func (p *Pool) sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for to := range p.idleTargets {
		for i := len(to.idle) - 1; i >= 0; i-- {
			if !p.isUsable(to.idle[i]) {
				p.closeLocked(p.removeIdleLocked(to, i))
			}
		}
	}
}

// SetKeepIdle says whether connections that are not in use are kept. Another process may need the descriptors.
func (p *Pool) SetKeepIdle(keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.discardIdle = !keep; p.discardIdle {
		for p.evictOldestLocked() {
		}
	}
}

// Run sweeps until ctx ends, and then closes what is idle.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			p.sweep()
		case <-ctx.Done():
			p.SetKeepIdle(false)
			return
		}
	}
}

// alive looks, without waiting, whether the endpoint has closed an idle connection or sent something on it
// unasked. A request written to such a connection would be lost and might have run.
func (c *Conn) isAlive() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
