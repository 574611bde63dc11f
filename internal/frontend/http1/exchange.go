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
func (f *Server) serveByRoute(c *conn, q *http.Request, routes *Routes) bool {
	w := &exchange{server: f, conn: c, request: q, proxyName: routes.ProxyName, closeAfter: q.Close || !q.ProtoAtLeast(1, 1)}
	host, path, query, err := routes.splitTarget(q)
	if q.RequestURI == "*" && q.Method == http.MethodOptions {
		return f.conns.markBusy(c) && w.writeLocal(newLocalResponse(http.StatusOK, "any"), "") // of the server as a whole: it forwards what it is asked
	}
	if q.Method == http.MethodConnect {
		err = &requestError{status: http.StatusNotImplemented, reason: "no tunnels are made here", proxyError: "http_request_denied"}
	}
	var rt *Route
	if err == nil {
		rt, err = routes.match(q, host, path)
	}
	var k *core.Call
	var out *upstream.Request
	if err == nil {
		k, out, err = f.newRoutedCall(c, q, rt, host, path, query)
	}
	var framing http1msg.Framing
	if err == nil {
		framing, err = http1msg.RequestFraming(q.Header)
	}
	if err == nil {
		err = w.bufferBody(rt, out, framing)
	}
	if err != nil {
		return w.reject(err)
	}
	return w.forward(rt, k, out, framing, path)
}

// hold takes in what is held of a request's body, if it may be.
func (w *exchange) bufferBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	switch {
	case framing.Kind == http1msg.FixedLength && rt.MaxBodyBytes > 0 && framing.Length > rt.MaxBodyBytes:
		return requestErrorf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.MaxBodyBytes)
	case !w.server.conns.reserveBytes(w.conn, rt.reservedBytes(framing), false):
		return &requestError{status: http.StatusServiceUnavailable, retryAfter: byteLimitRetryAfter, proxyError: "connection_limit_reached",
			reason: "refused: too many bytes of this client's requests are held"}
	}
	if err := w.readBody(rt, out, framing); err != nil {
		return err
	}
	if b, _ := w.conn.buffer.Peek(w.conn.buffer.Buffered()); w.byClass && out.Stream == nil && !mayStartRequest(b) {
		return requestErrorf(http.StatusBadRequest, surplusBytes)
	}
	return nil
}

// serve serves a request that is taken, and says whether the connection may serve another.
func (w *exchange) forward(rt *Route, k *core.Call, out *upstream.Request, framing http1msg.Framing, path string) bool {
	f, c, q := w.server, w.conn, w.request
	if !f.conns.markBusy(c) {
		return false
	}
	w.responseEdits, w.idleTimeout = &rt.ResponseEdits, rt.UnsafeRules.Idle
	k.Attempt = f.attemptFunc(out)
	k.ArrivedAt = f.options.Clock.Now()
	k.Request.Deadline += k.ArrivedAt
	if s := out.Stream; s != nil {
		k.NotReplayable, k.Request.Upload = s.Taken, true
		k.Request.Deadline = k.ArrivedAt + rt.StreamTimeout.Microseconds()
	}
	if by := f.responseDeadline.Load(); by > 0 {
		k.Request.Deadline = min(k.Request.Deadline, by)
	}
	requestBytes := int64(len(out.Body))
	if framing.Kind == http1msg.FixedLength {
		requestBytes = framing.Length
	} else if out.Stream != nil {
		requestBytes = -1
	}
	w.record = f.newExchangeRecord(c, k, rt.Name, rt.IdempotencyKey.value(c, q, path), rt.Object.value(c, q, path), requestBytes)
	return w.submit(k, out)
}

// held is how many bytes of a request's body are held at most.
func (rt *Route) reservedBytes(f http1msg.Framing) int64 {
	switch {
	case f.Kind == http1msg.NoBody:
		return 0
	case f.Kind == http1msg.FixedLength && f.Length <= rt.BufferBytes:
		return f.Length
	case f.Kind == http1msg.FixedLength:
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
func (w *exchange) readBody(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	c := w.conn
	if expect := w.request.Header.Get("Expect"); strings.EqualFold(expect, "100-continue") {
		if framing.Kind != http1msg.NoBody && w.request.ProtoAtLeast(1, 1) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // that it failed shows when reading
		}
	} else if expect != "" {
		return requestErrorf(http.StatusExpectationFailed, "Expect makes no sense")
	}
	out.Sized = w.request.Header.Get("Content-Length") != ""
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
		case w.byClass: // an endpoint begins with the last byte: going on with a part gains nothing
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
	idle, deadline := rt.UnsafeRules.Idle, time.Now().Add(rt.StreamTimeout)
	out.Stream = upstream.NewStream(body, length, func() {
		at := time.Now().Add(idle)
		if deadline.Before(at) {
			at = deadline
		}
		c.SetReadDeadline(at)
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
func (w *exchange) submit(k *core.Call, out *upstream.Request) bool {
	c, stream := w.conn, out.Stream
	w.stream = stream
	client := c.newClientWatch(stream == nil)
	if client.clientGone() { // while it waited to be read: nothing of it is to go anywhere
		w.server.finishExchange(w.record, k.Request.Class, nil, 0, 0)
		return false
	}
	client.start()
	w.server.options.Core.Submit(k)
	var a engine.Response
	for waiting := true; waiting; {
		select {
		case a = <-k.Response:
			waiting = false
		case <-client.inputArrived:
			// The client has sent the beginning of its next request, as it may (RFC 9112 section 9.3.2).
			if w.byClass && !mayStartRequest(client.pipelined) {
				w.abandon(k, client)
				c.reject(newLocalResponse(http.StatusBadRequest, surplusBytes))
				return false
			}
		case <-client.gone:
			w.abandon(k, client)
			if stream != nil && !stream.Take() {
				<-stream.Over() // the attempt reads the client until it ends
			}
			return false
		}
	}
	client.stop()
	// From here on no attempt may begin to read the client: one that was told to go may be about to.
	attempted := stream != nil && !stream.Take()
	if stream != nil && !attempted {
		w.stream, w.closeAfter = nil, true // the rest of the body is in the way
	}
	keep := w.respond(a)
	w.server.finishExchange(w.record, k.Request.Class, &a, w.status, w.bodyLength)
	if attempted {
		<-stream.Over() // the attempt reads the client until it ends
		keep = keep && stream.Body.Done()
	}
	if stream != nil && !keep {
		w.conn.linger()
	}
	return keep
}

// leave tells that the client has gone, or is to go.
func (w *exchange) abandon(k *core.Call, client *clientWatch) {
	w.server.finishExchange(w.record, k.Request.Class, nil, 0, 0)
	w.server.options.Core.ClientGone(k)
	client.stop()
}

// answer gives the final answer, and says whether the connection may serve another request.
func (w *exchange) respond(a engine.Response) bool {
	if a.Verdict != engine.Served && w.stream != nil {
		<-w.stream.Over()
		if err := w.stream.Err(); err != nil { // it is the client's body that has failed
			w.closeAfter = true
			return w.writeLocal(rejectionResponse(bodyReadError(err)), "http_request_error")
		}
	}
	if a.Result != nil && a.Result.Response != nil && (a.Verdict == engine.Served || !w.byClass) {
		return w.forwardResponse(a.Result.Response.(*upstream.Whole))
	}
	switch a.Verdict {
	case engine.Rejected:
		return w.writeLocal(newLocalResponse(http.StatusServiceUnavailable, "refused: "+orDefault(a.Reason, "try again later")).setRetryAfter(clock.Duration(a.RetryAfter)),
			"destination_unavailable")
	case engine.RateLimited:
		return w.writeLocal(newLocalResponse(http.StatusTooManyRequests, "refused: "+a.Reason).setRetryAfter(clock.Duration(a.RetryAfter)), "http_request_denied")
	case engine.DuplicateID:
		return w.writeLocal(newLocalResponse(http.StatusConflict, "a request with this id is open"), "http_request_denied")
	case engine.TimedOut:
		return w.writeLocal(newLocalResponse(http.StatusGatewayTimeout, "no answer in time"), "http_response_timeout")
	}
	return w.writeLocal(newLocalResponse(http.StatusBadGateway, "failed"), "http_response_incomplete")
}

func orDefault(s, fallback string) string {
	if s == "" {
		return fallback
	}
	return s
}

// own gives an answer of this instance's. Proxy-Status (RFC 9209) tells it from an endpoint's, and why it is given.
func (w *exchange) writeLocal(r *localResponse, proxyError string) bool {
	w.status = r.status
	if proxyError != "" {
		r.header.Set("Proxy-Status", w.proxyName+"; error="+proxyError+"; details="+strconv.Quote(strings.TrimSpace(string(r.body))))
	}
	w.closeAfter = w.closeAfter || w.server.isLastResponse(w.conn)
	if w.request.Method == http.MethodHead {
		return w.conn.writeHeadOnly(r, w.closeAfter) && w.server.conns.finishRequest(w.conn) && !w.closeAfter
	}
	return w.conn.writeResponse(r, w.closeAfter) && w.server.conns.finishRequest(w.conn) && !w.closeAfter
}

// turnAway answers a request that is not taken.
func (w *exchange) reject(err error) bool {
	r := rejectionResponse(err)
	proxyError := "http_request_error"
	if bad := (*requestError)(nil); errors.As(err, &bad) && bad.proxyError != "" {
		proxyError = bad.proxyError
	}
	framing, frameErr := http1msg.RequestFraming(w.request.Header)
	if frameErr == nil && framing.Kind == http1msg.NoBody {
		return w.server.conns.markBusy(w.conn) && w.writeLocal(r, proxyError) // nothing is in the way of the next
	}
	r.header.Set("Proxy-Status", w.proxyName+"; error="+proxyError+"; details="+strconv.Quote(err.Error()))
	w.conn.reject(r)
	return false
}

// pass gives an endpoint's answer.
func (w *exchange) forwardResponse(a *upstream.Whole) bool {
	w.status, w.bodyLength = a.Code, int64(len(a.Held))
	if a.Rest != nil {
		w.bodyLength = -1
	}
	w.closeAfter = w.closeAfter || w.server.isLastResponse(w.conn)
	if a.Rest != nil {
		defer a.Rest.End()
	}
	whole := a.Rest == nil
	if whole {
		w.server.conns.reserveBytes(w.conn, int64(len(a.Held)), true)
	}
	connection := a.Header["Connection"]
	w.responseEdits.apply(a.Header)
	old := !w.request.ProtoAtLeast(1, 1)
	noBody := w.request.Method == http.MethodHead || a.Code == http.StatusNoContent || a.Code == http.StatusNotModified
	chunked := !noBody && !old && (len(a.Trailer) > 0 || !whole && a.Framing.Kind != http1msg.FixedLength)
	if !noBody && !chunked && !whole && a.Framing.Kind != http1msg.FixedLength {
		w.closeAfter = true // only the connection's end can tell where it ends
	}
	b := make([]byte, 0, 1024+len(a.Held))
	for _, i := range a.Interim {
		if !old {
			b = appendResponseHead(b, i.Code, i.Header, i.Header["Connection"])
			b = append(b, "\r\n"...)
		}
	}
	b = appendResponseHead(b, a.Code, a.Header, connection)
	switch {
	case chunked:
		b = append(b, "Transfer-Encoding: chunked\r\n"...)
		if names := a.Header["Trailer"]; len(names) > 0 {
			b = append(b, "Trailer: "+strings.Join(names, ", ")+"\r\n"...)
		}
	case noBody:
		if n := a.Header["Content-Length"]; len(n) == 1 && a.Code != http.StatusNoContent {
			b = append(b, "Content-Length: "+n[0]+"\r\n"...) // of what a GET would get
		}
	case whole:
		b = append(b, "Content-Length: "+strconv.Itoa(len(a.Held))+"\r\n"...)
	case a.Framing.Kind == http1msg.FixedLength:
		b = append(b, "Content-Length: "+strconv.FormatInt(a.Framing.Length, 10)+"\r\n"...)
	}
	if w.closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if !noBody && len(a.Held) > 0 {
		if chunked {
			b = http1msg.AppendChunkHeader(b, len(a.Held))
			b = append(append(b, a.Held...), "\r\n"...)
		} else {
			b = append(b, a.Held...)
		}
	}
	if whole && chunked {
		b = http1msg.AppendLastChunk(b, a.Trailer)
	}
	w.conn.SetWriteDeadline(time.Now().Add(w.idleTimeout))
	if _, err := w.conn.Write(b); err != nil {
		return false
	}
	if !whole {
		switch whole, failed := w.streamBody(a.Rest, chunked); {
		case failed:
			w.status = http.StatusBadGateway // in all but name: the client can tell that it is not whole
			fallthrough
		case !whole:
			w.conn.abort()
			return false
		}
	}
	return w.server.conns.finishRequest(w.conn) && !w.closeAfter
}

// copy passes on what follows of an answer as it comes, and says whether it is whole, and if not, whether that is the
// endpoint's doing. The client's pace is the endpoint's: what the one does not take, the other is not asked for.
func (w *exchange) streamBody(rest *upstream.Rest, chunked bool) (complete, failed bool) {
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
			w.conn.SetWriteDeadline(time.Now().Add(w.idleTimeout))
			if _, writeErr := w.conn.Write(piece); writeErr != nil {
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
func (c *conn) writeHeadOnly(r *localResponse, closeAfter bool) bool {
	b := appendResponseHead(nil, r.status, r.header, nil)
	b = append(b, "Content-Length: "+strconv.Itoa(len(r.body))+"\r\n"...)
	if closeAfter {
		b = append(b, "Connection: close\r\n"...)
	}
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(append(b, "\r\n"...))
	return err == nil
}

// sending returns the way to make an attempt of a request.
func (f *Server) attemptFunc(out *upstream.Request) core.AttemptFunc {
	return func(ctx context.Context, t *core.AttemptContext) engine.AttemptResult {
		return f.options.SendAttempt(ctx, t, out)
	}
}

// tenantNamed returns a tenant's place in the settings, or one past all places.
func (f *Server) tenantIndex(name string) uint16 {
	for i, t := range f.options.Site.Tenants {
		if t == name {
			return uint16(i)
		}
	}
	return math.MaxUint16
}
