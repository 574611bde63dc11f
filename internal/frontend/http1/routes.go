package http1

import (
	"net/http"
	"net/url"
	"slices"
	"time"

	"dunlinsail/internal/core"
	"dunlinsail/internal/decide/route"
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
