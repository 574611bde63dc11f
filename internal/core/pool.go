package core

import (
	"context"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
)

// begin has a pool begin, before any event that is posted from now on. It never waits: Run may not have begun.
func (x *Core) startPool(event func(now monotime.Micros)) {
	x.mu.Lock()
	x.pendingStarts = append(x.pendingStarts, event)
	x.mu.Unlock()
	select {
	case x.events <- func(monotime.Micros) {}:
	default: // there are others
	}
}

func (x *Core) runPendingStarts(now monotime.Micros) {
	x.mu.Lock()
	begins := x.pendingStarts
	x.pendingStarts = nil
	x.mu.Unlock()
	for _, event := range begins {
		event(now)
	}
}

// Pool is a pool of a core.
type Pool struct {
	core *Core
	pool *engine.Pool
}

// NewPool adds a pool, or returns the *balancer.SettingError of settings that make no sense.
func (x *Core) NewPool(c engine.PoolConfig) (*Pool, error) {
	p, err := x.engine.NewPool(c)
	if err != nil {
		return nil, err
	}
	x.startPool(p.Start)
	return &Pool{x, p}, nil
}

// Moved tells that the list comes from another source from now on.
func (p *Pool) SetSource(source string) {
	p.core.post(func(monotime.Micros) { p.pool.SetSource(source) })
}

// Members tells news of the list, unless ctx has ended by the time it is heard.
func (p *Pool) UpdateEndpoints(ctx context.Context, told engine.EndpointUpdate) {
	p.core.post(func(now monotime.Micros) {
		if ctx.Err() == nil {
			p.pool.UpdateEndpoints(now, told)
		}
	})
}

// Close takes nothing new; what is open goes on to its end, at the endpoints of the pool.
func (p *Pool) Close() { p.core.post(p.pool.Close) }

// Counts returns how many of the pool's requests wait and are in flight, how many may be (0 is no bound), and how many
// calls of all pools are not forgotten yet.
func (p *Pool) Counts() (waiting, inFlight, slots, calls int) {
	n := query(p.core, func(monotime.Micros) [4]int {
		waiting, inFlight, slots := p.pool.Counts()
		return [4]int{waiting, inFlight, slots, p.core.engine.Calls()}
	})
	return n[0], n[1], n[2], n[3]
}
