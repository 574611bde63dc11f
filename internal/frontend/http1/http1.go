// Package http1 is the HTTP/1.1 front: it takes clients' requests as PROTOCOL describes them, hands them to the
// core, and gives each its one final answer. It decides nothing of where a request goes; conns.go keeps the
// connections, whose number package decide/conns bounds.
package http1

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// heldRetryAfter is advised to a client that has as many bytes held as it may: an answer or two take that long.
const heldRetryAfter = 100 * time.Millisecond

// HeaderMost is the most bytes that a request's head may have, and RequestTime how long a head may take to arrive whole, from
// its first byte or the connection's beginning: clients may take 2 s (DAYS), and their last bytes travel for a while.
const (
	HeaderMost  = 16 << 10
	RequestTime = 2500 * time.Millisecond
)

// Options are what a Front needs.
type Options struct {
	Clock  clock.Clock
	Site   *siteconfig.Site
	Core   *core.Core
	Limits connlimit.Limits // of the clients' connections
	Log    *slog.Logger

	Pool *core.Pool // to which all requests go, without routes

	// SendWhole makes an attempt at an endpoint (upstream.Pool.SendWhole).
	SendWhole func(ctx context.Context, t *core.AttemptContext, q *upstream.Request) engine.AttemptResult

	// Record is told of each request that was taken, once it is over, from many goroutines; it must not wait. nil is
	// nobody.
	Record func(x *Exchange)
}

// Front takes clients' requests and gives their answers.
type Front struct {
	o       Options
	conns   *connections
	closing atomic.Bool
	endBy   atomic.Int64           // requests have their answers by this instant; 0 is by their own only
	routes  atomic.Pointer[Routes] // nil is PROTOCOL
	counts  counts
	ways    []Route // of PROTOCOL's requests, by class
}

// New returns a front, or the error of limits that make no sense.
func New(o Options) (*Front, error) {
	f := &Front{o: o, counts: newCounts(len(o.Site.Classes))}
	f.ways = f.plainRoutes()
	var err error
	f.conns, err = newConnections(o.Limits, o.Clock, f.talk, o.Log)
	return f, err
}

// NewClient returns a client of the front, or the error of a spec that makes no sense.
func (f *Front) NewClient(s Spec) (*Client, error) {
	share, err := engine.NewClient(s.ClientSpec)
	if err != nil {
		return nil, err
	}
	c := &Client{Name: s.Name, share: share}
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	c.owner = f.conns.table.NewOwner(s.Weight, f.most(s), s.Bytes)
	return c, nil
}

// ChangeClient gives a client another spec; what it has open stays open.
func (f *Front) ChangeClient(c *Client, s Spec) error {
	if err := f.o.Core.SetClientSpec(c.share, s.ClientSpec); err != nil {
		return err
	}
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.table.UpdateOwner(c.owner, s.Weight, f.most(s), s.Bytes)
	return nil
}

func (f *Front) most(s Spec) int {
	if s.Connections > 0 {
		return s.Connections
	}
	return f.o.Limits.MaxConnections
}

// Held returns how many connections a client has, how many of them have an open request, and how many bytes are
// held for it.
func (f *Front) Held(c *Client) (all, busy int, bytes int64) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	all, busy = c.owner.Connections()
	return all, busy, c.owner.ReservedBytes()
}

// Conns returns how many connections there are, and how many of them have an open request.
func (f *Front) Conns() (all, busy int) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.table.Counts()
}

// Accept serves connections until ln is closed, or until a deadline that was set on it.
func (f *Front) Accept(ln net.Listener, identify Identify) error { return f.conns.accept(ln, identify) }

// AcceptRest serves the connections that wait in ln's queue; Accept must have ended. What comes after it returns waits on.
func (f *Front) AcceptRest(ln net.Listener, identify Identify) { f.conns.acceptRest(ln, identify) }

// Adopt serves a connection that another process has handed over.
func (f *Front) Adopt(nc net.Conn, identify Identify) { f.conns.add(nc, identify) }

// Release hands connections over as soon as they rest, from now on: to is called for each, from many goroutines,
// and says whether it has been taken; our own end of it is closed then. What is not taken goes on here. nil ends
// that.
func (f *Front) Release(to func(net.Conn) bool) { f.conns.release(to) }

// Quiesce has each answer from now on close its connection, and closes the connections without an open request.
// It may be called again, for those that have come meanwhile.
func (f *Front) Quiesce() {
	f.closing.Store(true)
	f.conns.hush()
}

// GiveUpHalves closes the connections of whose request only a part has come, and returns how many.
func (f *Front) GiveUpHalves() int { return f.conns.hushHalves() }

// EndBy has each request that is taken from now on answered by an instant: the process ends then, whatever is open.
func (f *Front) EndBy(at monotime.Micros) { f.endBy.Store(at) }

// closes says whether an answer that is to be written now is the last on its connection. While all are to close, those whose
// client has sent a next request, or begun to, are answered once more, as long as there is time for it: what came whole
// must not be lost.
func (f *Front) closes(c *conn) bool {
	if !f.closing.Load() {
		return false
	}
	by := f.endBy.Load()
	c.in.rest(c.r != nil && c.r.Buffered() > 0) // what was read of the present request is no next one
	return c.in.empty() || by > 0 && f.o.Clock.Now() >= by
}

// Wait waits until no connection is served, or ctx ends.
func (f *Front) Wait(ctx context.Context) error { return f.conns.wait(ctx) }

// Cut closes all connections, those with open requests too.
func (f *Front) Cut() {
	f.closing.Store(true)
	f.conns.cut()
}

// talk serves a connection, one request at a time.
func (f *Front) talk(c *conn) {
	until := time.Now().Add(RequestTime)
	for f.conns.park(c, until) {
		if !until.IsZero() && !time.Now().Before(until) {
			until = time.Time{} // its first byte came in time
		}
		if !f.exchange(c, until) {
			break
		}
		until = time.Time{}
	}
	if f.closing.Load() && !c.in.empty() {
		c.linger() // more came as the last answer went
	}
}

// exchange takes one request, which must be whole by then or, if that is zero, soon after its first byte, and
// gives its answer. It says whether the connection may serve another.
func (f *Front) exchange(c *conn, until time.Time) bool {
	c.limit.N = HeaderMost
	if until.IsZero() {
		until = time.Now().Add(RequestTime)
	}
	if by := f.endBy.Load(); by > 0 { // a request that is not whole by then has no time left
		if at := time.Now().Add(clock.Duration(by - f.o.Clock.Now())); at.Before(until) {
			until = at
		}
	}
	c.SetReadDeadline(until)
	routes := f.routes.Load()
	var also map[string]bool
	if routes != nil {
		also = routes.Decisive
	}
	r, err := c.request(also)
	if err != nil {
		if a := f.unreadable(c, err); a != nil {
			c.turnAway(a)
		}
		return false
	}
	if r.URL.Path == "/-/ready" && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		a := newResponse(http.StatusOK, "ready")
		if f.closing.Load() || !f.o.Core.Ready() {
			a = newResponse(http.StatusServiceUnavailable, "not ready")
		}
		last := r.Close || f.closes(c)
		return f.conns.take(c) && c.write(a, last) && f.conns.rest(c) && !last
	}
	if routes != nil {
		return f.routed(c, r, routes)
	}
	return f.plain(c, r)
}

const surplus = "more was sent than the request's length tells"

// unreadable returns the answer to what is no request, nil if the client has sent nothing or has gone.
func (f *Front) unreadable(c *conn, err error) *response {
	var timeout net.Error
	code := http.StatusBadRequest
	switch {
	case errors.As(err, new(*http1msg.HeadError)):
		return turnedAway(err)
	case errors.As(err, &timeout) && timeout.Timeout():
		if c.limit.N == HeaderMost && (c.r == nil || c.r.Buffered() == 0) {
			return nil
		}
		code = http.StatusRequestTimeout
	case c.limit.N <= 0:
		code = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return nil
	}
	return newResponse(code, http.StatusText(code))
}

// turnedAway returns the answer to a request that is not taken.
func turnedAway(err error) *response {
	a := newResponse(http.StatusBadRequest, err.Error())
	if bad := (*badRequest)(nil); errors.As(err, &bad) {
		a.code = bad.code
		a.retryAfter(bad.retryAfter)
	}
	if bad := (*http1msg.HeadError)(nil); errors.As(err, &bad) {
		a.code = bad.Status
	}
	return a
}

// badRequest says why a request is not taken.
type badRequest struct {
	code       int
	reason     string
	retryAfter time.Duration
	status     string // the type of error in Proxy-Status; "" is http_request_error
}

func (e *badRequest) Error() string { return e.reason }

func bad(code int, format string, args ...any) error {
	return &badRequest{code: code, reason: fmt.Sprintf(format, args...)}
}

// visible says whether a header's value is plain text of some length.
func visible(v string) bool {
	return v != "" && !strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
}

// key turns what a request is about into a number; 0 is none.
func key(object string) uint64 {
	if object == "" {
		return 0
	}
	if v, err := strconv.ParseUint(object, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, object) // a hash does not fail
	return h.Sum64()
}
