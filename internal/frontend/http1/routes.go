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
	Table   *route.Table
	Routes  []Route // by the table's places
	Slashes route.EncodedSlashes
	Agent   string // this instance's name in Proxy-Status

	// Decisive are the headers that some route goes by: like those that always are, they must be single and may not be
	// named hop by hop.
	Decisive map[string]bool
}

// Route is what becomes of the requests that a pattern takes.
type Route struct {
	Name string
	Pool *core.Pool

	// Safe and Other are the classes of methods that are safe (RFC 9110 section 9.2.1) and of all others.
	Safe, Other uint8
	// Rules and OtherRules go with them.
	Rules, OtherRules *upstream.Rules

	Tenant   Source
	Object   Source // what the request is about
	Key      Source // must be there for keyed classes; it goes on to the endpoint in its header
	ID       Source // made where there is none; another request with an open one is turned away
	Deadline Source // milliseconds that are left, within the class's give-up time

	Tries    int           // attempts at most; 0 is as many as the instance allows
	BodyMost int64         // larger ones are turned away; 0 is no bound
	BodyHold int64         // larger ones stream
	Whole    time.Duration // a body that streams, and the answer's beginning, within this

	Host        string // in place of the request's; "" leaves it
	StripPrefix string // of the path, in whole segments; the pattern has it
	AddPrefix   string

	Forwarded Forwarded
	Trusted   bool // what clients say of earlier hops is kept

	Request, Answer Edits
}

// Edits are changes of headers, by canonical names. Removed ones go first.
type Edits struct {
	Remove []string
	Set    map[string]string
	Add    map[string]string
}

func (e *Edits) apply(h http.Header) {
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
type Forwarded uint8

// The ways to tell of the client.
const (
	ForwardedAsIs     Forwarded = iota // what clients say goes on
	ForwardedNone                      // nothing
	ForwardedX                         // X-Forwarded-For, -Host and -Proto
	ForwardedStandard                  // Forwarded, RFC 7239
)

// SourceKind says where a figure of a request comes from.
type SourceKind uint8

// The kinds of source.
const (
	NoSource SourceKind = iota
	FromHeader
	FromSegment // of the path
	FromClient  // the name of the client whose connection it is
	Fixed
)

// Source says where a figure of a request comes from.
type Source struct {
	Kind    SourceKind
	Name    string // of the header, canonical; or the fixed value
	Segment int
}

// of returns what a source tells of a request, "" for nothing.
func (s *Source) of(c *conn, r *http.Request, path string) string {
	switch s.Kind {
	case FromHeader:
		return r.Header.Get(s.Name)
	case FromSegment:
		v, err := url.PathUnescape(route.Segment(path, s.Segment))
		if err != nil {
			return ""
		}
		return v
	case FromClient:
		return c.client.Name
	case Fixed:
		return s.Name
	}
	return ""
}

// SetRoutes has the front go by routes from now on; nil is PROTOCOL. Requests that have been routed keep their way.
func (f *Front) SetRoutes(r *Routes) { f.routes.Store(r) }

// safeMethod is RFC 9110 section 9.2.1.
func safeMethod(m string) bool {
	return m == http.MethodGet || m == http.MethodHead || m == http.MethodOptions || m == http.MethodTrace
}

// target takes a request's target apart: its host, its path in normal form and its query with the question mark.
func (r *Routes) target(q *http.Request) (host, path, query string, err error) {
	text := q.RequestURI
	host = q.Host
	if !strings.HasPrefix(text, "/") {
		u, parse := url.Parse(text)
		if parse != nil || u.Host == "" || u.User != nil || u.Scheme != "http" && u.Scheme != "https" {
			return "", "", "", bad(http.StatusBadRequest, "the target is neither a path nor an http address")
		}
		host = u.Host // and Host names the same (message.CheckHead)
		text = text[strings.Index(text, "//")+2:]
		if i := strings.IndexAny(text, "/?"); i < 0 {
			text = "/"
		} else if text = text[i:]; text[0] == '?' {
			text = "/" + text
		}
	}
	if !visible(host) && (q.ProtoAtLeast(1, 1) || host != "") {
		return "", "", "", bad(http.StatusBadRequest, "Host makes no sense")
	}
	if i := strings.IndexByte(text, '#'); i >= 0 {
		return "", "", "", bad(http.StatusBadRequest, "the target has a fragment")
	}
	if i := strings.IndexByte(text, '?'); i >= 0 {
		text, query = text[:i], text[i:]
	}
	if path, err = route.NormalizePath(text, r.Slashes); err != nil {
		return "", "", "", bad(http.StatusBadRequest, "%v", err)
	}
	return host, path, query, nil
}

// find returns the route of a request, or the answer to one that has none.
func (r *Routes) find(q *http.Request, host, path string) (*Route, error) {
	switch i := r.Table.Match(route.NormalizeHost(host), path, q.Method, q.Header); i {
	case route.NotFound:
		return nil, &badRequest{code: http.StatusNotFound, reason: "no route", status: "destination_not_found"}
	case route.NotAllowed:
		return nil, &badRequest{code: http.StatusMethodNotAllowed, reason: "no route takes " + q.Method + " here", status: "http_request_denied"}
	default:
		return &r.Routes[i], nil
	}
}

// place puts a routed request together: the call, but for its body.
func (f *Front) place(c *conn, q *http.Request, rt *Route, host, path, query string) (*core.Call, *upstream.Request, error) {
	class, rules := rt.Other, rt.OtherRules
	if safeMethod(q.Method) {
		class, rules = rt.Safe, rt.Rules
	}
	settings := &f.o.Site.Settings.Classes[class]
	if settings.Idempotency == balancer.IdempotentByKey && rt.Key.of(c, q, path) == "" {
		return nil, nil, bad(http.StatusBadRequest, "%s is missing", rt.Key.Name) // a repeat would not be known as one
	}
	out := &upstream.Request{Method: q.Method, Host: host, Header: make(http.Header, len(q.Header)+4), Rules: rules}
	connection := q.Header["Connection"]
	for k, v := range q.Header {
		if !http1msg.IsHopByHop(k, connection) && k != "Expect" && k != "Host" {
			out.Header[k] = v
		}
	}
	if te := q.Header["Te"]; len(te) == 1 && strings.EqualFold(te[0], "trailers") {
		out.Header["Te"] = te // trailers are passed on
	}
	if rt.Host != "" {
		out.Host = rt.Host
	}
	out.URI = rt.path(path) + query
	left := settings.ClientTimeout
	if text := rt.Deadline.of(c, q, path); text != "" {
		ms, err := strconv.ParseUint(text, 10, 63)
		if err != nil {
			return nil, nil, bad(http.StatusBadRequest, "%s is not a whole number of milliseconds", rt.Deadline.Name)
		}
		left = min(left, int64(min(ms, math.MaxInt32))*1000)
	}
	if rt.Deadline.Kind == FromHeader {
		delete(out.Header, rt.Deadline.Name) // the endpoint is told what is left then
	}
	id := rt.ID.of(c, q, path)
	if id == "" {
		id = fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
		if rt.ID.Kind == FromHeader {
			out.Header[rt.ID.Name] = []string{id}
		}
	}
	rt.forwarded(c, q, out.Header)
	rt.Request.apply(out.Header)
	k := &core.Call{Client: c.client.share, Pool: rt.Pool, ID: id, Response: make(chan engine.Response, 1), Request: balancer.Request{Class: class,
		Tenant: f.tenantNamed(rt.Tenant.of(c, q, path)), IdempotencyKey: key(rt.Object.of(c, q, path)), MaxAttempts: rt.Tries}}
	k.Request.Deadline = left - siteconfig.ResponseMargin.Microseconds() // from its arrival
	return k, out, nil
}

// path returns the path that goes on for one that the route has taken.
func (rt *Route) path(path string) string {
	if rt.StripPrefix != "" {
		if path = strings.TrimPrefix(path, rt.StripPrefix); path == "" {
			path = "/"
		}
	}
	return rt.AddPrefix + path
}

var forwardedFields = []string{"Forwarded", "X-Forwarded-For", "X-Forwarded-Host", "X-Forwarded-Proto"}

// forwarded tells the endpoint of the client.
func (rt *Route) forwarded(c *conn, q *http.Request, h http.Header) {
	if rt.Forwarded == ForwardedAsIs {
		return
	}
	earlier := map[string][]string{}
	for _, name := range forwardedFields {
		if rt.Trusted {
			earlier[name] = h[name]
		}
		delete(h, name)
	}
	from := "unknown" // RFC 7239 section 6.2: on a unix socket there is no address
	if addr, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		from = addr.IP.String()
	}
	set := func(name, v string) {
		h[name] = []string{strings.Join(append(slices.Clone(earlier[name]), v), ", ")}
	}
	once := func(name, v string) {
		if h[name] = earlier[name]; len(h[name]) == 0 {
			h[name] = []string{v}
		}
	}
	switch rt.Forwarded {
	case ForwardedX:
		set("X-Forwarded-For", from)
		once("X-Forwarded-Host", q.Host)
		once("X-Forwarded-Proto", "http")
	case ForwardedStandard:
		if strings.Contains(from, ":") {
			from = `"[` + from + `]"`
		}
		set("Forwarded", "for="+from+";host="+strconv.Quote(q.Host)+";proto=http")
	}
}
