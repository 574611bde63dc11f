package upstream

import (
	"bytes"
	"errors"
	"syscall"
	"time"
	"unsafe"

	"dunlinsail/internal/clock"
)

// This file inspects connections on which no request is in flight. HTTP/1.1 does not state which request a
// response belongs to: a second response to a request is taken for the response to the next request on the same
// connection if it arrives after the next request was written. Other bytes that belong to no request cannot be
// taken for a response.

// observationInterval is how often idle connections are inspected while the reuse delay of at least one is
// running.
const observationInterval = 10 * time.Millisecond

// responsePrefix is the start of every HTTP/1 response.
var responsePrefix = []byte("HTTP/1.")

// requestTimeoutPrefix is the start of the 408 response that some servers send before they close an idle
// connection. Such a response is not a second response to a request. The x stands for any minor version.
var requestTimeoutPrefix = []byte("HTTP/1.x 408")

// connState is the state of an idle connection, as far as it can be determined without reading from the
// connection.
type connState uint8

const (
	connQuiet    connState = iota // open, without unread bytes
	connUnusable                  // closed by the endpoint, broken, or with unread bytes that are not a second response
	connSurplus                   // has an unread response that belongs to no request
	connUnknown                   // cannot be inspected, since it has no descriptor
)

// isSurplusResponse reports whether unread bytes that belong to no request are the start of a surplus response.
// firstBytes are the first of these bytes. If they are shorter than responsePrefix, they only have to match its
// start. A 408 response that announces the close of the connection is not a surplus response.
func isSurplusResponse(firstBytes []byte) bool {
	if len(firstBytes) < len(responsePrefix) {
		return len(firstBytes) > 0 && bytes.HasPrefix(responsePrefix, firstBytes)
	}
	return bytes.HasPrefix(firstBytes, responsePrefix) && !isRequestTimeout(firstBytes)
}

// isRequestTimeout reports whether firstBytes start with requestTimeoutPrefix, in any minor version.
func isRequestTimeout(firstBytes []byte) bool {
	minorVersion := len(responsePrefix)
	return len(firstBytes) >= len(requestTimeoutPrefix) &&
		bytes.HasPrefix(firstBytes[minorVersion+1:], requestTimeoutPrefix[minorVersion+1:])
}

// inspect returns the state of a connection on which no request is in flight. It does not wait.
func (c *Conn) inspect() connState {
	state := connUnusable
	err := c.withDescriptor(func(fd int) {
		firstBytes := make([]byte, len(requestTimeoutPrefix))
		n, _, err := syscall.Recvfrom(fd, firstBytes, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case errors.Is(err, syscall.EAGAIN):
			state = connQuiet
		case err == nil && isSurplusResponse(firstBytes[:n]):
			state = connSurplus
		}
	})
	switch {
	case errors.Is(err, errors.ErrUnsupported):
		return connUnknown
	case err != nil:
		return connUnusable
	}
	return state
}

// withDescriptor calls a function with the descriptor of the connection. The descriptor is not closed during
// the call.
func (c *Conn) withDescriptor(use func(fd int)) error {
	if c.raw == nil {
		return errors.ErrUnsupported
	}
	return c.raw.Control(func(fd uintptr) { use(int(fd)) })
}

// lastArrival returns when bytes last arrived, with a precision of some milliseconds, or the current time if
// that is not known.
func (c *Conn) lastArrival() time.Time {
	now := time.Now()
	arrival := now
	err := c.withDescriptor(func(fd int) {
		var info syscall.TCPInfo
		size := uint32(syscall.SizeofTCPInfo)
		_, _, errno := syscall.Syscall6(syscall.SYS_GETSOCKOPT, uintptr(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO,
			uintptr(unsafe.Pointer(&info)), uintptr(unsafe.Pointer(&size)), 0)
		if errno == 0 {
			arrival = now.Add(-time.Duration(info.Last_data_recv) * time.Millisecond)
		}
	})
	if err != nil {
		return now
	}
	return arrival
}

// errUnusable means that the endpoint closed a connection, or sent bytes on it, after the connection was
// selected for a request and before the request was written.
var errUnusable = errors.New("the connection was closed or written to before the request was written")

// inspectAndWrite writes the first piece of a request, and returns how many bytes it wrote. It inspects the
// connection immediately before the write, since a response may have arrived after the connection was selected
// or opened.
func (c *Conn) inspectAndWrite(data []byte) (int, error) {
	state := c.inspect()
	if state == connSurplus {
		c.target.pool.recordSurplus(c)
	}
	if state == connSurplus || state == connUnusable {
		return 0, errUnusable
	}
	return c.Write(data)
}

// inspectLocked returns the state of a connection on which no request is in flight, and records a surplus
// response on it.
func (p *Pool) inspectLocked(c *Conn) connState {
	state := c.inspect()
	if state == connSurplus {
		p.recordSurplusLocked(c, c.lastArrival())
	}
	return state
}

// inspectArrivalsLocked closes the idle connections of all targets that have unread bytes. A second response is
// evidence about all connections of its pool, and must be recorded before one of them is selected. Unread bytes
// on a connection in use belong to its response, or are inspected when the connection becomes idle.
func (p *Pool) inspectArrivalsLocked() {
	for c := range p.arrivals.pending {
		if !c.isIdle {
			c.arrivedInUse = true
			continue
		}
		if p.inspectLocked(c) != connQuiet {
			p.closeLocked(p.removeConnLocked(c))
		}
	}
}

// watchLocked starts watching a connection that becomes idle, and reports whether the connection may be kept.
// It inspects a connection whose arrivals were reported while it was in use, since those are not reported
// again.
func (p *Pool) watchLocked(c *Conn) bool {
	if p.arrivals.watch(c) != nil {
		return false
	}
	hasArrived := c.arrivedInUse && c.inspect() != connQuiet
	c.arrivedInUse = false
	return !hasArrived
}

// delayedConn is a connection whose reuse delay observeReuseDelays observes.
type delayedConn struct {
	conn         *Conn
	lastResponse time.Time // Conn.lastResponse when the observation started; a different value ends it
	nextCheck    time.Time // when the remaining reuse delay is checked next
}

// observeReuseDelayLocked has an idle connection observed during its reuse delay. This detects a second
// response on the connection even if no other request would use it. Meanwhile observeReuseDelays also measures
// how late this process runs.
func (p *Pool) observeReuseDelayLocked(c *Conn) {
	if p.options.ReuseDelay <= 0 || !c.isIdle || p.remainingReuseDelayLocked(c) <= 0 {
		return
	}
	p.delayedConns = append(p.delayedConns, delayedConn{
		conn:         c,
		lastResponse: c.lastResponse,
		nextCheck:    time.Now().Add(observationInterval),
	})
	p.startObservingLocked()
}

// startObservingLocked starts observeReuseDelays, unless it is running.
func (p *Pool) startObservingLocked() {
	if !p.observing {
		p.observing = true
		p.nextObservation = time.Now().Add(observationInterval)
		go p.observeReuseDelays()
	}
}

// observeReuseDelays inspects idle connections until no connection is in its reuse delay, and no attempt waits
// for one to pass.
func (p *Pool) observeReuseDelays() {
	for shouldContinue := true; shouldContinue; {
		time.Sleep(observationInterval)
		threadTimes := p.processorTimes.sinceLastRead(time.Now())
		p.mu.Lock()
		p.reuseDelays.ObserveProcessorTime(p.options.Clock.Now(), threadTimes.ran, threadTimes.waited)
		p.recordDelayLocked()
		p.inspectArrivalsLocked()
		p.dropReusableLocked()
		p.nextObservation = time.Now().Add(observationInterval)
		shouldContinue = len(p.delayedConns) > 0 || p.waitingAttempts > 0
		p.observing = shouldContinue
		p.mu.Unlock()
	}
}

// recordDelayLocked records by how much observeReuseDelays is overdue, as a delay of this process. It moves
// nextObservation to the current time, so that the next call does not count the same delay again.
func (p *Pool) recordDelayLocked() {
	delay := time.Since(p.nextObservation)
	if p.observing && delay >= 0 {
		p.reuseDelays.ObserveDelay(p.options.Clock.Now(), clock.Micros(delay))
		p.nextObservation = p.nextObservation.Add(delay)
	}
}

// dropReusableLocked removes the connections from delayedConns whose reuse delay has passed, or that are in
// use.
func (p *Pool) dropReusableLocked() {
	now := time.Now()
	stillDelayed := p.delayedConns[:0]
	for _, r := range p.delayedConns {
		if p.isStillDelayed(&r, now) {
			stillDelayed = append(stillDelayed, r)
		}
	}
	clear(p.delayedConns[len(stillDelayed):])
	p.delayedConns = stillDelayed
}

// isStillDelayed reports whether a connection stays in delayedConns. It checks the remaining reuse delay only
// once nextCheck is due, and then moves nextCheck on by the time since the last response.
func (p *Pool) isStillDelayed(r *delayedConn, now time.Time) bool {
	c := r.conn
	if !c.isIdle || c.lastResponse != r.lastResponse {
		return false
	}
	if now.Before(r.nextCheck) {
		return true
	}
	r.nextCheck = now.Add(now.Sub(r.lastResponse))
	return p.remainingReuseDelayLocked(c) > 0
}
