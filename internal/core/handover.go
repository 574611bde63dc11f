package core

import (
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Snapshot returns what the core holds; nil once it has stopped.
func (x *Core) Snapshot() *engine.Snapshot { return query(x, x.engine.Snapshot) }

// SnapshotForHandover returns what the core holds, and from that instant on leaves the requests that endpoints that are
// warming up may still get to the successor that restores it. CancelHandover ends that.
func (x *Core) SnapshotForHandover() *engine.Snapshot {
	return query(x, func(now monotime.Micros) *engine.Snapshot {
		s := x.engine.Snapshot(now)
		x.engine.TransferWarmupBudget(now, true)
		return s
	})
}

// CancelHandover goes on as before SnapshotForHandover. What endpoints that are warming up were to get counts as sent.
func (x *Core) CancelHandover() {
	x.post(func(now monotime.Micros) { x.engine.TransferWarmupBudget(now, false) })
}

// Restore takes over what another core held at an instant that is age ago (engine.Engine.Restore). It returns once that
// is done, with the parts that were skipped.
func (x *Core) Restore(s *engine.Snapshot, age monotime.Micros) (skipped []string) {
	return query(x, func(now monotime.Micros) []string { return x.engine.Restore(now, age, s) })
}
