package core

import (
	"context"

	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// SetCordon cordons or uncordons an endpoint (engine.Engine.SetCordon). It returns once that is in force, or an error
// if ctx ends or the core stops before.
func (x *Core) SetCordon(ctx context.Context, name string, cordoned bool, at monotime.Micros) (
	entry cordon.Record, known bool, err error) {
	type result struct {
		entry cordon.Record
		known bool
	}
	r, err := queryContext(ctx, x, func(now monotime.Micros) (r result) {
		r.entry, r.known = x.engine.SetCordon(now, name, cordoned, at)
		return r
	})
	return r.entry, r.known, err
}

// ReceiveCordons applies records of cordons that were set in other processes.
func (x *Core) ReceiveCordons(cordons ...cordon.Record) {
	x.post(func(now monotime.Micros) {
		for _, entry := range cordons {
			x.engine.ReceiveCordon(now, entry)
		}
	})
}

// Cordons returns all records of cordons, or an error if ctx ends or the core stops before.
func (x *Core) Cordons(ctx context.Context) ([]cordon.Record, error) {
	return queryContext(ctx, x, func(monotime.Micros) []cordon.Record { return x.engine.Cordons() })
}

// Statistics returns the engine's figures, and calls collect at the same instant on the core's goroutine. It returns an
// error if ctx ends or the core stops before.
func (x *Core) Statistics(ctx context.Context, collect func()) (engine.Statistics, error) {
	return queryContext(ctx, x, func(now monotime.Micros) engine.Statistics {
		collect()
		return x.engine.Statistics(now)
	})
}
