package processes

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// responseTolerance is how long after a client's deadline a response may still arrive without being counted as
// missing, in microseconds. It absorbs scheduling delays of the machine, which the daemon does not cause.
const responseTolerance = 50_000

// operation is a client's operation together with the attempts and effects that endpoints have recorded for it.
type operation struct {
	simclient.Operation
	classSettings     *balancer.Class
	weight            float64
	withinQuota       bool            // whether the operation is within its tenant's quota
	lastServiceTime   monotime.Micros // service time of the most recently executed attempt
	effectsByRequest  map[int]int     // number of effects at endpoints, by the number of the client request
	arrivalsByRequest map[int]int     // attempts that reached an endpoint, by the number of the client request
}

// runClients starts the operations of one instance's clients at their planned times.
func (r *run) runClients(ctx context.Context, instance int) {
	nextOperation := r.plan.Operations(instance)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		planned, ok := nextOperation()
		if !ok {
			return
		}
		timer.Reset(time.Until(r.wallTime(planned.StartedAt)) - timerGranularity)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		sleepUntil(r.wallTime(planned.StartedAt))
		op := &operation{Operation: planned, effectsByRequest: map[int]int{}, arrivalsByRequest: map[int]int{}}
		op.Class = r.criteriaClassIndex[op.Class]
		if op.Tenant >= 0 {
			op.Tenant = r.criteriaTenantIndex[op.Tenant]
		}
		op.classSettings = &r.options.Criteria.Classes[op.Class]
		if op.classSettings.Idempotency != balancer.IdempotentByKey {
			op.IdempotencyKey = 0
		}
		r.mu.Lock()
		r.operations[op.ID] = op
		op.weight, op.withinQuota = r.meter.Weight(&op.Operation)
		// Latency is measured from the planned time, even if this goroutine runs late.
		request := op.Start(planned.StartedAt, &r.clientBehavior, op.classSettings, r.clientRand.For(op.ID, 0))
		r.mu.Unlock()
		r.openOperations.Go(func() { r.executeOperation(ctx, op, request) })
	}
}

// executeOperation sends the requests of an operation, including retries, until the operation ends.
func (r *run) executeOperation(ctx context.Context, op *operation, request simclient.Request) {
	for {
		outcome, retryAfter := r.sendRequest(ctx, op, request)
		r.mu.Lock()
		now := r.now()
		retryAt, retries := op.RequestEnded(
			now, request.Number, outcome, retryAfter, op.classSettings,
			r.clientRand.For(op.ID, uint64(2*request.Number+1)),
		)
		if !retries {
			r.meter.OperationEnded(&op.Operation, r.plan.Instances[op.Instance].Zone, op.weight, op.withinQuota)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		sleepUntil(r.wallTime(retryAt))
		r.mu.Lock()
		request = op.Retry(r.now(), &r.clientBehavior, op.classSettings, r.clientRand.For(op.ID, uint64(2*op.Requests)))
		r.mu.Unlock()
	}
}

// sendRequest sends one client request and returns its outcome and the value of the response's Retry-After header,
// in microseconds.
func (r *run) sendRequest(
	ctx context.Context, op *operation, request simclient.Request,
) (simclient.RequestOutcome, monotime.Micros) {
	startedAt := r.now()
	r.updateCounts(func(*counts) { r.meter.Costs.ClientRequests++ })
	// If the client does not abort the request, the runner waits for responseTolerance beyond the client's
	// deadline, to find out whether the response arrives at all.
	waitUntil := request.Deadline + responseTolerance
	if request.AbortAt > 0 {
		waitUntil = request.AbortAt
	}
	ctx, cancel := context.WithDeadline(ctx, r.wallTime(waitUntil))
	defer cancel()
	inst := r.instances[op.Instance]
	resp, err := inst.httpClients[op.Process%len(inst.httpClients)].Do(r.newHTTPRequest(ctx, inst, op, request))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		timedOut := errors.Is(err, context.DeadlineExceeded)
		// A suspended instance cannot respond in time, so its missing responses are not counted.
		if timedOut && request.AbortAt == 0 && inst.suspendedUntil.Load() < startedAt {
			r.updateCounts(func(c *counts) { c.unansweredRequests++ })
		}
		return simclient.NoResponse, 0
	}
	if r.now() > request.Deadline {
		return simclient.NoResponse, 0 // the client has stopped waiting at its deadline
	}
	switch resp.StatusCode {
	case http.StatusOK:
		r.updateCounts(func(*counts) { r.meter.Costs.UsefulWork += float64(op.lastServiceTime) })
		return simclient.OK, 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		var seconds float64
		if header := resp.Header.Get("Retry-After"); header != "" {
			seconds, _ = strconv.ParseFloat(header, 64)
		}
		return simclient.Rejected, monotime.Micros(seconds * 1e6)
	}
	return simclient.Failed, 0
}

// newHTTPRequest returns the HTTP request that a client sends to an instance.
func (r *run) newHTTPRequest(
	ctx context.Context, inst *instance, op *operation, request simclient.Request,
) *http.Request {
	method := http.MethodGet
	var body io.Reader
	if op.classSettings.Idempotency != balancer.Idempotent {
		method = http.MethodPost
		body = strings.NewReader("{}")
	}
	addr := inst.listenAddrs[op.Process%len(inst.listenAddrs)]
	url := fmt.Sprintf("http://%s/%s/x?s=%x&t=%d", addr, op.classSettings.Name, op.ID, request.Number)
	httpRequest, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		panic(err) // cannot happen: the URL is always valid
	}
	remainingMS := max(1, (request.Deadline-r.now())/1000)
	httpRequest.Header.Set("X-Trace-Id", fmt.Sprintf("%x-%d", op.ID, request.Number))
	httpRequest.Header.Set("X-Qos", op.classSettings.Name)
	httpRequest.Header.Set("X-Object", fmt.Sprintf("%x", op.Object))
	httpRequest.Header.Set("X-Expires-In-Ms", fmt.Sprint(remainingMS))
	if op.Tenant >= 0 {
		httpRequest.Header.Set("X-Customer", r.options.Criteria.Tenants[op.Tenant].Name)
	}
	if request.IdempotencyKey != 0 {
		httpRequest.Header.Set("Idempotency-Key", fmt.Sprintf("%x", request.IdempotencyKey))
	}
	if request.Retry {
		httpRequest.Header.Set("X-Second-Try", "1")
	}
	return httpRequest
}
