package scenario

import (
	"fmt"
	"slices"

	"dunlinsail/internal/stricttoml"
)

// Kinds of events by the keys that they take.
var (
	withDelay = []string{EventLateReports, EventLateMessages, EventDiscoveryDelay, EventLag, EventMaintenance}
	withEnd   = []string{EventDiscoveryDelay, EventDiscoverySilent, EventInstanceFreeze, EventWatchBlocked}
	withEvery = []string{
		EventNeighbour, EventRollingRestart, EventPause, EventInstanceFreeze, EventInstancePartition,
	}
	withInstances = []string{
		EventInstanceRestart, EventInstanceFreeze, EventWatchBlocked, EventPathBlocked, EventLag, EventSurge,
		EventInstancePartition, EventLateMessages, EventHotRestart, EventTenantLimits,
	}
)

// keyOf returns the name of a key of the table that is checked, for its error.
type keyOf func(key string) string

// checkEvent checks the i-th event.
func (s *Scenario) checkEvent(k *stricttoml.Validation, i int) {
	e := &s.Events[i]
	at := func(key string) string { return fmt.Sprintf("event.%d.%s", i, key) }
	kind, known := eventKinds[e.What]
	if !known {
		names := map[string]bool{}
		for name := range eventKinds {
			names[name] = true
		}
		stricttoml.Enum(k, at("what"), e.What, names)
		return
	}
	k.Require(e.At != nil, at("at"), "is missing")
	k.Require((e.Delay != nil) == slices.Contains(withDelay, e.What), at("delay"),
		"is for late-reports, late-words, stale, lag and work, and needed there")
	k.Require(e.At == nil || e.At.From < s.Length.Duration, at("at"), "it is after the end, %v", s.Length)
	s.checkEventNames(k, e, at)
	checkEventInstances(k, e, at)
	checkEventEndpoints(k, e, at, kind)
	checkEventSize(k, e, at)
	checkEventTraffic(k, e, at)
	checkEventTimes(k, e, at)
}

// checkEventNames checks that what the event names exists.
func (s *Scenario) checkEventNames(k *stricttoml.Validation, e *Event, at keyOf) {
	k.Require(e.Zone == "" || slices.Contains(s.Fleet.Zones, e.Zone), at("zone"), "%q is none of fleet.zones", e.Zone)
	k.Require(e.To == "" || slices.Contains(s.Fleet.Zones, e.To), at("to"), "%q is none of fleet.zones", e.To)
	k.Require(e.Kind == "" || slices.ContainsFunc(s.EndpointKinds,
		func(n EndpointKind) bool { return n.Kind == e.Kind }), at("kind"), "%q is none of the kinds of nodes", e.Kind)
	k.Require(e.Class == "" || slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == e.Class }),
		at("class"), "%q is none of the classes", e.Class)
	k.Require(e.Tenant == "" || slices.ContainsFunc(s.Tenants, func(t Tenant) bool { return t.Name == e.Tenant }),
		at("tenant"), "%q is none of the tenants", e.Tenant)
}

// checkEventInstances checks which instances the event applies to, and in which direction.
func checkEventInstances(k *stricttoml.Validation, e *Event, at keyOf) {
	ofInstances := slices.Contains(withInstances, e.What)
	k.Require(ofInstances || len(e.Instances) == 0, at("instances"), "%q does not happen to instances", e.What)
	checkRange(k, at("instances"), e.Instances, 0, 1)
	k.Require(ofInstances || len(e.Named) == 0, at("named"), "%q does not happen to instances", e.What)
	k.Require(len(e.Named) == 0 || len(e.Instances) == 0, at("named"), "either named or instances")
	k.Require(len(e.Others) == 0 || e.What == EventInstancePartition, at("others"), "is for part only")
	for _, n := range append(slices.Clone(e.Named), e.Others...) {
		k.Require(n >= 0, at("named"), "%d is negative", n)
	}
	stricttoml.Enum(k, at("way"), e.Way, map[string]bool{"": true, WayTo: true, WayFrom: true})
	k.Require(e.Way == "" || e.What == EventPathBlocked || e.What == EventInstancePartition, at("way"),
		"is for sever and part only")
}

// checkEventEndpoints checks which endpoints the event applies to, and whether it has a size.
func checkEventEndpoints(k *stricttoml.Validation, e *Event, at keyOf, kind eventKind) {
	k.Require(kind.endpoints || e.Kind == "", at("kind"), "%q does not happen to endpoints", e.What)
	checkRange(k, at("part"), e.Part, 0, 1)
	k.Require(len(e.Part) == 0 || e.Count == 0, at("count"), "either a part or a count")
	k.Require(e.Count >= 0, at("count"), "%d is negative", e.Count)
	k.Require((len(e.Size) > 0) == (kind.size != ""), at("size"), "%q takes %s", e.What, sizeText(kind.size))
}

// checkEventTraffic checks the keys that select a part of the traffic.
func checkEventTraffic(k *stricttoml.Validation, e *Event, at keyOf) {
	k.Require(e.Class == "" || e.What == EventErrors || e.What == EventSurge, at("class"),
		"is for errors and surge only")
	k.Require(e.Tenant == "" || e.What == EventSurge, at("tenant"), "is for surge only")
	k.Require(!e.One || e.What == EventSurge, at("one"), "is for surge only")
}

// checkEventTimes checks the keys every and for.
func checkEventTimes(k *stricttoml.Validation, e *Event, at keyOf) {
	k.Require(e.Every.Duration == 0 || slices.Contains(withEvery, e.What), at("every"),
		"is for neighbour, pause, rolling, freeze and part only")
	k.Require(e.What != EventRollingRestart || e.Every.Duration > 0, at("every"),
		"is missing: the time from one to the next")
	k.Require(e.What != EventPause || e.For != nil, at("for"), "is missing: how long it stops")
	k.Require(!slices.Contains(withEnd, e.What) || e.For != nil, at("for"), "is missing")
}

// checkEventSize checks the size of an event, whose bounds differ from kind to kind, and the zones of a cut.
func checkEventSize(k *stricttoml.Validation, e *Event, at keyOf) {
	switch e.What {
	case EventSlow, EventFalseReports:
		checkRange(k, at("size"), e.Size, 1, 1000)
	case EventErrors, EventUnanswered, EventRejecting:
		checkRange(k, at("size"), e.Size, 0, 1)
	case EventNeighbour:
		checkRange(k, at("size"), e.Size, 0, 0.99)
	case EventSurge, EventTenantLimits:
		checkRange(k, at("size"), e.Size, 0, 1000)
	case EventDemandOverstated:
		checkRange(k, at("size"), e.Size, 1, 1e9)
	case EventZonePartition:
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
