// Package http1 is the HTTP/1.1 server for clients. It accepts their connections, parses their requests (by
// class, as page PROTOCOL describes, or by configured routes), submits them to the core, and writes exactly one
// final response to each request.
//
// Packages core and engine decide which endpoint a request is sent to, decide/connlimit how many connections may be
// open, and decide/route which route matches. This package must not make such decisions.
//
// A request passes through serveConn, serveRequest, serveByRoute or serveByClass, exchange.forward, submit and
// respond.
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
	"dunlinsail/internal/timesharing"
	"dunlinsail/internal/upstream"
)

// readinessPath is the path of readiness probes (page PROTOCOL).
const readinessPath = "/-/ready"

// byteLimitRetryAfter is the Retry-After value for a client that has reached its limit of buffered bytes. It is
// about the duration of one or two requests.
const byteLimitRetryAfter = 100 * time.Millisecond

// Limits for the head of a request.
const (
	// MaxHeaderBytes is the largest size of a request's head in bytes.
	MaxHeaderBytes = 16 << 10
	// RequestTimeout is how long a head may take to arrive completely, from its first byte or, for the first
	// request, from the start of the connection: 2 s for the client (page DAYS) and 500 ms for the network.
	RequestTimeout = 2500 * time.Millisecond
)

// Options are the dependencies and settings of a Server.
type Options struct {
	Clock  clock.Clock
	Site   *siteconfig.Site
	Core   *core.Core
	Limits connlimit.Limits // limits of the clients' connections
	Log    *slog.Logger

	// Pool is the pool that serves all requests while no routes are set.
	Pool *core.Pool

	// SendAttempt sends one attempt of a request to an endpoint and returns its result.
	SendAttempt func(context.Context, *core.AttemptContext, *upstream.Request) engine.AttemptResult

	// Processors shares the processors among the connections; nil does without.
	Processors *timesharing.Processors

	// RecordExchange is called once for each forwarded request when it has completed. It may be called
	// concurrently and must not block. If it is nil, nothing is recorded.
	RecordExchange func(*ExchangeRecord)
}

// Server accepts clients' connections and serves the requests on them. Its methods may be called concurrently.
type Server struct {
	options          Options
	conns            *connManager
	closing          atomic.Bool
	responseDeadline atomic.Int64           // monotime.Micros; 0 if only the requests' own deadlines apply
	routes           atomic.Pointer[Routes] // nil if requests are served by class
	outcomes         outcomeCounter
	late             lateResponses
	classRoutes      []Route // by class; used while no routes are set
}

// New returns a server, or an error if options.Limits are invalid.
func New(options Options) (*Server, error) {
	s := &Server{options: options, outcomes: newOutcomeCounter(len(options.Site.Classes))}
	s.classRoutes = s.newClassRoutes()
	var err error
	s.conns, err = newConnManager(options.Limits, options.Clock, s.serveConn, options.Log)
	if err != nil {
		return nil, err
	}
	s.conns.processors = options.Processors
	return s, nil
}

// ConnectionCounts returns the number of open client connections, and how many of them have a request in flight
// (busy).
func (s *Server) ConnectionCounts() (open, busy int) {
	s.conns.mu.Lock()
	defer s.conns.mu.Unlock()
	return s.conns.table.Counts()
}

// Accept accepts and serves the connections of ln until ln is closed or its deadline passes.
func (s *Server) Accept(ln net.Listener, identify IdentifyFunc) error {
	return s.conns.accept(ln, identify)
}

// AcceptQueued accepts and serves the connections that are in ln's listen queue. Accept must have returned before
// the call.
func (s *Server) AcceptQueued(ln net.Listener, identify IdentifyFunc) {
	s.conns.acceptQueued(ln, identify)
}

// Adopt serves a connection that another process has handed over to this one.
func (s *Server) Adopt(netConn net.Conn, identify IdentifyFunc) { s.conns.add(netConn, identify) }

// SetHandoff starts handing connections over to another process (hot restart): each connection is passed to
// handoff once, as soon as it is idle. handoff is called concurrently, and reports whether the other process
// accepted the connection. If so, this process closes its descriptor, otherwise it continues to serve the
// connection. A nil handoff ends handing over.
func (s *Server) SetHandoff(handoff func(net.Conn) bool) { s.conns.setHandoff(handoff) }

// Quiesce starts a graceful shutdown: it closes the idle connections, and every other connection is closed after
// its next response. Quiesce may be called again, to close connections that were accepted after the first call.
func (s *Server) Quiesce() {
	s.closing.Store(true)
	s.conns.quiesce()
}

// ClosePartialRequests closes the connections on which only a part of a request has arrived, and returns their
// number.
func (s *Server) ClosePartialRequests() int { return s.conns.closePartialRequests() }

// SetResponseDeadline sets the time at which the process ends. The deadlines of later requests are not later than
// it.
func (s *Server) SetResponseDeadline(deadline monotime.Micros) { s.responseDeadline.Store(deadline) }

// isLastResponse reports whether the response that is about to be written is the last one on its connection.
// While the server is closing, a client that has started to send another request still gets a response to it,
// unless the response deadline has passed: a complete request must not be lost.
func (s *Server) isLastResponse(c *conn) bool {
	if !s.closing.Load() {
		return false
	}
	deadline := s.responseDeadline.Load()
	c.input.setUnexamined(c.hasBuffered()) // bytes of the current request do not count as another request
	return c.input.allBytesExamined() || deadline > 0 && s.options.Clock.Now() >= deadline
}

// WaitDrained waits until no connection is being served. It returns the error of ctx if ctx ends first.
func (s *Server) WaitDrained(ctx context.Context) error { return s.conns.waitDrained(ctx) }

// finalResponsesTimeout bounds the writing of the responses that CloseRemaining causes.
const finalResponsesTimeout = 500 * time.Millisecond

// CloseRemaining ends what is still open at the end of a drain, and returns the number of requests that had no response
// and get one. Connections that are still open after finalResponsesTimeout, such as those of responses that stream, are
// closed.
func (s *Server) CloseRemaining() (expired int) {
	s.SetResponseDeadline(s.options.Clock.Now()) // a request that arrives from here on is answered at once
	expired = s.options.Core.ExpireAll()
	s.ClosePartialRequests()
	ctx, cancel := context.WithTimeout(context.Background(), finalResponsesTimeout)
	defer cancel()
	_ = s.WaitDrained(ctx) // an error means that connections are left, which CloseAll closes
	s.CloseAll()
	return expired
}

// CloseAll closes all connections, including those with a request in flight.
func (s *Server) CloseAll() {
	s.closing.Store(true)
	s.conns.closeAll()
}

// serveConn serves the requests on a connection, one at a time, until the connection is to be closed.
func (s *Server) serveConn(c *conn) {
	deadline := time.Now().Add(RequestTimeout)
	for s.conns.awaitRequest(c, deadline) {
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			deadline = time.Time{} // the first byte arrived in time: the head gets a timeout of its own
		}
		if !s.serveRequest(c, deadline) {
			break
		}
		deadline = time.Time{}
	}
	if s.closing.Load() && !c.input.allBytesExamined() {
		c.linger() // more bytes arrived while the last response was written
	}
}

// serveRequest reads one request and writes the response to it. The head must be complete by deadline, or within
// RequestTimeout if deadline is zero. serveRequest reports whether the connection may serve another request.
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

// boundByProcessEnd returns the earlier of deadline and the time at which the process ends (SetResponseDeadline). A
// request that is incomplete at that time cannot be served.
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

// isReadinessProbe reports whether a request is a readiness probe for this process.
func isReadinessProbe(req *http.Request) bool {
	return req.URL.Path == readinessPath && req.ContentLength == 0 && len(req.TransferEncoding) == 0
}

// serveReadiness writes the response to a readiness probe. It reports whether the connection may serve another
// request.
func (s *Server) serveReadiness(c *conn, req *http.Request) bool {
	response := newLocalResponse(http.StatusOK, "ready")
	if s.closing.Load() || !s.options.Core.Ready() {
		response = newLocalResponse(http.StatusServiceUnavailable, "not ready")
	}
	closeAfter := req.Close || s.isLastResponse(c)
	return s.conns.markBusy(c) && c.writeResponse(response, closeAfter) && s.conns.finishRequest(c) && !closeAfter
}

// isVisibleASCII reports whether a header's value is not empty and consists of visible ASCII characters.
func isVisibleASCII(value string) bool {
	return value != "" && !strings.ContainsFunc(value, func(c rune) bool { return c <= ' ' || c > '~' })
}

// objectKey returns the number that identifies an object: its name parsed as a hexadecimal number, or the FNV-1a
// hash of the name if that fails. It returns 0 if there is no object.
func objectKey(object string) uint64 {
	if object == "" {
		return 0
	}
	if v, err := strconv.ParseUint(object, 16, 64); err == nil {
		return v
	}
	hash := fnv.New64a()
	_, _ = io.WriteString(hash, object) // writing to a hash does not fail
	return hash.Sum64()
}
