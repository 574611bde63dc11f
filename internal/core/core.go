// Package core owns the balancer and the requests in flight. One goroutine handles all events; nothing in it
// waits for anything, and it does no I/O: fronts hand requests in with the way to make an attempt, sources of
// membership tell lists, and whoever talks to endpoints is known as Upstream. No other package calls the
// balancer. It may not know protocols, sockets or files.
package core

import (
	"container/heap"
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/clock"
	"dunlinsail/internal/decide/limit"
	"dunlinsail/internal/decide/shares"
	"dunlinsail/internal/site"
)

// Upstream makes targets of addresses. Its methods must not wait.
type Upstream interface {
	Target(addr string) Target
}

// Target is where one endpoint listens, as whoever talks to endpoints knows it. What is meant for it must not
// reach another endpoint that listens at the same address later.
type Target interface {
	// Probe asks for the endpoint's load, in a time of its own.
	Probe() Reply
	// Silent tells that an attempt that began at an instant was not answered in its time.
	Silent(since time.Time)
	// Drop ends the target's use. What is out there goes on.
	Drop()
}

// Reply is what came of an attempt or a probe.
type Reply struct {
	Status balancer.Status
	At     balancer.Micros
	Load   []float32
	Answer any // of OK: whatever the request's front makes the client's answer of
}

// Attempt makes one attempt of a request at a target and waits for its end, on a goroutine of its own. mayGo is
// asked last, right before the first byte; if it says no, nothing goes out and the reply is Moot. When ctx
// ends, the attempt is withdrawn.
type Attempt func(ctx context.Context, to Target, deadline balancer.Micros, mayGo func(now balancer.Micros) bool) Reply

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
	RetryAfter time.Duration // Refused and Limited only; 0 is no advice
	Reason     string        // of those, for people; may be empty
	Reply      *Reply        // Served only
}

// Call is a client's request on its way through the core.
type Call struct {
	Client  *Client
	ID      string           // the client's
	In      balancer.Request // but for the ID, which the core gives
	Arrived balancer.Micros  // when the request was whole
	Attempt Attempt
	Answer  chan Answer // has room for one; the one final answer comes here

	// The core's own.
	admitted balancer.Micros // when it went to the balancer; 0 before
	inFlight int             // requests in flight then, itself included
	attempts []*attempt
	open     int // attempts without outcome
	ended    bool
	late     bool // the last outcome was a time-out
}

// attempt is one Send. Its goroutine reports to the core once; the core tells the balancer once.
type attempt struct {
	call     *Call
	number   int
	endpoint *endpoint
	sent     balancer.Micros
	began    time.Time // the same
	deadline balancer.Micros
	gate     gate
	cancel   context.CancelFunc
	timeUp   *alarm
	done     bool // the balancer knows the outcome
}

// gate decides once whether an attempt's first byte goes out.
type gate struct{ state atomic.Int32 }

const (
	gateOpen int32 = iota
	gatePassed
	gateShut
)

func (g *gate) pass() bool { return g.state.CompareAndSwap(gateOpen, gatePassed) }

// shut keeps the attempt in, and says whether that was in time: then it never runs.
func (g *gate) shut() bool {
	g.state.CompareAndSwap(gateOpen, gateShut)
	return g.state.Load() == gateShut
}

// endpoint is an entry of the list. Attempts read stopAt.
type endpoint struct {
	number uint32
	addr   string
	to     Target
	state  balancer.State
	stopAt atomic.Int64 // nothing new goes out from this instant on; 0: no such instant
}

// graceMargin is kept from the grace for drains: the send's first byte must arrive within it.
const graceMargin = 50_000

// Member is an entry of the list of endpoints, with names where the balancer has numbers.
type Member struct {
	Name, Addr string // Addr may be empty for what is gone
	Zone, Kind string
	Cell       uint16
	State      balancer.State
	Weight     float32
	Started    balancer.Micros // Unix time of its latest start; 0 for long ago
}

// Told is news of the list of endpoints. The generations of one discovery only grow.
type Told struct {
	Kind       balancer.ListKind
	Generation int64
	Anew       bool // it comes from another discovery, whose generations are its own
	Members    []Member
}

// Config is what a Core needs.
type Config struct {
	Clock    clock.Clock
	Site     *site.Site
	Seed     uint64
	Known    Told // the list as last held; perhaps old. Its Kind is not read; a negative Generation is no list
	Sharing  Sharing
	Upstream Upstream
	Watch    func(on bool) // asks for the list's changes, or ends that; must not wait
	Log      *slog.Logger
}

// Core owns the balancer. Make one with New and run it. Its unexported fields belong to the goroutine in Run;
// all else goes through post.
type Core struct {
	config   Config
	events   chan func(now balancer.Micros)
	over     chan struct{} // closed once the core takes no more events
	balancer *balancer.Balancer
	ready    atomic.Bool   // an endpoint is known to serve
	isReady  chan struct{} // closed from then on

	shares *shares.Scheduler
	limit  *limit.Limit // nil where the number in flight is not learned
	rng    *rand.Rand
	wake   *alarm // for shares
	wakeAt balancer.Micros

	lastID     uint64
	calls      map[uint64]*Call
	byName     map[string]*endpoint
	byNumber   map[uint32]*endpoint
	numbers    uint32
	list       map[string]Member // as held, by name
	generation int64             // of the list
	alarms     alarms
	order      uint64
}

// New returns a core, or the *balancer.SettingError of settings that make no sense.
func New(c Config) (*Core, error) {
	x := &Core{config: c, events: make(chan func(balancer.Micros), 256), over: make(chan struct{}), isReady: make(chan struct{}),
		calls: map[uint64]*Call{}, rng: rand.New(rand.NewPCG(c.Seed, 1)), byName: map[string]*endpoint{}, byNumber: map[uint32]*endpoint{},
		list: map[string]Member{}}
	if err := x.share(c.Sharing, c.Seed); err != nil {
		return nil, err
	}
	var err error
	x.balancer, err = balancer.New(c.Site.Settings, c.Seed, actions{x})
	return x, err
}

// Ready says whether requests can be served.
func (x *Core) Ready() bool { return x.ready.Load() }

// post hands an event to the core. After its end there is nobody to tell, and nobody must wait for it.
func (x *Core) post(event func(now balancer.Micros)) {
	select {
	case x.events <- event:
	case <-x.over:
	}
}

// Run handles events and alarms until ctx ends. Nothing in it waits for anything else.
func (x *Core) Run(ctx context.Context) {
	defer close(x.over)
	now := x.config.Clock.Now()
	x.balancer.Start(now)
	if known := x.config.Known; known.Generation >= 0 {
		known.Kind, known.Anew = balancer.ListCached, true
		x.members(now, known)
	} else {
		// No list is known: what the first one names has not just appeared.
		x.generation = known.Generation
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		now = x.config.Clock.Now()
		for len(x.alarms) > 0 && x.alarms[0].at <= now {
			heap.Pop(&x.alarms).(*alarm).ring(now)
		}
		x.pump(now)
		if len(x.alarms) > 0 {
			timer.Reset(clock.Duration(x.alarms[0].at - now))
		}
		select {
		case event := <-x.events:
			now = x.config.Clock.Now()
			event(now)
			x.pump(now)
		case <-timer.C:
		case <-ctx.Done():
			return
		}
	}
}

// ---- Events ----------------------------------------------------------------

// Submit takes a client's request; the one final answer comes on c.Answer.
func (x *Core) Submit(c *Call) {
	x.post(func(now balancer.Micros) {
		if c.Client.ids[c.ID] != nil {
			c.ended = true
			c.Answer <- Answer{Verdict: IDOpen}
			return
		}
		x.lastID++
		c.In.ID = x.lastID
		x.calls[c.In.ID], c.Client.ids[c.ID] = c, c
		x.offer(now, c)
	})
}

// Leave tells that the client of a request has gone.
func (x *Core) Leave(c *Call) {
	x.post(func(now balancer.Micros) {
		if !c.ended {
			x.end(c)
			if c.admitted > 0 {
				x.balancer.ClientGone(now, c.In.ID)
			}
		}
	})
}

// Members tells news of the list, unless ctx has ended by the time it is heard.
func (x *Core) Members(ctx context.Context, told Told) {
	x.post(func(now balancer.Micros) {
		if ctx.Err() == nil {
			x.members(now, told)
		}
	})
}

// outcome tells the balancer how an attempt ended. The first whole answer of an endpoint is the client's.
func (x *Core) outcome(now balancer.Micros, a *attempt, r Reply) {
	if a.done {
		return // its time was up before this came
	}
	a.done = true
	a.cancel()
	x.callOff(a.timeUp)
	c := a.call
	c.open--
	c.late = r.Status == balancer.Timeout
	if r.Status == balancer.OK && !c.ended {
		x.learn(now, c)
		x.finish(c, Answer{Verdict: Served, Reply: &r})
	}
	settled := c.ended
	x.forget(c)
	x.balancer.Outcome(now, balancer.Outcome{ID: c.In.ID, Attempt: a.number, Endpoint: a.endpoint.number,
		Status: r.Status, Latency: max(0, r.At-a.sent), Settled: settled, Load: r.Load})
}

// timeUp ends an attempt by our clock, whatever its connection does.
func (x *Core) timeUp(now balancer.Micros, a *attempt) {
	if a.done {
		return
	}
	status := balancer.Timeout
	if a.gate.shut() {
		// Nothing was written. Only a dial that had its whole time says something of the endpoint.
		if status = balancer.Moot; now-a.sent >= x.config.Site.Settings.Limits.DialTimeout {
			status = balancer.ConnectFailed
		}
	} else {
		a.endpoint.to.Silent(a.began)
	}
	x.outcome(now, a, Reply{Status: status, At: now})
}

// members passes news of the list on, with names turned into numbers. What is older than the list held is passed
// over: it would bring back endpoints that are known to be draining.
func (x *Core) members(now balancer.Micros, told Told) {
	if told.Kind == balancer.ListFailed {
		x.balancer.Members(now, told.Kind, nil)
		return
	}
	if told.Generation < x.generation && !told.Anew {
		x.config.Log.Warn("stale list passed over", "generation", told.Generation, "have", x.generation)
		return
	}
	x.generation = told.Generation
	entries := make([]balancer.Endpoint, 0, len(told.Members))
	named := map[string]bool{}
	for _, m := range told.Members {
		if m.Name == "" || m.Addr == "" && m.State != balancer.Gone {
			x.config.Log.Warn("entry of the list passed over: no id or no address", "id", m.Name)
			continue
		}
		named[m.Name] = true
		e := x.byName[m.Name]
		if e == nil {
			if m.State == balancer.Gone {
				continue
			}
			x.numbers++
			e = &endpoint{number: x.numbers, addr: m.Addr, to: x.config.Upstream.Target(m.Addr)}
			x.byName[m.Name], x.byNumber[e.number] = e, e
		}
		if m.Addr != "" && m.Addr != e.addr {
			e.to.Drop()
			e.addr, e.to = m.Addr, x.config.Upstream.Target(m.Addr)
		}
		x.list[m.Name] = m
		x.setState(now, m.Name, e, m.State)
		entries = append(entries, balancer.Endpoint{ID: e.number, Zone: index(x.config.Site.Zones, m.Zone),
			Kind: index(x.config.Site.Kinds, m.Kind), Cell: m.Cell, State: m.State, Share: m.Weight,
			StartTime: m.Started})
	}
	if told.Kind != balancer.ListDelta {
		for name, e := range x.byName {
			if !named[name] {
				x.setState(now, name, e, balancer.Gone)
			}
		}
	}
	x.balancer.Members(now, told.Kind, entries)
	for _, e := range x.byName {
		if e.state == balancer.Ready {
			if !x.ready.Swap(true) {
				close(x.isReady)
			}
			break
		}
	}
}

// setState notes from when on nothing new may go to an endpoint. The balancer stops at once; this is for
// attempts that are waiting for a connection.
func (x *Core) setState(now balancer.Micros, name string, e *endpoint, state balancer.State) {
	switch {
	case state == balancer.Ready:
		e.stopAt.Store(0)
	case e.state == balancer.Ready:
		e.stopAt.Store(max(1, now+x.config.Site.Settings.Contract.DrainGrace-graceMargin))
	}
	e.state = state
	if state == balancer.Gone {
		e.to.Drop()
		delete(x.byName, name)
		delete(x.list, name)
		delete(x.byNumber, e.number)
	}
}

// index returns the place of a name in the settings, or one past all places.
func index(names []string, name string) uint8 {
	if i := slices.Index(names, name); i >= 0 {
		return uint8(i)
	}
	return 255
}

// ---- The table of requests -------------------------------------------------

// finish gives a request its one final answer; nothing new goes out for it.
func (x *Core) finish(c *Call, a Answer) {
	c.Answer <- a // room for one, and ended guards it
	x.end(c)
}

// end marks a request as over and keeps in what has not gone out yet.
func (x *Core) end(c *Call) {
	c.ended = true
	for _, a := range c.attempts {
		if !a.done {
			a.gate.shut()
		}
	}
	x.forget(c)
}

// forget drops a request that is over once all its outcomes are in.
func (x *Core) forget(c *Call) {
	if c.ended && c.open == 0 && x.calls[c.In.ID] == c {
		delete(x.calls, c.In.ID)
		delete(c.Client.ids, c.ID)
		x.shares.Done(x.config.Clock.Now(), c.In.ID)
	}
}
