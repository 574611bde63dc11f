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

// setRoutes sets the routes of the frontend from a configuration.
func (g *generation) setRoutes(c *config.Config) {
	if len(c.Routes) == 0 {
		g.frontend.SetRoutes(nil)
		return
	}
	routes := &http1.Routes{Table: c.Table, ProxyName: proxyName(c.Name), SingletonHeaders: map[string]bool{}}
	if c.Paths.EncodedSlash == "keep" {
		routes.EncodedSlashes = route.KeepEncodedSlashes
	}
	for i := range c.Routes {
		routes.Routes = append(routes.Routes, g.newRoute(c, i, routes.SingletonHeaders))
	}
	g.frontend.SetRoutes(routes)
}

// proxyName returns the name of the instance for the Proxy-Status header, where it is a token (RFC 9651). It
// returns "dunlinsaild" for a name that does not consist of ASCII letters, digits, "-", "_" and ".", and for an
// empty name or one that starts with a digit.
func proxyName(name string) string {
	if name != "" && !strings.ContainsFunc(name, func(char rune) bool {
		return !('a' <= char && char <= 'z' || 'A' <= char && char <= 'Z' || '0' <= char && char <= '9' ||
			strings.ContainsRune("-_.", char))
	}) && (name[0] < '0' || name[0] > '9') {
		return name
	}
	return "dunlinsaild"
}

// newRoute returns the i-th route of the configuration in the form that the frontend takes. It adds to
// singletonHeaders the headers that the route matches or takes values from: a request must not repeat any of
// them.
func (g *generation) newRoute(c *config.Config, i int, singletonHeaders map[string]bool) http1.Route {
	conf := &c.Routes[i]
	classIndex := func(className string) uint8 {
		if conf.Class != "" {
			className = conf.Class
		}
		return uint8(slices.Index(c.Site.Classes, className))
	}
	valueSource := func(text string) http1.ValueSource {
		sourceKind, name, _ := strings.Cut(text, ":")
		switch {
		case text == "":
		case sourceKind == "header":
			name = http.CanonicalHeaderKey(name)
			singletonHeaders[name] = true
			return http1.ValueSource{Kind: http1.FromHeader, Name: name}
		case sourceKind == "path":
			segment, _ := c.Table.ParameterIndex(i, name)
			return http1.ValueSource{Kind: http1.FromPathSegment, Segment: segment}
		case text == "client":
			return http1.ValueSource{Kind: http1.FromClientName}
		default:
			return http1.ValueSource{Kind: http1.FixedValue, Name: strings.TrimPrefix(text, "=")}
		}
		return http1.ValueSource{}
	}
	frontendRoute := http1.Route{
		Name:             conf.Name,
		Pool:             g.pools[conf.Pool].corePool,
		SafeClass:        classIndex(config.ReadClass),
		UnsafeClass:      classIndex(config.WriteClass),
		Tenant:           valueSource(conf.TenantSource),
		Object:           valueSource(conf.ObjectSource),
		IdempotencyKey:   valueSource(conf.Key),
		RequestID:        valueSource(conf.ID),
		Deadline:         valueSource(conf.Deadline),
		MaxAttempts:      conf.MaxAttempts,
		MaxBodyBytes:     conf.MaxBody.Bytes,
		MaxBufferedBytes: conf.MaxBufferedBody.Bytes,
		StreamTimeout:    conf.TotalTimeout.Duration,
		HostOverride:     conf.HostRewrite,
		StripPrefix:      conf.StripPrefix,
		AddPrefix:        conf.AddPrefix,
		TrustForwarded:   conf.TrustForwarded,
		ForwardedMode:    http1.ForwardedMode(slices.Index(config.ForwardedModes, conf.Forwarded)),
		RequestEdits:     newHeaderEdits(&conf.RequestHeaderEdits),
		ResponseEdits:    newHeaderEdits(&conf.ResponseHeaderEdits),
	}
	for name := range conf.Headers {
		singletonHeaders[http.CanonicalHeaderKey(name)] = true
	}
	frontendRoute.SafePolicy = newResponsePolicy(c, conf, frontendRoute.SafeClass, frontendRoute.Deadline)
	frontendRoute.UnsafePolicy = newResponsePolicy(c, conf, frontendRoute.UnsafeClass, frontendRoute.Deadline)
	return frontendRoute
}

// newResponsePolicy returns the limits for the responses to a route's requests of one class, and the response
// statuses that count as failures or rejections.
func newResponsePolicy(
	c *config.Config, conf *config.Route, class uint8, deadline http1.ValueSource,
) *upstream.ResponsePolicy {
	classSettings := &c.Site.Settings.Classes[class]
	policy := &upstream.ResponsePolicy{
		NonIdempotent: classSettings.Idempotency == balancer.NonIdempotent,
		MaxBuffered:   conf.MaxBufferedResponse.Bytes,
		MaxBytes:      conf.MaxResponse.Bytes,
		IdleTimeout:   conf.IdleTimeout.Duration,
		BodyTimeout:   conf.TotalTimeout.Duration,
	}
	if deadline.Kind == http1.FromHeader {
		policy.DeadlineHeader = deadline.Name
	}
	for _, status := range conf.ErrorStatuses {
		policy.FailureStatus[status] = true
	}
	for _, status := range conf.RejectionStatuses {
		policy.RejectedStatus[status] = true
	}
	return policy
}

// newHeaderEdits returns configured header edits in the form that the frontend takes, with canonical header
// names.
func newHeaderEdits(configured *config.HeaderEdits) http1.HeaderEdits {
	canonicalNames := func(values map[string]string) map[string]string {
		canonicalized := map[string]string{}
		for name, value := range values {
			canonicalized[http.CanonicalHeaderKey(name)] = value
		}
		return canonicalized
	}
	edits := http1.HeaderEdits{Set: canonicalNames(configured.Set), Add: canonicalNames(configured.Add)}
	for _, name := range configured.Remove {
		edits.Remove = append(edits.Remove, http.CanonicalHeaderKey(name))
	}
	return edits
}
