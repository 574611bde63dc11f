package http1

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// routed serves a request by the routes, and says whether the connection may serve another.
func (s *Server) serveByRoute(c *conn, req *http.Request, routes *Routes) bool {
	x := &exchange{server: s, conn: c, request: req, proxyName: routes.ProxyName, closeAfter: req.Close || !req.ProtoAtLeast(1, 1)}
	host, path, query, err := routes.splitTarget(req)
	if req.RequestURI == "*" && req.Method == http.MethodOptions {
		return s.conns.markBusy(c) && x.writeLocal(newLocalResponse(http.StatusOK, "any"), "") // of the server as a whole: it forwards what it is asked
	}
	if req.Method == http.MethodConnect {
		err = &requestError{status: http.StatusNotImplemented, reason: "no tunnels are made here", proxyError: proxyErrDenied}
	}
	var rt *Route
	if err == nil {
		rt, err = routes.match(req, host, path)
	}
	var call *core.Call
	var out *upstream.Request
	if err == nil {
		call, out, err = s.newRoutedCall(c, req, rt, host, path, query)
	}
	var framing http1msg.Framing
	if err == nil {
		framing, err = http1msg.RequestFraming(req.Header)
	}
	if err == nil {
		err = x.bufferBody(rt, out, framing)
	}
	if err != nil {
		return x.reject(err)
	}
	return x.forward(rt, call, out, framing, path)
}

// safeMethod is RFC 9110 section 9.2.1.
func isSafeMethod(m string) bool {
	return m == http.MethodGet || m == http.MethodHead || m == http.MethodOptions || m == http.MethodTrace
}

// target takes a request's target apart: its host, its path in normal form and its query with the question mark.
func (r *Routes) splitTarget(req *http.Request) (host, path, query string, err error) {
	rest := req.RequestURI
	host = req.Host
	if !strings.HasPrefix(rest, "/") {
		u, parse := url.Parse(rest)
		if parse != nil || u.Host == "" || u.User != nil || u.Scheme != "http" && u.Scheme != "https" {
			return "", "", "", requestErrorf(http.StatusBadRequest, "the target is neither a path nor an http address")
		}
		host = u.Host // and Host names the same (message.CheckHead)
		rest = rest[strings.Index(rest, "//")+2:]
		if i := strings.IndexAny(rest, "/?"); i < 0 {
			rest = "/"
		} else if rest = rest[i:]; rest[0] == '?' {
			rest = "/" + rest
		}
	}
	if !isVisibleASCII(host) && (req.ProtoAtLeast(1, 1) || host != "") {
		return "", "", "", requestErrorf(http.StatusBadRequest, "Host makes no sense")
	}
	if i := strings.IndexByte(rest, '#'); i >= 0 {
		return "", "", "", requestErrorf(http.StatusBadRequest, "the target has a fragment")
	}
	if i := strings.IndexByte(rest, '?'); i >= 0 {
		rest, query = rest[:i], rest[i:]
	}
	if path, err = route.NormalizePath(rest, r.EncodedSlashes); err != nil {
		return "", "", "", requestErrorf(http.StatusBadRequest, "%v", err)
	}
	return host, path, query, nil
}

// find returns the route of a request, or the answer to one that has none.
func (r *Routes) match(req *http.Request, host, path string) (*Route, error) {
	switch i := r.Table.Match(route.NormalizeHost(host), path, req.Method, req.Header); i {
	case route.NotFound:
		return nil, &requestError{status: http.StatusNotFound, reason: "no route", proxyError: proxyErrNotFound}
	case route.NotAllowed:
		return nil, &requestError{status: http.StatusMethodNotAllowed, reason: "no route takes " + req.Method + " here", proxyError: proxyErrDenied}
	default:
		return &r.Routes[i], nil
	}
}

// place puts a routed request together: the call, but for its body.
func (s *Server) newRoutedCall(c *conn, req *http.Request, rt *Route, host, path, query string) (*core.Call, *upstream.Request, error) {
	class, rules := rt.UnsafeClass, rt.UnsafeRules
	if isSafeMethod(req.Method) {
		class, rules = rt.SafeClass, rt.SafeRules
	}
	settings := &s.options.Site.Settings.Classes[class]
	if settings.Idempotency == balancer.IdempotentByKey && rt.IdempotencyKey.value(c, req, path) == "" {
		return nil, nil, requestErrorf(http.StatusBadRequest, "%s is missing", rt.IdempotencyKey.Name) // a repeat would not be known as one
	}
	out := &upstream.Request{Method: req.Method, Host: host, Header: make(http.Header, len(req.Header)+4), Rules: rules}
	connection := req.Header["Connection"]
	for name, v := range req.Header {
		if !http1msg.IsHopByHop(name, connection) && name != "Expect" && name != "Host" {
			out.Header[name] = v
		}
	}
	if te := req.Header["Te"]; len(te) == 1 && strings.EqualFold(te[0], "trailers") {
		out.Header["Te"] = te // trailers are passed on
	}
	if rt.HostOverride != "" {
		out.Host = rt.HostOverride
	}
	out.URI = rt.rewritePath(path) + query
	timeout := settings.ClientTimeout
	if text := rt.Deadline.value(c, req, path); text != "" {
		ms, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, nil, requestErrorf(http.StatusBadRequest, "%s is not a whole number of milliseconds", rt.Deadline.Name)
		}
		timeout = min(timeout, int64(min(ms, math.MaxInt32))*1000)
	}
	if rt.Deadline.Kind == FromHeader {
		delete(out.Header, rt.Deadline.Name) // the endpoint is told what is left then
	}
	id := rt.RequestID.value(c, req, path)
	if id == "" {
		id = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
		if rt.RequestID.Kind == FromHeader {
			out.Header[rt.RequestID.Name] = []string{id}
		}
	}
	rt.setForwarded(c, req, out.Header)
	rt.RequestEdits.apply(out.Header)
	call := &core.Call{Client: c.client.engineClient, Pool: rt.Pool, ID: id, Response: make(chan engine.Response, 1), Request: balancer.Request{Class: class,
		Tenant: s.tenantIndex(rt.Tenant.value(c, req, path)), IdempotencyKey: objectKey(rt.Object.value(c, req, path)), MaxAttempts: rt.MaxAttempts}}
	call.Request.Deadline = timeout - siteconfig.ResponseMargin.Microseconds() // from its arrival
	return call, out, nil
}

// path returns the path that goes on for one that the route has taken.
func (rt *Route) rewritePath(path string) string {
	if rt.StripPrefix != "" {
		if path = strings.TrimPrefix(path, rt.StripPrefix); path == "" {
			path = "/"
		}
	}
	return rt.AddPrefix + path
}

var forwardedFields = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

// forwarded tells the endpoint of the client.
func (rt *Route) setForwarded(c *conn, req *http.Request, header http.Header) {
	if rt.ForwardedMode == ForwardedUnchanged {
		return
	}
	earlier := map[string][]string{}
	for _, name := range forwardedFields {
		if rt.TrustForwarded {
			earlier[name] = header[name]
		}
		delete(header, name)
	}
	address := "unknown" // RFC 7239 section 6.2: on a unix socket there is no address
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		address = addr.IP.String()
	}
	appendTo := func(name, v string) {
		header[name] = []string{strings.Join(append(slices.Clone(earlier[name]), v), ", ")}
	}
	setIfAbsent := func(name, v string) {
		if header[name] = earlier[name]; len(header[name]) == 0 {
			header[name] = []string{v}
		}
	}
	switch rt.ForwardedMode {
	case ForwardedXHeaders:
		appendTo("X-Forwarded-For", address)
		setIfAbsent("X-Forwarded-Host", req.Host)
		setIfAbsent("X-Forwarded-Proto", "http")
	case ForwardedStandard:
		if strings.Contains(address, ":") {
			address = `"[` + address + `]"`
		}
		appendTo("Forwarded", "for="+address+";host="+strconv.Quote(req.Host)+";proto=http")
	}
}
