package core

import (
	"context"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// Pool is a pool of endpoints of a core. Its methods are safe for concurrent use.
type Pool struct {
	core       *Core
	enginePool *engine.Pool
}

// NewPool adds a pool to the core. It returns a *balancer.SettingError for invalid settings. It may be called
// before Run.
func (core *Core) NewPool(c engine.PoolConfig) (*Pool, error) {
	pool, err := core.engine.NewPool(c)
	if err != nil {
		return nil, err
	}
	core.startPool(pool.Start)
	return &Pool{core, pool}, nil
}

// startPool queues the start of a pool, which is handled before any event that is posted later. It never
// blocks, because Run may not have been called yet.
func (core *Core) startPool(start event) {
	core.mu.Lock()
	core.pendingPoolStarts = append(core.pendingPoolStarts, start)
	core.mu.Unlock()
	select {
	case core.events <- core.newQueuedEvent(func(monotime.Micros) {}): // an event without effect wakes the core
	default: // the queue is full, and its events wake the core
	}
}

// startPendingPools starts the pools that were added since its last call.
func (core *Core) startPendingPools(now monotime.Micros) {
	core.mu.Lock()
	starts := core.pendingPoolStarts
	core.pendingPoolStarts = nil
	core.mu.Unlock()
	for _, start := range starts {
		start(now)
	}
}

// SetSource changes the name of the source from which the pool gets its endpoint list.
func (p *Pool) SetSource(source string) {
	p.core.post(func(monotime.Micros) { p.enginePool.SetSource(source) })
}

// UpdateEndpoints applies an update of the endpoint list. ctx is the context of the watch that produced the
// update. The update is dropped if ctx has ended by the time the update is handled.
func (p *Pool) UpdateEndpoints(ctx context.Context, update engine.EndpointUpdate) {
	p.core.post(func(now monotime.Micros) {
		if ctx.Err() == nil {
			p.enginePool.UpdateEndpoints(now, update)
		}
	})
}

// Close makes the pool reject new requests. Requests that are open continue at the pool's endpoints until they
// end. replacement is the pool whose endpoint list the pool then follows, or nil.
func (p *Pool) Close(replacement *Pool) {
	var engineReplacement *engine.Pool
	if replacement != nil {
		engineReplacement = replacement.enginePool
	}
	p.core.post(func(now monotime.Micros) { p.enginePool.Close(now, engineReplacement) })
}

// PoolCounts holds numbers of requests at one instant.
type PoolCounts struct {
	Queued      int // requests in the pool's queue
	InFlight    int // requests of the pool in flight
	MaxInFlight int // estimated bound of InFlight; 0 if the bound is not estimated
	OpenCalls   int // requests of all pools in the request table
}

// Counts returns the pool's request counts, and the number of open requests of all pools.
func (p *Pool) Counts() PoolCounts {
	return query(p.core, func(monotime.Micros) PoolCounts {
		queued, inFlight, maxInFlight := p.enginePool.RequestCounts()
		return PoolCounts{
			Queued:      queued,
			InFlight:    inFlight,
			MaxInFlight: maxInFlight,
			OpenCalls:   p.core.engine.OpenCalls(),
		}
	})
}
