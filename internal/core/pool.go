package core

import (
	"context"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Pool is a pool of a core. Its methods are safe for concurrent use.
type Pool struct {
	core       *Core
	enginePool *engine.Pool
}

// NewPool adds a pool, or returns the *balancer.SettingError of invalid settings. It may be called before Run.
func (core *Core) NewPool(c engine.PoolConfig) (*Pool, error) {
	p, err := core.engine.NewPool(c)
	if err != nil {
		return nil, err
	}
	core.startPool(p.Start)
	return &Pool{core, p}, nil
}

// startPool has a pool start before any event that is posted from now on. It never blocks, since Run may not have been
// called yet.
func (core *Core) startPool(start event) {
	core.mu.Lock()
	core.pendingPoolStarts = append(core.pendingPoolStarts, start)
	core.mu.Unlock()
	select {
	case core.events <- core.newQueuedEvent(func(monotime.Micros) {}): // wakes the core
	default: // the queue is full: its events wake the core
	}
}

// startPendingPools starts the pools that were added.
func (core *Core) startPendingPools(now monotime.Micros) {
	core.mu.Lock()
	starts := core.pendingPoolStarts
	core.pendingPoolStarts = nil
	core.mu.Unlock()
	for _, start := range starts {
		start(now)
	}
}

// SetSource changes the name of the source of the endpoint list.
func (p *Pool) SetSource(source string) {
	p.core.post(func(monotime.Micros) { p.enginePool.SetSource(source) })
}

// UpdateEndpoints applies an update of the endpoint list, unless ctx, that of its watch, has ended by the time the
// update is handled.
func (p *Pool) UpdateEndpoints(ctx context.Context, update engine.EndpointUpdate) {
	p.core.post(func(now monotime.Micros) {
		if ctx.Err() == nil {
			p.enginePool.UpdateEndpoints(now, update)
		}
	})
}

// Close has the pool accept no more requests. Open ones go on at its endpoints until they end.
func (p *Pool) Close() { p.core.post(p.enginePool.Close) }

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
		queued, inFlight, maxInFlight := p.enginePool.Counts()
		return PoolCounts{
			Queued:      queued,
			InFlight:    inFlight,
			MaxInFlight: maxInFlight,
			OpenCalls:   p.core.engine.Calls(),
		}
	})
}
