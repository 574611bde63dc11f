// Package engine decides for one instance: it owns the balancers of all pools, the decisions between clients and the
// requests in flight, and puts their decisions together. It is a deterministic state machine for one caller at a time:
// its host passes events with their instants, advances it to the instants at which something is due, and carries out
// what it asks for (Host). It does no I/O, reads no clock and starts no goroutine: package engine runs one in a process,
// package simulation runs thousands in simulated time. It may not know protocols, sockets or files. pool.go holds what is of
// one set of endpoints, of which there may be several; what bounds clients holds over all of them.
package engine

import (
	"container/heap"
	"math/rand/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// Host carries out what an engine asks for. Its methods are called from within the engine's, in the order in which they
// are to take effect; they must not wait, and must not call the engine.
type Host interface {
	// Target makes what attempts are sent to of an endpoint's address.
	NewTarget(addr string) Target
	// Start starts an attempt; its end is told to Engine.Ended. a.Host is the host's to use.
	StartAttempt(a *Attempt)
	// Shut keeps an attempt in that has not gone out, and says whether it had not: then it never runs.
	CancelUnsent(a *Attempt) (never bool)
	// Withdraw ends an attempt, however far it is; nobody waits for it any more.
	AbortAttempt(a *Attempt)
	// Silent tells that an attempt that went out was not answered in its time.
	AttemptTimedOut(a *Attempt)
	// Probe asks an endpoint for its load; the answer is told to Engine.Probed.
	StartProbe(p *Pool, e *Endpoint)
	// Answer gives a request its one final answer.
	Respond(c *Call, a Response)
	// Ready tells that an endpoint is known to serve, once.
	EndpointReady()
	// Log records a line for on-call staff; Warn one that asks for a look.
	Log(line string, args ...any)
	Warn(line string, args ...any)
}

// Target is the host's own for where an endpoint listens. What is meant for it must not reach another endpoint that
// listens at the same address later.
type Target interface {
	// Drop ends the target's use. What is out there goes on.
	Drop()
}

// Observer is told what an engine does, for counting over a fleet. Its methods must not wait, and must not call the engine.
type Observer interface {
	// Sent tells that an attempt started at an endpoint.
	AttemptStarted(now monotime.Micros, endpoint string)
	// Ended tells an attempt's outcome, Probed a probe's.
	AttemptEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	ProbeEnded(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	// Told tells news of the list, as the pool was told.
	EndpointsUpdated(now monotime.Micros, t EndpointUpdate)
}

// Reply is what came of an attempt or a probe.
type AttemptResult struct {
	Status   balancer.Status
	At       monotime.Micros
	SentAt   monotime.Micros // its latency counts from here, when the last byte of the request had gone; 0 is from its start
	Load     []float32
	Response any // whatever the request's front makes the client's answer of; of what is not OK it may be nil
}

// Verdict is how a request ended for its client.
type Verdict uint8

// The verdicts.
const (
	Served      Verdict = iota
	Rejected            // trying again is harmless
	RateLimited         // as Refused: its client asks more often than it may
	Failed              // no such promise
	TimedOut            // as Failed, and the last attempt ran out of time
	DuplicateID         // not taken: another request with its id is open
)

// Answer is the final answer to a request.
type Response struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // Refused and Limited only; 0 is no advice
	Reason     string          // of those, for people; may be empty
	Result     *AttemptResult  // of Served; of Refused and Failed, the last that an endpoint answered, or nil

	Attempts  int             // that were started
	QueueTime monotime.Micros // for its turn, before it went to the balancer
	Endpoint  string          // that served it, by its name; "" is none
}

// Call is a client's request on its way through the engine.
type Call struct {
	Client    *Client
	Pool      *Pool            // whose endpoints it may go to
	ID        string           // the client's
	Request   balancer.Request // but for the ID, which the engine gives
	ArrivedAt monotime.Micros  // when the request was whole
	HostData  any              // the host's own

	// Spent says whether a part of the request has gone out that cannot be shown again: then no further attempt is
	// made. nil is never.
	NotReplayable func() bool

	admittedAt          monotime.Micros // when it went to the balancer; 0 before
	inFlightAtAdmission int             // requests in flight then, itself included
	attempts            []*Attempt
	openAttempts        int // attempts without outcome
	finished            bool
	lastTimedOut        bool           // the last outcome was a time-out
	lastResult          *AttemptResult // the last that an endpoint answered
}

// Ended says whether the call has its final answer, or needs none.
func (c *Call) Finished() bool { return c.finished }

// Attempts returns how many attempts have been started for the call.
func (c *Call) AttemptCount() int { return len(c.attempts) }

// Attempt is one send of a request. Its host reports its end once; the engine tells the balancer once.
type Attempt struct {
	Call       *Call
	Number     int // among the call's, from 0
	Endpoint   *Endpoint
	StartedAt  monotime.Micros
	Deadline   monotime.Micros // nothing of it is waited for from then on
	SendBefore monotime.Micros // its first byte may not go out from then on; 0 is no such instant
	HostData   any             // the host's own

	deadlineTimer *timer
	done          bool // the balancer knows the outcome
}

// Done says whether the balancer knows the attempt's outcome: what its host still has of it is for nobody.
func (a *Attempt) Done() bool { return a.done }

// Config is what an Engine needs.
type Config struct {
	Site        *siteconfig.Site
	Seed        uint64
	Concurrency ConcurrencySettings
	Host        Host
	Observer    Observer // nil is nobody

	OnQuotaSpent func(now monotime.Micros, budget string) // told of each unit that is spent of a budget of the fleet; nil is nobody. It must not wait
}

// Engine decides. Make one with New, and give it pools.
type Engine struct {
	config    Config
	openTotal *fairqueue.SharedLimit // of requests over all pools
	rng       *rand.Rand

	now           monotime.Micros // the instant of the present event
	pools         []*Pool         // not gone
	cordons       cordon.Set
	fleet         *fleetCoordinator // nil where nothing is decided with other instances
	maintenance   maintenanceState  // what is obeyed of the order in which machines go out
	lastRequestID uint64
	calls         map[uint64]*Call
	dirtyPools    []*Pool // whose decisions between clients may have changed
	timers        timerHeap
	timerSequence uint64
	ready         bool
}

// New returns an engine without pools.
func New(c Config) *Engine {
	x := &Engine{config: c, openTotal: &fairqueue.SharedLimit{Max: c.Concurrency.MaxOpen}, calls: map[uint64]*Call{},
		rng: rand.New(rand.NewPCG(c.Seed, 1))}
	x.divideLimitsStatically()
	return x
}

// Calls returns how many calls are not forgotten yet.
func (x *Engine) Calls() int { return len(x.calls) }

// Pools returns how many pools are not gone.
func (x *Engine) Pools() int { return len(x.pools) }

// ---- Time ------------------------------------------------------------------

// Next returns the instant at which something is due; ok says whether anything is.
func (x *Engine) Next() (at monotime.Micros, ok bool) {
	if len(x.timers) == 0 {
		return 0, false
	}
	return x.timers[0].due, true
}

// Advance does what is due by an instant. The host calls it when that of Next has come, and after each event.
func (x *Engine) Advance(now monotime.Micros) {
	x.now = now
	for len(x.timers) > 0 && x.timers[0].due <= now {
		heap.Pop(&x.timers).(*timer).fire(now)
	}
	x.dispatchQueued(now)
}

// ---- Events ----------------------------------------------------------------

// Submit takes a client's request; the one final answer comes by Host.Answer.
func (x *Engine) Submit(now monotime.Micros, c *Call) {
	x.now = now
	switch {
	case c.Client.openCalls[c.ID] != nil:
		c.finished = true
		x.config.Host.Respond(c, Response{Verdict: DuplicateID})
	case c.Pool.closed:
		c.finished = true
		x.config.Host.Respond(c, Response{Verdict: Rejected, Reason: "its pool of endpoints has just gone"})
	default:
		x.lastRequestID++
		c.Request.ID = x.lastRequestID
		x.calls[c.Request.ID], c.Client.openCalls[c.ID] = c, c
		c.Pool.openCalls++
		c.Pool.enqueue(now, c)
	}
	x.dispatchQueued(now)
}

// Leave tells that the client of a request has gone, and that nobody will take its answer if it has come meanwhile.
func (x *Engine) ClientGone(now monotime.Micros, c *Call) {
	x.now = now
	if c.finished {
		for _, a := range c.attempts { // an answer that has begun would wait to be read
			if !a.done {
				x.config.Host.AbortAttempt(a)
			}
		}
		return
	}
	x.finishRequest(c)
	if c.admittedAt > 0 {
		c.Pool.balancer.ClientGone(now, c.Request.ID)
	}
	x.dispatchQueued(now)
}

// Ended tells what came of an attempt. What comes after its time was up is passed over.
func (x *Engine) AttemptEnded(now monotime.Micros, a *Attempt, r AttemptResult) {
	x.now = now
	x.recordOutcome(now, a, r)
	x.dispatchQueued(now)
}

// Began tells that an answer has begun that is too large to be held, with a reply of which At is the instant of its
// beginning. If it says yes, the answer is the client's, and no deadline concerns the attempt any more; what ends it is
// told to Ended. If it says no, the request has its answer already.
func (x *Engine) ResponseStarted(now monotime.Micros, a *Attempt, r AttemptResult) bool {
	x.now = now
	yes := x.startResponse(now, a, r)
	x.dispatchQueued(now)
	return yes
}

// Heard tells that an answer comes, if slowly: the attempt is waited for as long as its client waits.
func (x *Engine) ResponseProgress(now monotime.Micros, a *Attempt) {
	x.now = now
	if c := a.Call; !a.done && !c.finished && a.Deadline < c.Request.Deadline {
		x.cancelTimer(a.deadlineTimer)
		a.Deadline = c.Request.Deadline
		a.deadlineTimer = x.schedule(a.Deadline, func(now monotime.Micros) { x.expireAttempt(now, a) })
	}
}

// Probed tells what came of a probe that was sent at an instant.
func (x *Engine) ProbeEnded(now monotime.Micros, p *Pool, e *Endpoint, sent monotime.Micros, r AttemptResult) {
	x.now = now
	if o := x.config.Observer; o != nil {
		o.ProbeEnded(now, e.Name, r.Status, max(0, r.At-sent))
	}
	p.observeUtilization(e, r.Load)
	p.observeProbe(now, &r)
	p.balancer.Probed(now, e.Number, r.Status, max(0, r.At-sent), r.Load)
	x.dispatchQueued(now)
}

// outcome tells the balancer how an attempt ended. The first whole answer of an endpoint is the client's.
func (x *Engine) recordOutcome(now monotime.Micros, a *Attempt, r AttemptResult) {
	if a.done {
		return // its time was up before this came
	}
	a.done = true
	x.config.Host.AbortAttempt(a)
	x.cancelTimer(a.deadlineTimer)
	c := a.Call
	c.openAttempts--
	c.lastTimedOut = r.Status == balancer.Timeout
	if r.Response != nil {
		c.lastResult = &r
	}
	switch {
	case c.finished:
	case r.Status == balancer.OK:
		c.Pool.observeServiceTime(now, c)
		x.respond(c, Response{Verdict: Served, Result: &r, Endpoint: a.Endpoint.Name})
	}
	settled := c.finished
	x.removeFinished(c)
	latency := max(0, r.At-max(a.StartedAt, r.SentAt))
	c.Pool.observeEndpointHealth(now, a.Endpoint, r.Status, latency)
	c.Pool.observeLoad(now, -1)
	c.Pool.observeUtilization(a.Endpoint, r.Load)
	c.Pool.recordObservation(now, a, r.Status)
	c.Pool.observeAttempt(now, a, r, latency)
	if o := x.config.Observer; o != nil {
		o.AttemptEnded(now, a.Endpoint.Name, r.Status, latency)
	}
	c.Pool.balancer.Outcome(now, balancer.Outcome{ID: c.Request.ID, Attempt: a.Number, Endpoint: a.Endpoint.Number,
		Status: r.Status, Latency: latency, Settled: settled, Spent: c.NotReplayable != nil && c.NotReplayable(), Load: r.Load})
}

// timeUp ends an attempt by our clock, whatever its connection does.
func (x *Engine) expireAttempt(now monotime.Micros, a *Attempt) {
	if a.done {
		return
	}
	status := balancer.Timeout
	if x.config.Host.CancelUnsent(a) {
		// Nothing was written. Only a dial that had its whole time says something of the endpoint.
		if status = balancer.Moot; now-a.StartedAt >= x.config.Site.Settings.Limits.DialTimeout {
			status = balancer.ConnectFailed
		}
	} else {
		x.config.Host.AttemptTimedOut(a)
	}
	x.recordOutcome(now, a, AttemptResult{Status: status, At: now})
}

// began gives an answer that has begun to the client, if the request has none yet.
func (x *Engine) startResponse(now monotime.Micros, a *Attempt, r AttemptResult) bool {
	c := a.Call
	if a.done || c.finished {
		return false
	}
	x.cancelTimer(a.deadlineTimer)
	p := c.Pool
	p.balancer.Headers(now, c.Request.ID, a.Number, max(0, r.At-max(a.StartedAt, r.SentAt))) // ends the others
	p.observeServiceTime(now, c)
	x.respond(c, Response{Verdict: Served, Result: &r, Endpoint: a.Endpoint.Name})
	// Its place is free for the next: what is left is bytes, and they wait for nobody's processor.
	p.queue.Done(now, c.Request.ID)
	x.markDirty(p)
	return true
}

// fail gives a request the answer that it failed, with what an endpoint said last.
func (x *Engine) failRequest(c *Call) {
	v := Failed
	if c.lastTimedOut {
		v = TimedOut
	}
	x.respond(c, Response{Verdict: v, Result: c.lastResult})
}

// ---- The table of requests -------------------------------------------------

// finish gives a request its one final answer; nothing new goes out for it.
func (x *Engine) respond(c *Call, a Response) {
	a.Attempts, a.QueueTime = len(c.attempts), x.now-c.ArrivedAt
	if c.admittedAt > 0 {
		a.QueueTime = c.admittedAt - c.ArrivedAt
	}
	x.config.Host.Respond(c, a)
	x.finishRequest(c)
}

// end marks a request as over and keeps in what has not gone out yet. What is kept in has ended, whether or not attempts may be
// withdrawn that run: nobody waits for its connection any more, and nothing is held for it.
func (x *Engine) finishRequest(c *Call) {
	c.finished = true
	for _, a := range c.attempts {
		if !a.done && x.config.Host.CancelUnsent(a) {
			x.schedule(x.now, func(now monotime.Micros) { x.recordOutcome(now, a, AttemptResult{Status: balancer.Moot, At: now}) })
		}
	}
	x.removeFinished(c)
}

// forget drops a request that is over once all its outcomes are in.
func (x *Engine) removeFinished(c *Call) {
	if c.finished && c.openAttempts == 0 && x.calls[c.Request.ID] == c {
		delete(x.calls, c.Request.ID)
		delete(c.Client.openCalls, c.ID)
		c.Pool.queue.Done(x.now, c.Request.ID)
		x.markDirty(c.Pool)
		c.Pool.openCalls--
		c.Pool.dissolveIfIdle()
	}
}
