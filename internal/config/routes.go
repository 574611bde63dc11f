package config

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"dunlinsail/internal/stricttoml"
)

// Pool configures a named set of endpoints. Exactly one of Endpoints, File and Discovery must be set; it is the
// source of the endpoints.
type Pool struct {
	// Name identifies the pool and must be unique.
	Name string `toml:"name"`

	// Endpoints are the addresses of the endpoints as host:port; nil if the key is missing. With an empty list, the
	// pool rejects all requests.
	Endpoints *[]string `toml:"endpoints"`

	// File is the path of a file with an endpoint list in the format of discovery. It is read again whenever it
	// changes.
	File string `toml:"file"`

	// Discovery is the host:port of a discovery service.
	Discovery string `toml:"discovery"`

	// RetryBudget is the largest ratio of retries to requests within any second: at most 10. 0, the default,
	// applies Attempts.RetryBudget.
	RetryBudget float64 `toml:"retry_budget"`

	// MinRetryRate is the number of retries a second that are allowed regardless of RetryBudget: 0, or 1 to 1000.
	// nil, for a missing key, is 1. It only applies to a pool that sets MinRetryRate or RetryBudget and has no
	// overload control.
	MinRetryRate *float64 `toml:"retry_least"`
}

// RetryWindow returns the length of the sliding time window in which the pool's retries are limited to its budget;
// unused budget does not accumulate beyond it. It returns 0 if the pool sets neither RetryBudget nor MinRetryRate.
func (p *Pool) RetryWindow() time.Duration {
	if p.RetryBudget == 0 && p.MinRetryRate == nil {
		return 0
	}
	return defaultRetryWindow
}

// EffectiveMinRetryRate returns MinRetryRate or its default. It applies only if RetryWindow is positive. Without
// this minimum, a pool with few requests could not retry at all, since its budget is less than one retry.
func (p *Pool) EffectiveMinRetryRate() float64 {
	if p.MinRetryRate == nil {
		return defaultMinRetryRate
	}
	return *p.MinRetryRate
}

// Source describes the source of the pool's endpoints for operators.
func (p *Pool) Source() string {
	switch {
	case p.Endpoints != nil:
		return "this file"
	case p.File != "":
		return "file " + p.File
	}
	return "discovery " + p.Discovery
}

// Route configures which requests match the route and how they are handled.
type Route struct {
	// Name identifies the route in the logs and must be unique unless it is "", the default.
	Name string `toml:"name"`

	// Host, Path, Methods and Headers are the pattern that a request must match (package decide/route). "" and an
	// empty list match any request. A header with the value "" must be present with any value.
	Host    string            `toml:"host"`
	Path    string            `toml:"path"`
	Methods []string          `toml:"methods"`
	Headers map[string]string `toml:"headers"`

	// Pool is the name of the pool that receives the requests. It is required.
	Pool string `toml:"pool"`

	// Class is the request class. The default is "", which is ReadClass for safe methods and WriteClass for other
	// methods.
	Class string `toml:"class"`

	// TenantSource and ObjectSource state where the tenant and the object of a request are read from: "header:NAME",
	// "path:NAME", "client" or, for a constant, "=NAME". The default is "": requests have no tenant or object.
	TenantSource string `toml:"tenant"`
	ObjectSource string `toml:"object"`

	// Key, ID and Deadline name the headers, as "header:NAME", with the idempotency key, the request ID and the
	// number of milliseconds until the client's deadline. The default is "": requests have no such value. Key is
	// required for a keyed class.
	Key      string `toml:"key"`
	ID       string `toml:"id"`
	Deadline string `toml:"deadline"`

	// MaxAttempts is the largest number of attempts for a request. 0, the default, applies Attempts.MaxAttempts.
	MaxAttempts int `toml:"tries"`

	// MaxBody is the largest size of a request body; a request with a larger body is rejected with status 413. 0,
	// the default, is no limit.
	MaxBody stricttoml.Size `toml:"body_most"`

	// MaxBufferedBody is the largest size of a request body that is buffered, so that a retry can send it again: at
	// most 1MiB. Larger bodies are streamed. The default is 64KiB.
	MaxBufferedBody stricttoml.Size `toml:"body_hold"`

	// MaxResponse is the largest size of a response body; a response with a larger body is aborted. It must be at
	// least MaxBufferedResponse; 0, the default, is no limit.
	MaxResponse stricttoml.Size `toml:"answer_most"`

	// MaxBufferedResponse is the largest size of a response body that is buffered, so that the response of another
	// endpoint can replace it: at most 1MiB. Larger bodies are streamed. The default is 64KiB.
	MaxBufferedResponse stricttoml.Size `toml:"answer_hold"`

	// IdleTimeout is the longest time without progress of a streamed body: at most TotalTimeout. The default is
	// 30s.
	IdleTimeout stricttoml.Duration `toml:"idle"`

	// TotalTimeout is the longest time that a streamed body may take. The default is 10m.
	TotalTimeout stricttoml.Duration `toml:"whole"`

	// ErrorStatuses are the response statuses, from 400 to 599, that count as errors of the endpoint and permit a
	// retry. The default is 500, 502, 504.
	ErrorStatuses []int `toml:"errors"`

	// RejectionStatuses are the response statuses, from 400 to 599, that count as a rejection by the endpoint if
	// the response has a Retry-After header. For unsafe classes they count as errors. The default is 429, 503.
	RejectionStatuses []int `toml:"full"`

	// HostRewrite replaces the Host header of requests. The default is "", which keeps the header.
	HostRewrite string `toml:"to_host"`

	// StripPrefix is removed from the start of the path; it must consist of complete segments of Path. AddPrefix is
	// then put in front of the path. The default of both is "".
	StripPrefix string `toml:"strip_prefix"`
	AddPrefix   string `toml:"add_prefix"`

	// Forwarded is one of ForwardedModes. "as-is", the default, passes on the forwarding headers that the client
	// sent; "none" removes them; "x-forwarded" sends X-Forwarded-For, X-Forwarded-Host and X-Forwarded-Proto;
	// "rfc7239" sends Forwarded.
	Forwarded string `toml:"forwarded"`

	// TrustForwarded passes on what the client's forwarding headers state about earlier hops. It is only valid with the
	// modes "x-forwarded" and "rfc7239". The default is false.
	TrustForwarded bool `toml:"trusted"`

	// RequestHeaderEdits and ResponseHeaderEdits are changes of the headers of forwarded requests and
	// responses. The default is no change.
	RequestHeaderEdits  HeaderEdits `toml:"request"`
	ResponseHeaderEdits HeaderEdits `toml:"answer"`
}

// HeaderEdits are changes of headers by name, applied in the order Remove, Set, Add. The headers in reservedHeaders
// cannot be changed.
type HeaderEdits struct {
	Remove []string          `toml:"remove"`
	Set    map[string]string `toml:"set"`
	Add    map[string]string `toml:"add"`
}

// Paths configures how paths of requests are interpreted.
type Paths struct {
	// EncodedSlash selects the handling of %2F and %5C in a path: "refuse", the default, rejects the request with
	// status 400; "keep" forwards them unchanged.
	EncodedSlash string `toml:"encoded_slash"`
}

// Names of the classes for requests of routes that set no class. If a file with routes has no classes, these two
// are defined by default.
const (
	ReadClass  = "read"
	WriteClass = "write"
)

// ForwardedModes are the valid values of Route.Forwarded.
var ForwardedModes = []string{"as-is", "none", "x-forwarded", "rfc7239"}

// Defaults of the keys in a file with routes.
const (
	defaultRouteObjective = 10 * time.Second // latency objective of ReadClass and WriteClass
	defaultRouteTimeout   = 30 * time.Second // client timeout of ReadClass and WriteClass
	defaultBufferedBytes  = 64 << 10         // default of Route.MaxBufferedBody and Route.MaxBufferedResponse
	defaultStreamIdle     = 30 * time.Second // default of Route.IdleTimeout
	defaultStreamTotal    = 10 * time.Minute // default of Route.TotalTimeout
	defaultForwarded      = "as-is"          // default of Route.Forwarded
	defaultMinRetryRate   = 1                // default of Pool.MinRetryRate, in retries a second
	defaultRetryWindow    = time.Second      // window in which Pool.RetryBudget applies
)

var (
	defaultErrorStatuses     = []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}
	defaultRejectionStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}
)

// setRouteDefaults sets the defaults of missing keys and tables in a file with routes.
func (c *Config) setRouteDefaults() {
	if len(c.Routes) == 0 {
		return
	}
	if len(c.Classes) == 0 {
		objective := stricttoml.Duration{Duration: defaultRouteObjective}
		timeout := stricttoml.Duration{Duration: defaultRouteTimeout}
		c.Classes = []Class{
			{Name: ReadClass, Idempotency: "safe", LatencyObjective: objective, ClientTimeout: timeout},
			{Name: WriteClass, Idempotency: "unsafe", LatencyObjective: objective, ClientTimeout: timeout},
		}
	}
	if len(c.Clients) == 0 && c.OtherClients == nil {
		c.OtherClients = &ClientLimits{}
	}
	for i := range c.Listeners {
		listener := &c.Listeners[i]
		listener.Name = cmp.Or(listener.Name, listener.Address)
	}
	for i := range c.Routes {
		c.Routes[i].setDefaults()
	}
}

// setDefaults sets the defaults of the route's missing keys.
func (r *Route) setDefaults() {
	r.Forwarded = cmp.Or(r.Forwarded, defaultForwarded)
	r.MaxBufferedBody.Bytes = cmp.Or(r.MaxBufferedBody.Bytes, defaultBufferedBytes)
	r.MaxBufferedResponse.Bytes = cmp.Or(r.MaxBufferedResponse.Bytes, defaultBufferedBytes)
	r.IdleTimeout.Duration = cmp.Or(r.IdleTimeout.Duration, defaultStreamIdle)
	r.TotalTimeout.Duration = cmp.Or(r.TotalTimeout.Duration, defaultStreamTotal)
	if r.ErrorStatuses == nil {
		r.ErrorStatuses = slices.Clone(defaultErrorStatuses)
	}
	if r.RejectionStatuses == nil {
		r.RejectionStatuses = slices.Clone(defaultRejectionStatuses)
	}
}

// maxBufferedBytes is the largest valid size of Route.MaxBufferedBody and Route.MaxBufferedResponse in bytes.
const maxBufferedBytes = 1 << 20
