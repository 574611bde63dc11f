package simulation

import (
	"math/rand/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// operation is a client's operation with the state that the run keeps of it.
type operation struct {
	simclient.Operation
	run         *run
	class       *balancer.Class // of the criteria
	weight      float64
	withinQuota bool
	ended       bool
	current     *clientRequest // the latest request
}

// scheduleNextOperation schedules the next operation of an instance.
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

// clientDraws returns the random numbers for one request of a client.
func (r *run) clientDraws(s *simclient.Operation, draw int) *rand.Rand {
	return r.clientRand.For(s.ID, uint64(draw))
}

// startOperation starts an instance's next operation, and schedules the one after it.
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

// retryOperation sends an operation's next request.
func (r *run) retryOperation(s *operation) {
	if !s.ended {
		s.send(s.Retry(r.now, &r.behavior, s.class, r.clientDraws(&s.Operation, 2*s.Requests)))
	}
}

// send sends a request to its instance.
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

// clientRequest is one request of a client.
type clientRequest struct {
	simclient.Request
	operation     *operation
	instance      *instance
	sentAt        monotime.Micros
	done          bool // the client waits no longer
	incarnation   uint32
	call          engine.Call
	conn          *connlimit.Conn[*clientConn]
	response      engine.Response
	responded     bool // the instance has sent its response
	submitted     bool // the engine has it
	inFlightIndex int  // in its instance's connInFlight
	effects       int  // executions that had an effect
}

// responseArrived handles the arrival of the instance's response at the client.
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

// clientLeaves ends the request for a client that still waits.
func (t *clientRequest) clientLeaves() {
	if t.done {
		return
	}
	r := t.operation.run
	if r.now >= t.Deadline && t.submitted && t.incarnation == t.instance.incarnation && !t.responded &&
		t.instance.frozenUntil < t.sentAt {
		r.meter.Costs.LateResponses++ // a running instance owed a response by now
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

// end ends the request for its client.
func (t *clientRequest) end(v simclient.RequestOutcome, retryAfter monotime.Micros) {
	if t.done {
		return
	}
	t.done = true
	s := t.operation
	r := t.operation.run
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

func (r *run) trace(t *clientRequest, attempt int, endpoint, step string) {
	if r.options.Trace != nil {
		r.options.Trace(Trace{
			At:        r.now,
			Operation: t.operation.ID,
			Request:   t.Number,
			Instance:  t.instance.index,
			Attempt:   attempt,
			Endpoint:  endpoint,
			Step:      step,
		})
	}
}
