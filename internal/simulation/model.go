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
const maxDrainTime = 120 * second

// run is a run that is under way.
type run struct {
	options  Options
	plan     *scenario.Plan
	settings *Settings
	now      monotime.Micros
	events   eventQueue

	criteriaClass  []int // place among the judge's classes of each of the plan's
	settingsClass  []int // and among the settings' of each of the judge's
	criteriaTenant []int
	settingsTenant []int
	behavior       simclient.Behavior

	instances      []*instance
	endpoints      []*endpoint
	blockingEvents []int // happenings that keep ways apart
	discovery      *discoveryService
	network        network

	workRand, faultRand, clientRand, reportRand *randstream.Stream
	meter                                       *measure.Meter
	pendingOperations                           int // stories
	instancesWithArrivals                       int // instances that have stories to come
	fleetMessages                               uint64
}

// Run plays a plan, or returns the error of settings that do not fit it. When ctx ends it returns its cause.
func Run(ctx context.Context, o Options) (*measure.Result, error) {
	startedAt := time.Now()
	r := &run{options: o, plan: o.Plan, settings: o.Settings, behavior: o.Plan.ClientBehavior()}
	if err := r.mapNames(); err != nil {
		return nil, err
	}
	if o.Plan.Replay != nil && o.Plan.Source == nil {
		return nil, errors.New("the scenario plays a record again, and that was not read")
	}
	seed := o.Plan.Seed
	r.workRand, r.faultRand, r.clientRand, r.reportRand = randstream.New(seed, "noise"), randstream.New(seed, "luck"), randstream.New(seed, "callers"), randstream.New(seed, "reports")
	r.meter = measure.New(o.Criteria, o.Plan.Length.Micros(), len(o.Plan.Fleet.Zones))
	r.network = newNetwork(o.Plan)
	r.discovery = newDiscoveryService(r)
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
		r.scheduleNextOperation(in)
	}
	r.scheduleEvents()
	r.meter.SetFaultPeriod(r.plan.EventPeriod())
	r.meter.SetEnvironment(measure.Environment{Capacity: r.plan.CapacityAt, Serving: r.plan.InstanceServing})
	if err := r.play(ctx); err != nil {
		return nil, err
	}
	result := r.meter.Result()
	result.Scenario, result.Seed, result.Elapsed = o.Plan.Name, seed, time.Since(startedAt)
	for i, e := range r.endpoints {
		n := &o.Plan.Endpoints[i]
		result.Endpoints = append(result.Endpoints, measure.EndpointLoad{Name: n.Name, Zone: n.Zone, Executions: e.executions, MaxInFlight: e.maxInFlight, Arrivals: e.arrivals,
			Utilization: float64(e.model.WorkDone()) / n.Config.Speed / float64(n.Config.Cores) / float64(max(r.now, 1))})
	}
	return result, nil
}

// fit finds the plan's classes and tenants among the judge's and the settings'.
func (r *run) mapNames() error {
	for _, c := range r.plan.Classes {
		at := slices.IndexFunc(r.options.Criteria.Classes, func(j balancer.Class) bool { return j.Name == c.Name })
		if at < 0 {
			return fmt.Errorf("the scenario's class %q is none of the settings' classes", c.Name)
		}
		r.criteriaClass = append(r.criteriaClass, at)
	}
	for _, t := range r.plan.Tenants {
		at := slices.IndexFunc(r.options.Criteria.Tenants, func(j balancer.Tenant) bool { return j.Name == t.Name })
		if at < 0 {
			return fmt.Errorf("the scenario's tenant %q is none of the settings' tenants", t.Name)
		}
		r.criteriaTenant = append(r.criteriaTenant, at)
	}
	for _, c := range r.options.Criteria.Classes {
		at := slices.Index(r.settings.Site.Classes, c.Name)
		if at < 0 {
			return fmt.Errorf("the class %q, by which is judged, is missing in these settings", c.Name)
		}
		r.settingsClass = append(r.settingsClass, at)
	}
	for _, t := range r.options.Criteria.Tenants {
		at := slices.Index(r.settings.Site.Tenants, t.Name)
		if at < 0 {
			return fmt.Errorf("the tenant %q, by whom is judged, is missing in these settings", t.Name)
		}
		r.settingsTenant = append(r.settingsTenant, at)
	}
	return nil
}

// kind is what kind of event happens.
type eventKind uint8

const (
	operationArrives    eventKind = iota // n: an instance; the next story begins there
	requestRetried                       // p: *story; its next try begins
	requestAtInstance                    // p: *try; its request is whole at the instance
	connRejected                         // p: *try; the instance's machine refuses its connection
	responseAtClient                     // p: *try; its answer is at the client
	clientConnReset                      // p: *try; the client sees its connection break
	clientTimeout                        // p: *try; the client has waited long enough, or leaves
	instanceWakeup                       // p: *instance; its engine has something due
	attemptConnected                     // p: *sending; its connection stands, at the instance
	dialFailed                           // p: *sending; it has none
	attemptAtEndpoint                    // p: *sending; it is at the endpoint
	replyAtInstance                      // p: *sending; its reply is at the instance
	attemptAborted                       // p: *sending; the endpoint sees that its sender has gone
	endpointWakeup                       // n: an endpoint that has finished something
	probeAtEndpoint                      // p: *probe; it is at the endpoint
	probeReplied                         // p: *probe; its answer is at the instance
	discoveryNotified                    // n: an endpoint, p: engine.Member; discovery hears how it stands with it
	watchEventArrives                    // p: *news; discovery's word is at an instance
	plannedEventStarts                   // n: a happening begins
	plannedEventEnds                     // n: a happening ends
	plannedEventSteps                    // n: a happening goes on, at its next endpoint or phase; p: how far
	endpointStarts                       // n: an endpoint starts
	instanceRestarts                     // p: *instance; it starts anew
	endpointPauses                       // n: an endpoint stops for a moment
	fleetMessageArrives                  // p: *word; it is at its instance
	clientGoneNoticed                    // p: *try; its instance goes on and sees that its client has left
)

// play handles events until there are none that matter any more.
func (r *run) play(ctx context.Context) error {
	end := r.plan.Length.Micros()
	for n := 0; r.events.len() > 0; n++ {
		if n&0xfff == 0 {
			if ctx.Err() != nil {
				return context.Cause(ctx)
			}
			if r.options.Progress != nil {
				r.options.Progress(r.now)
			}
		}
		e := r.events.pop()
		r.now = e.at
		if r.pendingOperations == 0 && r.instancesWithArrivals == 0 && r.now >= end || r.now > end+maxDrainTime {
			return nil
		}
		r.handle(&e)
	}
	return nil
}

func (r *run) handle(e *event) {
	if in := handlingInstance(e); in != nil && in.frozenUntil > r.now && !in.down {
		if e.kind == instanceWakeup {
			in.wakeupAt = in.frozenUntil
		}
		r.events.push(in.frozenUntil, e.kind, e.index, e.target)
		return
	}
	switch e.kind {
	case operationArrives:
		r.startOperation(r.instances[e.index])
	case requestRetried:
		r.retryOperation(e.target.(*operation))
	case requestAtInstance:
		e.target.(*clientRequest).submit()
	case connRejected:
		e.target.(*clientRequest).end(simclient.NoResponse, 0)
	case responseAtClient:
		e.target.(*clientRequest).responseArrived()
	case clientConnReset:
		e.target.(*clientRequest).end(simclient.NoResponse, 0)
	case clientTimeout:
		e.target.(*clientRequest).clientLeaves()
	case instanceWakeup:
		e.target.(*instance).onWakeup(e.at)
	case attemptConnected:
		e.target.(*attempt).connected()
	case dialFailed:
		e.target.(*attempt).dialFailed()
	case attemptAtEndpoint:
		e.target.(*attempt).arriveAtEndpoint()
	case replyAtInstance:
		e.target.(*attempt).replyArrived()
	case attemptAborted:
		e.target.(*attempt).abortNoticed()
	case endpointWakeup:
		r.endpoints[e.index].onWakeup(e.at)
	case probeAtEndpoint:
		e.target.(*probe).arriveAtEndpoint()
	case probeReplied:
		e.target.(*probe).replyArrived()
	case discoveryNotified:
		r.discovery.publish(int(e.index), e.target.(engine.EndpointInfo))
	case watchEventArrives:
		e.target.(*watchEvent).arrive()
	case plannedEventStarts:
		r.startEvent(int(e.index))
	case plannedEventEnds:
		r.endEvent(int(e.index))
	case plannedEventSteps:
		r.stepEvent(int(e.index), e.target.(int))
	case endpointStarts:
		r.endpoints[e.index].start(false)
	case instanceRestarts:
		e.target.(*instance).start(false)
	case endpointPauses:
		r.endpoints[e.index].pause()
	case fleetMessageArrives:
		e.target.(*fleetMessage).arrive()
	case clientGoneNoticed:
		if t := e.target.(*clientRequest); t.incarnation == t.instance.incarnation && !t.instance.down {
			t.instance.clientGone(t)
		}
	}
}

// host is the instance whose process handles an event, nil for what happens elsewhere.
func handlingInstance(e *event) *instance {
	switch e.kind {
	case requestAtInstance, clientGoneNoticed:
		return e.target.(*clientRequest).instance
	case instanceWakeup:
		return e.target.(*instance)
	case attemptConnected, dialFailed, replyAtInstance:
		return e.target.(*attempt).instance
	case probeReplied:
		return e.target.(*probe).instance
	case watchEventArrives:
		return e.target.(*watchEvent).instance
	case fleetMessageArrives:
		return e.target.(*fleetMessage).to
	}
	return nil
}

// ---- Clients ---------------------------------------------------------------

// story is a client's, with what the run needs of it.
type operation struct {
	simclient.Operation
	run         *run
	class       *balancer.Class // the judge's
	weight      float64
	withinQuota bool
	ended       bool
	current     *clientRequest // the present one
}

// nextStory schedules the next story of an instance.
func (r *run) scheduleNextOperation(in *instance) {
	if in.operations == nil {
		in.operations = r.plan.Operations(in.index)
		r.instancesWithArrivals++
	}
	s, ok := in.operations()
	if !ok {
		r.instancesWithArrivals--
		return
	}
	in.nextOperation = s
	r.events.push(s.StartedAt, operationArrives, uint32(in.index), nil)
}

// draws are what a client leaves to chance at a try.
func (r *run) clientDraws(s *simclient.Operation, try int) *rand.Rand {
	return r.clientRand.For(s.ID, uint64(try))
}

func (r *run) startOperation(in *instance) {
	s := &operation{Operation: in.nextOperation, run: r}
	r.scheduleNextOperation(in)
	s.Class = r.criteriaClass[s.Class]
	if s.Tenant >= 0 {
		s.Tenant = r.criteriaTenant[s.Tenant]
	}
	s.class = &r.options.Criteria.Classes[s.Class]
	if s.class.Idempotency != balancer.IdempotentByKey {
		s.IdempotencyKey = 0
	}
	s.DiscardsResponse = r.settings.KnownHarm > 0 && r.faultRand.For(s.ID, ^uint64(0)).Float64() < r.settings.KnownHarm
	r.pendingOperations++
	s.weight, s.withinQuota = r.meter.Weight(&s.Operation)
	s.send(s.Start(r.now, &r.behavior, s.class, r.clientDraws(&s.Operation, 0)))
}

func (r *run) retryOperation(s *operation) {
	if !s.ended {
		s.send(s.Retry(r.now, &r.behavior, s.class, r.clientDraws(&s.Operation, 2*s.Requests)))
	}
}

// ask sends a try to its instance.
func (s *operation) send(t simclient.Request) {
	r := s.run
	r.meter.Costs.ClientRequests++
	x := &clientRequest{Request: t, operation: s, instance: r.instances[s.Instance], sentAt: r.now}
	s.current = x
	r.trace(x, -1, "", "asks")
	r.events.push(r.now+r.network.clientDelay(s.ID, t.Number, false), requestAtInstance, 0, x)
	if t.AbortAt > 0 {
		r.events.push(t.AbortAt, clientTimeout, 0, x)
	}
	r.events.push(t.Deadline, clientTimeout, 0, x)
}

// try is one request of a client.
type clientRequest struct {
	simclient.Request
	operation     *operation
	instance      *instance
	sentAt        monotime.Micros
	done          bool // for the client
	incarnation   uint32
	call          engine.Call
	conn          *connlimit.Conn[*clientConn]
	response      engine.Response
	responded     bool // the instance has answered
	submitted     bool // by the engine
	inFlightIndex int  // among its instance's open ones
	effects       int  // of its attempts
}

// answered takes the instance's answer to the client.
func (t *clientRequest) responseArrived() {
	r := t.operation.run
	if t.done {
		return
	}
	switch t.response.Verdict {
	case engine.Served:
		if s, ok := t.response.Result.Response.(*attempt); ok {
			r.meter.Costs.UsefulWork += float64(s.job.Work)
		}
		t.end(simclient.OK, 0)
	case engine.Rejected, engine.RateLimited:
		t.end(simclient.Rejected, t.response.RetryAfter)
	default:
		t.end(simclient.Failed, 0)
	}
}

// leave has the client go if it still waits.
func (t *clientRequest) clientLeaves() {
	if t.done {
		return
	}
	r := t.operation.run
	if r.now >= t.Deadline && t.submitted && t.incarnation == t.instance.incarnation && !t.responded && t.instance.frozenUntil < t.sentAt {
		r.meter.Costs.LateResponses++ // a running instance that took it owed an answer by now
	}
	r.trace(t, -1, "", "leaves")
	if t.submitted && t.incarnation == t.instance.incarnation && !t.instance.down {
		if t.instance.frozenUntil > r.now {
			r.events.push(t.instance.frozenUntil, clientGoneNoticed, 0, t)
		} else {
			t.instance.clientGone(t)
		}
	}
	t.end(simclient.NoResponse, 0)
}

// over ends the try for its client.
func (t *clientRequest) end(v simclient.RequestOutcome, retryAfter monotime.Micros) {
	if t.done {
		return
	}
	t.done = true
	s, r := t.operation, t.operation.run
	if r.options.Trace != nil {
		r.trace(t, -1, "", [...]string{"is served", "is refused", "is failed", "has no answer"}[v])
	}
	if s.ended {
		return
	}
	at, again := s.RequestEnded(r.now, t.Number, v, retryAfter, s.class, r.clientDraws(&s.Operation, 2*t.Number+1))
	switch {
	case again:
		r.events.push(at, requestRetried, 0, s)
	case s.Outcome != simclient.Pending:
		s.ended = true
		r.pendingOperations--
		r.meter.OperationEnded(&s.Operation, t.instance.zone, s.weight, s.withinQuota)
	}
}

func (r *run) trace(t *clientRequest, attempt int, node, what string) {
	if r.options.Trace != nil {
		r.options.Trace(Trace{At: r.now, Operation: t.operation.ID, Request: t.Number, Instance: t.instance.index, Attempt: attempt, Endpoint: node, Step: what})
	}
}
