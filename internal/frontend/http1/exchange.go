package http1

import (
	"context"
	"math"
	"net/http"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// exchange is one request of a client together with its response.
type exchange struct {
	server     *Server
	conn       *conn
	request    *http.Request
	proxyName  string // this instance's name in Proxy-Status
	closeAfter bool   // the connection is closed after the response
	byClass    bool   // the server has no routes (page PROTOCOL): only successful responses of endpoints are forwarded

	stream        *upstream.RequestStream // streamed body of the request; nil if buffered or not read by any attempt
	responseEdits *HeaderEdits            // applied to the headers of an endpoint's response
	idleTimeout   time.Duration           // how long a write of the response may wait for the client to read

	record     *ExchangeRecord // nil if nothing is recorded
	status     int             // HTTP status of the response
	bodyLength int64           // length of the response's body in bytes; -1 if not known
}

func (s *Server) newExchange(c *conn, req *http.Request, proxyName string) *exchange {
	closeAfter := req.Close || !req.ProtoAtLeast(1, 1)
	return &exchange{server: s, conn: c, request: req, proxyName: proxyName, closeAfter: closeAfter}
}

// forward submits a request to the core and writes its response. The body of the request has been buffered or
// prepared for streaming. path is the normalized path, or "" on a server without routes. forward reports whether
// the connection may serve another request.
func (x *exchange) forward(parsed *parsedRequest, path string) bool {
	server := x.server
	rt := parsed.route
	call := parsed.coreCall
	out := parsed.outbound
	if !server.conns.markBusy(x.conn) {
		return false
	}
	x.responseEdits = &rt.ResponseEdits
	x.idleTimeout = rt.UnsafePolicy.IdleTimeout
	call.Attempt = server.attemptFunc(out)
	call.ArrivedAt = server.options.Clock.Now()
	call.Request.Deadline += call.ArrivedAt
	if stream := out.Stream; stream != nil {
		call.NotReplayable = stream.Claimed
		call.Request.Upload = true
		call.Request.Deadline = call.ArrivedAt + rt.StreamTimeout.Microseconds()
	}
	if deadline := server.responseDeadline.Load(); deadline > 0 {
		call.Request.Deadline = min(call.Request.Deadline, deadline)
	}
	idempotencyKey := rt.IdempotencyKey.value(x.conn, x.request, path)
	object := rt.Object.value(x.conn, x.request, path)
	x.record = server.newExchangeRecord(x.conn, call, rt.Name, idempotencyKey, object, parsed.bodyLength())
	return x.submit(call, out)
}

// responseTimeout returns how long an attempt may wait for the response after the last byte of a streamed body, if the
// client waits for timeout. It is positive: an attempt without a limit could keep the client waiting.
func responseTimeout(timeout monotime.Micros) time.Duration {
	return max(time.Millisecond, clock.Duration(timeout)-siteconfig.ResponseMargin)
}

// bodyLength returns the length of the request's body in bytes, or -1 if it is not known.
func (r *parsedRequest) bodyLength() int64 {
	switch {
	case r.framing.Kind == http1msg.FixedLength:
		return r.framing.Length
	case r.outbound.Stream != nil:
		return -1
	}
	return int64(len(r.outbound.Body))
}

// submit submits the request to the core, waits for the response and writes it. It reports whether the connection
// may serve another request.
func (x *exchange) submit(call *core.Call, out *upstream.Request) bool {
	stream := out.Stream
	x.stream = stream
	watch := x.conn.newClientWatch(stream == nil)
	if stream != nil {
		watch.onPoll = func() { x.checkUnclaimedUpload(call, out) }
	}
	if watch.clientDisconnected() { // the client left before its request was read: the request is not forwarded
		x.server.finishExchange(x.record, call.Request.Class, nil, 0, 0)
		return false
	}
	watch.start()
	if stream != nil {
		x.server.conns.setUploading(x.conn, true)
		defer x.server.conns.setUploading(x.conn, false)
	}
	x.server.options.Core.Submit(call)
	response, ok := x.awaitResponse(call, watch)
	if !ok {
		return false
	}
	x.server.observeLateness(call, &response)
	watch.stop()
	// An attempt that has been canceled must not start to read from the client after this point.
	attempted := stream != nil && !stream.Withhold()
	if stream != nil && !attempted {
		x.stream = nil
		x.closeAfter = true // the unread rest of the body precedes the next request
	}
	keepOpen := x.respond(response)
	x.server.finishExchange(x.record, call.Request.Class, &response, x.status, x.bodyLength)
	if attempted {
		<-stream.Done() // the attempt may read from the client until it has ended
		keepOpen = keepOpen && stream.Body.Done()
	}
	if stream != nil && !keepOpen {
		x.conn.linger()
	}
	return keepOpen
}

// checkUnclaimedUpload ends a request with a streamed body whose time is over before an attempt has claimed the body:
// the request waits in a queue, or for a connection to an endpoint.
func (x *exchange) checkUnclaimedUpload(call *core.Call, out *upstream.Request) {
	now := x.server.options.Clock.Now()
	out.Stream.ObserveArrival(now)
	if out.Stream.WithholdIfExpired(now, out) {
		x.server.options.Core.Expire(call)
	}
}

// awaitResponse waits for the core's response. ok is false if the request was abandoned because the client closed
// its connection, or sent bytes after the request that cannot be the start of another request.
func (x *exchange) awaitResponse(call *core.Call, watch *clientWatch) (response engine.Response, ok bool) {
	for {
		select {
		case response = <-call.Response:
			return response, true
		case <-watch.inputArrived:
			// A client may send its next request before the response (RFC 9112 section 9.3.2).
			if x.byClass && !canStartRequest(watch.pipelined) {
				x.abandonRequest(call, watch)
				x.conn.reject(newLocalResponse(http.StatusBadRequest, surplusBytesReason))
				return engine.Response{}, false
			}
		case <-watch.disconnected:
			x.abandonRequest(call, watch)
			if x.stream != nil && !x.stream.Withhold() {
				<-x.stream.Done() // the attempt may read from the client until it has ended
			}
			return engine.Response{}, false
		}
	}
}

// abandonRequest ends the request without a response from the core, because the client has closed its connection
// or is rejected. It records the exchange, cancels the request in the core and stops the watch.
func (x *exchange) abandonRequest(call *core.Call, watch *clientWatch) {
	x.server.finishExchange(x.record, call.Request.Class, nil, 0, 0)
	x.server.options.Core.ClientGone(call)
	watch.stop()
}

// attemptFunc returns the function with which the core makes an attempt of the request out.
func (s *Server) attemptFunc(out *upstream.Request) core.AttemptFunc {
	return func(ctx context.Context, attempt *core.AttemptContext) engine.AttemptResult {
		return s.options.SendAttempt(ctx, attempt, out)
	}
}

// tenantIndex returns a tenant's index in the settings, or math.MaxUint16 if the settings do not contain the tenant.
func (s *Server) tenantIndex(name string) uint16 {
	for i, tenant := range s.options.Site.Tenants {
		if tenant == name {
			return uint16(i)
		}
	}
	return math.MaxUint16
}
