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

// Coordination configures how an engine coordinates its decisions with the other instances of its fleet.
type Coordination struct {
	Settings coordination.Settings
	Scope    CoordinationScope

	// Send sends a gossip message to another instance. It must not block, and must not call the engine.
	Send func(to string, message coordination.Message)
	// NextIncarnation returns a new incarnation number at each call. No earlier process with the name of this
	// instance may have had the same number.
	NextIncarnation func() uint64
}

// CoordinationScope selects the decisions that are coordinated between the instances of a fleet.
type CoordinationScope struct {
	Retries            bool // retries beyond the instance's own reserve use a fleet budget. Needs overload control
	Probes             bool // probes beyond the instance's own reserve use a fleet budget. Needs overload control
	TenantLimits       bool // has no effect: tenant limits are coordinated whenever they are configured
	OverloadLevel      bool // instances share their overload levels, which determine the admitted share of requests
	SuspectedEndpoints bool // endpoints are avoided because of failures observed across all instances
}

// fleetCoordinator is the state with which an engine takes part in its fleet, or divides tenant limits
// statically without a fleet.
type fleetCoordinator struct {
	Coordination
	member            *coordination.Member
	localObservations observations.Local
	timer             *timer                 // timer of the member's next tick
	suspicions        map[suspectKey]float64 // probability, 0 to 1, with which requests of a class avoid an endpoint
	tenantBudgets     []string               // budget name of each tenant; empty for a tenant without a limit
	requestsOverLimit uint64                 // total number of requests rejected because of their tenant's limit
}

// suspectKey identifies an endpoint, by the name that instances use among one another (Pool.observationKey),
// and a request class.
type suspectKey struct {
	endpoint string
	class    int
}

// JoinFleet configures the engine to coordinate with its fleet. Coordination itself starts with
// StartCoordination or Restore. JoinFleet returns an error for invalid settings. It must be called before the
// first pool is created.
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

// StartCoordination starts coordination for an instance without a predecessor. It does nothing if coordination
// has already started, or if the engine has neither a fleet nor tenant limits. Tenant limits need it even
// without a fleet, for their static division.
func (eng *Engine) StartCoordination(now monotime.Micros) {
	f := eng.fleet
	if f == nil || f.member.Active() {
		return
	}
	eng.now = now
	f.member.Start(now, f.NextIncarnation())
	eng.syncCoordinator(now)
}

// ReceiveFleetMessage handles a gossip message from another instance.
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

// HandOverCoordination ends the engine's coordination so that a successor can continue it, and returns the
// state that the successor needs; nil if coordination is not active.
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

// RestoreCoordination continues the coordination of a predecessor from the state that it handed over, where age
// is the time since that handover. It does nothing if this engine's coordination has already started, or if
// state is nil.
func (eng *Engine) RestoreCoordination(now, age monotime.Micros, state *quota.State) {
	f := eng.fleet
	if f == nil || state == nil || f.member.Active() {
		return
	}
	eng.now = now
	f.member.Restore(now, age, f.NextIncarnation(), state)
	eng.syncCoordinator(now)
}

// FleetView returns what this instance knows of the fleet. ok is false if the engine has neither a fleet nor
// tenant limits.
func (eng *Engine) FleetView(now monotime.Micros) (view coordination.View, ok bool) {
	if eng.fleet == nil {
		return view, false
	}
	return eng.fleet.member.View(now), true
}

// syncCoordinator carries out what the fleet member has decided: it sends the outgoing messages, applies a
// changed aggregate of observations and sets the timer for the next tick. It is called after each event of the
// member.
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

// maxObservedCounts is the maximum number of outcome counts in a gossip message. The message must fit into one
// datagram.
const maxObservedCounts = 32

// observe returns the observations of this instance that the other instances need, and updates the retry and
// probe budgets of its pools.
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

// applyObservations applies the aggregate of all instances' observations: the overload level of each pool, and
// the suspected endpoints.
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

// applyLevels passes the overload levels that the other instances reported for the pool to the pool's overload
// control.
func (p *Pool) applyLevels(now monotime.Micros, levels []observations.OverloadLevel) {
	for _, level := range levels {
		if level.EndpointSet == p.name {
			p.overload.controller.ApplySharedLevel(now, level.Level, level.Load)
		}
	}
	p.updateFleetShare(now)
	p.refreshBounds(now)
}

// applySuspicions passes each suspicion whose probability has changed to the balancer. The probability, 0 to 1,
// is that with which a request of the class excludes the endpoint.
func (p *Pool) applySuspicions(now monotime.Micros, suspicions map[suspectKey]float64) {
	f := p.engine.fleet
	for _, name := range slices.Sorted(maps.Keys(p.byName)) { // sorted, so that random draws do not depend on map order
		e := p.byName[name]
		for class := range p.engine.config.Site.Settings.Classes {
			key := suspectKey{p.observationKey(name), class}
			if probability := suspicions[key]; probability != f.suspicions[key] {
				p.balancer.SetSuspicion(now, e.Number, class, probability)
			}
		}
	}
}

// observationKey returns the name that instances use among one another for an endpoint of the pool.
func (p *Pool) observationKey(endpoint string) string {
	if p.name == "" {
		return endpoint
	}
	return p.name + "/" + endpoint
}

// recordObservation counts the outcome of an attempt at an endpoint, to be reported to the other instances. An
// attempt that this instance cancelled or never sent is not counted, since it is no evidence about the
// endpoint.
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
