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

// Upstream makes targets for addresses. Its methods must not block.
type Upstream interface {
	// Target returns the target for the address of an endpoint of a pool. It is called on the core's goroutine.
	Target(pool, addr string) Target
}

// Target is the address of one endpoint: the handle of the package that sends requests to endpoints.
type Target interface {
	engine.Target

	// Probe requests the endpoint's load report and waits for it. It must return within a bounded time.
	Probe() engine.AttemptResult
	// AttemptTimedOut reports that an attempt that started at an instant was not answered before its deadline. It must
	// not block.
	AttemptTimedOut(startedAt time.Time)
}

// Config is what a Core needs.
type Config struct {
	Clock       clock.Clock
	Site        *siteconfig.Site
	Seed        uint64 // of all random draws
	Concurrency engine.ConcurrencySettings
	Upstream    Upstream
	Log         *slog.Logger
	Observer    engine.Observer // nil is none

	// OnQuotaSpent is as in engine.Config.
	OnQuotaSpent func(now monotime.Micros, budget string)
}

// eventQueueLength is the number of events that may wait for the core before posting another one blocks.
const eventQueueLength = 256

// event is a change of the engine's state. Only the goroutine of Run calls it.
type event func(now monotime.Micros)

// queuedEvent is an event that waits for the core.
type queuedEvent struct {
	handle     event
	postedAt   monotime.Micros
	deferrable bool // it may wait until the core has caught up after a stall
}

// queue returns an event as it is sent to the core.
func (core *Core) newQueuedEvent(e event) queuedEvent {
	return queuedEvent{handle: e, postedAt: core.config.Clock.Now()}
}

// Core runs an engine. Make one with New, add pools, and call Run. The engine belongs to the goroutine of Run: all
// methods pass it events, and are safe for concurrent use unless they say otherwise.
type Core struct {
	config       Config
	engine       *engine.Engine
	events       chan queuedEvent
	eventWait    monotime.Micros // of the event that is handled now; only the goroutine of Run uses it
	stopped      chan struct{}   // closed once no event is handled any more
	ready        atomic.Bool     // an endpoint has been ready
	readySignal  chan struct{}   // closed once ready is set
	awaitingPlan atomic.Bool     // no maintenance plan is known yet: nothing is sent to any endpoint

	mu                sync.Mutex
	pendingPoolStarts []event // of new pools, handled before any event that is posted later
}

// New returns a core without pools.
func New(c Config) *Core {
	core := &Core{
		config:      c,
		events:      make(chan queuedEvent, eventQueueLength),
		stopped:     make(chan struct{}),
		readySignal: make(chan struct{}),
	}
	core.engine = engine.New(engine.Config{
		Site:         c.Site,
		Seed:         c.Seed,
		Concurrency:  c.Concurrency,
		Host:         (*host)(core),
		Observer:     c.Observer,
		OnQuotaSpent: c.OnQuotaSpent,
	})
	return core
}

// Ready reports whether requests can be served: an endpoint has been ready, and the core does not wait for its first
// maintenance plan.
func (core *Core) Ready() bool { return core.ready.Load() && !core.awaitingPlan.Load() }

// WaitReady waits until an endpoint is ready. It returns the cause of ctx if that ends first, and context.Canceled if
// the core stops first.
func (core *Core) WaitReady(ctx context.Context) error {
	select {
	case <-core.readySignal:
		return nil
	case <-core.stopped:
		return context.Canceled
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// post passes an event to the core. Once the core has stopped, the event is dropped.
func (core *Core) post(e event) { core.postQueued(core.newQueuedEvent(e)) }

// postDeferrable is post for what clients do: it waits until the core has caught up after a stall. All such events keep
// their order.
func (core *Core) postDeferrable(e event) {
	queued := core.newQueuedEvent(e)
	queued.deferrable = true
	core.postQueued(queued)
}

// postQueued passes a queued event to the core, unless that has stopped.
func (core *Core) postQueued(queued queuedEvent) {
	select {
	case core.events <- queued:
	case <-core.stopped:
	}
}

// query calls read as an event and returns its result; the zero value once the core has stopped.
func query[T any](core *Core, read func(now monotime.Micros) T) (v T) {
	result := make(chan T, 1)
	core.post(func(now monotime.Micros) { result <- read(now) })
	select {
	case v = <-result:
	case <-core.stopped:
	}
	return v
}

// queryContext is query for callers with a context. It returns the cause of ctx if that ends first, and
// context.Canceled if the core has stopped.
func queryContext[T any](ctx context.Context, core *Core, read func(now monotime.Micros) T) (v T, err error) {
	result := make(chan T, 1)
	select {
	case core.events <- core.newQueuedEvent(func(now monotime.Micros) { result <- read(now) }):
	case <-core.stopped:
		return v, context.Canceled
	case <-ctx.Done():
		return v, context.Cause(ctx)
	}
	select {
	case v = <-result:
		return v, nil
	case <-core.stopped:
		return v, context.Canceled
	case <-ctx.Done():
		return v, context.Cause(ctx)
	}
}
