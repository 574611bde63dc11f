package config

import (
	"cmp"
	"net/http"
	"slices"
	"time"

	"dunlinsail/internal/stricttoml"
)

// Pool is a named set of endpoints. Exactly one of Endpoints, File and Discovery is its source of endpoints.
type Pool struct {
	// Name identifies the pool, and must be unique.
	Name string `toml:"name"`

	// Endpoints are the addresses, host:port each; nil where the key is missing. An empty list rejects all requests.
	Endpoints *[]string `toml:"endpoints"`

	// File is a file in discovery's form, which is read again when it changes.
	File string `toml:"file"`

	// Discovery is host:port of a discovery service.
	Discovery string `toml:"discovery"`

	// RetryBudget is the limit of retries, as a ratio of the requests within any second: up to 10; 0, the default, is
	// Attempts.RetryBudget.
	RetryBudget float64 `toml:"retry_budget"`

	// MinRetryRate is how many retries a second are allowed at least, in a pool that sets this or RetryBudget
	// and has no overload control: 0, or 1 to 1000; nil, where the key is missing, is 1.
	MinRetryRate *float64 `toml:"retry_least"`
}

// RetryWindow is the time within which the pool's retries are limited to its budget, none of which is saved up; 0 where
// the pool sets neither RetryBudget nor MinRetryRate.
func (p *Pool) RetryWindow() time.Duration {
	if p.RetryBudget == 0 && p.MinRetryRate == nil {
		return 0
	}
	return defaultRetryWindow
}

// EffectiveMinRetryRate is MinRetryRate or its default. It counts only with a RetryWindow: the budget of a pool with
// few requests is less than one retry.
func (p *Pool) EffectiveMinRetryRate() float64 {
	if p.MinRetryRate == nil {
		return defaultMinRetryRate
	}
	return *p.MinRetryRate
}

// Source returns where a pool has its endpoints from, as a text for operators.
func (p *Pool) Source() string {
	switch {
	case p.Endpoints != nil:
		return "this file"
	case p.File != "":
		return "file " + p.File
	}
	return "discovery " + p.Discovery
}

// Route is which requests it matches, and how they are handled.
type Route struct {
	// Name identifies the route in the logs, and must be unique; default "".
	Name string `toml:"name"`

	// Host, Path, Methods and Headers are the pattern of package decide/route; "" and an empty list match any. A header
	// with the value "" must be present.
	Host    string            `toml:"host"`
	Path    string            `toml:"path"`
	Methods []string          `toml:"methods"`
	Headers map[string]string `toml:"headers"`

	// Pool is the name of the pool that requests are sent to. It is required.
	Pool string `toml:"pool"`

	// Class is the class of requests; "", the default, is ReadClass for safe methods and WriteClass for the others.
	Class string `toml:"class"`

	// Tenant and Object are where these values of a request come from: "header:NAME", "path:NAME", "client" or "=NAME";
	// "", the default, is none.
	Tenant string `toml:"tenant"`
	Object string `toml:"object"`

	// Key, ID and Deadline are the headers, as "header:NAME", of the idempotency key, the request ID and the remaining
	// milliseconds; "", the default, is none. Key is required with a keyed class.
	Key      string `toml:"key"`
	ID       string `toml:"id"`
	Deadline string `toml:"deadline"`

	// MaxAttempts is the limit of attempts of a request; 0, the default, is Attempts.MaxAttempts.
	MaxAttempts int `toml:"tries"`

	// MaxBody is the largest request body, beyond which the status is 413; 0, the default, is no bound.
	MaxBody stricttoml.Size `toml:"body_most"`

	// MaxBufferedBody is the largest request body that is buffered and can be sent again: default 64KiB, up to 1MiB.
	// Larger ones are streamed.
	MaxBufferedBody stricttoml.Size `toml:"body_hold"`

	// MaxResponse is the largest response body, beyond which it is aborted: at least MaxBufferedResponse; 0, the
	// default, is no bound.
	MaxResponse stricttoml.Size `toml:"answer_most"`

	// MaxBufferedResponse is the largest response body that is buffered, so that another endpoint's can replace it:
	// default 64KiB, up to 1MiB. Larger ones are streamed.
	MaxBufferedResponse stricttoml.Size `toml:"answer_hold"`

	// IdleTimeout is how long a streamed body may pause: default 30s, up to TotalTimeout.
	IdleTimeout stricttoml.Duration `toml:"idle"`

	// TotalTimeout is how long a streamed body may take: default 10m.
	TotalTimeout stricttoml.Duration `toml:"whole"`

	// ErrorStatuses are the statuses, 400 to 599, that count as an error of the endpoint, after which a request may be
	// retried: default 500, 502, 504.
	ErrorStatuses []int `toml:"errors"`

	// RejectionStatuses are the statuses, 400 to 599, that count as rejected if the response has Retry-After: default
	// 429, 503. For unsafe classes they count as errors.
	RejectionStatuses []int `toml:"full"`

	// ToHost replaces the Host header; "", the default, leaves it unchanged.
	ToHost string `toml:"to_host"`

	// StripPrefix, in complete segments of Path, is removed from the path, and AddPrefix then added; default "".
	StripPrefix string `toml:"strip_prefix"`
	AddPrefix   string `toml:"add_prefix"`

	// Forwarded is one of ForwardedModes: "as-is", the default, forwards the headers that the client sent, "none" none,
	// "x-forwarded" X-Forwarded-For, -Host and -Proto, and "rfc7239" Forwarded.
	Forwarded string `toml:"forwarded"`

	// Trusted forwards what the client sends of earlier hops, with "x-forwarded" and "rfc7239" only; default false.
	Trusted bool `toml:"trusted"`

	// Request and Response are changes of the headers that are forwarded; default none.
	Request  HeaderEdits `toml:"request"`
	Response HeaderEdits `toml:"answer"`
}

// HeaderEdits are changes of headers, by names: first Remove, then Set, then Add. Headers in reservedHeaders must
// not be changed.
type HeaderEdits struct {
	Remove []string          `toml:"remove"`
	Set    map[string]string `toml:"set"`
	Add    map[string]string `toml:"add"`
}

// Paths configures how paths are interpreted.
type Paths struct {
	// EncodedSlash is how %2F and %5C in a path are handled: "refuse", the default, rejects the request with 400,
	// "keep" forwards them unchanged.
	EncodedSlash string `toml:"encoded_slash"`
}

// The classes of routes without a class. A file without classes has these two.
const (
	ReadClass  = "read"
	WriteClass = "write"
)

// ForwardedModes are the values of Route.Forwarded.
var ForwardedModes = []string{"as-is", "none", "x-forwarded", "rfc7239"}

// Defaults of a file with routes.
const (
	defaultRouteObjective = 10 * time.Second // of the classes ReadClass and WriteClass
	defaultRouteTimeout   = 30 * time.Second // of the classes ReadClass and WriteClass
	defaultBufferedBytes  = 64 << 10
	defaultStreamIdle     = 30 * time.Second
	defaultStreamTotal    = 10 * time.Minute
	defaultForwarded      = "as-is"
	defaultMinRetryRate   = 1           // a second
	defaultRetryWindow    = time.Second // of Pool.RetryBudget
)

var (
	defaultErrorStatuses     = []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout}
	defaultRejectionStatuses = []int{http.StatusTooManyRequests, http.StatusServiceUnavailable}
)

// setRouteDefaults sets the values of missing keys and tables, if the file has routes.
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

// setDefaults sets the values of a route's missing keys.
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

// maxBufferedBytes is the largest value in bytes of Route.MaxBufferedBody and MaxBufferedResponse.
const maxBufferedBytes = 1 << 20
