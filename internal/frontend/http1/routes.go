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
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/siteconfig"
	"dunlinsail/internal/upstream"
)

// Routes are where a front sends requests of any form. They do not change; a front may be given others.
type Routes struct {
	Table          *route.Table
	Routes         []Route // by the table's places
	EncodedSlashes route.EncodedSlashes
	ProxyName      string // this instance's name in Proxy-Status

	// Decisive are the headers that some route goes by: like those that always are, they must be single and may not be
	// named hop by hop.
	SingletonHeaders map[string]bool
}

// Route is what becomes of the requests that a pattern takes.
type Route struct {
	Name string
	Pool *core.Pool

	// Safe and Other are the classes of methods that are safe (RFC 9110 section 9.2.1) and of all others.
	SafeClass, UnsafeClass uint8
	// Rules and OtherRules go with them.
	SafeRules, UnsafeRules *upstream.Rules

	Tenant         ValueSource
	Object         ValueSource // what the request is about
	IdempotencyKey ValueSource // must be there for keyed classes; it goes on to the endpoint in its header
	RequestID      ValueSource // made where there is none; another request with an open one is turned away
	Deadline       ValueSource // milliseconds that are left, within the class's give-up time

	MaxAttempts   int           // attempts at most; 0 is as many as the instance allows
	MaxBodyBytes  int64         // larger ones are turned away; 0 is no bound
	BufferBytes   int64         // larger ones stream
	StreamTimeout time.Duration // a body that streams, and the answer's beginning, within this

	HostOverride string // in place of the request's; "" leaves it
	StripPrefix  string // of the path, in whole segments; the pattern has it
	AddPrefix    string

	ForwardedMode  ForwardedMode
	TrustForwarded bool // what clients say of earlier hops is kept

	RequestEdits, ResponseEdits HeaderEdits
}

// Edits are changes of headers, by canonical names. Removed ones go first.
type HeaderEdits struct {
	Remove []string
	Set    map[string]string
	Add    map[string]string
}

func (e *HeaderEdits) apply(h http.Header) {
	for _, name := range e.Remove {
		delete(h, name)
	}
	for name, v := range e.Set {
		h[name] = []string{v}
	}
	for name, v := range e.Add {
		h[name] = append(slices.Clip(h[name]), v)
	}
}

// Forwarded says what endpoints are told of the client.
type ForwardedMode uint8

// The ways to tell of the client.
const (
	ForwardedUnchanged ForwardedMode = iota // what clients say goes on
	ForwardedNone                           // nothing
	ForwardedXHeaders                       // X-Forwarded-For, -Host and -Proto
	ForwardedStandard                       // Forwarded, RFC 7239
)

// SourceKind says where a figure of a request comes from.
type SourceKind uint8

// The kinds of source.
const (
	NoSource SourceKind = iota
	FromHeader
	FromPathSegment // of the path
	FromClientName  // the name of the client whose connection it is
	FixedValue
)

// Source says where a figure of a request comes from.
type ValueSource struct {
	Kind    SourceKind
	Name    string // of the header, canonical; or the fixed value
	Segment int
}

// of returns what a source tells of a request, "" for nothing.
func (s *ValueSource) value(c *conn, r *http.Request, path string) string {
	switch s.Kind {
	case FromHeader:
		return r.Header.Get(s.Name)
	case FromPathSegment:
		v, err := url.PathUnescape(route.Segment(path, s.Segment))
		if err != nil {
			return ""
		}
		return v
	case FromClientName:
		return c.client.Name
	case FixedValue:
		return s.Name
	}
	return ""
}

// SetRoutes has the front go by routes from now on; nil is PROTOCOL. Requests that have been routed keep their way.
func (s *Server) SetRoutes(r *Routes) { s.routes.Store(r) }

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
		return nil, &requestError{status: http.StatusNotFound, reason: "no route", proxyError: "destination_not_found"}
	case route.NotAllowed:
		return nil, &requestError{status: http.StatusMethodNotAllowed, reason: "no route takes " + req.Method + " here", proxyError: "http_request_denied"}
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
	for call, v := range req.Header {
		if !http1msg.IsHopByHop(call, connection) && call != "Expect" && call != "Host" {
			out.Header[call] = v
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
