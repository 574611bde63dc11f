package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dunlinsail/internal/stricttoml"
)

func (s *Scenario) check(k *stricttoml.Validation) {
	k.Require(s.Name != "", "name", "is missing")
	k.Require(s.Length.Duration >= time.Second, "length", "%v is under a second", s.Length)
	f := &s.Fleet
	k.Require(len(f.Zones) > 0 && len(f.Zones) < 255, "fleet.zones", "there must be 1 to 254")
	for i, z := range f.Zones {
		k.Require(z != "" && !slices.Contains(f.Zones[:i], z), "fleet.zones", "%q is empty or named twice", z)
	}
	k.Require(f.Instances >= 1 && f.Instances <= 100_000, "fleet.instances", "%d: must be in 1..100000", f.Instances)
	k.Require(f.Uneven >= 0 && f.Uneven <= 3, "fleet.uneven", "%v: must be in 0..3", f.Uneven)
	k.Require(f.ZoneSkew >= 0 && f.ZoneSkew <= 1, "fleet.zone_skew", "%v: must be in 0..1", f.ZoneSkew)
	k.Require(f.Subset >= 0, "fleet.subset", "%d is negative", f.Subset)
	n := &s.Network
	k.Require(n.Jitter >= 0 && n.Jitter <= 10, "network.jitter", "%v: must be in 0..10", n.Jitter)
	k.Require(n.Loss >= 0 && n.Loss < 0.5, "network.loss", "%v: must be in 0..0.5", n.Loss)
	k.Require(s.Clocks.Drift >= 0 && s.Clocks.Drift < 0.01, "clocks.drift", "%v: must be in 0..0.01", s.Clocks.Drift)
	s.checkEndpointKinds(k)
	s.checkTraffic(k)
	last := stricttoml.Duration{Duration: -1}
	for i, p := range s.Shape {
		at := fmt.Sprintf("shape.%d.", i)
		k.Require(p.At.Duration > last.Duration, at+"at", "%v does not come after the one before", p.At)
		k.Require(p.Factor >= 0 && p.Factor <= 1000, at+"times", "%v: must be in 0..1000", p.Factor)
		last = p.At
	}
	for i := range s.Events {
		s.checkEvent(k, i)
	}
	k.Require(s.Replay == nil || len(s.Replay.From) > 0, "replay.from", "is missing: the folders of an access record")
}

func checkRange(k *stricttoml.Validation, key string, r Range, minimum, maximum float64) {
	k.Require(len(r) <= 2, key, "must be a list of one number or of two")
	k.Require(len(r) < 2 || r[0] <= r[1], key, "its second number is under its first")
	for _, v := range r {
		k.Require(v >= minimum && v <= maximum, key, "%v: must be in %v..%v", v, minimum, maximum)
	}
}

func (s *Scenario) checkEndpointKinds(k *stricttoml.Validation) {
	k.Require(len(s.EndpointKinds) > 0, "nodes", "at least one kind is needed")
	kinds := map[string]bool{}
	for i := range s.EndpointKinds {
		n := &s.EndpointKinds[i]
		at := func(key string) string { return fmt.Sprintf("nodes.%d.%s", i, key) }
		k.Require(n.Kind != "" && !kinds[n.Kind], at("kind"), "%q is empty or named twice", n.Kind)
		kinds[n.Kind] = true
		k.Require(n.Count >= 1 && n.Count <= 1_000_000, at("count"), "%d: must be in 1..1000000", n.Count)
		for _, z := range n.Zones {
			k.Require(slices.Contains(s.Fleet.Zones, z), at("zones"), "%q is none of fleet.zones", z)
		}
		k.Require(n.Cores >= 1 && n.Cores <= 1024, at("cores"), "%d: must be in 1..1024", n.Cores)
		checkRange(k, at("speed"), n.Speed, 0.001, 1000)
		k.Require(n.Queue >= 0, at("queue"), "%d is negative", n.Queue)
		k.Require(n.WarmupFrom > 0 && n.WarmupFrom <= 1, at("cold_from"), "%v: must be in 0..1, not 0", n.WarmupFrom)
		k.Require(n.CollapseLoad == 0 || n.CollapseLoad >= 1, at("fall"), "%v: must be at least 1, or 0 for never",
			n.CollapseLoad)
		k.Require(n.CollapseLoad == 0 || n.CollapseWindow.Duration > 0, at("fall_after"), "is missing")
		stricttoml.Enum(k, at("cancel"), n.Cancel, map[string]bool{"none": true, "queued": true, "all": true})
		k.Require(n.Errors >= 0 && n.Errors < 1, at("errors"), "%v: must be in 0..1, not 1", n.Errors)
		k.Require(n.ContentionLoss >= 0 && n.ContentionLoss < 1, at("crowd"), "%v: must be in 0..1, not 1",
			n.ContentionLoss)
		k.Require(n.ContentionLoss == 0 || n.ContentionThreshold > 0, at("crowd_at"), "is missing")
		k.Require(n.PauseFor.Duration == 0 || n.PauseEvery.Duration > n.PauseFor.Duration, at("pause_every"),
			"%v is not over pause_for, %v", n.PauseEvery, n.PauseFor)
		k.Require(n.Conns >= 0, at("connections"), "%d is negative", n.Conns)
		k.Require(n.Cell >= 1, at("cell"), "%d: must be at least 1", n.Cell)
		k.Require(n.Noise >= 0 && n.Noise <= 1, at("report_noise"), "%v: must be in 0..1", n.Noise)
	}
}

func (s *Scenario) checkTraffic(k *stricttoml.Validation) {
	k.Require(len(s.Classes) > 0, "class", "at least one is needed")
	var sum float64
	names := map[string]bool{}
	for i, c := range s.Classes {
		at := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		k.Require(c.Name != "" && !names[c.Name], at("name"), "%q is empty or named twice", c.Name)
		names[c.Name] = true
		k.Require(c.Share >= 0 && !math.IsInf(c.Share, 0), at("share"), "%v: must not be negative", c.Share)
		sum += c.Share
		k.Require(c.Work.Duration > 0, at("work"), "is missing")
		stricttoml.Enum(k, at("dist"), c.Dist, map[string]bool{"lognormal": true, "exponential": true, "fixed": true})
		k.Require(c.CV >= 0 && c.CV <= 10, at("cv"), "%v: must be in 0..10", c.CV)
		k.Require(c.CV == 0 || c.Dist == "lognormal", at("cv"), "is for \"lognormal\" only")
		k.Require(c.Noise >= 0 && c.Noise <= 10, at("noise"), "%v: must be in 0..10", c.Noise)
	}
	k.Require(sum > 0, "class", "the shares add up to nothing")
	tenants := map[string]bool{}
	for i, t := range s.Tenants {
		at := func(key string) string { return fmt.Sprintf("tenant.%d.%s", i, key) }
		k.Require(t.Name != "" && !tenants[t.Name], at("name"), "%q is empty or named twice", t.Name)
		tenants[t.Name] = true
		k.Require(t.Share >= 0 && !math.IsInf(t.Share, 0), at("share"), "%v: must not be negative", t.Share)
	}
	c := &s.Clients
	k.Require((c.Load > 0) != (c.Rate > 0) || s.Replay != nil, "clients.load",
		"one of load and rate must be given, and positive")
	k.Require(c.Load >= 0 && c.Load <= 100, "clients.load", "%v: must be in 0..100", c.Load)
	k.Require(c.Rate >= 0 && c.Rate <= 1e7, "clients.rate", "%v: must be in 0..10000000", c.Rate)
	k.Require(c.Processes >= 1, "clients.processes", "%d: must be at least 1", c.Processes)
	k.Require(c.Retries[0] >= 0 && c.Retries[1] >= c.Retries[0] && c.Retries[1] <= 20, "clients.retries",
		"%v: must be two numbers in order, 0..20", c.Retries)
	checkRange(k, "clients.try_share", c.TimeoutShare, 0.01, 1)
	k.Require(len(c.TimeoutShare) > 0, "clients.try_share", "is missing")
	for key, v := range map[string]float64{
		"honour_retry_after": c.HonorRetryAfter,
		"impatient":          c.EarlyAbort,
		"fresh_keys":         c.FreshKeys,
	} {
		k.Require(v >= 0 && v <= 1, "clients."+key, "%v: must be in 0..1", v)
	}
	k.Require(c.Objects >= 1, "clients.objects", "%d: must be at least 1", c.Objects)
}

func (s *Scenario) checkEvent(k *stricttoml.Validation, i int) {
	e := &s.Events[i]
	at := func(key string) string { return fmt.Sprintf("event.%d.%s", i, key) }
	kind, known := eventKinds[e.What]
	if !known {
		words := map[string]bool{}
		for w := range eventKinds {
			words[w] = true
		}
		stricttoml.Enum(k, at("what"), e.What, words)
		return
	}
	k.Require(e.At != nil, at("at"), "is missing")
	k.Require((e.Delay != nil) == (e.What == "late-reports" || e.What == "late-words" || e.What == "stale" ||
		e.What == "lag" || e.What == "work"), at("delay"),
		"is for late-reports, late-words, stale, lag and work, and needed there")
	k.Require(e.At == nil || e.At.From < s.Length.Duration, at("at"), "it is after the end, %v", s.Length)
	k.Require(e.Zone == "" || slices.Contains(s.Fleet.Zones, e.Zone), at("zone"), "%q is none of fleet.zones", e.Zone)
	k.Require(e.To == "" || slices.Contains(s.Fleet.Zones, e.To), at("to"), "%q is none of fleet.zones", e.To)
	k.Require(e.Kind == "" || slices.ContainsFunc(s.EndpointKinds,
		func(n EndpointKind) bool { return n.Kind == e.Kind }), at("kind"), "%q is none of the kinds of nodes", e.Kind)
	k.Require(e.Class == "" || slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == e.Class }),
		at("class"), "%q is none of the classes", e.Class)
	k.Require(e.Tenant == "" || slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == e.Tenant }),
		at("tenant"), "%q is none of the tenants", e.Tenant)
	ofInstances := e.What == "restart" || e.What == "freeze" || e.What == "deaf" || e.What == "sever" ||
		e.What == "lag" || e.What == "surge" || e.What == "part" || e.What == "late-words" || e.What == "upgrade" ||
		e.What == "limits"
	k.Require(ofInstances || len(e.Instances) == 0, at("instances"), "%q does not happen to instances", e.What)
	checkRange(k, at("instances"), e.Instances, 0, 1)
	k.Require(ofInstances || len(e.Named) == 0, at("named"), "%q does not happen to instances", e.What)
	k.Require(len(e.Named) == 0 || len(e.Instances) == 0, at("named"), "either named or instances")
	k.Require(len(e.Others) == 0 || e.What == "part", at("others"), "is for part only")
	for _, n := range append(slices.Clone(e.Named), e.Others...) {
		k.Require(n >= 0, at("named"), "%d is negative", n)
	}
	stricttoml.Enum(k, at("way"), e.Way, map[string]bool{"": true, "to": true, "from": true})
	k.Require(e.Way == "" || e.What == "sever" || e.What == "part", at("way"), "is for sever and part only")
	k.Require(kind.nodes || e.Kind == "", at("kind"), "%q does not happen to endpoints", e.What)
	checkRange(k, at("part"), e.Part, 0, 1)
	k.Require(len(e.Part) == 0 || e.Count == 0, at("count"), "either a part or a count")
	k.Require(e.Count >= 0, at("count"), "%d is negative", e.Count)
	k.Require((len(e.Size) > 0) == (kind.size != ""), at("size"), "%q takes %s", e.What, sizeText(kind.size))
	checkEventSize(k, e, at)
	k.Require(e.Class == "" || e.What == "errors" || e.What == "surge", at("class"), "is for errors and surge only")
	k.Require(e.Tenant == "" || e.What == "surge", at("tenant"), "is for surge only")
	k.Require(!e.One || e.What == "surge", at("one"), "is for surge only")
	k.Require(e.Every.Duration == 0 || e.What == "neighbour" || e.What == "rolling" || e.What == "pause" ||
		e.What == "freeze" || e.What == "part", at("every"), "is for neighbour, pause, rolling, freeze and part only")
	k.Require(e.What != "rolling" || e.Every.Duration > 0, at("every"), "is missing: the time from one to the next")
	k.Require(e.What != "pause" || e.For != nil, at("for"), "is missing: how long it stops")
	k.Require(e.What != "stale" && e.What != "silent" && e.What != "freeze" && e.What != "deaf" || e.For != nil,
		at("for"), "is missing")
}

// checkEventSize checks the size of an event, whose bounds differ from kind to kind, and the zones of a cut.
func checkEventSize(k *stricttoml.Validation, e *Event, at func(key string) string) {
	switch e.What {
	case "slow", "lies":
		checkRange(k, at("size"), e.Size, 1, 1000)
	case "errors", "mute", "full":
		checkRange(k, at("size"), e.Size, 0, 1)
	case "neighbour":
		checkRange(k, at("size"), e.Size, 0, 0.99)
	case "surge", "limits":
		checkRange(k, at("size"), e.Size, 0, 1000)
	case "liar":
		checkRange(k, at("size"), e.Size, 1, 1e9)
	case "cut":
		k.Require(e.Zone != "", at("zone"), "is missing: which zone is cut off")
		k.Require(e.To != e.Zone, at("to"), "a zone cannot be cut off from itself")
	}
}

func sizeText(size string) string {
	if size == "" {
		return "no size"
	}
	return "a size: " + size
}
