package upstream

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
)

// bufferWindow is how long a response may take to arrive and still be buffered: one that arrives over a longer time is
// streamed.
const bufferWindow = 20 * time.Millisecond

// maxResponseHeadBytes bounds the heads of one response, those of interim (1xx) responses included.
const maxResponseHeadBytes = 64 << 10

// Send makes one attempt (core.AttemptFunc, but for the request). The Response of its result is a *Response.
func (p *Pool) Send(ctx context.Context, t *core.AttemptContext, q *Request) engine.AttemptResult {
	c, left, status := p.acquire(ctx, t)
	if c == nil {
		return p.result(status)
	}
	if q.Stream != nil && !q.Stream.Claim() {
		p.releaseUnused(c, t)
		return p.result(balancer.NotSent)
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	e := &exchange{pool: p, conn: c, request: q, attempt: t}
	if q.Stream != nil && q.ResponseTimeout > 0 {
		left = min(left, q.ResponseTimeout.Milliseconds())
	}
	r, keep := e.run(ctx, q.encode(left))
	r.SentAt = max(e.sentAt.Load(), c.availableAt)
	if q.Stream != nil {
		q.Stream.finish(e)
		keep = keep && q.Stream.Body.Done()
	}
	c.SetReadDeadline(time.Time{}) // of a part that was waited for
	p.release(c, t, stop() && keep && c.reader.Buffered() == 0)
	return r
}

// exchange is one attempt: a request written to a connection, and the response read from it.
type exchange struct {
	pool        *Pool
	conn        *Conn
	request     *Request
	attempt     *core.AttemptContext
	bodyWritten chan struct{} // closed once the body that streams has been written, or not
	sentAt      atomic.Int64  // when its last byte was; 0 is not yet

	mu        sync.Mutex
	responded bool // or never will be
}

// run writes the request and reads its answer, and says whether the connection may be used again.
func (e *exchange) run(ctx context.Context, text []byte) (r engine.AttemptResult, keep bool) {
	p, c, q := e.pool, e.conn, e.request
	c.readLimit.N = maxResponseHeadBytes
	c.SetDeadline(time.Time{})
	n, err := c.Write(text)
	switch {
	case err != nil && n < len(text):
		// Its last byte was not written, so it never ran, unless an endpoint begins with half a body.
		if q.Stream == nil {
			return p.result(balancer.ConnectFailed), false
		}
		return p.result(balancer.Reset), false
	case err != nil:
		return p.result(balancer.Reset), false
	}
	if q.Stream == nil {
		p.forwarded.Add(1)
	} else {
		e.bodyWritten = make(chan struct{})
		go func() {
			whole := e.writeBody()
			close(e.bodyWritten) // first: what reads the answer must see whose fault its end is
			if !whole {
				c.Conn.Close() // the endpoint must not take what has come for the whole
			}
		}()
	}
	a, last, err := e.readHead()
	e.mu.Lock()
	e.responded = true
	e.mu.Unlock()
	r = p.result(balancer.Reset)
	switch {
	case err != nil && q.Stream != nil && q.Stream.clientFailed(e.bodyWritten):
		r.Status = balancer.Cancelled // what the client sent ended, not the endpoint
		return r, false
	case isTimeout(err):
		r.Status = balancer.Timeout
		return r, false
	case err != nil:
		return r, false
	}
	c.readLimit.N = math.MaxInt64
	r.Status = q.Policy.classify(a)
	r.Load = e.takeLoadReport(a)
	r.Response = a
	r.SentAt = e.sentAt.Load()
	if q.Policy.ReplaceErrors && r.Status != balancer.OK {
		r.Response = nil
		whole, err := e.bufferBody(a, http1msg.NewBody(c.reader, a.Framing), false)
		return r, whole && err == nil && !last
	}
	began := r.ObservedAt
	body := http1msg.NewBody(c.reader, a.Framing)
	whole, err := e.bufferBody(a, body, q.Policy.BufferSlowResponses)
	if err != nil {
		return p.result(balancer.Reset), false
	}
	if whole {
		r.ObservedAt = p.options.Clock.Now()
		a.Trailer = body.Trailer()
		c.SetReadDeadline(time.Time{})
		return r, !last
	}
	// What is not held is final, also where it tells of an error: nothing of it could be shown if another try failed too.
	rest := &ResponseStream{conn: c, body: body, policy: q.Policy, remaining: math.MaxInt64, ended: make(chan error, 1)}
	if q.Policy.MaxBytes > 0 {
		rest.remaining = q.Policy.MaxBytes - int64(len(a.Buffered))
	}
	if q.Policy.BodyTimeout > 0 {
		rest.deadline = time.Now().Add(q.Policy.BodyTimeout)
	}
	a.Stream = rest
	failed := r.Status
	r.Status, r.ObservedAt = balancer.OK, began
	if !e.attempt.ResponseStarted(r) {
		return p.result(balancer.Cancelled), false
	}
	r.Response = nil // it is the client's already
	select {
	case err = <-rest.ended:
	case <-ctx.Done(): // nobody has taken it: the client went at that moment
		return p.result(balancer.Cancelled), false
	}
	switch {
	case body.Done():
		r.Status = failed
		return r, !last
	case err == nil:
		r.Status = balancer.Cancelled // the client went
	case err == ErrResponseTooLong:
		r.Status = balancer.Error
	default:
		r.Status = balancer.Reset
	}
	return r, false
}

// writeBody forwards the streaming body as it arrives. It returns false if the client has not sent all of it.
func (e *exchange) writeBody() bool {
	s, buf := e.request.Stream, streamBuffers.Get().(*[streamBufferSize]byte)
	total := int64(0)
	defer streamBuffers.Put(buf)
	const room = 16 // for a chunk's head
	for {
		s.BeforeRead()
		if s.aborted.Load() {
			return true
		}
		n, err := s.Body.Read(buf[room : streamBufferSize-2])
		if total += int64(n); s.MaxBytes >= 0 && total > s.MaxBytes {
			n, err = 0, ErrRequestBodyTooLong
		}
		if n > 0 {
			text := buf[room : room+n]
			if s.Length < 0 {
				head := http1msg.AppendChunkHeader(nil, n)
				copy(buf[room-len(head):], head)
				text = append(buf[room-len(head):room+n], '\r', '\n')
			}
			e.conn.SetWriteDeadline(time.Now().Add(e.request.Policy.IdleTimeout))
			if _, failed := e.conn.Write(text); failed != nil {
				return true // the endpoint may have answered, or what reads from it sees why not
			}
		}
		switch {
		case err == io.EOF:
			if s.Length < 0 {
				e.conn.SetWriteDeadline(time.Now().Add(e.request.Policy.IdleTimeout))
				if _, failed := e.conn.Write(http1msg.AppendLastChunk(nil, s.Body.Trailer())); failed != nil {
					return true
				}
			}
			e.pool.forwarded.Add(1)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.conn.SetWriteDeadline(time.Time{})
			e.sentAt.Store(e.pool.options.Clock.Now())
			if wait := e.request.responseTimeout(); !e.responded && wait > 0 {
				e.conn.SetReadDeadline(time.Now().Add(wait))
			}
			return true
		case err != nil:
			s.err = err
			return false
		}
	}
}

// readHead reads up to the head of the final response, and reports whether the endpoint closes the connection after it.
func (e *exchange) readHead() (*Response, bool, error) {
	a := &Response{}
	for len(a.Interim) <= maxInterimResponses {
		if _, err := e.conn.reader.Peek(1); err != nil {
			return nil, false, err
		}
		g, err := e.conn.readHead()
		if err != nil {
			return nil, false, err
		}
		if g.statusCode == http.StatusSwitchingProtocols || !isValidHeader(g.Header) {
			return nil, false, errMalformedResponse // nobody has asked for the one, and clients could see another head in the other
		}
		if g.statusCode < 200 {
			if g.statusCode != http.StatusContinue { // that is between this hop and the endpoint
				a.Interim = append(a.Interim, InterimResponse{g.statusCode, g.Header})
			}
			continue
		}
		a.StatusCode, a.Header = g.statusCode, g.Header
		a.Framing, err = http1msg.ResponseFraming(e.request.Method, g.statusCode, g.Header)
		return a, g.closeAfter || a.Framing.Kind == http1msg.UntilClose, err
	}
	return nil, false, errResponseTooLarge
}

// isValidHeader reports whether all names and values are valid in a head (RFC 9110, section 5).
func isValidHeader(h http.Header) bool {
	for name, values := range h {
		if !http1msg.IsToken(name) {
			return false
		}
		for _, v := range values {
			if !http1msg.IsFieldValue(v) {
				return false
			}
		}
	}
	return true
}

// bufferBody reads as much of a response as is buffered, and reports whether that is all. With waitForAll, a response of
// known length is waited for until the time of the attempt ends.
func (e *exchange) bufferBody(a *Response, body *http1msg.Body, patient bool) (bool, error) {
	if body.Done() {
		return true, nil
	}
	rules := e.request.Policy
	if a.Framing.Kind == http1msg.FixedLength && a.Framing.Length > rules.MaxBuffered {
		return false, nil
	}
	size := int64(512)
	if a.Framing.Kind == http1msg.FixedLength {
		size = a.Framing.Length
	}
	a.Buffered = make([]byte, 0, min(size, rules.MaxBuffered)+1)
	until := time.Now().Add(bufferWindow)
	for int64(len(a.Buffered)) <= rules.MaxBuffered {
		if len(a.Buffered) == cap(a.Buffered) {
			grown := make([]byte, len(a.Buffered), min(2*int64(cap(a.Buffered)), rules.MaxBuffered+1))
			copy(grown, a.Buffered)
			a.Buffered = grown
		}
		if body.Buffered() == 0 {
			e.conn.SetReadDeadline(until)
		}
		n, err := body.Read(a.Buffered[len(a.Buffered):cap(a.Buffered)])
		a.Buffered = a.Buffered[:len(a.Buffered)+n]
		switch {
		case err == io.EOF:
			return true, nil
		case isTimeout(err) && patient && a.Framing.Kind == http1msg.FixedLength && len(a.Buffered) > 0:
			e.attempt.ResponseProgress() // it is slow, but not silent
			until = time.Time{}
		case isTimeout(err) && patient && a.Framing.Kind == http1msg.FixedLength:
			// A head alone is not passed on: its client would be shown an answer that may never come, where another try may yet
			// serve it. The attempt's own time bounds this.
			until = time.Now().Add(bufferWindow)
		case isTimeout(err):
			return false, nil
		case err != nil:
			return false, err
		}
	}
	return false, nil
}

func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }

// takeLoadReport returns the load report in a response, and removes it from the header.
func (e *exchange) takeLoadReport(a *Response) (load []float32) {
	const name = "Endpoint-Load-Metrics"
	if text := a.Header[name]; len(text) > 0 {
		if e.pool.options.LoadInResponses {
			load = parseLoad(e.pool.options.LoadFields, text[0])
		}
		delete(a.Header, name)
	}
	return load
}
