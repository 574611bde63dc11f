// Package simulation plays a fleet in simulated time. What decides is linked, not written again: each instance is an
// engine.Engine, as in a process, with a conns.Table before it. What is outside is modelled: endpoints (package simendpoint),
// clients (package simclient), the network, discovery and clocks. A run is a pure function of the plan, the settings and the
// build: it reads no clock, and all that is left to chance is drawn from package randstream, for whom it is meant. It knows
// nothing of files, and does no I/O. A run is for one goroutine; several runs share nothing.
package simulation

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simclient"
	"dunlinsail/internal/siteconfig"
)

const second monotime.Micros = 1_000_000

// Version changes when the same plan and settings would come to something else by this package's doing.
const Version = 2

// Settings are what a fleet runs on.
type Settings struct {
	Site           siteconfig.Site // of any instance: what differs between them is filled in
	Concurrency    engine.ConcurrencySettings
	RetryBudget    float64              // of the pool
	Subset         *subset.Settings     // of each instance: place and number are filled in; nil is none
	Overload       *overload.Settings   // of each instance: their number is filled in; nil is none
	Coordination   *engine.Coordination // of each: who it is and who carries words are filled in; nil is none
	MaxConnections int                  // to endpoints, of an instance; 0 is no bound
	Clients        connlimit.Limits
	Client         fairqueue.ClientSpec // what each client process may do

	// Lots sets apart what instances leave to chance in their decisions. Two runs of the same plan with other lots differ
	// in nothing else.
	DecisionSeed uint64
	// Harm spoils this part of the stories: a known harm, to see whether a comparison finds it.
	KnownHarm float64
}

// Options say how a run is played.
type Options struct {
	Plan     *scenario.Plan
	Settings *Settings
	Criteria measure.Criteria                                    // its classes and tenants, by name, are those of the plan
	Trace    func(Trace)                                         // told of what happens to stories, for those who look for a cause; may be nil
	Record   func(x *RequestRecord)                              // told of each request that an instance took, once it is over; may be nil
	Log      func(at monotime.Micros, instance int, line string) // told of what instances log; may be nil
	Progress func(at monotime.Micros)
}

// Trace is one step in a story's life.
type Trace struct {
	At        monotime.Micros
	Operation uint64
	Request   int
	Instance  int
	Attempt   int    // from 0; -1 is none
	Endpoint  string // "" is none
	Step      string
}

// Request is a client's request as its instance saw it.
type RequestRecord struct {
	Instance, Process      int
	Operation              uint64
	Class, Tenant          int // places among the judge's; no tenant is -1
	IdempotencyKey, Object uint64
	Retry                  bool
	Arrived                monotime.Micros // the instance's clock
	Duration               monotime.Micros
	Timeout                monotime.Micros
	ClientGone             bool // its client went before its answer
	Response               engine.Response
}

// clockOrigin is Unix time at the beginning of a run, in microseconds: what clocks of instances and discovery tell.
const clockOrigin monotime.Micros = 1_700_000_000_000_000

// afterEnd bounds how long a run goes on after its last story began.
const afterEnd = 120 * second

// run is a run that is under way.
type run struct {
	o        Options
	plan     *scenario.Plan
	settings *Settings
	now      monotime.Micros
	queue    queue

	classOf   []int // place among the judge's classes of each of the plan's
	ownClass  []int // and among the settings' of each of the judge's
	tenantOf  []int
	ownTenant []int
	habits    simclient.Behavior

	instances []*instance
	endpoints []*endpoint
	severs    []int // happenings that keep ways apart
	truth     *truth
	network   network

	noise, luck, callers, reports *randstream.Stream
	meter                         *measure.Meter
	open                          int // stories
	arriving                      int // instances that have stories to come
	words                         uint64
}

// Run plays a plan, or returns the error of settings that do not fit it. When ctx ends it returns its cause.
func Run(ctx context.Context, o Options) (*measure.Result, error) {
	began := time.Now()
	r := &run{o: o, plan: o.Plan, settings: o.Settings, habits: o.Plan.ClientBehavior()}
	if err := r.fit(); err != nil {
		return nil, err
	}
	if o.Plan.Replay != nil && o.Plan.Source == nil {
		return nil, errors.New("the scenario plays a record again, and that was not read")
	}
	seed := o.Plan.Seed
	r.noise, r.luck, r.callers, r.reports = randstream.New(seed, "noise"), randstream.New(seed, "luck"), randstream.New(seed, "callers"), randstream.New(seed, "reports")
	r.meter = measure.New(o.Criteria, o.Plan.Length.Micros(), len(o.Plan.Fleet.Zones))
	r.network = newNetwork(o.Plan)
	r.truth = newTruth(r)
	for i := range o.Plan.Endpoints {
		r.endpoints = append(r.endpoints, newEndpoint(r, i))
	}
	for i := range o.Plan.Instances {
		in, err := newInstance(r, i)
		if err != nil {
			return nil, err
		}
		r.instances = append(r.instances, in)
	}
	for _, in := range r.instances {
		in.start(true)
		r.nextStory(in)
	}
	r.schedule()
	r.meter.SetFaultPeriod(r.plan.EventPeriod())
	r.meter.SetEnvironment(measure.Environment{Capacity: r.plan.CapacityAt, Serving: r.plan.InstanceServing})
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	result := r.meter.Result()
	result.Scenario, result.Seed, result.Elapsed = o.Plan.Name, seed, time.Since(began)
	for i, e := range r.endpoints {
		n := &o.Plan.Endpoints[i]
		result.Endpoints = append(result.Endpoints, measure.EndpointLoad{Name: n.Name, Zone: n.Zone, Executions: e.runs, MaxInFlight: e.most, Arrivals: e.line,
			Utilization: float64(e.node.WorkDone()) / n.Config.Speed / float64(n.Config.Cores) / float64(max(r.now, 1))})
	}
	return result, nil
}

// fit finds the plan's classes and tenants among the judge's and the settings'.
func (r *run) fit() error {
	for _, c := range r.plan.Classes {
		at := slices.IndexFunc(r.o.Criteria.Classes, func(j balancer.Class) bool { return j.Name == c.Name })
		if at < 0 {
			return fmt.Errorf("the scenario's class %q is none of the settings' classes", c.Name)
		}
		r.classOf = append(r.classOf, at)
	}
	for _, t := range r.plan.Tenants {
		at := slices.IndexFunc(r.o.Criteria.Tenants, func(j balancer.Tenant) bool { return j.Name == t.Name })
		if at < 0 {
			return fmt.Errorf("the scenario's tenant %q is none of the settings' tenants", t.Name)
		}
		r.tenantOf = append(r.tenantOf, at)
	}
	for _, c := range r.o.Criteria.Classes {
		at := slices.Index(r.settings.Site.Classes, c.Name)
		if at < 0 {
			return fmt.Errorf("the class %q, by which is judged, is missing in these settings", c.Name)
		}
		r.ownClass = append(r.ownClass, at)
	}
	for _, t := range r.o.Criteria.Tenants {
		at := slices.Index(r.settings.Site.Tenants, t.Name)
		if at < 0 {
			return fmt.Errorf("the tenant %q, by whom is judged, is missing in these settings", t.Name)
		}
		r.ownTenant = append(r.ownTenant, at)
	}
	return nil
}

// kind is what kind of event happens.
type kind uint8

const (
	evArrive    kind = iota // n: an instance; the next story begins there
	evTry                   // p: *story; its next try begins
	evSubmit                // p: *try; its request is whole at the instance
	evRefused               // p: *try; the instance's machine refuses its connection
	evAnswer                // p: *try; its answer is at the client
	evBroken                // p: *try; the client sees its connection break
	evLeave                 // p: *try; the client has waited long enough, or leaves
	evWake                  // p: *instance; its engine has something due
	evConnected             // p: *sending; its connection stands, at the instance
	evNoConn                // p: *sending; it has none
	evReach                 // p: *sending; it is at the endpoint
	evReply                 // p: *sending; its reply is at the instance
	evClosed                // p: *sending; the endpoint sees that its sender has gone
	evNode                  // n: an endpoint that has finished something
	evProbe                 // p: *probe; it is at the endpoint
	evProbed                // p: *probe; its answer is at the instance
	evHeard                 // n: an endpoint, p: engine.Member; discovery hears how it stands with it
	evTold                  // p: *news; discovery's word is at an instance
	evBegin                 // n: a happening begins
	evOver                  // n: a happening ends
	evStep                  // n: a happening goes on, at its next endpoint or phase; p: how far
	evStart                 // n: an endpoint starts
	evBack                  // p: *instance; it starts anew
	evPause                 // n: an endpoint stops for a moment
	evWord                  // p: *word; it is at its instance
	evGone                  // p: *try; its instance goes on and sees that its client has left
)

// play handles events until there are none that matter any more.
func (r *run) play(ctx context.Context) error {
	end := r.plan.Length.Micros()
	for n := 0; r.queue.len() > 0; n++ {
		if n&0xfff == 0 {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if r.o.Progress != nil {
				r.o.Progress(r.now)
			}
		}
		e := r.queue.pop()
		r.now = e.at
		if r.open == 0 && r.arriving == 0 && r.now >= end || r.now > end+afterEnd {
			return nil
		}
		r.handle(&e)
	}
	return nil
}

func (r *run) handle(e *event) {
	if in := host(e); in != nil && in.frozen > r.now && !in.down {
		if e.kind == evWake {
			in.wakeAt = in.frozen
		}
		r.queue.push(in.frozen, e.kind, e.n, e.p)
		return
	}
	switch e.kind {
	case evArrive:
		r.arrive(r.instances[e.n])
	case evTry:
		r.again(e.p.(*story))
	case evSubmit:
		e.p.(*try).submit()
	case evRefused:
		e.p.(*try).over(simclient.NoResponse, 0)
	case evAnswer:
		e.p.(*try).answered()
	case evBroken:
		e.p.(*try).over(simclient.NoResponse, 0)
	case evLeave:
		e.p.(*try).leave()
	case evWake:
		e.p.(*instance).woken(e.at)
	case evConnected:
		e.p.(*sending).connected()
	case evNoConn:
		e.p.(*sending).unconnected()
	case evReach:
		e.p.(*sending).reach()
	case evReply:
		e.p.(*sending).replied()
	case evClosed:
		e.p.(*sending).closed()
	case evNode:
		r.endpoints[e.n].woken(e.at)
	case evProbe:
		e.p.(*probe).reach()
	case evProbed:
		e.p.(*probe).answered()
	case evHeard:
		r.truth.hear(int(e.n), e.p.(engine.EndpointInfo))
	case evTold:
		e.p.(*news).arrive()
	case evBegin:
		r.begins(int(e.n))
	case evOver:
		r.ends(int(e.n))
	case evStep:
		r.step(int(e.n), e.p.(int))
	case evStart:
		r.endpoints[e.n].start(false)
	case evBack:
		e.p.(*instance).start(false)
	case evPause:
		r.endpoints[e.n].pause()
	case evWord:
		e.p.(*word).arrive()
	case evGone:
		if t := e.p.(*try); t.life == t.in.life && !t.in.down {
			t.in.left(t)
		}
	}
}

// host is the instance whose process handles an event, nil for what happens elsewhere.
func host(e *event) *instance {
	switch e.kind {
	case evSubmit, evGone:
		return e.p.(*try).in
	case evWake:
		return e.p.(*instance)
	case evConnected, evNoConn, evReply:
		return e.p.(*sending).in
	case evProbed:
		return e.p.(*probe).in
	case evTold:
		return e.p.(*news).in
	case evWord:
		return e.p.(*word).to
	}
	return nil
}

// ---- Clients ---------------------------------------------------------------

// story is a client's, with what the run needs of it.
type story struct {
	simclient.Operation
	run    *run
	class  *balancer.Class // the judge's
	worth  float64
	within bool
	ended  bool
	try    *try // the present one
}

// nextStory schedules the next story of an instance.
func (r *run) nextStory(in *instance) {
	if in.stories == nil {
		in.stories = r.plan.Operations(in.n)
		r.arriving++
	}
	s, ok := in.stories()
	if !ok {
		r.arriving--
		return
	}
	in.next = s
	r.queue.push(s.StartedAt, evArrive, uint32(in.n), nil)
}

// draws are what a client leaves to chance at a try.
func (r *run) draws(s *simclient.Operation, try int) *rand.Rand {
	return r.callers.For(s.ID, uint64(try))
}

func (r *run) arrive(in *instance) {
	s := &story{Operation: in.next, run: r}
	r.nextStory(in)
	s.Class = r.classOf[s.Class]
	if s.Tenant >= 0 {
		s.Tenant = r.tenantOf[s.Tenant]
	}
	s.class = &r.o.Criteria.Classes[s.Class]
	if s.class.Idempotency != balancer.IdempotentByKey {
		s.IdempotencyKey = 0
	}
	s.DiscardsResponse = r.settings.KnownHarm > 0 && r.luck.For(s.ID, ^uint64(0)).Float64() < r.settings.KnownHarm
	r.open++
	s.worth, s.within = r.meter.Weight(&s.Operation)
	s.ask(s.Start(r.now, &r.habits, s.class, r.draws(&s.Operation, 0)))
}

func (r *run) again(s *story) {
	if !s.ended {
		s.ask(s.Retry(r.now, &r.habits, s.class, r.draws(&s.Operation, 2*s.Requests)))
	}
}

// ask sends a try to its instance.
func (s *story) ask(t simclient.Request) {
	r := s.run
	r.meter.Costs.ClientRequests++
	x := &try{Request: t, story: s, in: r.instances[s.Instance], sent: r.now}
	s.try = x
	r.trace(x, -1, "", "asks")
	r.queue.push(r.now+r.network.client(s.ID, t.Number, false), evSubmit, 0, x)
	if t.AbortAt > 0 {
		r.queue.push(t.AbortAt, evLeave, 0, x)
	}
	r.queue.push(t.Deadline, evLeave, 0, x)
}

// try is one request of a client.
type try struct {
	simclient.Request
	story   *story
	in      *instance
	sent    monotime.Micros
	done    bool // for the client
	life    uint32
	call    engine.Call
	conn    *connlimit.Conn[*clientConn]
	answer  engine.Response
	has     bool // the instance has answered
	taken   bool // by the engine
	place   int  // among its instance's open ones
	effects int  // of its attempts
}

// answered takes the instance's answer to the client.
func (t *try) answered() {
	r := t.story.run
	if t.done {
		return
	}
	switch t.answer.Verdict {
	case engine.Served:
		if s, ok := t.answer.Result.Response.(*sending); ok {
			r.meter.Costs.UsefulWork += float64(s.job.Work)
		}
		t.over(simclient.OK, 0)
	case engine.Rejected, engine.RateLimited:
		t.over(simclient.Rejected, t.answer.RetryAfter)
	default:
		t.over(simclient.Failed, 0)
	}
}

// leave has the client go if it still waits.
func (t *try) leave() {
	if t.done {
		return
	}
	r := t.story.run
	if r.now >= t.Deadline && t.taken && t.life == t.in.life && !t.has && t.in.frozen < t.sent {
		r.meter.Costs.LateResponses++ // a running instance that took it owed an answer by now
	}
	r.trace(t, -1, "", "leaves")
	if t.taken && t.life == t.in.life && !t.in.down {
		if t.in.frozen > r.now {
			r.queue.push(t.in.frozen, evGone, 0, t)
		} else {
			t.in.left(t)
		}
	}
	t.over(simclient.NoResponse, 0)
}

// over ends the try for its client.
func (t *try) over(v simclient.RequestOutcome, retryAfter monotime.Micros) {
	if t.done {
		return
	}
	t.done = true
	s, r := t.story, t.story.run
	if r.o.Trace != nil {
		r.trace(t, -1, "", [...]string{"is served", "is refused", "is failed", "has no answer"}[v])
	}
	if s.ended {
		return
	}
	at, again := s.RequestEnded(r.now, t.Number, v, retryAfter, s.class, r.draws(&s.Operation, 2*t.Number+1))
	switch {
	case again:
		r.queue.push(at, evTry, 0, s)
	case s.Outcome != simclient.Pending:
		s.ended = true
		r.open--
		r.meter.OperationEnded(&s.Operation, t.in.zone, s.worth, s.within)
	}
}

func (r *run) trace(t *try, attempt int, node, what string) {
	if r.o.Trace != nil {
		r.o.Trace(Trace{At: r.now, Operation: t.story.ID, Request: t.Number, Instance: t.in.n, Attempt: attempt, Endpoint: node, Step: what})
	}
}
