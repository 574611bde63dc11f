package core

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/internal/clock"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// Upstream makes targets of addresses. Its methods must not wait.
type Upstream interface {
	Target(addr string) Target
}

// Target is where one endpoint listens, as whoever talks to endpoints knows it.
type Target interface {
	engine.Target

	// Probe asks for the endpoint's load, in a time of its own.
	Probe() engine.AttemptResult
	// Silent tells that an attempt that began at an instant was not answered in its time.
	AttemptTimedOut(since time.Time)
}

// Config is what a Core needs.
type Config struct {
	Clock       clock.Clock
	Site        *siteconfig.Site
	Seed        uint64
	Concurrency engine.ConcurrencySettings
	Upstream    Upstream
	Log         *slog.Logger
	Observer    engine.Observer // nil is nobody

	OnQuotaSpent func(now monotime.Micros, budget string) // as engine.Config has it
}

// Core runs an engine. Make one with New, give it pools, and run it. The engine belongs to the goroutine in Run; all
// else goes through post.
type Core struct {
	config       Config
	engine       *engine.Engine
	events       chan func(now monotime.Micros)
	stopped      chan struct{} // closed once the core takes no more events
	ready        atomic.Bool   // an endpoint is known to serve
	readySignal  chan struct{} // closed from then on
	awaitingPlan atomic.Bool   // an order is waited for: nothing goes anywhere

	mu            sync.Mutex
	pendingStarts []func(now monotime.Micros) // of new pools; they go before any event that follows them
}

// New returns a core without pools.
func New(c Config) *Core {
	x := &Core{config: c, events: make(chan func(monotime.Micros), 256), stopped: make(chan struct{}), readySignal: make(chan struct{})}
	x.engine = engine.New(engine.Config{Site: c.Site, Seed: c.Seed, Concurrency: c.Concurrency, Host: (*host)(x), Observer: c.Observer, OnQuotaSpent: c.OnQuotaSpent})
	return x
}

// Ready says whether requests can be served.
func (x *Core) Ready() bool { return x.ready.Load() && !x.awaitingPlan.Load() }

// Wait waits until the core is ready, or ctx ends.
func (x *Core) WaitReady(ctx context.Context) error {
	select {
	case <-x.readySignal:
		return nil
	case <-x.stopped:
		return context.Canceled
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// post hands an event to the core. After its end there is nobody to tell, and nobody must wait for it.
func (x *Core) post(event func(now monotime.Micros)) {
	select {
	case x.events <- event:
	case <-x.stopped:
	}
}

// ask posts an event, waits for what it returns, and returns that; the zero value once the core has ended.
func query[T any](x *Core, event func(now monotime.Micros) T) (v T) {
	got := make(chan T, 1)
	x.post(func(now monotime.Micros) { got <- event(now) })
	select {
	case v = <-got:
	case <-x.stopped:
	}
	return v
}

// Run handles events and what is due until ctx ends. Nothing in it waits for anything else.
func (x *Core) Run(ctx context.Context) {
	defer close(x.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now := x.config.Clock.Now()
		x.runPendingStarts(now)
		x.engine.Advance(now)
		if at, ok := x.engine.Next(); ok {
			timer.Reset(clock.Duration(at - now))
		}
		select {
		case event := <-x.events:
			now = x.config.Clock.Now()
			x.runPendingStarts(now)
			event(now)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// within posts an event and returns what it returns, unless ctx ends before it is there.
func queryContext[T any](ctx context.Context, x *Core, event func(now monotime.Micros) T) (v T, err error) {
	got := make(chan T, 1)
	select {
	case x.events <- func(now monotime.Micros) { got <- event(now) }:
	case <-x.stopped:
		return v, context.Canceled
	case <-ctx.Done():
		return v, context.Cause(ctx)
	}
	select {
	case v = <-got:
		return v, nil
	case <-x.stopped:
		return v, context.Canceled
	case <-ctx.Done():
		return v, context.Cause(ctx)
	}
}
