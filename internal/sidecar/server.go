package sidecar

import (
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cottonpond/balancer"
)

// answerMargin is kept from the client's time, so that the final answer reaches it before that is up.
const answerMargin = 5 * time.Millisecond

// server takes clients' requests and gives their answers.
type server struct {
	loop   *loop
	config *Config

	closing     atomic.Bool
	conns       atomic.Int64
	connsMost   int64 // over this, answers close their connection
	connsRefuse int64 // over this, requests are refused unseen
}

func newServer(c *Config, l *loop) *server {
	return &server{loop: l, config: c, connsMost: int64(c.Sockets / 2), connsRefuse: int64(c.Sockets * 5 / 8)}
}

// track counts clients' connections.
func (s *server) track(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	}
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := s.loop.clock.now()
	conns := s.conns.Load()
	if conns > s.connsMost {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/-/ready" {
		if s.closing.Load() || !s.loop.ready.Load() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
		return
	}
	c, err := s.parse(w, r, at)
	if err != nil {
		code := http.StatusBadRequest
		if bad := (*badRequest)(nil); errors.As(err, &bad) {
			code = bad.code
		}
		http.Error(w, err.Error(), code)
		return
	}
	// Descriptors must not run out: were there none left, requests would wait unread until they are lost.
	if conns > s.connsRefuse {
		http.Error(w, "too many connections", http.StatusServiceUnavailable)
		return
	}
	s.loop.arrived(c)
	select {
	case a := <-c.answer:
		s.answer(w, a)
	case <-r.Context().Done():
		s.loop.left(c)
	}
}

func (s *server) answer(w http.ResponseWriter, a answer) {
	h := w.Header()
	switch a.verdict {
	case served:
		h["Content-Type"] = nil // the endpoint's or none: nothing is guessed
		for k, v := range a.reply.header {
			if !hopByHop(k, a.reply.header) && k != "Endpoint-Load-Metrics" {
				h[k] = v
			}
		}
		h.Set("Content-Length", strconv.Itoa(len(a.reply.body)))
		w.WriteHeader(http.StatusOK)
		w.Write(a.reply.body) // a client that has gone needs no answer
	case refused:
		if a.retryAfter > 0 {
			h.Set("Retry-After", strconv.FormatFloat(a.retryAfter.Seconds(), 'f', 3, 64))
		}
		http.Error(w, "refused: try again later", http.StatusServiceUnavailable)
	case failedLate:
		http.Error(w, "no answer in time", http.StatusGatewayTimeout)
	default:
		http.Error(w, "failed", http.StatusBadGateway)
	}
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

// parse reads a whole request.
func (s *server) parse(w http.ResponseWriter, r *http.Request, at balancer.Micros) (*call, error) {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return nil, bad(http.StatusBadRequest, "the target must be a path")
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
	if r.Header.Get("X-Trace-Id") == "" {
		return nil, bad(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &s.config.Settings.Classes[class]
	method := http.MethodPost
	if settings.Repeat == balancer.Safe {
		method = http.MethodGet
	}
	if r.Method != method {
		w.Header().Set("Allow", method)
		return nil, bad(http.StatusMethodNotAllowed, "class %q takes %s", name, method)
	}
	if settings.Repeat == balancer.Keyed && r.Header.Get("Idempotency-Key") == "" {
		return nil, bad(http.StatusBadRequest, "Idempotency-Key is missing") // a repeat would not be known as one
	}
	left := settings.GiveUp
	if text := r.Header.Get("X-Expires-In-Ms"); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return nil, bad(http.StatusBadRequest, "X-Expires-In-Ms %q is not a whole number of milliseconds", text)
		}
		left = min(left, min(ms, math.MaxInt32)*1000)
	}
	c := &call{answer: make(chan answer, 1), in: balancer.Request{Class: uint8(class), Tenant: s.tenant(r),
		Key: key(r.Header.Get("X-Object")), Retry: r.Header.Get("X-Second-Try") == "1",
		Deadline: at + left - answerMargin.Microseconds()}}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		c.in.Hint, c.in.HasHint = hint, true
	}
	body, err := s.body(w, r, left)
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

// body reads the body, in the time that the client gives it.
func (s *server) body(w http.ResponseWriter, r *http.Request, left balancer.Micros) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(time.Now().Add(time.Duration(left) * time.Microsecond)); err != nil {
		return nil, err
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, bodyMost))
	if large := (*http.MaxBytesError)(nil); errors.As(err, &large) {
		return nil, bad(http.StatusRequestEntityTooLarge, "the body is over %d bytes", bodyMost)
	}
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bad(http.StatusBadRequest, "the body is not whole")
	}
	// From here on a read only tells that the client has gone.
	return body, control.SetReadDeadline(time.Time{})
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
