package simulation

import (
	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/simendpoint"
)

// attemptPhase is the progress of an attempt, as its instance knows it.
type attemptPhase uint8

const (
	phaseConnecting attemptPhase = iota // no connection yet
	phaseSent                           // the request was sent on its connection
	phaseReplied                        // the reply has arrived at the instance
	phaseNotSent                        // canceled, or the dial failed, before the request was sent
	phaseAborted                        // the connection was closed while the request was in flight
)

// attempt is the simulated part of an engine's attempt: its request on the way to an endpoint, and the reply.
type attempt struct {
	instance        *instance
	endpoint        *endpoint
	engineAttempt   *engine.Attempt
	request         *clientRequest
	incarnation     uint32          // incarnation of the instance that started the attempt
	connIncarnation uint32          // incarnation of the endpoint that accepted the attempt's connection
	startedAt       monotime.Micros // simulated time
	phase           attemptPhase
	job             simendpoint.Job // the request at the endpoint, once it has arrived there
	status          balancer.Status // result of the dial or of the request, once known
	awaited         bool            // the engine waits for the attempt's result
	atEndpoint      bool            // the endpoint has the request queued or running
}

// newAttempt returns the simulated part of an engine's attempt, and stores it in the attempt's HostData.
func newAttempt(in *instance, engineAttempt *engine.Attempt) *attempt {
	a := &attempt{
		instance:      in,
		engineAttempt: engineAttempt,
		endpoint:      engineAttempt.Endpoint.Target.(upstreamTarget).endpoint,
		request:       engineAttempt.Call.HostData.(*clientRequest),
		incarnation:   in.incarnation,
		startedAt:     in.run.now,
		awaited:       true,
	}
	engineAttempt.HostData = a
	return a
}

// randKey identifies the attempt in random streams: the operation's ID, and the numbers of the request and
// the attempt.
func (a *attempt) randKey() (uint64, uint64) {
	return a.request.operation.ID, uint64(a.request.Number)<<8 | uint64(a.engineAttempt.Number)
}

// delay returns the network delay of a message between the instance and the endpoint. step numbers the
// attempt's messages.
func (a *attempt) delay(step uint64) monotime.Micros {
	operationID, attemptKey := a.randKey()
	r := a.instance.run
	return r.network.endpointDelay(a.instance.zone, a.endpoint.zone(), operationID, attemptKey, step) +
		r.plan.ExtraDelay(r.now, a.instance.index, a.endpoint.index)
}

// start sends the attempt on an idle connection to its endpoint, or dials a new connection.
func (a *attempt) start() {
	in := a.instance
	r := a.instance.run
	idleConns := in.idleUpstreamConns[a.endpoint.index]
	// Idle connections are reused for two thirds of the keep-alive time, as in upstream.Pool.
	maxIdleTime := r.settings.Site.KeepAlive.Microseconds() * 2 / 3
	if in.maxIdleUpstreamConns > 0 && in.maxIdleUpstreamConns < 1 {
		// upstream.Pool shortens the time in the same way for a limit below 1.
		maxIdleTime = monotime.Micros(float64(maxIdleTime) * in.maxIdleUpstreamConns)
	}
	for len(idleConns) > 0 {
		conn := idleConns[len(idleConns)-1]
		idleConns = idleConns[:len(idleConns)-1]
		in.idleUpstreamConns[a.endpoint.index] = idleConns
		if r.now-conn.idleSince < maxIdleTime {
			a.connIncarnation = conn.endpointIncarnation
			a.phase = phaseSent
			r.events.push(r.now+in.overhead()+a.delay(1), attemptAtEndpoint, 0, a)
			return
		}
		in.upstreamConns--
		a.endpoint.disconnect(conn.endpointIncarnation)
	}
	if limit := r.settings.MaxConnections; limit > 0 && in.upstreamConns >= limit && !in.closeOldestIdle() {
		a.status = balancer.NotSent
		r.events.push(r.now, dialFailed, 0, a)
		return
	}
	in.upstreamConns++
	dialTimeout := r.settings.Site.Settings.Limits.DialTimeout
	if dialTimeout <= 0 {
		dialTimeout = probeTimeout
	}
	a.status = balancer.ConnectFailed
	oneWayDelay := a.delay(3)
	switch {
	case a.endpoint.unreachable || r.dialBlocked(in, a.endpoint):
		r.events.push(r.now+dialTimeout, dialFailed, 0, a)
	case !a.endpoint.model.Up() || !a.endpoint.model.Connect():
		r.events.push(r.now+in.overhead()+2*oneWayDelay, dialFailed, 0, a)
	case 2*oneWayDelay > dialTimeout:
		r.events.push(r.now+dialTimeout, dialFailed, 0, a)
	default:
		a.connIncarnation = a.endpoint.incarnation
		r.meter.Costs.Dials++
		r.meter.RecordArrival(r.now, a.endpoint.index, measure.DialArrival)
		r.events.push(r.now+in.overhead()+2*oneWayDelay, attemptConnected, 0, a)
	}
}

// closeOldestIdle closes the least recently used idle connection to an endpoint, and reports whether there
// was an idle connection.
func (in *instance) closeOldestIdle() bool {
	oldest := -1
	for index, conns := range in.idleUpstreamConns {
		if len(conns) > 0 && (oldest < 0 || conns[0].idleSince < in.idleUpstreamConns[oldest][0].idleSince ||
			conns[0].idleSince == in.idleUpstreamConns[oldest][0].idleSince && index < oldest) {
			oldest = index
		}
	}
	if oldest < 0 {
		return false
	}
	conn := in.idleUpstreamConns[oldest][0]
	in.idleUpstreamConns[oldest] = in.idleUpstreamConns[oldest][1:]
	in.upstreamConns--
	in.run.endpoints[oldest].disconnect(conn.endpointIncarnation)
	return true
}

// connected sends the request on the new connection. The connection is closed or becomes idle instead if the
// instance has restarted, or if the attempt was abandoned or may no longer be sent.
func (a *attempt) connected() {
	in := a.instance
	r := a.instance.run
	if a.incarnation != in.incarnation {
		a.endpoint.disconnect(a.connIncarnation)
		return
	}
	if !a.awaited {
		in.upstreamConns--
		a.endpoint.disconnect(a.connIncarnation)
		return
	}
	if a.phase == phaseNotSent || !a.engineAttempt.Endpoint.MaySend(in.localTime()) ||
		in.localTime() >= a.engineAttempt.Deadline ||
		a.engineAttempt.SendBefore > 0 && in.localTime() >= a.engineAttempt.SendBefore {
		a.phase = phaseNotSent
		a.keepConn()
		a.end(balancer.NotSent)
		return
	}
	a.phase = phaseSent
	r.events.push(r.now+a.delay(1), attemptAtEndpoint, 0, a)
}

// dialFailed ends an attempt whose connection could not be opened.
func (a *attempt) dialFailed() {
	if a.incarnation != a.instance.incarnation {
		return
	}
	if a.status != balancer.NotSent {
		a.instance.upstreamConns--
	}
	if a.phase == phaseConnecting {
		a.phase = phaseNotSent
		a.end(a.status)
	}
}

// keepConn keeps the attempt's connection idle for later attempts, and closes the oldest idle connections
// beyond the limit.
func (a *attempt) keepConn() {
	in := a.instance
	in.idleUpstreamConns[a.endpoint.index] = append(in.idleUpstreamConns[a.endpoint.index],
		idleConn{a.connIncarnation, in.run.now})
	if in.maxIdleUpstreamConns == 0 {
		return
	}
	idleCount := 0
	for _, conns := range in.idleUpstreamConns {
		idleCount += len(conns)
	}
	for ; idleCount > max(1, int(in.maxIdleUpstreamConns)); idleCount-- {
		in.closeOldestIdle()
	}
}

// end reports the attempt's result to the engine, if the engine still waits for it.
func (a *attempt) end(status balancer.Status) {
	in := a.instance
	r := a.instance.run
	if a.incarnation != in.incarnation || a.engineAttempt.Done() {
		return
	}
	r.meter.Costs.Decisions++
	result := engine.AttemptResult{Status: status, ObservedAt: in.localTime(), Response: nil}
	if status == balancer.OK {
		result.Response = a
	}
	in.engine.AttemptEnded(in.localTime(), a.engineAttempt, result)
	in.advanceEngine()
}

// cancelUnsent cancels the attempt if its request has not been sent, and reports whether the request stays
// unsent.
func (a *attempt) cancelUnsent() bool {
	if a.phase == phaseConnecting {
		a.phase = phaseNotSent
	}
	return a.phase == phaseNotSent
}

// abort marks the attempt's result as no longer awaited, and closes the connection if the request is in
// flight.
func (a *attempt) abort() {
	if !a.awaited {
		return
	}
	a.awaited = false
	if a.phase == phaseSent {
		a.phase = phaseAborted
		a.instance.upstreamConns--
		a.instance.run.events.push(a.instance.run.now+a.delay(4), attemptAborted, 0, a)
	}
}

// arriveAtEndpoint handles the request's arrival at the endpoint.
func (a *attempt) arriveAtEndpoint() {
	r := a.instance.run
	endpoint := a.endpoint
	if endpoint.unreachable || r.pathBlocked(a.instance, endpoint, false) {
		return // the request is lost; the instance receives no reset
	}
	costs := &r.meter.Costs
	costs.Attempts++
	r.meter.RecordArrival(r.now, endpoint.index, arrivalKind(a.engineAttempt.Number))
	if endpoint.zone() != a.instance.zone {
		costs.CrossZone++
	}
	if leavingKnownAt, known := a.instance.leavingSince[endpoint.index]; known &&
		a.incarnation == a.instance.incarnation &&
		a.startedAt > leavingKnownAt+r.settings.Site.Settings.Contract.DrainGrace {
		costs.AttemptsAfterDrain++
	}
	if !endpoint.model.Up() || a.connIncarnation != endpoint.incarnation {
		a.reply(balancer.Reset)
		return
	}
	operation := a.request.operation
	operationID, attemptKey := a.randKey()
	class := &r.plan.Classes[operation.run.planClass(operation.Class)]
	random := r.workRand.For(operationID, attemptKey)
	a.job = simendpoint.Job{
		Class:          operation.Class,
		Work:           simendpoint.DrawWork(random, operation.Work, class.AttemptWorkCV),
		IdempotencyKey: a.request.IdempotencyKey,
		Chance:         r.faultRand.For(operationID, attemptKey).Float64(),
		HostData:       a,
	}
	if operation.class.Idempotency != balancer.IdempotentByKey {
		a.job.IdempotencyKey = 0
	}
	r.trace(a.request, a.engineAttempt.Number, r.plan.Endpoints[endpoint.index].Name, "reaches")
	switch endpoint.arrive(&a.job) {
	case simendpoint.Rejected:
		a.reply(balancer.Rejected)
	case simendpoint.Failed:
		a.reply(balancer.Error)
	default:
		a.atEndpoint = true
	}
}

// arrivalKind returns whether an attempt is counted as the first of its request or as an extra one, from its
// number.
func arrivalKind(attempt int) measure.Arrival {
	if attempt == 0 {
		return measure.FirstAttempt
	}
	return measure.ExtraAttempt
}

// planClass returns the index in the plan of a class that is given as its index in the criteria.
func (r *run) planClass(criteriaClass int) int {
	for planIndex, criteriaIndex := range r.criteriaClassOf {
		if criteriaIndex == criteriaClass {
			return planIndex
		}
	}
	return 0
}

// reply sends the endpoint's reply to the instance.
func (a *attempt) reply(status balancer.Status) {
	r := a.instance.run
	if r.pathBlocked(a.instance, a.endpoint, true) {
		return
	}
	a.status = status
	r.events.push(r.now+a.delay(2)+a.instance.overhead(), replyAtInstance, 0, a)
}

// replyArrived handles the reply's arrival at the instance.
func (a *attempt) replyArrived() {
	if a.incarnation != a.instance.incarnation || a.phase != phaseSent {
		return // the attempt was aborted, or its instance has restarted
	}
	a.phase = phaseReplied
	if a.status == balancer.Reset {
		a.instance.upstreamConns--
	} else {
		a.keepConn()
	}
	a.instance.run.trace(a.request, a.engineAttempt.Number, a.instance.run.plan.Endpoints[a.endpoint.index].Name,
		traceStep(a.status))
	a.end(a.status)
}

// abortNoticed handles the closed connection of an aborted attempt at the endpoint, which cancels the request
// if it can.
func (a *attempt) abortNoticed() {
	if a.endpoint.unreachable || a.connIncarnation != a.endpoint.incarnation {
		return
	}
	a.endpoint.model.Disconnect()
	if a.atEndpoint && a.endpoint.model.Cancel(a.instance.run.now, &a.job) {
		a.atEndpoint = false
		a.endpoint.scheduleWakeup()
	}
}

// traceSteps are the names of trace steps in which the instance receives a reply, by the status of the reply.
var traceSteps = map[balancer.Status]string{
	balancer.OK:       "answers",
	balancer.Error:    "answers an error",
	balancer.Rejected: "turns it away",
	balancer.Reset:    "breaks off",
}

// traceStep returns the name of the trace step in which a reply with a status arrives.
func traceStep(status balancer.Status) string { return traceSteps[status] }
