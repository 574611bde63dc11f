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
	Name  string
	share *engine.Client
	owner *connlimit.Owner[*conn] // guarded by connections.mu
}

// Spec is what a client may do. A bound of 0 is no bound.
type Spec struct {
	fairqueue.ClientSpec
	Connections int
	Bytes       int64 // that its requests and their answers may hold
}

// conn is a client's connection.
type conn struct {
	net.Conn
	client *Client
	in     *inlet
	limit  io.LimitedReader // what may still be read for the present request, from in
	r      *bufio.Reader    // nil while nothing is being read: a connection at rest holds no buffer

	// Guarded by connections.mu.
	place   *connlimit.Conn[*conn]
	parked  bool // it waits for the first byte of a request
	begun   bool // a request has begun to come that is not taken yet
	called  bool // release has ended that wait; it is not over for it
	offered int  // the release in which it was last offered to another process
}

// connections accepts clients' connections and bounds their number. This package does that itself, not
// http.Server, since it must know what else waits on a connection behind a request, and which connection it can
// best do without.
type connections struct {
	clock clock.Clock
	talk  func(*conn) // until the connection is to be closed
	log   *slog.Logger

	mu      sync.Mutex
	table   *connlimit.Table[*conn]
	idle    *time.Timer // looks for what has rested too long
	closing bool
	talks   int             // connections that are being served
	empty   []chan struct{} // to be closed once there are none

	detach   func(net.Conn) bool // takes connections at rest over; nil while none are handed over
	releases int                 // how often that has begun
}

func newConnections(l connlimit.Limits, clk clock.Clock, talk func(*conn), log *slog.Logger) (*connections, error) {
	k := &connections{clock: clk, talk: talk, log: log}
	var err error
	if k.table, err = connlimit.New(l, k.rests); err != nil {
		return nil, err
	}
	k.idle = time.AfterFunc(time.Hour, k.expire)
	return k, nil
}

const (
	acceptWaitLeast = 5 * time.Millisecond
	acceptWaitMost  = time.Second
	restWait        = 5 * time.Millisecond
	restMost        = 100 * time.Millisecond // a full queue takes far less
)

// Identify tells whose connection one is. gone is called once the connection has ended; it may be nil. A
// connection of nobody who may connect is an error.
type Identify func(net.Conn) (c *Client, gone func(), err error)

// accept serves connections until ln is closed or its deadline passes.
func (k *connections) accept(ln net.Listener, identify Identify) error {
	wait := acceptWaitLeast
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			wait = acceptWaitLeast
			k.add(nc, identify)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			// No descriptor is left, perhaps: one that is not needed makes room.
			if wait == acceptWaitLeast {
				k.log.Warn("accept", "error", err)
			}
			k.mu.Lock()
			k.closeLocked(k.table.Evictable())
			k.mu.Unlock()
			time.Sleep(wait)
			wait = min(2*wait, acceptWaitMost)
		}
	}
}

// acceptRest serves the connections that wait in ln's queue, and returns once there is none: closing ln would reset them, with
// what their clients have sent. Nobody else may accept meanwhile. Clients who come without end do not keep it going.
func (k *connections) acceptRest(ln net.Listener, identify Identify) {
	bounded, ok := ln.(interface{ SetDeadline(time.Time) error })
	if !ok {
		return
	}
	for end := time.Now().Add(restMost); time.Now().Before(end); {
		_ = bounded.SetDeadline(time.Now().Add(restWait)) // what waits is taken without waiting
		nc, err := ln.Accept()
		switch {
		case err == nil:
			k.add(nc, identify)
		case !errors.Is(err, os.ErrDeadlineExceeded) || !queued(ln):
			return // else we did not come to it within the deadline
		}
	}
	k.log.Warn("clients still connect as the listener closes: who waits there now is reset")
}

// queued says whether a connection waits to be accepted.
func queued(ln net.Listener) bool {
	sc, ok := ln.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	some := false
	if err := raw.Control(func(fd uintptr) { some = polled(fd, pollIn) != 0 }); err != nil {
		return false // closed
	}
	return some
}

// add takes a connection in, if it may be.
func (k *connections) add(nc net.Conn, identify Identify) {
	client, gone, err := identify(nc)
	if err != nil {
		k.log.Warn("connection turned away", "from", nc.RemoteAddr().String(), "error", err)
		nc.Close()
		return
	}
	if gone == nil {
		gone = func() {}
	}
	c := &conn{Conn: nc, client: client, in: newInlet(nc)}
	c.limit.R = c.in
	k.mu.Lock()
	defer k.mu.Unlock()
	place, spare := k.table.Add(k.clock.Now(), client.owner, c)
	k.closeLocked(spare)
	if place == nil {
		nc.Close() // all others are waiting for their answers
		gone()
		return
	}
	c.place = place
	k.expireLocked()
	k.talks++
	go func() {
		k.talk(c)
		c.releaseReader()
		gone()
		k.mu.Lock()
		defer k.mu.Unlock()
		k.closeLocked(c.place)
		if k.talks--; k.talks == 0 {
			for _, ch := range k.empty {
				close(ch)
			}
			k.empty = nil
		}
	}()
}

// wait waits until no connection is served, or ctx ends.
func (k *connections) wait(ctx context.Context) error {
	k.mu.Lock()
	ch := make(chan struct{})
	if k.talks == 0 {
		close(ch)
	} else {
		k.empty = append(k.empty, ch)
	}
	k.mu.Unlock()
	select {
	case <-ch:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (k *connections) closeLocked(place *connlimit.Conn[*conn]) {
	if place != nil {
		k.table.Remove(place)
		place.Value.Close()
	}
}

// expire closes what has rested for too long.
func (k *connections) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLocked()
}

func (k *connections) expireLocked() {
	now := k.clock.Now()
	for {
		c, next := k.table.RemoveExpired(now)
		if c == nil {
			if next > 0 {
				k.idle.Reset(clock.Duration(next - now))
			}
			return
		}
		k.closeLocked(c)
	}
}

// take notes that a connection has an open request, unless it has been closed meanwhile.
func (k *connections) take(c *conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.begun = false
	return k.table.MarkBusy(c.place)
}

// hold notes that n bytes more are held for a connection, if its client may hold them; if they must be held, it
// may not say no.
func (k *connections) hold(c *conn, n int64, must bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.ReserveBytes(c.place, n, must)
}

// rest notes that a request has its answer, and says whether the connection may stay open. While all are to close it may for
// a next request that has come, or begun to.
func (k *connections) rest(c *conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.in.rest(c.r != nil && c.r.Buffered() > 0)
	k.closeLocked(k.table.MarkIdle(k.clock.Now(), c.place))
	k.expireLocked()
	return !k.closing || !c.in.empty()
}

// cut closes all connections, those with open requests too.
func (k *connections) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = true
	k.table.Each(func(c *connlimit.Conn[*conn]) { c.Value.Close() })
}

// hush closes the connections without an open request; those with one, or of which a part has come, close once they have their
// answers.
func (k *connections) hush() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = true
	for c := k.table.Evictable(); c != nil; c = k.table.Evictable() {
		k.closeLocked(c)
	}
}

// hushHalves closes the connections of whose request a part has come, and returns how many: it is not waited for any longer.
func (k *connections) hushHalves() (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Each(func(p *connlimit.Conn[*conn]) {
		if c := p.Value; c.begun && c.in.empty() {
			k.closeLocked(p)
			n++
		}
	})
	return n
}

// rests says whether a connection can be closed without taking a request with it: nothing has come on it that has not been looked
// at. One of whose request a part has come may have to make room for others, whose requests may be whole; but where all are to
// close it does not for that alone: its client, who did not see it rest, would not send the request again.
func (k *connections) rests(c *conn) bool { return c.in.empty() && !(k.closing && c.begun) }

// ---- Handing connections over -----------------------------------------------
//
// A connection at rest, of whose next request no byte has been read, can go on in another process: to its client
// nothing has happened. One with an open request follows once it has its answer.

// release hands connections over as soon as they rest, from now on: to is called for each, and says whether it
// has been taken; our own end of it is closed then. What is not taken goes on here. nil ends that.
func (k *connections) release(to func(net.Conn) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.releaseLocked(to)
}

func (k *connections) releaseLocked(to func(net.Conn) bool) {
	k.detach = to
	if to == nil {
		return
	}
	k.releases++
	k.table.EachIdle(func(p *connlimit.Conn[*conn]) {
		if c := p.Value; c.parked {
			c.called = true
			c.SetReadDeadline(past)
		}
	})
}

// park waits for the first byte of a request until a deadline, zero for as long as the connection may rest, and
// says whether it has come. A connection that is handed over meanwhile is not used here any more.
func (k *connections) park(c *conn, until time.Time) bool {
	c.releaseReader()
	if c.r != nil {
		k.mu.Lock()
		c.begun = true
		k.mu.Unlock()
		return true // it has come already
	}
	for {
		if to := k.parking(c, until); to != nil {
			if to(c.Conn) {
				return false
			}
			continue
		}
		err := c.readable()
		k.mu.Lock()
		// Whoever called may have been told meanwhile that nothing is to be handed over after all.
		late := errors.Is(err, os.ErrDeadlineExceeded)
		again := c.called && late
		come := err == nil || late && !c.in.empty() // it has come as its time was up
		c.parked, c.called, c.begun = false, false, come && !again
		k.mu.Unlock()
		if !again {
			return come
		}
	}
}

// parking notes that a connection waits, or returns what it is to be handed to first.
func (k *connections) parking(c *conn, until time.Time) (to func(net.Conn) bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.detach != nil && c.offered != k.releases {
		c.offered = k.releases
		c.SetReadDeadline(time.Time{})
		return k.detach
	}
	c.parked = true
	c.SetReadDeadline(until)
	return nil
}

// ---- A connection ----------------------------------------------------------

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// readers are the buffers of connections that are being read.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readerSize) }}

const readerSize = 4 << 10 // most heads are smaller

// reader returns the connection's buffer, a fresh one if it has none.
func (c *conn) reader() *bufio.Reader {
	if c.r == nil {
		c.r = readers.Get().(*bufio.Reader)
		c.r.Reset(&c.limit)
	}
	return c.r
}

// releaseReader gives the buffer back, if nothing is in it.
func (c *conn) releaseReader() {
	if c.r != nil && c.r.Buffered() == 0 {
		c.r.Reset(nil) // it must not show one client's bytes to another, nor keep a connection alive
		if c.r.Size() == readerSize {
			readers.Put(c.r)
		}
		c.r = nil
	}
}

// readable waits until something can be read, or the connection has ended, without holding a buffer meanwhile.
func (c *conn) readable() error {
	if c.in.raw == nil {
		_, err := c.reader().Peek(1) // not a socket
		return err
	}
	return c.in.readable()
}

const (
	writeTime  = time.Second
	lingerTime = 200 * time.Millisecond
	lingerMost = 64 << 10
)

// turnAway answers what is not taken, and ends the connection's use. What the client may still be sending is
// read for a little, since closing on unread bytes would take the answer away from it again.
func (c *conn) turnAway(r *response) {
	c.write(r, true)
	c.linger()
}

// linger ends the use of a connection on which something may still be coming: closing on unread bytes would take the answer
// away from the client.
func (c *conn) linger() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite() // it may be closed already
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerMost) // until its end, or the deadline
}

// response is a final answer as it goes to the client.
type response struct {
	code   int
	header http.Header
	body   []byte
}

func newResponse(code int, text string) *response {
	return &response{code: code, header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, body: []byte(text + "\n")}
}

// retryAfter advises the client to come back after a time, if there is any advice.
func (r *response) retryAfter(d time.Duration) *response {
	if d > 0 {
		r.header.Set("Retry-After", strconv.FormatFloat(d.Seconds(), 'f', 3, 64))
	}
	return r
}

// write writes a whole answer in one piece, and says whether that went well.
func (c *conn) write(r *response, last bool) bool {
	var b bytes.Buffer
	b.Grow(256 + len(r.body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.code) + " " + http.StatusText(r.code) + "\r\n")
	_ = r.header.Write(&b) // writing to memory does not fail
	b.WriteString("Content-Length: " + strconv.Itoa(len(r.body)) + "\r\n")
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.body)
	c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.Write(b.Bytes())
	return err == nil
}
