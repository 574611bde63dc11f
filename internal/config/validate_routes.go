package config

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"

	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/http1msg"
	"dunlinsail/internal/stricttoml"
)

// routes validates pools and routes, and sets the table of routes.
func (v *validator) routes(c *Config) {
	stricttoml.Enum(&v.Validation, "paths.encoded_slash", c.Paths.EncodedSlash,
		map[string]bool{"refuse": true, "keep": true})
	pools := map[string]bool{}
	for i := range c.Pools {
		v.pool(&c.Pools[i], i, pools)
	}
	v.Require(len(c.Pools) == 0 || len(c.Routes) > 0, "pool", "no route leads to a pool: there is no table [[route]]")
	if len(c.Routes) == 0 {
		return
	}
	v.Require(c.Discovery.Address == "", "discovery.address", "with [[route]] it belongs into a [[pool]]")
	v.Require(c.Discovery.Mode == "watch", "discovery.mode", "with [[route]] lists are watched")
	names := map[string]bool{}
	var patterns []route.Pattern
	for i := range c.Routes {
		v.route(c, i, pools, names)
		patterns = append(patterns, c.Routes[i].pattern())
	}
	c.Table = v.routeTable(patterns)
	for i := range c.Routes {
		for key, source := range c.Routes[i].valueSources() {
			if name, ok := strings.CutPrefix(*source, "path:"); ok && c.Table != nil {
				_, known := c.Table.ParameterIndex(i, name)
				v.Require(known, fmt.Sprintf("route.%d.%s", i, key), "the path has no part {%s}", name)
			}
		}
	}
}

// pool validates the pool with index i. names has the names of the pools before it, to which its name is added.
func (v *validator) pool(p *Pool, i int, names map[string]bool) {
	keyAt := func(key string) string { return fmt.Sprintf("pool.%d.%s", i, key) }
	v.Require(p.Name != "", keyAt("name"), "is missing")
	v.Require(!names[p.Name], keyAt("name"), "%q is named twice", p.Name)
	names[p.Name] = true
	sources := 0
	for _, isSet := range []bool{p.Endpoints != nil, p.File != "", p.Discovery != ""} {
		if isSet {
			sources++
		}
	}
	v.Require(sources == 1, keyAt("endpoints"), "exactly one of endpoints, file and discovery must be given, not %d",
		sources)
	if p.Endpoints != nil {
		for j, address := range *p.Endpoints {
			v.Require(isHostPort(address, 1), keyAt("endpoints"), "%q is no host:port with a port in 1..65535", address)
			v.Require(!slices.Contains((*p.Endpoints)[:j], address), keyAt("endpoints"), "%q is named twice", address)
		}
	}
	v.Require(p.Discovery == "" || isHostPort(p.Discovery, 1), keyAt("discovery"),
		"%q is no host:port with a port in 1..65535", p.Discovery)
	v.Require(p.RetryBudget >= 0 && p.RetryBudget <= 10, keyAt("retry_budget"), "%v: must be in 0..10", p.RetryBudget)
	minRate := p.EffectiveMinRetryRate()
	v.Require(minRate == 0 || minRate >= 1 && minRate <= 1000, keyAt("retry_least"),
		"%v: must be 0 or in 1..1000: a fraction of a retry is not possible", minRate)
}

// pattern returns the pattern that requests must match for the route.
func (r *Route) pattern() route.Pattern {
	pattern := route.Pattern{Host: r.Host, Path: r.Path, Methods: r.Methods}
	for name, value := range r.Headers {
		pattern.Headers = append(pattern.Headers,
			route.HeaderCondition{Name: http.CanonicalHeaderKey(name), Value: value})
	}
	slices.SortFunc(pattern.Headers, func(a, b route.HeaderCondition) int { return strings.Compare(a.Name, b.Name) })
	return pattern
}

// routeTable returns the table of routes. It returns nil if a pattern is invalid or two patterns conflict.
func (v *validator) routeTable(patterns []route.Pattern) *route.Table {
	table, err := route.New(patterns)
	var invalid *route.PatternError
	var conflict *route.ConflictError
	switch {
	case errors.As(err, &invalid):
		key := map[string]string{"method": "methods", "header": "headers"}[invalid.Key]
		v.Require(false, fmt.Sprintf("route.%d.%s", invalid.Index, cmp.Or(key, invalid.Key)), "%s", invalid.Reason)
	case errors.As(err, &conflict):
		v.Require(false, fmt.Sprintf("route.%d", conflict.Second),
			"can take the same request as the route on line %d, and neither is more specific",
			v.Lines[fmt.Sprintf("route.%d", conflict.First)])
	}
	return table
}

// valueSources returns pointers to the fields that state where values of a request are read from, by key.
func (r *Route) valueSources() map[string]*string {
	return map[string]*string{
		"tenant":   &r.TenantSource,
		"object":   &r.ObjectSource,
		"key":      &r.Key,
		"id":       &r.ID,
		"deadline": &r.Deadline,
	}
}

// reservedHeaders are headers that define the framing of a message or the state of one connection. HeaderEdits must
// not change them.
var reservedHeaders = []string{
	"Connection", "Content-Length", "Transfer-Encoding", "Host", "Te", "Trailer", "Upgrade", "Keep-Alive",
}

// route validates the route with index i. pools has the names of all pools, and names the names of the routes
// before it, to which its name is added.
func (v *validator) route(c *Config, i int, pools, names map[string]bool) {
	r := &c.Routes[i]
	keyAt := func(key string) string { return fmt.Sprintf("route.%d.%s", i, key) }
	v.Require(r.Name == "" || !names[r.Name], keyAt("name"), "%q is named twice", r.Name)
	names[r.Name] = true
	v.Require(pools[r.Pool], keyAt("pool"), "no pool is named %q", r.Pool)
	v.routeClasses(c, r, keyAt)
	v.valueSources(r, keyAt)
	for name := range r.Headers {
		v.Require(http1msg.IsToken(name), keyAt("headers"), "%q is no name of a header", name)
	}
	v.routeLimits(r, keyAt)
	v.routeRewrites(r, keyAt)
}

// routeClasses validates that the classes of the route's requests exist, and that the route has an idempotency key
// for keyed classes.
func (v *validator) routeClasses(c *Config, r *Route, keyAt func(string) string) {
	classes := []string{r.Class}
	if r.Class == "" {
		classes = []string{ReadClass, WriteClass}
	}
	for _, name := range classes {
		index := slices.IndexFunc(c.Classes, func(cl Class) bool { return cl.Name == name })
		if index < 0 {
			v.Require(false, keyAt("class"), "no class is named %q", name)
			continue
		}
		v.Require(c.Classes[index].Idempotency != "keyed" || r.Key != "", keyAt("key"), "is missing: class %q is keyed",
			name)
	}
}

// routeRewrites validates the changes that the route makes to forwarded requests and responses.
func (v *validator) routeRewrites(r *Route, keyAt func(string) string) {
	v.Require(r.HostRewrite == "" || !strings.ContainsAny(r.HostRewrite, " /?#@"),
		keyAt("to_host"), "%q is no host", r.HostRewrite)
	v.Require(r.StripPrefix == "" || r.prefixIsStrippable(), keyAt("strip_prefix"),
		"%q is no beginning, in whole segments, of path %q", r.StripPrefix, r.Path)
	if r.AddPrefix != "" {
		normalized, err := route.NormalizePath(r.AddPrefix, route.KeepEncodedSlashes)
		v.Require(err == nil && normalized == r.AddPrefix && !strings.HasSuffix(normalized, "/"), keyAt("add_prefix"),
			"%q is no path in normal form without a / at its end", r.AddPrefix)
	}
	stricttoml.Enum(&v.Validation, keyAt("forwarded"), r.Forwarded,
		map[string]bool{"as-is": true, "none": true, "x-forwarded": true, "rfc7239": true})
	v.Require(!r.TrustForwarded || r.Forwarded == "x-forwarded" || r.Forwarded == "rfc7239", keyAt("trusted"),
		"means nothing with forwarded = %q", r.Forwarded)
	for key, edits := range map[string]*HeaderEdits{
		"request": &r.RequestHeaderEdits, "answer": &r.ResponseHeaderEdits,
	} {
		v.headerEdits(keyAt(key), edits)
	}
	for key, source := range map[string]string{"key": r.Key, "id": r.ID, "deadline": r.Deadline} {
		name, _ := strings.CutPrefix(source, "header:")
		v.Require(name == "" || !r.RequestHeaderEdits.changesHeader(name), keyAt("request"),
			"%s, which %s names, must reach the endpoint as it is", name, key)
	}
}

// valueSources validates the fields that state where values of the route's requests are read from.
func (v *validator) valueSources(r *Route, keyAt func(string) string) {
	for key, source := range r.valueSources() {
		name, isHeader := strings.CutPrefix(*source, "header:")
		_, isPath := strings.CutPrefix(*source, "path:")
		isConstant := strings.HasPrefix(*source, "=")
		switch {
		case *source == "":
		case isHeader:
			v.Require(http1msg.IsToken(name), keyAt(key), "%q is no name of a header", name)
			v.Require(!slices.Contains(reservedHeaders, http.CanonicalHeaderKey(name)), keyAt(key),
				"%s tells how a message is framed, nothing else", name)
		case key == "key" || key == "id" || key == "deadline":
			v.Require(false, keyAt(key), "%q is no header, as \"header:NAME\"", *source)
		case isPath, isConstant, *source == "client":
		default:
			v.Require(false, keyAt(key), "%q is none of \"header:NAME\", \"path:NAME\", \"client\", \"=NAME\"", *source)
		}
	}
}

// routeLimits validates the limits and statuses of a route.
func (v *validator) routeLimits(r *Route, keyAt func(string) string) {
	v.Require(r.MaxAttempts >= 0, keyAt("tries"), "%d is negative", r.MaxAttempts)
	for key, size := range map[string]stricttoml.Size{
		"body_hold":   r.MaxBufferedBody,
		"answer_hold": r.MaxBufferedResponse,
	} {
		v.Require(size.Bytes <= maxBufferedBytes, keyAt(key), "over 1MiB: what is larger streams")
	}
	v.Require(r.MaxResponse.Bytes == 0 || r.MaxResponse.Bytes >= r.MaxBufferedResponse.Bytes, keyAt("answer_most"),
		"is under answer_hold")
	v.Require(r.IdleTimeout.Duration <= r.TotalTimeout.Duration, keyAt("idle"), "%v is over whole, %v", r.IdleTimeout,
		r.TotalTimeout)
	for key, codes := range map[string][]int{"errors": r.ErrorStatuses, "full": r.RejectionStatuses} {
		for _, status := range codes {
			v.Require(status >= 400 && status < 600, keyAt(key), "%d is no status in 400..599", status)
		}
	}
}

// prefixIsStrippable reports whether every path that the route matches starts with the segments of StripPrefix.
func (r *Route) prefixIsStrippable() bool {
	rest, hasPrefix := strings.CutPrefix(r.Path, r.StripPrefix)
	hasCompleteSegments := strings.HasPrefix(r.StripPrefix, "/") && !strings.HasSuffix(r.StripPrefix, "/")
	isConstant := !strings.ContainsAny(r.StripPrefix, "{*")
	return hasPrefix && hasCompleteSegments && isConstant && (rest == "" || rest[0] == '/')
}

// changesHeader reports whether the edits change the header called name.
func (edits *HeaderEdits) changesHeader(name string) bool {
	isName := func(other string) bool { return strings.EqualFold(name, other) }
	return slices.ContainsFunc(edits.Remove, isName) ||
		slices.ContainsFunc(slices.Collect(maps.Keys(edits.Set)), isName) ||
		slices.ContainsFunc(slices.Collect(maps.Keys(edits.Add)), isName)
}

// headerEdits validates changes of headers, whose table in the file has the key tableKey.
func (v *validator) headerEdits(tableKey string, edits *HeaderEdits) {
	checkName := func(key, checkName string) {
		v.Require(http1msg.IsToken(checkName), tableKey+"."+key, "%q is no name of a header", checkName)
		v.Require(!slices.Contains(reservedHeaders, http.CanonicalHeaderKey(checkName)), tableKey+"."+key,
			"%s is not to be changed", checkName)
	}
	for _, headerName := range edits.Remove {
		checkName("remove", headerName)
	}
	for key, headers := range map[string]map[string]string{"set": edits.Set, "add": edits.Add} {
		for headerName, value := range headers {
			checkName(key, headerName)
			v.Require(!strings.ContainsFunc(value, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }),
				tableKey+"."+key, "%q has a control character", value)
		}
	}
}
