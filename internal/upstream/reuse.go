package upstream

import (
	"context"
	"time"

	"dunlinsail/internal/clock"
)

// This file selects the connection that an attempt uses: an idle one that may be used again, or a new one. How long
// connections rest before is decided by package decide/reuse.

// DefaultReuseDelay is the usual Options.ReuseDelay. An endpoint may send a second response some milliseconds after the
// first, which would pass for the response to the next request. If it arrives while the connection rests, that is
// closed.
const DefaultReuseDelay = 20 * time.Millisecond

// maxWaitFactor is how many times Options.ReuseDelay an attempt waits at most until a connection has rested. A longer wait
// would use up the time of an attempt.
const maxWaitFactor = 2

// Get returns the idle connection used last of those that have rested, since the others may then expire; else the first
// to have rested, if that is within maxWaitFactor, since a new one costs more; else a new one. With
// Options.ReuseDelayOptional it waits only if no connection can be opened. None is used before it has rested.
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

// getForProbe returns a connection for a health check. With load reports its response is recognized, and so it may use
// a connection that rests, unless another load report may still arrive on it.
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

// takeForProbeOrReserveLocked returns an idle connection for a health check. It returns no connection and no error
// where a new one is to be opened, which it has counted then.
func (p *Pool) takeForProbeOrReserveLocked(target *Target) (*Conn, error) {
	p.inspectArrivalsLocked()
	mayUse := func(c *Conn) bool { return !c.lastUsedByProbe || p.remainingReuseDelayLocked(c) <= 0 }
	if c := p.takeUsableLocked(target, mayUse); c != nil {
		return c, nil
	}
	return nil, p.reserveLocked(target)
}

// putAfterProbe returns a connection after a health check, with or without a load report.
func (p *Pool) putAfterProbe(c *Conn, hasLoadReport bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastUsedByProbe = true
	c.target.sendsLoadReports = c.target.sendsLoadReports || hasLoadReport
	p.putLocked(c)
}

// awaitReuseDelay waits for what is left of a connection's rest, and reports whether it may be used then. If not, the pool
// has it back, or has closed it. An error is that of ctx, or means that the endpoint is gone.
func (p *Pool) awaitReuseDelay(ctx context.Context, c *Conn, wait time.Duration) (usable bool, err error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
		p.endWait()
		p.putUnused(c)
		return false, ctx.Err()
	}
	c.availableAt = p.options.Clock.Now() // the wait is no latency of the endpoint
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
	case p.remainingReuseDelayLocked(c) > 0: // there is new evidence
		p.insertIdleLocked(c)
		p.observeReuseDelayLocked(c)
		return false, nil
	}
	return true, nil
}

// endWait notes that an attempt does not wait any more.
func (p *Pool) endWait() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waitingAttempts--
}

// takeOrOpen returns an idle connection that has rested, or a new one. With mayWait, and where none can be opened, it
// may return one that rests, and how long it has to.
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

// takeReusableLocked removes and returns an idle connection that has rested; with mayWait else one that rests, and how
// long it has to. It returns nil if a connection is to be opened.
func (p *Pool) takeReusableLocked(target *Target, mayWait bool) (*Conn, time.Duration) {
	p.recordDelayLocked() // what delays this process may not have let observeReuseDelays run yet
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

// takeAtShortage returns a connection although none can be opened for lack of descriptors or ports: one that rests and
// soon has, or a new one in place of another idle one. shortage is the error of the attempt to open one.
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

// reserveLocked counts a connection that is to be opened. If all are open, an idle one of any target is evicted.
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

// takeUsableLocked removes and returns the idle connection used last of those for which a condition holds, nil if there
// is none. It closes those of them that have expired. The caller has inspected arrivals.
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

// takeEarliestReusableLocked removes and returns the idle connection that is the first to have rested, and how long it has to,
// if that is within maxWaitFactor. Otherwise it returns nil. An attempt that gets one waits for it (awaitReuseDelay).
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
		p.closeLocked(c) // another endpoint may listen at the address by now
		return nil, errEndpointGone
	}
	return c, nil
}

// remainingReuseDelayLocked returns how long a connection still has to rest.
func (p *Pool) remainingReuseDelayLocked(c *Conn) time.Duration {
	if c.lastResponse.IsZero() {
		return 0
	}
	elapsed := clock.Micros(time.Since(c.lastResponse))
	return clock.Duration(p.reuseDelays.Left(p.options.Clock.Now(), c.target.endpoint, elapsed))
}

// isUsableLocked reports whether a connection that was waited for has neither expired nor been closed, or written to,
// by its endpoint. A request written to another connection would be lost and might have run, or receive another
// request's response.
func (p *Pool) isUsableLocked(c *Conn) bool {
	return p.inspectLocked(c) == connQuiet && !p.hasExpiredLocked(c)
}

// hasExpiredLocked reports whether a connection has been idle for too long to be used again.
func (p *Pool) hasExpiredLocked(c *Conn) bool { return time.Since(c.idleSince) >= p.maxIdleTime }
