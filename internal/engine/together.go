package engine

import (
	"maps"
	"slices"
	"strings"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Together is what an engine needs to decide with the other instances of its fleet.
type Together struct {
	Fleet coordination.Settings
	Uses  Uses
	Tell  func(to string, w coordination.Word) // carries a word; must not wait, and must not call the engine
	Lives func() uint64                        // a number at each call that no other process of the name ever had
}

// Uses says what is decided with the others.
type Uses struct {
	Further  bool // further attempts: lent, where the overload is decided
	Probes   bool // probes, the same
	Tenants  bool // tenants' limits
	Level    bool // how much is turned away under overload
	Suspects bool // which endpoints are better left out
}

// together is an engine's part in its fleet.
type together struct {
	Together
	member  *coordination.Member
	own     observations.Own
	alarm   *alarm
	suspect map[suspect]float64 // what was told last
	tenants []string            // budgets of the tenants, in their order; empty is of one without a limit
	refused uint64              // requests beyond their tenant's limit
}

// suspect is a class of requests at an endpoint, by the name that instances tell one another.
type suspect struct {
	endpoint string
	class    int
}

// Join has the engine decide with its fleet from BeginFleet or a Restore of what GiveFleet returned on, or returns the error of settings that make no sense. It
// goes before the first pool.
func (x *Engine) Join(t Together) error {
	m, err := coordination.New(t.Fleet)
	if err != nil {
		return err
	}
	x.together = &together{Together: t, member: m, suspect: map[suspect]float64{}}
	m.Sees(x.sees)
	site := x.config.Site
	x.together.tenants = make([]string, len(site.Tenants))
	for i, limit := range site.Limits {
		if limit > 0 {
			x.together.tenants[i] = "tenant/" + site.Tenants[i]
			m.Budget(x.together.tenants[i], limit, false)
		}
	}
	return nil
}

// alone divides tenants' limits by number and place, where nothing is decided with the others.
func (x *Engine) alone() {
	s := &x.config.Site.Settings
	if !slices.ContainsFunc(x.config.Site.Limits, func(v float64) bool { return v > 0 }) {
		return
	}
	err := x.Join(Together{Fleet: coordination.Settings{Loans: quota.Settings{Most: max(1, s.Balancers), Place: s.Position, Ready: 1, Every: second, Length: 4 * second}},
		Tell: func(string, coordination.Word) {}, Lives: func() uint64 { return 1 }})
	if err != nil {
		panic(err) // of our own settings
	}
}

// BeginFleet begins the engine's part in its fleet, as one that no other of its name is beside. It does nothing where that has
// begun, or where there is no fleet.
func (x *Engine) BeginFleet(now monotime.Micros) {
	if t := x.together; t != nil && !t.member.Begun() {
		x.now = now
		t.member.Begin(now, t.Lives())
		x.settle(now)
	}
}

// Word takes a word of another instance in.
func (x *Engine) Word(now monotime.Micros, from string, w coordination.Word) {
	if t := x.together; t != nil {
		x.now = now
		t.member.Hear(now, from, w)
		x.settle(now)
		x.pump(now)
	}
}

// GiveFleet leaves the engine's part in its fleet to one that takes its place, and returns what that has to know; nil is nothing.
func (x *Engine) GiveFleet(now monotime.Micros) *quota.State {
	t := x.together
	if t == nil || !t.member.Begun() {
		return nil
	}
	x.now = now
	s := t.member.Give(now)
	x.settle(now)
	return s
}

// RestoreFleet takes the place of another engine that left off so long ago.
func (x *Engine) RestoreFleet(now, age monotime.Micros, s *quota.State) {
	if t := x.together; t != nil && s != nil && !t.member.Begun() {
		x.now = now
		t.member.Restore(now, age, t.Lives(), s)
		x.settle(now)
	}
}

// FleetView returns what is known of the fleet; no where there is none.
func (x *Engine) FleetView(now monotime.Micros) (v coordination.View, yes bool) {
	if x.together == nil {
		return v, false
	}
	return x.together.member.View(now), true
}

// settle carries the member's words, takes in what all have seen, and has it woken in time.
func (x *Engine) settle(now monotime.Micros) {
	t := x.together
	for _, o := range t.member.Out() {
		t.Tell(o.To, o.Word)
	}
	if all, news := t.member.Told(now); news {
		x.told(now, &all)
	}
	if !t.member.Begun() {
		x.callOff(t.alarm)
		return
	}
	if at := t.member.Next(); t.alarm == nil || t.alarm.place < 0 || at != t.alarm.at {
		x.callOff(t.alarm)
		t.alarm = x.at(max(at, now+1), func(now monotime.Micros) {
			t.member.Tick(now)
			x.settle(now)
		})
	}
}

// countsMost is how many counts a word has at most: a datagram is to hold it.
const countsMost = 32

// sees is what this instance has seen, with what it adds to the budgets that are earned.
func (x *Engine) sees(now monotime.Micros) (s observations.Seen) {
	t := x.together
	for _, p := range x.pools {
		l := p.loaded
		if l == nil {
			continue
		}
		own, all := l.control.EarnedRetryRate(now)
		t.member.Earn(p.budget("further"), own, all)
		if t.Uses.Probes {
			t.member.Budget(p.budget("probes"), l.control.FleetProbeRate(), false)
		}
		if t.Uses.Level {
			level, load, asked, vain := l.control.TakeObservations()
			s.Levels = append(s.Levels, observations.Level{Of: p.name, Level: level, Load: load, Asked: float64(asked), Vain: float64(vain)})
		}
		p.lent(now)
	}
	if t.Uses.Suspects {
		s.Counts = t.own.Counts(now, countsMost)
	}
	return s
}

// told takes in what all have seen.
func (x *Engine) told(now monotime.Micros, all *observations.All) {
	t := x.together
	fresh := map[suspect]float64{}
	for _, s := range all.Suspects {
		fresh[suspect{s.Endpoint, s.Class}] = s.Chance
	}
	for _, p := range x.pools {
		if l := p.loaded; l != nil && t.Uses.Level {
			for _, of := range all.Levels {
				if of.Of == p.name {
					l.control.ApplySharedLevel(now, of.Level, of.Load)
				}
			}
			p.lent(now)
			p.rebound(now)
		}
		for _, name := range slices.Sorted(maps.Keys(p.byName)) { // in their order: what is left to chance must not depend on a map's
			e := p.byName[name]
			for class := range x.config.Site.Settings.Classes {
				key := suspect{p.evidenceOf(name), class}
				if chance := fresh[key]; chance != t.suspect[key] {
					p.balancer.Suspect(now, e.Number, class, chance)
				}
			}
		}
	}
	t.suspect = fresh
}

// budget is the name of a pool's budget of a kind.
func (p *Pool) budget(kind string) string {
	if p.name == "" {
		return kind
	}
	return kind + "/" + p.name
}

// evidenceOf is the name by which instances tell one another of a pool's endpoint.
func (p *Pool) evidenceOf(name string) string {
	if p.name == "" {
		return name
	}
	return strings.Join([]string{p.name, name}, "/")
}

// lends has a pool's budgets of attempts and probes lent. What the pool has by itself is what all have ready.
func (p *Pool) lends() {
	t := p.engine.together
	if t == nil || p.loaded == nil {
		return
	}
	p.lending = true
	if t.Uses.Further {
		t.member.Budget(p.budget("further"), 0, true)
	}
	if t.Uses.Probes {
		t.member.Budget(p.budget("probes"), p.loaded.control.FleetProbeRate(), false)
	}
	p.lent(0)
}

// unlends ends that.
func (p *Pool) unlends() {
	same := func(o *Pool) bool { return o != p && o.name == p.name }
	if t := p.engine.together; t != nil && !slices.ContainsFunc(p.engine.pools, same) {
		t.member.Forget(p.budget("further"))
		t.member.Forget(p.budget("probes"))
	}
}

// lent tells the pool's control what it has by itself, and what is lent to it.
func (p *Pool) lent(now monotime.Micros) {
	t := p.engine.together
	if !p.lending || !t.Uses.Further && !t.Uses.Probes {
		return
	}
	part := func(lends bool) float64 {
		if lends {
			return t.Fleet.Loans.Ready
		}
		return 1
	}
	p.loaded.control.SetLocalShares(part(t.Uses.Further), part(t.Uses.Probes), float64(t.member.Allowed(now, p.budget("probes"))))
}

// spend takes a unit of a budget that is lent, and says whether there was one.
func (x *Engine) spend(now monotime.Micros, budget string) bool {
	t := x.together
	if !t.member.Take(now, budget) {
		return false
	}
	if f := x.config.Spent; f != nil {
		f(now, budget)
	}
	return true
}

// lentProbe returns what takes a probe of those that are lent; nil where none are.
func (p *Pool) lentProbe(now monotime.Micros) func() bool {
	t := p.engine.together
	if t == nil || !t.Uses.Probes {
		return nil
	}
	return func() bool {
		t.member.Want(now, p.budget("probes"))
		return p.engine.spend(now, p.budget("probes"))
	}
}

// lendsFurther says whether one more further attempt is lent to the pool.
func (p *Pool) lendsFurther(now monotime.Micros) bool {
	t := p.engine.together
	return p.lending && t.Uses.Further && t.member.Left(now, p.budget("further")) > 0
}

// sentFurther takes a further attempt out of what the pool has by itself, or else of what is lent to it.
func (p *Pool) sentFurther(now monotime.Micros, class int) {
	if p.lendsFurther(now) && !p.loaded.control.RetryAllowed(now) && p.engine.spend(now, p.budget("further")) {
		return
	}
	p.loaded.control.OnAttemptSent(now, class, false)
}

// wantsFurther notes that a further attempt would be made if there were one to make.
func (p *Pool) wantsFurther(now monotime.Micros, a *Attempt, status balancer.Status) {
	t := p.engine.together
	if t == nil || !t.Uses.Further || a.Call.ended || len(a.Call.attempts) >= p.engine.config.Site.Settings.Limits.MaxAttempts {
		return
	}
	switch status {
	case balancer.OK, balancer.Cancelled, balancer.Moot:
	default:
		t.member.Want(now, p.budget("further"))
	}
}

// saw notes how an attempt ended at an endpoint, for the others.
func (p *Pool) saw(now monotime.Micros, a *Attempt, status balancer.Status) {
	t := p.engine.together
	if t == nil || !t.Uses.Suspects {
		return
	}
	switch status {
	case balancer.Cancelled, balancer.Moot:
	default:
		t.own.Ended(now, p.evidenceOf(a.Endpoint.Name), int(a.Call.In.Class), status == balancer.OK)
	}
}

// Limits gives tenants other limits, by their places; those that have none go on to have none.
func (x *Engine) Limits(limits []float64) {
	if t := x.together; t != nil {
		for i, budget := range t.tenants {
			if budget != "" && i < len(limits) {
				t.member.Budget(budget, limits[i], false)
			}
		}
	}
}

// limited answers a request that is beyond what its tenant may have over all instances in a second, and says whether it is.
func (p *Pool) limited(now monotime.Micros, c *Call) bool {
	x := p.engine
	t := x.together
	if t == nil || int(c.In.Tenant) >= len(t.tenants) || t.tenants[c.In.Tenant] == "" {
		return false
	}
	budget := t.tenants[c.In.Tenant]
	t.member.Want(now, budget)
	if x.spend(now, budget) {
		return false
	}
	t.refused++
	a := Answer{Verdict: Limited, Reason: "its tenant asks for more than it may over all instances"}
	if limits := &x.config.Site.Settings.Limits; limits.RetryAfter {
		// What is spent is free again within a second; those turned away are not to return together.
		a.RetryAfter = min(monotime.Micros(float64(second)*(0.25+0.75*x.rng.Float64())), limits.MaxRetryAfter)
	}
	x.finish(c, a)
	return true
}
