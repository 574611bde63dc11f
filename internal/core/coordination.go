package core

import (
	"context"

	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// JoinFleet has the core decide together with the other instances of its fleet (engine.Engine.JoinFleet). It returns
// an error for invalid settings. It must be called before the first pool is made. The functions of c are called on
// the core's goroutine, and must not block.
func (core *Core) JoinFleet(c engine.Coordination) error { return core.engine.JoinFleet(c) }

// StartCoordination starts the core's part in its fleet, for a process without a predecessor.
func (core *Core) StartCoordination() { core.post(core.engine.StartCoordination) }

// ReceiveFleetMessage handles a gossip message of another instance.
func (core *Core) ReceiveFleetMessage(from string, message coordination.Message) {
	core.post(func(now monotime.Micros) { core.engine.ReceiveFleetMessage(now, from, message) })
}

// HandOverCoordination ends the core's part in its fleet: it spends no quota any more, and the others need not wait
// until its lease expires. It returns the state for a successor; nil if there is none to hand over. If the successor
// fails, StartCoordination begins a new part.
func (core *Core) HandOverCoordination() *quota.State {
	return query(core, core.engine.HandOverCoordination)
}

// FleetView returns what is known of the fleet; ok is false without one. It returns an error if ctx ends or the core
// stops before.
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
