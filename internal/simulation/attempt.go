package simulation

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/simendpoint"
)

type attemptPhase uint8

const (
	connecting attemptPhase = iota
	sent                    // on its connection
	replied                 // its reply is at the instance
	notSent                 // it never goes out
	aborted                 // its connection was closed with it out
)

// attempt is an engine's attempt on its way to an endpoint and back.
type attempt struct {
	instance        *instance
	endpoint        *endpoint
	engineAttempt   *engine.Attempt
	request         *clientRequest
	incarnation     uint32 // of the instance
	connIncarnation uint32 // incarnation of the endpoint that its connection belongs to
	startedAt       monotime.Micros
	phase           attemptPhase
	job             simendpoint.Job
	status          balancer.Status
	awaited         bool // somebody waits for it
	held            bool // its work is the endpoint's
}

func newAttempt(in *instance, a *engine.Attempt) *attempt {
	s := &attempt{
		instance:      in,
		engineAttempt: a,
		endpoint:      a.Endpoint.Target.(upstreamTarget).endpoint,
		request:       a.Call.HostData.(*clientRequest),
		incarnation:   in.incarnation,
		startedAt:     in.run.now,
		awaited:       true,
	}
	a.HostData = s
	return s
}

func (s *attempt) randKey() (uint64, uint64) {
	return s.request.operation.ID, uint64(s.request.Number)<<8 | uint64(s.engineAttempt.Number)
}

// delay is how long a message between the instance and the endpoint takes.
func (s *attempt) delay(what uint64) monotime.Micros {
	who, which := s.randKey()
	r := s.instance.run
	return r.network.endpointDelay(s.instance.zone, s.endpoint.zone(), who, which, what) +
		r.plan.ExtraDelay(r.now, s.instance.index, s.endpoint.index)
}

// start finds a connection.
func (s *attempt) start() {
	in := s.instance
	r := s.instance.run
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

// closeOldestIdle closes the idle connection that was used longest ago, and reports whether there was one.
func (in *instance) closeOldestIdle() bool {
	oldest := -1
	for n, all := range in.idleUpstream {
		if len(all) > 0 && (oldest < 0 || all[0].idleSince < in.idleUpstream[oldest][0].idleSince ||
			all[0].idleSince == in.idleUpstream[oldest][0].idleSince && n < oldest) {
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
	in := s.instance
	r := s.instance.run
	if s.incarnation != in.incarnation {
		s.endpoint.disconnect(s.connIncarnation)
		return
	}
	if !s.awaited {
		in.upstreamConns--
		s.endpoint.disconnect(s.connIncarnation)
		return
	}
	if s.phase == notSent || !s.engineAttempt.Endpoint.MaySend(in.localTime()) ||
		in.localTime() >= s.engineAttempt.Deadline ||
		s.engineAttempt.SendBefore > 0 && in.localTime() >= s.engineAttempt.SendBefore {
		s.phase = notSent
		s.keepConn()
		s.end(balancer.NotSent)
		return
	}
	s.phase = sent
	r.events.push(r.now+s.delay(1), attemptAtEndpoint, 0, s)
}

// dialFailed ends an attempt that has no connection.
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

// keepConn gives the connection back for the next.
func (s *attempt) keepConn() {
	in := s.instance
	in.idleUpstream[s.endpoint.index] = append(in.idleUpstream[s.endpoint.index],
		idleConn{s.connIncarnation, in.run.now})
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
	in := s.instance
	r := s.instance.run
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

// cancelUnsent cancels an attempt that was not sent yet, and reports whether it could.
func (s *attempt) cancelUnsent() bool {
	if s.phase == connecting {
		s.phase = notSent
	}
	return s.phase == notSent
}

// abort ends the attempt, for whose result nobody waits. A connection with a request in flight is closed.
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

// arriveAtEndpoint is the request's arrival at the endpoint.
func (s *attempt) arriveAtEndpoint() {
	r := s.instance.run
	e := s.endpoint
	if e.unreachable || r.pathBlocked(s.instance, e, false) {
		return // nobody hears it, and nobody says so
	}
	m := &r.meter.Costs
	m.Attempts++
	r.meter.RecordArrival(r.now, e.index, arrivalKind(s.engineAttempt.Number))
	if e.zone() != s.instance.zone {
		m.CrossZone++
	}
	if at, told := s.instance.leavingSince[e.index]; told && s.incarnation == s.instance.incarnation &&
		s.startedAt > at+r.settings.Site.Settings.Contract.DrainGrace {
		m.AttemptsAfterDrain++
	}
	if !e.model.Up() || s.connIncarnation != e.incarnation {
		s.reply(balancer.Reset)
		return
	}
	op := s.request.operation
	who, which := s.randKey()
	class := &r.plan.Classes[op.run.planClass(op.Class)]
	draws := r.workRand.For(who, which)
	s.job = simendpoint.Job{
		Class:          op.Class,
		Work:           simendpoint.DrawWork(draws, op.Work, class.Noise),
		IdempotencyKey: s.request.IdempotencyKey,
		Chance:         r.faultRand.For(who, which).Float64(),
		HostData:       s,
	}
	if op.class.Idempotency != balancer.IdempotentByKey {
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

// arrivalKind is what kind of arrival an attempt is, by its number among its request's.
func arrivalKind(attempt int) measure.Arrival {
	if attempt == 0 {
		return measure.FirstAttempt
	}
	return measure.ExtraAttempt
}

// planClass is the place among the plan's classes of one of the criteria's.
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

// replyArrived is the reply's arrival at the instance.
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
	s.instance.run.trace(s.request, s.engineAttempt.Number, s.instance.run.plan.Endpoints[s.endpoint.index].Name,
		statusStep(s.status))
	s.end(s.status)
}

// abortNoticed runs when the endpoint sees that its connection was closed.
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

var statusSteps = map[balancer.Status]string{
	balancer.OK:       "answers",
	balancer.Error:    "answers an error",
	balancer.Rejected: "turns it away",
	balancer.Reset:    "breaks off",
}

func statusStep(s balancer.Status) string { return statusSteps[s] }
