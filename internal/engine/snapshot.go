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

// Snapshot is the state of an engine that a successor needs: for each pool its endpoint list and what was learned. It
// refers to endpoints, classes and tenants by name, since numbers differ between engines. A successor with other
// settings skips the parts that do not fit.
//
// Predecessor and successor may be different builds: the names in the tags are the stored form, and never change.
type Snapshot struct {
	Pools   []PoolSnapshot  `json:"Pools"`
	Cordons []cordon.Record `json:"Words"`

	// Fleet is what HandOverCoordination returned; nil is nothing.
	Fleet *quota.State `json:"Fleet,omitempty"`
	// Maintenance is the plan in force, with times relative to the instant of the snapshot; nil is none.
	Maintenance *MaintenancePlan `json:"Order,omitempty"`
}

// Pool returns the snapshot of a pool by its name, or nil.
func (s *Snapshot) Pool(name string) *PoolSnapshot {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// PoolSnapshot is the state of a pool.
type PoolSnapshot struct {
	Name       string         `json:"Name"`
	Source     string         `json:"Source"` // of the endpoint list
	Generation int64          `json:"Generation"`
	Endpoints  []EndpointInfo `json:"Members"` // the full list

	Classes      []LearnedClass         `json:"Classes"`
	Tenants      []LearnedTenant        `json:"Tenants"`
	LearnedNames []string               `json:"Names"` // of the endpoints in Learned, in its order
	Learned      *balancer.LearnedState `json:"Learned"`

	OverloadLevel    float64            `json:"Level"` // of package overload; 0 without overload control
	ConcurrencyLimit float64            `json:"Limit"` // requests in flight; 0 where it is not learned
	UnloadedLatency  map[string]float64 `json:"Alone"` // by class, of requests with hardly any others, in microseconds
}

// LearnedClass is what was learned of a class.
type LearnedClass struct {
	Name         string                `json:"Name"`
	Fingerprint  string                `json:"Meaning"` // of its settings: learned state holds for equal ones only
	ServiceTimes fairqueue.ServiceTime `json:"Times"`
}

// LearnedTenant is a tenant that the learned rates belong to.
type LearnedTenant struct {
	Name        string `json:"Name"`
	Fingerprint string `json:"Meaning"` // of its settings
}

// The stored forms of the settings of a class and of a tenant. Two builds compare them for equality, so the names in
// them are those of the first build that wrote them, and never change.
const (
	classFingerprintFormat = "{Name:%v Repeat:%v Group:%v Window:%v Aim:%v GiveUp:%v " +
		"Worth:%v LateWorth:%v Stream:%v}"
	tenantFingerprintFormat = "{Name:%v Allowance:%v Share:%v}"
)

// classFingerprint identifies the settings of a class.
func classFingerprint(c *balancer.Class) string {
	return fmt.Sprintf(classFingerprintFormat,
		c.Name, c.Idempotency, c.DedupScope, c.DedupWindow, c.LatencyObjective, c.ClientTimeout,
		c.PriorityWeight, c.LateWeight, c.Streaming)
}

// tenantFingerprint identifies the settings of a tenant.
func tenantFingerprint(t *balancer.Tenant) string {
	return fmt.Sprintf(tenantFingerprintFormat, t.Name, t.Quota, t.Share)
}

// Snapshot returns the state of the engine, without Fleet and Maintenance, which its owner adds.
func (eng *Engine) Snapshot(now monotime.Micros) *Snapshot {
	s := &Snapshot{Cordons: eng.cordons.Records()}
	for _, p := range eng.pools {
		if !p.closed {
			s.Pools = append(s.Pools, *p.snapshot(now))
		}
	}
	return s
}

// TransferWarmupBudget leaves the requests that endpoints that are warming up may still get to a successor, which
// restores a snapshot of this instant. With transferred false the engine goes on without a successor: these requests
// then count as sent.
func (eng *Engine) TransferWarmupBudget(now monotime.Micros, transferred bool) {
	for _, p := range eng.pools {
		p.balancer.SetHandedOver(now, transferred)
	}
}

// snapshot returns the state of the pool.
func (p *Pool) snapshot(now monotime.Micros) *PoolSnapshot {
	s := &PoolSnapshot{
		Name:       p.name,
		Source:     p.source,
		Generation: p.generation,
		Endpoints:  p.sortedEndpoints(),
		Learned:    p.balancer.LearnedState(now),
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
		limit, unloaded := p.concurrency.Learned()
		s.ConcurrencyLimit = limit
		s.UnloadedLatency = map[string]float64{}
		for i, name := range p.engine.config.Site.Classes {
			s.UnloadedLatency[name] = unloaded[i]
		}
	}
	return s
}

// sortedEndpoints returns the full endpoint list: by number, or by name where not all of it have numbers.
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

// addLearnedSettings adds the classes with what was learned of them, and the tenants.
func (p *Pool) addLearnedSettings(s *PoolSnapshot) {
	site := p.engine.config.Site
	times := p.queue.ServiceTimes()
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
