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
	Pools []PoolSnapshot `json:"Pools"`
	Words []cordon.Word  `json:"Words"` // on endpoints by hand

	Fleet *quota.State `json:"Fleet,omitempty"` // what GiveFleet returned; nil is nothing
	Order *Orders      `json:"Order,omitempty"` // what is obeyed of machines out, with times from the snapshot's instant on; nil is nothing
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
	Name       string   `json:"Name"`
	Source     string   `json:"Source"`
	Generation int64    `json:"Generation"`
	Members    []Member `json:"Members"`

	Classes []ClassLearned    `json:"Classes"`
	Tenants []TenantLearned   `json:"Tenants"`
	Names   []string          `json:"Names"` // of the endpoints in Learned, in its order
	Learned *balancer.Learned `json:"Learned"`

	Level float64            `json:"Level"` // of the overload (package overload); 0 where that is not decided
	Limit float64            `json:"Limit"` // requests in flight; 0 where that is not learned
	Alone map[string]float64 `json:"Alone"` // time of a class's request with hardly any others, in microseconds
}

// ClassLearned is what is known of a class. Meaning tells whether another's class of this name is the same.
type ClassLearned struct {
	Name    string                `json:"Name"`
	Meaning string                `json:"Meaning"`
	Times   fairqueue.ServiceTime `json:"Times"`
}

// TenantLearned is a tenant of the settings.
type TenantLearned struct {
	Name    string `json:"Name"`
	Meaning string `json:"Meaning"`
}

// The stored forms of a class and of a tenant. Two builds compare them for equality, so the names in them are those of the first
// build that wrote them, and never change.
const (
	classForm  = "{Name:%v Repeat:%v Group:%v Window:%v Aim:%v GiveUp:%v Worth:%v LateWorth:%v Stream:%v}"
	tenantForm = "{Name:%v Allowance:%v Share:%v}"
)

// classMeaning is what a class is, apart from its place.
func classMeaning(c *balancer.Class) string {
	return fmt.Sprintf(classForm, c.Name, c.Repeat, c.Group, c.Window, c.Aim, c.GiveUp, c.Worth, c.LateWorth, c.Stream)
}

// tenantMeaning is what a tenant is, apart from its place.
func tenantMeaning(t *balancer.Tenant) string {
	return fmt.Sprintf(tenantForm, t.Name, t.Allowance, t.Share)
}

// Snapshot returns what the engine holds.
func (x *Engine) Snapshot(now monotime.Micros) *Snapshot {
	s := &Snapshot{Words: x.bans.Words()}
	for _, p := range x.pools {
		if !p.closed {
			s.Pools = append(s.Pools, *p.take(now))
		}
	}
	return s
}

// HandOver leaves what cold endpoints may still get to who takes over a snapshot of this instant, or ends that: then what
// they were to get counts as spent.
func (x *Engine) HandOver(now monotime.Micros, yes bool) {
	for _, p := range x.pools {
		p.balancer.HandOver(now, yes)
	}
}

func (p *Pool) take(now monotime.Micros) *PoolSnapshot {
	s := &PoolSnapshot{Name: p.name, Source: p.source, Generation: p.generation, Learned: p.balancer.Learned(now)}
	list := p.list
	if p.narrowed != nil {
		list = p.narrowed.whole
	}
	for _, m := range list {
		s.Members = append(s.Members, m)
	}
	slices.SortFunc(s.Members, func(a, b Member) int {
		if p.narrowed != nil { // not all of them have numbers
			return strings.Compare(a.Name, b.Name)
		}
		return int(p.byName[a.Name].Number) - int(p.byName[b.Name].Number)
	})
	times := p.shares.ServiceTimes()
	settings := &p.engine.config.Site.Settings
	for i := range settings.Classes {
		s.Classes = append(s.Classes, ClassLearned{p.engine.config.Site.Classes[i], classMeaning(&settings.Classes[i]), times[i]})
	}
	for i := range settings.Tenants {
		s.Tenants = append(s.Tenants, TenantLearned{p.engine.config.Site.Tenants[i], tenantMeaning(&settings.Tenants[i])})
	}
	names := map[uint32]string{}
	for name, e := range p.byName {
		names[e.Number] = name
	}
	s.Learned.Endpoints = slices.DeleteFunc(s.Learned.Endpoints, func(e balancer.LearnedEndpoint) bool { return names[e.ID] == "" })
	for _, e := range s.Learned.Endpoints {
		s.Names = append(s.Names, names[e.ID])
	}
	if p.loaded != nil {
		s.Level = p.loaded.control.Level()
	}
	if p.limit != nil {
		value, alone := p.limit.Learned()
		s.Limit, s.Alone = value, map[string]float64{}
		for i, name := range p.engine.config.Site.Classes {
			s.Alone[name] = alone[i]
		}
	}
	return s
}

// Restore takes over what another engine held so long ago, and returns what was passed over. It is meant for one that
// has no request open. A pool takes over from the one of its name, if both have their lists from the same source; the
// list counts if it is not older than its own.
func (x *Engine) Restore(now, age monotime.Micros, s *Snapshot) (passedOver []string) {
	x.now = now
	x.RestoreFleet(now, age, s.Fleet)
	for _, w := range s.Words {
		x.Hear(now, w)
	}
	for _, p := range x.pools {
		from := s.Pool(p.name)
		switch {
		case p.closed || from == nil:
			continue
		case from.Source != p.source:
			passedOver = append(passedOver, fmt.Sprintf("pool %q: its list is that of %s, not of %s", p.name, from.Source, p.source))
			continue
		}
		if from.Generation >= p.generation && !p.config.Listed {
			p.members(now, Told{Kind: balancer.ListCached, Generation: from.Generation, Members: from.Members})
		}
		for _, part := range p.restore(now, age, from) {
			if p.name != "" {
				part = fmt.Sprintf("pool %q: %s", p.name, part)
			}
			passedOver = append(passedOver, part)
		}
	}
	x.pump(now)
	return passedOver
}

func (p *Pool) restore(now, age monotime.Micros, s *PoolSnapshot) (passedOver []string) {
	if s.Learned == nil || len(s.Names) != len(s.Learned.Endpoints) || len(s.Learned.Classes) != len(s.Classes) {
		return []string{"all that was learned"}
	}
	if p.loaded != nil && s.Level > 0 {
		p.loaded.control.RestoreLevel(s.Level)
	}
	settings := &p.engine.config.Site.Settings
	l := *s.Learned
	l.Classes, l.Endpoints, l.Tenants = nil, nil, nil
	from := make([]int, 0, len(settings.Classes)+len(settings.Tenants)) // places of our parts among theirs, or -1
	for i, name := range p.engine.config.Site.Classes {
		at := slices.IndexFunc(s.Classes, func(c ClassLearned) bool {
			return c.Name == name && c.Meaning == classMeaning(&settings.Classes[i])
		})
		from = append(from, at)
		if at < 0 {
			passedOver = append(passedOver, "class "+name)
			l.Classes = append(l.Classes, balancer.LearnedClass{})
			continue
		}
		l.Classes = append(l.Classes, s.Learned.Classes[at])
		p.shares.RestoreServiceTime(i, s.Classes[at].Times)
	}
	for i, name := range p.engine.config.Site.Tenants {
		at := slices.IndexFunc(s.Tenants, func(t TenantLearned) bool {
			return t.Name == name && t.Meaning == tenantMeaning(&settings.Tenants[i])
		})
		rate := 0.0
		if at >= 0 && at < len(s.Learned.Tenants) {
			rate = s.Learned.Tenants[at]
		}
		l.Tenants = append(l.Tenants, rate)
		if at >= 0 {
			at += len(s.Classes)
		} else {
			passedOver = append(passedOver, "tenant "+name)
		}
		from = append(from, at)
	}
	for i, e := range s.Learned.Endpoints {
		own := p.byName[s.Names[i]]
		if own == nil {
			continue // gone since
		}
		e.ID = own.Number
		theirs := e.Parts
		e.Parts = make([]balancer.Ejection, len(from))
		for i, at := range from {
			if at >= 0 && at < len(theirs) {
				e.Parts[i] = theirs[at]
			}
		}
		l.Endpoints = append(l.Endpoints, e)
	}
	p.balancer.Restore(now, age, &l)
	if p.limit != nil {
		alone := make([]float64, len(p.engine.config.Site.Classes))
		for i, name := range p.engine.config.Site.Classes {
			if from[i] >= 0 {
				alone[i] = s.Alone[name]
			}
		}
		p.limit.Restore(now, s.Limit, alone)
	}
	return passedOver
}
