package simulation

import (
	"fmt"
	"math"
	"strconv"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simclient"
	"dunlinsail/internal/simulation/simendpoint"
	"dunlinsail/internal/siteconfig"
)

// instance is one instance of the daemon: an engine, and what a process has around it.
type instance struct {
	run         *run
	index       int
	zone        int
	incarnation uint32 // changes at each start: what belongs to an earlier one is passed over
	down        bool

	frozenUntil     monotime.Micros // it is stopped until then
	discoveryBlocks int             // what keeps discovery's words from it
	heldEvents      []*watchEvent   // meanwhile

	engine   *engine.Engine
	pool     *engine.Pool
	clients  []*engine.Client // of each process
	site     siteconfig.Site
	wakeupAt monotime.Micros // the instant of the wake that is scheduled; 0 is none
	seed     uint64

	connTable       *connlimit.Table[*clientConn]
	owners          []*connlimit.Owner[*clientConn]
	idleClientConns [][]*connlimit.Conn[*clientConn] // of each process, the one used last behind
	idleUpstream    map[int][]idleConn               // connections to endpoints without an open request
	upstreamConns   int                              // all of them
	maxIdleUpstream float64                          // that may be kept; 0 is no bound

	inFlight         []*clientRequest // taken and without an answer
	hasEndpointList  bool             // it has been told a list
	operations       func() (simclient.Operation, bool)
	nextOperation    simclient.Operation
	probes           uint64
	leavingSince     map[int]monotime.Micros // endpoints that this instance knows to be draining or gone, since when
	lastWatchEventAt monotime.Micros         // when discovery's last word will be here
}

// clientConn is a client's connection.
type clientConn struct{ process int }

// kept is a connection to an endpoint that is kept.
type idleConn struct {
	endpointIncarnation uint32 // the endpoint's when it was opened
	idleSince           monotime.Micros
}

func newInstance(r *run, n int) (*instance, error) {
	p := &r.plan.Instances[n]
	in := &instance{run: r, index: n, zone: p.Zone, site: r.settings.Site, down: true, seed: randstream.New(r.plan.Seed, "decisions").For(uint64(n), r.settings.DecisionSeed).Uint64()}
	s := &in.site.Settings
	s.Balancers, s.Position = len(r.plan.Instances), n
	s.Zone, s.ZoneCount = zoneIndex(in.site.Zones, r.plan.Fleet.Zones[p.Zone]), len(in.site.Zones)
	if s.Zone < 0 {
		return nil, fmt.Errorf("the scenario's zone %q is none of the settings' zones", r.plan.Fleet.Zones[p.Zone])
	}
	if err := in.create(); err != nil {
		return nil, err
	}
	return in, nil
}

func zoneIndex(names []string, name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}

// create makes the engine and what is around it, without a list.
func (in *instance) create() error {
	r := in.run
	in.engine = engine.New(engine.Config{Site: &in.site, Seed: in.seed + uint64(in.incarnation), Concurrency: r.settings.Concurrency, Host: in,
		OnQuotaSpent: func(_ monotime.Micros, budget string) { r.meter.QuotaSpent(r.now, budget) }})
	if err := in.joinFleet(); err != nil {
		return err
	}
	var err error
	var part *subset.Settings
	if r.settings.Subset != nil {
		own := *r.settings.Subset
		own.Position, own.Instances = uint64(in.index), len(r.plan.Instances)
		part = &own
	}
	var over *overload.Settings
	if r.settings.Overload != nil {
		own := *r.settings.Overload
		own.Instances = len(r.plan.Instances)
		over = &own
	}
	in.pool, err = in.engine.NewPool(engine.PoolConfig{Subset: part, Overload: over, OnIdleConnections: func(n float64) { in.maxIdleUpstream = n }, RetryShare: r.settings.RetryBudget, InitialEndpoints: engine.EndpointUpdate{Generation: -1}, SetWatch: in.setWatch})
	if err != nil {
		return err
	}
	if in.connTable, err = connlimit.New[*clientConn](r.settings.Clients, nil); err != nil {
		return err
	}
	in.clients, in.owners, in.idleClientConns = nil, nil, nil
	for i := range r.plan.Clients.Processes {
		spec := r.settings.Client
		spec.Name = fmt.Sprint(i)
		c, err := engine.NewClient(spec)
		if err != nil {
			return err
		}
		in.clients = append(in.clients, c)
		in.owners = append(in.owners, in.connTable.NewOwner(spec.Weight, math.MaxInt, 0))
		in.idleClientConns = append(in.idleClientConns, nil)
	}
	in.inFlight, in.hasEndpointList = nil, false
	in.idleUpstream, in.upstreamConns, in.leavingSince = map[int][]idleConn{}, 0, map[int]monotime.Micros{}
	return nil
}

// start has the instance serve, with the whole list as discovery knows it. An engine was made before the first start.
func (in *instance) start(first bool) {
	if !first {
		if err := in.create(); err != nil {
			panic(err) // the same settings were taken before
		}
	}
	in.down, in.wakeupAt, in.frozenUntil, in.heldEvents = false, 0, 0, nil
	in.pool.Start(in.localTime())
	in.engine.StartCoordination(in.localTime())
	if first || !in.run.discovery.silent && in.discoveryBlocks == 0 {
		in.updateEndpoints(in.run.discovery.snapshot(in))
	}
	in.advanceEngine()
}

// kill ends the process: what it holds is lost, and its connections are reset.
func (in *instance) kill() {
	if in.down {
		return
	}
	in.incarnation++
	in.down = true
	in.engine = nil
}

// local is what the instance's clock tells.
func (in *instance) localTime() monotime.Micros { return in.clockAt(in.run.now) }

func (in *instance) clockAt(at monotime.Micros) monotime.Micros {
	p := &in.run.plan.Instances[in.index]
	return clockOrigin + p.Skew + at + monotime.Micros(p.Drift*float64(at))
}

// world is when the instance's clock will tell an instant, at the earliest.
func (in *instance) worldTime(local monotime.Micros) monotime.Micros {
	p := &in.run.plan.Instances[in.index]
	at := monotime.Micros(float64(local-clockOrigin-p.Skew) / (1 + p.Drift))
	for in.clockAt(at) < local {
		at++
	}
	return at
}

// settle does what is due after an event, and schedules what comes next.
func (in *instance) advanceEngine() {
	for in.engine != nil {
		at, ok := in.engine.Next()
		if !ok {
			return
		}
		if at > in.localTime() {
			if due := in.worldTime(at); in.wakeupAt == 0 || due < in.wakeupAt {
				in.wakeupAt = due
				in.run.events.push(due, instanceWakeup, in.incarnation, in)
			}
			return
		}
		in.engine.Advance(in.localTime())
	}
}

func (in *instance) onWakeup(at monotime.Micros) {
	if in.down || in.wakeupAt != at {
		return
	}
	in.wakeupAt = 0
	in.run.meter.Costs.Decisions++
	in.advanceEngine()
}

// ---- Clients' side ---------------------------------------------------------

// submit hands a try's request to the instance, once it is whole there.
func (t *clientRequest) submit() {
	in, r, s := t.instance, t.operation.run, t.operation
	if t.done {
		return // its client has left already
	}
	if in.down || !in.acceptConn(t) {
		r.events.push(r.now+r.network.clientDelay(s.ID, t.Number, true), connRejected, 0, t)
		return
	}
	t.incarnation, t.submitted = in.incarnation, true
	t.inFlightIndex = len(in.inFlight)
	in.inFlight = append(in.inFlight, t)
	now := in.localTime()
	tenant := uint16(math.MaxUint16)
	if s.Tenant >= 0 {
		tenant = uint16(r.settingsTenant[s.Tenant])
	}
	// What is told is how long the client waits from when it sent the request; the way here is not known.
	t.call = engine.Call{Client: in.clients[s.Process], Pool: in.pool, ID: fmt.Sprintf("%x-%d", s.ID, t.Number), ArrivedAt: now, HostData: t,
		Request: balancer.Request{Class: uint8(r.settingsClass[s.Class]), Tenant: tenant, Retry: t.Retry, IdempotencyKey: s.Object, Write: s.class.Idempotency != balancer.Idempotent,
			Deadline: now + (t.Deadline-t.sentAt)/1000*1000 - siteconfig.ResponseMargin.Microseconds()}}
	r.meter.Costs.Decisions++
	in.engine.Submit(now, &t.call)
	in.advanceEngine()
}

// connect finds a connection for a try, or opens one, and says whether there is one.
func (in *instance) acceptConn(t *clientRequest) bool {
	now := in.localTime()
	p := t.operation.Process
	for {
		c, _ := in.connTable.RemoveExpired(now)
		if c == nil {
			break
		}
		in.forgetIdleClientConn(c)
	}
	if rest := in.idleClientConns[p]; len(rest) > 0 {
		t.conn = rest[len(rest)-1]
		in.idleClientConns[p] = rest[:len(rest)-1]
	} else {
		c, closed := in.connTable.Add(now, in.owners[p], &clientConn{p})
		if closed != nil {
			in.forgetIdleClientConn(closed)
		}
		if c == nil {
			return false
		}
		t.conn = c
	}
	return in.connTable.MarkBusy(t.conn)
}

// drop forgets a client's connection that was closed at rest.
func (in *instance) forgetIdleClientConn(c *connlimit.Conn[*clientConn]) {
	rest := in.idleClientConns[c.Value.process]
	for i := range rest {
		if rest[i] == c {
			in.idleClientConns[c.Value.process] = append(rest[:i], rest[i+1:]...)
			return
		}
	}
}

// close takes a try out of those that are open.
func (in *instance) removeInFlight(t *clientRequest) {
	last := len(in.inFlight) - 1
	in.inFlight[t.inFlightIndex] = in.inFlight[last]
	in.inFlight[t.inFlightIndex].inFlightIndex = t.inFlightIndex
	in.inFlight[last] = nil
	in.inFlight = in.inFlight[:last]
}

// record tells of a request that is over.
func (in *instance) recordRequest(t *clientRequest, left bool) {
	tell := in.run.options.Record
	if tell == nil {
		return
	}
	s, arrived := t.operation, t.call.ArrivedAt
	tell(&RequestRecord{Instance: in.index, Process: s.Process, Operation: s.ID, Class: s.Class, Tenant: s.Tenant, IdempotencyKey: t.IdempotencyKey, Object: s.Object, Retry: t.Retry, Arrived: arrived,
		Duration: in.localTime() - arrived, Timeout: t.call.Request.Deadline - arrived, ClientGone: left, Response: t.response})
}

// left tells the engine that a client has gone.
func (in *instance) clientGone(t *clientRequest) {
	if !t.responded {
		in.removeInFlight(t)
		in.connTable.Remove(t.conn)
		in.recordRequest(t, true)
	}
	in.engine.ClientGone(in.localTime(), &t.call)
	in.advanceEngine()
}

// ---- engine.Host -----------------------------------------------------------

// target is an endpoint, as an instance knows it.
type upstreamTarget struct{ endpoint *endpoint }

// Drop does nothing: what is kept to an endpoint that has gone grows old.
func (upstreamTarget) Drop() {}

// Target finds an endpoint by its address, which is its place.
func (in *instance) NewTarget(addr string) engine.Target {
	place, err := strconv.Atoi(addr)
	if err != nil {
		panic(err) // it is what truth.member wrote
	}
	return upstreamTarget{in.run.endpoints[place]}
}

// Start starts an attempt.
func (in *instance) StartAttempt(a *engine.Attempt) { newAttempt(in, a).start() }

// Shut keeps in what has not gone out.
func (in *instance) CancelUnsent(a *engine.Attempt) bool {
	s, ok := a.HostData.(*attempt)
	return !ok || s.cancelUnsent()
}

// Withdraw ends an attempt.
func (in *instance) AbortAttempt(a *engine.Attempt) {
	if s, ok := a.HostData.(*attempt); ok {
		s.abort()
	}
}

// Silent forgets kept connections that were last used before the attempt began.
func (in *instance) AttemptTimedOut(a *engine.Attempt) {
	s, ok := a.HostData.(*attempt)
	if !ok {
		return
	}
	all := in.idleUpstream[s.endpoint.index]
	left := all[:0]
	for _, k := range all {
		if k.idleSince >= s.startedAt {
			left = append(left, k)
			continue
		}
		in.upstreamConns--
		s.endpoint.disconnect(k.endpointIncarnation)
	}
	in.idleUpstream[s.endpoint.index] = left
}

// Probe asks an endpoint for its load.
func (in *instance) StartProbe(p *engine.Pool, e *engine.Endpoint) { newProbe(in, e) }

// Answer sends a client its answer.
func (in *instance) Respond(c *engine.Call, a engine.Response) {
	t := c.HostData.(*clientRequest)
	r := in.run
	t.response, t.responded = a, true
	in.removeInFlight(t)
	in.recordRequest(t, false)
	if t.conn != nil {
		if closed := in.connTable.MarkIdle(in.localTime(), t.conn); closed != nil {
			in.forgetIdleClientConn(closed)
		}
		p := t.conn.Value.process
		in.idleClientConns[p] = append(in.idleClientConns[p], t.conn)
		t.conn = nil
	}
	r.events.push(r.now+r.network.clientDelay(t.operation.ID, t.Number, true)+in.overhead(), responseAtClient, 0, t)
}

// Ready needs no word to anybody.
func (in *instance) EndpointReady() {}

// Log tells what an instance logs.
func (in *instance) Log(line string, args ...any) {
	if in.run.options.Log != nil {
		in.run.options.Log(in.run.now, in.index, fmt.Sprint(append([]any{line}, args...)...))
	}
}

// Warn is as Log.
func (in *instance) Warn(line string, args ...any) { in.Log(line, args...) }

// overhead is what a request spends in the process on each side of its attempts.
func (in *instance) overhead() monotime.Micros { return in.run.plan.Host.Overhead.Micros() / 2 }

// ---- Attempts --------------------------------------------------------------

type attemptPhase uint8

const (
	connecting attemptPhase = iota
	sent                    // on its connection
	replied                 // its reply is at the instance
	notSent                 // it never goes out
	aborted                 // its connection was closed with it out
)

// sending is what is out of an attempt.
type attempt struct {
	instance        *instance
	endpoint        *endpoint
	engineAttempt   *engine.Attempt
	request         *clientRequest
	incarnation     uint32 // of the instance
	connIncarnation uint32 // life of the endpoint that its connection belongs to
	startedAt       monotime.Micros
	phase           attemptPhase
	job             simendpoint.Job
	status          balancer.Status
	awaited         bool // somebody waits for it
	held            bool // its work is the endpoint's
}

func newAttempt(in *instance, a *engine.Attempt) *attempt {
	s := &attempt{instance: in, engineAttempt: a, endpoint: a.Endpoint.Target.(upstreamTarget).endpoint, request: a.Call.HostData.(*clientRequest), incarnation: in.incarnation, startedAt: in.run.now, awaited: true}
	a.HostData = s
	return s
}

func (s *attempt) randKey() (uint64, uint64) {
	return s.request.operation.ID, uint64(s.request.Number)<<8 | uint64(s.engineAttempt.Number)
}

// way is how long a message between the instance and the endpoint takes.
func (s *attempt) delay(what uint64) monotime.Micros {
	who, which := s.randKey()
	r := s.instance.run
	return r.network.endpointDelay(s.instance.zone, s.endpoint.zone(), who, which, what) + r.plan.ExtraDelay(r.now, s.instance.index, s.endpoint.index)
}

// start finds a connection.
func (s *attempt) start() {
	in, r := s.instance, s.instance.run
	all := in.idleUpstream[s.endpoint.index]
	idle := r.settings.Site.KeepAlive.Microseconds() * 2 / 3
	if in.maxIdleUpstream > 0 && in.maxIdleUpstream < 1 {
		idle = monotime.Micros(float64(idle) * in.maxIdleUpstream) // as upstream.Pool.Rest has it
	}
	for len(all) > 0 {
		k := all[len(all)-1]
		all = all[:len(all)-1]
		in.idleUpstream[s.endpoint.index] = all
		if r.now-k.idleSince < idle {
			s.connIncarnation = k.endpointIncarnation
			s.phase = sent
			r.events.push(r.now+in.overhead()+s.delay(1), attemptAtEndpoint, 0, s)
			return
		}
		in.upstreamConns--
		s.endpoint.disconnect(k.endpointIncarnation)
	}
	if most := r.settings.MaxConnections; most > 0 && in.upstreamConns >= most && !in.closeOldestIdle() {
		s.status = balancer.NotSent
		r.events.push(r.now, dialFailed, 0, s)
		return
	}
	in.upstreamConns++
	dial := r.settings.Site.Settings.Limits.DialTimeout
	if dial <= 0 {
		dial = probeTimeout
	}
	s.status = balancer.ConnectFailed
	there := s.delay(3)
	switch {
	case s.endpoint.unreachable || r.dialBlocked(in, s.endpoint):
		r.events.push(r.now+dial, dialFailed, 0, s)
	case !s.endpoint.model.Up() || !s.endpoint.model.Connect():
		r.events.push(r.now+in.overhead()+2*there, dialFailed, 0, s)
	case 2*there > dial:
		r.events.push(r.now+dial, dialFailed, 0, s)
	default:
		s.connIncarnation = s.endpoint.incarnation
		r.meter.Costs.Dials++
		r.meter.RecordArrival(r.now, s.endpoint.index, measure.DialArrival)
		r.events.push(r.now+in.overhead()+2*there, attemptConnected, 0, s)
	}
}

// evict closes the kept connection that was used longest ago.
func (in *instance) closeOldestIdle() bool {
	oldest := -1
	for n, all := range in.idleUpstream {
		if len(all) > 0 && (oldest < 0 || all[0].idleSince < in.idleUpstream[oldest][0].idleSince || all[0].idleSince == in.idleUpstream[oldest][0].idleSince && n < oldest) {
			oldest = n
		}
	}
	if oldest < 0 {
		return false
	}
	k := in.idleUpstream[oldest][0]
	in.idleUpstream[oldest] = in.idleUpstream[oldest][1:]
	in.upstreamConns--
	in.run.endpoints[oldest].disconnect(k.endpointIncarnation)
	return true
}

// connected has the request go out, unless it may not any more.
func (s *attempt) connected() {
	in, r := s.instance, s.instance.run
	if s.incarnation != in.incarnation {
		s.endpoint.disconnect(s.connIncarnation)
		return
	}
	if !s.awaited {
		in.upstreamConns--
		s.endpoint.disconnect(s.connIncarnation)
		return
	}
	if s.phase == notSent || !s.engineAttempt.Endpoint.MaySend(in.localTime()) || in.localTime() >= s.engineAttempt.Deadline ||
		s.engineAttempt.SendBefore > 0 && in.localTime() >= s.engineAttempt.SendBefore {
		s.phase = notSent
		s.keepConn()
		s.end(balancer.NotSent)
		return
	}
	s.phase = sent
	r.events.push(r.now+s.delay(1), attemptAtEndpoint, 0, s)
}

// unconnected ends an attempt that has no connection.
func (s *attempt) dialFailed() {
	if s.incarnation != s.instance.incarnation {
		return
	}
	if s.status != balancer.NotSent {
		s.instance.upstreamConns--
	}
	if s.phase == connecting {
		s.phase = notSent
		s.end(s.status)
	}
}

// keep gives the connection back for the next.
func (s *attempt) keepConn() {
	in := s.instance
	in.idleUpstream[s.endpoint.index] = append(in.idleUpstream[s.endpoint.index], idleConn{s.connIncarnation, in.run.now})
	if in.maxIdleUpstream == 0 {
		return
	}
	resting := 0
	for _, all := range in.idleUpstream {
		resting += len(all)
	}
	for ; resting > max(1, int(in.maxIdleUpstream)); resting-- {
		in.closeOldestIdle()
	}
}

// end tells the engine what came of the attempt, if it still waits for that.
func (s *attempt) end(status balancer.Status) {
	in, r := s.instance, s.instance.run
	if s.incarnation != in.incarnation || s.engineAttempt.Done() {
		return
	}
	r.meter.Costs.Decisions++
	reply := engine.AttemptResult{Status: status, ObservedAt: in.localTime(), Response: nil}
	if status == balancer.OK {
		reply.Response = s
	}
	in.engine.AttemptEnded(in.localTime(), s.engineAttempt, reply)
	in.advanceEngine()
}

// shut keeps in what has not gone out.
func (s *attempt) cancelUnsent() bool {
	if s.phase == connecting {
		s.phase = notSent
	}
	return s.phase == notSent
}

// withdraw ends the attempt: nobody waits for it. A connection with something out on it is closed.
func (s *attempt) abort() {
	if !s.awaited {
		return
	}
	s.awaited = false
	if s.phase == sent {
		s.phase = aborted
		s.instance.upstreamConns--
		s.instance.run.events.push(s.instance.run.now+s.delay(4), attemptAborted, 0, s)
	}
}

// reach is the request's arrival at the endpoint.
func (s *attempt) arriveAtEndpoint() {
	r, e := s.instance.run, s.endpoint
	if e.unreachable || r.pathBlocked(s.instance, e, false) {
		return // nobody hears it, and nobody says so
	}
	m := &r.meter.Costs
	m.Attempts++
	r.meter.RecordArrival(r.now, e.index, arrivalKind(s.engineAttempt.Number))
	if e.zone() != s.instance.zone {
		m.CrossZone++
	}
	if at, told := s.instance.leavingSince[e.index]; told && s.incarnation == s.instance.incarnation && s.startedAt > at+r.settings.Site.Settings.Contract.DrainGrace {
		m.AttemptsAfterDrain++
	}
	if !e.model.Up() || s.connIncarnation != e.incarnation {
		s.reply(balancer.Reset)
		return
	}
	story := s.request.operation
	who, which := s.randKey()
	class := &r.plan.Classes[story.run.planClass(story.Class)]
	draws := r.workRand.For(who, which)
	s.job = simendpoint.Job{Class: story.Class, Work: simendpoint.DrawWork(draws, story.Work, class.Noise), IdempotencyKey: s.request.IdempotencyKey, Chance: r.faultRand.For(who, which).Float64(), HostData: s}
	if story.class.Idempotency != balancer.IdempotentByKey {
		s.job.IdempotencyKey = 0
	}
	r.trace(s.request, s.engineAttempt.Number, r.plan.Endpoints[e.index].Name, "reaches")
	switch e.arrive(&s.job) {
	case simendpoint.Rejected:
		s.reply(balancer.Rejected)
	case simendpoint.Failed:
		s.reply(balancer.Error)
	default:
		s.held = true
	}
}

// kindOf is what kind of arrival an attempt is, by its number among its request's.
func arrivalKind(attempt int) measure.Arrival {
	if attempt == 0 {
		return measure.FirstAttempt
	}
	return measure.ExtraAttempt
}

// planClass is the place among the plan's classes of one of the judge's.
func (r *run) planClass(class int) int {
	for i, at := range r.criteriaClass {
		if at == class {
			return i
		}
	}
	return 0
}

// reply sends a reply on its way.
func (s *attempt) reply(status balancer.Status) {
	r := s.instance.run
	if r.pathBlocked(s.instance, s.endpoint, true) {
		return
	}
	s.status = status
	r.events.push(r.now+s.delay(2)+s.instance.overhead(), replyAtInstance, 0, s)
}

// replied is the reply's arrival at the instance.
func (s *attempt) replyArrived() {
	if s.incarnation != s.instance.incarnation || s.phase != sent {
		return // nobody waits for it, and its connection is closed
	}
	s.phase = replied
	if s.status == balancer.Reset {
		s.instance.upstreamConns--
	} else {
		s.keepConn()
	}
	s.instance.run.trace(s.request, s.engineAttempt.Number, s.instance.run.plan.Endpoints[s.endpoint.index].Name, statusStep(s.status))
	s.end(s.status)
}

// closed is when the endpoint sees that nobody waits any more.
func (s *attempt) abortNoticed() {
	if s.endpoint.unreachable || s.connIncarnation != s.endpoint.incarnation {
		return
	}
	s.endpoint.model.Disconnect()
	if s.held && s.endpoint.model.Cancel(s.instance.run.now, &s.job) {
		s.held = false
		s.endpoint.scheduleWakeup()
	}
}

var statusSteps = map[balancer.Status]string{balancer.OK: "answers", balancer.Error: "answers an error", balancer.Rejected: "turns it away",
	balancer.Reset: "breaks off"}

func statusStep(s balancer.Status) string { return statusSteps[s] }

// ---- Probes ----------------------------------------------------------------

// probeTime is how long a probe is waited for.
const probeTimeout = second / 4

// probe is one that is out.
type probe struct {
	instance       *instance
	engineEndpoint *engine.Endpoint
	endpoint       *endpoint
	pool           *engine.Pool
	incarnation    uint32
	number         uint64
	sentAt         monotime.Micros // the instance's clock
	reply          engine.AttemptResult
}

func newProbe(in *instance, e *engine.Endpoint) {
	r := in.run
	in.probes++
	p := &probe{instance: in, engineEndpoint: e, endpoint: e.Target.(upstreamTarget).endpoint, pool: in.pool, incarnation: in.incarnation, number: in.probes, sentAt: in.localTime()}
	if p.endpoint.unreachable || r.dialBlocked(in, p.endpoint) {
		p.reply.Status = balancer.Timeout
		r.events.push(r.now+probeTimeout, probeReplied, 0, p)
		return
	}
	r.events.push(r.now+in.overhead()+p.delay(0), probeAtEndpoint, 0, p)
}

func (p *probe) delay(what uint64) monotime.Micros {
	r := p.instance.run
	return r.network.endpointDelay(p.instance.zone, p.endpoint.zone(), uint64(p.instance.index)|1<<63, p.number, what) + r.plan.ExtraDelay(r.now, p.instance.index, p.endpoint.index)
}

func (p *probe) arriveAtEndpoint() {
	r := p.instance.run
	switch {
	case !p.endpoint.model.Up():
		p.reply.Status = balancer.ConnectFailed
	default:
		r.meter.RecordArrival(r.now, p.endpoint.index, measure.ProbeArrival)
		r.meter.Costs.Probes++ // those that reach an endpoint, as that counts them
		load := p.endpoint.model.Probe(r.now, r.reportRand.For(uint64(p.instance.index), p.number))
		for _, f := range p.instance.site.Settings.LoadMetrics {
			var v float64
			switch f {
			case balancer.MetricInflight:
				v = load.Inflight
			case balancer.MetricQueueLength:
				v = load.Queue
			case balancer.MetricUtilization:
				v = load.Util
			case balancer.MetricLatency:
				v = load.LatencyMS
			case balancer.MetricServedRate:
				v = load.Served
			case balancer.MetricErrorRate:
				v = load.Errors
			}
			p.reply.Load = append(p.reply.Load, float32(v))
		}
	}
	r.events.push(r.now+p.delay(1)+p.instance.overhead(), probeReplied, 0, p)
}

func (p *probe) replyArrived() {
	if p.incarnation != p.instance.incarnation || p.instance.down {
		return
	}
	p.reply.ObservedAt = p.instance.localTime()
	p.instance.run.meter.Costs.Decisions++
	p.instance.engine.ProbeEnded(p.instance.localTime(), p.pool, p.engineEndpoint, p.sentAt, p.reply)
	p.instance.advanceEngine()
}
