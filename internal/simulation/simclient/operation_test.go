package simclient

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// endRequest ends an operation's request with a drawn outcome, checks what follows, and returns the next request; its
// number is 0 if there is none.
func endRequest(t *rapid.T, s *Operation, request Request, h *Behavior, c *balancer.Class, r *rand.Rand) Request {
	t.Helper()
	deadline := s.StartedAt + c.ClientTimeout
	if request.Deadline > deadline || request.AbortAt > request.Deadline || s.Requests > h.Retries[1]+1 {
		t.Fatalf("request %+v of an operation that started at %d, %d requests", request, s.StartedAt, s.Requests)
	}
	now := request.Deadline
	v := RequestOutcome(rapid.IntRange(0, 3).Draw(t, "verdict"))
	if v != NoResponse {
		now = rapid.Int64Range(min(s.StartedAt, request.Deadline), request.Deadline).Draw(t, "at")
	}
	if _, again := s.RequestEnded(now, request.Number-1, OK, 0, c, r); again || s.Outcome != Pending {
		t.Fatal("the end of a request that is not the latest one was recorded")
	}
	at, again := s.RequestEnded(now, request.Number, v, rapid.Int64Range(0, 300_000).Draw(t, "after"), c, r)
	if again == (s.Outcome != Pending) {
		t.Fatalf("again %v, outcome %v", again, s.Outcome)
	}
	if (s.Outcome == Served) != (v == OK) {
		t.Fatalf("verdict %v, outcome %v", v, s.Outcome)
	}
	if !again {
		if _, again := s.RequestEnded(now, request.Number, OK, 0, c, r); again || v != OK && s.Outcome == Served {
			t.Fatal("a second outcome")
		}
		return Request{}
	}
	if at < now || at >= deadline || c.Idempotency == balancer.NonIdempotent && v != Rejected {
		t.Fatalf("retries again at %d after %v at %d", at, v, now)
	}
	return s.Retry(at, h, c, r)
}

// An operation has one outcome, no more requests than its client makes, none beyond its time, and no request of an
// unsafe request after one that may have run.
func TestOneOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Behavior{
			Retries:         [2]int{0, rapid.IntRange(0, 4).Draw(t, "retries")},
			TimeoutShare:    [2]float64{0.3, 0.8},
			Backoff:         [2]monotime.Micros{1000, 50_000},
			HonorRetryAfter: rapid.Float64Range(0, 1).Draw(t, "honour"),
			EarlyAbort:      0.2,
		}
		c := &balancer.Class{
			LatencyObjective: 200_000,
			ClientTimeout:    500_000,
			Idempotency:      balancer.Idempotency(rapid.IntRange(0, 2).Draw(t, "repeat")),
		}
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		s := &Operation{ID: 1, IdempotencyKey: 5}
		startedAt := monotime.Micros(rapid.IntRange(0, 1_000_000).Draw(t, "began"))
		request := s.Start(startedAt, &h, c, r)
		for request.Number > 0 {
			request = endRequest(t, s, request, &h, c, r)
		}
	})
}
