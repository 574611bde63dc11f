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
	sent                    // the request is on its connection
	replied                 // the reply has arrived at the instance
	notSent                 // cancelled before it was sent
	aborted                 // the connection was closed while it was in flight
)

// attempt is an engine's attempt, from the instance to an endpoint and back.
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
	awaited         bool // the engine waits for its result
	held            bool // the endpoint works at it or queues it
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

// randKey identifies the attempt in random streams: its operation, and its request's and its own number.
func (s *attempt) randKey() (uint64, uint64) {
	return s.request.operation.ID, uint64(s.request.Number)<<8 | uint64(s.engineAttempt.Number)
}

// delay is how long a message between the instance and the endpoint takes. step numbers the attempt's messages.
func (s *attempt) delay(step uint64) monotime.Micros {
	operation, number := s.randKey()
	r := s.instance.run
	return r.network.endpointDelay(s.instance.zone, s.endpoint.zone(), operation, number, step) +
		r.plan.ExtraDelay(r.now, s.instance.index, s.endpoint.index)
}

// start uses an idle connection to the endpoint, or dials a new one.
func (s *attempt) start() {
	in := s.instance
	r := s.instance.run
	all := in.idleUpstream[s.endpoint.index]
	idle := r.settings.Site.KeepAlive.Microseconds() * 2 / 3
	if in.maxIdleUpstream > 0 && in.maxIdleUpstream < 1 {
		idle = monotime.Micros(float64(idle) * in.maxIdleUpstream) // as upstream.Pool does for a limit under 1
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
	if limit := r.settings.MaxConnections; limit > 0 && in.upstreamConns >= limit && !in.closeOldestIdle() {
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

// connected sends the request, unless its instance restarted or it may not be sent any more.
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

// keepConn keeps the connection idle, for the next attempt.
func (s *attempt) keepConn() {
	in := s.instance
	in.idleUpstream[s.endpoint.index] = append(in.idleUpstream[s.endpoint.index],
		idleConn{s.connIncarnation, in.run.now})
	if in.maxIdleUpstream == 0 {
		return
	}
	idle := 0
	for _, conns := range in.idleUpstream {
		idle += len(conns)
	}
	for ; idle > max(1, int(in.maxIdleUpstream)); idle-- {
		in.closeOldestIdle()
	}
}

// end reports the attempt's result to the engine, if the engine still waits for it.
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

// abort ends an attempt whose result is no longer awaited. A connection with a request in flight is closed.
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

// arriveAtEndpoint handles the request's arrival at the endpoint.
func (s *attempt) arriveAtEndpoint() {
	r := s.instance.run
	e := s.endpoint
	if e.unreachable || r.pathBlocked(s.instance, e, false) {
		return // lost on the way, without a reset
	}
	m := &r.meter.Costs
	m.Attempts++
	r.meter.RecordArrival(r.now, e.index, arrivalKind(s.engineAttempt.Number))
	if e.zone() != s.instance.zone {
		m.CrossZone++
	}
	if at, known := s.instance.leavingSince[e.index]; known && s.incarnation == s.instance.incarnation &&
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

// arrivalKind is the kind of arrival of an attempt, by its number among the attempts of its request.
func arrivalKind(attempt int) measure.Arrival {
	if attempt == 0 {
		return measure.FirstAttempt
	}
	return measure.ExtraAttempt
}

// planClass is the index in the plan of one of the criteria's classes.
func (r *run) planClass(class int) int {
	for i, at := range r.criteriaClass {
		if at == class {
			return i
		}
	}
	return 0
}

// reply sends the endpoint's reply to the instance.
func (s *attempt) reply(status balancer.Status) {
	r := s.instance.run
	if r.pathBlocked(s.instance, s.endpoint, true) {
		return
	}
	s.status = status
	r.events.push(r.now+s.delay(2)+s.instance.overhead(), replyAtInstance, 0, s)
}

// replyArrived handles the reply's arrival at the instance.
func (s *attempt) replyArrived() {
	if s.incarnation != s.instance.incarnation || s.phase != sent {
		return // it is not awaited, and its connection is closed
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
