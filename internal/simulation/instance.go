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
	run  *run
	n    int
	zone int
	life uint32 // changes at each start: what belongs to an earlier one is passed over
	down bool

	frozen monotime.Micros // it is stopped until then
	deaf   int             // what keeps discovery's words from it
	held   []*news         // meanwhile

	engine  *engine.Engine
	pool    *engine.Pool
	clients []*engine.Client // of each process
	site    siteconfig.Site
	wakeAt  monotime.Micros // the instant of the wake that is scheduled; 0 is none
	seed    uint64

	table    *connlimit.Table[*clientConn]
	owners   []*connlimit.Owner[*clientConn]
	resting  [][]*connlimit.Conn[*clientConn] // of each process, the one used last behind
	upstream map[int][]kept                   // connections to endpoints without an open request
	conns    int                              // all of them
	rest     float64                          // that may be kept; 0 is no bound

	open    []*try // taken and without an answer
	listed  bool   // it has been told a list
	stories func() (simclient.Operation, bool)
	next    simclient.Operation
	probes  uint64
	told    map[int]monotime.Micros // endpoints that this instance knows to be draining or gone, since when
	last    monotime.Micros         // when discovery's last word will be here
}

// clientConn is a client's connection.
type clientConn struct{ process int }

// kept is a connection to an endpoint that is kept.
type kept struct {
	life  uint32 // the endpoint's when it was opened
	since monotime.Micros
}

func newInstance(r *run, n int) (*instance, error) {
	p := &r.plan.Instances[n]
	in := &instance{run: r, n: n, zone: p.Zone, site: r.settings.Site, down: true, seed: randstream.New(r.plan.Seed, "decisions").For(uint64(n), r.settings.DecisionSeed).Uint64()}
	s := &in.site.Settings
	s.Balancers, s.Position = len(r.plan.Instances), n
	s.Zone, s.ZoneCount = zoneOf(in.site.Zones, r.plan.Fleet.Zones[p.Zone]), len(in.site.Zones)
	if s.Zone < 0 {
		return nil, fmt.Errorf("the scenario's zone %q is none of the settings' zones", r.plan.Fleet.Zones[p.Zone])
	}
	if err := in.create(); err != nil {
		return nil, err
	}
	return in, nil
}

func zoneOf(names []string, name string) int {
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
	in.engine = engine.New(engine.Config{Site: &in.site, Seed: in.seed + uint64(in.life), Concurrency: r.settings.Concurrency, Host: in,
		OnQuotaSpent: func(_ monotime.Micros, budget string) { r.meter.QuotaSpent(r.now, budget) }})
	if err := in.join(); err != nil {
		return err
	}
	var err error
	var part *subset.Settings
	if r.settings.Subset != nil {
		own := *r.settings.Subset
		own.Position, own.Instances = uint64(in.n), len(r.plan.Instances)
		part = &own
	}
	var over *overload.Settings
	if r.settings.Overload != nil {
		own := *r.settings.Overload
		own.Instances = len(r.plan.Instances)
		over = &own
	}
	in.pool, err = in.engine.NewPool(engine.PoolConfig{Subset: part, Overload: over, OnIdleConnections: func(n float64) { in.rest = n }, RetryShare: r.settings.RetryBudget, InitialEndpoints: engine.EndpointUpdate{Generation: -1}, SetWatch: in.watch})
	if err != nil {
		return err
	}
	if in.table, err = connlimit.New[*clientConn](r.settings.Clients, nil); err != nil {
		return err
	}
	in.clients, in.owners, in.resting = nil, nil, nil
	for i := range r.plan.Clients.Processes {
		spec := r.settings.Client
		spec.Name = fmt.Sprint(i)
		c, err := engine.NewClient(spec)
		if err != nil {
			return err
		}
		in.clients = append(in.clients, c)
		in.owners = append(in.owners, in.table.NewOwner(spec.Weight, math.MaxInt, 0))
		in.resting = append(in.resting, nil)
	}
	in.open, in.listed = nil, false
	in.upstream, in.conns, in.told = map[int][]kept{}, 0, map[int]monotime.Micros{}
	return nil
}

// start has the instance serve, with the whole list as discovery knows it. An engine was made before the first start.
func (in *instance) start(first bool) {
	if !first {
		if err := in.create(); err != nil {
			panic(err) // the same settings were taken before
		}
	}
	in.down, in.wakeAt, in.frozen, in.held = false, 0, 0, nil
	in.pool.Start(in.local())
	in.engine.StartCoordination(in.local())
	if first || !in.run.truth.silent && in.deaf == 0 {
		in.tell(in.run.truth.whole(in))
	}
	in.settle()
}

// kill ends the process: what it holds is lost, and its connections are reset.
func (in *instance) kill() {
	if in.down {
		return
	}
	in.life++
	in.down = true
	in.engine = nil
}

// local is what the instance's clock tells.
func (in *instance) local() monotime.Micros { return in.clock(in.run.now) }

func (in *instance) clock(at monotime.Micros) monotime.Micros {
	p := &in.run.plan.Instances[in.n]
	return clockOrigin + p.Skew + at + monotime.Micros(p.Drift*float64(at))
}

// world is when the instance's clock will tell an instant, at the earliest.
func (in *instance) world(local monotime.Micros) monotime.Micros {
	p := &in.run.plan.Instances[in.n]
	at := monotime.Micros(float64(local-clockOrigin-p.Skew) / (1 + p.Drift))
	for in.clock(at) < local {
		at++
	}
	return at
}

// settle does what is due after an event, and schedules what comes next.
func (in *instance) settle() {
	for in.engine != nil {
		at, ok := in.engine.Next()
		if !ok {
			return
		}
		if at > in.local() {
			if due := in.world(at); in.wakeAt == 0 || due < in.wakeAt {
				in.wakeAt = due
				in.run.queue.push(due, evWake, in.life, in)
			}
			return
		}
		in.engine.Advance(in.local())
	}
}

func (in *instance) woken(at monotime.Micros) {
	if in.down || in.wakeAt != at {
		return
	}
	in.wakeAt = 0
	in.run.meter.Costs.Decisions++
	in.settle()
}

// ---- Clients' side ---------------------------------------------------------

// submit hands a try's request to the instance, once it is whole there.
func (t *try) submit() {
	in, r, s := t.in, t.story.run, t.story
	if t.done {
		return // its client has left already
	}
	if in.down || !in.connect(t) {
		r.queue.push(r.now+r.network.client(s.ID, t.Number, true), evRefused, 0, t)
		return
	}
	t.life, t.taken = in.life, true
	t.place = len(in.open)
	in.open = append(in.open, t)
	now := in.local()
	tenant := uint16(math.MaxUint16)
	if s.Tenant >= 0 {
		tenant = uint16(r.ownTenant[s.Tenant])
	}
	// What is told is how long the client waits from when it sent the request; the way here is not known.
	t.call = engine.Call{Client: in.clients[s.Process], Pool: in.pool, ID: fmt.Sprintf("%x-%d", s.ID, t.Number), ArrivedAt: now, HostData: t,
		Request: balancer.Request{Class: uint8(r.ownClass[s.Class]), Tenant: tenant, Retry: t.Retry, IdempotencyKey: s.Object, Write: s.class.Idempotency != balancer.Idempotent,
			Deadline: now + (t.Deadline-t.sent)/1000*1000 - siteconfig.ResponseMargin.Microseconds()}}
	r.meter.Costs.Decisions++
	in.engine.Submit(now, &t.call)
	in.settle()
}

// connect finds a connection for a try, or opens one, and says whether there is one.
func (in *instance) connect(t *try) bool {
	now := in.local()
	p := t.story.Process
	for {
		c, _ := in.table.RemoveExpired(now)
		if c == nil {
			break
		}
		in.drop(c)
	}
	if rest := in.resting[p]; len(rest) > 0 {
		t.conn = rest[len(rest)-1]
		in.resting[p] = rest[:len(rest)-1]
	} else {
		c, closed := in.table.Add(now, in.owners[p], &clientConn{p})
		if closed != nil {
			in.drop(closed)
		}
		if c == nil {
			return false
		}
		t.conn = c
	}
	return in.table.MarkBusy(t.conn)
}

// drop forgets a client's connection that was closed at rest.
func (in *instance) drop(c *connlimit.Conn[*clientConn]) {
	rest := in.resting[c.Value.process]
	for i := range rest {
		if rest[i] == c {
			in.resting[c.Value.process] = append(rest[:i], rest[i+1:]...)
			return
		}
	}
}

// close takes a try out of those that are open.
func (in *instance) close(t *try) {
	last := len(in.open) - 1
	in.open[t.place] = in.open[last]
	in.open[t.place].place = t.place
	in.open[last] = nil
	in.open = in.open[:last]
}

// record tells of a request that is over.
func (in *instance) record(t *try, left bool) {
	tell := in.run.o.Record
	if tell == nil {
		return
	}
	s, arrived := t.story, t.call.ArrivedAt
	tell(&RequestRecord{Instance: in.n, Process: s.Process, Operation: s.ID, Class: s.Class, Tenant: s.Tenant, IdempotencyKey: t.IdempotencyKey, Object: s.Object, Retry: t.Retry, Arrived: arrived,
		Duration: in.local() - arrived, Timeout: t.call.Request.Deadline - arrived, ClientGone: left, Response: t.answer})
}

// left tells the engine that a client has gone.
func (in *instance) left(t *try) {
	if !t.has {
		in.close(t)
		in.table.Remove(t.conn)
		in.record(t, true)
	}
	in.engine.ClientGone(in.local(), &t.call)
	in.settle()
}

// ---- engine.Host -----------------------------------------------------------

// target is an endpoint, as an instance knows it.
type target struct{ e *endpoint }

// Drop does nothing: what is kept to an endpoint that has gone grows old.
func (target) Drop() {}

// Target finds an endpoint by its address, which is its place.
func (in *instance) NewTarget(addr string) engine.Target {
	place, err := strconv.Atoi(addr)
	if err != nil {
		panic(err) // it is what truth.member wrote
	}
	return target{in.run.endpoints[place]}
}

// Start starts an attempt.
func (in *instance) StartAttempt(a *engine.Attempt) { newSending(in, a).start() }

// Shut keeps in what has not gone out.
func (in *instance) CancelUnsent(a *engine.Attempt) bool {
	s, ok := a.HostData.(*sending)
	return !ok || s.shut()
}

// Withdraw ends an attempt.
func (in *instance) AbortAttempt(a *engine.Attempt) {
	if s, ok := a.HostData.(*sending); ok {
		s.withdraw()
	}
}

// Silent forgets kept connections that were last used before the attempt began.
func (in *instance) AttemptTimedOut(a *engine.Attempt) {
	s, ok := a.HostData.(*sending)
	if !ok {
		return
	}
	all := in.upstream[s.to.n]
	left := all[:0]
	for _, k := range all {
		if k.since >= s.began {
			left = append(left, k)
			continue
		}
		in.conns--
		s.to.disconnect(k.life)
	}
	in.upstream[s.to.n] = left
}

// Probe asks an endpoint for its load.
func (in *instance) StartProbe(p *engine.Pool, e *engine.Endpoint) { newProbe(in, e) }

// Answer sends a client its answer.
func (in *instance) Respond(c *engine.Call, a engine.Response) {
	t := c.HostData.(*try)
	r := in.run
	t.answer, t.has = a, true
	in.close(t)
	in.record(t, false)
	if t.conn != nil {
		if closed := in.table.MarkIdle(in.local(), t.conn); closed != nil {
			in.drop(closed)
		}
		p := t.conn.Value.process
		in.resting[p] = append(in.resting[p], t.conn)
		t.conn = nil
	}
	r.queue.push(r.now+r.network.client(t.story.ID, t.Number, true)+in.overhead(), evAnswer, 0, t)
}

// Ready needs no word to anybody.
func (in *instance) EndpointReady() {}

// Log tells what an instance logs.
func (in *instance) Log(line string, args ...any) {
	if in.run.o.Log != nil {
		in.run.o.Log(in.run.now, in.n, fmt.Sprint(append([]any{line}, args...)...))
	}
}

// Warn is as Log.
func (in *instance) Warn(line string, args ...any) { in.Log(line, args...) }

// overhead is what a request spends in the process on each side of its attempts.
func (in *instance) overhead() monotime.Micros { return in.run.plan.Host.Overhead.Micros() / 2 }

// ---- Attempts --------------------------------------------------------------

type phase uint8

const (
	connecting phase = iota
	out              // on its connection
	back             // its reply is at the instance
	shutIn           // it never goes out
	cutOff           // its connection was closed with it out
)

// sending is what is out of an attempt.
type sending struct {
	in      *instance
	to      *endpoint
	a       *engine.Attempt
	try     *try
	life    uint32 // of the instance
	conn    uint32 // life of the endpoint that its connection belongs to
	began   monotime.Micros
	phase   phase
	job     simendpoint.Job
	status  balancer.Status
	wanted  bool // somebody waits for it
	counted bool // its work is the endpoint's
}

func newSending(in *instance, a *engine.Attempt) *sending {
	s := &sending{in: in, a: a, to: a.Endpoint.Target.(target).e, try: a.Call.HostData.(*try), life: in.life, began: in.run.now, wanted: true}
	a.HostData = s
	return s
}

func (s *sending) who() (uint64, uint64) {
	return s.try.story.ID, uint64(s.try.Number)<<8 | uint64(s.a.Number)
}

// way is how long a message between the instance and the endpoint takes.
func (s *sending) way(what uint64) monotime.Micros {
	who, which := s.who()
	r := s.in.run
	return r.network.between(s.in.zone, s.to.zone(), who, which, what) + r.plan.ExtraDelay(r.now, s.in.n, s.to.n)
}

// start finds a connection.
func (s *sending) start() {
	in, r := s.in, s.in.run
	all := in.upstream[s.to.n]
	idle := r.settings.Site.KeepAlive.Microseconds() * 2 / 3
	if in.rest > 0 && in.rest < 1 {
		idle = monotime.Micros(float64(idle) * in.rest) // as upstream.Pool.Rest has it
	}
	for len(all) > 0 {
		k := all[len(all)-1]
		all = all[:len(all)-1]
		in.upstream[s.to.n] = all
		if r.now-k.since < idle {
			s.conn = k.life
			s.phase = out
			r.queue.push(r.now+in.overhead()+s.way(1), evReach, 0, s)
			return
		}
		in.conns--
		s.to.disconnect(k.life)
	}
	if most := r.settings.MaxConnections; most > 0 && in.conns >= most && !in.evict() {
		s.status = balancer.NotSent
		r.queue.push(r.now, evNoConn, 0, s)
		return
	}
	in.conns++
	dial := r.settings.Site.Settings.Limits.DialTimeout
	if dial <= 0 {
		dial = probeTime
	}
	s.status = balancer.ConnectFailed
	there := s.way(3)
	switch {
	case s.to.mute || r.cutAny(in, s.to):
		r.queue.push(r.now+dial, evNoConn, 0, s)
	case !s.to.node.Up() || !s.to.node.Connect():
		r.queue.push(r.now+in.overhead()+2*there, evNoConn, 0, s)
	case 2*there > dial:
		r.queue.push(r.now+dial, evNoConn, 0, s)
	default:
		s.conn = s.to.life
		r.meter.Costs.Dials++
		r.meter.RecordArrival(r.now, s.to.n, measure.DialArrival)
		r.queue.push(r.now+in.overhead()+2*there, evConnected, 0, s)
	}
}

// evict closes the kept connection that was used longest ago.
func (in *instance) evict() bool {
	oldest := -1
	for n, all := range in.upstream {
		if len(all) > 0 && (oldest < 0 || all[0].since < in.upstream[oldest][0].since || all[0].since == in.upstream[oldest][0].since && n < oldest) {
			oldest = n
		}
	}
	if oldest < 0 {
		return false
	}
	k := in.upstream[oldest][0]
	in.upstream[oldest] = in.upstream[oldest][1:]
	in.conns--
	in.run.endpoints[oldest].disconnect(k.life)
	return true
}

// connected has the request go out, unless it may not any more.
func (s *sending) connected() {
	in, r := s.in, s.in.run
	if s.life != in.life {
		s.to.disconnect(s.conn)
		return
	}
	if !s.wanted {
		in.conns--
		s.to.disconnect(s.conn)
		return
	}
	if s.phase == shutIn || !s.a.Endpoint.MaySend(in.local()) || in.local() >= s.a.Deadline ||
		s.a.SendBefore > 0 && in.local() >= s.a.SendBefore {
		s.phase = shutIn
		s.keep()
		s.end(balancer.NotSent)
		return
	}
	s.phase = out
	r.queue.push(r.now+s.way(1), evReach, 0, s)
}

// unconnected ends an attempt that has no connection.
func (s *sending) unconnected() {
	if s.life != s.in.life {
		return
	}
	if s.status != balancer.NotSent {
		s.in.conns--
	}
	if s.phase == connecting {
		s.phase = shutIn
		s.end(s.status)
	}
}

// keep gives the connection back for the next.
func (s *sending) keep() {
	in := s.in
	in.upstream[s.to.n] = append(in.upstream[s.to.n], kept{s.conn, in.run.now})
	if in.rest == 0 {
		return
	}
	resting := 0
	for _, all := range in.upstream {
		resting += len(all)
	}
	for ; resting > max(1, int(in.rest)); resting-- {
		in.evict()
	}
}

// end tells the engine what came of the attempt, if it still waits for that.
func (s *sending) end(status balancer.Status) {
	in, r := s.in, s.in.run
	if s.life != in.life || s.a.Done() {
		return
	}
	r.meter.Costs.Decisions++
	reply := engine.AttemptResult{Status: status, ObservedAt: in.local(), Response: nil}
	if status == balancer.OK {
		reply.Response = s
	}
	in.engine.AttemptEnded(in.local(), s.a, reply)
	in.settle()
}

// shut keeps in what has not gone out.
func (s *sending) shut() bool {
	if s.phase == connecting {
		s.phase = shutIn
	}
	return s.phase == shutIn
}

// withdraw ends the attempt: nobody waits for it. A connection with something out on it is closed.
func (s *sending) withdraw() {
	if !s.wanted {
		return
	}
	s.wanted = false
	if s.phase == out {
		s.phase = cutOff
		s.in.conns--
		s.in.run.queue.push(s.in.run.now+s.way(4), evClosed, 0, s)
	}
}

// reach is the request's arrival at the endpoint.
func (s *sending) reach() {
	r, e := s.in.run, s.to
	if e.mute || r.cut(s.in, e, false) {
		return // nobody hears it, and nobody says so
	}
	m := &r.meter.Costs
	m.Attempts++
	r.meter.RecordArrival(r.now, e.n, kindOf(s.a.Number))
	if e.zone() != s.in.zone {
		m.CrossZone++
	}
	if at, told := s.in.told[e.n]; told && s.life == s.in.life && s.began > at+r.settings.Site.Settings.Contract.DrainGrace {
		m.AttemptsAfterDrain++
	}
	if !e.node.Up() || s.conn != e.life {
		s.reply(balancer.Reset)
		return
	}
	story := s.try.story
	who, which := s.who()
	class := &r.plan.Classes[story.run.planClass(story.Class)]
	draws := r.noise.For(who, which)
	s.job = simendpoint.Job{Class: story.Class, Work: simendpoint.DrawWork(draws, story.Work, class.Noise), IdempotencyKey: s.try.IdempotencyKey, Chance: r.luck.For(who, which).Float64(), HostData: s}
	if story.class.Idempotency != balancer.IdempotentByKey {
		s.job.IdempotencyKey = 0
	}
	r.trace(s.try, s.a.Number, r.plan.Endpoints[e.n].Name, "reaches")
	switch e.arrive(&s.job) {
	case simendpoint.Rejected:
		s.reply(balancer.Rejected)
	case simendpoint.Failed:
		s.reply(balancer.Error)
	default:
		s.counted = true
	}
}

// kindOf is what kind of arrival an attempt is, by its number among its request's.
func kindOf(attempt int) measure.Arrival {
	if attempt == 0 {
		return measure.FirstAttempt
	}
	return measure.ExtraAttempt
}

// planClass is the place among the plan's classes of one of the judge's.
func (r *run) planClass(class int) int {
	for i, at := range r.classOf {
		if at == class {
			return i
		}
	}
	return 0
}

// reply sends a reply on its way.
func (s *sending) reply(status balancer.Status) {
	r := s.in.run
	if r.cut(s.in, s.to, true) {
		return
	}
	s.status = status
	r.queue.push(r.now+s.way(2)+s.in.overhead(), evReply, 0, s)
}

// replied is the reply's arrival at the instance.
func (s *sending) replied() {
	if s.life != s.in.life || s.phase != out {
		return // nobody waits for it, and its connection is closed
	}
	s.phase = back
	if s.status == balancer.Reset {
		s.in.conns--
	} else {
		s.keep()
	}
	s.in.run.trace(s.try, s.a.Number, s.in.run.plan.Endpoints[s.to.n].Name, statusText(s.status))
	s.end(s.status)
}

// closed is when the endpoint sees that nobody waits any more.
func (s *sending) closed() {
	if s.to.mute || s.conn != s.to.life {
		return
	}
	s.to.node.Disconnect()
	if s.counted && s.to.node.Cancel(s.in.run.now, &s.job) {
		s.counted = false
		s.to.arm()
	}
}

var statuses = map[balancer.Status]string{balancer.OK: "answers", balancer.Error: "answers an error", balancer.Rejected: "turns it away",
	balancer.Reset: "breaks off"}

func statusText(s balancer.Status) string { return statuses[s] }

// ---- Probes ----------------------------------------------------------------

// probeTime is how long a probe is waited for.
const probeTime = second / 4

// probe is one that is out.
type probe struct {
	in    *instance
	e     *engine.Endpoint
	to    *endpoint
	pool  *engine.Pool
	life  uint32
	n     uint64
	sent  monotime.Micros // the instance's clock
	reply engine.AttemptResult
}

func newProbe(in *instance, e *engine.Endpoint) {
	r := in.run
	in.probes++
	p := &probe{in: in, e: e, to: e.Target.(target).e, pool: in.pool, life: in.life, n: in.probes, sent: in.local()}
	if p.to.mute || r.cutAny(in, p.to) {
		p.reply.Status = balancer.Timeout
		r.queue.push(r.now+probeTime, evProbed, 0, p)
		return
	}
	r.queue.push(r.now+in.overhead()+p.way(0), evProbe, 0, p)
}

func (p *probe) way(what uint64) monotime.Micros {
	r := p.in.run
	return r.network.between(p.in.zone, p.to.zone(), uint64(p.in.n)|1<<63, p.n, what) + r.plan.ExtraDelay(r.now, p.in.n, p.to.n)
}

func (p *probe) reach() {
	r := p.in.run
	switch {
	case !p.to.node.Up():
		p.reply.Status = balancer.ConnectFailed
	default:
		r.meter.RecordArrival(r.now, p.to.n, measure.ProbeArrival)
		r.meter.Costs.Probes++ // those that reach an endpoint, as that counts them
		load := p.to.node.Probe(r.now, r.reports.For(uint64(p.in.n), p.n))
		for _, f := range p.in.site.Settings.LoadMetrics {
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
	r.queue.push(r.now+p.way(1)+p.in.overhead(), evProbed, 0, p)
}

func (p *probe) answered() {
	if p.life != p.in.life || p.in.down {
		return
	}
	p.reply.ObservedAt = p.in.local()
	p.in.run.meter.Costs.Decisions++
	p.in.engine.ProbeEnded(p.in.local(), p.pool, p.e, p.sent, p.reply)
	p.in.settle()
}
