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

// Upstream creates targets for endpoint addresses. Its methods must not block.
type Upstream interface {
	// Target returns the target for the address of an endpoint of the named pool. It is called on the core's
	// goroutine.
	Target(pool, addr string) Target
}

// Target represents the address of one endpoint. The package that sends requests to endpoints implements it.
type Target interface {
	engine.Target

	// Probe requests the endpoint's load report and waits for the response. It must return within a bounded
	// time.
	Probe() engine.AttemptResult
	// AttemptTimedOut reports that an attempt that was started at startedAt got no response before its
	// deadline. It must not block.
	AttemptTimedOut(startedAt time.Time)
}

// Config holds the settings and dependencies of a Core.
type Config struct {
	Clock       clock.Clock
	Site        *siteconfig.Site
	Seed        uint64 // seed of all random draws
	Concurrency engine.ConcurrencySettings
	Upstream    Upstream
	Log         *slog.Logger
	Observer    engine.Observer // nil disables observation

	// OnQuotaSpent is called for each unit that is spent of a quota budget of the fleet, with the name of the
	// budget. It must not block. It may be nil.
	OnQuotaSpent func(now monotime.Micros, budget string)
}

// eventQueueLength is the capacity of the event queue. Posting an event blocks while the queue is full.
const eventQueueLength = 256

// event changes or reads the state of the engine. Only the goroutine of Core.Run calls events.
type event func(now monotime.Micros)

// queuedEvent is an event in the event queue.
type queuedEvent struct {
	handle     event
	postedAt   monotime.Micros
	deferrable bool // the event may be delayed until the core has caught up after a stall
}

// newQueuedEvent returns an event for the queue, with the present instant as postedAt.
func (core *Core) newQueuedEvent(e event) queuedEvent {
	return queuedEvent{handle: e, postedAt: core.config.Clock.Now()}
}

// Core runs an engine. Create a core with New, add pools, and call Run. Only the goroutine of Run accesses the
// engine: the methods of Core post events to that goroutine, and are safe for concurrent use unless their
// comments state otherwise.
type Core struct {
	config       Config
	engine       *engine.Engine
	events       chan queuedEvent
	eventWait    monotime.Micros // queue time of the event being handled; only the goroutine of Run uses it
	stopped      chan struct{}   // closed once Run handles no more events
	ready        atomic.Bool     // set once the first endpoint is ready
	readySignal  chan struct{}   // closed when ready is set
	awaitingPlan atomic.Bool     // no maintenance plan is known yet; nothing is sent to endpoints

	// mu guards pendingPoolStarts.
	mu                sync.Mutex
	pendingPoolStarts []event // starts of new pools, handled before any event that is posted later
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

// Ready reports whether the core can serve requests: at least one endpoint has become ready, and the core is
// not waiting for its first maintenance plan.
func (core *Core) Ready() bool { return core.ready.Load() && !core.awaitingPlan.Load() }

// WaitReady waits until an endpoint is ready. It returns the cause of ctx if ctx ends first, and
// context.Canceled if the core stops first.
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

// post adds an event to the queue. It drops the event if the core has stopped.
func (core *Core) post(e event) { core.postQueued(core.newQueuedEvent(e)) }

// postDeferrable adds an event that is caused by a client to the queue. Such an event is handled only after the
// core has caught up after a stall. All deferrable events are handled in the order in which they were posted.
func (core *Core) postDeferrable(e event) {
	queued := core.newQueuedEvent(e)
	queued.deferrable = true
	core.postQueued(queued)
}

// postQueued adds a queued event to the queue, or drops it if the core has stopped.
func (core *Core) postQueued(queued queuedEvent) {
	select {
	case core.events <- queued:
	case <-core.stopped:
	}
}

// query calls read as an event and returns its result, or the zero value if the core has stopped.
func query[T any](core *Core, read func(now monotime.Micros) T) (value T) {
	result := make(chan T, 1)
	core.post(func(now monotime.Micros) { result <- read(now) })
	select {
	case value = <-result:
	case <-core.stopped:
	}
	return value
}

// queryContext calls read as an event and returns its result. It returns the cause of ctx if ctx ends first,
// and context.Canceled if the core has stopped.
func queryContext[T any](ctx context.Context, core *Core, read func(now monotime.Micros) T) (value T, err error) {
	result := make(chan T, 1)
	select {
	case core.events <- core.newQueuedEvent(func(now monotime.Micros) { result <- read(now) }):
	case <-core.stopped:
		return value, context.Canceled
	case <-ctx.Done():
		return value, context.Cause(ctx)
	}
	select {
	case value = <-result:
		return value, nil
	case <-core.stopped:
		return value, context.Canceled
	case <-ctx.Done():
		return value, context.Cause(ctx)
	}
}
