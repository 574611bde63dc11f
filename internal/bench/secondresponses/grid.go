package secondresponses

import (
	"context"
	"sync"
)

// Cell is a run of a table, with its result.
type Cell struct {
	Options Options
	Result  Result
	Err     error // that ended the run early
}

// RunAll makes the runs of a table, a number of them at once.
func RunAll(ctx context.Context, runs []Options, atOnce int) []Cell {
	cells := make([]Cell, len(runs))
	slots := make(chan struct{}, max(1, atOnce))
	var running sync.WaitGroup
	for i, options := range runs {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			result, err := Run(ctx, options)
			cells[i] = Cell{Options: options, Result: result, Err: err}
		})
	}
	running.Wait()
	return cells
}
