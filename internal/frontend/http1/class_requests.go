package http1

import (
	"bytes"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// This file says what a request is where there are no routes: as PROTOCOL describes it, by its class. How it is taken and
// answered, whole.go says, for these as for routed ones.

const (
	// plainHold is what is held of a body in either direction. Up to so many bytes a message's time is that of its last
	// byte, and beyond it that of its first (DAYS), so that holding more would only make it later.
	classBodyBuffer = siteconfig.MaxBodyBytes
	// plainIdle is how long a message that streams may say nothing. Peers write slowly and in pieces, a client 64 kB a
	// second at the least; who is silent for longer than any request may take is gone.
	classIdleTimeout = 10 * time.Second
	// plainMost bounds a body that streams, at twice what there is (DAYS): no length is to be promised to an endpoint that
	// cannot come in plainWhole.
	maxClassBody = 64 << 20
	// plainWhole bounds a body that streams: 32 MB at 64 kB a second take 512 s.
	classStreamTimeout = 10 * time.Minute
	// slowBody is at least how many bytes a second of a body come that is held.
	minBodyBytesPerSecond = 32 << 10
)

// plainRoutes returns what becomes of the requests of each class.
func (s *Server) newClassRoutes() []Route {
	rules := &upstream.Rules{Hold: classBodyBuffer, Patient: true, Idle: classIdleTimeout, Deadline: "X-Expires-In-Ms", Own: true}
	for code := range rules.Failure {
		rules.Failure[code] = code != http.StatusOK
	}
	routes := make([]Route, len(s.options.Site.Classes))
	for i, name := range s.options.Site.Classes {
		routes[i] = Route{Name: name, Pool: s.options.Pool, SafeClass: uint8(i), UnsafeClass: uint8(i), SafeRules: rules, UnsafeRules: rules, BufferBytes: classBodyBuffer, MaxBodyBytes: maxClassBody,
			StreamTimeout: classStreamTimeout, IdempotencyKey: ValueSource{Kind: FromHeader, Name: "Idempotency-Key"}, Object: ValueSource{Kind: FromHeader, Name: "X-Object"}}
	}
	return routes
}

// plain serves a request by PROTOCOL, and says whether the connection may serve another.
func (s *Server) serveByClass(c *conn, req *http.Request) bool {
	x := &exchange{server: s, conn: c, request: req, proxyName: "dunlinsail", closeAfter: req.Close || !req.ProtoAtLeast(1, 1), byClass: true}
	call, rt, out, framing, err := s.parseClassRequest(c, req)
	if err == nil {
		err = x.bufferBody(rt, out, framing)
	}
	if err != nil {
		c.reject(rejectionResponse(err))
		if rt != nil {
			s.outcomes.record(rt.SafeClass, rejectionResponse(err).status)
		}
		return false
	}
	return x.forward(rt, call, out, framing, "")
}

// parse says what a request is, or what is wrong with it; rt is nil where not even its class is known.
func (s *Server) parseClassRequest(conn *conn, req *http.Request) (call *core.Call, rt *Route, out *upstream.Request, framing http1msg.Framing, err error) {
	reject := func(code int, format string, args ...any) (*core.Call, *Route, *upstream.Request, http1msg.Framing, error) {
		return nil, rt, nil, framing, requestErrorf(code, format, args...)
	}
	if framing, err = http1msg.RequestFraming(req.Header); err != nil {
		return nil, nil, nil, framing, err
	}
	uri, host := req.RequestURI, req.Host
	if !strings.HasPrefix(uri, "/") { // the absolute form; message.CheckHead has seen that Host names the same
		if req.URL.Host == "" || req.URL.User != nil || req.URL.Scheme != "http" {
			return reject(http.StatusBadRequest, "the target must be a path")
		}
		uri = req.URL.RequestURI()
	}
	if !isVisibleASCII(host) && req.ProtoAtLeast(1, 1) {
		return reject(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		if v := req.Header[name]; len(v) > 0 && !isVisibleASCII(v[0]) { // that it stands once, message.CheckHead has seen
			return reject(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	pathClass, _, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	name := req.Header.Get("X-Qos")
	if name == "" {
		name = pathClass
	}
	class := slices.Index(s.options.Site.Classes, name)
	if class < 0 {
		return reject(http.StatusNotFound, "unknown class %q", name)
	}
	rt = &s.classRoutes[class]
	if name != pathClass {
		return reject(http.StatusBadRequest, "X-Qos %q is not the first part of the path", name)
	}
	id := req.Header.Get("X-Trace-Id")
	if id == "" {
		return reject(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &s.options.Site.Settings.Classes[class]
	method := http.MethodPost
	if settings.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if req.Method != method && !(req.Method == http.MethodHead && method == http.MethodGet) {
		return reject(http.StatusMethodNotAllowed, "class %q takes %s", name, method)
	}
	if method == http.MethodGet && framing.Kind != http1msg.NoBody && !(framing.Kind == http1msg.FixedLength && framing.Length == 0) {
		return reject(http.StatusBadRequest, "class %q takes no body", name)
	}
	if settings.Idempotency == balancer.IdempotentByKey && req.Header.Get("Idempotency-Key") == "" {
		return reject(http.StatusBadRequest, "Idempotency-Key is missing") // a repeat would not be known as one
	}
	timeout := settings.ClientTimeout
	if text := req.Header.Get("X-Expires-In-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return reject(http.StatusBadRequest, "X-Expires-In-Ms is not a whole number of milliseconds")
		}
		timeout = min(timeout, int64(min(ms, math.MaxInt32))*1000)
	}
	call = &core.Call{Client: conn.client.engineClient, Pool: s.options.Pool, ID: id, Response: make(chan engine.Response, 1), Request: balancer.Request{Class: uint8(class),
		Tenant: s.tenantIndex(req.Header.Get("X-Customer")), IdempotencyKey: objectKey(req.Header.Get("X-Object")), Retry: req.Header.Get("X-Second-Try") == "1",
		Deadline: timeout - siteconfig.ResponseMargin.Microseconds()}}
	if hint, err := strconv.ParseInt(req.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		call.Request.WorkHint, call.Request.HasWorkHint = hint, true
	}
	out = &upstream.Request{Method: req.Method, URI: uri, Host: host, Header: make(http.Header, len(req.Header)), Rules: rt.SafeRules}
	connection := req.Header["Connection"]
	for name, v := range req.Header {
		if !http1msg.IsHopByHop(name, connection) && name != "Expect" && name != "Host" && name != "X-Never-Ran" && name != "X-Expires-In-Ms" {
			out.Header[name] = v
		}
	}
	out.Wait = time.Duration(call.Request.Deadline) * time.Microsecond
	return call, rt, out, framing, nil
}

// methods are what a request may begin with that follows another on its connection.
var pipelinedMethods = [][]byte{[]byte("GET "), []byte("POST "), []byte("HEAD ")}

// mayBegin says whether what has come behind a request can be the beginning of the next. Clients of PROTOCOL that send
// more than their request's length tells have told it wrong: who did must not be served with what an endpoint makes of a
// part.
func mayStartRequest(b []byte) bool {
	return slices.ContainsFunc(pipelinedMethods, func(m []byte) bool {
		n := min(len(b), len(m))
		return bytes.Equal(b[:n], m[:n])
	})
}
