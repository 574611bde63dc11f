package engine

import (
	"math/rand/v2"

	"dunlinsail/internal/decide/cordon"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

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
