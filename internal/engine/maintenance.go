package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// MaintenancePlan is the part of the fleet's maintenance plan (package maintenance) that one instance must
// follow.
type MaintenancePlan struct {
	// AwaitingPlan is set while no plan is known. Nothing is sent to any endpoint in that time.
	AwaitingPlan bool `json:"Wait"`
	// Excluded lists endpoints that get no new requests. An endpoint that is admitted again counts as
	// restarted.
	Excluded []string `json:"Stop"`
	// Announced lists endpoints that will be excluded next. They get no new requests from LeaseEnd on.
	Announced []string `json:"Ahead"`
	// LeaseEnd is the instant at which this instance's lease of the plan ends, unless a newer plan is applied
	// before.
	LeaseEnd monotime.Micros `json:"Until"`
	// DrainDeadline is the instant at which attempts that are still open at excluded or announced endpoints are
	// ended.
	DrainDeadline monotime.Micros `json:"End"`
}

// includes reports whether the plan excludes or announces an endpoint.
func (p *MaintenancePlan) includes(name string) bool {
	return slices.Contains(p.Excluded, name) || slices.Contains(p.Announced, name)
}

// maintenanceState is the maintenance plan in force and its timers. The zero value has no plan.
type maintenanceState struct {
	MaintenancePlan
	leaseTimer *timer
	drainTimer *timer
}

// ApplyMaintenancePlan replaces the maintenance plan that the engine follows.
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

// applyExclusions applies cordons and the maintenance plan to the endpoints of all pools.
func (eng *Engine) applyExclusions(now monotime.Micros) {
	for _, p := range eng.pools {
		// The names are sorted so that random draws do not depend on map order.
		for _, name := range slices.Sorted(maps.Keys(p.byName)) {
			p.applyExclusion(now, name, p.byName[name])
		}
		p.updateEndpointCount()
	}
}

// applyExclusion applies cordons and the maintenance plan to one endpoint. The endpoint is excluded if it is
// cordoned or the plan excludes it. It is paused while no plan is known and, if the plan announces it, once the
// lease has ended: from then on the other instances may take the endpoint out of service, even if this instance
// has not received the next plan.
func (p *Pool) applyExclusion(now monotime.Micros, name string, e *Endpoint) {
	plan := &p.engine.maintenance.MaintenancePlan
	p.setExcluded(now, e, p.engine.cordons.Cordoned(name) || slices.Contains(plan.Excluded, name))
	announced := slices.Contains(plan.Announced, name)
	p.balancer.SetPaused(now, e.Number, plan.AwaitingPlan || announced && now >= plan.LeaseEnd)
	if e.excluded || e.state != balancer.Ready {
		return // nothing is sent to the endpoint in either case
	}
	// Attempts check stopSendingAt immediately before they are sent, because they may have waited for a
	// connection, or the process may have been suspended.
	switch {
	case plan.AwaitingPlan:
		e.stopSendingAt.Store(max(1, now))
	case announced:
		e.stopSendingAt.Store(max(1, plan.LeaseEnd))
	default:
		e.stopSendingAt.Store(0)
	}
}

// expireDrainedAttempts ends the attempts that are still open at excluded and announced endpoints when the
// drain deadline is reached.
func (eng *Engine) expireDrainedAttempts(now monotime.Micros) {
	for _, id := range slices.Sorted(maps.Keys(eng.calls)) {
		for _, a := range slices.Clone(eng.calls[id].attempts) {
			if !a.done && eng.maintenance.includes(a.Endpoint.Name) {
				eng.expireAttempt(now, a)
			}
		}
	}
}
