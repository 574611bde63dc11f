package scenario

import (
	"fmt"
	"slices"

	"dunlinsail/internal/stricttoml"
)

// The kinds of events that accept or require the keys delay, for, every, and the keys that select instances.
var (
	kindsWithDelay = []string{EventLateReports, EventLateMessages, EventDiscoveryDelay, EventLag, EventMaintenance}
	kindsWithEnd   = []string{EventDiscoveryDelay, EventDiscoverySilent, EventInstanceFreeze, EventWatchBlocked}
	kindsWithEvery = []string{
		EventNeighbour, EventRollingRestart, EventPause, EventInstanceFreeze, EventInstancePartition,
	}
	kindsWithInstances = []string{
		EventInstanceRestart, EventInstanceFreeze, EventWatchBlocked, EventPathBlocked, EventLag, EventSurge,
		EventInstancePartition, EventLateMessages, EventHotRestart, EventTenantLimits,
	}
)

// keyPathFunc returns the full path of a key of the event that is checked, for error messages.
type keyPathFunc func(key string) string

// checkEvent checks the event with the given index.
func (s *Scenario) checkEvent(validation *stricttoml.Validation, index int) {
	event := &s.Events[index]
	keyPath := func(key string) string { return fmt.Sprintf("event.%d.%s", index, key) }
	kind, known := eventKinds[event.What]
	if !known {
		names := map[string]bool{}
		for name := range eventKinds {
			names[name] = true
		}
		stricttoml.Enum(validation, keyPath("what"), event.What, names)
		return
	}
	validation.Require(event.At != nil, keyPath("at"), "is missing")
	validation.Require((event.Delay != nil) == slices.Contains(kindsWithDelay, event.What), keyPath("delay"),
		"is for late-reports, late-words, stale, lag and work, and needed there")
	validation.Require(event.At == nil || event.At.From < s.Length.Duration, keyPath("at"), "it is after the end, %v",
		s.Length)
	s.checkEventNames(validation, event, keyPath)
	checkEventInstances(validation, event, keyPath)
	checkEventEndpoints(validation, event, keyPath, kind)
	checkEventSize(validation, event, keyPath)
	checkEventTraffic(validation, event, keyPath)
	checkEventTimes(validation, event, keyPath)
}

// checkEventNames checks that the zones, kind, class and tenant that an event names exist.
func (s *Scenario) checkEventNames(validation *stricttoml.Validation, event *Event, keyPath keyPathFunc) {
	validation.Require(event.Zone == "" || slices.Contains(s.Fleet.Zones, event.Zone), keyPath("zone"),
		"%q is none of fleet.zones", event.Zone)
	validation.Require(event.OtherZone == "" || slices.Contains(s.Fleet.Zones, event.OtherZone), keyPath("to"),
		"%q is none of fleet.zones", event.OtherZone)
	validation.Require(event.Kind == "" || slices.ContainsFunc(s.EndpointKinds,
		func(kind EndpointKind) bool { return kind.Kind == event.Kind }), keyPath("kind"),
		"%q is none of the kinds of nodes",
		event.Kind)
	validation.Require(event.Class == "" ||
		slices.ContainsFunc(s.Classes, func(class Class) bool { return class.Name == event.Class }),
		keyPath("class"), "%q is none of the classes", event.Class)
	validation.Require(event.Tenant == "" ||
		slices.ContainsFunc(s.Tenants, func(tenant Tenant) bool { return tenant.Name == event.Tenant }),
		keyPath("tenant"), "%q is none of the tenants", event.Tenant)
}

// checkEventInstances checks the keys that select the instances of an event, and its direction.
func checkEventInstances(validation *stricttoml.Validation, event *Event, keyPath keyPathFunc) {
	takesInstances := slices.Contains(kindsWithInstances, event.What)
	validation.Require(takesInstances || len(event.Instances) == 0, keyPath("instances"),
		"%q does not happen to instances", event.What)
	checkRange(validation, keyPath("instances"), event.Instances, 0, 1)
	validation.Require(takesInstances || len(event.InstanceIndexes) == 0,
		keyPath("named"), "%q does not happen to instances",
		event.What)
	validation.Require(len(event.InstanceIndexes) == 0 || len(event.Instances) == 0, keyPath("named"),
		"either named or instances")
	validation.Require(len(event.OtherInstances) == 0 || event.What == EventInstancePartition, keyPath("others"),
		"is for part only")
	for _, number := range append(slices.Clone(event.InstanceIndexes), event.OtherInstances...) {
		validation.Require(number >= 0, keyPath("named"), "%d is negative", number)
	}
	stricttoml.Enum(validation, keyPath("way"), event.Direction,
		map[string]bool{"": true, DirectionTo: true, DirectionFrom: true})
	validation.Require(event.Direction == "" || event.What == EventPathBlocked || event.What == EventInstancePartition,
		keyPath("way"),
		"is for sever and part only")
}

// checkEventEndpoints checks the keys that select the endpoints of an event, and whether its size is present
// where its kind requires one.
func checkEventEndpoints(validation *stricttoml.Validation, event *Event, keyPath keyPathFunc, kind eventKind) {
	validation.Require(kind.appliesToEndpoints || event.Kind == "", keyPath("kind"), "%q does not happen to endpoints",
		event.What)
	checkRange(validation, keyPath("part"), event.Part, 0, 1)
	validation.Require(len(event.Part) == 0 || event.Count == 0, keyPath("count"), "either a part or a count")
	validation.Require(event.Count >= 0, keyPath("count"), "%d is negative", event.Count)
	validation.Require((len(event.Size) > 0) == (kind.sizeMeaning != ""), keyPath("size"), "%q takes %s", event.What,
		sizeRequirement(kind.sizeMeaning))
}

// checkEventTraffic checks the keys that restrict an event to a class, a tenant or one client process.
func checkEventTraffic(validation *stricttoml.Validation, event *Event, keyPath keyPathFunc) {
	validation.Require(event.Class == "" || event.What == EventErrors || event.What == EventSurge, keyPath("class"),
		"is for errors and surge only")
	validation.Require(event.Tenant == "" || event.What == EventSurge, keyPath("tenant"), "is for surge only")
	validation.Require(!event.OneClient || event.What == EventSurge, keyPath("one"), "is for surge only")
}

// checkEventTimes checks the keys every and for of an event.
func checkEventTimes(validation *stricttoml.Validation, event *Event, keyPath keyPathFunc) {
	validation.Require(event.Every.Duration == 0 || slices.Contains(kindsWithEvery, event.What), keyPath("every"),
		"is for neighbour, pause, rolling, freeze and part only")
	validation.Require(event.What != EventRollingRestart || event.Every.Duration > 0, keyPath("every"),
		"is missing: the time from one to the next")
	validation.Require(event.What != EventPause || event.For != nil, keyPath("for"), "is missing: how long it stops")
	validation.Require(!slices.Contains(kindsWithEnd, event.What) || event.For != nil, keyPath("for"), "is missing")
}

// checkEventSize checks the size of an event against the bounds for its kind, and the zones of a zone
// partition.
func checkEventSize(validation *stricttoml.Validation, event *Event, keyPath keyPathFunc) {
	switch event.What {
	case EventSlow, EventFalseReports:
		checkRange(validation, keyPath("size"), event.Size, 1, 1000)
	case EventErrors, EventUnanswered, EventRejecting:
		checkRange(validation, keyPath("size"), event.Size, 0, 1)
	case EventNeighbour:
		checkRange(validation, keyPath("size"), event.Size, 0, 0.99)
	case EventSurge, EventTenantLimits:
		checkRange(validation, keyPath("size"), event.Size, 0, 1000)
	case EventDemandOverstated:
		checkRange(validation, keyPath("size"), event.Size, 1, 1e9)
	case EventZonePartition:
		validation.Require(event.Zone != "", keyPath("zone"), "is missing: which zone is cut off")
		validation.Require(event.OtherZone != event.Zone, keyPath("to"), "a zone cannot be cut off from itself")
	}
}

// sizeRequirement returns the part of an error message that states what size a kind of event requires.
func sizeRequirement(sizeMeaning string) string {
	if sizeMeaning == "" {
		return "no size"
	}
	return "a size: " + sizeMeaning
}
