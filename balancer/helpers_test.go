package balancer

import (
	"errors"
	"fmt"
	"testing"

	"dunlinsail/internal/monotime"
)

// testSettings are plain settings that tests change as they need.
func testSettings() Settings {
	return Settings{
		Balancers: 2, ZoneCount: 1, MachineKinds: 1, Tick: 5000,
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
		Prices: Prices{Probe: 1000}, // too dear to queue requests for: that has tests of its own
	}
}

type sent struct {
	id       uint64
	endpoint uint32
}

// recorder keeps a balancer's actions.
type recorder struct {
	sends    []sent
	timeouts []monotime.Micros // of the sends
	rejected []uint64
	failed   []uint64
	cancels  []uint64
	probes   []uint32
	timers   []uint32
	delays   []monotime.Micros
	watches  int
	logs     []string
}

func (r *recorder) Send(id uint64, e uint32, timeout monotime.Micros) {
	r.sends, r.timeouts = append(r.sends, sent{id, e}), append(r.timeouts, timeout)
}
func (r *recorder) Reject(id uint64, _ monotime.Micros) { r.rejected = append(r.rejected, id) }
func (r *recorder) Fail(id uint64)                      { r.failed = append(r.failed, id) }
func (r *recorder) Cancel(id uint64, _ int)             { r.cancels = append(r.cancels, id) }
func (r *recorder) SetTimer(delay monotime.Micros, token uint32) {
	r.timers, r.delays = append(r.timers, token), append(r.delays, delay)
}
func (r *recorder) Probe(e uint32) { r.probes = append(r.probes, e) }
func (r *recorder) Watch(bool)     { r.watches++ }
func (r *recorder) Log(message string, args ...any) {
	r.logs = append(r.logs, fmt.Sprintln(append([]any{message}, args...)...))
}

// ready returns n ready endpoints with ids from 1; pairs share a cell and a zone.
func readyEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Cell: uint16(i / 2), Share: 1}
	}
	return list
}

func startBalancer(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b, err := New(s, 7, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.UpdateEndpoints(0, ListCached, list)
	return b, r
}

func newTestRequest(id uint64, class uint8, now monotime.Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + second}
}

func TestNewNamesBadSetting(t *testing.T) {
	for _, c := range []struct {
		key   string
		spoil func(*Settings)
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
		c.spoil(&s)
		_, err := New(s, 1, &recorder{})
		var bad *SettingError
		if !errors.As(err, &bad) || bad.Key != c.key {
			t.Errorf("want an error for %s, got %v", c.key, err)
		}
	}
}
