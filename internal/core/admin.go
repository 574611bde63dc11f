package core

import (
	"context"

	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// SetCordon cordons or uncordons the named endpoint (engine.Engine.SetCordon) and waits until the change is in
// force. It returns an error if ctx ends or the core stops first.
func (core *Core) SetCordon(ctx context.Context, name string, cordoned bool, setAt monotime.Micros) (
	record cordon.Record, known bool, err error) {
	type result struct {
		record cordon.Record
		known  bool
	}
	r, err := queryContext(ctx, core, func(now monotime.Micros) (r result) {
		r.record, r.known = core.engine.SetCordon(now, name, cordoned, setAt)
		return r
	})
	return r.record, r.known, err
}

// ReceiveCordons applies cordon records that were set in other processes.
func (core *Core) ReceiveCordons(records ...cordon.Record) {
	core.post(func(now monotime.Micros) {
		for _, record := range records {
			core.engine.ReceiveCordon(now, record)
		}
	})
}

// Cordons returns all cordon records. It returns an error if ctx ends or the core stops first.
func (core *Core) Cordons(ctx context.Context) ([]cordon.Record, error) {
	return queryContext(ctx, core, func(monotime.Micros) []cordon.Record { return core.engine.Cordons() })
}

// Statistics returns the engine's statistics. It calls collect on the core's goroutine at the instant of the
// statistics, so that both describe the same state. It returns an error if ctx ends or the core stops first.
func (core *Core) Statistics(ctx context.Context, collect func()) (engine.Statistics, error) {
	return queryContext(ctx, core, func(now monotime.Micros) engine.Statistics {
		collect()
		return core.engine.Statistics(now)
	})
}
