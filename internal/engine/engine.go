package engine

import (
	"maps"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/indexedheap"
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// Config configures an Engine.
type Config struct {
	Site        *siteconfig.Site
	Seed        uint64 // seed of all random draws: the same seed and events give the same decisions
	Concurrency ConcurrencySettings
	Host        Host
	Observer    Observer // nil disables observation

	// OnQuotaSpent is called with the budget's name for each unit of a fleet budget that the engine spends. It
	// must not block. It may be nil.
	OnQuotaSpent func(now monotime.Micros, budget string)
}

// Engine makes the load balancing decisions of one instance. Create it with New, then add pools with NewPool
// and Pool.Start. It is not safe for concurrent use.
type Engine struct {
	config    Config
	openTotal *fairqueue.SharedLimit // limit of open requests, shared by all pools
	rng       *rand.Rand

	now           monotime.Micros // instant of the current event
	pools         []*Pool         // pools that are started and not yet dissolved
	cordons       cordon.Set
	fleet         *fleetCoordinator // nil if the instance has neither a fleet nor tenant limits
	maintenance   maintenanceState
	lastRequestID uint64
	calls         map[uint64]*Call // requests in the request table, by the balancer's request ID
	dirtyPools    []*Pool          // pools whose queues may have decisions due
	timers        indexedheap.Heap[*timer]
	timerSequence uint64
	openProbes    int            // probes started whose outcome is not known yet
	abandonedIDs  idReservations // of requests whose clients have left
	inheritedIDs  idReservations // of requests that are open in the predecessor
	stalls        stall.Log      // intervals in which this process did not run
	ready         bool           // the first ready endpoint was reported (Host.EndpointReady)
}

// New returns an engine without pools. Tenant limits are divided statically between the instances until
// JoinFleet is called.
func New(c Config) *Engine {
	eng := &Engine{
		config:    c,
		openTotal: &fairqueue.SharedLimit{Max: c.Concurrency.MaxOpen},
		calls:     map[uint64]*Call{},
		rng:       rand.New(rand.NewPCG(c.Seed, 1)),
	}
	eng.divideLimitsStatically()
	return eng
}

// OpenCalls returns the number of calls in the request table: calls without a final response, and calls with an
// attempt in flight.
func (eng *Engine) OpenCalls() int { return len(eng.calls) }

// Pools returns the number of pools that are started and not dissolved.
func (eng *Engine) Pools() int { return len(eng.pools) }

// Submit accepts a client's request. The final response is given through Host.Respond. Submit gives it at once if
// another request of the client with the same ID is open or may still run (DuplicateID), if the pool is closed, if the
// tenant is over its limit, or if overload control or the queue rejects the request; otherwise a later event gives it.
func (eng *Engine) Submit(now monotime.Micros, c *Call) {
	eng.now = now
	switch {
	case eng.isReserved(now, c):
		c.finished = true
		eng.config.Host.Respond(c, Response{Verdict: DuplicateID})
	case c.Pool.closed:
		c.finished = true
		eng.config.Host.Respond(c, Response{Verdict: Rejected, Reason: "its pool of endpoints has just gone"})
	default:
		eng.lastRequestID++
		c.Request.ID = eng.lastRequestID
		eng.calls[c.Request.ID] = c
		c.Client.openCalls[c.ID] = c
		c.Pool.openCalls++
		c.Pool.enqueue(now, c)
	}
	eng.dispatchQueued(now)
}

// ClientGone reports that the client of a request has disconnected. If the request already has its final
// response, the attempts that are still open, such as one that transfers that response, are aborted. Any other
// request ends without a response: its attempts of which nothing has been sent are cancelled, and the balancer
// decides whether the others are cancelled.
func (eng *Engine) ClientGone(now monotime.Micros, c *Call) {
	eng.now = now
	if c.finished {
		for _, a := range c.attempts {
			if !a.done {
				eng.config.Host.AbortAttempt(a)
			}
		}
		return
	}
	c.clientGone = true
	eng.finishRequest(c)
	eng.withdraw(now, c)
	eng.dispatchQueued(now)
}

// Expire reports that the time of a request is over before its deadline, and that nothing of the request has been sent.
// The request times out, unless it already has its final response.
func (eng *Engine) Expire(now monotime.Micros, c *Call) {
	eng.now = now
	if !c.finished {
		eng.respond(c, Response{Verdict: TimedOut})
		eng.withdraw(now, c)
	}
	eng.dispatchQueued(now)
}

// ExpireAll gives all requests without a final response one, because the process ends before their time is over: those
// without an attempt are rejected, the others time out. It returns their number.
func (eng *Engine) ExpireAll(now monotime.Micros) (expired int) {
	eng.now = now
	for _, id := range slices.Sorted(maps.Keys(eng.calls)) {
		c := eng.calls[id]
		if c == nil || c.finished {
			continue
		}
		response := Response{Verdict: TimedOut}
		if len(c.attempts) == 0 {
			response = Response{Verdict: Rejected, Reason: "the process ends"}
		}
		eng.respond(c, response)
		eng.withdraw(now, c)
		expired++
	}
	eng.dispatchQueued(now)
	return expired
}

// withdraw tells the balancer, if it has the request, that the request has ended without a decision of it.
func (eng *Engine) withdraw(now monotime.Micros, c *Call) {
	if c.admittedAt > 0 {
		c.Pool.balancer.HandleClientGone(now, c.Request.ID)
	}
}

// AttemptEnded reports the outcome of an attempt. The outcome is ignored if the attempt has already ended
// because its deadline passed or because it was cancelled.
func (eng *Engine) AttemptEnded(now monotime.Micros, a *Attempt, r AttemptResult) {
	eng.now = now
	eng.recordOutcome(now, a, r)
	eng.dispatchQueued(now)
}

// ResponseStarted reports that an endpoint has started a response that is too large to be buffered;
// r.ObservedAt is the instant at which it started. If ResponseStarted returns true, this response is the
// client's final response and the attempt has no deadline any more; the host reports its end to AttemptEnded.
// If it returns false, the request already has a response or may not get this one (mayForward). The host drops it
// and reports the end of the attempt.
func (eng *Engine) ResponseStarted(now monotime.Micros, a *Attempt, r AttemptResult) bool {
	eng.now = now
	accepted := eng.startResponse(now, a, r)
	eng.dispatchQueued(now)
	return accepted
}

// ResponseProgress reports that part of a response has arrived while the rest is still outstanding. The
// attempt's own timeout no longer applies: the attempt may last until the request's deadline.
func (eng *Engine) ResponseProgress(now monotime.Micros, a *Attempt) {
	eng.now = now
	if c := a.Call; !a.done && !c.finished && a.Deadline < c.Request.Deadline {
		eng.cancelTimer(a.deadlineTimer)
		a.Deadline = c.Request.Deadline
		eng.startDeadlineTimer(a)
	}
}
