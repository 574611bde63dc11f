package config

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/http1msg"
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

	// MinRetryRate is how many retries a second are allowed whatever the budget: 0, or 1 to 1000; nil, where the key is
	// missing, is 1.
	MinRetryRate *float64 `toml:"retry_least"`
}

// RetryWindow is the time over which the pool's budget of further tries holds, with nothing saved up; 0 where the
// pool has no budget of its own.
func (p *Pool) RetryWindow() time.Duration {
	if p.RetryBudget == 0 && p.MinRetryRate == nil {
		return 0
	}
	return time.Second
}

// EffectiveMinRetryRate is how many further tries a second are let go whatever the budget: one without the key, as a
// pool that is seldom asked would have none.
func (p *Pool) EffectiveMinRetryRate() float64 {
	if p.MinRetryRate == nil {
		return 1
	}
	return *p.MinRetryRate
}

// Source tells in words where a pool has its list from.
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

	// MaxBodyHeld is the largest request body that is buffered and can be sent again: default 64KiB, up to 1MiB. Larger
	// ones are streamed.
	MaxBodyHeld stricttoml.Size `toml:"body_hold"`

	// MaxResponse is the largest response body, beyond which it is aborted: at least MaxResponseHeld; 0, the
	// default, is no bound.
	MaxResponse stricttoml.Size `toml:"answer_most"`

	// MaxResponseHeld is the largest response body that is buffered, so that another endpoint's can replace it: default
	// 64KiB, up to 1MiB. Larger ones are streamed.
	MaxResponseHeld stricttoml.Size `toml:"answer_hold"`

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

// The classes that routes without a class need, and that a file without classes has.
const (
	ReadClass  = "read"
	WriteClass = "write"
)

// ForwardedModes are the values of Route.Forwarded.
var ForwardedModes = []string{"as-is", "none", "x-forwarded", "rfc7239"}

// setRouteDefaults sets what the file leaves out, if it has routes.
func (c *Config) setRouteDefaults() {
	if len(c.Routes) == 0 {
		return
	}
	if len(c.Classes) == 0 {
		objective := stricttoml.Duration{Duration: 10 * time.Second}
		timeout := stricttoml.Duration{Duration: 30 * time.Second}
		c.Classes = []Class{
			{Name: ReadClass, Idempotency: "safe", LatencyObjective: objective, ClientTimeout: timeout},
			{Name: WriteClass, Idempotency: "unsafe", LatencyObjective: objective, ClientTimeout: timeout},
		}
	}
	if len(c.Clients) == 0 && c.OtherClients == nil {
		c.OtherClients = &ClientLimits{}
	}
	for i := range c.Listeners {
		if l := &c.Listeners[i]; l.Name == "" {
			l.Name = l.Address
		}
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		r.Forwarded = orDefault(r.Forwarded, ForwardedModes[0])
		for size, without := range map[*stricttoml.Size]int64{&r.MaxBodyHeld: 64 << 10, &r.MaxResponseHeld: 64 << 10} {
			if size.Bytes == 0 {
				size.Bytes = without
			}
		}
		for timeout, without := range map[*stricttoml.Duration]time.Duration{
			&r.IdleTimeout:  30 * time.Second,
			&r.TotalTimeout: 10 * time.Minute,
		} {
			if timeout.Duration == 0 {
				timeout.Duration = without
			}
		}
		if r.ErrorStatuses == nil {
			r.ErrorStatuses = []int{500, 502, 504}
		}
		if r.RejectionStatuses == nil {
			r.RejectionStatuses = []int{429, 503}
		}
	}
}

func orDefault(s, without string) string {
	if s == "" {
		return without
	}
	return s
}

// MaxHeldBytes bounds what may be held of a request's or response's body.
const MaxHeldBytes = 1 << 20

// routes validates pools and routes, and makes the table of routes.
func (k *validator) routes(c *Config) {
	stricttoml.Enum(&k.Validation, "paths.encoded_slash", c.Paths.EncodedSlash,
		map[string]bool{"refuse": true, "keep": true})
	pools := map[string]bool{}
	for i := range c.Pools {
		k.pool(&c.Pools[i], i, pools)
	}
	k.Require(len(c.Pools) == 0 || len(c.Routes) > 0, "pool", "no route leads to a pool: there is no table [[route]]")
	if len(c.Routes) == 0 {
		return
	}
	k.Require(c.Discovery.Address == "", "discovery.address", "with [[route]] it belongs into a [[pool]]")
	k.Require(c.Discovery.Mode == "watch", "discovery.mode", "with [[route]] lists are watched")
	names := map[string]bool{}
	var patterns []route.Pattern
	for i := range c.Routes {
		k.route(c, i, pools, names)
		patterns = append(patterns, c.Routes[i].pattern())
	}
	c.Table = k.routeTable(patterns)
	for i := range c.Routes {
		for key, source := range c.Routes[i].valueSources() {
			if name, ok := strings.CutPrefix(*source, "path:"); ok && c.Table != nil {
				_, known := c.Table.ParameterIndex(i, name)
				k.Require(known, fmt.Sprintf("route.%d.%s", i, key), "the path has no part {%s}", name)
			}
		}
	}
}

// pool validates the pool of an index. names are those of the pools before it.
func (k *validator) pool(p *Pool, i int, names map[string]bool) {
	at := func(key string) string { return fmt.Sprintf("pool.%d.%s", i, key) }
	k.Require(p.Name != "", at("name"), "is missing")
	k.Require(!names[p.Name], at("name"), "%q is named twice", p.Name)
	names[p.Name] = true
	sources := 0
	for _, is := range []bool{p.Endpoints != nil, p.File != "", p.Discovery != ""} {
		if is {
			sources++
		}
	}
	k.Require(sources == 1, at("endpoints"), "exactly one of endpoints, file and discovery must be given, not %d",
		sources)
	if p.Endpoints != nil {
		for j, address := range *p.Endpoints {
			k.Require(hostPort(address, 1), at("endpoints"), "%q is no host:port with a port in 1..65535", address)
			k.Require(!slices.Contains((*p.Endpoints)[:j], address), at("endpoints"), "%q is named twice", address)
		}
	}
	k.Require(p.Discovery == "" || hostPort(p.Discovery, 1), at("discovery"),
		"%q is no host:port with a port in 1..65535", p.Discovery)
	k.Require(p.RetryBudget >= 0 && p.RetryBudget <= 10, at("retry_budget"), "%v: must be in 0..10", p.RetryBudget)
	k.Require(p.EffectiveMinRetryRate() == 0 || p.EffectiveMinRetryRate() >= 1 && p.EffectiveMinRetryRate() <= 1000, at("retry_least"),
		"%v: must be 0 or in 1..1000: a part of a try is none", p.EffectiveMinRetryRate())
}

// pattern returns which requests the route takes.
func (r *Route) pattern() route.Pattern {
	p := route.Pattern{Host: r.Host, Path: r.Path, Methods: r.Methods}
	for name, value := range r.Headers {
		p.Headers = append(p.Headers, route.Header{Name: http.CanonicalHeaderKey(name), Value: value})
	}
	slices.SortFunc(p.Headers, func(a, b route.Header) int { return strings.Compare(a.Name, b.Name) })
	return p
}

// routeTable returns the table of routes, nil if a pattern is invalid or two contradict each other.
func (k *validator) routeTable(patterns []route.Pattern) *route.Table {
	table, err := route.New(patterns)
	var invalid *route.PatternError
	var conflict *route.ConflictError
	switch {
	case errors.As(err, &invalid):
		key := map[string]string{"method": "methods", "header": "headers"}[invalid.Key]
		k.Require(false, fmt.Sprintf("route.%d.%s", invalid.Index, orDefault(key, invalid.Key)), "%s", invalid.Reason)
	case errors.As(err, &conflict):
		k.Require(false, fmt.Sprintf("route.%d", conflict.Second),
			"can take the same request as the route on line %d, and neither is more specific",
			k.Lines[fmt.Sprintf("route.%d", conflict.First)])
	}
	return table
}

func (r *Route) valueSources() map[string]*string {
	return map[string]*string{
		"tenant":   &r.Tenant,
		"object":   &r.Object,
		"key":      &r.Key,
		"id":       &r.ID,
		"deadline": &r.Deadline,
	}
}

// reservedHeaders are set by the program: no edit may change them.
var reservedHeaders = []string{
	"Connection", "Content-Length", "Transfer-Encoding", "Host", "Te", "Trailer", "Upgrade", "Keep-Alive",
}

func (k *validator) route(c *Config, i int, pools, names map[string]bool) {
	r := &c.Routes[i]
	at := func(key string) string { return fmt.Sprintf("route.%d.%s", i, key) }
	k.Require(r.Name == "" || !names[r.Name], at("name"), "%q is named twice", r.Name)
	names[r.Name] = true
	k.Require(pools[r.Pool], at("pool"), "no pool is named %q", r.Pool)
	classes := []string{r.Class}
	if r.Class == "" {
		classes = []string{ReadClass, WriteClass}
	}
	for _, name := range classes {
		j := slices.IndexFunc(c.Classes, func(cl Class) bool { return cl.Name == name })
		if j < 0 {
			k.Require(false, at("class"), "no class is named %q", name)
			continue
		}
		k.Require(c.Classes[j].Idempotency != "keyed" || r.Key != "", at("key"), "is missing: class %q is keyed", name)
	}
	k.valueSources(r, at)
	for name := range r.Headers {
		k.Require(http1msg.IsToken(name), at("headers"), "%q is no name of a header", name)
	}
	k.routeLimits(r, at)
	k.Require(r.ToHost == "" || !strings.ContainsAny(r.ToHost, " /?#@"), at("to_host"), "%q is no host", r.ToHost)
	k.Require(r.StripPrefix == "" || r.prefixIsStrippable(), at("strip_prefix"),
		"%q is no beginning, in whole segments, of path %q", r.StripPrefix, r.Path)
	if r.AddPrefix != "" {
		normal, err := route.NormalizePath(r.AddPrefix, route.KeepEncodedSlashes)
		k.Require(err == nil && normal == r.AddPrefix && !strings.HasSuffix(normal, "/"), at("add_prefix"),
			"%q is no path in normal form without a / at its end", r.AddPrefix)
	}
	stricttoml.Enum(&k.Validation, at("forwarded"), r.Forwarded,
		map[string]bool{"as-is": true, "none": true, "x-forwarded": true, "rfc7239": true})
	k.Require(!r.Trusted || r.Forwarded == "x-forwarded" || r.Forwarded == "rfc7239", at("trusted"),
		"means nothing with forwarded = %q", r.Forwarded)
	for key, e := range map[string]*HeaderEdits{"request": &r.Request, "answer": &r.Response} {
		k.edits(at(key), e)
	}
	for key, source := range map[string]string{"key": r.Key, "id": r.ID, "deadline": r.Deadline} {
		name, _ := strings.CutPrefix(source, "header:")
		k.Require(name == "" || !r.Request.touches(name), at("request"),
			"%s, which %s names, must reach the endpoint as it is", name, key)
	}
}

// valueSources validates where the values of a route's requests come from.
func (k *validator) valueSources(r *Route, at func(string) string) {
	for key, source := range r.valueSources() {
		name, header := strings.CutPrefix(*source, "header:")
		_, path := strings.CutPrefix(*source, "path:")
		fixed := strings.HasPrefix(*source, "=")
		switch {
		case *source == "":
		case header:
			k.Require(http1msg.IsToken(name), at(key), "%q is no name of a header", name)
			k.Require(!slices.Contains(reservedHeaders, http.CanonicalHeaderKey(name)), at(key),
				"%s tells how a message is framed, nothing else", name)
		case key == "key" || key == "id" || key == "deadline":
			k.Require(false, at(key), "%q is no header, as \"header:NAME\"", *source)
		case path, fixed, *source == "client":
		default:
			k.Require(false, at(key), "%q is none of \"header:NAME\", \"path:NAME\", \"client\", \"=NAME\"", *source)
		}
	}
}

// routeLimits validates the limits of a route.
func (k *validator) routeLimits(r *Route, at func(string) string) {
	k.Require(r.MaxAttempts >= 0, at("tries"), "%d is negative", r.MaxAttempts)
	for key, size := range map[string]stricttoml.Size{"body_hold": r.MaxBodyHeld, "answer_hold": r.MaxResponseHeld} {
		k.Require(size.Bytes <= MaxHeldBytes, at(key), "over 1MiB: what is larger streams")
	}
	k.Require(r.MaxResponse.Bytes == 0 || r.MaxResponse.Bytes >= r.MaxResponseHeld.Bytes, at("answer_most"),
		"is under answer_hold")
	k.Require(r.IdleTimeout.Duration <= r.TotalTimeout.Duration, at("idle"), "%v is over whole, %v", r.IdleTimeout,
		r.TotalTimeout)
	for key, codes := range map[string][]int{"errors": r.ErrorStatuses, "full": r.RejectionStatuses} {
		for _, code := range codes {
			k.Require(code >= 400 && code < 600, at(key), "%d is no status in 400..599", code)
		}
	}
}

// prefixIsStrippable reports whether all paths that the route takes start with StripPrefix.
func (r *Route) prefixIsStrippable() bool {
	rest, ok := strings.CutPrefix(r.Path, r.StripPrefix)
	onSegments := strings.HasPrefix(r.StripPrefix, "/") && !strings.HasSuffix(r.StripPrefix, "/")
	fixed := !strings.ContainsAny(r.StripPrefix, "{*")
	return ok && onSegments && fixed && (rest == "" || rest[0] == '/')
}

// touches says whether a header is changed.
func (e *HeaderEdits) touches(name string) bool {
	is := func(other string) bool { return strings.EqualFold(name, other) }
	return slices.ContainsFunc(e.Remove, is) || slices.ContainsFunc(slices.Collect(maps.Keys(e.Set)), is) ||
		slices.ContainsFunc(slices.Collect(maps.Keys(e.Add)), is)
}

func (k *validator) edits(at string, e *HeaderEdits) {
	name := func(key, name string) {
		k.Require(http1msg.IsToken(name), at+"."+key, "%q is no name of a header", name)
		k.Require(!slices.Contains(reservedHeaders, http.CanonicalHeaderKey(name)), at+"."+key,
			"%s is not to be changed", name)
	}
	for _, n := range e.Remove {
		name("remove", n)
	}
	for key, set := range map[string]map[string]string{"set": e.Set, "add": e.Add} {
		for n, v := range set {
			name(key, n)
			k.Require(!strings.ContainsFunc(v, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }),
				at+"."+key, "%q has a control character", v)
		}
	}
}
