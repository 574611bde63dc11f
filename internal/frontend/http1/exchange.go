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

// serve serves a request that is taken, and says whether the connection may serve another.
func (x *exchange) forward(rt *Route, call *core.Call, out *upstream.Request, framing http1msg.Framing, path string) bool {
	server, c, req := x.server, x.conn, x.request
	if !server.conns.markBusy(c) {
		return false
	}
	x.responseEdits, x.idleTimeout = &rt.ResponseEdits, rt.UnsafeRules.Idle
	call.Attempt = server.attemptFunc(out)
	call.ArrivedAt = server.options.Clock.Now()
	call.Request.Deadline += call.ArrivedAt
	if stream := out.Stream; stream != nil {
		call.NotReplayable, call.Request.Upload = stream.Taken, true
		call.Request.Deadline = call.ArrivedAt + rt.StreamTimeout.Microseconds()
	}
	if deadline := server.responseDeadline.Load(); deadline > 0 {
		call.Request.Deadline = min(call.Request.Deadline, deadline)
	}
	requestBytes := int64(len(out.Body))
	if framing.Kind == http1msg.FixedLength {
		requestBytes = framing.Length
	} else if out.Stream != nil {
		requestBytes = -1
	}
	x.record = server.newExchangeRecord(c, call, rt.Name, rt.IdempotencyKey.value(c, req, path), rt.Object.value(c, req, path), requestBytes)
	return x.submit(call, out)
}

// answering is one request that is served.
type exchange struct {
	server     *Server
	conn       *conn
	request    *http.Request
	proxyName  string
	closeAfter bool // the connection is closed behind the answer
	byClass    bool // by PROTOCOL: what is not served is answered by us, whatever an endpoint said

	stream        *upstream.Stream // of the request's body, which an attempt has taken; nil where it is held, or none has
	responseEdits *HeaderEdits     // of an endpoint's answer
	idleTimeout   time.Duration    // for which a client may take nothing of it

	record     *ExchangeRecord // nil where nobody is told
	status     int             // of the answer
	bodyLength int64           // of its body; -1 is not known
}

// submit hands the request in, waits for its answer and gives it.
func (x *exchange) submit(call *core.Call, out *upstream.Request) bool {
	c, stream := x.conn, out.Stream
	x.stream = stream
	watch := c.newClientWatch(stream == nil)
	if watch.clientGone() { // while it waited to be read: nothing of it is to go anywhere
		x.server.finishExchange(x.record, call.Request.Class, nil, 0, 0)
		return false
	}
	watch.start()
	x.server.options.Core.Submit(call)
	var response engine.Response
	for waiting := true; waiting; {
		select {
		case response = <-call.Response:
			waiting = false
		case <-watch.inputArrived:
			// The client has sent the beginning of its next request, as it may (RFC 9112 section 9.3.2).
			if x.byClass && !mayStartRequest(watch.pipelined) {
				x.abandon(call, watch)
				c.reject(newLocalResponse(http.StatusBadRequest, surplusBytes))
				return false
			}
		case <-watch.gone:
			x.abandon(call, watch)
			if stream != nil && !stream.Take() {
				<-stream.Over() // the attempt reads the client until it ends
			}
			return false
		}
	}
	watch.stop()
	// From here on no attempt may begin to read the client: one that was told to go may be about to.
	attempted := stream != nil && !stream.Take()
	if stream != nil && !attempted {
		x.stream, x.closeAfter = nil, true // the rest of the body is in the way
	}
	keep := x.respond(response)
	x.server.finishExchange(x.record, call.Request.Class, &response, x.status, x.bodyLength)
	if attempted {
		<-stream.Over() // the attempt reads the client until it ends
		keep = keep && stream.Body.Done()
	}
	if stream != nil && !keep {
		x.conn.linger()
	}
	return keep
}

// leave tells that the client has gone, or is to go.
func (x *exchange) abandon(call *core.Call, watch *clientWatch) {
	x.server.finishExchange(x.record, call.Request.Class, nil, 0, 0)
	x.server.options.Core.ClientGone(call)
	watch.stop()
}

// sending returns the way to make an attempt of a request.
func (s *Server) attemptFunc(out *upstream.Request) core.AttemptFunc {
	return func(ctx context.Context, attempt *core.AttemptContext) engine.AttemptResult {
		return s.options.SendAttempt(ctx, attempt, out)
	}
}

// tenantNamed returns a tenant's place in the settings, or one past all places.
func (s *Server) tenantIndex(name string) uint16 {
	for i, tenant := range s.options.Site.Tenants {
		if tenant == name {
			return uint16(i)
		}
	}
	return math.MaxUint16
}
