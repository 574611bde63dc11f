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
	holdTime = 20 * time.Millisecond
	// copyBuffer is what is held of an answer that streams.
	copyBuffer = 48 << 10
)

var copyBuffers = sync.Pool{New: func() any { return new([copyBuffer]byte) }}

// routed serves a request by the routes, and says whether the connection may serve another.
func (f *Front) routed(c *conn, q *http.Request, routes *Routes) bool {
	w := &answering{f: f, c: c, q: q, agent: routes.Agent, last: q.Close || !q.ProtoAtLeast(1, 1)}
	host, path, query, err := routes.target(q)
	if q.RequestURI == "*" && q.Method == http.MethodOptions {
		return f.conns.take(c) && w.own(newResponse(http.StatusOK, "any"), "") // of the server as a whole: it forwards what it is asked
	}
	if q.Method == http.MethodConnect {
		err = &badRequest{code: http.StatusNotImplemented, reason: "no tunnels are made here", status: "http_request_denied"}
	}
	var rt *Route
	if err == nil {
		rt, err = routes.find(q, host, path)
	}
	var k *core.Call
	var out *upstream.Request
	if err == nil {
		k, out, err = f.place(c, q, rt, host, path, query)
	}
	var framing http1msg.Framing
	if err == nil {
		framing, err = http1msg.RequestFraming(q.Header)
	}
	if err == nil {
		err = w.hold(rt, out, framing)
	}
	if err != nil {
		return w.turnAway(err)
	}
	return w.serve(rt, k, out, framing, path)
}

// hold takes in what is held of a request's body, if it may be.
func (w *answering) hold(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	switch {
	case framing.Kind == http1msg.FixedLength && rt.BodyMost > 0 && framing.Length > rt.BodyMost:
		return bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.BodyMost)
	case !w.f.conns.hold(w.c, rt.held(framing), false):
		return &badRequest{code: http.StatusServiceUnavailable, retryAfter: heldRetryAfter, status: "connection_limit_reached",
			reason: "refused: too many bytes of this client's requests are held"}
	}
	if err := w.body(rt, out, framing); err != nil {
		return err
	}
	if b, _ := w.c.r.Peek(w.c.r.Buffered()); w.plain && out.Stream == nil && !mayBegin(b) {
		return bad(http.StatusBadRequest, surplus)
	}
	return nil
}

// serve serves a request that is taken, and says whether the connection may serve another.
func (w *answering) serve(rt *Route, k *core.Call, out *upstream.Request, framing http1msg.Framing, path string) bool {
	f, c, q := w.f, w.c, w.q
	if !f.conns.take(c) {
		return false
	}
	w.edits, w.idle = &rt.Answer, rt.OtherRules.Idle
	k.Attempt = f.sending(out)
	k.ArrivedAt = f.o.Clock.Now()
	k.Request.Deadline += k.ArrivedAt
	if s := out.Stream; s != nil {
		k.NotReplayable, k.Request.Upload = s.Taken, true
		k.Request.Deadline = k.ArrivedAt + rt.Whole.Microseconds()
	}
	if by := f.endBy.Load(); by > 0 {
		k.Request.Deadline = min(k.Request.Deadline, by)
	}
	in := int64(len(out.Body))
	if framing.Kind == http1msg.FixedLength {
		in = framing.Length
	} else if out.Stream != nil {
		in = -1
	}
	w.noted = f.taken(c, k, rt.Name, rt.Key.of(c, q, path), rt.Object.of(c, q, path), in)
	return w.submit(k, out)
}

// held is how many bytes of a request's body are held at most.
func (rt *Route) held(f http1msg.Framing) int64 {
	switch {
	case f.Kind == http1msg.NoBody:
		return 0
	case f.Kind == http1msg.FixedLength && f.Length <= rt.BodyHold:
		return f.Length
	case f.Kind == http1msg.FixedLength:
		return 0
	}
	return rt.BodyHold
}

// answering is one request that is served.
type answering struct {
	f     *Front
	c     *conn
	q     *http.Request
	agent string
	last  bool // the connection is closed behind the answer
	plain bool // by PROTOCOL: what is not served is answered by us, whatever an endpoint said

	stream *upstream.Stream // of the request's body, which an attempt has taken; nil where it is held, or none has
	edits  *Edits           // of an endpoint's answer
	idle   time.Duration    // for which a client may take nothing of it

	noted  *Exchange // nil where nobody is told
	status int       // of the answer
	length int64     // of its body; -1 is not known
}

// body reads what is held of the body, and prepares what is not to be passed on as it comes. A 100 (Continue) is sent
// as soon as the request has been routed and its client is within its bounds, and no endpoint is asked for it.
func (w *answering) body(rt *Route, out *upstream.Request, framing http1msg.Framing) error {
	c := w.c
	if expect := w.q.Header.Get("Expect"); strings.EqualFold(expect, "100-continue") {
		if framing.Kind != http1msg.NoBody && w.q.ProtoAtLeast(1, 1) {
			_, _ = io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // that it failed shows when reading
		}
	} else if expect != "" {
		return bad(http.StatusExpectationFailed, "Expect makes no sense")
	}
	out.Sized = w.q.Header.Get("Content-Length") != ""
	if framing.Kind == http1msg.NoBody {
		return nil
	}
	c.limit.N = math.MaxInt64
	body := http1msg.NewBody(c.r, framing)
	length := int64(-1)
	if framing.Kind == http1msg.FixedLength {
		length = framing.Length
	}
	if length < 0 || length <= rt.BodyHold {
		until := time.Now().Add(RequestTime)
		switch {
		case w.plain: // an endpoint begins with the last byte: going on with a part gains nothing
			until = until.Add(time.Duration(rt.held(framing)) * time.Second / slowBody)
		case length < 0:
			until = time.Now().Add(holdTime)
		}
		var err error
		c.SetReadDeadline(until)
		if out.Body, err = readUpTo(body, length, rt.BodyHold); err == io.EOF {
			out.Trailer = body.Trailer()
			if rt.BodyMost > 0 && int64(len(out.Body)) > rt.BodyMost {
				return bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.BodyMost)
			}
			return nil
		}
		if err != nil && !(length < 0 && errors.Is(err, os.ErrDeadlineExceeded)) {
			return bodyError(err)
		}
	}
	most := int64(-1)
	if rt.BodyMost > 0 {
		if most = rt.BodyMost - int64(len(out.Body)); most < 0 {
			return bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", rt.BodyMost)
		}
	}
	idle, until := rt.OtherRules.Idle, time.Now().Add(rt.Whole)
	out.Stream = upstream.NewStream(body, length, func() {
		at := time.Now().Add(idle)
		if until.Before(at) {
			at = until
		}
		c.SetReadDeadline(at)
	}, func() { c.SetReadDeadline(past) })
	out.Stream.Most = most
	return nil
}

// readUpTo reads a body of a length, -1 if that is not known, up to a bound. Its error is io.EOF at the body's end, and
// nil where the bound was reached before.
func readUpTo(body *http1msg.Body, length, most int64) ([]byte, error) {
	size := most
	if length >= 0 {
		size = length
	}
	held := make([]byte, 0, min(size, 4<<10))
	if length >= 0 {
		held = make([]byte, 0, length)
	}
	for {
		if len(held) == cap(held) {
			if int64(len(held)) >= most && length < 0 {
				return held, nil
			}
			grown := make([]byte, len(held), max(1, min(2*int64(cap(held)), most)))
			if length >= 0 {
				grown = make([]byte, len(held), len(held)+1)
			}
			copy(grown, held)
			held = grown
		}
		n, err := body.Read(held[len(held):cap(held)])
		held = held[:len(held)+n]
		if err != nil || body.Done() {
			if err == nil {
				err = io.EOF
			}
			return held, err
		}
	}
}

// bodyError returns the answer to a request whose body does not come as it should.
func bodyError(err error) error {
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return bad(http.StatusRequestTimeout, "the body does not come")
	case errors.Is(err, http1msg.ErrMalformedChunk), errors.Is(err, http1msg.ErrMalformedTrailer):
		return bad(http.StatusBadRequest, "%v", err)
	case errors.Is(err, upstream.ErrBodyTooLong):
		return bad(http.StatusRequestEntityTooLarge, "the body is larger than it may be")
	}
	return bad(http.StatusBadRequest, "the body is not whole")
}

// submit hands the request in, waits for its answer and gives it.
func (w *answering) submit(k *core.Call, out *upstream.Request) bool {
	c, stream := w.c, out.Stream
	w.stream = stream
	client := c.newWatch(stream == nil)
	if client.left() { // while it waited to be read: nothing of it is to go anywhere
		w.f.over(w.noted, k.Request.Class, nil, 0, 0)
		return false
	}
	client.begin()
	w.f.o.Core.Submit(k)
	var a engine.Response
	for waiting := true; waiting; {
		select {
		case a = <-k.Response:
			waiting = false
		case <-client.more:
			// The client has sent the beginning of its next request, as it may (RFC 9112 section 9.3.2).
			if w.plain && !mayBegin(client.behind) {
				w.leave(k, client)
				c.turnAway(newResponse(http.StatusBadRequest, surplus))
				return false
			}
		case <-client.gone:
			w.leave(k, client)
			if stream != nil && !stream.Take() {
				<-stream.Over() // the attempt reads the client until it ends
			}
			return false
		}
	}
	client.end()
	// From here on no attempt may begin to read the client: one that was told to go may be about to.
	attempted := stream != nil && !stream.Take()
	if stream != nil && !attempted {
		w.stream, w.last = nil, true // the rest of the body is in the way
	}
	keep := w.answer(a)
	w.f.over(w.noted, k.Request.Class, &a, w.status, w.length)
	if attempted {
		<-stream.Over() // the attempt reads the client until it ends
		keep = keep && stream.Body.Done()
	}
	if stream != nil && !keep {
		w.c.linger()
	}
	return keep
}

// leave tells that the client has gone, or is to go.
func (w *answering) leave(k *core.Call, client *watch) {
	w.f.over(w.noted, k.Request.Class, nil, 0, 0)
	w.f.o.Core.ClientGone(k)
	client.end()
}

// answer gives the final answer, and says whether the connection may serve another request.
func (w *answering) answer(a engine.Response) bool {
	if a.Verdict != engine.Served && w.stream != nil {
		<-w.stream.Over()
		if err := w.stream.Err(); err != nil { // it is the client's body that has failed
			w.last = true
			return w.own(turnedAway(bodyError(err)), "http_request_error")
		}
	}
	if a.Result != nil && a.Result.Response != nil && (a.Verdict == engine.Served || !w.plain) {
		return w.pass(a.Result.Response.(*upstream.Whole))
	}
	switch a.Verdict {
	case engine.Rejected:
		return w.own(newResponse(http.StatusServiceUnavailable, "refused: "+or(a.Reason, "try again later")).retryAfter(clock.Duration(a.RetryAfter)),
			"destination_unavailable")
	case engine.RateLimited:
		return w.own(newResponse(http.StatusTooManyRequests, "refused: "+a.Reason).retryAfter(clock.Duration(a.RetryAfter)), "http_request_denied")
	case engine.DuplicateID:
		return w.own(newResponse(http.StatusConflict, "a request with this id is open"), "http_request_denied")
	case engine.TimedOut:
		return w.own(newResponse(http.StatusGatewayTimeout, "no answer in time"), "http_response_timeout")
	}
	return w.own(newResponse(http.StatusBadGateway, "failed"), "http_response_incomplete")
}

func or(s, other string) string {
	if s == "" {
		return other
	}
	return s
}

// own gives an answer of this instance's. Proxy-Status (RFC 9209) tells it from an endpoint's, and why it is given.
func (w *answering) own(r *response, status string) bool {
	w.status = r.code
	if status != "" {
		r.header.Set("Proxy-Status", w.agent+"; error="+status+"; details="+strconv.Quote(strings.TrimSpace(string(r.body))))
	}
	w.last = w.last || w.f.closes(w.c)
	if w.q.Method == http.MethodHead {
		return w.c.writeHead(r, w.last) && w.f.conns.rest(w.c) && !w.last
	}
	return w.c.write(r, w.last) && w.f.conns.rest(w.c) && !w.last
}

// turnAway answers a request that is not taken.
func (w *answering) turnAway(err error) bool {
	r := turnedAway(err)
	status := "http_request_error"
	if bad := (*badRequest)(nil); errors.As(err, &bad) && bad.status != "" {
		status = bad.status
	}
	framing, frameErr := http1msg.RequestFraming(w.q.Header)
	if frameErr == nil && framing.Kind == http1msg.NoBody {
		return w.f.conns.take(w.c) && w.own(r, status) // nothing is in the way of the next
	}
	r.header.Set("Proxy-Status", w.agent+"; error="+status+"; details="+strconv.Quote(err.Error()))
	w.c.turnAway(r)
	return false
}

// pass gives an endpoint's answer.
func (w *answering) pass(a *upstream.Whole) bool {
	w.status, w.length = a.Code, int64(len(a.Held))
	if a.Rest != nil {
		w.length = -1
	}
	w.last = w.last || w.f.closes(w.c)
	if a.Rest != nil {
		defer a.Rest.End()
	}
	whole := a.Rest == nil
	if whole {
		w.f.conns.hold(w.c, int64(len(a.Held)), true)
	}
	connection := a.Header["Connection"]
	w.edits.apply(a.Header)
	old := !w.q.ProtoAtLeast(1, 1)
	noBody := w.q.Method == http.MethodHead || a.Code == http.StatusNoContent || a.Code == http.StatusNotModified
	chunked := !noBody && !old && (len(a.Trailer) > 0 || !whole && a.Framing.Kind != http1msg.FixedLength)
	if !noBody && !chunked && !whole && a.Framing.Kind != http1msg.FixedLength {
		w.last = true // only the connection's end can tell where it ends
	}
	b := make([]byte, 0, 1024+len(a.Held))
	for _, i := range a.Interim {
		if !old {
			b = appendHead(b, i.Code, i.Header, i.Header["Connection"])
			b = append(b, "\r\n"...)
		}
	}
	b = appendHead(b, a.Code, a.Header, connection)
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
	if w.last {
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
	w.c.SetWriteDeadline(time.Now().Add(w.idle))
	if _, err := w.c.Write(b); err != nil {
		return false
	}
	if !whole {
		switch whole, failed := w.copy(a.Rest, chunked); {
		case failed:
			w.status = http.StatusBadGateway // in all but name: the client can tell that it is not whole
			fallthrough
		case !whole:
			w.c.reset()
			return false
		}
	}
	return w.f.conns.rest(w.c) && !w.last
}

// copy passes on what follows of an answer as it comes, and says whether it is whole, and if not, whether that is the
// endpoint's doing. The client's pace is the endpoint's: what the one does not take, the other is not asked for.
func (w *answering) copy(rest *upstream.Rest, chunked bool) (whole, failed bool) {
	buf := copyBuffers.Get().(*[copyBuffer]byte)
	defer copyBuffers.Put(buf)
	const room = 16 // for a chunk's head
	for {
		n, err := rest.Read(buf[room : copyBuffer-2])
		for err == nil && n < copyBuffer-2-room && rest.Buffered() > 0 { // what has come goes on in one piece
			var more int
			more, err = rest.Read(buf[room+n : copyBuffer-2])
			n += more
		}
		text := buf[room : room+n]
		if n > 0 && chunked {
			head := http1msg.AppendChunkHeader(nil, n)
			copy(buf[room-len(head):], head)
			text = append(buf[room-len(head):room+n], '\r', '\n')
		}
		if err == io.EOF && chunked {
			text = http1msg.AppendLastChunk(text, rest.Trailer())
		}
		if len(text) > 0 {
			w.c.SetWriteDeadline(time.Now().Add(w.idle))
			if _, left := w.c.Write(text); left != nil {
				return false, false
			}
		}
		if err != nil {
			return err == io.EOF, err != io.EOF
		}
	}
}

// appendHead appends a status line and the end-to-end fields of an answer.
func appendHead(b []byte, code int, h http.Header, connection []string) []byte {
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
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// writeHead writes an answer without its body, as HEAD asks for.
func (c *conn) writeHead(r *response, last bool) bool {
	b := appendHead(nil, r.code, r.header, nil)
	b = append(b, "Content-Length: "+strconv.Itoa(len(r.body))+"\r\n"...)
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	c.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.Write(append(b, "\r\n"...))
	return err == nil
}

// sending returns the way to make an attempt of a request.
func (f *Front) sending(out *upstream.Request) core.AttemptFunc {
	return func(ctx context.Context, t *core.AttemptContext) engine.AttemptResult {
		return f.o.SendWhole(ctx, t, out)
	}
}

// tenantNamed returns a tenant's place in the settings, or one past all places.
func (f *Front) tenantNamed(name string) uint16 {
	for i, t := range f.o.Site.Tenants {
		if t == name {
			return uint16(i)
		}
	}
	return math.MaxUint16
}
