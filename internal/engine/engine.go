package engine

import (
	"math/rand/v2"

	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/indexedheap"
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// Config is what an Engine needs.
type Config struct {
	Site        *siteconfig.Site
	Seed        uint64 // of all random draws: the same events then have the same decisions
	Concurrency ConcurrencySettings
	Host        Host
	Observer    Observer // nil is none

	// OnQuotaSpent is called for each unit that is spent of a budget of the fleet, with the budget's name. It must not
	// block. It may be nil.
	OnQuotaSpent func(now monotime.Micros, budget string)
}

// Engine decides for one instance. Make one with New, and add pools. It is not safe for concurrent use.
type Engine struct {
	config    Config
	openTotal *fairqueue.SharedLimit // open requests over all pools
	rng       *rand.Rand

	now           monotime.Micros // the instant of the present event
	pools         []*Pool         // not dissolved
	cordons       cordon.Set
	fleet         *fleetCoordinator // nil without a fleet and without tenant limits
	maintenance   maintenanceState
	lastRequestID uint64
	calls         map[uint64]*Call // by the balancer's request ID
	dirtyPools    []*Pool          // whose queues may have decisions due
	timers        indexedheap.Heap[*timer]
	timerSequence uint64
	openProbes    int       // started, without an outcome
	stalls        stall.Log // times for which this process did not run
	ready         bool      // an endpoint has been ready (Host.EndpointReady)
}

// New returns an engine without pools.
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

// Calls returns how many calls are in the request table: without a final response, or with an attempt in flight.
func (eng *Engine) Calls() int { return len(eng.calls) }

// Pools returns how many pools are not dissolved.
func (eng *Engine) Pools() int { return len(eng.pools) }

// Submit accepts a client's request. Its final response comes by Host.Respond: at once if its ID is that of an open
// request of its client (DuplicateID), if its pool is closed, if its tenant is over its limit, or if overload control
// or the queue rejects it; otherwise in a later call.
func (eng *Engine) Submit(now monotime.Micros, c *Call) {
	eng.now = now
	switch {
	case c.Client.openCalls[c.ID] != nil:
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

// ClientGone reports that the client of a request has gone. A request that has its response already may still have an
// attempt that transfers it: that is aborted. Any other request ends without a response: its attempts of which nothing
// was sent are cancelled, and the balancer decides on the others.
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
	eng.finishRequest(c)
	if c.admittedAt > 0 {
		c.Pool.balancer.HandleClientGone(now, c.Request.ID)
	}
	eng.dispatchQueued(now)
}

// AttemptEnded reports the outcome of an attempt. It is ignored if the attempt has ended already, by its deadline or by
// being cancelled.
func (eng *Engine) AttemptEnded(now monotime.Micros, a *Attempt, r AttemptResult) {
	eng.now = now
	eng.recordOutcome(now, a, r)
	eng.dispatchQueued(now)
}

// ResponseStarted reports that a response has started that is too large to be buffered; r.ObservedAt is the instant of
// its start. If it returns true, the response is the client's, and no deadline applies to the attempt any more; the
// host reports its end to AttemptEnded. If it returns false, the request has a response already, and this one is
// dropped.
func (eng *Engine) ResponseStarted(now monotime.Micros, a *Attempt, r AttemptResult) bool {
	eng.now = now
	accepted := eng.startResponse(now, a, r)
	eng.dispatchQueued(now)
	return accepted
}

// ResponseProgress reports that a response is arriving, if slowly. The attempt's own timeout no longer applies: it may
// last until the request's deadline.
func (eng *Engine) ResponseProgress(now monotime.Micros, a *Attempt) {
	eng.now = now
	if c := a.Call; !a.done && !c.finished && a.Deadline < c.Request.Deadline {
		eng.cancelTimer(a.deadlineTimer)
		a.Deadline = c.Request.Deadline
		eng.startDeadlineTimer(a)
	}
}
