package balancer

import (
	"errors"
	"fmt"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// testSettings are plain settings that tests change as they need.
func testSettings() Settings {
	return Settings{
		Balancers: 2,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent, LatencyObjective: 400_000, ClientTimeout: second,
				PriorityWeight: 1},
			{Name: "keyed-all", Idempotency: IdempotentByKey, DedupScope: DedupAll, DedupWindow: 500_000,
				LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			{Name: "keyed-zone", Idempotency: IdempotentByKey, DedupScope: DedupZone, DedupWindow: 500_000,
				LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			{Name: "keyed-cell", Idempotency: IdempotentByKey, DedupScope: DedupCell, DedupWindow: 500_000,
				LatencyObjective: 400_000, ClientTimeout: second, PriorityWeight: 1},
			{Name: "write", Idempotency: NonIdempotent, LatencyObjective: 400_000, ClientTimeout: second,
				PriorityWeight: 1},
		},
		LoadMetrics: []LoadMetric{MetricInflight},
		Limits: Limits{Cancel: true, Probes: true, Hedging: true, RetryAfter: true,
			MaxAttempts: 3, MaxOpenRequests: 1000, MaxRetryAfter: second, DialTimeout: 100_000},
		Contract: Contract{DrainGrace: 500_000, WarmupStartCapacity: 0.2, WarmupTime: 10 * second,
			CollapseMultiple: 2.5, CollapseAfter: second, PollInterval: 10 * second},
		Goal:   Goal{Overall: 1},
		Prices: Prices{Probe: 1000}, // so expensive that no request is queued for probes
	}
}

// sent is an attempt that a balancer has sent.
type sentAttempt struct {
	id       uint64
	endpoint uint32
}

// recorder is a host that records a balancer's actions.
type recorder struct {
	sends       []sentAttempt
	timeouts    []monotime.Micros // of the sends
	rejected    []uint64          // request IDs
	failed      []uint64          // request IDs
	cancels     []uint64          // request IDs
	probes      []uint32          // endpoint IDs
	timerTokens []uint32          // tokens
	timerDelays []monotime.Micros // of the timers
	watches     int
	logs        []string
}

func (r *recorder) Send(id uint64, e uint32, timeout monotime.Micros) {
	r.sends = append(r.sends, sentAttempt{id, e})
	r.timeouts = append(r.timeouts, timeout)
}
func (r *recorder) Reject(id uint64, _ monotime.Micros) { r.rejected = append(r.rejected, id) }
func (r *recorder) Fail(id uint64)                      { r.failed = append(r.failed, id) }
func (r *recorder) Cancel(id uint64, _ int)             { r.cancels = append(r.cancels, id) }
func (r *recorder) SetTimer(delay monotime.Micros, token uint32) {
	r.timerTokens = append(r.timerTokens, token)
	r.timerDelays = append(r.timerDelays, delay)
}
func (r *recorder) Probe(e uint32) { r.probes = append(r.probes, e) }
func (r *recorder) Watch(bool)     { r.watches++ }
func (r *recorder) Log(message string, args ...any) {
	r.logs = append(r.logs, fmt.Sprintln(append([]any{message}, args...)...))
}

// lastSend returns the latest attempt, the zero value for none.
func (r *recorder) lastSend() sentAttempt {
	if len(r.sends) == 0 {
		return sentAttempt{}
	}
	return r.sends[len(r.sends)-1]
}

// timerInstant returns the instant of the latest timer of a token, which was set now.
func (r *recorder) timerInstant(t *testing.T, now monotime.Micros, token uint32) monotime.Micros {
	t.Helper()
	for i := len(r.timerTokens) - 1; i >= 0; i-- {
		if r.timerTokens[i] == token {
			return now + r.timerDelays[i]
		}
	}
	t.Fatalf("no timer of token %d", token)
	return 0
}

// sendsByEndpoint counts the attempts at each endpoint.
func (r *recorder) sendsByEndpoint() map[uint32]int {
	counts := map[uint32]int{}
	for _, s := range r.sends {
		counts[s.endpoint]++
	}
	return counts
}

// readyEndpoints returns n ready endpoints with IDs from 1. Pairs share a cell and a zone.
func readyEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Cell: uint16(i / 2), Share: 1}
	}
	return list
}

// newBalancer returns a balancer that is not started.
func newBalancer(t *testing.T, s Settings, seed uint64) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b, err := New(s, seed, r)
	require.NoError(t, err)
	return b, r
}

// startBalancer returns a balancer that was started at 0 with a cached endpoint list.
func startBalancer(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	return startBalancerWithSeed(t, s, list, 7)
}

func startBalancerWithSeed(t *testing.T, s Settings, list []Endpoint, seed uint64) (*Balancer, *recorder) {
	t.Helper()
	b, r := newBalancer(t, s, seed)
	b.Start(0)
	b.UpdateEndpoints(0, ListCached, list)
	return b, r
}

// trustWorkEstimates has the balancer take the initial estimates of the work of classes as learned.
func trustWorkEstimates(b *Balancer) {
	for i := range b.classes {
		b.classes[i].meanWork.samples = manySamples
	}
}

// reportLoad ends a probe of an endpoint with a load report of one figure.
func reportLoad(b *Balancer, now monotime.Micros, id uint32, load float32) {
	b.HandleProbe(now, id, OK, 500, []float32{load})
}

// succeed ends the first attempt of a request with its answer.
func succeed(b *Balancer, now monotime.Micros, id uint64, endpoint uint32, latency monotime.Micros) {
	b.HandleOutcome(now, Outcome{ID: id, Endpoint: endpoint, Status: OK, Latency: latency, Answered: true})
}

// failAttempt ends an attempt of a request with an error of the endpoint.
func failAttempt(b *Balancer, now monotime.Micros, id uint64, number int, endpoint uint32) {
	b.HandleOutcome(now, Outcome{ID: id, Attempt: number, Endpoint: endpoint, Status: Error, Latency: 100})
}

// newTestRequest returns a request with a deadline in one second.
func newTestRequest(id uint64, class uint8, now monotime.Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + second}
}

func TestNewNamesBadSetting(t *testing.T) {
	for _, c := range []struct {
		key        string
		invalidate func(*Settings)
	}{
		{"Balancers", func(s *Settings) { s.Balancers = 0 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].LatencyObjective", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }},
		{"Classes[1].DedupWindow", func(s *Settings) { s.Classes[1].DedupWindow = -1 }},
		{"Contract.WarmupStartCapacity", func(s *Settings) { s.Contract.WarmupStartCapacity = 0 }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Prices.Probe", func(s *Settings) { s.Prices.Probe = -1 }},
	} {
		s := testSettings()
		c.invalidate(&s)
		_, err := New(s, 1, &recorder{})
		var settingErr *SettingError
		if !errors.As(err, &settingErr) || settingErr.Key != c.key {
			t.Errorf("want an error for %s, got %v", c.key, err)
		}
	}
}
