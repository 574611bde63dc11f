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
	Target(addr string) Target
	// Start starts an attempt; its end is told to Engine.Ended. a.Host is the host's to use.
	Start(a *Attempt)
	// Shut keeps an attempt in that has not gone out, and says whether it had not: then it never runs.
	Shut(a *Attempt) (never bool)
	// Withdraw ends an attempt, however far it is; nobody waits for it any more.
	Withdraw(a *Attempt)
	// Silent tells that an attempt that went out was not answered in its time.
	Silent(a *Attempt)
	// Probe asks an endpoint for its load; the answer is told to Engine.Probed.
	Probe(p *Pool, e *Endpoint)
	// Answer gives a request its one final answer.
	Answer(c *Call, a Answer)
	// Ready tells that an endpoint is known to serve, once.
	Ready()
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
	Sent(now monotime.Micros, endpoint string)
	// Ended tells an attempt's outcome, Probed a probe's.
	Ended(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	Probed(now monotime.Micros, endpoint string, s balancer.Status, latency monotime.Micros)
	// Told tells news of the list, as the pool was told.
	Told(now monotime.Micros, t Told)
}

// Reply is what came of an attempt or a probe.
type Reply struct {
	Status balancer.Status
	At     monotime.Micros
	From   monotime.Micros // its latency counts from here, when the last byte of the request had gone; 0 is from its start
	Load   []float32
	Answer any // whatever the request's front makes the client's answer of; of what is not OK it may be nil
}

// Verdict is how a request ended for its client.
type Verdict uint8

// The verdicts.
const (
	Served     Verdict = iota
	Refused            // trying again is harmless
	Limited            // as Refused: its client asks more often than it may
	Failed             // no such promise
	FailedLate         // as Failed, and the last attempt ran out of time
	IDOpen             // not taken: another request with its id is open
)

// Answer is the final answer to a request.
type Answer struct {
	Verdict    Verdict
	RetryAfter monotime.Micros // Refused and Limited only; 0 is no advice
	Reason     string          // of those, for people; may be empty
	Reply      *Reply          // of Served; of Refused and Failed, the last that an endpoint answered, or nil

	Attempts int             // that were started
	Waited   monotime.Micros // for its turn, before it went to the balancer
	Endpoint string          // that served it, by its name; "" is none
}

// Call is a client's request on its way through the engine.
type Call struct {
	Client  *Client
	Pool    *Pool            // whose endpoints it may go to
	ID      string           // the client's
	In      balancer.Request // but for the ID, which the engine gives
	Arrived monotime.Micros  // when the request was whole
	Host    any              // the host's own

	// Spent says whether a part of the request has gone out that cannot be shown again: then no further attempt is
	// made. nil is never.
	Spent func() bool

	admitted monotime.Micros // when it went to the balancer; 0 before
	inFlight int             // requests in flight then, itself included
	attempts []*Attempt
	open     int // attempts without outcome
	ended    bool
	late     bool   // the last outcome was a time-out
	said     *Reply // the last that an endpoint answered
}

// Ended says whether the call has its final answer, or needs none.
func (c *Call) Ended() bool { return c.ended }

// Attempts returns how many attempts have been started for the call.
func (c *Call) Attempts() int { return len(c.attempts) }

// Attempt is one send of a request. Its host reports its end once; the engine tells the balancer once.
type Attempt struct {
	Call     *Call
	Number   int // among the call's, from 0
	Endpoint *Endpoint
	Sent     monotime.Micros
	Deadline monotime.Micros // nothing of it is waited for from then on
	Until    monotime.Micros // its first byte may not go out from then on; 0 is no such instant
	Host     any             // the host's own

	timeUp *alarm
	done   bool // the balancer knows the outcome
}

// Done says whether the balancer knows the attempt's outcome: what its host still has of it is for nobody.
func (a *Attempt) Done() bool { return a.done }

// Config is what an Engine needs.
type Config struct {
	Site    *siteconfig.Site
	Seed    uint64
	Sharing Sharing
	Host    Host
	Observe Observer // nil is nobody

	Spent func(now monotime.Micros, budget string) // told of each unit that is spent of a budget of the fleet; nil is nobody. It must not wait
}

// Engine decides. Make one with New, and give it pools.
type Engine struct {
	config Config
	total  *fairqueue.SharedLimit // of requests over all pools
	rng    *rand.Rand

	now      monotime.Micros // the instant of the present event
	pools    []*Pool         // not gone
	bans     cordon.Set
	together *together // nil where nothing is decided with other instances
	ordered  ordered   // what is obeyed of the order in which machines go out
	lastID   uint64
	calls    map[uint64]*Call
	touched  []*Pool // whose decisions between clients may have changed
	alarms   alarms
	order    uint64
	ready    bool
}

// New returns an engine without pools.
func New(c Config) *Engine {
	x := &Engine{config: c, total: &fairqueue.SharedLimit{Max: c.Sharing.Open}, calls: map[uint64]*Call{},
		rng: rand.New(rand.NewPCG(c.Seed, 1))}
	x.alone()
	return x
}

// Calls returns how many calls are not forgotten yet.
func (x *Engine) Calls() int { return len(x.calls) }

// Pools returns how many pools are not gone.
func (x *Engine) Pools() int { return len(x.pools) }

// ---- Time ------------------------------------------------------------------

// Next returns the instant at which something is due; ok says whether anything is.
func (x *Engine) Next() (at monotime.Micros, ok bool) {
	if len(x.alarms) == 0 {
		return 0, false
	}
	return x.alarms[0].at, true
}

// Advance does what is due by an instant. The host calls it when that of Next has come, and after each event.
func (x *Engine) Advance(now monotime.Micros) {
	x.now = now
	for len(x.alarms) > 0 && x.alarms[0].at <= now {
		heap.Pop(&x.alarms).(*alarm).ring(now)
	}
	x.pump(now)
}

// ---- Events ----------------------------------------------------------------

// Submit takes a client's request; the one final answer comes by Host.Answer.
func (x *Engine) Submit(now monotime.Micros, c *Call) {
	x.now = now
	switch {
	case c.Client.ids[c.ID] != nil:
		c.ended = true
		x.config.Host.Answer(c, Answer{Verdict: IDOpen})
	case c.Pool.closed:
		c.ended = true
		x.config.Host.Answer(c, Answer{Verdict: Refused, Reason: "its pool of endpoints has just gone"})
	default:
		x.lastID++
		c.In.ID = x.lastID
		x.calls[c.In.ID], c.Client.ids[c.ID] = c, c
		c.Pool.calls++
		c.Pool.offer(now, c)
	}
	x.pump(now)
}

// Leave tells that the client of a request has gone, and that nobody will take its answer if it has come meanwhile.
func (x *Engine) Leave(now monotime.Micros, c *Call) {
	x.now = now
	if c.ended {
		for _, a := range c.attempts { // an answer that has begun would wait to be read
			if !a.done {
				x.config.Host.Withdraw(a)
			}
		}
		return
	}
	x.end(c)
	if c.admitted > 0 {
		c.Pool.balancer.ClientGone(now, c.In.ID)
	}
	x.pump(now)
}

// Ended tells what came of an attempt. What comes after its time was up is passed over.
func (x *Engine) Ended(now monotime.Micros, a *Attempt, r Reply) {
	x.now = now
	x.outcome(now, a, r)
	x.pump(now)
}

// Began tells that an answer has begun that is too large to be held, with a reply of which At is the instant of its
// beginning. If it says yes, the answer is the client's, and no deadline concerns the attempt any more; what ends it is
// told to Ended. If it says no, the request has its answer already.
func (x *Engine) Began(now monotime.Micros, a *Attempt, r Reply) bool {
	x.now = now
	yes := x.began(now, a, r)
	x.pump(now)
	return yes
}

// Heard tells that an answer comes, if slowly: the attempt is waited for as long as its client waits.
func (x *Engine) Heard(now monotime.Micros, a *Attempt) {
	x.now = now
	if c := a.Call; !a.done && !c.ended && a.Deadline < c.In.Deadline {
		x.callOff(a.timeUp)
		a.Deadline = c.In.Deadline
		a.timeUp = x.at(a.Deadline, func(now monotime.Micros) { x.timeUp(now, a) })
	}
}

// Probed tells what came of a probe that was sent at an instant.
func (x *Engine) Probed(now monotime.Micros, p *Pool, e *Endpoint, sent monotime.Micros, r Reply) {
	x.now = now
	if o := x.config.Observe; o != nil {
		o.Probed(now, e.Name, r.Status, max(0, r.At-sent))
	}
	p.busy(e, r.Load)
	p.probed(now, &r)
	p.balancer.Probed(now, e.Number, r.Status, max(0, r.At-sent), r.Load)
	x.pump(now)
}

// outcome tells the balancer how an attempt ended. The first whole answer of an endpoint is the client's.
func (x *Engine) outcome(now monotime.Micros, a *Attempt, r Reply) {
	if a.done {
		return // its time was up before this came
	}
	a.done = true
	x.config.Host.Withdraw(a)
	x.callOff(a.timeUp)
	c := a.Call
	c.open--
	c.late = r.Status == balancer.Timeout
	if r.Answer != nil {
		c.said = &r
	}
	switch {
	case c.ended:
	case r.Status == balancer.OK:
		c.Pool.learn(now, c)
		x.finish(c, Answer{Verdict: Served, Reply: &r, Endpoint: a.Endpoint.Name})
	}
	settled := c.ended
	x.forget(c)
	latency := max(0, r.At-max(a.Sent, r.From))
	c.Pool.heard(now, a.Endpoint, r.Status, latency)
	c.Pool.weigh(now, -1)
	c.Pool.busy(a.Endpoint, r.Load)
	c.Pool.saw(now, a, r.Status)
	c.Pool.attemptEnded(now, a, r, latency)
	if o := x.config.Observe; o != nil {
		o.Ended(now, a.Endpoint.Name, r.Status, latency)
	}
	c.Pool.balancer.Outcome(now, balancer.Outcome{ID: c.In.ID, Attempt: a.Number, Endpoint: a.Endpoint.Number,
		Status: r.Status, Latency: latency, Settled: settled, Spent: c.Spent != nil && c.Spent(), Load: r.Load})
}

// timeUp ends an attempt by our clock, whatever its connection does.
func (x *Engine) timeUp(now monotime.Micros, a *Attempt) {
	if a.done {
		return
	}
	status := balancer.Timeout
	if x.config.Host.Shut(a) {
		// Nothing was written. Only a dial that had its whole time says something of the endpoint.
		if status = balancer.Moot; now-a.Sent >= x.config.Site.Settings.Limits.DialTimeout {
			status = balancer.ConnectFailed
		}
	} else {
		x.config.Host.Silent(a)
	}
	x.outcome(now, a, Reply{Status: status, At: now})
}

// began gives an answer that has begun to the client, if the request has none yet.
func (x *Engine) began(now monotime.Micros, a *Attempt, r Reply) bool {
	c := a.Call
	if a.done || c.ended {
		return false
	}
	x.callOff(a.timeUp)
	p := c.Pool
	p.balancer.Headers(now, c.In.ID, a.Number, max(0, r.At-max(a.Sent, r.From))) // ends the others
	p.learn(now, c)
	x.finish(c, Answer{Verdict: Served, Reply: &r, Endpoint: a.Endpoint.Name})
	// Its place is free for the next: what is left is bytes, and they wait for nobody's processor.
	p.shares.Done(now, c.In.ID)
	x.touch(p)
	return true
}

// fail gives a request the answer that it failed, with what an endpoint said last.
func (x *Engine) fail(c *Call) {
	v := Failed
	if c.late {
		v = FailedLate
	}
	x.finish(c, Answer{Verdict: v, Reply: c.said})
}

// ---- The table of requests -------------------------------------------------

// finish gives a request its one final answer; nothing new goes out for it.
func (x *Engine) finish(c *Call, a Answer) {
	a.Attempts, a.Waited = len(c.attempts), x.now-c.Arrived
	if c.admitted > 0 {
		a.Waited = c.admitted - c.Arrived
	}
	x.config.Host.Answer(c, a)
	x.end(c)
}

// end marks a request as over and keeps in what has not gone out yet. What is kept in has ended, whether or not attempts may be
// withdrawn that run: nobody waits for its connection any more, and nothing is held for it.
func (x *Engine) end(c *Call) {
	c.ended = true
	for _, a := range c.attempts {
		if !a.done && x.config.Host.Shut(a) {
			x.at(x.now, func(now monotime.Micros) { x.outcome(now, a, Reply{Status: balancer.Moot, At: now}) })
		}
	}
	x.forget(c)
}

// forget drops a request that is over once all its outcomes are in.
func (x *Engine) forget(c *Call) {
	if c.ended && c.open == 0 && x.calls[c.In.ID] == c {
		delete(x.calls, c.In.ID)
		delete(c.Client.ids, c.ID)
		c.Pool.shares.Done(x.now, c.In.ID)
		x.touch(c.Pool)
		c.Pool.calls--
		c.Pool.dissolve()
	}
}
