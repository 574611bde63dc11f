package core

import (
	"context"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// JoinFleet has the core decide together with the other instances of its fleet, or returns an error for invalid
// settings. It must be called before the first pool is made; the functions of c are called on the core's goroutine.
func (x *Core) JoinFleet(c engine.Coordination) error { return x.engine.JoinFleet(c) }

// StartCoordination starts the core's part in its fleet, for a process without a predecessor.
func (x *Core) StartCoordination() { x.post(x.engine.StartCoordination) }

// ReceiveFleetMessage handles a gossip message of another instance.
func (x *Core) ReceiveFleetMessage(from string, message coordination.Message) {
	x.post(func(now monotime.Micros) { x.engine.ReceiveFleetMessage(now, from, message) })
}

// HandOverCoordination ends the core's part in its fleet: it spends nothing any more, and the others need not wait
// until its lease expires. It returns what a successor has to know; nil without a fleet. If there is no successor,
// StartCoordination goes on.
func (x *Core) HandOverCoordination() *quota.State { return query(x, x.engine.HandOverCoordination) }

// FleetView returns what is known of the fleet; ok is false without one.
func (x *Core) FleetView(ctx context.Context) (view coordination.View, ok bool, err error) {
	type result struct {
		view coordination.View
		ok   bool
	}
	r, err := queryContext(ctx, x, func(now monotime.Micros) (r result) {
		r.view, r.ok = x.engine.FleetView(now)
		return r
	})
	return r.view, r.ok && err == nil, err
}

// ApplyMaintenancePlan has the core follow a plan (engine.Engine.ApplyMaintenancePlan), and returns once that is in
// force.
func (x *Core) ApplyMaintenancePlan(plan engine.MaintenancePlan) {
	x.awaitingPlan.Store(plan.AwaitingPlan)
	query(x, func(now monotime.Micros) bool {
		x.engine.ApplyMaintenancePlan(now, plan)
		return true
	})
}

// MaintenanceStatus returns the state of all machines, and how many attempts are open at each of some.
func (x *Core) MaintenanceStatus(endpoints []string) (facts maintenance.FleetStatus, open map[string]int) {
	type result struct {
		facts maintenance.FleetStatus
		open  map[string]int
	}
	r := query(x, func(now monotime.Micros) (r result) {
		r.open = x.engine.OpenAttempts(endpoints)
		r.facts = x.engine.MaintenanceStatus(now)
		return r
	})
	return r.facts, r.open
}
