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
	all := &http1.Routes{Table: c.Table, Agent: agent(c.Name), Decisive: map[string]bool{}}
	if c.Paths.EncodedSlash == "keep" {
		all.Slashes = route.KeepEncodedSlashes
	}
	for i := range c.Routes {
		all.Routes = append(all.Routes, d.routeOf(c, i, all.Decisive))
	}
	d.front.SetRoutes(all)
}

// agent returns a name as Proxy-Status has it: a token, or a string (RFC 9651).
func agent(name string) string {
	if name != "" && !strings.ContainsFunc(name, func(r rune) bool {
		return !('a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9' || strings.ContainsRune("-_.", r))
	}) && (name[0] < '0' || name[0] > '9') {
		return name
	}
	return "dunlinsaild"
}

// routeOf returns a route as the front takes it, and notes which headers it goes by.
func (d *generation) routeOf(c *config.Config, i int, decisive map[string]bool) http1.Route {
	conf := &c.Routes[i]
	classOf := func(name string) uint8 {
		if conf.Class != "" {
			name = conf.Class
		}
		return uint8(slices.Index(c.Site.Classes, name))
	}
	source := func(text string) http1.Source {
		kind, name, _ := strings.Cut(text, ":")
		switch {
		case text == "":
		case kind == "header":
			name = http.CanonicalHeaderKey(name)
			decisive[name] = true
			return http1.Source{Kind: http1.FromHeader, Name: name}
		case kind == "path":
			place, _ := c.Table.ParameterIndex(i, name)
			return http1.Source{Kind: http1.FromSegment, Segment: place}
		case text == "client":
			return http1.Source{Kind: http1.FromClient}
		default:
			return http1.Source{Kind: http1.Fixed, Name: strings.TrimPrefix(text, "=")}
		}
		return http1.Source{}
	}
	r := http1.Route{
		Name:        conf.Name,
		Pool:        d.pools[conf.Pool].endpoints,
		Safe:        classOf(config.ReadClass),
		Other:       classOf(config.WriteClass),
		Tenant:      source(conf.Tenant),
		Object:      source(conf.Object),
		Key:         source(conf.Key),
		ID:          source(conf.ID),
		Deadline:    source(conf.Deadline),
		Tries:       conf.Tries,
		BodyMost:    conf.BodyMost.Bytes,
		BodyHold:    conf.BodyHold.Bytes,
		Whole:       conf.Whole.Duration,
		Host:        conf.ToHost,
		StripPrefix: conf.StripPrefix,
		AddPrefix:   conf.AddPrefix,
		Trusted:     conf.Trusted,
		Forwarded:   http1.Forwarded(slices.Index(config.Forwarding, conf.Forwarded)),
		Request:     edits(&conf.Request),
		Answer:      edits(&conf.Answer),
	}
	for name := range conf.Headers {
		decisive[http.CanonicalHeaderKey(name)] = true
	}
	rules := func(class uint8) *upstream.Rules {
		settings := &c.Site.Settings.Classes[class]
		x := &upstream.Rules{
			Unsafe: settings.Idempotency == balancer.NonIdempotent,
			Hold:   conf.AnswerHold.Bytes,
			Most:   conf.AnswerMost.Bytes,
			Idle:   conf.Idle.Duration,
			Whole:  conf.Whole.Duration,
			Wait:   c.Classes[class].GiveUp.Duration,
		}
		if r.Deadline.Kind == http1.FromHeader {
			x.Deadline = r.Deadline.Name
		}
		for _, code := range conf.Errors {
			x.Failure[code] = true
		}
		for _, code := range conf.Full {
			x.Full[code] = true
		}
		return x
	}
	r.Rules = rules(r.Safe)
	r.OtherRules = rules(r.Other)
	return r
}

func edits(e *config.Edits) http1.Edits {
	canonical := func(of map[string]string) map[string]string {
		all := map[string]string{}
		for name, v := range of {
			all[http.CanonicalHeaderKey(name)] = v
		}
		return all
	}
	x := http1.Edits{Set: canonical(e.Set), Add: canonical(e.Add)}
	for _, name := range e.Remove {
		x.Remove = append(x.Remove, http.CanonicalHeaderKey(name))
	}
	return x
}
