package simulation

import (
	"math/rand/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// operation is a client's operation, with the state that the run keeps about it.
type operation struct {
	simclient.Operation
	run           *run
	class         *balancer.Class // the operation's class in the criteria
	weight        float64         // weight of the operation in the measurement
	withinQuota   bool            // the operation counts as within its tenant's quota
	ended         bool            // the outcome was recorded
	latestRequest *clientRequest
}

// scheduleNextOperation schedules the start of an instance's next operation, if the plan has another one.
func (r *run) scheduleNextOperation(in *instance) {
	if in.takePlannedOperation == nil {
		in.takePlannedOperation = r.plan.Operations(in.index)
		r.instancesWithArrivals++
	}
	next, ok := in.takePlannedOperation()
	if !ok {
		r.instancesWithArrivals--
		return
	}
	in.nextOperation = next
	r.events.push(next.StartedAt, operationArrives, uint32(in.index), nil)
}

// clientDraws returns the random numbers for one decision of an operation's client. draw numbers the client's
// decisions.
func (r *run) clientDraws(o *simclient.Operation, draw int) *rand.Rand {
	return r.clientRand.For(o.ID, uint64(draw))
}

// startOperation starts an instance's next operation, and schedules the following one.
func (r *run) startOperation(in *instance) {
	o := &operation{Operation: in.nextOperation, run: r}
	r.scheduleNextOperation(in)
	o.Class = r.criteriaClassOf[o.Class]
	if o.Tenant >= 0 {
		o.Tenant = r.criteriaTenantOf[o.Tenant]
	}
	o.class = &r.options.Criteria.Classes[o.Class]
	if o.class.Idempotency != balancer.IdempotentByKey {
		o.IdempotencyKey = 0
	}
	o.DiscardsResponse = r.settings.KnownHarm > 0 && r.faultRand.For(o.ID, ^uint64(0)).Float64() < r.settings.KnownHarm
	r.pendingOperations++
	o.weight, o.withinQuota = r.meter.Weight(&o.Operation)
	o.send(o.Start(r.now, &r.behavior, o.class, r.clientDraws(&o.Operation, 0)))
}

// retryOperation sends the next request of an operation that has not ended.
func (r *run) retryOperation(o *operation) {
	if !o.ended {
		o.send(o.Retry(r.now, &r.behavior, o.class, r.clientDraws(&o.Operation, 2*o.Requests)))
	}
}

// send sends a request of the operation to its instance, and schedules the client's timeout.
func (o *operation) send(drawn simclient.Request) {
	r := o.run
	r.meter.Costs.ClientRequests++
	request := &clientRequest{Request: drawn, operation: o, instance: r.instances[o.Instance], sentAt: r.now}
	o.latestRequest = request
	r.trace(request, -1, "", "asks")
	r.events.push(r.now+r.network.clientDelay(o.ID, drawn.Number, false), requestAtInstance, 0, request)
	if drawn.AbortAt > 0 {
		r.events.push(drawn.AbortAt, clientTimeout, 0, request)
	}
	r.events.push(drawn.Deadline, clientTimeout, 0, request)
}

// clientRequest is a client's request, with the state that the run and its instance keep about it.
type clientRequest struct {
	simclient.Request
	operation     *operation
	instance      *instance
	sentAt        monotime.Micros              // simulated time
	clientDone    bool                         // the request has ended for its client
	incarnation   uint32                       // incarnation of the instance that accepted the request
	call          engine.Call                  // the request as submitted to the engine
	conn          *connlimit.Conn[*clientConn] // client connection of the request, until the response is sent
	response      engine.Response              // the instance's response, if responded
	responded     bool                         // the instance has sent its response
	submitted     bool                         // the request was submitted to the engine
	inFlightIndex int                          // index of the request in instance.inFlight
	effects       int                          // executions of the request that took effect
}

// responseArrived handles the arrival of the instance's response at the client.
func (c *clientRequest) responseArrived() {
	r := c.operation.run
	if c.clientDone {
		return
	}
	switch c.response.Verdict {
	case engine.Served:
		if a, ok := c.response.Result.Response.(*attempt); ok {
			r.meter.Costs.UsefulWork += float64(a.job.Work)
		}
		c.end(simclient.OK, 0)
	case engine.Rejected, engine.RateLimited:
		c.end(simclient.Rejected, c.response.RetryAfter)
	default:
		c.end(simclient.Failed, 0)
	}
}

// clientLeaves ends a request whose client times out or aborts it, and notifies the instance.
func (c *clientRequest) clientLeaves() {
	if c.clientDone {
		return
	}
	r := c.operation.run
	if r.now >= c.Deadline && c.submitted && c.incarnation == c.instance.incarnation && !c.responded &&
		c.instance.frozenUntil < c.sentAt {
		r.meter.Costs.LateResponses++ // a running instance should have responded by the deadline
	}
	r.trace(c, -1, "", "leaves")
	if c.submitted && c.incarnation == c.instance.incarnation && !c.instance.down {
		if c.instance.frozenUntil > r.now {
			r.events.push(c.instance.frozenUntil, clientGoneNoticed, 0, c)
		} else {
			c.instance.clientGone(c)
		}
	}
	c.end(simclient.NoResponse, 0)
}

// end ends the request for its client, which retries or ends the operation.
func (c *clientRequest) end(outcome simclient.RequestOutcome, retryAfter monotime.Micros) {
	if c.clientDone {
		return
	}
	c.clientDone = true
	o := c.operation
	r := c.operation.run
	if r.options.Trace != nil {
		r.trace(c, -1, "", [...]string{"is served", "is refused", "is failed", "has no answer"}[outcome])
	}
	if o.ended {
		return
	}
	retryAt, retries := o.RequestEnded(r.now, c.Number, outcome, retryAfter, o.class,
		r.clientDraws(&o.Operation, 2*c.Number+1))
	switch {
	case retries:
		r.events.push(retryAt, requestRetried, 0, o)
	case o.Outcome != simclient.Pending:
		o.ended = true
		r.pendingOperations--
		r.meter.OperationEnded(&o.Operation, c.instance.zone, o.weight, o.withinQuota)
	}
}

// trace passes a step of a request to Options.Trace. attempt is -1 and endpoint is empty if the step has
// none.
func (r *run) trace(request *clientRequest, attempt int, endpoint, step string) {
	if r.options.Trace != nil {
		r.options.Trace(Trace{
			At:        r.now,
			Operation: request.operation.ID,
			Request:   request.Number,
			Instance:  request.instance.index,
			Attempt:   attempt,
			Endpoint:  endpoint,
			Step:      step,
		})
	}
}
