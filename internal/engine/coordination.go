package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
)

// Coordination is what an engine needs to decide together with the other instances of its fleet.
type Coordination struct {
	Settings coordination.Settings
	Scope    CoordinationScope

	// Send sends a gossip message to an instance. It must not block, and must not call the engine.
	Send func(to string, message coordination.Message)
	// NextIncarnation returns a number that no other process of the instance's name ever had, a new one at each call.
	NextIncarnation func() uint64
}

// CoordinationScope is what is decided together with the other instances.
type CoordinationScope struct {
	Retries            bool // retries beyond the instance's own reserve have a fleet budget. Needs overload control
	Probes             bool // probes beyond the instance's own reserve have a fleet budget. Needs overload control
	TenantLimits       bool // has no effect: tenants' limits are coordinated wherever the settings have them
	OverloadLevel      bool // the admission level under overload
	SuspectedEndpoints bool // which endpoints to avoid, by the failures that all instances have observed
}

// fleetCoordinator is an engine's part in its fleet.
type fleetCoordinator struct {
	Coordination
	member            *coordination.Member
	localObservations observations.Local
	timer             *timer                 // for the member's next tick
	suspicions        map[suspectKey]float64 // probability, 0 to 1, with which an endpoint is avoided for a class
	tenantBudgets     []string               // budget names by tenant; empty is a tenant without a limit
	requestsOverLimit uint64                 // requests rejected by their tenant's limit so far
}

// suspectKey is a class of requests at an endpoint, by the endpoint's name among instances (Pool.observationKey).
type suspectKey struct {
	endpoint string
	class    int
}

// JoinFleet has the engine decide together with its fleet once StartCoordination or a Restore has begun that. It
// returns an error for invalid settings. It must be called before the first pool is made.
func (eng *Engine) JoinFleet(c Coordination) error {
	member, err := coordination.New(c.Settings)
	if err != nil {
		return err
	}
	eng.fleet = &fleetCoordinator{Coordination: c, member: member, suspicions: map[suspectKey]float64{}}
	member.SetObserver(eng.observe)
	site := eng.config.Site
	eng.fleet.tenantBudgets = make([]string, len(site.Tenants))
	for i, limit := range site.TenantLimits {
		if limit > 0 {
			eng.fleet.tenantBudgets[i] = tenantBudgetPrefix + site.Tenants[i]
			member.SetBudget(eng.fleet.tenantBudgets[i], limit, false)
		}
	}
	return nil
}

// StartCoordination starts the engine's part in its fleet, as an instance without a predecessor. It does nothing if
// that has started, or without a fleet and tenants' limits: those need it for their static division, too.
func (eng *Engine) StartCoordination(now monotime.Micros) {
	f := eng.fleet
	if f == nil || f.member.Active() {
		return
	}
	eng.now = now
	f.member.Start(now, f.NextIncarnation())
	eng.syncCoordinator(now)
}

// ReceiveFleetMessage handles a gossip message of another instance.
func (eng *Engine) ReceiveFleetMessage(now monotime.Micros, from string, message coordination.Message) {
	f := eng.fleet
	if f == nil {
		return
	}
	eng.now = now
	f.member.Receive(now, from, message)
	eng.syncCoordinator(now)
	eng.dispatchQueued(now)
}

// HandOverCoordination ends the engine's part in its fleet in favour of a successor, and returns the state for that;
// nil if there is none to hand over.
func (eng *Engine) HandOverCoordination(now monotime.Micros) *quota.State {
	f := eng.fleet
	if f == nil || !f.member.Active() {
		return nil
	}
	eng.now = now
	state := f.member.HandOver(now)
	eng.syncCoordinator(now)
	return state
}

// RestoreCoordination takes over the part of a predecessor that handed it over an age ago. It does nothing if the
// engine's own part has started.
func (eng *Engine) RestoreCoordination(now, age monotime.Micros, state *quota.State) {
	f := eng.fleet
	if f == nil || state == nil || f.member.Active() {
		return
	}
	eng.now = now
	f.member.Restore(now, age, f.NextIncarnation(), state)
	eng.syncCoordinator(now)
}

// FleetView returns what is known of the fleet; ok is false without a fleet and without tenants' limits.
func (eng *Engine) FleetView(now monotime.Micros) (view coordination.View, ok bool) {
	if eng.fleet == nil {
		return view, false
	}
	return eng.fleet.member.View(now), true
}

// syncCoordinator carries out what the fleet member has decided: it sends its messages, applies new observations and
// sets the timer for its next tick. It is called after each event of the member.
func (eng *Engine) syncCoordinator(now monotime.Micros) {
	f := eng.fleet
	for _, outgoing := range f.member.TakeOutgoing() {
		f.Send(outgoing.To, outgoing.Message)
	}
	if aggregate, changed := f.member.TakeAggregate(now); changed {
		eng.applyObservations(now, &aggregate)
	}
	if !f.member.Active() {
		eng.cancelTimer(f.timer)
		return
	}
	if due := f.member.NextTick(); !f.timer.pending() || due != f.timer.due {
		eng.cancelTimer(f.timer)
		f.timer = eng.schedule(max(due, now+1), func(now monotime.Micros) {
			f.member.Tick(now)
			eng.syncCoordinator(now)
		})
	}
}

// maxObservedCounts is the maximum of outcome counts in a gossip message, which must fit into one datagram.
const maxObservedCounts = 32

// observe returns what this instance has observed, for the others, and updates the budgets that its requests earn.
func (eng *Engine) observe(now monotime.Micros) (local observations.Observations) {
	f := eng.fleet
	for _, p := range eng.pools {
		o := p.overload
		if o == nil {
			continue
		}
		earnedRate, maxFleetRate := o.controller.EarnedRetryRate(now)
		f.member.SetContribution(p.budgetName(retryBudget), earnedRate, maxFleetRate)
		if f.Scope.Probes {
			f.member.SetBudget(p.budgetName(probeBudget), o.controller.MaxFleetProbeRate(), false)
		}
		if f.Scope.OverloadLevel {
			level, load, requests, failed := o.controller.TakeObservations()
			local.Levels = append(local.Levels, observations.OverloadLevel{
				EndpointSet: p.name,
				Level:       level,
				Load:        load,
				Requests:    float64(requests),
				Failed:      float64(failed),
			})
		}
		p.updateFleetShare(now)
	}
	if f.Scope.SuspectedEndpoints {
		local.Outcomes = f.localObservations.OutcomesToReport(now, maxObservedCounts)
	}
	return local
}

// applyObservations applies the observations of all instances: the overload level of each pool, and which endpoints are
// suspected.
func (eng *Engine) applyObservations(now monotime.Micros, aggregate *observations.Aggregate) {
	f := eng.fleet
	suspicions := map[suspectKey]float64{}
	for _, s := range aggregate.Suspects {
		suspicions[suspectKey{s.Endpoint, s.Class}] = s.AvoidProbability
	}
	for _, p := range eng.pools {
		if p.overload != nil && f.Scope.OverloadLevel {
			p.applyLevels(now, aggregate.Levels)
		}
		p.applySuspicions(now, suspicions)
	}
	f.suspicions = suspicions
}

// applyLevels passes the overload levels of the other instances to the pool's overload control.
func (p *Pool) applyLevels(now monotime.Micros, levels []observations.OverloadLevel) {
	for _, level := range levels {
		if level.EndpointSet == p.name {
			p.overload.controller.ApplySharedLevel(now, level.Level, level.Load)
		}
	}
	p.updateFleetShare(now)
	p.refreshBounds(now)
}

// applySuspicions passes each suspicion that has changed to the balancer: the probability, 0 to 1, with which it leaves
// an endpoint out for a class.
func (p *Pool) applySuspicions(now monotime.Micros, suspicions map[suspectKey]float64) {
	f := p.engine.fleet
	for _, name := range slices.Sorted(maps.Keys(p.byName)) { // sorted: random draws must not depend on map order
		e := p.byName[name]
		for class := range p.engine.config.Site.Settings.Classes {
			key := suspectKey{p.observationKey(name), class}
			if probability := suspicions[key]; probability != f.suspicions[key] {
				p.balancer.SetSuspicion(now, e.Number, class, probability)
			}
		}
	}
}

// observationKey is the name that instances use among one another for an endpoint of the pool.
func (p *Pool) observationKey(endpoint string) string {
	if p.name == "" {
		return endpoint
	}
	return p.name + "/" + endpoint
}

// recordObservation counts the outcome of an attempt at an endpoint, for the other instances. An attempt that this
// instance ended, or never sent, is no evidence.
func (p *Pool) recordObservation(now monotime.Micros, a *Attempt, status balancer.Status) {
	f := p.engine.fleet
	if f == nil || !f.Scope.SuspectedEndpoints {
		return
	}
	switch status {
	case balancer.Cancelled, balancer.NotSent:
	default:
		key := p.observationKey(a.Endpoint.Name)
		f.localObservations.RecordOutcome(now, key, int(a.Call.Request.Class), status == balancer.OK)
	}
}
