package upstream

import (
	"bytes"
	"errors"
	"syscall"
	"time"
)

// This file detects responses of an endpoint that belong to no request, and makes the pool distrust the address that
// sent them. HTTP/1.1 does not name the request that a response belongs to: a second response to one request passes for
// the response to the next request on the same connection, if it arrives after that has been written. Other bytes that
// belong to no request cannot pass for a response.

const (
	// distrustPeriod is how long an address is distrusted after it last sent a response that belongs to no request.
	distrustPeriod = 5 * time.Minute
	// DefaultDistrustedReuseDelay is the usual Options.DistrustedReuseDelay.
	DefaultDistrustedReuseDelay = 100 * time.Millisecond
	// maxInspectionAge is how long before a write a connection may have been inspected last. A longer time means that
	// this process was paused.
	maxInspectionAge = time.Millisecond
)

// responsePrefix starts every HTTP/1 response.
var responsePrefix = []byte("HTTP/1.")

// requestTimeoutPrefix starts the response with which some servers announce that they close an idle connection. It is
// no second response to a request.
var requestTimeoutPrefix = []byte("HTTP/1.1 408")

// connState is what can be seen of an idle connection without reading from it.
type connState uint8

const (
	connQuiet    connState = iota // open, and nothing has arrived
	connUnusable                  // closed by the endpoint, broken, about to be closed, or bytes have arrived
	connSurplus                   // a response has arrived that belongs to no request
)

// isSurplusResponse reports whether bytes that belong to no request start a response.
func isSurplusResponse(start []byte) bool {
	return bytes.HasPrefix(start, responsePrefix) && !bytes.HasPrefix(start, requestTimeoutPrefix)
}

// inspect returns the state of a connection on which no request is in flight, without waiting.
func (c *Conn) inspect() connState {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return connUnusable
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return connUnusable
	}
	state := connUnusable
	err = raw.Read(func(fd uintptr) bool {
		start := make([]byte, len(requestTimeoutPrefix))
		n, _, err := syscall.Recvfrom(int(fd), start, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = connQuiet
		case err == nil && isSurplusResponse(start[:n]):
			state = connSurplus
		}
		return true
	})
	if err != nil {
		return connUnusable
	}
	if state == connQuiet {
		c.inspectedAt = time.Now()
	}
	return state
}

// errUnusable means that an endpoint has closed a connection, or sent something on it, since that was selected.
var errUnusable = errors.New("the connection was closed or written to before the request was written")

// write writes the first piece of a request, and returns how much of it. It inspects a used connection once more if
// this process was paused since, because a second response may have arrived meanwhile.
func (c *Conn) write(text []byte) (int, error) {
	isNew := c.inspectedAt.IsZero()
	if isNew || time.Since(c.inspectedAt) <= maxInspectionAge {
		return c.Write(text)
	}
	switch c.inspect() {
	case connSurplus:
		c.target.pool.noteSurplus(c.target.addr)
		return 0, errUnusable
	case connUnusable:
		return 0, errUnusable
	}
	return c.Write(text)
}

// distrust is the state of one address that sent responses that belong to no request.
type distrust struct {
	until  time.Time
	logged bool
}

// noteSurplusLocked notes that an address has sent a response that belongs to no request.
func (p *Pool) noteSurplusLocked(addr string) {
	p.surplusResponses++
	d := p.distrusted[addr]
	if d == nil {
		d = &distrust{}
		p.distrusted[addr] = d
	}
	d.until = time.Now().Add(distrustPeriod)
}

// noteSurplus is noteSurplusLocked for callers without the lock.
func (p *Pool) noteSurplus(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.noteSurplusLocked(addr)
}

// isDistrustedLocked reports whether an address is distrusted at present.
func (p *Pool) isDistrustedLocked(addr string) bool {
	d := p.distrusted[addr]
	return d != nil && p.options.DistrustedReuseDelay > 0 && time.Now().Before(d.until)
}

// reuseDelayLocked returns the reuse delay of connections to an address.
func (p *Pool) reuseDelayLocked(addr string) time.Duration {
	if p.isDistrustedLocked(addr) {
		return max(p.options.ReuseDelay, p.options.DistrustedReuseDelay)
	}
	return p.options.ReuseDelay
}

// SurplusResponses returns how many responses of endpoints belonged to no request, as far as that was detected.
func (p *Pool) SurplusResponses() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.surplusResponses
}

// expireDistrust forgets the addresses that are distrusted no more, and logs those that are for the first time.
func (p *Pool) expireDistrust() {
	p.mu.Lock()
	var started []string
	for addr, d := range p.distrusted {
		switch {
		case !p.isDistrustedLocked(addr):
			delete(p.distrusted, addr)
		case !d.logged:
			d.logged = true
			started = append(started, addr)
		}
	}
	p.mu.Unlock()
	for _, addr := range started {
		p.options.Log.Warn("surplus response, connections reused late", "endpoint", addr,
			"delay", p.options.DistrustedReuseDelay)
	}
}
