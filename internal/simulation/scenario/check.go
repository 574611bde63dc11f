package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dunlinsail/internal/stricttoml"
)

// check checks all values of the scenario; each wrong one is an error with its key.
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
