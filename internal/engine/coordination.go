package engine

import (
	"maps"
	"slices"
	"strings"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Together is what an engine needs to decide with the other instances of its fleet.
type Coordination struct {
	Fleet           coordination.Settings
	Scope           CoordinationScope
	Send            func(to string, w coordination.Word) // carries a word; must not wait, and must not call the engine
	NextIncarnation func() uint64                        // a number at each call that no other process of the name ever had
}

// Uses says what is decided with the others.
type CoordinationScope struct {
	Retries            bool // further attempts: lent, where the overload is decided
	Probes             bool // probes, the same
	TenantLimits       bool // tenants' limits
	OverloadLevel      bool // how much is turned away under overload
	SuspectedEndpoints bool // which endpoints are better left out
}

// together is an engine's part in its fleet.
type fleetCoordinator struct {
	Coordination
	member            *coordination.Member
	localObservations observations.Local
	timer             *timer
	suspicions        map[suspectKey]float64 // what was told last
	tenantBudgets     []string               // budgets of the tenants, in their order; empty is of one without a limit
	requestsOverLimit uint64                 // requests beyond their tenant's limit
}

// suspect is a class of requests at an endpoint, by the name that instances tell one another.
type suspectKey struct {
	endpoint string
	class    int
}

// Join has the engine decide with its fleet from BeginFleet or a Restore of what GiveFleet returned on, or returns the error of settings that make no sense. It
// goes before the first pool.
func (x *Engine) JoinFleet(t Coordination) error {
	m, err := coordination.New(t.Fleet)
	if err != nil {
		return err
	}
	x.fleet = &fleetCoordinator{Coordination: t, member: m, suspicions: map[suspectKey]float64{}}
	m.Sees(x.observe)
	site := x.config.Site
	x.fleet.tenantBudgets = make([]string, len(site.Tenants))
	for i, limit := range site.TenantLimits {
		if limit > 0 {
			x.fleet.tenantBudgets[i] = "tenant/" + site.Tenants[i]
			m.Budget(x.fleet.tenantBudgets[i], limit, false)
		}
	}
	return nil
}

// alone divides tenants' limits by number and place, where nothing is decided with the others.
func (x *Engine) divideLimitsStatically() {
	s := &x.config.Site.Settings
	if !slices.ContainsFunc(x.config.Site.TenantLimits, func(v float64) bool { return v > 0 }) {
		return
	}
	err := x.JoinFleet(Coordination{Fleet: coordination.Settings{Loans: quota.Settings{MaxInstances: max(1, s.Balancers), Position: s.Position, Reserve: 1, RequestInterval: second, LeaseDuration: 4 * second}},
		Send: func(string, coordination.Word) {}, NextIncarnation: func() uint64 { return 1 }})
	if err != nil {
		panic(err) // of our own settings
	}
}

// BeginFleet begins the engine's part in its fleet, as one that no other of its name is beside. It does nothing where that has
// begun, or where there is no fleet.
func (x *Engine) StartCoordination(now monotime.Micros) {
	if t := x.fleet; t != nil && !t.member.Begun() {
		x.now = now
		t.member.Begin(now, t.NextIncarnation())
		x.syncCoordinator(now)
	}
}

// Word takes a word of another instance in.
func (x *Engine) ReceiveFleetMessage(now monotime.Micros, from string, w coordination.Word) {
	if t := x.fleet; t != nil {
		x.now = now
		t.member.Hear(now, from, w)
		x.syncCoordinator(now)
		x.dispatchQueued(now)
	}
}

// GiveFleet leaves the engine's part in its fleet to one that takes its place, and returns what that has to know; nil is nothing.
func (x *Engine) HandOverCoordination(now monotime.Micros) *quota.State {
	t := x.fleet
	if t == nil || !t.member.Begun() {
		return nil
	}
	x.now = now
	s := t.member.Give(now)
	x.syncCoordinator(now)
	return s
}

// RestoreFleet takes the place of another engine that left off so long ago.
func (x *Engine) RestoreCoordination(now, age monotime.Micros, s *quota.State) {
	if t := x.fleet; t != nil && s != nil && !t.member.Begun() {
		x.now = now
		t.member.Restore(now, age, t.NextIncarnation(), s)
		x.syncCoordinator(now)
	}
}

// FleetView returns what is known of the fleet; no where there is none.
func (x *Engine) FleetView(now monotime.Micros) (v coordination.View, yes bool) {
	if x.fleet == nil {
		return v, false
	}
	return x.fleet.member.View(now), true
}

// settle carries the member's words, takes in what all have seen, and has it woken in time.
func (x *Engine) syncCoordinator(now monotime.Micros) {
	t := x.fleet
	for _, o := range t.member.Out() {
		t.Send(o.To, o.Word)
	}
	if all, news := t.member.Told(now); news {
		x.applyObservations(now, &all)
	}
	if !t.member.Begun() {
		x.cancelTimer(t.timer)
		return
	}
	if at := t.member.Next(); t.timer == nil || t.timer.index < 0 || at != t.timer.due {
		x.cancelTimer(t.timer)
		t.timer = x.schedule(max(at, now+1), func(now monotime.Micros) {
			t.member.Tick(now)
			x.syncCoordinator(now)
		})
	}
}

// countsMost is how many counts a word has at most: a datagram is to hold it.
const maxObservedCounts = 32

// sees is what this instance has seen, with what it adds to the budgets that are earned.
func (x *Engine) observe(now monotime.Micros) (s observations.Observations) {
	t := x.fleet
	for _, p := range x.pools {
		l := p.overload
		if l == nil {
			continue
		}
		own, all := l.control.EarnedRetryRate(now)
		t.member.Earn(p.budgetName("further"), own, all)
		if t.Scope.Probes {
			t.member.Budget(p.budgetName("probes"), l.control.FleetProbeRate(), false)
		}
		if t.Scope.OverloadLevel {
			level, load, asked, vain := l.control.TakeObservations()
			s.Levels = append(s.Levels, observations.OverloadLevel{EndpointSet: p.name, Level: level, Load: load, Requests: float64(asked), Failed: float64(vain)})
		}
		p.updateFleetShare(now)
	}
	if t.Scope.SuspectedEndpoints {
		s.Outcomes = t.localObservations.Outcomes(now, maxObservedCounts)
	}
	return s
}

// told takes in what all have seen.
func (x *Engine) applyObservations(now monotime.Micros, all *observations.Aggregate) {
	t := x.fleet
	fresh := map[suspectKey]float64{}
	for _, s := range all.Suspects {
		fresh[suspectKey{s.Endpoint, s.Class}] = s.AvoidProbability
	}
	for _, p := range x.pools {
		if l := p.overload; l != nil && t.Scope.OverloadLevel {
			for _, of := range all.Levels {
				if of.EndpointSet == p.name {
					l.control.ApplySharedLevel(now, of.Level, of.Load)
				}
			}
			p.updateFleetShare(now)
			p.refreshBounds(now)
		}
		for _, name := range slices.Sorted(maps.Keys(p.byName)) { // in their order: what is left to chance must not depend on a map's
			e := p.byName[name]
			for class := range x.config.Site.Settings.Classes {
				key := suspectKey{p.observationKey(name), class}
				if chance := fresh[key]; chance != t.suspicions[key] {
					p.balancer.Suspect(now, e.Number, class, chance)
				}
			}
		}
	}
	t.suspicions = fresh
}

// evidenceOf is the name by which instances tell one another of a pool's endpoint.
func (p *Pool) observationKey(name string) string {
	if p.name == "" {
		return name
	}
	return strings.Join([]string{p.name, name}, "/")
}
