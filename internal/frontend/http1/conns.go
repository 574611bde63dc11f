package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
)

// Client is whose connections are bounded, and whose requests are shared out, together.
type Client struct {
	Name         string
	engineClient *engine.Client
	connOwner    *connlimit.Owner[*conn] // guarded by connections.mu
}

// Spec is what a client may do. A bound of 0 is no bound.
type ClientSettings struct {
	fairqueue.ClientSpec
	MaxConnections int
	MaxBytes       int64 // that its requests and their answers may hold
}

// conn is a client's connection.
type conn struct {
	net.Conn
	client    *Client
	input     *peekableConn
	readLimit io.LimitedReader // what may still be read for the present request, from in
	buffer    *bufio.Reader    // nil while nothing is being read: a connection at rest holds no buffer

	// Guarded by connections.mu.
	entry           *connlimit.Conn[*conn]
	awaitingRequest bool // it waits for the first byte of a request
	requestStarted  bool // a request has begun to come that is not taken yet
	interrupted     bool // release has ended that wait; it is not over for it
	lastHandoff     int  // the release in which it was last offered to another process
}

// connections accepts clients' connections and bounds their number. This package does that itself, not
// http.Server, since it must know what else waits on a connection behind a request, and which connection it can
// best do without.
type connManager struct {
	clock clock.Clock
	serve func(*conn) // until the connection is to be closed
	log   *slog.Logger

	mu          sync.Mutex
	table       *connlimit.Table[*conn]
	expiryTimer *time.Timer // looks for what has rested too long
	closing     bool
	serving     int             // connections that are being served
	drained     []chan struct{} // to be closed once there are none

	handoff  func(net.Conn) bool // takes connections at rest over; nil while none are handed over
	handoffs int                 // how often that has begun
}

func newConnManager(limits connlimit.Limits, clk clock.Clock, serve func(*conn), log *slog.Logger) (*connManager, error) {
	m := &connManager{clock: clk, serve: serve, log: log}
	var err error
	if m.table, err = connlimit.New(limits, m.isEvictable); err != nil {
		return nil, err
	}
	m.expiryTimer = time.AfterFunc(time.Hour, m.closeExpired)
	return m, nil
}

const (
	minAcceptBackoff  = 5 * time.Millisecond
	maxAcceptBackoff  = time.Second
	queuePollTimeout  = 5 * time.Millisecond
	maxQueueDrainTime = 100 * time.Millisecond // a full queue takes far less
)

// Identify tells whose connection one is. gone is called once the connection has ended; it may be nil. A
// connection of nobody who may connect is an error.
type Identify func(net.Conn) (c *Client, gone func(), err error)

// accept serves connections until ln is closed or its deadline passes.
func (m *connManager) accept(ln net.Listener, identify Identify) error {
	backoff := minAcceptBackoff
	for {
		netConn, err := ln.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			m.add(netConn, identify)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			// No descriptor is left, perhaps: one that is not needed makes room.
			if backoff == minAcceptBackoff {
				m.log.Warn("accept", "error", err)
			}
			m.mu.Lock()
			m.closeLocked(m.table.Evictable())
			m.mu.Unlock()
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// acceptRest serves the connections that wait in ln's queue, and returns once there is none: closing ln would reset them, with
// what their clients have sent. Nobody else may accept meanwhile. Clients who come without end do not keep it going.
func (m *connManager) acceptQueued(ln net.Listener, identify Identify) {
	bounded, ok := ln.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for end := time.Now().Add(maxQueueDrainTime); time.Now().Before(end); {
		_ = bounded.SetDeadline(time.Now().Add(queuePollTimeout)) // what waits is taken without waiting
		netConn, err := ln.Accept()
		switch {
		case err == nil:
			m.add(netConn, identify)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !hasQueued(ln):
			return // else we did not come to it within the deadline
		}
	}
	m.log.Warn("clients still connect as the listener closes: who waits there now is reset")
}

// queued says whether a connection waits to be accepted.
func hasQueued(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	if err := raw.Control(func(fd uintptr) { pending = pollEvents(fd, pollIn) != 0 }); err != nil {
		return false // closed
	}
	return pending
}

// add takes a connection in, if it may be.
func (m *connManager) add(netConn net.Conn, identify Identify) {
	client, onClose, err := identify(netConn)
	if err != nil {
		m.log.Warn("connection turned away", "from", netConn.RemoteAddr().String(), "error", err)
		netConn.Close()
		return
	}
	if onClose == nil {
		onClose = func() {}
	}
	c := &conn{Conn: netConn, client: client, input: newPeekableConn(netConn)}
	c.readLimit.R = c.input
	m.mu.Lock()
	defer m.mu.Unlock()
	entry, evicted := m.table.Add(m.clock.Now(), client.connOwner, c)
	m.closeLocked(evicted)
	if entry == nil {
		netConn.Close() // all others are waiting for their answers
		onClose()
		return
	}
	c.entry = entry
	m.closeExpiredLocked()
	m.serving++
	go func() {
		m.serve(c)
		c.releaseBuffer()
		onClose()
		m.mu.Lock()
		defer m.mu.Unlock()
		m.closeLocked(c.entry)
		if m.serving--; m.serving == 0 {
			for _, ch := range m.drained {
				close(ch)
			}
			m.drained = nil
		}
	}()
}

// wait waits until no connection is served, or ctx ends.
func (m *connManager) waitDrained(ctx context.Context) error {
	m.mu.Lock()
	drained := make(chan struct{})
	if m.serving == 0 {
		close(drained)
	} else {
		m.drained = append(m.drained, drained)
	}
	m.mu.Unlock()
	select {
	case <-drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *connManager) closeLocked(entry *connlimit.Conn[*conn]) {
	if entry != nil {
		m.table.Remove(entry)
		entry.Value.Close()
	}
}

// expire closes what has rested for too long.
func (m *connManager) closeExpired() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeExpiredLocked()
}

func (m *connManager) closeExpiredLocked() {
	now := m.clock.Now()
	for {
		c, next := m.table.RemoveExpired(now)
		if c == nil {
			if next > 0 {
				m.expiryTimer.Reset(clock.Duration(next - now))
			}
			return
		}
		m.closeLocked(c)
	}
}

// take notes that a connection has an open request, unless it has been closed meanwhile.
func (m *connManager) markBusy(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.requestStarted = false
	return m.table.MarkBusy(c.entry)
}

// hold notes that n bytes more are held for a connection, if its client may hold them; if they must be held, it
// may not say no.
func (m *connManager) reserveBytes(c *conn, n int64, force bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.ReserveBytes(c.entry, n, force)
}

// rest notes that a request has its answer, and says whether the connection may stay open. While all are to close it may for
// a next request that has come, or begun to.
func (m *connManager) finishRequest(c *conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.input.setUnexamined(c.buffer != nil && c.buffer.Buffered() > 0)
	m.closeLocked(m.table.MarkIdle(m.clock.Now(), c.entry))
	m.closeExpiredLocked()
	return !m.closing || !c.input.isDrained()
}

// cut closes all connections, those with open requests too.
func (m *connManager) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	m.table.Each(func(c *connlimit.Conn[*conn]) { c.Value.Close() })
}

// hush closes the connections without an open request; those with one, or of which a part has come, close once they have their
// answers.
func (m *connManager) quiesce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closing = true
	for c := m.table.Evictable(); c != nil; c = m.table.Evictable() {
		m.closeLocked(c)
	}
}

// hushHalves closes the connections of whose request a part has come, and returns how many: it is not waited for any longer.
func (m *connManager) closePartialRequests() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Each(func(p *connlimit.Conn[*conn]) {
		if c := p.Value; c.requestStarted && c.input.isDrained() {
			m.closeLocked(p)
			n++
		}
	})
	return n
}

// rests says whether a connection can be closed without taking a request with it: nothing has come on it that has not been looked
// at. One of whose request a part has come may have to make room for others, whose requests may be whole; but where all are to
// close it does not for that alone: its client, who did not see it rest, would not send the request again.
func (m *connManager) isEvictable(c *conn) bool {
	return c.input.isDrained() && !(m.closing && c.requestStarted)
}

// ---- Handing connections over -----------------------------------------------
//
// A connection at rest, of whose next request no byte has been read, can go on in another process: to its client
// nothing has happened. One with an open request follows once it has its answer.

// release hands connections over as soon as they rest, from now on: to is called for each, and says whether it
// has been taken; our own end of it is closed then. What is not taken goes on here. nil ends that.
func (m *connManager) setHandoff(handoff func(net.Conn) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setHandoffLocked(handoff)
}

func (m *connManager) setHandoffLocked(handoff func(net.Conn) bool) {
	m.handoff = handoff
	if handoff == nil {
		return
	}
	m.handoffs++
	m.table.EachIdle(func(p *connlimit.Conn[*conn]) {
		if c := p.Value; c.awaitingRequest {
			c.interrupted = true
			c.SetReadDeadline(expiredDeadline)
		}
	})
}

// park waits for the first byte of a request until a deadline, zero for as long as the connection may rest, and
// says whether it has come. A connection that is handed over meanwhile is not used here any more.
func (m *connManager) awaitRequest(c *conn, deadline time.Time) bool {
	c.releaseBuffer()
	if c.buffer != nil {
		m.mu.Lock()
		c.requestStarted = true
		m.mu.Unlock()
		return true // it has come already
	}
	for {
		if handoff := m.startAwait(c, deadline); handoff != nil {
			if handoff(c.Conn) {
				return false
			}
			continue
		}
		err := c.waitReadable()
		m.mu.Lock()
		// Whoever called may have been told meanwhile that nothing is to be handed over after all.
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		again := c.interrupted && timedOut
		arrived := err == nil || timedOut && !c.input.isDrained() // it has come as its time was up
		c.awaitingRequest, c.interrupted, c.requestStarted = false, false, arrived && !again
		m.mu.Unlock()
		if !again {
			return arrived
		}
	}
}

// parking notes that a connection waits, or returns what it is to be handed to first.
func (m *connManager) startAwait(c *conn, deadline time.Time) (handoff func(net.Conn) bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.handoff != nil && c.lastHandoff != m.handoffs {
		c.lastHandoff = m.handoffs
		c.SetReadDeadline(time.Time{})
		return m.handoff
	}
	c.awaitingRequest = true
	c.SetReadDeadline(deadline)
	return nil
}

// ---- A connection ----------------------------------------------------------

// past is a deadline that ends a read at once.
var expiredDeadline = time.Unix(1, 0)

// readers are the buffers of connections that are being read.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

const readBufferSize = 4 << 10 // most heads are smaller

// reader returns the connection's buffer, a fresh one if it has none.
func (c *conn) ensureBuffer() *bufio.Reader {
	if c.buffer == nil {
		c.buffer = readerPool.Get().(*bufio.Reader)
		c.buffer.Reset(&c.readLimit)
	}
	return c.buffer
}

// releaseReader gives the buffer back, if nothing is in it.
func (c *conn) releaseBuffer() {
	if c.buffer != nil && c.buffer.Buffered() == 0 {
		c.buffer.Reset(nil) // it must not show one client's bytes to another, nor keep a connection alive
		if c.buffer.Size() == readBufferSize {
			readerPool.Put(c.buffer)
		}
		c.buffer = nil
	}
}

// readable waits until something can be read, or the connection has ended, without holding a buffer meanwhile.
func (c *conn) waitReadable() error {
	if c.input.rawConn == nil {
		_, err := c.ensureBuffer().Peek(1) // not a socket
		return err
	}
	return c.input.waitReadable()
}

const (
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// turnAway answers what is not taken, and ends the connection's use. What the client may still be sending is
// read for a little, since closing on unread bytes would take the answer away from it again.
func (c *conn) reject(response *localResponse) {
	c.writeResponse(response, true)
	c.linger()
}

// linger ends the use of a connection on which something may still be coming: closing on unread bytes would take the answer
// away from the client.
func (c *conn) linger() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite() // it may be closed already
	}
	c.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes) // until its end, or the deadline
}

// response is a final answer as it goes to the client.
type localResponse struct {
	status int
	header http.Header
	body   []byte
}

func newLocalResponse(status int, text string) *localResponse {
	return &localResponse{status: status, header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, body: []byte(text + "\n")}
}

// retryAfter advises the client to come back after a time, if there is any advice.
func (r *localResponse) setRetryAfter(d time.Duration) *localResponse {
	if d > 0 {
		r.header.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	return r
}

// write writes a whole answer in one piece, and says whether that went well.
func (c *conn) writeResponse(response *localResponse, closeAfter bool) bool {
	var buf bytes.Buffer
	buf.Grow(256 + len(response.body))
	buf.WriteString("HTTP/1.1 " + strconv.Itoa(response.status) + " " + http.StatusText(response.status) + "\r\n")
	_ = response.header.Write(&buf) // writing to memory does not fail
	buf.WriteString("Content-Length: " + strconv.Itoa(len(response.body)) + "\r\n")
	if closeAfter {
		buf.WriteString("Connection: close\r\n")
	}
	buf.WriteString("\r\n")
	buf.Write(response.body)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(buf.Bytes())
	return err == nil
}
