// Package http1 is the HTTP/1.1 server for clients: it accepts their connections, reads their requests (by class, as
// PROTOCOL describes, or by configured routes), submits them to the core and writes exactly one final response to each.
//
// Packages core and engine decide which endpoint a request is sent to, decide/connlimit how many connections may be
// open, and decide/route which route matches; this package must not make such decisions.
//
// A request's way is serveConn, serveRequest, serveByRoute or serveByClass, exchange.forward, submit and respond.
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

// readinessPath is the path of readiness probes (PROTOCOL).
const readinessPath = "/-/ready"

// byteLimitRetryAfter is the Retry-After for a client at its limit of buffered bytes: about the duration of one or two
// requests.
const byteLimitRetryAfter = 100 * time.Millisecond

// Limits of a request's head.
const (
	// MaxHeaderBytes is the largest size of a request's head.
	MaxHeaderBytes = 16 << 10
	// RequestTimeout is how long a head may take to arrive completely, from its first byte or from the start of the
	// connection: 2 s for the client (DAYS), and 500 ms for the network.
	RequestTimeout = 2500 * time.Millisecond
)

// Options are the dependencies and settings of a Server.
type Options struct {
	Clock  clock.Clock
	Site   *siteconfig.Site
	Core   *core.Core
	Limits connlimit.Limits // of the clients' connections
	Log    *slog.Logger

	// Pool is the pool of all requests while there are no routes.
	Pool *core.Pool

	// SendAttempt makes an attempt of a request at an endpoint.
	SendAttempt func(context.Context, *core.AttemptContext, *upstream.Request) engine.AttemptResult

	// RecordExchange is called once for each forwarded request that is over, concurrently. It must not block. nil
	// records nothing.
	RecordExchange func(*ExchangeRecord)
}

// Server accepts clients' connections and serves the requests on them. Its methods may be called concurrently.
type Server struct {
	options          Options
	conns            *connManager
	closing          atomic.Bool
	responseDeadline atomic.Int64           // monotime.Micros; 0 for none beyond the requests' own deadlines
	routes           atomic.Pointer[Routes] // nil: requests are routed by class
	outcomes         outcomeCounter
	classRoutes      []Route // by class, for requests without routes
}

// New returns a server, or an error if the limits of connections are invalid.
func New(options Options) (*Server, error) {
	s := &Server{options: options, outcomes: newOutcomeCounter(len(options.Site.Classes))}
	s.classRoutes = s.newClassRoutes()
	var err error
	s.conns, err = newConnManager(options.Limits, options.Clock, s.serveConn, options.Log)
	return s, err
}

// ConnectionCounts returns how many connections there are, and how many of them have an open request.
func (s *Server) ConnectionCounts() (open, busy int) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.table.Counts()
}

// Accept serves connections until ln is closed, or until a deadline that was set on it.
func (s *Server) Accept(ln net.Listener, identify Identify) error {
	return s.conns.accept(ln, identify)
}

// AcceptQueued serves the connections that are in ln's queue. Accept must have returned before.
func (s *Server) AcceptQueued(ln net.Listener, identify Identify) { s.conns.acceptQueued(ln, identify) }

// Adopt serves a connection that another process has handed over.
func (s *Server) Adopt(netConn net.Conn, identify Identify) { s.conns.add(netConn, identify) }

// SetHandoff starts to hand each connection over to another process as soon as it is idle (hot restart). handoff is
// called concurrently, once for each connection, and reports whether the other process accepted it: this process then
// closes its end, and otherwise continues to serve it. nil ends the handing over.
func (s *Server) SetHandoff(handoff func(net.Conn) bool) { s.conns.setHandoff(handoff) }

// Quiesce starts a graceful shutdown: it closes the connections without an open request, and each later response closes
// its connection. It may be called again, for connections that were accepted since.
func (s *Server) Quiesce() {
	s.closing.Store(true)
	s.conns.quiesce()
}

// ClosePartialRequests closes the connections on which only a part of a request has arrived, and returns how many.
func (s *Server) ClosePartialRequests() int { return s.conns.closePartialRequests() }

// SetResponseDeadline bounds the deadlines of requests from now on by the instant at which the process ends.
func (s *Server) SetResponseDeadline(deadline monotime.Micros) { s.responseDeadline.Store(deadline) }

// isLastResponse reports whether a response that is to be written now is the last on its connection. While the server
// is closing, a client that has started to send a next request gets one more response, as long as there is time for it:
// a complete request must not be lost.
func (s *Server) isLastResponse(c *conn) bool {
	if !s.closing.Load() {
		return false
	}
	deadline := s.responseDeadline.Load()
	c.input.setUnexamined(c.hasBuffered()) // bytes of the current request are not a next one
	return c.input.isDrained() || deadline > 0 && s.options.Clock.Now() >= deadline
}

// WaitDrained returns nil once no connection is served, or the error of ctx once that ends.
func (s *Server) WaitDrained(ctx context.Context) error { return s.conns.waitDrained(ctx) }

// CloseAll closes all connections, including those with open requests.
func (s *Server) CloseAll() {
	s.closing.Store(true)
	s.conns.closeAll()
}

// serveConn serves a connection, one request at a time.
func (s *Server) serveConn(c *conn) {
	deadline := time.Now().Add(RequestTimeout)
	for s.conns.awaitRequest(c, deadline) {
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			deadline = time.Time{} // the first byte arrived in time
		}
		if !s.serveRequest(c, deadline) {
			break
		}
		deadline = time.Time{}
	}
	if s.closing.Load() && !c.input.isDrained() {
		c.linger() // more arrived while the last response was written
	}
}

// serveRequest reads one request, which must be complete by deadline or, if that is zero, within RequestTimeout, and
// responds to it. It reports whether the connection may serve another.
func (s *Server) serveRequest(c *conn, deadline time.Time) bool {
	c.readLimit.N = MaxHeaderBytes
	if deadline.IsZero() {
		deadline = time.Now().Add(RequestTimeout)
	}
	c.SetReadDeadline(s.boundByProcessEnd(deadline))
	routes := s.routes.Load()
	var singletons map[string]bool
	if routes != nil {
		singletons = routes.SingletonHeaders
	}
	req, err := c.readRequest(singletons)
	if err != nil {
		if response := s.unreadableRequestResponse(c, err); response != nil {
			c.reject(response)
		}
		return false
	}
	if isReadinessProbe(req) {
		return s.serveReadiness(c, req)
	}
	if routes != nil {
		return s.serveByRoute(c, req, routes)
	}
	return s.serveByClass(c, req)
}

// boundByProcessEnd returns a deadline, or the instant at which the process ends if that is earlier: a request that is
// incomplete by then has no time left.
func (s *Server) boundByProcessEnd(deadline time.Time) time.Time {
	responseDeadline := s.responseDeadline.Load()
	if responseDeadline <= 0 {
		return deadline
	}
	processEnd := time.Now().Add(clock.Duration(responseDeadline - s.options.Clock.Now()))
	if processEnd.Before(deadline) {
		return processEnd
	}
	return deadline
}

// isReadinessProbe reports whether a request is a readiness probe of this process.
func isReadinessProbe(req *http.Request) bool {
	return req.URL.Path == readinessPath && req.ContentLength == 0 && len(req.TransferEncoding) == 0
}

// serveReadiness responds to a readiness probe. It reports whether the connection may serve another request.
func (s *Server) serveReadiness(c *conn, req *http.Request) bool {
	response := newLocalResponse(http.StatusOK, "ready")
	if s.closing.Load() || !s.options.Core.Ready() {
		response = newLocalResponse(http.StatusServiceUnavailable, "not ready")
	}
	closeAfter := req.Close || s.isLastResponse(c)
	return s.conns.markBusy(c) && c.writeResponse(response, closeAfter) && s.conns.finishRequest(c) && !closeAfter
}

// isVisibleASCII reports whether a header's value is not empty and consists of visible ASCII characters.
func isVisibleASCII(v string) bool {
	return v != "" && !strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
}

// objectKey returns the number that identifies an object: its value as a hexadecimal number, else its FNV-1a hash; 0
// for none.
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
