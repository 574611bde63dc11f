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
	plainHold = siteconfig.MaxBodyBytes
	// plainIdle is how long a message that streams may say nothing. Peers write slowly and in pieces, a client 64 kB a
	// second at the least; who is silent for longer than any request may take is gone.
	plainIdle = 10 * time.Second
	// plainMost bounds a body that streams, at twice what there is (DAYS): no length is to be promised to an endpoint that
	// cannot come in plainWhole.
	plainMost = 64 << 20
	// plainWhole bounds a body that streams: 32 MB at 64 kB a second take 512 s.
	plainWhole = 10 * time.Minute
	// slowBody is at least how many bytes a second of a body come that is held.
	slowBody = 32 << 10
)

// plainRoutes returns what becomes of the requests of each class.
func (f *Front) plainRoutes() []Route {
	rules := &upstream.Rules{Hold: plainHold, Patient: true, Idle: plainIdle, Deadline: "X-Expires-In-Ms", Own: true}
	for code := range rules.Failure {
		rules.Failure[code] = code != http.StatusOK
	}
	ways := make([]Route, len(f.o.Site.Classes))
	for i, name := range f.o.Site.Classes {
		ways[i] = Route{Name: name, Pool: f.o.Pool, Safe: uint8(i), Other: uint8(i), Rules: rules, OtherRules: rules, BodyHold: plainHold, BodyMost: plainMost,
			Whole: plainWhole, Key: Source{Kind: FromHeader, Name: "Idempotency-Key"}, Object: Source{Kind: FromHeader, Name: "X-Object"}}
	}
	return ways
}

// plain serves a request by PROTOCOL, and says whether the connection may serve another.
func (f *Front) plain(c *conn, q *http.Request) bool {
	w := &answering{f: f, c: c, q: q, agent: "dunlinsail", last: q.Close || !q.ProtoAtLeast(1, 1), plain: true}
	k, rt, out, framing, err := f.parse(c, q)
	if err == nil {
		err = w.hold(rt, out, framing)
	}
	if err != nil {
		c.turnAway(turnedAway(err))
		if rt != nil {
			f.counts.settle(rt.Safe, turnedAway(err).code)
		}
		return false
	}
	return w.serve(rt, k, out, framing, "")
}

// parse says what a request is, or what is wrong with it; rt is nil where not even its class is known.
func (f *Front) parse(conn *conn, r *http.Request) (k *core.Call, rt *Route, out *upstream.Request, framing http1msg.Framing, err error) {
	wrong := func(code int, format string, args ...any) (*core.Call, *Route, *upstream.Request, http1msg.Framing, error) {
		return nil, rt, nil, framing, bad(code, format, args...)
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
	if !visible(host) && r.ProtoAtLeast(1, 1) {
		return wrong(http.StatusBadRequest, "Host makes no sense")
	}
	for _, name := range []string{"X-Trace-Id", "X-Qos", "X-Expires-In-Ms", "Idempotency-Key"} {
		if v := r.Header[name]; len(v) > 0 && !visible(v[0]) { // that it stands once, message.CheckHead has seen
			return wrong(http.StatusBadRequest, "%s makes no sense", name)
		}
	}
	first, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	name := r.Header.Get("X-Qos")
	if name == "" {
		name = first
	}
	class := slices.Index(f.o.Site.Classes, name)
	if class < 0 {
		return wrong(http.StatusNotFound, "unknown class %q", name)
	}
	rt = &f.ways[class]
	if name != first {
		return wrong(http.StatusBadRequest, "X-Qos %q is not the first part of the path", name)
	}
	id := r.Header.Get("X-Trace-Id")
	if id == "" {
		return wrong(http.StatusBadRequest, "X-Trace-Id is missing")
	}
	settings := &f.o.Site.Settings.Classes[class]
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
	k = &core.Call{Client: conn.client.share, Pool: f.o.Pool, ID: id, Response: make(chan engine.Response, 1), Request: balancer.Request{Class: uint8(class),
		Tenant: f.tenantNamed(r.Header.Get("X-Customer")), IdempotencyKey: key(r.Header.Get("X-Object")), Retry: r.Header.Get("X-Second-Try") == "1",
		Deadline: left - siteconfig.ResponseMargin.Microseconds()}}
	if hint, err := strconv.ParseInt(r.Header.Get("X-Size-Hint"), 10, 64); err == nil && hint > 0 {
		k.Request.WorkHint, k.Request.HasWorkHint = hint, true
	}
	out = &upstream.Request{Method: r.Method, URI: uri, Host: host, Header: make(http.Header, len(r.Header)), Rules: rt.Rules}
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
var methods = [][]byte{[]byte("GET "), []byte("POST "), []byte("HEAD ")}

// mayBegin says whether what has come behind a request can be the beginning of the next. Clients of PROTOCOL that send
// more than their request's length tells have told it wrong: who did must not be served with what an endpoint makes of a
// part.
func mayBegin(b []byte) bool {
	return slices.ContainsFunc(methods, func(m []byte) bool {
		n := min(len(b), len(m))
		return bytes.Equal(b[:n], m[:n])
	})
}
