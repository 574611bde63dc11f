package sidecar

import (
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

	"cottonpond/balancer"
)

// answerMargin is kept from the client's time, so that the final answer reaches it before that is up.
const answerMargin = 5 * time.Millisecond

const (
	headerMost  = 16 << 10
	requestTime = 2 * time.Second // for a whole request, from its first byte or the connection's beginning
)

// server takes clients' requests and gives their answers.
type server struct {
	loop    *loop
	config  *Config
	clients *clients
	closing atomic.Bool
}

func newServer(c *Config, l *loop, log *slog.Logger) (*server, error) {
	s := &server{loop: l, config: c}
	var err error
	s.clients, err = newClients(c.clientLimits(), l.clock, s.talk, log)
	return s, err
}

// talk serves a connection, one request at a time.
func (s *server) talk(c *client) {
	until := time.Now().Add(requestTime)
	for s.exchange(c, until) {
		until = time.Time{}
	}
}

// exchange takes one request, which must be whole by then or, if that is zero, soon after its first byte, and
// gives its answer. It says whether the connection may serve another.
func (s *server) exchange(c *client, until time.Time) bool {
	c.limit.N = headerMost
	if until.IsZero() {
		c.SetReadDeadline(time.Time{}) // until it is closed for having rested too long
		if _, err := c.r.Peek(1); err != nil {
			return false
		}
		until = time.Now().Add(requestTime)
	}
	c.SetReadDeadline(until)
	r, err := http.ReadRequest(c.r)
	at := s.loop.clock.now()
	if err != nil {
		if code := s.unreadable(c, err); code != 0 {
			c.turnAway(code, http.StatusText(code))
		}
		return false
	}
	if r.URL.Path == "/-/ready" && r.ContentLength == 0 && len(r.TransferEncoding) == 0 {
		a := newResponse(http.StatusOK, "ready")
		if s.closing.Load() || !s.loop.ready.Load() {
			a = newResponse(http.StatusServiceUnavailable, "not ready")
		}
		last := r.Close || s.closing.Load()
		return s.clients.take(c) && c.write(a, last) && s.clients.rest(c) && !last
	}
	k, err := s.parse(c, r, at)
	if err != nil {
		code := http.StatusBadRequest
		if bad := (*badRequest)(nil); errors.As(err, &bad) {
			code = bad.code
		}
		c.turnAway(code, err.Error())
		return false
	}
	if !s.clients.take(c) {
		return false
	}
	gone := c.watch()
	s.loop.arrived(k)
	select {
	case a := <-k.answer:
		c.SetReadDeadline(past)
		if err := <-gone; err == nil {
			c.turnAway(http.StatusBadRequest, surplus)
			return false
		}
		return s.answer(c, a, r.Close)
	case err := <-gone:
		s.loop.left(k)
		if err == nil {
			c.turnAway(http.StatusBadRequest, surplus)
		}
		return false
	}
}

const surplus = "more was sent than the request's length tells"

// unreadable returns the code for what is no request, 0 if the client has sent nothing or has gone.
func (s *server) unreadable(c *client, err error) int {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		if c.limit.N == headerMost {
			return 0
		}
		return http.StatusRequestTimeout
	case c.limit.N <= 0:
		return http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, io.EOF), errors.Is(err, net.ErrClosed), errors.Is(err, syscall.ECONNRESET):
		return 0
	}
	return http.StatusBadRequest
}

// answer gives the final answer, and says whether the connection may serve another request.
func (s *server) answer(c *client, a answer, last bool) bool {
	var r *response
	switch a.verdict {
	case served:
		r = &response{code: http.StatusOK, header: http.Header{}, body: a.reply.body}
		for k, v := range a.reply.header {
			if !hopByHop(k, a.reply.header) && k != "Endpoint-Load-Metrics" {
				r.header[k] = v
			}
		}
	case refused:
		r = newResponse(http.StatusServiceUnavailable, "refused: try again later")
		if a.retryAfter > 0 {
			r.header.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
	case idOpen:
		r = newResponse(http.StatusConflict, "a request with this X-Trace-Id is open")
	case failedLate:
		r = newResponse(http.StatusGatewayTimeout, "no answer in time")
	default:
		r = newResponse(http.StatusBadGateway, "failed")
	}
	last = last || s.closing.Load() || a.verdict == idOpen
	return c.write(r, last) && s.clients.rest(c) && !last
}

// badRequest says why a request is not taken.
type badRequest struct {
	code   int
	reason string
}

func (e *badRequest) Error() string { return e.reason }

func bad(code int, format string, args ...any) error {
	return &badRequest{code, fmt.Sprintf(format, args...)}
}

// parse reads the rest of a request and says what is wrong with it.
func (s *server) parse(conn *client, r *http.Request, at balancer.Micros) (*call, error) {
	switch {
	case !r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1:
		return nil, bad(http.StatusHTTPVersionNotSupported, "this version of HTTP is not spoken here")
	case len(r.TransferEncoding) > 0:
		// A reader that goes by the one header may find a request in what is a body by the other.
		return nil, bad(http.StatusLengthRequired, "a Content-Length only")
	case r.ContentLength > bodyMost:
		return nil, bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", bodyMost)
	case !strings.HasPrefix(r.RequestURI, "/"):
		return nil, bad(http.StatusBadRequest, "the target must be a path")
	case !visible(r.Host):
		return nil, bad(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		if v := r.Header[name]; len(v) > 1 || len(v) == 1 && !visible(v[0]) {
			return nil, bad(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Qos")
	if name == "" {
		name = first
	}
	class := slices.Index(s.config.Classes, name)
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
	settings := &s.config.Settings.Classes[class]
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
	c := &call{id: id, answer: make(chan answer, 1), in: balancer.Request{Class: uint8(class), Tenant: s.tenant(r),
		Key: key(r.Header.Get("X-Object")), Retry: r.Header.Get("X-Second-Try") == "1",
		Deadline: at + left - answerMargin.Microseconds()}}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		c.in.Hint, c.in.HasHint = hint, true
	}
	body, err := conn.body(r)
	if err != nil {
		return nil, err
	}
	c.out = message{method: r.Method, uri: r.RequestURI, host: r.Host, header: http.Header{}, body: body}
	for k, v := range r.Header {
		if !hopByHop(k, r.Header) && k != "X-Expires-In-Ms" {
			c.out.header[k] = v
		}
	}
	return c, nil
}

// body reads the body. What follows it before the answer is no request: clients send one at a time, so the
// length is wrong, and who sent it must not be served with what an endpoint makes of a part.
func (c *client) body(r *http.Request) ([]byte, error) {
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
func (s *server) tenant(r *http.Request) uint16 {
	if i := slices.Index(s.config.Tenants, r.Header.Get("X-Customer")); i >= 0 {
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
	case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
		"Content-Length", "Expect", "Host", "X-Never-Ran":
		return true
	}
	for _, v := range h["Connection"] {
		for _, named := range strings.Split(v, ",") {
			if strings.EqualFold(strings.TrimSpace(named), name) {
				return true
			}
		}
	}
	return false
}
