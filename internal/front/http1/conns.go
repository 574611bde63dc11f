package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/conns"
)

// client is a client's connection.
type client struct {
	net.Conn
	limit io.LimitedReader // what may still be read for the present request
	r     *bufio.Reader
	place *conns.Conn[*client] // guarded by clients.mu
}

// clients accepts connections and bounds their number. This package does that itself, not http.Server, since it
// must know what else waits on a connection behind a request, and which connection it can best do without.
type clients struct {
	clock clock.Clock
	talk  func(*client) // until the connection is to be closed
	log   *slog.Logger

	mu      sync.Mutex
	table   *conns.Table[*client]
	owner   *conns.Owner[*client] // of all of them
	idle    *time.Timer           // looks for what has rested too long
	closing bool
	talks   sync.WaitGroup
}

func newClients(l conns.Limits, clk clock.Clock, talk func(*client), log *slog.Logger) (*clients, error) {
	table, err := conns.New[*client](l)
	if err != nil {
		return nil, err
	}
	k := &clients{clock: clk, talk: talk, log: log, table: table, owner: table.Owner(1, l.Total)}
	k.idle = time.AfterFunc(time.Hour, k.expire)
	return k, nil
}

const (
	acceptWaitLeast = 5 * time.Millisecond
	acceptWaitMost  = time.Second
)

// accept serves connections until ln is closed.
func (k *clients) accept(ln net.Listener) error {
	wait := acceptWaitLeast
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			wait = acceptWaitLeast
			k.add(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			// No descriptor is left, perhaps: one that is not needed makes room.
			if wait == acceptWaitLeast {
				k.log.Warn("accept", "error", err)
			}
			k.mu.Lock()
			k.closeLocked(k.table.Spare())
			k.mu.Unlock()
			time.Sleep(wait)
			wait = min(2*wait, acceptWaitMost)
		}
	}
}

func (k *clients) add(nc net.Conn) {
	c := &client{Conn: nc}
	c.limit.R = nc
	c.r = bufio.NewReader(&c.limit)
	k.mu.Lock()
	defer k.mu.Unlock()
	place, spare := k.table.Open(k.clock.Now(), k.owner, c)
	k.closeLocked(spare)
	if place == nil {
		nc.Close() // all others are waiting for their answers
		return
	}
	c.place = place
	k.expireLocked()
	k.talks.Go(func() {
		k.talk(c)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.closeLocked(c.place)
	})
}

func (k *clients) closeLocked(place *conns.Conn[*client]) {
	if place != nil {
		k.table.Close(place)
		place.Value.Close()
	}
}

// expire closes what has rested for too long.
func (k *clients) expire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.expireLocked()
}

func (k *clients) expireLocked() {
	now := k.clock.Now()
	for {
		c, next := k.table.Expired(now)
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
func (k *clients) take(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Take(c.place)
}

// rest notes that a request has its answer, and says whether the connection may stay open.
func (k *clients) rest(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closeLocked(k.table.Rest(k.clock.Now(), c.place))
	k.expireLocked()
	return !k.closing
}

// hush closes the connections without an open request; those with one close once they have their answers.
func (k *clients) hush() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = true
	for c := k.table.Spare(); c != nil; c = k.table.Spare() {
		k.closeLocked(c)
	}
}

// ---- A connection ----------------------------------------------------------

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// watch returns a channel on which one error comes when the client leaves, or nil when it sends something
// before it has its answer. To end the watch, set a deadline in the past.
func (c *client) watch() <-chan error {
	c.SetReadDeadline(time.Time{})
	c.limit.N = 1
	gone := make(chan error, 1)
	go func() {
		_, err := c.r.Peek(1)
		gone <- err
	}()
	return gone
}

const (
	writeTime  = time.Second
	lingerTime = 200 * time.Millisecond
	lingerMost = 64 << 10
)

// turnAway answers what is not taken, and ends the connection's use. What the client may still be sending is
// read for a little, since closing on unread bytes would take the answer away from it again.
func (c *client) turnAway(code int, reason string) {
	c.write(newResponse(code, reason), true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(lingerTime))
	io.CopyN(io.Discard, c.Conn, lingerMost)
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

// write writes a whole answer in one piece, and says whether that went well.
func (c *client) write(r *response, last bool) bool {
	var b bytes.Buffer
	b.Grow(256 + len(r.body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.code) + " " + http.StatusText(r.code) + "\r\n")
	r.header.Write(&b) // writing to memory does not fail
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
