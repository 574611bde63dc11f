package core

import (
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Snapshot returns the state of the engine (engine.Engine.Snapshot); nil once the core has stopped.
func (core *Core) Snapshot() *engine.Snapshot { return query(core, core.engine.Snapshot) }

// SnapshotForHandover returns a snapshot for a successor, and from that instant on leaves to the successor the
// requests that endpoints that are warming up may still get (engine.Engine.TransferWarmupBudget). It returns nil once
// the core has stopped.
func (core *Core) SnapshotForHandover() *engine.Snapshot {
	return query(core, func(now monotime.Micros) *engine.Snapshot {
		s := core.engine.Snapshot(now)
		core.engine.TransferWarmupBudget(now, true)
		return s
	})
}

// CancelHandover ends the handover that SnapshotForHandover began, if there is no successor after all. The requests
// that were left to it count as sent.
func (core *Core) CancelHandover() {
	core.post(func(now monotime.Micros) { core.engine.TransferWarmupBudget(now, false) })
}

// Restore takes over the snapshot that another core made an age ago (engine.Engine.Restore), and returns once that is
// done, with descriptions of the parts that were skipped.
func (core *Core) Restore(s *engine.Snapshot, age monotime.Micros) (skipped []string) {
	return query(core, func(now monotime.Micros) []string { return core.engine.Restore(now, age, s) })
}
