// Package core runs an engine in a process: one goroutine handles all its events, and nothing in it waits for anything.
// Attempts and probes run on goroutines of their own and report back. Fronts hand requests in with the way to make an
// attempt, sources of membership tell lists, and whoever talks to endpoints is known as Upstream. No other package calls
// an engine in a process that serves. It decides nothing, and may not know protocols, sockets or files.
package core

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/decide/quota"
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

// Attempt makes one attempt of a request and waits for its end, on a goroutine of its own. When ctx ends, the attempt
// is withdrawn.
type AttemptFunc func(ctx context.Context, t *AttemptContext) engine.AttemptResult

// Try is what an Attempt is told.
type AttemptContext struct {
	Target   Target
	Deadline monotime.Micros

	// MayGo is asked last, right before the first byte; if it says no, nothing goes out and the reply is Moot.
	ClaimSend func(now monotime.Micros) bool

	// Hold is told how to end the sending at once, without waiting, before MayGo is asked; if it says no the attempt has been
	// withdrawn. LetGo is told once nothing is sent or read any more, and says whether the sending was not ended: only then may
	// what it was sent on be used again. nil is nobody who withdraws.
	OnAbort     func(end func()) bool
	ReleaseConn func() bool

	// Began is asked when an answer has begun that is too large to be held (engine.Engine.Began).
	ResponseStarted func(r engine.AttemptResult) bool

	// Heard tells that an answer that is held comes, if slowly (engine.Engine.Heard).
	ResponseProgress func()
}

// Call is a client's request on its way through the core.
type Call struct {
	Client        *engine.Client
	Pool          *Pool            // whose endpoints it may go to
	ID            string           // the client's
	Request       balancer.Request // but for the ID, which the engine gives
	ArrivedAt     monotime.Micros  // when the request was whole
	Attempt       AttemptFunc
	Response      chan engine.Response // has room for one; the one final answer comes here
	NotReplayable func() bool          // as engine.Call has it

	call engine.Call
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

// ---- Events ----------------------------------------------------------------

// Submit takes a client's request; the one final answer comes on c.Answer.
func (x *Core) Submit(c *Call) {
	c.call = engine.Call{Client: c.Client, Pool: c.Pool.pool, ID: c.ID, Request: c.Request, ArrivedAt: c.ArrivedAt, HostData: c, NotReplayable: c.NotReplayable}
	x.post(func(now monotime.Micros) { x.engine.Submit(now, &c.call) })
}

// Leave tells that the client of a request has gone, and that nobody will take its answer if it has come meanwhile.
func (x *Core) ClientGone(c *Call) {
	x.post(func(now monotime.Micros) { x.engine.ClientGone(now, &c.call) })
}

// ChangeClient gives a client another spec, or returns the error of one that makes no sense; what it has open stays
// open.
func (x *Core) SetClientSpec(c *engine.Client, s fairqueue.ClientSpec) error {
	if err := s.Validate(); err != nil {
		return err
	}
	x.post(func(monotime.Micros) { c.SetSpec(s) }) // its only error is that of Validate
	return nil
}

// ---- Pools -----------------------------------------------------------------

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

// ---- By hand ---------------------------------------------------------------

// ByHand takes an endpoint out by hand, or lets it in again (engine.Engine.ByHand). It returns once that holds, or with
// the error of a core that has not come to it when ctx ends.
func (x *Core) SetCordon(ctx context.Context, name string, out bool, at monotime.Micros) (w cordon.Word, known bool, err error) {
	type said struct {
		w     cordon.Word
		known bool
	}
	s, err := queryContext(ctx, x, func(now monotime.Micros) (s said) {
		s.w, s.known = x.engine.SetCordon(now, name, out, at)
		return s
	})
	return s.w, s.known, err
}

// Hear takes words in that were said elsewhere.
func (x *Core) ReceiveCordons(words ...cordon.Word) {
	x.post(func(now monotime.Micros) {
		for _, w := range words {
			x.engine.ReceiveCordon(now, w)
		}
	})
}

// Words returns the words on endpoints by hand.
func (x *Core) Cordons(ctx context.Context) ([]cordon.Word, error) {
	return queryContext(ctx, x, func(monotime.Micros) []cordon.Word { return x.engine.Cordons() })
}

// Figures returns what the core shows of itself, and calls beside in the same instant.
func (x *Core) Statistics(ctx context.Context, beside func()) (engine.Statistics, error) {
	return queryContext(ctx, x, func(now monotime.Micros) engine.Statistics {
		beside()
		return x.engine.Statistics(now)
	})
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

// ---- With the fleet ---------------------------------------------------------

// Join has the core decide with the other instances of its fleet, or returns the error of settings that make no sense. It goes
// before the first pool; what is carried out by t is called by the core's goroutine.
func (x *Core) JoinFleet(t engine.Coordination) error { return x.engine.JoinFleet(t) }

// BeginFleet begins that, for a process that took over from none.
func (x *Core) StartCoordination() { x.post(x.engine.StartCoordination) }

// Word takes a word of another instance in.
func (x *Core) ReceiveFleetMessage(from string, w coordination.Word) {
	x.post(func(now monotime.Micros) { x.engine.ReceiveFleetMessage(now, from, w) })
}

// GiveFleet ends the core's part in its fleet: it spends nothing any more, and the others need not wait until its time is up. It
// returns what who takes the core's place has to know; nil where there is no fleet. BeginFleet goes on where nobody does.
func (x *Core) HandOverCoordination() *quota.State { return query(x, x.engine.HandOverCoordination) }

// FleetView returns what is known of the fleet; no where there is none.
func (x *Core) FleetView(ctx context.Context) (v coordination.View, yes bool, err error) {
	v, err = queryContext(ctx, x, func(now monotime.Micros) (v coordination.View) {
		v, yes = x.engine.FleetView(now)
		return v
	})
	return v, yes && err == nil, err
}

// Order has the core obey an order in which machines go out (engine.Engine.Order), and returns once that holds.
func (x *Core) ApplyMaintenancePlan(o engine.MaintenancePlan) {
	x.awaitingPlan.Store(o.AwaitingPlan)
	query(x, func(now monotime.Micros) bool {
		x.engine.ApplyMaintenancePlan(now, o)
		return true
	})
}

// Stand returns how machines stand, and how many attempts are open at each of some.
func (x *Core) MaintenanceStatus(names []string) (f maintenance.FleetStatus, open map[string]int) {
	f = query(x, func(now monotime.Micros) maintenance.FleetStatus {
		open = x.engine.OpenAttempts(names)
		return x.engine.MaintenanceFacts(now)
	})
	return f, open
}

// ---- What was learned ------------------------------------------------------

// Snapshot returns what the core holds; nil once it has ended.
func (x *Core) Snapshot() *engine.Snapshot { return query(x, x.engine.Snapshot) }

// HandOver returns what the core holds, and from that instant on leaves what cold endpoints may still get to who
// takes it over. TakeBack ends that.
func (x *Core) SnapshotForHandover() *engine.Snapshot {
	return query(x, func(now monotime.Micros) *engine.Snapshot {
		s := x.engine.Snapshot(now)
		x.engine.TransferWarmupBudget(now, true)
		return s
	})
}

// TakeBack goes on as before HandOver. What cold endpoints were to get counts as spent.
func (x *Core) CancelHandover() {
	x.post(func(now monotime.Micros) { x.engine.TransferWarmupBudget(now, false) })
}

// Restore takes over what another core held so long ago (engine.Engine.Restore). It returns once that is done, with
// what was passed over.
func (x *Core) Restore(s *engine.Snapshot, age monotime.Micros) (passedOver []string) {
	return query(x, func(now monotime.Micros) []string { return x.engine.Restore(now, age, s) })
}
