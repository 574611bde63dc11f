package core

import (
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Snapshot returns a snapshot of the engine's state (engine.Engine.Snapshot), or nil if the core has stopped.
func (core *Core) Snapshot() *engine.Snapshot { return query(core, core.engine.Snapshot) }

// SnapshotForHandover returns a snapshot for a successor, and transfers the remaining warm-up budget, the
// requests that endpoints in warm-up may still get, to the successor (engine.Engine.TransferWarmupBudget). It
// returns nil if the core has stopped.
func (core *Core) SnapshotForHandover() *engine.Snapshot {
	return query(core, func(now monotime.Micros) *engine.Snapshot {
		snapshot := core.engine.Snapshot(now)
		core.engine.TransferWarmupBudget(now, true)
		return snapshot
	})
}

// ExpireAll gives all requests without a final response one (engine.Engine.ExpireAll), and returns their number.
func (core *Core) ExpireAll() int { return query(core, core.engine.ExpireAll) }

// CancelHandover cancels the handover that SnapshotForHandover started, if the successor does not take over.
// The requests of the transferred warm-up budget count as sent.
func (core *Core) CancelHandover() {
	core.post(func(now monotime.Micros) { core.engine.TransferWarmupBudget(now, false) })
}

// Restore restores a snapshot that another core took; age is the time since then (engine.Engine.Restore). It
// waits until the snapshot is restored, and returns descriptions of the parts that were skipped.
func (core *Core) Restore(snapshot *engine.Snapshot, age monotime.Micros) (skipped []string) {
	return query(core, func(now monotime.Micros) []string { return core.engine.Restore(now, age, snapshot) })
}
