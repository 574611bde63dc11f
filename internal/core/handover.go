package core

import (
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Snapshot returns what the core holds; nil once it has ended.
func (x *Core) Snapshot() *engine.Snapshot { return query(x, x.engine.Snapshot) }

// HandOver returns what the core holds, and from that instant on leaves what cold endpoints may still get to who
// takes it over. TakeBack ends that.
func (x *Core) SnapshotForHandover() *engine.Snapshot {
	return query(x, func(now monotime.Micros) *engine.Snapshot {
		s := x.engine.Snapshot(now)
		x.engine.TransferWarmupBudget(now, true)
		return s
	})
}

// TakeBack goes on as before HandOver. What cold endpoints were to get counts as spent.
func (x *Core) CancelHandover() {
	x.post(func(now monotime.Micros) { x.engine.TransferWarmupBudget(now, false) })
}

// Restore takes over what another core held so long ago (engine.Engine.Restore). It returns once that is done, with
// what was passed over.
func (x *Core) Restore(s *engine.Snapshot, age monotime.Micros) (passedOver []string) {
	return query(x, func(now monotime.Micros) []string { return x.engine.Restore(now, age, s) })
}
