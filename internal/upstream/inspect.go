package upstream

import (
	"bytes"
	"errors"
	"syscall"
	"time"
	"unsafe"

	"dunlinsail/internal/clock"
)

// This file looks at connections on which no request is in flight. HTTP/1.1 does not name the request that a response
// belongs to: a second response to one request passes for the response to the next request on the same connection, if
// it arrives after that has been written. Other bytes that belong to no request cannot pass for a response.

// observationInterval is how often idle connections are inspected while one of them rests.
const observationInterval = 10 * time.Millisecond

// responsePrefix starts every HTTP/1 response.
var responsePrefix = []byte("HTTP/1.")

// requestTimeoutPrefix starts the response with which some servers announce that they close an idle connection. It is
// no second response to a request.
var requestTimeoutPrefix = []byte("HTTP/1.x 408")

// connState is what can be seen of an idle connection without reading from it.
type connState uint8

const (
	connQuiet    connState = iota // open, and nothing has arrived
	connUnusable                  // closed by the endpoint, broken, about to be closed, or bytes have arrived
	connSurplus                   // a response has arrived that belongs to no request
	connUnknown                   // the connection has no descriptor to inspect
)

// isSurplusResponse reports whether bytes that belong to no request start a response, as far as they have arrived.
func isSurplusResponse(firstBytes []byte) bool {
	if len(firstBytes) < len(responsePrefix) {
		return len(firstBytes) > 0 && bytes.HasPrefix(responsePrefix, firstBytes)
	}
	return bytes.HasPrefix(firstBytes, responsePrefix) && !isRequestTimeout(firstBytes)
}

// isRequestTimeout reports whether bytes start with requestTimeoutPrefix, in any minor version.
func isRequestTimeout(firstBytes []byte) bool {
	minorVersion := len(responsePrefix)
	return len(firstBytes) >= len(requestTimeoutPrefix) &&
		bytes.HasPrefix(firstBytes[minorVersion+1:], requestTimeoutPrefix[minorVersion+1:])
}

// inspect returns the state of a connection on which no request is in flight, without waiting.
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

// control calls a function with the descriptor of the connection, while that cannot be closed.
func (c *Conn) withDescriptor(use func(fd int)) error {
	if c.raw == nil {
		return errors.ErrUnsupported
	}
	return c.raw.Control(func(fd uintptr) { use(int(fd)) })
}

// lastArrival returns when bytes arrived last, to some milliseconds; the present instant if that is not known.
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

// errUnusable means that an endpoint has closed a connection, or sent something on it, since that was selected.
var errUnusable = errors.New("the connection was closed or written to before the request was written")

// write writes the first piece of a request, and returns how much of it. It inspects the connection right before that:
// a response may have arrived since the connection was selected, or opened.
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

// inspectLocked returns the state of a connection on which no request is in flight, and notes a second response.
func (p *Pool) inspectLocked(c *Conn) connState {
	state := c.inspect()
	if state == connSurplus {
		p.recordSurplusLocked(c, c.lastArrival())
	}
	return state
}

// inspectArrivalsLocked closes the idle connections, of all targets, on which something has arrived. A second response
// is evidence for all connections of its pool: it must be known before one of them is selected. What has arrived on a
// connection in use is its response, or will be looked for when that is idle again.
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

// watchLocked has arrivals on a connection found that becomes idle, and reports whether it may be kept. What arrived
// while it was in use may have been reported then, and is not reported again.
func (p *Pool) watchLocked(c *Conn) bool {
	if p.arrivals.watch(c) != nil {
		return false
	}
	hasArrived := c.arrivedInUse && c.inspect() != connQuiet
	c.arrivedInUse = false
	return !hasArrived
}

// delayedConn is a connection that observeReuseDelays observes.
type delayedConn struct {
	conn         *Conn
	lastResponse time.Time // of the connection, when it began to rest
	nextCheck    time.Time
}

// observeReuseDelayLocked has an idle connection observed while it rests. A second response is detected on it then even if no
// other request would use it, and the delays of this process are noticed meanwhile.
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

// startObservingLocked starts observeReuseDelays if it does not run.
func (p *Pool) startObservingLocked() {
	if !p.observing {
		p.observing = true
		p.nextObservation = time.Now().Add(observationInterval)
		go p.observeReuseDelays()
	}
}

// observeReuseDelays inspects idle connections until none rests any more, and no attempt waits for one.
func (p *Pool) observeReuseDelays() {
	for shouldContinue := true; shouldContinue; {
		time.Sleep(observationInterval)
		used := p.processorTimes.sinceLastRead(time.Now())
		p.mu.Lock()
		p.reuseDelays.ObserveProcessorTime(p.options.Clock.Now(), used.ran, used.waited)
		p.recordDelayLocked()
		p.inspectArrivalsLocked()
		p.dropReusableLocked()
		p.nextObservation = time.Now().Add(observationInterval)
		shouldContinue = len(p.delayedConns) > 0 || p.waitingAttempts > 0
		p.observing = shouldContinue
		p.mu.Unlock()
	}
}

// recordDelayLocked notes how late observeReuseDelays is. The time until now does not count again.
func (p *Pool) recordDelayLocked() {
	delay := time.Since(p.nextObservation)
	if p.observing && delay >= 0 {
		p.reuseDelays.ObserveDelay(p.options.Clock.Now(), clock.Micros(delay))
		p.nextObservation = p.nextObservation.Add(delay)
	}
}

// dropReusableLocked drops the connections from those at rest that rest no more.
func (p *Pool) dropReusableLocked() {
	now := time.Now()
	stillResting := p.delayedConns[:0]
	for _, r := range p.delayedConns {
		if p.isStillDelayed(&r, now) {
			stillResting = append(stillResting, r)
		}
	}
	clear(p.delayedConns[len(stillResting):])
	p.delayedConns = stillResting
}

// isStillDelayed reports whether a connection goes on to rest, as far as it is due to be checked.
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
