package experiment

import (
	"context"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"dunlinsail/internal/simulation/measure"
)

// Runner makes runs, several at the same time. Results do not depend on how many.
type Runner struct {
	Parallel int                               // runs at the same time; 0 is one for each processor
	Store    *Store                            // of results; nil stores none
	Progress func(done, stored, requested int) // one call at a time; must not call the runner

	mu       sync.Mutex
	buildIDs map[string]string
	memoized map[string]*measure.Result // of this runner, by key
	totals   struct{ done, stored, requested int }
}

// Task is a run of a variant.
type Task struct {
	Variant *Variant
	Job     Job
}

// buildID returns the digest of a program, cached.
func (r *Runner) buildID(program string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if build, ok := r.buildIDs[program]; ok {
		return build, nil
	}
	build, err := BuildID(program)
	if err != nil {
		return "", err
	}
	if r.buildIDs == nil {
		r.buildIDs = map[string]string{}
	}
	r.buildIDs[program] = build
	return build, nil
}

// reportProgress adds to the runs that were made, found in the store, and requested.
func (r *Runner) reportProgress(done, stored, requested int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.done += done
	r.totals.stored += stored
	r.totals.requested += requested
	if r.Progress != nil {
		r.Progress(r.totals.done, r.totals.stored, r.totals.requested)
	}
}

// Run makes runs and returns their results in order. When ctx ends it returns its cause; the runs made by then are
// stored.
func (r *Runner) Run(ctx context.Context, tasks []Task) ([]*measure.Result, error) {
	results := make([]*measure.Result, len(tasks))
	r.reportProgress(0, 0, len(tasks))
	g, ctx := errgroup.WithContext(ctx)
	parallel := r.Parallel
	if parallel <= 0 {
		parallel = runtime.GOMAXPROCS(0)
	}
	g.SetLimit(parallel)
	for i := range tasks {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return context.Cause(ctx)
			}
			result, cached, err := r.runTask(ctx, &tasks[i])
			if err != nil {
				return err
			}
			results[i] = result
			if cached {
				r.reportProgress(0, 1, 0)
			} else {
				r.reportProgress(1, 0, 0)
			}
			return nil
		})
	}
	if err := g.Wait(); err != nil {
		return nil, err
	}
	return results, nil
}

// maxMemoized bounds the results that a runner holds in memory; it drops all of them when it is reached.
const maxMemoized = 2000

// runTask returns the result of a run, from memory or the store if it is there.
func (r *Runner) runTask(ctx context.Context, t *Task) (result *measure.Result, cached bool, err error) {
	build, err := r.buildID(t.Variant.Program)
	if err != nil {
		return nil, false, err
	}
	key, err := t.Job.storeKey(build)
	if err != nil {
		return nil, false, err
	}
	r.mu.Lock()
	result = r.memoized[string(key)]
	r.mu.Unlock()
	if result != nil {
		return result, true, nil
	}
	if r.Store != nil {
		if result, err = r.Store.Get(key); err != nil {
			return nil, false, err
		}
		cached = result != nil
	}
	switch {
	case cached:
	case t.Variant.Program == "":
		result, err = t.Job.Play(ctx)
	default:
		result, _, err = t.Job.playWith(ctx, t.Variant.Program)
	}
	if err == nil && !cached && r.Store != nil {
		err = r.Store.Put(key, result)
	}
	if err != nil {
		return nil, false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.memoized == nil || len(r.memoized) >= maxMemoized {
		r.memoized = map[string]*measure.Result{}
	}
	r.memoized[string(key)] = result
	return result, cached, nil
}
