package http1

import (
	"context"
	"math"
	"net/http"
	"time"

	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/upstream"
)

// exchange is one request of a client and its response.
type exchange struct {
	server     *Server
	conn       *conn
	request    *http.Request
	proxyName  string // this instance's name in Proxy-Status
	closeAfter bool   // the connection is closed after the response
	byClass    bool   // routed by class (PROTOCOL): only successful responses of endpoints are forwarded

	stream        *upstream.RequestStream // body of the request, once an attempt reads it; else nil
	responseEdits *HeaderEdits            // of an endpoint's response
	idleTimeout   time.Duration           // for which a client may read nothing of the response

	record     *ExchangeRecord // nil where nothing is recorded
	status     int             // of the response
	bodyLength int64           // of the response; -1 is not known
}

func (s *Server) newExchange(c *conn, req *http.Request, proxyName string) *exchange {
	closeAfter := req.Close || !req.ProtoAtLeast(1, 1)
	return &exchange{server: s, conn: c, request: req, proxyName: proxyName, closeAfter: closeAfter}
}

// forward forwards a request whose body is buffered or prepared for streaming; path is the normalized path of a routed
// one. It reports whether the connection may serve another request.
func (x *exchange) forward(parsed *parsedRequest, path string) bool {
	server := x.server
	rt := parsed.route
	call := parsed.call
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
	key := rt.IdempotencyKey.value(x.conn, x.request, path)
	object := rt.Object.value(x.conn, x.request, path)
	x.record = server.newExchangeRecord(x.conn, call, rt.Name, key, object, parsed.bodyLength())
	return x.submit(call, out)
}

// bodyLength returns the length of the request's body in bytes; -1 is not known.
func (r *parsedRequest) bodyLength() int64 {
	switch {
	case r.framing.Kind == http1msg.FixedLength:
		return r.framing.Length
	case r.outbound.Stream != nil:
		return -1
	}
	return int64(len(r.outbound.Body))
}

// submit submits the request to the core, waits for its response and writes it.
func (x *exchange) submit(call *core.Call, out *upstream.Request) bool {
	stream := out.Stream
	x.stream = stream
	watch := x.conn.newClientWatch(stream == nil)
	if watch.clientDisconnected() { // while the request waited to be read: it is not forwarded
		x.server.finishExchange(x.record, call.Request.Class, nil, 0, 0)
		return false
	}
	watch.start()
	x.server.options.Core.Submit(call)
	response, ok := x.awaitResponse(call, watch)
	if !ok {
		return false
	}
	watch.stop()
	// From here on no attempt may start to read from the client: one that has been canceled might be about to.
	attempted := stream != nil && !stream.Claim()
	if stream != nil && !attempted {
		x.stream = nil
		x.closeAfter = true // the unread rest of the body precedes any next request
	}
	keepOpen := x.respond(response)
	x.server.finishExchange(x.record, call.Request.Class, &response, x.status, x.bodyLength)
	if attempted {
		<-stream.Done() // the attempt reads from the client until it ends
		keepOpen = keepOpen && stream.Body.Done()
	}
	if stream != nil && !keepOpen {
		x.conn.linger()
	}
	return keepOpen
}

// awaitResponse waits for the core's response. ok is false if the request has been abandoned: the client has closed its
// connection, or has sent bytes behind the request that cannot start another one.
func (x *exchange) awaitResponse(call *core.Call, watch *clientWatch) (response engine.Response, ok bool) {
	for {
		select {
		case response = <-call.Response:
			return response, true
		case <-watch.inputArrived:
			// The client has sent the start of its next request, as it may (RFC 9112 section 9.3.2).
			if x.byClass && !canStartRequest(watch.pipelined) {
				x.abandonRequest(call, watch)
				x.conn.reject(newLocalResponse(http.StatusBadRequest, surplusBytesReason))
				return engine.Response{}, false
			}
		case <-watch.disconnected:
			x.abandonRequest(call, watch)
			if x.stream != nil && !x.stream.Claim() {
				<-x.stream.Done() // the attempt reads from the client until it ends
			}
			return engine.Response{}, false
		}
	}
}

// abandon ends the request without a response: the client has closed its connection, or is rejected.
func (x *exchange) abandonRequest(call *core.Call, watch *clientWatch) {
	x.server.finishExchange(x.record, call.Request.Class, nil, 0, 0)
	x.server.options.Core.ClientGone(call)
	watch.stop()
}

// attemptFunc returns the function that makes an attempt of a request.
func (s *Server) attemptFunc(out *upstream.Request) core.AttemptFunc {
	return func(ctx context.Context, attempt *core.AttemptContext) engine.AttemptResult {
		return s.options.SendAttempt(ctx, attempt, out)
	}
}

// tenantIndex returns a tenant's index in the settings, or math.MaxUint16 for one that is not there.
func (s *Server) tenantIndex(name string) uint16 {
	for i, tenant := range s.options.Site.Tenants {
		if tenant == name {
			return uint16(i)
		}
	}
	return math.MaxUint16
}
