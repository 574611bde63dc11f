// Package http1 is the HTTP/1.1 front: it takes clients' requests as PROTOCOL describes them, hands them to the
// core, and gives each its one final answer. It decides nothing of where a request goes; conns.go keeps the
// connections, whose number package decide/conns bounds.
package http1

import (
	"context"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// heldRetryAfter is advised to a client that has as many bytes held as it may: an answer or two take that long.
const byteLimitRetryAfter = 100 * time.Millisecond

// HeaderMost is the most bytes that a request's head may have, and RequestTime how long a head may take to arrive whole, from
// its first byte or the connection's beginning: clients may take 2 s (DAYS), and their last bytes travel for a while.
const (
	MaxHeaderBytes = 16 << 10
	RequestTimeout = 2500 * time.Millisecond
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
	SendAttempt func(ctx context.Context, t *core.AttemptContext, q *upstream.Request) engine.AttemptResult

	// Record is told of each request that was taken, once it is over, from many goroutines; it must not wait. nil is
	// nobody.
	RecordExchange func(x *ExchangeRecord)
}

// Front takes clients' requests and gives their answers.
type Server struct {
	options          Options
	conns            *connManager
	closing          atomic.Bool
	responseDeadline atomic.Int64           // requests have their answers by this instant; 0 is by their own only
	routes           atomic.Pointer[Routes] // nil is PROTOCOL
	outcomes         outcomeCounter
	classRoutes      []Route // of PROTOCOL's requests, by class
}

// New returns a front, or the error of limits that make no sense.
func New(options Options) (*Server, error) {
	s := &Server{options: options, outcomes: newOutcomeCounter(len(options.Site.Classes))}
	s.classRoutes = s.newClassRoutes()
	var err error
	s.conns, err = newConnManager(options.Limits, options.Clock, s.serveConn, options.Log)
	return s, err
}

// Conns returns how many connections there are, and how many of them have an open request.
func (s *Server) ConnectionCounts() (all, busy int) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.table.Counts()
}

// Accept serves connections until ln is closed, or until a deadline that was set on it.
func (s *Server) Accept(ln net.Listener, identify Identify) error {
	return s.conns.accept(ln, identify)
}

// AcceptRest serves the connections that wait in ln's queue; Accept must have ended. What comes after it returns waits on.
func (s *Server) AcceptQueued(ln net.Listener, identify Identify) { s.conns.acceptQueued(ln, identify) }

// Adopt serves a connection that another process has handed over.
func (s *Server) Adopt(nc net.Conn, identify Identify) { s.conns.add(nc, identify) }

// Release hands connections over as soon as they rest, from now on: to is called for each, from many goroutines,
// and says whether it has been taken; our own end of it is closed then. What is not taken goes on here. nil ends
// that.
func (s *Server) SetHandoff(handoff func(net.Conn) bool) { s.conns.setHandoff(handoff) }

// Quiesce has each answer from now on close its connection, and closes the connections without an open request.
// It may be called again, for those that have come meanwhile.
func (s *Server) Quiesce() {
	s.closing.Store(true)
	s.conns.quiesce()
}

// GiveUpHalves closes the connections of whose request only a part has come, and returns how many.
func (s *Server) ClosePartialRequests() int { return s.conns.closePartialRequests() }

// EndBy has each request that is taken from now on answered by an instant: the process ends then, whatever is open.
func (s *Server) SetResponseDeadline(deadline monotime.Micros) { s.responseDeadline.Store(deadline) }

// closes says whether an answer that is to be written now is the last on its connection. While all are to close, those whose
// client has sent a next request, or begun to, are answered once more, as long as there is time for it: what came whole
// must not be lost.
func (s *Server) isLastResponse(c *conn) bool {
	if !s.closing.Load() {
		return false
	}
	deadline := s.responseDeadline.Load()
	c.input.setUnexamined(c.buffer != nil && c.buffer.Buffered() > 0) // what was read of the present request is no next one
	return c.input.isDrained() || deadline > 0 && s.options.Clock.Now() >= deadline
}

// Wait waits until no connection is served, or ctx ends.
func (s *Server) WaitDrained(ctx context.Context) error { return s.conns.waitDrained(ctx) }

// Cut closes all connections, those with open requests too.
func (s *Server) CloseAll() {
	s.closing.Store(true)
	s.conns.closeAll()
}

// talk serves a connection, one request at a time.
func (s *Server) serveConn(c *conn) {
	deadline := time.Now().Add(RequestTimeout)
	for s.conns.awaitRequest(c, deadline) {
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			deadline = time.Time{} // its first byte came in time
		}
		if !s.serveRequest(c, deadline) {
			break
		}
		deadline = time.Time{}
	}
	if s.closing.Load() && !c.input.isDrained() {
		c.linger() // more came as the last answer went
	}
}

// exchange takes one request, which must be whole by then or, if that is zero, soon after its first byte, and
// gives its answer. It says whether the connection may serve another.
func (s *Server) serveRequest(c *conn, deadline time.Time) bool {
	c.readLimit.N = MaxHeaderBytes
	if deadline.IsZero() {
		deadline = time.Now().Add(RequestTimeout)
	}
	if responseDeadline := s.responseDeadline.Load(); responseDeadline > 0 { // a request that is not whole by then has no time left
		if processEnd := time.Now().Add(clock.Duration(responseDeadline - s.options.Clock.Now())); processEnd.Before(deadline) {
			deadline = processEnd
		}
	}
	c.SetReadDeadline(deadline)
	routes := s.routes.Load()
	var singletons map[string]bool
	if routes != nil {
		singletons = routes.SingletonHeaders
	}
	req, err := c.readRequest(singletons)
	if err != nil {
		if response := s.unreadableResponse(c, err); response != nil {
			c.reject(response)
		}
		return false
	}
	if req.URL.Path == "/-/ready" && req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		response := newLocalResponse(http.StatusOK, "ready")
		if s.closing.Load() || !s.options.Core.Ready() {
			response = newLocalResponse(http.StatusServiceUnavailable, "not ready")
		}
		closeAfter := req.Close || s.isLastResponse(c)
		return s.conns.markBusy(c) && c.writeResponse(response, closeAfter) && s.conns.finishRequest(c) && !closeAfter
	}
	if routes != nil {
		return s.serveByRoute(c, req, routes)
	}
	return s.serveByClass(c, req)
}

// visible says whether a header's value is plain text of some length.
func isVisibleASCII(v string) bool {
	return v != "" && !strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
}

// key turns what a request is about into a number; 0 is none.
func objectKey(object string) uint64 {
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
