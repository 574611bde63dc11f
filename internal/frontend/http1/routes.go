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

// Routes is the routing configuration of a server. It is immutable once set (Server.SetRoutes).
type Routes struct {
	Table          *route.Table
	Routes         []Route // in the order of the patterns in Table
	EncodedSlashes route.EncodedSlashes
	ProxyName      string // this instance's name in Proxy-Status

	// SingletonHeaders are the headers from which any route reads a value. Like http1msg.SingletonHeaders they
	// may occur at most once, and Connection must not name them.
	SingletonHeaders map[string]bool
}

// Route configures how the requests that match one pattern are handled.
type Route struct {
	Name string
	Pool *core.Pool

	SafeClass    uint8                    // class of requests with a safe method (RFC 9110 section 9.2.1)
	UnsafeClass  uint8                    // class of requests with any other method
	SafePolicy   *upstream.ResponsePolicy // how responses to requests of SafeClass are handled
	UnsafePolicy *upstream.ResponsePolicy // how responses to requests of UnsafeClass are handled

	Tenant         ValueSource
	Object         ValueSource // the object that the request is about; it is recorded but not used by the balancer
	IdempotencyKey ValueSource // required for classes that are idempotent by key; forwarded in its header
	RequestID      ValueSource // generated if missing; a request with the ID of a request in flight is rejected
	Deadline       ValueSource // milliseconds that the client still waits; bounded by the class's client timeout

	MaxAttempts      int           // 0 means the limit of the instance
	MaxBodyBytes     int64         // requests with larger bodies are rejected; 0 means no limit
	MaxBufferedBytes int64         // larger request bodies are streamed
	StreamTimeout    time.Duration // limit for a streamed request body and the start of its response

	HostOverride string // replaces the request's host; "" leaves it unchanged
	StripPrefix  string // removed from the path; complete segments, which every matching path has
	AddPrefix    string // added to the path after StripPrefix is removed

	ForwardedMode  ForwardedMode
	TrustForwarded bool // forwards the entries for earlier hops that clients send

	RequestEdits  HeaderEdits
	ResponseEdits HeaderEdits
}

// HeaderEdits are changes to header fields, by canonical name. Remove is applied first, then Set, then Add.
type HeaderEdits struct {
	Remove []string
	Set    map[string]string
	Add    map[string]string
}

func (e *HeaderEdits) apply(header http.Header) {
	for _, name := range e.Remove {
		delete(header, name)
	}
	for name, v := range e.Set {
		header[name] = []string{v}
	}
	for name, v := range e.Add {
		header[name] = append(slices.Clip(header[name]), v)
	}
}

// ForwardedMode selects the headers that tell endpoints the client's address, host and scheme.
type ForwardedMode uint8

// The modes are in the order of the values in the configuration.
const (
	ForwardedUnchanged ForwardedMode = iota // the client's headers are forwarded unchanged
	ForwardedNone                           // no such header is sent
	ForwardedXHeaders                       // X-Forwarded-For, X-Forwarded-Host and X-Forwarded-Proto
	ForwardedStandard                       // Forwarded, RFC 7239
)

// SourceKind is the kind of place from which a value of a request is read.
type SourceKind uint8

// Kinds of value source.
const (
	NoSource SourceKind = iota
	FromHeader
	FromPathSegment
	FromClientName // Client.Name of the client that owns the connection
	FixedValue
)

// ValueSource determines where a value of a request, such as its tenant, comes from.
type ValueSource struct {
	Kind    SourceKind
	Name    string // canonical name of the header for FromHeader; the value for FixedValue
	Segment int    // index of the path segment, for FromPathSegment
}

// value returns the value of a request, or "" if it has none. path is the normalized path of the request.
func (s *ValueSource) value(c *conn, req *http.Request, path string) string {
	switch s.Kind {
	case FromHeader:
		return req.Header.Get(s.Name)
	case FromPathSegment:
		segment, err := url.PathUnescape(route.Segment(path, s.Segment))
		if err != nil {
			return ""
		}
		return segment
	case FromClientName:
		return c.client.Name
	case FixedValue:
		return s.Name
	}
	return ""
}

// SetRoutes sets the routes for later requests. With nil, requests are served by class. Requests that have
// already been routed are not affected.
func (s *Server) SetRoutes(r *Routes) { s.routes.Store(r) }
