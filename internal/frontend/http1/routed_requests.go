package http1

import (
	"cmp"
	"fmt"
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
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// serveByRoute serves a request with the configured routes. It reports whether the connection may serve another
// request.
func (s *Server) serveByRoute(c *conn, req *http.Request, routes *Routes) bool {
	x := s.newExchange(c, req, routes.ProxyName)
	if req.RequestURI == "*" && req.Method == http.MethodOptions {
		// OPTIONS * asks about the server, not about a resource (RFC 9110 section 9.3.7).
		return s.conns.markBusy(c) && x.writeLocal(newLocalResponse(http.StatusOK, "any"), "")
	}
	parsed, path, err := s.parseRoutedRequest(c, req, routes)
	if err != nil {
		return x.reject(err)
	}
	if err := x.bufferBody(parsed.route, parsed.outbound, parsed.framing); err != nil {
		return x.reject(err)
	}
	return x.forward(&parsed, path)
}

// parseRoutedRequest finds the route of a request and parses the request as the route configures it, or returns
// the error with which the request is rejected. path is the normalized path.
func (s *Server) parseRoutedRequest(
	c *conn, req *http.Request, routes *Routes,
) (parsed parsedRequest, path string, err error) {
	if req.Method == http.MethodConnect {
		return parsed, "", &requestError{
			status:     http.StatusNotImplemented,
			reason:     "no tunnels are made here",
			proxyError: proxyErrDenied,
		}
	}
	host, path, query, err := routes.splitTarget(req)
	if err != nil {
		return parsed, "", err
	}
	if parsed.route, err = routes.match(req, host, path); err != nil {
		return parsed, "", err
	}
	if parsed.coreCall, parsed.outbound, err = s.newRoutedCall(c, req, parsed.route, host, path, query); err != nil {
		return parsed, "", err
	}
	parsed.framing, err = http1msg.RequestFraming(req.Header)
	return parsed, path, err
}

// isSafeMethod reports whether a method is safe (RFC 9110 section 9.2.1).
func isSafeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions ||
		method == http.MethodTrace
}

// splitTarget returns the host, the normalized path and the query of a request's target. The query includes the
// question mark, and is "" if there is none.
func (r *Routes) splitTarget(req *http.Request) (host, path, query string, err error) {
	pathAndQuery := req.RequestURI
	host = req.Host
	if !strings.HasPrefix(pathAndQuery, "/") {
		target, parseErr := url.Parse(pathAndQuery)
		if parseErr != nil || target.Host == "" || target.User != nil ||
			target.Scheme != "http" && target.Scheme != "https" {
			return "", "", "", requestErrorf(http.StatusBadRequest, "the target is neither a path nor an http address")
		}
		host = target.Host // http1msg.CheckHead has verified that the Host header is equal
		pathAndQuery = pathOfAbsolute(pathAndQuery)
	}
	if !isVisibleASCII(host) && (req.ProtoAtLeast(1, 1) || host != "") {
		return "", "", "", requestErrorf(http.StatusBadRequest, "Host makes no sense")
	}
	if i := strings.IndexByte(pathAndQuery, '#'); i >= 0 {
		return "", "", "", requestErrorf(http.StatusBadRequest, "the target has a fragment")
	}
	if i := strings.IndexByte(pathAndQuery, '?'); i >= 0 {
		query = pathAndQuery[i:]
		pathAndQuery = pathAndQuery[:i]
	}
	if path, err = route.NormalizePath(pathAndQuery, r.EncodedSlashes); err != nil {
		return "", "", "", requestErrorf(http.StatusBadRequest, "%v", err)
	}
	return host, path, query, nil
}

// pathOfAbsolute returns the path and query of a request target in absolute form (RFC 9112 section 3.2.2).
func pathOfAbsolute(target string) string {
	afterScheme := target[strings.Index(target, "//")+2:]
	i := strings.IndexAny(afterScheme, "/?")
	if i < 0 {
		return "/"
	}
	afterScheme = afterScheme[i:]
	if afterScheme[0] == '?' {
		return "/" + afterScheme
	}
	return afterScheme
}

// match returns the route of a request, or a *requestError if no route matches.
func (r *Routes) match(req *http.Request, host, path string) (*Route, error) {
	switch routeIndex := r.Table.Match(route.NormalizeHost(host), path, req.Method, req.Header); routeIndex {
	case route.NotFound:
		return nil, &requestError{status: http.StatusNotFound, reason: "no route", proxyError: proxyErrNotFound}
	case route.MethodNotAllowed:
		reason := "no route takes " + req.Method + " here"
		return nil, &requestError{status: http.StatusMethodNotAllowed, reason: reason, proxyError: proxyErrDenied}
	default:
		return &r.Routes[routeIndex], nil
	}
}

// newRoutedCall returns the call that is submitted to the core for a routed request, and the request that is sent
// to an endpoint, without its body. The call's deadline is relative to the arrival of the request; forward makes
// it absolute.
func (s *Server) newRoutedCall(
	c *conn, req *http.Request, rt *Route, host, path, query string,
) (*core.Call, *upstream.Request, error) {
	class := rt.UnsafeClass
	policy := rt.UnsafePolicy
	if isSafeMethod(req.Method) {
		class = rt.SafeClass
		policy = rt.SafePolicy
	}
	settings := &s.options.Site.Settings.Classes[class]
	if settings.Idempotency == balancer.IdempotentByKey && rt.IdempotencyKey.value(c, req, path) == "" {
		// Without the key an endpoint could not recognize a repeated request.
		return nil, nil, requestErrorf(http.StatusBadRequest, "%s is missing", rt.IdempotencyKey.Name)
	}
	out := &upstream.Request{
		Method: req.Method,
		URI:    rt.rewritePath(path) + query,
		Host:   cmp.Or(rt.HostOverride, host),
		Header: endToEndHeader(req),
		Policy: policy,
	}
	timeout, err := rt.clientTimeout(c, req, path, settings.ClientTimeout)
	if err != nil {
		return nil, nil, err
	}
	out.ResponseTimeout = responseTimeout(timeout)
	if rt.Deadline.Kind == FromHeader {
		delete(out.Header, rt.Deadline.Name) // each attempt sets the field to the time left
	}
	id, generated := rt.ensureRequestID(c, req, path, out.Header)
	rt.setForwarded(c, req, out.Header)
	rt.RequestEdits.apply(out.Header)
	call := &core.Call{
		Client:      c.client.engineClient,
		Pool:        rt.Pool,
		ID:          id,
		GeneratedID: generated,
		Response:    make(chan engine.Response, 1),
		Request: balancer.Request{
			Class:       class,
			Tenant:      s.tenantIndex(rt.Tenant.value(c, req, path)),
			ObjectKey:   objectKey(rt.Object.value(c, req, path)),
			MaxAttempts: rt.MaxAttempts,
			Deadline:    timeout - siteconfig.ResponseMargin.Microseconds(),
		},
	}
	return call, out, nil
}

// clientTimeout returns how long the client waits for its response: the timeout of the class, or the timeout that
// the request states if that is shorter.
func (rt *Route) clientTimeout(
	c *conn, req *http.Request, path string, classTimeout monotime.Micros,
) (monotime.Micros, error) {
	text := rt.Deadline.value(c, req, path)
	if text == "" {
		return classTimeout, nil
	}
	return shortenTimeout(classTimeout, text, rt.Deadline.Name)
}

// ensureRequestID returns the ID of a request. If the request has none, an ID is generated; if the route reads
// the ID from a header, the generated ID is also set in the forwarded header.
func (rt *Route) ensureRequestID(
	c *conn, req *http.Request, path string, forwarded http.Header,
) (id string, generated bool) {
	if id = rt.RequestID.value(c, req, path); id != "" {
		return id, false
	}
	id = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
	if rt.RequestID.Kind == FromHeader {
		forwarded[rt.RequestID.Name] = []string{id}
	}
	return id, true
}

// spareHeaderCapacity is the number of header fields for which space is allocated in addition to the client's
// fields. A route's edits add about as many.
const spareHeaderCapacity = 4

// endToEndHeader returns the header fields of a request that are forwarded to an endpoint.
func endToEndHeader(req *http.Request) http.Header {
	header := make(http.Header, len(req.Header)+spareHeaderCapacity)
	connection := req.Header["Connection"]
	for name, values := range req.Header {
		if !http1msg.IsHopByHop(name, connection) && name != "Expect" && name != "Host" {
			header[name] = values
		}
	}
	if teValues := req.Header["Te"]; len(teValues) == 1 && strings.EqualFold(teValues[0], "trailers") {
		header["Te"] = teValues // this server forwards trailers
	}
	return header
}

// rewritePath returns the path that is sent to the endpoint: path without StripPrefix and with AddPrefix.
func (rt *Route) rewritePath(path string) string {
	if rt.StripPrefix != "" {
		if path = strings.TrimPrefix(path, rt.StripPrefix); path == "" {
			path = "/"
		}
	}
	return rt.AddPrefix + path
}

// forwardedFields are the headers that describe the client and earlier proxies.
var forwardedFields = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

// setForwarded sets the headers that tell the endpoint the client's address, host and scheme, according to
// ForwardedMode.
func (rt *Route) setForwarded(c *conn, req *http.Request, header http.Header) {
	if rt.ForwardedMode == ForwardedUnchanged {
		return
	}
	earlierHops := map[string][]string{}
	for _, name := range forwardedFields {
		if rt.TrustForwarded {
			earlierHops[name] = header[name]
		}
		delete(header, name)
	}
	address := "unknown" // RFC 7239 section 6.2; a client on a Unix socket has no address
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		address = addr.IP.String()
	}
	appendToHeader := func(name, value string) {
		header[name] = []string{strings.Join(append(slices.Clone(earlierHops[name]), value), ", ")}
	}
	setIfAbsent := func(name, value string) {
		if header[name] = earlierHops[name]; len(header[name]) == 0 {
			header[name] = []string{value}
		}
	}
	switch rt.ForwardedMode {
	case ForwardedXHeaders:
		appendToHeader("X-Forwarded-For", address)
		setIfAbsent("X-Forwarded-Host", req.Host)
		setIfAbsent("X-Forwarded-Proto", "http")
	case ForwardedStandard:
		if strings.Contains(address, ":") {
			address = `"[` + address + `]"`
		}
		appendToHeader("Forwarded", "for="+address+";host="+strconv.Quote(req.Host)+";proto=http")
	}
}
