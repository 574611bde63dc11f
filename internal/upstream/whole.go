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
	Header            http.Header // end-to-end headers
	Body              []byte      // whole, or what is held of one that streams
	Trailer           http.Header // of a whole body that came in chunks
	Sized             bool        // a Content-Length is told even where there is no body
	Stream            *Stream     // the rest of the body; nil is none
	Rules             *Rules
	Wait              time.Duration // for an answer, once the last byte of a body that streams has gone; 0 is Rules.Wait
}

// wait is how long an answer is waited for after a body that streams.
func (q *Request) wait() time.Duration { return cmp.Or(q.Wait, q.Rules.Wait) }

// Rules say what an endpoint's answers mean, and what bounds them.
type Rules struct {
	Failure [600]bool // these statuses count as an error of the endpoint
	Full    [600]bool // and these, with Retry-After, as turned away unseen
	Own     bool      // a client is answered by us where an endpoint's answer is no success: its body is of no use
	Unsafe  bool      // what may have run must not be sent again: what would be turned away counts as an error

	Hold     int64         // an answer of so many bytes, which is whole soon, is held and goes on in one piece
	Patient  bool          // one of a length that is held is waited for however slow it comes
	Most     int64         // a larger answer is broken off; 0 is no bound
	Idle     time.Duration // an answer or a body that streams says something within this
	Whole    time.Duration // and is whole within this; 0 is no bound
	Deadline string        // a header in which the endpoint is told how many milliseconds are left; "" is none
	Wait     time.Duration // for an answer, once the last byte of a body that streams has gone
}

// holdTime is how long an answer is waited for to be held: one that comes in parts over a longer time goes on as it
// comes.
const holdTime = 20 * time.Millisecond

// answerHeadMost is the most bytes that the heads of an answer may have, those of 1xx ahead included.
const answerHeadMost = 64 << 10

// streamBuffer is what one direction of a stream holds.
const streamBuffer = 16 << 10

var streamBuffers = sync.Pool{New: func() any { return new([streamBuffer]byte) }}

// Stream is a request's body that is passed on as it comes. The first attempt that takes it has it for good: it cannot
// be shown again.
type Stream struct {
	Body   *http1msg.Body
	Length int64 // of the whole body, what is held included; -1 is not known
	Most   int64 // bytes that may follow what is held; -1 is no bound
	// Wait sets how long the next bytes are waited for. It is called before each read.
	Wait func()
	// Abort ends a read that waits for the client.
	Abort func()

	taken   atomic.Bool
	aborted atomic.Bool
	over    chan struct{} // closed once nothing reads Body any more, if it was taken
	err     error         // what ended it, but for the end of the body; set before over is closed
}

// NewStream returns a stream.
func NewStream(b *http1msg.Body, length int64, wait, abort func()) *Stream {
	return &Stream{Body: b, Length: length, Most: -1, Wait: wait, Abort: abort, over: make(chan struct{})}
}

// Taken says whether an attempt has the body.
func (s *Stream) Taken() bool { return s.taken.Load() }

// Take takes the body for good, unless it has been taken: for an attempt, or so that no attempt has it any more.
func (s *Stream) Take() bool { return s.taken.CompareAndSwap(false, true) }

// Over returns a channel that is closed once a body that was taken is not read any more.
func (s *Stream) Over() <-chan struct{} { return s.over }

// Err returns what ended the reading of the client, once it is over: nil is its end, or that nobody wants more of it.
func (s *Stream) Err() error { return s.err }

// Whole is an endpoint's answer, with the head whole. Its body is in Held, and goes on in Rest if that is not nil.
type Whole struct {
	Code    int
	Interim []Interim // answers 1xx that came ahead
	Header  http.Header
	Framing http1msg.Framing
	Held    []byte
	Trailer http.Header // of a body that is held
	Rest    *Rest
}

// Interim is an answer 1xx.
type Interim struct {
	Code   int
	Header http.Header
}

// Rest is what follows of an answer that streams. One goroutine reads it to its end, or ends it.
type Rest struct {
	conn  *Conn
	body  *http1msg.Body
	rules *Rules
	until time.Time // zero is no bound
	left  int64     // of the most bytes
	err   error
	over  chan error
	once  sync.Once
}

// ErrTooLong is of an answer that is larger than it may be, or takes longer.
var ErrTooLong = errors.New("the answer is larger, or takes longer, than it may")

// ErrBodyTooLong is of a request's body that is larger than it may be.
var ErrBodyTooLong = errors.New("the body is larger than it may be")

// Read reads what has come, waiting for some of it.
func (r *Rest) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	until := time.Now().Add(r.rules.Idle)
	if !r.until.IsZero() && r.until.Before(until) {
		until = r.until
	}
	r.conn.SetReadDeadline(until)
	n, err := r.body.Read(p)
	if r.left -= int64(n); err == nil && r.left < 0 {
		n, err = 0, ErrTooLong
	}
	if err != nil {
		r.err = err
	}
	return n, err
}

// Buffered returns how many bytes can be read without waiting.
func (r *Rest) Buffered() int { return r.body.Buffered() }

// Trailer returns the trailers, once Read has returned io.EOF.
func (r *Rest) Trailer() http.Header { return r.body.Trailer() }

// End says that nothing more is read: because the answer is whole, or because its client is gone.
func (r *Rest) End() {
	r.once.Do(func() { r.over <- r.err })
}

// SendWhole makes one attempt (core.Attempt, but for the request). The Answer of its reply is a *Whole.
func (p *Pool) SendWhole(ctx context.Context, t *core.AttemptContext, q *Request) engine.AttemptResult {
	c, left, status := p.ready(ctx, t)
	if c == nil {
		return p.ended(status)
	}
	if q.Stream != nil && !q.Stream.Take() {
		p.unused(c, t)
		return p.ended(balancer.NotSent)
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	e := &whole{pool: p, c: c, q: q, t: t}
	if q.Stream != nil && q.Wait > 0 {
		left = min(left, q.Wait.Milliseconds())
	}
	r, keep := e.run(ctx, q.bytes(left))
	r.SentAt = max(e.wrote.Load(), c.from)
	if q.Stream != nil {
		q.Stream.finish(e)
		keep = keep && q.Stream.Body.Done()
	}
	c.SetReadDeadline(time.Time{}) // of a part that was waited for
	p.release(c, t, stop() && keep && c.r.Buffered() == 0)
	return r
}

// whole is one attempt.
type whole struct {
	pool    *Pool
	c       *Conn
	q       *Request
	t       *core.AttemptContext
	writing chan struct{} // closed once the body that streams has been written, or not
	wrote   atomic.Int64  // when its last byte was; 0 is not yet

	mu       sync.Mutex
	answered bool // or never will be
}

// run writes the request and reads its answer, and says whether the connection may be used again.
func (e *whole) run(ctx context.Context, text []byte) (r engine.AttemptResult, keep bool) {
	p, c, q := e.pool, e.c, e.q
	c.limit.N = answerHeadMost
	c.SetDeadline(time.Time{})
	n, err := c.Write(text)
	switch {
	case err != nil && n < len(text):
		// Its last byte was not written, so it never ran, unless an endpoint begins with half a body.
		if q.Stream == nil {
			return p.ended(balancer.ConnectFailed), false
		}
		return p.ended(balancer.Reset), false
	case err != nil:
		return p.ended(balancer.Reset), false
	}
	if q.Stream == nil {
		p.relayed.Add(1)
	} else {
		e.writing = make(chan struct{})
		go func() {
			whole := e.write()
			close(e.writing) // first: what reads the answer must see whose fault its end is
			if !whole {
				c.Conn.Close() // the endpoint must not take what has come for the whole
			}
		}()
	}
	a, last, err := e.head()
	e.mu.Lock()
	e.answered = true
	e.mu.Unlock()
	r = p.ended(balancer.Reset)
	switch {
	case err != nil && q.Stream != nil && q.Stream.clientFailed(e.writing):
		r.Status = balancer.Cancelled // what the client sent ended, not the endpoint
		return r, false
	case isTimeout(err):
		r.Status = balancer.Timeout
		return r, false
	case err != nil:
		return r, false
	}
	c.limit.N = math.MaxInt64
	r.Status = q.Rules.status(a)
	r.Load = e.load(a)
	r.Response = a
	r.SentAt = e.wrote.Load()
	if q.Rules.Own && r.Status != balancer.OK {
		r.Response = nil
		whole, err := e.hold(a, http1msg.NewBody(c.r, a.Framing), false)
		return r, whole && err == nil && !last
	}
	began := r.ObservedAt
	body := http1msg.NewBody(c.r, a.Framing)
	whole, err := e.hold(a, body, q.Rules.Patient)
	if err != nil {
		return p.ended(balancer.Reset), false
	}
	if whole {
		r.ObservedAt = p.o.Clock.Now()
		a.Trailer = body.Trailer()
		c.SetReadDeadline(time.Time{})
		return r, !last
	}
	// What is not held is final, also where it tells of an error: nothing of it could be shown if another try failed too.
	rest := &Rest{conn: c, body: body, rules: q.Rules, left: math.MaxInt64, over: make(chan error, 1)}
	if q.Rules.Most > 0 {
		rest.left = q.Rules.Most - int64(len(a.Held))
	}
	if q.Rules.Whole > 0 {
		rest.until = time.Now().Add(q.Rules.Whole)
	}
	a.Rest = rest
	failed := r.Status
	r.Status, r.ObservedAt = balancer.OK, began
	if !e.t.ResponseStarted(r) {
		return p.ended(balancer.Cancelled), false
	}
	r.Response = nil // it is the client's already
	select {
	case err = <-rest.over:
	case <-ctx.Done(): // nobody has taken it: the client went at that moment
		return p.ended(balancer.Cancelled), false
	}
	switch {
	case body.Done():
		r.Status = failed
		return r, !last
	case err == nil:
		r.Status = balancer.Cancelled // the client went
	case err == ErrTooLong:
		r.Status = balancer.Error
	default:
		r.Status = balancer.Reset
	}
	return r, false
}

// write writes the body that streams, as it comes. It says no if the client has not sent all of it.
func (e *whole) write() bool {
	s, buf := e.q.Stream, streamBuffers.Get().(*[streamBuffer]byte)
	total := int64(0)
	defer streamBuffers.Put(buf)
	const room = 16 // for a chunk's head
	for {
		s.Wait()
		if s.aborted.Load() {
			return true
		}
		n, err := s.Body.Read(buf[room : streamBuffer-2])
		if total += int64(n); s.Most >= 0 && total > s.Most {
			n, err = 0, ErrBodyTooLong
		}
		if n > 0 {
			text := buf[room : room+n]
			if s.Length < 0 {
				head := http1msg.AppendChunkHeader(nil, n)
				copy(buf[room-len(head):], head)
				text = append(buf[room-len(head):room+n], '\r', '\n')
			}
			e.c.SetWriteDeadline(time.Now().Add(e.q.Rules.Idle))
			if _, failed := e.c.Write(text); failed != nil {
				return true // the endpoint may have answered, or what reads from it sees why not
			}
		}
		switch {
		case err == io.EOF:
			if s.Length < 0 {
				e.c.SetWriteDeadline(time.Now().Add(e.q.Rules.Idle))
				if _, failed := e.c.Write(http1msg.AppendLastChunk(nil, s.Body.Trailer())); failed != nil {
					return true
				}
			}
			e.pool.relayed.Add(1)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.c.SetWriteDeadline(time.Time{})
			e.wrote.Store(e.pool.o.Clock.Now())
			if wait := e.q.wait(); !e.answered && wait > 0 {
				e.c.SetReadDeadline(time.Now().Add(wait))
			}
			return true
		case err != nil:
			s.err = err
			return false
		}
	}
}

// finish waits until nothing reads the client any more.
func (s *Stream) finish(e *whole) {
	if e.writing != nil {
		select {
		case <-e.writing:
		default:
			s.aborted.Store(true)
			e.c.SetWriteDeadline(time.Unix(1, 0))
			s.Abort()
			<-e.writing
			s.err = nil // it was we who ended it
		}
	}
	close(s.over)
}

// clientFailed says whether it was the client's end that ended the body.
func (s *Stream) clientFailed(writing chan struct{}) bool {
	select {
	case <-writing:
		return s.err != nil
	default:
		return false
	}
}

// head reads answers up to the one that counts, and says whether the endpoint closes the connection behind it.
func (e *whole) head() (*Whole, bool, error) {
	a := &Whole{}
	for len(a.Interim) <= interimMost {
		if _, err := e.c.r.Peek(1); err != nil {
			return nil, false, err
		}
		g, err := e.c.head()
		if err != nil {
			return nil, false, err
		}
		if g.code == http.StatusSwitchingProtocols || !sound(g.Header) {
			return nil, false, errNoHTTP // nobody has asked for the one, and clients could see another head in the other
		}
		if g.code < 200 {
			if g.code != http.StatusContinue { // that is between this hop and the endpoint
				a.Interim = append(a.Interim, Interim{g.code, g.Header})
			}
			continue
		}
		a.Code, a.Header = g.code, g.Header
		a.Framing, err = http1msg.ResponseFraming(e.q.Method, g.code, g.Header)
		return a, g.last || a.Framing.Kind == http1msg.UntilClose, err
	}
	return nil, false, errTooLarge
}

// sound says whether all fields are what may stand in a head.
func sound(h http.Header) bool {
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
func (e *whole) hold(a *Whole, body *http1msg.Body, patient bool) (bool, error) {
	if body.Done() {
		return true, nil
	}
	rules := e.q.Rules
	if a.Framing.Kind == http1msg.FixedLength && a.Framing.Length > rules.Hold {
		return false, nil
	}
	size := int64(512)
	if a.Framing.Kind == http1msg.FixedLength {
		size = a.Framing.Length
	}
	a.Held = make([]byte, 0, min(size, rules.Hold)+1)
	until := time.Now().Add(holdTime)
	for int64(len(a.Held)) <= rules.Hold {
		if len(a.Held) == cap(a.Held) {
			grown := make([]byte, len(a.Held), min(2*int64(cap(a.Held)), rules.Hold+1))
			copy(grown, a.Held)
			a.Held = grown
		}
		if body.Buffered() == 0 {
			e.c.SetReadDeadline(until)
		}
		n, err := body.Read(a.Held[len(a.Held):cap(a.Held)])
		a.Held = a.Held[:len(a.Held)+n]
		switch {
		case err == io.EOF:
			return true, nil
		case isTimeout(err) && patient && a.Framing.Kind == http1msg.FixedLength && len(a.Held) > 0:
			e.t.ResponseProgress() // it is slow, but not silent
			until = time.Time{}
		case isTimeout(err) && patient && a.Framing.Kind == http1msg.FixedLength:
			// A head alone is not passed on: its client would be shown an answer that may never come, where another try may yet
			// serve it. The attempt's own time bounds this.
			until = time.Now().Add(holdTime)
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
func (e *whole) load(a *Whole) (load []float32) {
	const name = "Endpoint-Load-Metrics"
	if text := a.Header[name]; len(text) > 0 {
		if e.pool.o.OnAnswers {
			load = parseLoad(e.pool.o.Fields, text[0])
		}
		delete(a.Header, name)
	}
	return load
}

// status returns what an answer says of its endpoint.
func (r *Rules) status(a *Whole) balancer.Status {
	code := min(a.Code, len(r.Failure)-1)
	never := a.Header.Get("X-Never-Ran") == "1" && (code == http.StatusServiceUnavailable || code == http.StatusGatewayTimeout)
	switch {
	case never:
		return balancer.Rejected
	case r.Full[code] && a.Header.Get("Retry-After") != "":
		if r.Unsafe {
			return balancer.Error // that it did not run is a custom, no promise
		}
		return balancer.Rejected
	case r.Failure[code]:
		return balancer.Error
	}
	return balancer.OK
}

// bytes returns what goes out in the first piece.
func (q *Request) bytes(leftMs int64) []byte {
	m := Message{Method: q.Method, URI: q.URI, Host: q.Host, Header: q.Header, Body: q.Body}
	b := m.head(q.Rules.Deadline, leftMs)
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
		if len(q.Body) > 0 || q.Sized {
			b.WriteString("Content-Length: " + strconv.Itoa(len(q.Body)) + "\r\n")
		}
		b.WriteString("\r\n")
		b.Write(q.Body)
	}
	return b.Bytes()
}
