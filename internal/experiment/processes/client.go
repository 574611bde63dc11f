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

// answerTolerance is how long after a client's deadline a response may come and not count as missing, in microseconds:
// scheduling delays of the machine are not the daemon's.
const answerTolerance = 50_000

// operation is an operation of a client, with what is known of it at the endpoints.
type operation struct {
	simclient.Operation
	class       *balancer.Class
	weight      float64
	within      bool            // within its tenant's quota
	serviceTime monotime.Micros // of its latest attempt that was executed
	effects     map[int]int     // by the number of the client's request
	arrivals    map[int]int     // attempts that reached an endpoint, by the number of the client's request
}

// runClients starts the operations of an instance's clients at their planned instants.
func (r *run) runClients(ctx context.Context, instance int) {
	next := r.plan.Operations(instance)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		x, ok := next()
		if !ok {
			return
		}
		timer.Reset(time.Until(r.wallTime(x.StartedAt)) - timerGranularity)
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		sleepUntil(r.wallTime(x.StartedAt))
		s := &operation{Operation: x, effects: map[int]int{}, arrivals: map[int]int{}}
		s.Class = r.criteriaClass[s.Class]
		if s.Tenant >= 0 {
			s.Tenant = r.criteriaTenant[s.Tenant]
		}
		s.class = &r.options.Criteria.Classes[s.Class]
		if s.class.Idempotency != balancer.IdempotentByKey {
			s.IdempotencyKey = 0
		}
		r.mu.Lock()
		r.operations[s.ID] = s
		s.weight, s.within = r.meter.Weight(&s.Operation)
		// Latency counts from the planned instant, however late this goroutine is.
		t := s.Start(x.StartedAt, &r.clientBehavior, s.class, r.clientRand.For(s.ID, 0))
		r.mu.Unlock()
		r.openOperations.Go(func() { r.runOperation(ctx, s, t) })
	}
}

// runOperation makes the requests of an operation until it ends.
func (r *run) runOperation(ctx context.Context, s *operation, t simclient.Request) {
	for {
		verdict, retryAfter := r.attempt(ctx, s, t)
		r.mu.Lock()
		now := r.now()
		at, again := s.RequestEnded(
			now, t.Number, verdict, retryAfter, s.class, r.clientRand.For(s.ID, uint64(2*t.Number+1)),
		)
		if !again {
			r.meter.OperationEnded(&s.Operation, r.plan.Instances[s.Instance].Zone, s.weight, s.within)
			r.mu.Unlock()
			return
		}
		r.mu.Unlock()
		sleepUntil(r.wallTime(at))
		r.mu.Lock()
		t = s.Retry(r.now(), &r.clientBehavior, s.class, r.clientRand.For(s.ID, uint64(2*s.Requests)))
		r.mu.Unlock()
	}
}

// attempt makes one request of an operation and returns its outcome, and the response's Retry-After in microseconds.
func (r *run) attempt(
	ctx context.Context, s *operation, request simclient.Request,
) (simclient.RequestOutcome, monotime.Micros) {
	startedAt := r.now()
	r.updateCounts(func(*counts) { r.meter.Costs.ClientRequests++ })
	// A client that does not abort stays a little longer, to see whether a response that is due comes at all.
	until := request.Deadline + answerTolerance
	if request.AbortAt > 0 {
		until = request.AbortAt
	}
	ctx, cancel := context.WithDeadline(ctx, r.wallTime(until))
	defer cancel()
	in := r.instances[s.Instance]
	resp, err := in.httpClients[s.Process%len(in.httpClients)].Do(r.httpRequest(ctx, in, s, request))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		timedOut := errors.Is(err, context.DeadlineExceeded)
		// A suspended instance cannot answer in time.
		if timedOut && request.AbortAt == 0 && in.suspendedUntil.Load() < startedAt {
			r.updateCounts(func(c *counts) { c.unanswered++ })
		}
		return simclient.NoResponse, 0
	}
	if r.now() > request.Deadline {
		return simclient.NoResponse, 0 // the client has left by then
	}
	switch resp.StatusCode {
	case http.StatusOK:
		r.updateCounts(func(*counts) { r.meter.Costs.UsefulWork += float64(s.serviceTime) })
		return simclient.OK, 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		var seconds float64
		if text := resp.Header.Get("Retry-After"); text != "" {
			seconds, _ = strconv.ParseFloat(text, 64)
		}
		return simclient.Rejected, monotime.Micros(seconds * 1e6)
	}
	return simclient.Failed, 0
}

// httpRequest returns a client's request as it is sent to an instance.
func (r *run) httpRequest(ctx context.Context, in *instance, s *operation, request simclient.Request) *http.Request {
	method := http.MethodGet
	var body io.Reader
	if s.class.Idempotency != balancer.Idempotent {
		method = http.MethodPost
		body = strings.NewReader("{}")
	}
	addr := in.listenAddrs[s.Process%len(in.listenAddrs)]
	url := fmt.Sprintf("http://%s/%s/x?s=%x&t=%d", addr, s.class.Name, s.ID, request.Number)
	q, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		panic(err) // the URL is always valid
	}
	remainingMS := max(1, (request.Deadline-r.now())/1000)
	q.Header.Set("X-Trace-Id", fmt.Sprintf("%x-%d", s.ID, request.Number))
	q.Header.Set("X-Qos", s.class.Name)
	q.Header.Set("X-Object", fmt.Sprintf("%x", s.Object))
	q.Header.Set("X-Expires-In-Ms", fmt.Sprint(remainingMS))
	if s.Tenant >= 0 {
		q.Header.Set("X-Customer", r.options.Criteria.Tenants[s.Tenant].Name)
	}
	if request.IdempotencyKey != 0 {
		q.Header.Set("Idempotency-Key", fmt.Sprintf("%x", request.IdempotencyKey))
	}
	if request.Retry {
		q.Header.Set("X-Second-Try", "1")
	}
	return q
}
