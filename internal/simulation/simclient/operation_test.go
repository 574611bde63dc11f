package simclient

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// endRequest ends an operation's request with a drawn outcome, checks the operation's state after it, and
// returns the next request, or a request with number 0 if the operation has ended.
func endRequest(
	t *rapid.T, o *Operation, request Request, b *Behavior, class *balancer.Class, random *rand.Rand,
) Request {
	t.Helper()
	deadline := o.StartedAt + class.ClientTimeout
	if request.Deadline > deadline || request.AbortAt > request.Deadline || o.Requests > b.Retries[1]+1 {
		t.Fatalf("request %+v of an operation that started at %d, %d requests", request, o.StartedAt, o.Requests)
	}
	now := request.Deadline
	outcome := RequestOutcome(rapid.IntRange(0, 3).Draw(t, "verdict"))
	if outcome != NoResponse {
		now = rapid.Int64Range(min(o.StartedAt, request.Deadline), request.Deadline).Draw(t, "at")
	}
	if _, retries := o.RequestEnded(now, request.Number-1, OK, 0, class, random); retries || o.Outcome != Pending {
		t.Fatal("the end of a request that is not the latest one was recorded")
	}
	retryAt, retries := o.RequestEnded(now, request.Number, outcome, rapid.Int64Range(0, 300_000).Draw(t, "after"),
		class, random)
	if retries == (o.Outcome != Pending) {
		t.Fatalf("retries %v, operation outcome %v", retries, o.Outcome)
	}
	if (o.Outcome == Served) != (outcome == OK) {
		t.Fatalf("request outcome %v, operation outcome %v", outcome, o.Outcome)
	}
	if !retries {
		if _, retries := o.RequestEnded(now, request.Number, OK, 0, class, random); retries ||
			outcome != OK && o.Outcome == Served {
			t.Fatal("the end of a request was recorded twice")
		}
		return Request{}
	}
	if retryAt < now || retryAt >= deadline || class.Idempotency == balancer.NonIdempotent && outcome != Rejected {
		t.Fatalf("retry at %d after a request with outcome %v at %d", retryAt, outcome, now)
	}
	return o.Retry(retryAt, b, class, random)
}

// An operation must have exactly one outcome, at most as many requests as its client's retries allow, and no
// request after its deadline. A non-idempotent request must not be repeated after a request that may have
// been executed.
func TestOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := Behavior{
			Retries:         [2]int{0, rapid.IntRange(0, 4).Draw(t, "retries")},
			TimeoutShare:    [2]float64{0.3, 0.8},
			Backoff:         [2]monotime.Micros{1000, 50_000},
			HonorRetryAfter: rapid.Float64Range(0, 1).Draw(t, "honour"),
			EarlyAbort:      0.2,
		}
		class := &balancer.Class{
			LatencyObjective: 200_000,
			ClientTimeout:    500_000,
			Idempotency:      balancer.Idempotency(rapid.IntRange(0, 2).Draw(t, "repeat")),
		}
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		o := &Operation{ID: 1, IdempotencyKey: 5}
		startedAt := monotime.Micros(rapid.IntRange(0, 1_000_000).Draw(t, "began"))
		request := o.Start(startedAt, &b, class, random)
		for request.Number > 0 {
			request = endRequest(t, o, request, &b, class, random)
		}
	})
}
