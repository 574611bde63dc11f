package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// MaintenancePlan is the part of the fleet's maintenance plan (package maintenance) that one instance has to follow.
type MaintenancePlan struct {
	// AwaitingPlan is set as long as no plan is known: nothing is sent to any endpoint.
	AwaitingPlan bool `json:"Wait"`
	// Excluded are endpoints that get no new requests. One that is admitted again counts as restarted.
	Excluded []string `json:"Stop"`
	// Announced are endpoints that are excluded next. They get no new requests from LeaseEnd on.
	Announced []string `json:"Ahead"`
	// LeaseEnd is when this instance's lease of the plan ends, unless a newer plan is applied before.
	LeaseEnd monotime.Micros `json:"Until"`
	// DrainDeadline is when attempts that are still open at endpoints of both lists are ended.
	DrainDeadline monotime.Micros `json:"End"`
}

// includes reports whether an endpoint is excluded or announced.
func (p *MaintenancePlan) includes(name string) bool {
	return slices.Contains(p.Excluded, name) || slices.Contains(p.Announced, name)
}

// maintenanceState is the plan in force; the zero value is none.
type maintenanceState struct {
	MaintenancePlan
	leaseTimer *timer
	drainTimer *timer
}

// ApplyMaintenancePlan replaces the plan that the engine follows.
func (eng *Engine) ApplyMaintenancePlan(now monotime.Micros, plan MaintenancePlan) {
	eng.now = now
	eng.cancelTimer(eng.maintenance.leaseTimer)
	eng.cancelTimer(eng.maintenance.drainTimer)
	eng.maintenance = maintenanceState{MaintenancePlan: plan}
	eng.applyExclusions(now)
	if !plan.AwaitingPlan && len(plan.Announced)+len(plan.Excluded) > 0 {
		eng.maintenance.leaseTimer = eng.schedule(max(now, plan.LeaseEnd), eng.applyExclusions)
		eng.maintenance.drainTimer = eng.schedule(max(now, plan.DrainDeadline), eng.expireDrainedAttempts)
	}
	eng.dispatchQueued(now)
}

// applyExclusions applies cordons and the maintenance plan to all endpoints.
func (eng *Engine) applyExclusions(now monotime.Micros) {
	for _, p := range eng.pools {
		for _, name := range slices.Sorted(maps.Keys(p.byName)) { // sorted: random draws must not depend on map order
			p.applyExclusion(now, name, p.byName[name])
		}
		p.updateEndpointCount()
	}
}

// applyExclusion decides whether one endpoint gets new requests. Excluded are endpoints that are cordoned, or that
// the maintenance plan excludes. Paused are all endpoints while no plan is known, and announced ones once the lease
// has ended: by then the others may take the endpoint out of service, whether this instance has the next plan or not.
func (p *Pool) applyExclusion(now monotime.Micros, name string, e *Endpoint) {
	plan := &p.engine.maintenance.MaintenancePlan
	p.setExcluded(now, e, p.engine.cordons.Cordoned(name) || slices.Contains(plan.Excluded, name))
	announced := slices.Contains(plan.Announced, name)
	p.balancer.SetPaused(now, e.Number, plan.AwaitingPlan || announced && now >= plan.LeaseEnd)
	if e.excluded || e.state != balancer.Ready {
		return // nothing is sent there in any case
	}
	// Attempts check this last: one may have waited for its connection, or its process may have been suspended.
	switch {
	case plan.AwaitingPlan:
		e.stopSendingAt.Store(max(1, now))
	case announced:
		e.stopSendingAt.Store(max(1, plan.LeaseEnd))
	default:
		e.stopSendingAt.Store(0)
	}
}

// expireDrainedAttempts ends the attempts that are open at excluded and announced endpoints at the drain deadline.
func (eng *Engine) expireDrainedAttempts(now monotime.Micros) {
	for _, id := range slices.Sorted(maps.Keys(eng.calls)) {
		for _, a := range slices.Clone(eng.calls[id].attempts) {
			if !a.done && eng.maintenance.includes(a.Endpoint.Name) {
				eng.expireAttempt(now, a)
			}
		}
	}
}
