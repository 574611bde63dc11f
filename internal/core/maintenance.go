package core

import (
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// ApplyMaintenancePlan replaces the maintenance plan that the core follows
// (engine.Engine.ApplyMaintenancePlan). It waits until the new plan is in force.
func (core *Core) ApplyMaintenancePlan(plan engine.MaintenancePlan) {
	core.awaitingPlan.Store(plan.AwaitingPlan)
	query(core, func(now monotime.Micros) bool {
		core.engine.ApplyMaintenancePlan(now, plan)
		return true
	})
}

// MaintenanceStatus returns the maintenance state of all machines (engine.Engine.MaintenanceStatus), and the
// number of open attempts at each of the given endpoints.
func (core *Core) MaintenanceStatus(endpoints []string) (status maintenance.FleetStatus, openAttempts map[string]int) {
	type result struct {
		status       maintenance.FleetStatus
		openAttempts map[string]int
	}
	r := query(core, func(now monotime.Micros) (r result) {
		r.openAttempts = core.engine.OpenAttempts(endpoints)
		r.status = core.engine.MaintenanceStatus(now)
		return r
	})
	return r.status, r.openAttempts
}
