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

// lateMost is how long after its client's time an answer may come and not be missed, in microseconds: what the machine's
// schedulers add is not the daemon's.
const answerTolerance = 50_000

// story is a client's.
type operation struct {
	simclient.Operation
	class       *balancer.Class
	weight      float64
	within      bool
	serviceTime monotime.Micros // by its latest attempt that ran
	effects     map[int]int     // of each try
	arrivals    map[int]int     // attempts of each try that reached an endpoint
}

// ask has the clients of an instance ask, by the plan's clock.
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
		// What a client waits for counts from when it wanted to ask, however late this goroutine is.
		t := s.Start(x.StartedAt, &r.clientBehavior, s.class, r.clientRand.For(s.ID, 0))
		r.mu.Unlock()
		r.openOperations.Go(func() { r.runOperation(ctx, s, t) })
	}
}

// tell lives a story to its end.
func (r *run) runOperation(ctx context.Context, s *operation, t simclient.Request) {
	for {
		verdict, retryAfter := r.attempt(ctx, s, t)
		r.mu.Lock()
		now := r.now()
		at, again := s.RequestEnded(now, t.Number, verdict, retryAfter, s.class, r.clientRand.For(s.ID, uint64(2*t.Number+1)))
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

// try makes one request and waits for what comes of it.
func (r *run) attempt(ctx context.Context, s *operation, t simclient.Request) (simclient.RequestOutcome, monotime.Micros) {
	began := r.now()
	r.updateCounts(func(*counts) { r.meter.Costs.ClientRequests++ })
	// A client that waits to the end is there a little longer, to see whether an answer that is owed comes at all.
	until := t.Deadline + answerTolerance
	if t.AbortAt > 0 {
		until = t.AbortAt
	}
	ctx, cancel := context.WithDeadline(ctx, r.wallTime(until))
	defer cancel()
	in := r.instances[s.Instance]
	method := http.MethodGet
	var body io.Reader
	if s.class.Idempotency != balancer.Idempotent {
		method, body = http.MethodPost, strings.NewReader("{}")
	}
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s/%s/x?s=%x&t=%d", in.listenAddrs[s.Process%len(in.listenAddrs)], s.class.Name, s.ID, t.Number), body)
	if err != nil {
		panic(err) // of our own making
	}
	left := max(1, (t.Deadline-r.now())/1000)
	q.Header.Set("X-Trace-Id", fmt.Sprintf("%x-%d", s.ID, t.Number))
	q.Header.Set("X-Qos", s.class.Name)
	q.Header.Set("X-Object", fmt.Sprintf("%x", s.Object))
	q.Header.Set("X-Expires-In-Ms", fmt.Sprint(left))
	if s.Tenant >= 0 {
		q.Header.Set("X-Customer", r.options.Criteria.Tenants[s.Tenant].Name)
	}
	if t.IdempotencyKey != 0 {
		q.Header.Set("Idempotency-Key", fmt.Sprintf("%x", t.IdempotencyKey))
	}
	if t.Retry {
		q.Header.Set("X-Second-Try", "1")
	}
	resp, err := in.httpClients[s.Process%len(in.httpClients)].Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	if err != nil {
		// An instance that was stopped meanwhile owes nothing.
		if errors.Is(err, context.DeadlineExceeded) && t.AbortAt == 0 && in.suspendedUntil.Load() < began {
			r.updateCounts(func(c *counts) { c.unanswered++ })
		}
		return simclient.NoResponse, 0
	}
	if r.now() > t.Deadline {
		return simclient.NoResponse, 0 // it has left by then
	}
	switch resp.StatusCode {
	case http.StatusOK:
		r.updateCounts(func(*counts) { r.meter.Costs.UsefulWork += float64(s.serviceTime) })
		return simclient.OK, 0
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		var after float64
		if text := resp.Header.Get("Retry-After"); text != "" {
			after, _ = strconv.ParseFloat(text, 64)
		}
		return simclient.Rejected, monotime.Micros(after * 1e6)
	}
	return simclient.Failed, 0
}
