package core

import (
	"context"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Pool is a pool of a core. Its methods are safe for concurrent use.
type Pool struct {
	core *Core
	pool *engine.Pool
}

// NewPool adds a pool, or returns the *balancer.SettingError of invalid settings. It may be called before Run.
func (x *Core) NewPool(c engine.PoolConfig) (*Pool, error) {
	p, err := x.engine.NewPool(c)
	if err != nil {
		return nil, err
	}
	x.startPool(p.Start)
	return &Pool{x, p}, nil
}

// startPool has a pool start before any event that is posted from now on. It never blocks, since Run may not have been
// called yet.
func (x *Core) startPool(start event) {
	x.mu.Lock()
	x.pendingStarts = append(x.pendingStarts, start)
	x.mu.Unlock()
	select {
	case x.events <- x.queue(func(monotime.Micros) {}): // wakes the core
	default: // the queue is full: its events wake the core
	}
}

// runPendingStarts starts the pools that were added.
func (x *Core) runPendingStarts(now monotime.Micros) {
	x.mu.Lock()
	starts := x.pendingStarts
	x.pendingStarts = nil
	x.mu.Unlock()
	for _, start := range starts {
		start(now)
	}
}

// SetSource changes the name of the source of the endpoint list.
func (p *Pool) SetSource(source string) {
	p.core.post(func(monotime.Micros) { p.pool.SetSource(source) })
}

// UpdateEndpoints applies an update of the endpoint list, unless ctx, that of its watch, has ended by the time the
// update is handled.
func (p *Pool) UpdateEndpoints(ctx context.Context, update engine.EndpointUpdate) {
	p.core.post(func(now monotime.Micros) {
		if ctx.Err() == nil {
			p.pool.UpdateEndpoints(now, update)
		}
	})
}

// Close has the pool accept no more requests. Open ones go on at its endpoints until they end.
func (p *Pool) Close() { p.core.post(p.pool.Close) }

// PoolCounts are the numbers of requests at one instant.
type PoolCounts struct {
	Queued      int // in the pool's queue
	InFlight    int // of the pool
	MaxInFlight int // learned bound of InFlight; 0 if the bound is not learned
	OpenCalls   int // in the request table, of all pools
}

// Counts returns the pool's numbers of requests.
func (p *Pool) Counts() PoolCounts {
	return query(p.core, func(monotime.Micros) PoolCounts {
		queued, inFlight, maxInFlight := p.pool.Counts()
		return PoolCounts{
			Queued:      queued,
			InFlight:    inFlight,
			MaxInFlight: maxInFlight,
			OpenCalls:   p.core.engine.Calls(),
		}
	})
}
