package engine

import (
	"fmt"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Snapshot is the state that an engine passes to its successor: the endpoint list and learned state of each
// pool, and the cordons. It refers to endpoints, classes and tenants by name, since their numbers differ
// between engines. A successor with different settings skips the parts that do not match.
//
// Predecessor and successor may be different builds, so the names in the struct tags, which are the stored
// form, never change.
type Snapshot struct {
	Pools   []PoolSnapshot  `json:"Pools"`
	Cordons []cordon.Record `json:"Words"`

	// Fleet is the result of HandOverCoordination; nil if nothing is handed over.
	Fleet *quota.State `json:"Fleet,omitempty"`
	// Maintenance is the maintenance plan in force, with times relative to the instant of the snapshot; nil
	// without a plan.
	Maintenance *MaintenancePlan `json:"Order,omitempty"`
	// ReservedIDs are the IDs of requests that are open or may still run.
	ReservedIDs []ReservedID `json:"ReservedIDs,omitempty"`
}

// Pool returns the snapshot of the pool with a given name, or nil.
func (s *Snapshot) Pool(name string) *PoolSnapshot {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// PoolSnapshot is the state of a pool in a Snapshot.
type PoolSnapshot struct {
	Name       string         `json:"Name"`
	Source     string         `json:"Source"` // origin of the endpoint list
	Generation int64          `json:"Generation"`
	Endpoints  []EndpointInfo `json:"Members"` // full endpoint list, also with a subset

	Classes      []LearnedClass         `json:"Classes"`
	Tenants      []LearnedTenant        `json:"Tenants"`
	LearnedNames []string               `json:"Names"` // names of Learned.Endpoints, in the same order
	Learned      *balancer.LearnedState `json:"Learned"`

	OverloadLevel    float64            `json:"Level"` // level of package overload; 0 without overload control
	ConcurrencyLimit float64            `json:"Limit"` // learned limit of requests in flight; 0 if it is not learned
	UnloadedLatency  map[string]float64 `json:"Alone"` // latency by class at very low load, in microseconds
}

// LacksCells reports whether the cell of an endpoint is not known. The complete list may state it: an earlier build
// does not store whether a cell 0 is known.
func (s *PoolSnapshot) LacksCells() bool {
	return slices.ContainsFunc(s.Endpoints, func(info EndpointInfo) bool { return !info.HasCell() })
}

// LearnedClass identifies a class and has the service times learned for it.
type LearnedClass struct {
	Name         string                `json:"Name"`
	Fingerprint  string                `json:"Meaning"` // learned state is valid only if it is equal
	ServiceTimes fairqueue.ServiceTime `json:"Times"`
}

// LearnedTenant identifies a tenant whose request rate is in PoolSnapshot.Learned.
type LearnedTenant struct {
	Name        string `json:"Name"`
	Fingerprint string `json:"Meaning"` // the rate is valid only if it is equal
}

// Formats of the fingerprints of a class's and a tenant's settings. Two builds compare fingerprints for
// equality, so the field names in the formats remain those of the first build that wrote them.
const (
	classFingerprintFormat = "{Name:%v Repeat:%v Group:%v Window:%v Aim:%v GiveUp:%v " +
		"Worth:%v LateWorth:%v Stream:%v}"
	tenantFingerprintFormat = "{Name:%v Allowance:%v Share:%v}"
)

// classFingerprint returns a text that identifies the settings of a class.
func classFingerprint(c *balancer.Class) string {
	return fmt.Sprintf(classFingerprintFormat,
		c.Name, c.Idempotency, c.DedupScope, c.DedupWindow, c.LatencyObjective, c.ClientTimeout,
		c.PriorityWeight, c.LateWeight, c.Streaming)
}

// tenantFingerprint returns a text that identifies the settings of a tenant.
func tenantFingerprint(t *balancer.Tenant) string {
	return fmt.Sprintf(tenantFingerprintFormat, t.Name, t.Quota, t.Share)
}

// Snapshot returns the state of the engine for a successor. The caller adds Fleet and Maintenance.
func (eng *Engine) Snapshot(now monotime.Micros) *Snapshot {
	s := &Snapshot{Cordons: eng.cordons.Records(), ReservedIDs: eng.reservedIDs(now)}
	for _, p := range eng.pools {
		if !p.closed {
			s.Pools = append(s.Pools, *p.snapshot(now))
		}
	}
	return s
}

// TransferWarmupBudget transfers the remaining warm-up budget, the requests that may still be sent to endpoints
// that are warming up, to a successor that restores a snapshot of the same instant. If transferred is false,
// the engine continues without a successor, and these requests count as sent, since the successor may have sent
// them.
func (eng *Engine) TransferWarmupBudget(now monotime.Micros, transferred bool) {
	for _, p := range eng.pools {
		p.balancer.SetHandedOver(now, transferred)
	}
}

// snapshot returns the pool's state for a successor.
func (p *Pool) snapshot(now monotime.Micros) *PoolSnapshot {
	s := &PoolSnapshot{
		Name:       p.name,
		Source:     p.source,
		Generation: p.generation,
		Endpoints:  p.sortedEndpoints(),
		Learned:    p.balancer.LearnedState(now),
	}
	if p.dedupGroups.source != p.source { // the endpoints are still those of the source before
		for i := range s.Endpoints {
			s.Endpoints[i].dropGroups()
		}
	}
	p.addLearnedSettings(s)
	names := map[uint32]string{}
	for name, e := range p.byName {
		names[e.Number] = name
	}
	s.Learned.Endpoints = slices.DeleteFunc(s.Learned.Endpoints, func(e balancer.LearnedEndpoint) bool {
		return names[e.ID] == ""
	})
	for _, e := range s.Learned.Endpoints {
		s.LearnedNames = append(s.LearnedNames, names[e.ID])
	}
	if p.overload != nil {
		s.OverloadLevel = p.overload.controller.Level()
	}
	if p.concurrency != nil {
		limit, unloaded := p.concurrency.LearnedState()
		s.ConcurrencyLimit = limit
		s.UnloadedLatency = map[string]float64{}
		for i, name := range p.engine.config.Site.Classes {
			s.UnloadedLatency[name] = unloaded[i]
		}
	}
	return s
}

// sortedEndpoints returns the full endpoint list, sorted by number or, with a subset, by name, since endpoints
// outside the subset have no numbers.
func (p *Pool) sortedEndpoints() []EndpointInfo {
	var endpoints []EndpointInfo
	for _, info := range p.fullEndpointList() {
		endpoints = append(endpoints, info)
	}
	slices.SortFunc(endpoints, func(a, b EndpointInfo) int {
		if p.subset != nil {
			return strings.Compare(a.Name, b.Name)
		}
		return int(p.byName[a.Name].Number) - int(p.byName[b.Name].Number)
	})
	return endpoints
}

// addLearnedSettings adds the classes with their learned service times, and the tenants.
func (p *Pool) addLearnedSettings(s *PoolSnapshot) {
	site := p.engine.config.Site
	times := p.queue.requests.ServiceTimes()
	for i := range site.Settings.Classes {
		s.Classes = append(s.Classes, LearnedClass{
			Name:         site.Classes[i],
			Fingerprint:  classFingerprint(&site.Settings.Classes[i]),
			ServiceTimes: times[i],
		})
	}
	for i := range site.Settings.Tenants {
		s.Tenants = append(s.Tenants, LearnedTenant{
			Name:        site.Tenants[i],
			Fingerprint: tenantFingerprint(&site.Settings.Tenants[i]),
		})
	}
}
