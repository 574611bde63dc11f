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
func (f *Server) newClassRoutes() []Route {
	rules := &upstream.Rules{Hold: classBodyBuffer, Patient: true, Idle: classIdleTimeout, Deadline: "X-Expires-In-Ms", Own: true}
	for code := range rules.Failure {
		rules.Failure[code] = code != http.StatusOK
	}
	routes := make([]Route, len(f.options.Site.Classes))
	for i, name := range f.options.Site.Classes {
		routes[i] = Route{Name: name, Pool: f.options.Pool, SafeClass: uint8(i), UnsafeClass: uint8(i), SafeRules: rules, UnsafeRules: rules, BufferBytes: classBodyBuffer, MaxBodyBytes: maxClassBody,
			StreamTimeout: classStreamTimeout, IdempotencyKey: ValueSource{Kind: FromHeader, Name: "Idempotency-Key"}, Object: ValueSource{Kind: FromHeader, Name: "X-Object"}}
	}
	return routes
}

// plain serves a request by PROTOCOL, and says whether the connection may serve another.
func (f *Server) serveByClass(c *conn, q *http.Request) bool {
	w := &exchange{server: f, conn: c, request: q, proxyName: "dunlinsail", closeAfter: q.Close || !q.ProtoAtLeast(1, 1), byClass: true}
	k, rt, out, framing, err := f.parseClassRequest(c, q)
	if err == nil {
		err = w.bufferBody(rt, out, framing)
	}
	if err != nil {
		c.reject(rejectionResponse(err))
		if rt != nil {
			f.outcomes.record(rt.SafeClass, rejectionResponse(err).status)
		}
		return false
	}
	return w.forward(rt, k, out, framing, "")
}

// parse says what a request is, or what is wrong with it; rt is nil where not even its class is known.
func (f *Server) parseClassRequest(conn *conn, r *http.Request) (k *core.Call, rt *Route, out *upstream.Request, framing http1msg.Framing, err error) {
	wrong := func(code int, format string, args ...any) (*core.Call, *Route, *upstream.Request, http1msg.Framing, error) {
		return nil, rt, nil, framing, requestErrorf(code, format, args...)
	}
	if framing, err = http1msg.RequestFraming(r.Header); err != nil {
		return nil, nil, nil, framing, err
	}
	uri, host := r.RequestURI, r.Host
	if !strings.HasPrefix(uri, "/") { // the absolute form; message.CheckHead has seen that Host names the same
		if r.URL.Host == "" || r.URL.User != nil || r.URL.Scheme != "http" {
			return wrong(http.StatusBadRequest, "the target must be a path")
		}
		uri = r.URL.RequestURI()
	}
	if !isVisibleASCII(host) && r.ProtoAtLeast(1, 1) {
		return wrong(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		if v := r.Header[name]; len(v) > 0 && !isVisibleASCII(v[0]) { // that it stands once, message.CheckHead has seen
			return wrong(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Qos")
	if name == "" {
		name = first
	}
	class := slices.Index(f.options.Site.Classes, name)
	if class < 0 {
		return wrong(http.StatusNotFound, "unknown class %q", name)
	}
	rt = &f.classRoutes[class]
	if name != first {
		return wrong(http.StatusBadRequest, "X-Qos %q is not the first part of the path", name)
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		return wrong(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &f.options.Site.Settings.Classes[class]
	method := http.MethodPost
	if settings.Idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method && !(r.Method == http.MethodHead && method == http.MethodGet) {
		return wrong(http.StatusMethodNotAllowed, "class %q takes %s", name, method)
	}
	if method == http.MethodGet && framing.Kind != http1msg.NoBody && !(framing.Kind == http1msg.FixedLength && framing.Length == 0) {
		return wrong(http.StatusBadRequest, "class %q takes no body", name)
	}
	if settings.Idempotency == balancer.IdempotentByKey && r.Header.Get("Idempotency-Key") == "" {
		return wrong(http.StatusBadRequest, "Idempotency-Key is missing") // a repeat would not be known as one
	}
	left := settings.ClientTimeout
	if text := r.Header.Get("X-Expires-In-Ms"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return wrong(http.StatusBadRequest, "X-Expires-In-Ms is not a whole number of milliseconds")
		}
		left = min(left, int64(min(ms, math.MaxInt32))*1000)
	}
	k = &core.Call{Client: conn.client.engineClient, Pool: f.options.Pool, ID: id, Response: make(chan engine.Response, 1), Request: balancer.Request{Class: uint8(class),
		Tenant: f.tenantIndex(r.Header.Get("X-Customer")), IdempotencyKey: objectKey(r.Header.Get("X-Object")), Retry: r.Header.Get("X-Second-Try") == "1",
		Deadline: left - siteconfig.ResponseMargin.Microseconds()}}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		k.Request.WorkHint, k.Request.HasWorkHint = hint, true
	}
	out = &upstream.Request{Method: r.Method, URI: uri, Host: host, Header: make(http.Header, len(r.Header)), Rules: rt.SafeRules}
	connection := r.Header["Connection"]
	for k, v := range r.Header {
		if !http1msg.IsHopByHop(k, connection) && k != "Expect" && k != "Host" && k != "X-Never-Ran" && k != "X-Expires-In-Ms" {
			out.Header[k] = v
		}
	}
	out.Wait = time.Duration(k.Request.Deadline) * time.Microsecond
	return k, rt, out, framing, nil
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
