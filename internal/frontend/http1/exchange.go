package http1

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/upstream"
)

// This file serves requests of any form that HTTP/1.1 has, by routes. What PROTOCOL describes, http1.go serves.

const (
	// holdTime is how long a body of unknown length is waited for to be held: one that comes in parts over a longer
	// time goes on as it comes.
	bodyBufferTimeout = 20 * time.Millisecond
	// copyBuffer is what is held of an answer that streams.
	copyBufferSize = 48 << 10
)

var copyBufferPool = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// routed serves a request by the routes, and says whether the connection may serve another.
func (s *Server) serveByRoute(c *conn, req *http.Request, routes *Routes) bool {
	x := &exchange{server: s, conn: c, request: req, proxyName: routes.ProxyName, closeAfter: req.Close || !req.ProtoAtLeast(1, 1)}
	host, path, query, err := routes.splitTarget(req)
	if req.RequestURI == "*" && req.Method == http.MethodOptions {
		return s.conns.markBusy(c) && x.writeLocal(newLocalResponse(http.StatusOK, "any"), "") // of the server as a whole: it forwards what it is asked
	}
	if req.Method == http.MethodConnect {
		err = &requestError{status: http.StatusNotImplemented, reason: "no tunnels are made here", proxyError: "http_request_denied"}
	}
	var rt *Route
	if err == nil {
		rt, err = routes.match(req, host, path)
	}
	var call *core.Call
	var out *upstream.Request
	if err == nil {
		call, out, err = s.newRoutedCall(c, req, rt, host, path, query)
	}
	var framing http1msg.Framing
	if err == nil {
		framing, err = http1msg.RequestFraming(req.Header)
	}
	if err == nil {
		err = x.bufferBody(rt, out, framing)
	}
	if err != nil {
		return x.reject(err)
	}
	return x.forward(rt, call, out, framing, path)
}

// hold takes in what is held of a request's body, if it may be.
func (x *exchange) bufferBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	switch {
	case framing.Kind == http1msg.FixedLength && rt.MaxBodyBytes > 0 && framing.Length > rt.MaxBodyBytes:
		return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
	case !x.server.conns.reserveBytes(x.conn, rt.reservedBytes(framing), false):
		return &requestError{status: http.StatusServiceUnavailable, retryAfter: byteLimitRetryAfter, proxyError: "connection_limit_reached",
			reason: "refused: too many bytes of this client's requests are held"}
	}
	if err := x.readBody(rt, out, framing); err != nil {
		return err
	}
	if pipelined, _ := x.conn.buffer.Peek(x.conn.buffer.Buffered()); x.byClass && out.Stream == nil && !mayStartRequest(pipelined) {
		return requestErrorf(http.StatusBadRequest, surplusBytes)
	}
	return nil
}

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

// held is how many bytes of a request's body are held at most.
func (rt *Route) reservedBytes(framing http1msg.Framing) int64 {
	switch {
	case framing.Kind == http1msg.NoBody:
		return 0
	case framing.Kind == http1msg.FixedLength && framing.Length <= rt.BufferBytes:
		return framing.Length
	case framing.Kind == http1msg.FixedLength:
		return 0
	}
	return rt.BufferBytes
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

// body reads what is held of the body, and prepares what is not to be passed on as it comes. A 100 (Continue) is sent
// as soon as the request has been routed and its client is within its bounds, and no endpoint is asked for it.
func (x *exchange) readBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	c := x.conn
	if expect := x.request.Header.Get("Expect"); strings.EqualFold(expect, "100-continue") {
		if framing.Kind != http1msg.NoBody && x.request.ProtoAtLeast(1, 1) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // that it failed shows when reading
		}
	} else if expect != "" {
		return requestErrorf(http.StatusExpectationFailed, "Expect makes no sense")
	}
	out.Sized = x.request.Header.Get("Content-Length") != ""
	if framing.Kind == http1msg.NoBody {
		return nil
	}
	c.readLimit.N = math.MaxInt64
	body := http1msg.NewBody(c.buffer, framing)
	length := int64(-1)
	if framing.Kind == http1msg.FixedLength {
		length = framing.Length
	}
	if length < 0 || length <= rt.BufferBytes {
		deadline := time.Now().Add(RequestTimeout)
		switch {
		case x.byClass: // an endpoint begins with the last byte: going on with a part gains nothing
			deadline = deadline.Add(time.Duration(rt.reservedBytes(framing)) * time.Second / minBodyBytesPerSecond)
		case length < 0:
			deadline = time.Now().Add(bodyBufferTimeout)
		}
		var err error
		c.SetReadDeadline(deadline)
		if out.Body, err = readUpTo(body, length, rt.BufferBytes); err == io.EOF {
			out.Trailer = body.Trailer()
			if rt.MaxBodyBytes > 0 && int64(len(out.Body)) > rt.MaxBodyBytes {
				return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
			}
			return nil
		}
		if err != nil && !(length < 0 && errors.Is(err, os.ErrDeadlineExceeded)) {
			return bodyReadError(err)
		}
	}
	maxBytes := int64(-1)
	if rt.MaxBodyBytes > 0 {
		if maxBytes = rt.MaxBodyBytes - int64(len(out.Body)); maxBytes < 0 {
			return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
		}
	}
	idleTimeout, deadline := rt.UnsafeRules.Idle, time.Now().Add(rt.StreamTimeout)
	out.Stream = upstream.NewStream(body, length, func() {
		readDeadline := time.Now().Add(idleTimeout)
		if deadline.Before(readDeadline) {
			readDeadline = deadline
		}
		c.SetReadDeadline(readDeadline)
	}, func() { c.SetReadDeadline(expiredDeadline) })
	out.Stream.Most = maxBytes
	return nil
}

// readUpTo reads a body of a length, -1 if that is not known, up to a bound. Its error is io.EOF at the body's end, and
// nil where the bound was reached before.
func readUpTo(body *http1msg.Body, length, maxBytes int64) ([]byte, error) {
	size := maxBytes
	if length >= 0 {
		size = length
	}
	buffer := make([]byte, 0, min(size, 4<<10))
	if length >= 0 {
		buffer = make([]byte, 0, length)
	}
	for {
		if len(buffer) == cap(buffer) {
			if int64(len(buffer)) >= maxBytes && length < 0 {
				return buffer, nil
			}
			grown := make([]byte, len(buffer), max(1, min(2*int64(cap(buffer)), maxBytes)))
			if length >= 0 {
				grown = make([]byte, len(buffer), len(buffer)+1)
			}
			copy(grown, buffer)
			buffer = grown
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil || body.Done() {
			if err == nil {
				err = io.EOF
			}
			return buffer, err
		}
	}
}

// bodyError returns the answer to a request whose body does not come as it should.
func bodyReadError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return requestErrorf(http.StatusRequestTimeout, "the body does not come")
	case errors.Is(err, http1msg.ErrMalformedChunk), errors.Is(err, http1msg.ErrMalformedTrailer):
		return requestErrorf(http.StatusBadRequest, "%v", err)
	case errors.Is(err, upstream.ErrBodyTooLong):
		return requestErrorf(http.StatusRequestEntityTooLarge, "the body is larger than it may be")
	}
	return requestErrorf(http.StatusBadRequest, "the body is not whole")
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

// answer gives the final answer, and says whether the connection may serve another request.
func (x *exchange) respond(response engine.Response) bool {
	if response.Verdict != engine.Served && x.stream != nil {
		<-x.stream.Over()
		if err := x.stream.Err(); err != nil { // it is the client's body that has failed
			x.closeAfter = true
			return x.writeLocal(rejectionResponse(bodyReadError(err)), "http_request_error")
		}
	}
	if response.Result != nil && response.Result.Response != nil && (response.Verdict == engine.Served || !x.byClass) {
		return x.forwardResponse(response.Result.Response.(*upstream.Whole))
	}
	switch response.Verdict {
	case engine.Rejected:
		return x.writeLocal(newLocalResponse(http.StatusServiceUnavailable, "refused: "+orDefault(response.Reason, "try again later")).setRetryAfter(clock.Duration(response.RetryAfter)),
			"destination_unavailable")
	case engine.RateLimited:
		return x.writeLocal(newLocalResponse(http.StatusTooManyRequests, "refused: "+response.Reason).setRetryAfter(clock.Duration(response.RetryAfter)), "http_request_denied")
	case engine.DuplicateID:
		return x.writeLocal(newLocalResponse(http.StatusConflict, "a request with this id is open"), "http_request_denied")
	case engine.TimedOut:
		return x.writeLocal(newLocalResponse(http.StatusGatewayTimeout, "no answer in time"), "http_response_timeout")
	}
	return x.writeLocal(newLocalResponse(http.StatusBadGateway, "failed"), "http_response_incomplete")
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// own gives an answer of this instance's. Proxy-Status (RFC 9209) tells it from an endpoint's, and why it is given.
func (x *exchange) writeLocal(response *localResponse, proxyError string) bool {
	x.status = response.status
	if proxyError != "" {
		response.header.Set("Proxy-Status", x.proxyName+"; error="+proxyError+"; details="+strconv.Quote(strings.TrimSpace(string(response.body))))
	}
	x.closeAfter = x.closeAfter || x.server.isLastResponse(x.conn)
	if x.request.Method == http.MethodHead {
		return x.conn.writeHeadOnly(response, x.closeAfter) && x.server.conns.finishRequest(x.conn) && !x.closeAfter
	}
	return x.conn.writeResponse(response, x.closeAfter) && x.server.conns.finishRequest(x.conn) && !x.closeAfter
}

// turnAway answers a request that is not taken.
func (x *exchange) reject(err error) bool {
	response := rejectionResponse(err)
	proxyError := "http_request_error"
	if reqErr := (*requestError)(nil); errors.As(err, &reqErr) && reqErr.proxyError != "" {
		proxyError = reqErr.proxyError
	}
	framing, frameErr := http1msg.RequestFraming(x.request.Header)
	if frameErr == nil && framing.Kind == http1msg.NoBody {
		return x.server.conns.markBusy(x.conn) && x.writeLocal(response, proxyError) // nothing is in the way of the next
	}
	response.header.Set("Proxy-Status", x.proxyName+"; error="+proxyError+"; details="+strconv.Quote(err.Error()))
	x.conn.reject(response)
	return false
}

// pass gives an endpoint's answer.
func (x *exchange) forwardResponse(response *upstream.Whole) bool {
	x.status, x.bodyLength = response.Code, int64(len(response.Held))
	if response.Rest != nil {
		x.bodyLength = -1
	}
	x.closeAfter = x.closeAfter || x.server.isLastResponse(x.conn)
	if response.Rest != nil {
		defer response.Rest.End()
	}
	complete := response.Rest == nil
	if complete {
		x.server.conns.reserveBytes(x.conn, int64(len(response.Held)), true)
	}
	connection := response.Header["Connection"]
	x.responseEdits.apply(response.Header)
	http10 := !x.request.ProtoAtLeast(1, 1)
	noBody := x.request.Method == http.MethodHead || response.Code == http.StatusNoContent || response.Code == http.StatusNotModified
	chunked := !noBody && !http10 && (len(response.Trailer) > 0 || !complete && response.Framing.Kind != http1msg.FixedLength)
	if !noBody && !chunked && !complete && response.Framing.Kind != http1msg.FixedLength {
		x.closeAfter = true // only the connection's end can tell where it ends
	}
	buf := make([]byte, 0, 1024+len(response.Held))
	for _, interim := range response.Interim {
		if !http10 {
			buf = appendResponseHead(buf, interim.Code, interim.Header, interim.Header["Connection"])
			buf = append(buf, "\r\n"...)
		}
	}
	buf = appendResponseHead(buf, response.Code, response.Header, connection)
	switch {
	case chunked:
		buf = append(buf, "Transfer-Encoding: chunked\r\n"...)
		if names := response.Header["Trailer"]; len(names) > 0 {
			buf = append(buf, "Trailer: "+strings.Join(names, ", ")+"\r\n"...)
		}
	case noBody:
		if n := response.Header["Content-Length"]; len(n) == 1 && response.Code != http.StatusNoContent {
			buf = append(buf, "Content-Length: "+n[0]+"\r\n"...) // of what a GET would get
		}
	case complete:
		buf = append(buf, "Content-Length: "+strconv.Itoa(len(response.Held))+"\r\n"...)
	case response.Framing.Kind == http1msg.FixedLength:
		buf = append(buf, "Content-Length: "+strconv.FormatInt(response.Framing.Length, 10)+"\r\n"...)
	}
	if x.closeAfter {
		buf = append(buf, "Connection: close\r\n"...)
	}
	buf = append(buf, "\r\n"...)
	if !noBody && len(response.Held) > 0 {
		if chunked {
			buf = http1msg.AppendChunkHeader(buf, len(response.Held))
			buf = append(append(buf, response.Held...), "\r\n"...)
		} else {
			buf = append(buf, response.Held...)
		}
	}
	if complete && chunked {
		buf = http1msg.AppendLastChunk(buf, response.Trailer)
	}
	x.conn.SetWriteDeadline(time.Now().Add(x.idleTimeout))
	if _, err := x.conn.Write(buf); err != nil {
		return false
	}
	if !complete {
		switch complete, failed := x.streamBody(response.Rest, chunked); {
		case failed:
			x.status = http.StatusBadGateway // in all but name: the client can tell that it is not whole
			fallthrough
		case !complete:
			x.conn.abort()
			return false
		}
	}
	return x.server.conns.finishRequest(x.conn) && !x.closeAfter
}

// copy passes on what follows of an answer as it comes, and says whether it is whole, and if not, whether that is the
// endpoint's doing. The client's pace is the endpoint's: what the one does not take, the other is not asked for.
func (x *exchange) streamBody(rest *upstream.Rest, chunked bool) (complete, failed bool) {
	buf := copyBufferPool.Get().(*[copyBufferSize]byte)
	defer copyBufferPool.Put(buf)
	const chunkHeaderSpace = 16 // for a chunk's head
	for {
		n, err := rest.Read(buf[chunkHeaderSpace : copyBufferSize-2])
		for err == nil && n < copyBufferSize-2-chunkHeaderSpace && rest.Buffered() > 0 { // what has come goes on in one piece
			var more int
			more, err = rest.Read(buf[chunkHeaderSpace+n : copyBufferSize-2])
			n += more
		}
		piece := buf[chunkHeaderSpace : chunkHeaderSpace+n]
		if n > 0 && chunked {
			head := http1msg.AppendChunkHeader(nil, n)
			copy(buf[chunkHeaderSpace-len(head):], head)
			piece = append(buf[chunkHeaderSpace-len(head):chunkHeaderSpace+n], '\r', '\n')
		}
		if err == io.EOF && chunked {
			piece = http1msg.AppendLastChunk(piece, rest.Trailer())
		}
		if len(piece) > 0 {
			x.conn.SetWriteDeadline(time.Now().Add(x.idleTimeout))
			if _, writeErr := x.conn.Write(piece); writeErr != nil {
				return false, false
			}
		}
		if err != nil {
			return err == io.EOF, err != io.EOF
		}
	}
}

// appendHead appends a status line and the end-to-end fields of an answer.
func appendResponseHead(b []byte, code int, h http.Header, connection []string) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(code), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(code)...)
	b = append(b, "\r\n"...)
	for k, values := range h {
		if http1msg.IsHopByHop(k, connection) {
			continue
		}
		for _, v := range values {
			b = append(b, k...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// reset ends the connection in a way that no client takes for an answer's end.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// writeHead writes an answer without its body, as HEAD asks for.
func (c *conn) writeHeadOnly(response *localResponse, closeAfter bool) bool {
	buf := appendResponseHead(nil, response.status, response.header, nil)
	buf = append(buf, "Content-Length: "+strconv.Itoa(len(response.body))+"\r\n"...)
	if closeAfter {
		buf = append(buf, "Connection: close\r\n"...)
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(append(buf, "\r\n"...))
	return err == nil
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
