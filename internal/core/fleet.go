package core

import (
	"context"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Join has the core decide with the other instances of its fleet, or returns the error of settings that make no sense. It goes
// before the first pool; what is carried out by t is called by the core's goroutine.
func (x *Core) JoinFleet(t engine.Coordination) error { return x.engine.JoinFleet(t) }

// BeginFleet begins that, for a process that took over from none.
func (x *Core) StartCoordination() { x.post(x.engine.StartCoordination) }

// Word takes a word of another instance in.
func (x *Core) ReceiveFleetMessage(from string, w coordination.Word) {
	x.post(func(now monotime.Micros) { x.engine.ReceiveFleetMessage(now, from, w) })
}

// GiveFleet ends the core's part in its fleet: it spends nothing any more, and the others need not wait until its time is up. It
// returns what who takes the core's place has to know; nil where there is no fleet. BeginFleet goes on where nobody does.
func (x *Core) HandOverCoordination() *quota.State { return query(x, x.engine.HandOverCoordination) }

// FleetView returns what is known of the fleet; no where there is none.
func (x *Core) FleetView(ctx context.Context) (v coordination.View, yes bool, err error) {
	v, err = queryContext(ctx, x, func(now monotime.Micros) (v coordination.View) {
		v, yes = x.engine.FleetView(now)
		return v
	})
	return v, yes && err == nil, err
}

// Order has the core obey an order in which machines go out (engine.Engine.Order), and returns once that holds.
func (x *Core) ApplyMaintenancePlan(o engine.MaintenancePlan) {
	x.awaitingPlan.Store(o.AwaitingPlan)
	query(x, func(now monotime.Micros) bool {
		x.engine.ApplyMaintenancePlan(now, o)
		return true
	})
}

// Stand returns how machines stand, and how many attempts are open at each of some.
func (x *Core) MaintenanceStatus(names []string) (f maintenance.FleetStatus, open map[string]int) {
	f = query(x, func(now monotime.Micros) maintenance.FleetStatus {
		open = x.engine.OpenAttempts(names)
		return x.engine.MaintenanceFacts(now)
	})
	return f, open
}
