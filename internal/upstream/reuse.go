package upstream

import (
	"context"
	"time"

	"dunlinsail/internal/clock"
)

// This file selects the connection for an attempt: an idle connection whose reuse delay has passed, or a new
// one. Package decide/reuse decides how long the reuse delay is.

// DefaultReuseDelay is the usual Options.ReuseDelay. An endpoint may send a second response some milliseconds
// after the first, which would be taken for the response to the next request. If the second response arrives
// during the reuse delay of the connection, the connection is closed.
const DefaultReuseDelay = 20 * time.Millisecond

// maxWaitFactor is the maximum time that an attempt waits for a reuse delay to pass, as a multiple of
// Options.ReuseDelay. A longer wait would use up the time of the attempt.
const maxWaitFactor = 2

// Get returns a connection to a target. It prefers, in this order:
//   - the most recently used idle connection whose reuse delay has passed, so that connections that are not
//     needed expire;
//   - the idle connection whose reuse delay passes first, if that is within maxWaitFactor, since a new connection
//     costs more;
//   - a new connection.
//
// With Options.ReuseDelayOptional, Get waits for a reuse delay only if no connection can be opened. It never
// returns a connection before its reuse delay has passed.
func (p *Pool) Get(ctx context.Context, target *Target) (*Conn, error) {
	mayWait := !p.options.ReuseDelayOptional
	for {
		c, wait, err := p.takeOrOpen(ctx, target, mayWait)
		if c == nil || wait <= 0 {
			return c, err
		}
		usable, err := p.awaitReuseDelay(ctx, c, wait)
		switch {
		case err != nil:
			return nil, err
		case usable:
			return c, nil
		}
	}
}

// getForProbe returns a connection for a health check. If the pool expects load reports, the response to the
// health check can be recognized. Then the connection may be in its reuse delay, unless its last exchange was a
// health check, whose load report might still be repeated.
func (p *Pool) getForProbe(ctx context.Context, target *Target) (*Conn, error) {
	if len(p.options.LoadFields) == 0 {
		return p.Get(ctx, target)
	}
	p.mu.Lock()
	c, err := p.takeForProbeOrReserveLocked(target)
	p.mu.Unlock()
	if c != nil || err != nil {
		return c, err
	}
	return p.openConn(ctx, target)
}

// takeForProbeOrReserveLocked returns an idle connection for a health check. If it returns neither a connection
// nor an error, it has counted a new connection, which the caller must open.
func (p *Pool) takeForProbeOrReserveLocked(target *Target) (*Conn, error) {
	p.inspectArrivalsLocked()
	mayUse := func(c *Conn) bool { return !c.lastUsedByProbe || p.remainingReuseDelayLocked(c) <= 0 }
	if c := p.takeUsableLocked(target, mayUse); c != nil {
		return c, nil
	}
	return nil, p.reserveLocked(target)
}

// putAfterProbe returns a connection to the pool after a health check. hasLoadReport is set if the response was
// a load report.
func (p *Pool) putAfterProbe(c *Conn, hasLoadReport bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsedByProbe = true
	c.target.sendsLoadReports = c.target.sendsLoadReports || hasLoadReport
	p.putLocked(c)
}

// awaitReuseDelay waits for wait, the remainder of a connection's reuse delay, and reports whether the
// connection may then be used. If not, it has returned the connection to the pool, or closed it. An error is
// that of ctx, or means that the endpoint is gone.
func (p *Pool) awaitReuseDelay(ctx context.Context, c *Conn, wait time.Duration) (usable bool, err error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		p.endWait()
		p.putUnused(c)
		return false, ctx.Err()
	}
	c.availableAt = p.options.Clock.Now() // so that the wait does not count as latency of the endpoint
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recordDelayLocked()
	p.inspectArrivalsLocked()
	p.waitingAttempts--
	switch {
	case c.target.dropped:
		p.inspectLocked(c)
		p.closeLocked(c)
		return false, errEndpointGone
	case !p.isUsableLocked(c):
		p.closeLocked(c)
		return false, nil
	case p.remainingReuseDelayLocked(c) > 0: // new evidence has prolonged the reuse delay
		p.insertIdleLocked(c)
		p.observeReuseDelayLocked(c)
		return false, nil
	}
	return true, nil
}

// endWait records that an attempt no longer waits for a reuse delay to pass.
func (p *Pool) endWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingAttempts--
}

// takeOrOpen returns an idle connection whose reuse delay has passed, or a new connection. With mayWait, or if
// no connection can be opened, it may return a connection in its reuse delay, and the time until the delay has
// passed.
func (p *Pool) takeOrOpen(ctx context.Context, target *Target, mayWait bool) (*Conn, time.Duration, error) {
	p.mu.Lock()
	c, wait := p.takeReusableLocked(target, mayWait)
	var err error
	if c == nil {
		err = p.reserveLocked(target)
	}
	p.mu.Unlock()
	if c != nil || err != nil {
		return c, wait, err
	}
	c, err = p.openConn(ctx, target)
	if err != nil && isShortage(err) {
		return p.takeAtShortage(ctx, target, err)
	}
	return c, 0, err
}

// takeReusableLocked removes and returns an idle connection whose reuse delay has passed. If there is no such
// connection and mayWait is set, it may return a connection in its reuse delay, and the time until the delay
// has passed. It returns nil if a new connection is to be opened.
func (p *Pool) takeReusableLocked(target *Target, mayWait bool) (*Conn, time.Duration) {
	p.recordDelayLocked() // while this process is delayed, observeReuseDelays may not have run either
	p.inspectArrivalsLocked()
	isReusable := func(c *Conn) bool { return p.remainingReuseDelayLocked(c) <= 0 }
	if c := p.takeUsableLocked(target, isReusable); c != nil {
		return c, 0
	}
	if !mayWait {
		return nil, 0
	}
	return p.takeEarliestReusableLocked(target)
}

// takeAtShortage returns a connection although this process lacks descriptors or ports to open one. It returns
// a connection whose reuse delay will pass soon, or closes an idle connection and opens a new one. If neither
// is possible, it returns shortage, the error of the failed dial.
func (p *Pool) takeAtShortage(ctx context.Context, target *Target, shortage error) (*Conn, time.Duration, error) {
	p.mu.Lock()
	c, wait := p.takeReusableLocked(target, true)
	canOpen := c == nil && p.evictOldestLocked() && p.reserveLocked(target) == nil
	p.mu.Unlock()
	switch {
	case c != nil:
		return c, wait, nil
	case canOpen:
		c, err := p.openConn(ctx, target)
		return c, 0, err
	}
	return nil, 0, shortage
}

// reserveLocked counts a connection that the caller is about to open. At Options.MaxConns it closes the oldest
// idle connection of any target.
func (p *Pool) reserveLocked(target *Target) error {
	if target.dropped {
		return errEndpointGone
	}
	if p.openConns >= p.options.MaxConns && !p.evictOldestLocked() {
		return errConnLimit
	}
	p.openConns++
	return nil
}

// takeUsableLocked removes and returns the most recently used idle connection that mayUse accepts, or nil if
// there is no such connection. It closes accepted connections that have expired. The caller must have called
// inspectArrivalsLocked.
func (p *Pool) takeUsableLocked(target *Target, mayUse func(*Conn) bool) *Conn {
	for i := len(target.idle) - 1; i >= 0; i-- {
		if !mayUse(target.idle[i]) {
			continue
		}
		if p.hasExpiredLocked(target.idle[i]) {
			p.closeIdleLocked(target, i)
			continue
		}
		c := p.removeIdleLocked(target, i)
		c.availableAt = 0
		return c
	}
	return nil
}

// takeEarliestReusableLocked removes and returns the idle connection whose reuse delay passes first, and the
// time until then. It returns nil if that time exceeds maxWaitFactor. The caller must wait with
// awaitReuseDelay.
func (p *Pool) takeEarliestReusableLocked(target *Target) (*Conn, time.Duration) {
	if len(target.idle) == 0 {
		return nil, 0
	}
	earliest := 0
	for i, c := range target.idle {
		if c.lastResponse.Before(target.idle[earliest].lastResponse) {
			earliest = i
		}
	}
	remaining := max(time.Nanosecond, p.remainingReuseDelayLocked(target.idle[earliest]))
	if remaining > maxWaitFactor*p.options.ReuseDelay {
		return nil, 0
	}
	p.waitingAttempts++
	p.startObservingLocked()
	return p.removeIdleLocked(target, earliest), remaining
}

// openConn opens a connection that reserveLocked has counted.
func (p *Pool) openConn(ctx context.Context, target *Target) (*Conn, error) {
	netConn, err := p.options.Dial(ctx, "tcp", target.endpoint.Address)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.openConns--
		return nil, err
	}
	c := newConn(netConn, target)
	if target.dropped {
		p.closeLocked(c) // another endpoint may listen at the address now
		return nil, errEndpointGone
	}
	return c, nil
}

// remainingReuseDelayLocked returns the time until the reuse delay of a connection has passed.
func (p *Pool) remainingReuseDelayLocked(c *Conn) time.Duration {
	if c.lastResponse.IsZero() {
		return 0
	}
	elapsed := clock.Micros(time.Since(c.lastResponse))
	return clock.Duration(p.reuseDelays.RemainingReuseDelay(p.options.Clock.Now(), c.target.endpoint, elapsed))
}

// isUsableLocked reports whether a connection is still open, has no unread bytes, and has not expired. A
// request on any other connection would be lost, although it might have run, or would receive the response to
// another request.
func (p *Pool) isUsableLocked(c *Conn) bool {
	return p.inspectLocked(c) == connQuiet && !p.hasExpiredLocked(c)
}

// hasExpiredLocked reports whether a connection has been idle for too long to be used again.
func (p *Pool) hasExpiredLocked(c *Conn) bool { return time.Since(c.idleSince) >= p.maxIdleTime }
