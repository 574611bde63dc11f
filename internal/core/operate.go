package core

import (
	"context"

	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// ByHand takes an endpoint out by hand, or lets it in again (engine.Engine.ByHand). It returns once that holds, or with
// the error of a core that has not come to it when ctx ends.
func (x *Core) SetCordon(ctx context.Context, name string, out bool, at monotime.Micros) (w cordon.Word, known bool, err error) {
	type said struct {
		w     cordon.Word
		known bool
	}
	s, err := queryContext(ctx, x, func(now monotime.Micros) (s said) {
		s.w, s.known = x.engine.SetCordon(now, name, out, at)
		return s
	})
	return s.w, s.known, err
}

// Hear takes words in that were said elsewhere.
func (x *Core) ReceiveCordons(words ...cordon.Word) {
	x.post(func(now monotime.Micros) {
		for _, w := range words {
			x.engine.ReceiveCordon(now, w)
		}
	})
}

// Words returns the words on endpoints by hand.
func (x *Core) Cordons(ctx context.Context) ([]cordon.Word, error) {
	return queryContext(ctx, x, func(monotime.Micros) []cordon.Word { return x.engine.Cordons() })
}

// Figures returns what the core shows of itself, and calls beside in the same instant.
func (x *Core) Statistics(ctx context.Context, beside func()) (engine.Statistics, error) {
	return queryContext(ctx, x, func(now monotime.Micros) engine.Statistics {
		beside()
		return x.engine.Statistics(now)
	})
}
