package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// This file selects the connection that an attempt uses: an idle one that may be used again, or a new one.

// DefaultReuseDelay is how long a connection is not used after a response. An endpoint may send a second response some
// milliseconds after the first, which would pass for the response to the next request. If it arrives within the delay,
// the connection is closed. One that arrives later is only detected if the next request has not been written yet.
const DefaultReuseDelay = 20 * time.Millisecond

// Get returns the idle connection used last of those past their reuse delay, since the others may then expire; else
// the first to get past it, once it has, since a new one costs more; else a new one.
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
		c.availableAt = p.options.Clock.Now() // the wait is no latency of the endpoint
		p.mu.Lock()
		gone := to.dropped
		usable := p.isUsable(c)
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

// getConn returns a connection, and what is left of its reuse delay. With ignoreDelay that is not waited for.
func (p *Pool) getConn(ctx context.Context, to *Target, ignoreDelay bool) (c *Conn, wait time.Duration, err error) {
	p.mu.Lock()
	c, wait, err = p.takeOrReserveLocked(to, ignoreDelay)
	p.mu.Unlock()
	if c != nil || err != nil {
		return c, wait, err
	}
	c, err = p.openConn(ctx, to)
	return c, 0, err
}

// takeOrReserveLocked returns an idle connection and what is left of its reuse delay. It returns no connection and no
// error where a new one is to be opened, which it has counted then.
func (p *Pool) takeOrReserveLocked(to *Target, ignoreDelay bool) (*Conn, time.Duration, error) {
	if to.dropped {
		return nil, 0, errEndpointGone
	}
	if c := p.takeUsableLocked(to, ignoreDelay); c != nil {
		return c, 0, nil
	}
	if len(to.idle) > 0 {
		c, wait := p.takeDelayedLocked(to)
		return c, wait, nil
	}
	if p.openConns >= p.options.MaxConns && !p.evictOldestLocked() { // an idle one of another target is evicted
		return nil, 0, errConnLimit
	}
	p.openConns++
	return nil, 0, nil
}

// takeUsableLocked removes and returns the idle connection used last of those past their reuse delay, nil if there is
// none. It closes those that it finds expired.
func (p *Pool) takeUsableLocked(to *Target, ignoreDelay bool) *Conn {
	for i := len(to.idle) - 1; i >= 0; i-- {
		if !ignoreDelay && p.remainingReuseDelay(to.idle[i]) > 0 {
			continue
		}
		c := p.removeIdleLocked(to, i)
		if p.isUsable(c) {
			c.availableAt = 0
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// openConn opens a connection that takeOrReserveLocked has counted.
func (p *Pool) openConn(ctx context.Context, to *Target) (*Conn, error) {
	nc, err := p.options.Dial(ctx, "tcp", to.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.openConns--
		return nil, err
	}
	c := newConn(nc, to)
	if to.dropped {
		p.closeLocked(c) // another endpoint may listen at the address by now
		return nil, errEndpointGone
	}
	return c, nil
}

// takeDelayedLocked removes the idle connection with the least left of its reuse delay, and returns both.
func (p *Pool) takeDelayedLocked(to *Target) (*Conn, time.Duration) {
	earliest := 0
	for i, c := range to.idle {
		if c.lastResponse.Before(to.idle[earliest].lastResponse) {
			earliest = i
		}
	}
	c := p.removeIdleLocked(to, earliest)
	return c, max(time.Nanosecond, p.remainingReuseDelay(c))
}

// remainingReuseDelay returns what is left of the reuse delay of a connection.
func (p *Pool) remainingReuseDelay(c *Conn) time.Duration {
	if p.options.ReuseDelay <= 0 {
		return 0
	}
	return p.options.ReuseDelay - time.Since(c.lastResponse)
}

// isUsable reports whether an idle connection has neither expired nor been closed, or written to, by its endpoint.
func (p *Pool) isUsable(c *Conn) bool { return time.Since(c.idleSince) < p.maxIdleTime && c.isAlive() }

// isAlive reports, without waiting, whether the endpoint has neither closed an idle connection nor sent anything on
// it. A request written to another connection would be lost and might have run.
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
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}
