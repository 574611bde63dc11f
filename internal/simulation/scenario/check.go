package scenario

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dunlinsail/internal/stricttoml"
)

// check validates all values of the scenario. It reports each invalid value as an error with the key of the
// value.
func (s *Scenario) check(validation *stricttoml.Validation) {
	validation.Require(s.Name != "", "name", "is missing")
	validation.Require(s.Length.Duration >= time.Second, "length", "%v is under a second", s.Length)
	fleet := &s.Fleet
	validation.Require(len(fleet.Zones) > 0 && len(fleet.Zones) < 255, "fleet.zones", "there must be 1 to 254")
	for i, zone := range fleet.Zones {
		validation.Require(zone != "" && !slices.Contains(fleet.Zones[:i], zone), "fleet.zones",
			"%q is empty or named twice", zone)
	}
	validation.Require(fleet.Instances >= 1 && fleet.Instances <= 100_000, "fleet.instances",
		"%d: must be in 1..100000", fleet.Instances)
	validation.Require(fleet.TrafficShareCV >= 0 && fleet.TrafficShareCV <= 3,
		"fleet.uneven", "%v: must be in 0..3", fleet.TrafficShareCV)
	validation.Require(fleet.ZoneSkew >= 0 && fleet.ZoneSkew <= 1, "fleet.zone_skew", "%v: must be in 0..1",
		fleet.ZoneSkew)
	validation.Require(fleet.SubsetSize >= 0, "fleet.subset", "%d is negative", fleet.SubsetSize)
	network := &s.Network
	validation.Require(network.Jitter >= 0 && network.Jitter <= 10, "network.jitter", "%v: must be in 0..10",
		network.Jitter)
	validation.Require(network.Loss >= 0 && network.Loss < 0.5, "network.loss", "%v: must be in 0..0.5", network.Loss)
	validation.Require(s.Clocks.Drift >= 0 && s.Clocks.Drift < 0.01, "clocks.drift", "%v: must be in 0..0.01",
		s.Clocks.Drift)
	s.checkEndpointKinds(validation)
	s.checkTraffic(validation)
	previous := stricttoml.Duration{Duration: -1}
	for i, point := range s.Shape {
		prefix := fmt.Sprintf("shape.%d.", i)
		validation.Require(point.At.Duration > previous.Duration, prefix+"at", "%v does not come after the one before",
			point.At)
		validation.Require(point.Factor >= 0 && point.Factor <= 1000, prefix+"times", "%v: must be in 0..1000",
			point.Factor)
		previous = point.At
	}
	for i := range s.Events {
		s.checkEvent(validation, i)
	}
	validation.Require(s.Replay == nil || len(s.Replay.From) > 0, "replay.from",
		"is missing: the folders of an access record")
}

// checkRange checks that a range has at most two numbers in ascending order, within the given limits.
func checkRange(validation *stricttoml.Validation, key string, bounds Range, minimum, maximum float64) {
	validation.Require(len(bounds) <= 2, key, "must be a list of one number or of two")
	validation.Require(len(bounds) < 2 || bounds[0] <= bounds[1], key, "its second number is under its first")
	for _, bound := range bounds {
		validation.Require(bound >= minimum && bound <= maximum, key, "%v: must be in %v..%v", bound, minimum, maximum)
	}
}

// checkEndpointKinds checks the tables of the kinds of endpoints ([[nodes]]).
func (s *Scenario) checkEndpointKinds(validation *stricttoml.Validation) {
	validation.Require(len(s.EndpointKinds) > 0, "nodes", "at least one kind is needed")
	seenKinds := map[string]bool{}
	for i := range s.EndpointKinds {
		kind := &s.EndpointKinds[i]
		keyPath := func(key string) string { return fmt.Sprintf("nodes.%d.%s", i, key) }
		validation.Require(kind.Kind != "" && !seenKinds[kind.Kind], keyPath("kind"), "%q is empty or named twice",
			kind.Kind)
		seenKinds[kind.Kind] = true
		validation.Require(kind.Count >= 1 && kind.Count <= 1_000_000, keyPath("count"), "%d: must be in 1..1000000",
			kind.Count)
		for _, zone := range kind.Zones {
			validation.Require(slices.Contains(s.Fleet.Zones, zone), keyPath("zones"), "%q is none of fleet.zones",
				zone)
		}
		validation.Require(kind.Cores >= 1 && kind.Cores <= 1024, keyPath("cores"), "%d: must be in 1..1024",
			kind.Cores)
		checkRange(validation, keyPath("speed"), kind.Speed, 0.001, 1000)
		validation.Require(kind.Queue >= 0, keyPath("queue"), "%d is negative", kind.Queue)
		validation.Require(kind.WarmupFrom > 0 && kind.WarmupFrom <= 1, keyPath("cold_from"),
			"%v: must be in 0..1, not 0", kind.WarmupFrom)
		validation.Require(kind.CollapseLoad == 0 || kind.CollapseLoad >= 1, keyPath("fall"),
			"%v: must be at least 1, or 0 for never",
			kind.CollapseLoad)
		validation.Require(kind.CollapseLoad == 0 || kind.CollapseWindow.Duration > 0, keyPath("fall_after"),
			"is missing")
		stricttoml.Enum(validation, keyPath("cancel"), kind.Cancel,
			map[string]bool{"none": true, "queued": true, "all": true})
		validation.Require(kind.Errors >= 0 && kind.Errors < 1, keyPath("errors"), "%v: must be in 0..1, not 1",
			kind.Errors)
		validation.Require(kind.ContentionLoss >= 0 && kind.ContentionLoss < 1, keyPath("crowd"),
			"%v: must be in 0..1, not 1",
			kind.ContentionLoss)
		validation.Require(kind.ContentionLoss == 0 || kind.ContentionThreshold > 0, keyPath("crowd_at"), "is missing")
		validation.Require(kind.PauseFor.Duration == 0 || kind.PauseEvery.Duration > kind.PauseFor.Duration,
			keyPath("pause_every"),
			"%v is not over pause_for, %v", kind.PauseEvery, kind.PauseFor)
		validation.Require(kind.MaxConnections >= 0, keyPath("connections"), "%d is negative", kind.MaxConnections)
		validation.Require(kind.CellSize >= 1, keyPath("cell"), "%d: must be at least 1", kind.CellSize)
		validation.Require(kind.ReportNoise >= 0 && kind.ReportNoise <= 1,
			keyPath("report_noise"), "%v: must be in 0..1",
			kind.ReportNoise)
	}
}

// checkTraffic checks the tables of classes, tenants and clients.
func (s *Scenario) checkTraffic(validation *stricttoml.Validation) {
	validation.Require(len(s.Classes) > 0, "class", "at least one is needed")
	var shareSum float64
	classNames := map[string]bool{}
	for i, class := range s.Classes {
		keyPath := func(key string) string { return fmt.Sprintf("class.%d.%s", i, key) }
		validation.Require(class.Name != "" && !classNames[class.Name], keyPath("name"), "%q is empty or named twice",
			class.Name)
		classNames[class.Name] = true
		validation.Require(class.Share >= 0 && !math.IsInf(class.Share, 0), keyPath("share"),
			"%v: must not be negative", class.Share)
		shareSum += class.Share
		validation.Require(class.Work.Duration > 0, keyPath("work"), "is missing")
		stricttoml.Enum(validation, keyPath("dist"), class.WorkDistribution,
			map[string]bool{"lognormal": true, "exponential": true, "fixed": true})
		validation.Require(class.WorkCV >= 0 && class.WorkCV <= 10, keyPath("cv"), "%v: must be in 0..10", class.WorkCV)
		validation.Require(class.WorkCV == 0 || class.WorkDistribution == "lognormal",
			keyPath("cv"), "is for \"lognormal\" only")
		validation.Require(class.AttemptWorkCV >= 0 && class.AttemptWorkCV <= 10,
			keyPath("noise"), "%v: must be in 0..10", class.AttemptWorkCV)
	}
	validation.Require(shareSum > 0, "class", "the shares add up to nothing")
	tenantNames := map[string]bool{}
	for i, tenant := range s.Tenants {
		keyPath := func(key string) string { return fmt.Sprintf("tenant.%d.%s", i, key) }
		validation.Require(tenant.Name != "" && !tenantNames[tenant.Name], keyPath("name"),
			"%q is empty or named twice", tenant.Name)
		tenantNames[tenant.Name] = true
		validation.Require(tenant.Share >= 0 && !math.IsInf(tenant.Share, 0), keyPath("share"),
			"%v: must not be negative", tenant.Share)
	}
	clients := &s.Clients
	validation.Require((clients.Load > 0) != (clients.Rate > 0) || s.Replay != nil, "clients.load",
		"one of load and rate must be given, and positive")
	validation.Require(clients.Load >= 0 && clients.Load <= 100, "clients.load", "%v: must be in 0..100", clients.Load)
	validation.Require(clients.Rate >= 0 && clients.Rate <= 1e7, "clients.rate", "%v: must be in 0..10000000",
		clients.Rate)
	validation.Require(clients.Processes >= 1, "clients.processes", "%d: must be at least 1", clients.Processes)
	validation.Require(clients.Retries[0] >= 0 && clients.Retries[1] >= clients.Retries[0] && clients.Retries[1] <= 20,
		"clients.retries",
		"%v: must be two numbers in order, 0..20", clients.Retries)
	checkRange(validation, "clients.try_share", clients.TimeoutShare, 0.01, 1)
	validation.Require(len(clients.TimeoutShare) > 0, "clients.try_share", "is missing")
	for key, value := range map[string]float64{
		"honour_retry_after": clients.HonorRetryAfter,
		"impatient":          clients.EarlyAbort,
		"fresh_keys":         clients.FreshKeys,
	} {
		validation.Require(value >= 0 && value <= 1, "clients."+key, "%v: must be in 0..1", value)
	}
	validation.Require(clients.Objects >= 1, "clients.objects", "%d: must be at least 1", clients.Objects)
}
