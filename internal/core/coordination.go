package core

import (
	"context"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// JoinFleet makes the core coordinate its decisions with the other instances of its fleet
// (engine.Engine.JoinFleet). It returns an error if c is invalid. It must be called before the first call of
// NewPool. The functions of c are called on the core's goroutine and must not block.
func (core *Core) JoinFleet(c engine.Coordination) error { return core.engine.JoinFleet(c) }

// StartCoordination starts the core's participation in its fleet, for a process without a predecessor.
func (core *Core) StartCoordination() { core.post(core.engine.StartCoordination) }

// ReceiveFleetMessage handles a gossip message from another instance.
func (core *Core) ReceiveFleetMessage(from string, message coordination.Message) {
	core.post(func(now monotime.Micros) { core.engine.ReceiveFleetMessage(now, from, message) })
}

// HandOverCoordination ends the core's participation in its fleet and returns the state for a successor, or nil
// if there is no state to hand over. The core spends no more quota after that, and the other instances do not
// need to wait until its lease expires. If the successor fails, StartCoordination starts a new participation.
func (core *Core) HandOverCoordination() *quota.State {
	return query(core, core.engine.HandOverCoordination)
}

// FleetView returns this instance's view of the fleet; ok is false if there is neither a fleet nor a tenant
// limit. It returns an error if ctx ends or the core stops first.
func (core *Core) FleetView(ctx context.Context) (view coordination.View, ok bool, err error) {
	type result struct {
		view coordination.View
		ok   bool
	}
	r, err := queryContext(ctx, core, func(now monotime.Micros) (r result) {
		r.view, r.ok = core.engine.FleetView(now)
		return r
	})
	return r.view, r.ok && err == nil, err
}
