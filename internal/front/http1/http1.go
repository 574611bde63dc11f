// Package http1 is the HTTP/1.1 front: it takes clients' requests as PROTOCOL describes them, hands them to the
// core, and gives each its one final answer. It decides nothing of where a request goes; conns.go keeps the
// connections, whose number package decide/conns bounds.
package http1

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/conns"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/message"
	"dunlinsail/internal/site"
	"dunlinsail/internal/upstream"
)

// heldRetryAfter is advised to a client that has as many bytes held as it may: an answer or two take that long.
const heldRetryAfter = 100 * time.Millisecond

// HeaderMost is the most bytes that a request's head may have, and RequestTime how long a request may take to arrive
// whole, from its first byte or the connection's beginning.
const (
	HeaderMost  = 16 << 10
	RequestTime = 2 * time.Second
)

// Options are what a Front needs.
type Options struct {
	Clock  clock.Clock
	Site   *site.Site
	Core   *core.Core
	Limits conns.Limits // of the clients' connections
	Log    *slog.Logger

	// Send makes an attempt at an endpoint (upstream.Pool.Send).
	Send func(ctx context.Context, t *core.Try, m *upstream.Message) engine.Reply
	Pool *core.Pool // to which all requests go, without routes

	// SendWhole makes an attempt of a request that has been routed (upstream.Pool.SendWhole).
	SendWhole func(ctx context.Context, t *core.Try, q *upstream.Request) engine.Reply

	// Record is told of each request that was taken, once it is over, from many goroutines; it must not wait. nil is
	// nobody.
	Record func(x *Exchange)
}

// Front takes clients' requests and gives their answers.
type Front struct {
	o       Options
	conns   *connections
	closing atomic.Bool
	routes  atomic.Pointer[Routes] // nil is PROTOCOL
	counts  counts
}

// New returns a front, or the error of limits that make no sense.
func New(o Options) (*Front, error) {
	f := &Front{o: o, counts: newCounts(len(o.Site.Classes))}
	var err error
	f.conns, err = newConnections(o.Limits, o.Clock, f.talk, o.Log)
	return f, err
}

// NewClient returns a client of the front, or the error of a spec that makes no sense.
func (f *Front) NewClient(s Spec) (*Client, error) {
	share, err := engine.NewClient(s.Spec)
	if err != nil {
		return nil, err
	}
	c := &Client{Name: s.Name, share: share}
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	c.owner = f.conns.table.Owner(s.Weight, f.most(s), s.Bytes)
	return c, nil
}

// ChangeClient gives a client another spec; what it has open stays open.
func (f *Front) ChangeClient(c *Client, s Spec) error {
	if err := f.o.Core.ChangeClient(c.share, s.Spec); err != nil {
		return err
	}
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	f.conns.table.Change(c.owner, s.Weight, f.most(s), s.Bytes)
	return nil
}

func (f *Front) most(s Spec) int {
	if s.Connections > 0 {
		return s.Connections
	}
	return f.o.Limits.Total
}

// Held returns how many connections a client has, how many of them have an open request, and how many bytes are
// held for it.
func (f *Front) Held(c *Client) (all, busy int, bytes int64) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	all, busy = c.owner.Conns()
	return all, busy, c.owner.Held()
}

// Conns returns how many connections there are, and how many of them have an open request.
func (f *Front) Conns() (all, busy int) {
	f.conns.mu.Lock()
	defer f.conns.mu.Unlock()
	return f.conns.table.Len()
}

// Accept serves connections until ln is closed, or until a deadline that was set on it.
func (f *Front) Accept(ln net.Listener, identify Identify) error { return f.conns.accept(ln, identify) }

// Adopt serves a connection that another process has handed over.
func (f *Front) Adopt(nc net.Conn, identify Identify) { f.conns.add(nc, identify) }

// Release hands connections over as soon as they rest, from now on: to is called for each, from many goroutines,
// and says whether it has been taken; our own end of it is closed then. What is not taken goes on here. nil ends
// that.
func (f *Front) Release(to func(net.Conn) bool) { f.conns.release(to) }

// Quiesce has each answer from now on close its connection, and closes the connections without an open request.
// It may be called again, for those that have come meanwhile.
func (f *Front) Quiesce() {
	f.closing.Store(true)
	f.conns.hush()
}

// Wait waits until no connection is served, or ctx ends.
func (f *Front) Wait(ctx context.Context) error { return f.conns.wait(ctx) }

// Cut closes all connections, those with open requests too.
func (f *Front) Cut() {
	f.closing.Store(true)
	f.conns.cut()
}

// talk serves a connection, one request at a time.
func (f *Front) talk(c *conn) {
	until := time.Now().Add(RequestTime)
	for f.conns.park(c, until) && f.exchange(c, until) {
		until = time.Time{}
	}
}

// exchange takes one request, which must be whole by then or, if that is zero, soon after its first byte, and
// gives its answer. It says whether the connection may serve another.
func (f *Front) exchange(c *conn, until time.Time) bool {
	c.limit.N = HeaderMost
	if until.IsZero() {
		until = time.Now().Add(RequestTime)
	}
	c.SetReadDeadline(until)
	routes := f.routes.Load()
	var also map[string]bool
	if routes != nil {
		also = routes.Decisive
	}
	r, err := c.request(also)
	if err != nil {
		if a := f.unreadable(c, err); a != nil {
			c.turnAway(a)
		}
		return false
	}
	if r.URL.Path == "/-/ready" && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		a := newResponse(http.StatusOK, "ready")
		if f.closing.Load() || !f.o.Core.Ready() {
			a = newResponse(http.StatusServiceUnavailable, "not ready")
		}
		last := r.Close || f.closing.Load()
		return f.conns.take(c) && c.write(a, last) && f.conns.rest(c) && !last
	}
	if routes != nil {
		return f.routed(c, r, routes)
	}
	k, err := f.parse(c, r)
	if err != nil {
		c.turnAway(turnedAway(err))
		return false
	}
	if !f.conns.take(c) {
		return false
	}
	x := f.taken(c, r, k, "", r.Header.Get("Idempotency-Key"), r.Header.Get("X-Object"), r.ContentLength)
	gone := c.watch()
	f.o.Core.Submit(k)
	select {
	case a := <-k.Answer:
		c.SetReadDeadline(past)
		if err := <-gone; err == nil {
			f.over(x, k.In.Class, &a, http.StatusBadRequest, 0)
			c.turnAway(newResponse(http.StatusBadRequest, surplus))
			return false
		}
		code, out := verdictCode(&a)
		defer f.over(x, k.In.Class, &a, code, out)
		return f.answer(c, a, r.Close)
	case err := <-gone:
		f.over(x, k.In.Class, nil, 0, 0)
		f.o.Core.Leave(k)
		if err == nil {
			c.turnAway(newResponse(http.StatusBadRequest, surplus))
		}
		return false
	}
}

const surplus = "more was sent than the request's length tells"

// unreadable returns the answer to what is no request, nil if the client has sent nothing or has gone.
func (f *Front) unreadable(c *conn, err error) *response {
	var timeout net.Error
	code := http.StatusBadRequest
	switch {
	case errors.As(err, new(*message.Error)):
		return turnedAway(err)
	case errors.As(err, &timeout) && timeout.Timeout():
		if c.limit.N == HeaderMost {
			return nil
		}
		code = http.StatusRequestTimeout
	case c.limit.N <= 0:
		code = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return nil
	}
	return newResponse(code, http.StatusText(code))
}

// turnedAway returns the answer to a request that is not taken.
func turnedAway(err error) *response {
	a := newResponse(http.StatusBadRequest, err.Error())
	if bad := (*badRequest)(nil); errors.As(err, &bad) {
		a.code = bad.code
		a.retryAfter(bad.retryAfter)
	}
	if bad := (*message.Error)(nil); errors.As(err, &bad) {
		a.code = bad.Code
	}
	return a
}

// verdictCode is the status of a final answer as PROTOCOL has it, and the length of its body where an endpoint gave it.
func verdictCode(a *engine.Answer) (code int, length int64) {
	switch a.Verdict {
	case engine.Served:
		return http.StatusOK, int64(len(a.Reply.Answer.(*upstream.Answer).Body))
	case engine.Refused:
		return http.StatusServiceUnavailable, 0
	case engine.Limited:
		return http.StatusTooManyRequests, 0
	case engine.IDOpen:
		return http.StatusConflict, 0
	case engine.FailedLate:
		return http.StatusGatewayTimeout, 0
	}
	return http.StatusBadGateway, 0
}

// answer gives the final answer, and says whether the connection may serve another request.
func (f *Front) answer(c *conn, a engine.Answer, last bool) bool {
	var r *response
	code, _ := verdictCode(&a)
	switch a.Verdict {
	case engine.Served:
		from := a.Reply.Answer.(*upstream.Answer)
		r = &response{code: code, header: http.Header{}, body: from.Body}
		for k, v := range from.Header {
			if !hopByHop(k, from.Header) && k != "Endpoint-Load-Metrics" {
				r.header[k] = v
			}
		}
		f.conns.hold(c, int64(len(r.body)), true)
	case engine.Refused, engine.Limited:
		r = newResponse(code, "refused: "+cmp.Or(a.Reason, "try again later")).retryAfter(clock.Duration(a.RetryAfter))
	case engine.IDOpen:
		r = newResponse(code, "a request with this X-Trace-Id is open")
	case engine.FailedLate:
		r = newResponse(code, "no answer in time")
	default:
		r = newResponse(code, "failed")
	}
	last = last || f.closing.Load() || a.Verdict == engine.IDOpen
	return c.write(r, last) && f.conns.rest(c) && !last
}

// badRequest says why a request is not taken.
type badRequest struct {
	code       int
	reason     string
	retryAfter time.Duration
	status     string // the type of error in Proxy-Status; "" is http_request_error
}

func (e *badRequest) Error() string { return e.reason }

func bad(code int, format string, args ...any) error {
	return &badRequest{code: code, reason: fmt.Sprintf(format, args...)}
}

// parse reads the rest of a request and says what is wrong with it.
func (f *Front) parse(conn *conn, r *http.Request) (*core.Call, error) {
	switch {
	case !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1:
		return nil, bad(http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here")
	case len(r.TransferEncoding) > 0:
		// A reader that goes by the one header may find a request in what is a body by the other.
		return nil, bad(http.StatusLengthRequired, "a Content-Length only")
	case r.ContentLength > site.BodyMost:
		return nil, bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", site.BodyMost)
	case !strings.HasPrefix(r.RequestURI, "/"):
		return nil, bad(http.StatusBadRequest, "the target must be a path")
	case !visible(r.Host):
		return nil, bad(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		if v := r.Header[name]; len(v) > 0 && !visible(v[0]) { // that it stands once, message.CheckHead has seen
			return nil, bad(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Qos")
	if name == "" {
		name = first
	}
	class := slices.Index(f.o.Site.Classes, name)
	if class < 0 {
		return nil, bad(http.StatusNotFound, "unknown class %q", name)
	}
	if name != first {
		return nil, bad(http.StatusBadRequest, "X-Qos %q is not the first part of the path", name)
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		return nil, bad(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &f.o.Site.Settings.Classes[class]
	method := http.MethodPost
	if settings.Repeat == balancer.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		return nil, bad(http.StatusMethodNotAllowed, "class %q takes %s", name, method)
	}
	if method == http.MethodGet && r.ContentLength != 0 {
		return nil, bad(http.StatusBadRequest, "class %q takes no body", name)
	}
	if settings.Repeat == balancer.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, bad(http.StatusBadRequest, "Idempotency-Key is missing") // a repeat would not be known as one
	}
	left := settings.GiveUp
	if text := r.Header.Get("X-Expires-In-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, bad(http.StatusBadRequest, "X-Expires-In-Ms is not a whole number of milliseconds")
		}
		left = min(left, int64(min(ms, math.MaxInt32))*1000)
	}
	c := &core.Call{Client: conn.client.share, Pool: f.o.Pool, ID: id, Answer: make(chan engine.Answer, 1), In: balancer.Request{Class: uint8(class),
		Tenant: f.tenant(r), Key: key(r.Header.Get("X-Object")), Retry: r.Header.Get("X-Second-Try") == "1"}}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		c.In.Hint, c.In.HasHint = hint, true
	}
	if !f.conns.hold(conn, r.ContentLength, false) {
		return nil, &badRequest{code: http.StatusServiceUnavailable, retryAfter: heldRetryAfter,
			reason: "refused: too many bytes of this client's requests are held"}
	}
	body, err := conn.body(r)
	if err != nil {
		return nil, err
	}
	c.Arrived = f.o.Clock.Now()
	c.In.Deadline = c.Arrived + left - site.AnswerMargin.Microseconds()
	out := &upstream.Message{Method: r.Method, URI: r.RequestURI, Host: r.Host, Header: http.Header{}, Body: body}
	for k, v := range r.Header {
		if !hopByHop(k, r.Header) && k != "X-Expires-In-Ms" {
			out.Header[k] = v
		}
	}
	c.Attempt = func(ctx context.Context, t *core.Try) engine.Reply { return f.o.Send(ctx, t, out) }
	return c, nil
}

// body reads the body. What follows it before the answer is no request: clients send one at a time, so the
// length is wrong, and who sent it must not be served with what an endpoint makes of a part.
func (c *conn) body(r *http.Request) ([]byte, error) {
	c.limit.N = max(0, r.ContentLength-int64(c.r.Buffered())) + 1
	if expect := r.Header.Get("Expect"); strings.EqualFold(expect, "100-continue") && r.ContentLength > 0 {
		io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // that it failed shows when reading
	} else if expect != "" {
		return nil, bad(http.StatusExpectationFailed, "Expect makes no sense")
	}
	var body []byte
	if r.ContentLength > 0 {
		body = make([]byte, r.ContentLength)
		if _, err := io.ReadFull(r.Body, body); err != nil {
			return nil, bad(http.StatusBadRequest, "the body is not whole")
		}
	}
	if c.r.Buffered() > 0 {
		return nil, bad(http.StatusBadRequest, surplus)
	}
	return body, nil
}

// visible says whether a header's value is plain text of some length.
func visible(v string) bool {
	return v != "" && !strings.ContainsFunc(v, func(c rune) bool { return c <= ' ' || c > '~' })
}

// tenant returns the tenant's place in the settings, or one past all places.
func (f *Front) tenant(r *http.Request) uint16 {
	if i := slices.Index(f.o.Site.Tenants, r.Header.Get("X-Customer")); i >= 0 {
		return uint16(i)
	}
	return math.MaxUint16
}

// key turns what a request is about into a number; 0 is none.
func key(object string) uint64 {
	if object == "" {
		return 0
	}
	if v, err := strconv.ParseUint(object, 16, 64); err == nil {
		return v
	}
	h := fnv.New64a()
	io.WriteString(h, object)
	return h.Sum64()
}

// hopByHop says whether a header concerns one connection only.
func hopByHop(name string, h http.Header) bool {
	switch name {
	case "Expect", "Host", "X-Never-Ran":
		return true
	}
	return message.HopByHop(name, h["Connection"])
}
