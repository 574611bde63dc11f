package experiment

import (
	"context"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"dunlinsail/internal/simulation/measure"
)

// Runner makes runs, several in parallel. Results do not depend on the number of parallel runs.
type Runner struct {
	Parallel int                               // maximum number of parallel runs; 0 means GOMAXPROCS
	Store    *Store                            // caches results across processes; nil: no store
	Progress func(done, stored, requested int) // called with totals, never concurrently; must not call the runner

	mu       sync.Mutex
	buildIDs map[string]string
	memoized map[string]*measure.Result // results of this runner, by store key
	totals   struct{ done, stored, requested int }
}

// Task is one run that a Runner is to make: a job and the variant that it belongs to.
type Task struct {
	Variant *Variant
	Job     Job
}

// buildID returns the build ID of a program, from the runner's cache if it is there.
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

// reportProgress adds to the total numbers of runs that were made, found in the store, and requested, and passes the
// totals to Progress.
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

// Run makes the runs of tasks and returns their results in the order of tasks. If ctx is canceled it returns the
// cause. The runs completed by then are in the store.
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

// maxMemoized is the number of results that a runner holds in memory. At that number it drops all of them.
const maxMemoized = 2000

// runTask returns the result of a task, from memory or the store if available; otherwise it makes the run. cached
// reports whether the run was avoided.
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
		result, _, err = t.Job.runWithProgram(ctx, t.Variant.Program)
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
