package experiment

import (
	"context"
	"runtime"
	"sync"

	"golang.org/x/sync/errgroup"

	"dunlinsail/internal/simulation/measure"
)

// Runner makes runs, several at once. What comes of each does not depend on how many.
type Runner struct {
	Parallel int                       // at once; 0 is as many as there are processors
	Store    *Store                    // where runs are kept; nil keeps none
	Progress func(done, kept, all int) // one call at a time; must not call the runner

	mu      sync.Mutex
	builds  map[string]string
	results map[string]*measure.Result // of this runner, by key
	totals  struct{ done, kept, all int }
}

// Task is a run of a variant.
type Task struct {
	Variant *Variant
	Job     Job
}

// build returns what tells a program's build from others.
func (r *Runner) buildID(program string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if b, ok := r.builds[program]; ok {
		return b, nil
	}
	b, err := BuildID(program)
	if err != nil {
		return "", err
	}
	if r.builds == nil {
		r.builds = map[string]string{}
	}
	r.builds[program] = b
	return b, nil
}

func (r *Runner) reportProgress(done, kept, all int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.totals.done += done
	r.totals.kept += kept
	r.totals.all += all
	if r.Progress != nil {
		r.Progress(r.totals.done, r.totals.kept, r.totals.all)
	}
}

// Run makes runs and returns their results in order. When ctx ends it returns its cause; what is done by then is kept.
func (r *Runner) Run(ctx context.Context, tasks []Task) ([]*measure.Result, error) {
	results := make([]*measure.Result, len(tasks))
	r.reportProgress(0, 0, len(tasks))
	g, ctx := errgroup.WithContext(ctx)
	n := r.Parallel
	if n <= 0 {
		n = runtime.GOMAXPROCS(0)
	}
	g.SetLimit(n)
	for i := range tasks {
		g.Go(func() error {
			if err := ctx.Err(); err != nil {
				return context.Cause(ctx)
			}
			got, kept, err := r.runTask(ctx, &tasks[i])
			if err != nil {
				return err
			}
			results[i] = got
			if kept {
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

// memoMost bounds how many results a runner holds; beyond it, it begins anew.
const maxMemoized = 2000

// one makes a run, unless its result is held or kept.
func (r *Runner) runTask(ctx context.Context, t *Task) (result *measure.Result, kept bool, err error) {
	build, err := r.buildID(t.Variant.Program)
	if err != nil {
		return nil, false, err
	}
	key, err := t.Job.storeKey(build)
	if err != nil {
		return nil, false, err
	}
	r.mu.Lock()
	result = r.results[string(key)]
	r.mu.Unlock()
	if result != nil {
		return result, true, nil
	}
	if r.Store != nil {
		if result, err = r.Store.Get(key); err != nil {
			return nil, false, err
		}
		kept = result != nil
	}
	switch {
	case kept:
	case t.Variant.Program == "":
		result, err = t.Job.Play(ctx)
	default:
		result, _, err = t.Job.playWith(ctx, t.Variant.Program)
	}
	if err == nil && !kept && r.Store != nil {
		err = r.Store.Put(key, result)
	}
	if err != nil {
		return nil, false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.results == nil || len(r.results) >= maxMemoized {
		r.results = map[string]*measure.Result{}
	}
	r.results[string(key)] = result
	return result, kept, nil
}
