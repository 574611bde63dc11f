package upstream

import (
	"context"
	"time"
)

// This file selects the connection that an attempt uses: an idle one that may be used again, or a new one.

// DefaultReuseDelay is how long a connection is not used after a response. An endpoint may send a second response some
// milliseconds after the first, which would pass for the response to the next request. If it arrives within the delay,
// the connection is closed, and its address is distrusted. One that arrives later is only detected if the next request
// has not been written yet.
const DefaultReuseDelay = 20 * time.Millisecond

// maxResting is how many idle connections to a target may be within their reuse delay with Options.ReuseDelayOptional.
// Beyond that, or with a bound on idle connections, one of them is used in place of a new connection.
const maxResting = 32

// Get returns the idle connection used last of those past their reuse delay, since the others may then expire; else
// the first to get past it, once it has, since a new one costs more; else, and for a distrusted address, a new one.
// With Options.ReuseDelayOptional it waits for none: it returns a new one while fewer than maxResting rest, else the
// one that has rested for longest.
func (p *Pool) Get(ctx context.Context, to *Target) (*Conn, error) {
	for {
		c, wait, err := p.getConn(ctx, to, false)
		if c == nil || wait <= 0 {
			return c, err
		}
		if err := p.waitAwake(ctx, wait); err != nil {
			p.putUnused(c)
			return nil, err
		}
		c.availableAt = p.options.Clock.Now() // the wait is no latency of the endpoint
		p.mu.Lock()
		gone := to.dropped
		usable := p.isUsableLocked(c)
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

// waitSteps is how many times waitAwake wakes up within Options.ReuseDelay.
const waitSteps = 4

// waitAwake waits until this process has been running for a time, or returns the error of ctx once that ends. A pause
// of the whole machine counts for one of waitSteps only: during it an endpoint on the same machine sends nothing
// either.
func (p *Pool) waitAwake(ctx context.Context, wait time.Duration) error {
	step := max(time.Nanosecond, p.options.ReuseDelay/waitSteps)
	for left := wait; left > 0; left -= step {
		select {
		case <-time.After(min(left, step)):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
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
	if err != nil && isShortage(err) && p.options.ReuseDelayOptional {
		if resting := p.takeResting(to); resting != nil {
			return resting, 0, nil
		}
	}
	return c, 0, err
}

// takeResting removes and returns the idle connection that has rested for longest, nil if there is none.
func (p *Pool) takeResting(to *Target) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(to.idle) > 0 {
		c, _ := p.takeDelayedLocked(to)
		if p.isUsableLocked(c) {
			c.availableAt = 0
			return c
		}
		p.closeLocked(c)
	}
	return nil
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
	for len(to.idle) > 0 {
		c, wait := p.takeDelayedLocked(to)
		tooLong := wait > p.options.ReuseDelay // of a distrusted address
		opensOne := p.options.ReuseDelayOptional && len(to.idle) < maxResting-1 &&
			p.openConns < p.options.MaxConns && p.maxIdle == 0
		if tooLong || opensOne {
			p.insertIdleLocked(c)
			break
		}
		if !p.options.ReuseDelayOptional {
			return c, wait, nil
		}
		if p.isUsableLocked(c) {
			c.availableAt = 0
			return c, 0, nil
		}
		p.closeLocked(c)
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
	delay := p.reuseDelayLocked(to.addr)
	now := time.Now()
	for i := len(to.idle) - 1; i >= 0; i-- {
		if !ignoreDelay && delay > 0 && now.Sub(to.idle[i].lastResponse) < delay {
			continue
		}
		c := p.removeIdleLocked(to, i)
		if p.isUsableLocked(c) {
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
	return c, max(time.Nanosecond, p.reuseDelayLocked(to.addr)-time.Since(c.lastResponse))
}

// isUsableLocked reports whether an idle connection has neither expired nor been closed, or written to, by its
// endpoint. A request written to another connection would be lost and might have run, or receive another request's
// response.
func (p *Pool) isUsableLocked(c *Conn) bool {
	if time.Since(c.idleSince) >= p.maxIdleTime {
		return false
	}
	state := c.inspect()
	if state == connSurplus {
		p.noteSurplusLocked(c.target.addr)
	}
	return state == connQuiet
}
