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

// Routes determine where a server forwards requests to. They are immutable once set (Server.SetRoutes).
type Routes struct {
	Table          *route.Table
	Routes         []Route // in the order of Table
	EncodedSlashes route.EncodedSlashes
	ProxyName      string // this instance's name in Proxy-Status

	// SingletonHeaders are the headers that some route reads a value from. Like http1msg.SingletonHeaders they may
	// occur once at most, and Connection must not name them.
	SingletonHeaders map[string]bool
}

// Route is how the requests that match a pattern are handled.
type Route struct {
	Name string
	Pool *core.Pool

	SafeClass    uint8                    // class of requests with a safe method (RFC 9110 section 9.2.1)
	UnsafeClass  uint8                    // class of all others
	SafePolicy   *upstream.ResponsePolicy // how responses to requests of SafeClass are handled
	UnsafePolicy *upstream.ResponsePolicy // how responses to requests of UnsafeClass are handled

	Tenant         ValueSource
	Object         ValueSource // what the request is about; recorded, not used by the balancer
	IdempotencyKey ValueSource // required for classes with an idempotency key; forwarded in its header
	RequestID      ValueSource // generated if missing; a second request with the ID of an open one is rejected
	Deadline       ValueSource // milliseconds that are left; the class's client timeout is an upper bound

	MaxAttempts      int           // 0 is as many as the instance allows
	MaxBodyBytes     int64         // requests with larger bodies are rejected; 0 is no bound
	MaxBufferedBytes int64         // larger request bodies are streamed
	StreamTimeout    time.Duration // for a streamed body and the start of its response

	HostOverride string // replaces the request's host; "" leaves it unchanged
	StripPrefix  string // of the path, in complete segments; each matching path has it
	AddPrefix    string // added to the path after StripPrefix is removed

	ForwardedMode  ForwardedMode
	TrustForwarded bool // the entries for earlier hops that clients send are forwarded

	RequestEdits  HeaderEdits
	ResponseEdits HeaderEdits
}

// HeaderEdits are changes of headers, by canonical names: first Remove, then Set, then Add.
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

// ForwardedMode is which headers name the client to endpoints.
type ForwardedMode uint8

// The modes, in the order of the configuration's values.
const (
	ForwardedUnchanged ForwardedMode = iota // those that the client sent
	ForwardedNone                           // none
	ForwardedXHeaders                       // X-Forwarded-For, -Host and -Proto
	ForwardedStandard                       // Forwarded, RFC 7239
)

// SourceKind is where a value of a request is read from.
type SourceKind uint8

// The kinds of source.
const (
	NoSource SourceKind = iota
	FromHeader
	FromPathSegment
	FromClientName // Client.Name of the connection
	FixedValue
)

// ValueSource determines a value of a request.
type ValueSource struct {
	Kind    SourceKind
	Name    string // canonical name of the header, or the fixed value
	Segment int    // index of the path segment
}

// value returns the value that a request has, "" for none; path is its normalized path.
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

// SetRoutes sets the routes of later requests; nil routes them by class. Requests that have been routed are not
// affected.
func (s *Server) SetRoutes(r *Routes) { s.routes.Store(r) }
