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

// Snapshot is what an engine holds that another which takes its place should know: of each pool the list and what was
// learned, by names, since the numbers of one engine mean nothing to another. Parts that do not fit the other's settings
// are passed over there, part by part.
type Snapshot struct {
	Pools   []PoolSnapshot `json:"Pools"`
	Cordons []cordon.Word  `json:"Words"` // on endpoints by hand

	Fleet       *quota.State     `json:"Fleet,omitempty"` // what GiveFleet returned; nil is nothing
	Maintenance *MaintenancePlan `json:"Order,omitempty"` // what is obeyed of machines out, with times from the snapshot's instant on; nil is nothing
}

// Pool returns what is held of a pool by its name, nil if nothing is.
func (s *Snapshot) Pool(name string) *PoolSnapshot {
	for i := range s.Pools {
		if s.Pools[i].Name == name {
			return &s.Pools[i]
		}
	}
	return nil
}

// PoolSnapshot is what a pool holds.
type PoolSnapshot struct {
	Name       string         `json:"Name"`
	Source     string         `json:"Source"`
	Generation int64          `json:"Generation"`
	Endpoints  []EndpointInfo `json:"Members"`

	Classes      []LearnedClass    `json:"Classes"`
	Tenants      []LearnedTenant   `json:"Tenants"`
	LearnedNames []string          `json:"Names"` // of the endpoints in Learned, in its order
	Learned      *balancer.Learned `json:"Learned"`

	OverloadLevel    float64            `json:"Level"` // of the overload (package overload); 0 where that is not decided
	ConcurrencyLimit float64            `json:"Limit"` // requests in flight; 0 where that is not learned
	UnloadedLatency  map[string]float64 `json:"Alone"` // time of a class's request with hardly any others, in microseconds
}

// ClassLearned is what is known of a class. Meaning tells whether another's class of this name is the same.
type LearnedClass struct {
	Name         string                `json:"Name"`
	Fingerprint  string                `json:"Meaning"`
	ServiceTimes fairqueue.ServiceTime `json:"Times"`
}

// TenantLearned is a tenant of the settings.
type LearnedTenant struct {
	Name        string `json:"Name"`
	Fingerprint string `json:"Meaning"`
}

// The stored forms of a class and of a tenant. Two builds compare them for equality, so the names in them are those of the first
// build that wrote them, and never change.
const (
	classFingerprintFormat  = "{Name:%v Repeat:%v Group:%v Window:%v Aim:%v GiveUp:%v Worth:%v LateWorth:%v Stream:%v}"
	tenantFingerprintFormat = "{Name:%v Allowance:%v Share:%v}"
)

// classMeaning is what a class is, apart from its place.
func classFingerprint(c *balancer.Class) string {
	return fmt.Sprintf(classFingerprintFormat, c.Name, c.Repeat, c.Group, c.Window, c.Aim, c.GiveUp, c.Worth, c.LateWorth, c.Stream)
}

// tenantMeaning is what a tenant is, apart from its place.
func tenantFingerprint(t *balancer.Tenant) string {
	return fmt.Sprintf(tenantFingerprintFormat, t.Name, t.Allowance, t.Share)
}

// Snapshot returns what the engine holds.
func (x *Engine) Snapshot(now monotime.Micros) *Snapshot {
	s := &Snapshot{Cordons: x.cordons.Words()}
	for _, p := range x.pools {
		if !p.closed {
			s.Pools = append(s.Pools, *p.snapshot(now))
		}
	}
	return s
}

// HandOver leaves what cold endpoints may still get to who takes over a snapshot of this instant, or ends that: then what
// they were to get counts as spent.
func (x *Engine) TransferWarmupBudget(now monotime.Micros, yes bool) {
	for _, p := range x.pools {
		p.balancer.HandOver(now, yes)
	}
}

func (p *Pool) snapshot(now monotime.Micros) *PoolSnapshot {
	s := &PoolSnapshot{Name: p.name, Source: p.source, Generation: p.generation, Learned: p.balancer.Learned(now)}
	list := p.endpointList
	if p.subset != nil {
		list = p.subset.endpoints
	}
	for _, m := range list {
		s.Endpoints = append(s.Endpoints, m)
	}
	slices.SortFunc(s.Endpoints, func(a, b EndpointInfo) int {
		if p.subset != nil { // not all of them have numbers
			return strings.Compare(a.Name, b.Name)
		}
		return int(p.byName[a.Name].Number) - int(p.byName[b.Name].Number)
	})
	times := p.queue.ServiceTimes()
	settings := &p.engine.config.Site.Settings
	for i := range settings.Classes {
		s.Classes = append(s.Classes, LearnedClass{p.engine.config.Site.Classes[i], classFingerprint(&settings.Classes[i]), times[i]})
	}
	for i := range settings.Tenants {
		s.Tenants = append(s.Tenants, LearnedTenant{p.engine.config.Site.Tenants[i], tenantFingerprint(&settings.Tenants[i])})
	}
	names := map[uint32]string{}
	for name, e := range p.byName {
		names[e.Number] = name
	}
	s.Learned.Endpoints = slices.DeleteFunc(s.Learned.Endpoints, func(e balancer.LearnedEndpoint) bool { return names[e.ID] == "" })
	for _, e := range s.Learned.Endpoints {
		s.LearnedNames = append(s.LearnedNames, names[e.ID])
	}
	if p.overload != nil {
		s.OverloadLevel = p.overload.control.Level()
	}
	if p.concurrency != nil {
		value, alone := p.concurrency.Learned()
		s.ConcurrencyLimit, s.UnloadedLatency = value, map[string]float64{}
		for i, name := range p.engine.config.Site.Classes {
			s.UnloadedLatency[name] = alone[i]
		}
	}
	return s
}
