package daemon

import (
	"net/http"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/config"
	"dunlinsail/internal/decide/route"
	"dunlinsail/internal/frontend/http1"
	"dunlinsail/internal/upstream"
)

// setRoutes sets the frontend's routes from a configuration.
func (d *generation) setRoutes(c *config.Config) {
	if len(c.Routes) == 0 {
		d.front.SetRoutes(nil)
		return
	}
	all := &http1.Routes{Table: c.Table, ProxyName: proxyName(c.Name), SingletonHeaders: map[string]bool{}}
	if c.Paths.EncodedSlash == "keep" {
		all.EncodedSlashes = route.KeepEncodedSlashes
	}
	for i := range c.Routes {
		all.Routes = append(all.Routes, d.routeOf(c, i, all.SingletonHeaders))
	}
	d.front.SetRoutes(all)
}

// proxyName returns the instance's name in Proxy-Status, which is a token there (RFC 9651). A name that is not a token
// of ASCII letters, digits, "-", "_" and "." is replaced by "dunlinsaild".
func proxyName(name string) string {
	if name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("-_.", r))
	}) && (name[0] < '0' || name[0] > '9') {
		return name
	}
	return "dunlinsaild"
}

// routeOf returns the configuration's i-th route as the frontend takes it. It adds the headers that the route matches
// or takes values from to singleton: a request may have each of them once.
func (d *generation) routeOf(c *config.Config, i int, singleton map[string]bool) http1.Route {
	conf := &c.Routes[i]
	classOf := func(name string) uint8 {
		if conf.Class != "" {
			name = conf.Class
		}
		return uint8(slices.Index(c.Site.Classes, name))
	}
	source := func(text string) http1.ValueSource {
		kind, name, _ := strings.Cut(text, ":")
		switch {
		case text == "":
		case kind == "header":
			name = http.CanonicalHeaderKey(name)
			singleton[name] = true
			return http1.ValueSource{Kind: http1.FromHeader, Name: name}
		case kind == "path":
			segment, _ := c.Table.ParameterIndex(i, name)
			return http1.ValueSource{Kind: http1.FromPathSegment, Segment: segment}
		case text == "client":
			return http1.ValueSource{Kind: http1.FromClientName}
		default:
			return http1.ValueSource{Kind: http1.FixedValue, Name: strings.TrimPrefix(text, "=")}
		}
		return http1.ValueSource{}
	}
	r := http1.Route{
		Name:             conf.Name,
		Pool:             d.pools[conf.Pool].endpoints,
		SafeClass:        classOf(config.ReadClass),
		UnsafeClass:      classOf(config.WriteClass),
		Tenant:           source(conf.Tenant),
		Object:           source(conf.Object),
		IdempotencyKey:   source(conf.Key),
		RequestID:        source(conf.ID),
		Deadline:         source(conf.Deadline),
		MaxAttempts:      conf.MaxAttempts,
		MaxBodyBytes:     conf.MaxBody.Bytes,
		MaxBufferedBytes: conf.MaxBufferedBody.Bytes,
		StreamTimeout:    conf.TotalTimeout.Duration,
		HostOverride:     conf.ToHost,
		StripPrefix:      conf.StripPrefix,
		AddPrefix:        conf.AddPrefix,
		TrustForwarded:   conf.Trusted,
		ForwardedMode:    http1.ForwardedMode(slices.Index(config.ForwardedModes, conf.Forwarded)),
		RequestEdits:     headerEdits(&conf.Request),
		ResponseEdits:    headerEdits(&conf.Response),
	}
	for name := range conf.Headers {
		singleton[http.CanonicalHeaderKey(name)] = true
	}
	r.SafePolicy = responsePolicy(c, conf, r.SafeClass, r.Deadline)
	r.UnsafePolicy = responsePolicy(c, conf, r.UnsafeClass, r.Deadline)
	return r
}

// responsePolicy returns the limits of a route's requests of a class, and the statuses that count as failure or
// rejection.
func responsePolicy(
	c *config.Config, conf *config.Route, class uint8, deadline http1.ValueSource,
) *upstream.ResponsePolicy {
	settings := &c.Site.Settings.Classes[class]
	policy := &upstream.ResponsePolicy{
		NonIdempotent:   settings.Idempotency == balancer.NonIdempotent,
		MaxBuffered:     conf.MaxBufferedResponse.Bytes,
		MaxBytes:        conf.MaxResponse.Bytes,
		IdleTimeout:     conf.IdleTimeout.Duration,
		BodyTimeout:     conf.TotalTimeout.Duration,
		ResponseTimeout: c.Classes[class].ClientTimeout.Duration,
	}
	if deadline.Kind == http1.FromHeader {
		policy.DeadlineHeader = deadline.Name
	}
	for _, code := range conf.ErrorStatuses {
		policy.FailureStatus[code] = true
	}
	for _, code := range conf.RejectionStatuses {
		policy.RejectedStatus[code] = true
	}
	return policy
}

// headerEdits returns the configuration's edits of headers as the frontend takes them, with canonical names.
func headerEdits(e *config.HeaderEdits) http1.HeaderEdits {
	canonical := func(values map[string]string) map[string]string {
		all := map[string]string{}
		for name, value := range values {
			all[http.CanonicalHeaderKey(name)] = value
		}
		return all
	}
	edits := http1.HeaderEdits{Set: canonical(e.Set), Add: canonical(e.Add)}
	for _, name := range e.Remove {
		edits.Remove = append(edits.Remove, http.CanonicalHeaderKey(name))
	}
	return edits
}
