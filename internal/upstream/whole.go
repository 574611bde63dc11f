package upstream

import (
	"cmp"
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
)

// Request is a request of any form that HTTP/1.1 has, as it goes on to an endpoint. It may go out several times, but
// for a body that streams.
type Request struct {
	Method, URI, Host string
	Header            http.Header    // end-to-end headers
	Body              []byte         // whole, or what is held of one that streams
	Trailer           http.Header    // of a whole body that came in chunks
	ExplicitLength    bool           // a Content-Length is told even where there is no body
	Stream            *RequestStream // the rest of the body; nil is none
	Policy            *ResponsePolicy
	ResponseTimeout   time.Duration // for an answer, once the last byte of a body that streams has gone; 0 is Rules.Wait
}

// wait is how long an answer is waited for after a body that streams.
func (q *Request) responseTimeout() time.Duration {
	return cmp.Or(q.ResponseTimeout, q.Policy.ResponseTimeout)
}

// ResponsePolicy say what an endpoint's answers mean, and what bounds them.
type ResponsePolicy struct {
	FailureStatus  [600]bool // these statuses count as an error of the endpoint
	RejectedStatus [600]bool // and these, with Retry-After, as turned away unseen
	ReplaceErrors  bool      // a client is answered by us where an endpoint's answer is no success: its body is of no use
	NonIdempotent  bool      // what may have run must not be sent again: what would be turned away counts as an error

	MaxBuffered         int64         // an answer of so many bytes, which is whole soon, is held and goes on in one piece
	BufferSlowResponses bool          // one of a length that is held is waited for however slow it comes
	MaxBytes            int64         // a larger answer is broken off; 0 is no bound
	IdleTimeout         time.Duration // an answer or a body that streams says something within this
	BodyTimeout         time.Duration // and is whole within this; 0 is no bound
	DeadlineHeader      string        // a header in which the endpoint is told how many milliseconds are left; "" is none
	ResponseTimeout     time.Duration // for an answer, once the last byte of a body that streams has gone
}

// holdTime is how long an answer is waited for to be held: one that comes in parts over a longer time goes on as it
// comes.
const bufferWindow = 20 * time.Millisecond

// answerHeadMost is the most bytes that the heads of an answer may have, those of 1xx ahead included.
const maxResponseHeadBytes = 64 << 10

// streamBuffer is what one direction of a stream holds.
const streamBufferSize = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBufferSize]byte) }}

// RequestStream is a request's body that is passed on as it comes. The first attempt that takes it has it for good: it cannot
// be shown again.
type RequestStream struct {
	Body     *http1msg.Body
	Length   int64 // of the whole body, what is held included; -1 is not known
	MaxBytes int64 // bytes that may follow what is held; -1 is no bound
	// Wait sets how long the next bytes are waited for. It is called before each read.
	BeforeRead func()
	// Abort ends a read that waits for the client.
	Abort func()

	claimed atomic.Bool
	aborted atomic.Bool
	done    chan struct{} // closed once nothing reads Body any more, if it was taken
	err     error         // what ended it, but for the end of the body; set before over is closed
}

// NewRequestStream returns a stream.
func NewRequestStream(b *http1msg.Body, length int64, wait, abort func()) *RequestStream {
	return &RequestStream{Body: b, Length: length, MaxBytes: -1, BeforeRead: wait, Abort: abort, done: make(chan struct{})}
}

// Claimed says whether an attempt has the body.
func (s *RequestStream) Claimed() bool { return s.claimed.Load() }

// Claim takes the body for good, unless it has been taken: for an attempt, or so that no attempt has it any more.
func (s *RequestStream) Claim() bool { return s.claimed.CompareAndSwap(false, true) }

// Done returns a channel that is closed once a body that was taken is not read any more.
func (s *RequestStream) Done() <-chan struct{} { return s.done }

// Err returns what ended the reading of the client, once it is over: nil is its end, or that nobody wants more of it.
func (s *RequestStream) Err() error { return s.err }

// Response is an endpoint's answer, with the head whole. Its body is in Held, and goes on in Rest if that is not nil.
type Response struct {
	StatusCode int
	Interim    []InterimResponse // answers 1xx that came ahead
	Header     http.Header
	Framing    http1msg.Framing
	Buffered   []byte
	Trailer    http.Header // of a body that is held
	Stream     *ResponseStream
}

// InterimResponse is an answer 1xx.
type InterimResponse struct {
	StatusCode int
	Header     http.Header
}

// ResponseStream is what follows of an answer that streams. One goroutine reads it to its end, or ends it.
type ResponseStream struct {
	conn      *Conn
	body      *http1msg.Body
	policy    *ResponsePolicy
	deadline  time.Time // zero is no bound
	remaining int64     // of the most bytes
	err       error
	ended     chan error
	once      sync.Once
}

// ErrResponseTooLong is of an answer that is larger than it may be, or takes longer.
var ErrResponseTooLong = errors.New("the answer is larger, or takes longer, than it may")

// ErrRequestBodyTooLong is of a request's body that is larger than it may be.
var ErrRequestBodyTooLong = errors.New("the body is larger than it may be")

// Read reads what has come, waiting for some of it.
func (r *ResponseStream) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	until := time.Now().Add(r.policy.IdleTimeout)
	if !r.deadline.IsZero() && r.deadline.Before(until) {
		until = r.deadline
	}
	r.conn.SetReadDeadline(until)
	n, err := r.body.Read(p)
	if r.remaining -= int64(n); err == nil && r.remaining < 0 {
		n, err = 0, ErrResponseTooLong
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// Buffered returns how many bytes can be read without waiting.
func (r *ResponseStream) Buffered() int { return r.body.Buffered() }

// Trailer returns the trailers, once Read has returned io.EOF.
func (r *ResponseStream) Trailer() http.Header { return r.body.Trailer() }

// Finish says that nothing more is read: because the answer is whole, or because its client is gone.
func (r *ResponseStream) Finish() {
	r.once.Do(func() { r.ended <- r.err })
}

// Send makes one attempt (core.Attempt, but for the request). The Answer of its reply is a *Whole.
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

// whole is one attempt.
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

// write writes the body that streams, as it comes. It says no if the client has not sent all of it.
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

// finish waits until nothing reads the client any more.
func (s *RequestStream) finish(e *exchange) {
	if e.bodyWritten != nil {
		select {
		case <-e.bodyWritten:
		default:
			s.aborted.Store(true)
			e.conn.SetWriteDeadline(time.Unix(1, 0))
			s.Abort()
			<-e.bodyWritten
			s.err = nil // it was we who ended it
		}
	}
	close(s.done)
}

// clientFailed says whether it was the client's end that ended the body.
func (s *RequestStream) clientFailed(writing chan struct{}) bool {
	select {
	case <-writing:
		return s.err != nil
	default:
		return false
	}
}

// head reads answers up to the one that counts, and says whether the endpoint closes the connection behind it.
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

// sound says whether all fields are what may stand in a head.
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

// hold reads as much of an answer as is held, and says whether that is all. With patience one of a known length is waited
// for until the attempt's time is up.
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

// load returns the load report of an answer, and takes it out of it.
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

// status returns what an answer says of its endpoint.
func (r *ResponsePolicy) classify(a *Response) balancer.Status {
	code := min(a.StatusCode, len(r.FailureStatus)-1)
	never := a.Header.Get("X-Never-Ran") == "1" && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout)
	switch {
	case never:
		return balancer.Rejected
	case r.RejectedStatus[code] && a.Header.Get("Retry-After") != "":
		if r.NonIdempotent {
			return balancer.Error // that it did not run is a custom, no promise
		}
		return balancer.Rejected
	case r.FailureStatus[code]:
		return balancer.Error
	}
	return balancer.OK
}

// bytes returns what goes out in the first piece.
func (q *Request) encode(leftMs int64) []byte {
	m := BufferedRequest{Method: q.Method, URI: q.URI, Host: q.Host, Header: q.Header, Body: q.Body}
	b := m.encodeHead(q.Policy.DeadlineHeader, leftMs)
	s := q.Stream
	switch {
	case s != nil && s.Length >= 0:
		b.WriteString("Content-Length: " + strconv.FormatInt(s.Length, 10) + "\r\n\r\n")
		b.Write(q.Body)
	case s != nil || len(q.Trailer) > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		if len(q.Body) > 0 {
			b.Write(http1msg.AppendChunkHeader(nil, len(q.Body)))
			b.Write(q.Body)
			b.WriteString("\r\n")
		}
		if s == nil {
			b.Write(http1msg.AppendLastChunk(nil, q.Trailer))
		}
	default:
		if len(q.Body) > 0 || q.ExplicitLength {
			b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
		}
		b.WriteString("\r\n")
		b.Write(q.Body)
	}
	return b.Bytes()
}
