package balancer_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// The decisions of the balancer of commit 870f4ac, over scripted runs against simulated endpoints, as hashes
// in testdata/decisions.golden: any decision, draw of the random source or rounding that moves shows as
// another hash. The file is never rewritten for a change that should move none. It has one line for each run.
//
// The runs need only exported names. Texts of log lines are left out; that and when a line is written is in.

const (
	millisecond monotime.Micros = 1_000
	second                      = 1_000 * millisecond
)

// arrive gives the balancer a request, and schedules the next one until the end of the phase.
func (s *simulation) arrive(rate float64, end monotime.Micros) {
	if s.now >= end {
		return
	}
	s.nextID++
	in := balancer.Request{ID: s.nextID, ObjectKey: s.random.Uint64(),
		Class:  uint8(s.random.IntN(len(s.settings.Classes))),
		Tenant: uint16(s.random.IntN(3)), Retry: s.random.IntN(8) == 0, Upload: s.random.IntN(30) == 0}
	in.Deadline = s.now + s.settings.Classes[in.Class].ClientTimeout
	switch s.random.IntN(25) {
	case 0:
		in.MaxAttempts = 1 + s.random.IntN(3)
	case 1:
		in.QueueTime = s.random.Int64N(100 * millisecond)
	case 2:
		in.Deadline = s.now + s.random.Int64N(5*millisecond) - millisecond
	}
	if in.Class%2 == 0 && s.random.IntN(10) > 0 {
		in.HasWorkHint = true
		objective := float64(s.settings.Classes[in.Class].LatencyObjective)
		in.WorkHint = monotime.Micros(objective / 8 * s.random.ExpFloat64())
	}
	if s.random.IntN(500) == 0 {
		in.Class = 200 // none of the settings
	}
	after, rejected := s.balancer.ShouldReject(in)
	s.note("event request", in.ID, in.ObjectKey, in.Deadline, in.QueueTime, in.WorkHint, in.HasWorkHint,
		in.Retry, in.MaxAttempts, in.Upload,
		in.Tenant, in.Class, after, rejected, s.balancer.QueueWaitFraction(s.now, in))
	if !rejected {
		r := &simRequest{request: in}
		s.requests[in.ID] = r
		s.balancer.HandleRequest(s.now, in)
		if s.random.IntN(20) == 0 {
			// Within the first millisecond many requests still wait for probes.
			longest := []monotime.Micros{millisecond, 50 * millisecond}[s.random.IntN(2)]
			s.after(s.random.Int64N(longest), func() {
				if !r.answered {
					s.note("event gone", in.ID)
					r.answered = true
					s.balancer.HandleClientGone(s.now, in.ID)
				}
			})
		}
	}
	s.after(monotime.Micros(s.random.ExpFloat64()/rate*float64(second)), func() { s.arrive(rate, end) })
}

// phase simulates a time with requests at a rate, and records the state at its end.
func (s *simulation) phase(length monotime.Micros, rate float64) {
	end := s.now + length
	s.after(0, func() { s.arrive(rate, end) })
	s.runUntil(end)
	state, err := json.Marshal(s.balancer.LearnedState(s.now))
	if err != nil {
		panic(err)
	}
	for _, e := range s.endpoints {
		s.note("endpoint", e.ID, s.balancer.ShouldAvoid(s.now, e.ID), s.balancer.IsEjected(s.now, e.ID))
	}
	s.note("state", string(state))
}

// change changes endpoints, and updates the balancer by their list entries if these have changed.
func (s *simulation) change(change func(e *simEndpoint), numbers ...int) {
	var entries []balancer.Endpoint
	for _, n := range numbers {
		e := s.endpoints[n%len(s.endpoints)]
		before := e.Endpoint
		change(e)
		if e.Endpoint != before {
			entries = append(entries, e.Endpoint)
		}
	}
	if len(entries) > 0 {
		s.members(balancer.ListDelta, entries)
	}
}

func (s *simulation) restart(e *simEndpoint) {
	e.State = balancer.Ready
	e.StartTime = s.now - s.random.Int64N(second)
}

// play is the script of all runs.
func (s *simulation) play() {
	if s.options.policyFromStart {
		s.setOverloadPolicy()
	}
	s.playFaults()
	s.playOverload()
	s.playListChanges()
	s.playMassRestart()
	s.playOutage()
	s.runUntil(s.now + 30*second)
}

// playFaults has calm phases with faults of single endpoints.
func (s *simulation) playFaults() {
	rate := s.options.arrivals
	s.phase(1500*millisecond, rate)
	s.change(func(e *simEndpoint) { e.failing = true }, 0)
	s.change(func(e *simEndpoint) { e.slowness = 6 }, 1)
	s.phase(2*second, rate)
	s.change(func(e *simEndpoint) { e.failing, e.slowness = false, 1 }, 0, 1)
	s.change(func(e *simEndpoint) { e.silent = true }, 2)
	s.change(func(e *simEndpoint) { e.nonsense = true }, 3)
	s.phase(2*second, rate)
	s.change(func(e *simEndpoint) { e.silent = false }, 2)
	s.change(func(e *simEndpoint) { e.full = true }, 4, 5)
	s.change(func(e *simEndpoint) { e.unreachable = true }, 0)
}

// playOverload has phases of overload, without and with a policy, and a quiet one.
func (s *simulation) playOverload() {
	rate := s.options.arrivals
	s.operatorCalls(true)
	s.phase(1500*millisecond, 4*rate)
	s.change(func(e *simEndpoint) { e.full, e.unreachable, e.nonsense = false, false, false }, 0, 3, 4, 5)
	s.operatorCalls(false)
	s.setOverloadPolicy()
	s.phase(1500*millisecond, 4*rate)
	s.phase(2*second, rate/8) // probes are older than requests
	s.balancer.SetOverloadPolicy(nil)
}

// playListChanges drains, removes, restarts, moves and adds endpoints.
func (s *simulation) playListChanges() {
	rate := s.options.arrivals
	s.change(func(e *simEndpoint) { e.State = balancer.Draining }, 1, 2)
	s.phase(second, rate)
	s.change(func(e *simEndpoint) { e.State = balancer.Gone }, 1)
	s.change(s.restart, 2, 3)
	s.phase(3*second, rate)
	s.members(balancer.ListFailed, nil)
	s.change(func(e *simEndpoint) { e.Zone++ }, 4)
	added := &simEndpoint{Endpoint: balancer.Endpoint{ID: 900, Zone: 1, Cell: 1, Share: 1}, slowness: 1}
	s.endpoints = append(s.endpoints, added)
	s.members(balancer.ListFull, s.list())
	s.phase(2*second, 2*rate)
}

// playMassRestart restarts most endpoints, as in a power cut, and hands over while they warm up.
func (s *simulation) playMassRestart() {
	rate := s.options.arrivals
	s.change(s.restart, 0, 1, 2, 3, 4, 5, 6, 7)
	s.phase(second, 2*rate)
	s.takeOver()
	s.phase(3*second, 2*rate)
}

// playOutage has most endpoints fail, and then an empty list.
func (s *simulation) playOutage() {
	rate := s.options.arrivals
	s.change(func(e *simEndpoint) { e.failing = true }, 0, 1, 2, 3, 4, 5, 6, 7)
	s.phase(1500*millisecond, rate)
	s.change(func(e *simEndpoint) { e.failing = false }, 0, 1, 2, 3, 4, 5, 6, 7)
	s.phase(12*second, rate/2)
	s.members(balancer.ListFull, nil)
	s.phase(200*millisecond, rate)
	s.members(balancer.ListFull, s.list())
	s.phase(second, rate)
}

// operatorCalls sets a cordon, a pause and suspicions, or ends them.
func (s *simulation) operatorCalls(on bool) {
	if !s.options.operatorCalls {
		return
	}
	chance := 0.6
	if !on {
		chance = 0
	}
	s.balancer.SetCordon(s.now, s.endpoints[1].ID, on)
	s.balancer.SetPaused(s.now, s.endpoints[6].ID, on)
	s.balancer.SetSuspicion(s.now, s.endpoints[2].ID, 0, chance)
	s.balancer.SetSuspicion(s.now, s.endpoints[3].ID, 1, chance/2)
}

// setOverloadPolicy sets an overload policy, whose retry budget ends after half a second.
func (s *simulation) setOverloadPolicy() {
	if !s.options.policy {
		return
	}
	n := len(s.settings.Classes)
	forEachClass := func(x float64) []float64 { return slices.Repeat([]float64{x}, n) }
	policy := &balancer.OverloadPolicy{
		AdmitRatio:             forEachClass(0.7),
		OverQuotaAdmitRatio:    forEachClass(0.3),
		WithinQuotaRatio:       []float64{0.9, 0.5},
		RetryAdmitRatio:        0.5,
		QueueWaitFraction:      forEachClass(0.25),
		FloorQueueWaitFraction: 0.7,
		FloorRatio:             0.1,
		ForcedAdmitInterval:    3 * second,
		RetryAllowed:           true,
		MaxProbeRate:           20,
	}
	s.balancer.SetOverloadPolicy(policy)
	s.after(500*millisecond, func() { policy.RetryAllowed = false })
}

// takeOver replaces the balancer by another one that restores its learned state.
func (s *simulation) takeOver() {
	if !s.options.handover {
		return
	}
	learned := s.balancer.LearnedState(s.now)
	s.balancer.SetHandedOver(s.now, true)
	if s.options.handoverPause > 0 {
		s.phase(s.options.handoverPause, s.options.arrivals)
	}
	s.start(77)
	s.balancer.Restore(s.now, s.options.handoverPause, learned)
}

func (s *simulation) start(seed uint64) {
	b, err := balancer.New(s.settings, seed, s)
	if err != nil {
		panic(err)
	}
	s.balancer = b
	b.Start(s.now)
	s.members(balancer.ListCached, s.list())
}

func baseSettings() balancer.Settings {
	class := func(name string, idempotency balancer.Idempotency, scope balancer.DedupScope,
		objective monotime.Micros) balancer.Class {
		c := balancer.Class{
			Name:             name,
			Idempotency:      idempotency,
			DedupScope:       scope,
			LatencyObjective: objective,
			ClientTimeout:    4 * objective,
			PriorityWeight:   1,
			LateWeight:       0.3,
		}
		if idempotency == balancer.IdempotentByKey {
			c.DedupWindow = 2 * objective
		}
		return c
	}
	s := balancer.Settings{
		Balancers: 3,
		Classes: []balancer.Class{
			class("read", balancer.Idempotent, 0, 100*millisecond),
			class("stream", balancer.Idempotent, 0, 200*millisecond),
			class("keyed-all", balancer.IdempotentByKey, balancer.DedupAll, 100*millisecond),
			class("keyed-zone", balancer.IdempotentByKey, balancer.DedupZone, 80*millisecond),
			class("keyed-cell", balancer.IdempotentByKey, balancer.DedupCell, 60*millisecond),
			class("write", balancer.NonIdempotent, 0, 150*millisecond),
		},
		Tenants:     []balancer.Tenant{{Name: "a", Quota: 60, Share: 0.5}, {Name: "b", Quota: 30, Share: 0.5}},
		LoadMetrics: []balancer.LoadMetric{balancer.MetricInflight},
		Limits: balancer.Limits{Cancel: true, Probes: true, Hedging: true, RetryAfter: true,
			MaxAttempts: 3, MaxOpenRequests: 200, MaxRetryAfter: second, DialTimeout: 100 * millisecond},
		Contract: balancer.Contract{DrainGrace: 500 * millisecond, WarmupStartCapacity: 0.2, WarmupTime: 4 * second,
			CollapseMultiple: 2.5, CollapseAfter: second, PollInterval: 2 * second},
		Prices:          balancer.Prices{CrossZone: 0.02, Probe: 0.002},
		Goal:            balancer.Goal{Overall: 1, WorstWindow: 0.3, WorstClass: 0.2},
		OverQuotaWeight: 0.4,
	}
	s.Classes[1].Streaming = true
	s.Classes[3].PriorityWeight = 3
	return s
}

// decisionRun is a scripted run, which is repeated with several seeds.
type decisionRun struct {
	name    string
	options runOptions
	change  func(s *balancer.Settings)
}

// usualOptions are those of most runs.
var usualOptions = runOptions{endpoints: 8, arrivals: 120}

// with returns the usual options with a change.
func with(change func(o *runOptions)) runOptions {
	options := usualOptions
	change(&options)
	return options
}

func decisionRuns() []decisionRun {
	none := func(*balancer.Settings) {}
	return []decisionRun{
		{"plain", usualOptions, none},
		{"without-probes", usualOptions, func(s *balancer.Settings) { s.Limits.Probes = false }},
		{"dear-probes", usualOptions, func(s *balancer.Settings) { s.Prices.Probe = 1000 }},
		{"free-probes", usualOptions, func(s *balancer.Settings) { s.Prices.Probe = 0 }},
		{"reports-without-load", usualOptions,
			func(s *balancer.Settings) { s.LoadMetrics = []balancer.LoadMetric{balancer.MetricUtilization} }},
		{"queue-and-latency", usualOptions, func(s *balancer.Settings) {
			s.LoadMetrics = []balancer.LoadMetric{balancer.MetricUnknown, balancer.MetricQueueLength,
				balancer.MetricLatency}
		}},
		{"late-reports", with(func(o *runOptions) { o.staleFor = second }), none},
		{"without-permits", usualOptions, func(s *balancer.Settings) {
			s.Limits.Cancel = false
			s.Limits.Hedging = false
			s.Limits.RetryAfter = false
			s.Limits.MaxAttempts = 2
		}},
		{"few-open", usualOptions, func(s *balancer.Settings) { s.Limits.MaxOpenRequests = 6 }},
		{"subscribe", usualOptions, func(s *balancer.Settings) { s.Subscribe = true }},
		{"subscribe-large-fleet", usualOptions, func(s *balancer.Settings) {
			s.Subscribe = true
			s.Balancers = 80
		}},
		{"retry-window", usualOptions, func(s *balancer.Settings) {
			s.RetryRatio = 0.1
			s.RetryWindow = 2 * second
			s.MinRetryRate = 2
		}},
		{"strict-keys", usualOptions, func(s *balancer.Settings) { s.StrictIdempotencyKeys = true }},
		{"bounds", with(func(o *runOptions) { o.policy = true }), none},
		{"bounds-without-probes", with(func(o *runOptions) { o.policy = true }), func(s *balancer.Settings) {
			s.Limits.Probes = false
		}},
		{"operator-calls", with(func(o *runOptions) { o.operatorCalls = true }), none},
		{"bounds-at-once", with(func(o *runOptions) { o.policy, o.policyFromStart = true, true }), none},
		{"takeover", with(func(o *runOptions) { o.handover = true }), none},
		{"takeover-with-pause", with(func(o *runOptions) { o.handover, o.handoverPause = true, 3*second }), none},
		{"many-endpoints", with(func(o *runOptions) { o.endpoints, o.arrivals = 60, 300 }), none},
		{"few-endpoints", with(func(o *runOptions) { o.endpoints, o.arrivals = 3, 60 }), none},
		{"quiet", with(func(o *runOptions) { o.arrivals = 15 }), func(s *balancer.Settings) { s.Balancers = 15 }},
		{"without-tenants", usualOptions, func(s *balancer.Settings) { s.Tenants = nil }},
		{"tight-tenants", usualOptions, func(s *balancer.Settings) {
			s.Tenants[0].Quota = 5
			s.OverQuotaWeight = 0
		}},
		{"worth-by-work", usualOptions, func(s *balancer.Settings) {
			s.WeightByWork = true
			s.Goal.WorstClass = 2
		}},
		{"worth-nothing", usualOptions, func(s *balancer.Settings) { s.Goal = balancer.Goal{} }},
		{"one-balancer", usualOptions, func(s *balancer.Settings) {
			s.Balancers = 1
			s.Contract.WarmupTime = 0
		}},
	}
}

func (d decisionRun) line(seed uint64) string {
	s := &simulation{
		settings: baseSettings(),
		options:  d.options,
		now:      100 * second,
		random:   rand.New(rand.NewPCG(seed, 11)),
		requests: map[uint64]*simRequest{},
		digest:   sha256.New(),
		counts:   map[string]int{},
	}
	d.change(&s.settings)
	for i := range d.options.endpoints {
		e := balancer.Endpoint{ID: uint32(i + 1), Zone: uint8(i % 3), Cell: uint16(i % 4), Share: 1}
		slowness := 0.8 + 0.4*s.random.Float64()
		background := 2 * s.random.Float64()
		s.endpoints = append(s.endpoints, &simEndpoint{Endpoint: e, slowness: slowness, background: background})
	}
	s.start(seed)
	s.play()
	var b strings.Builder
	fmt.Fprintf(&b, "%s seed=%d", d.name, seed)
	for _, kind := range []string{"event request", "send", "reject", "fail", "cancel", "timer", "probe", "watch",
		"log"} {
		fmt.Fprintf(&b, " %s=%d", strings.TrimPrefix(kind, "event "), s.counts[kind])
	}
	fmt.Fprintf(&b, " sha256=%s", hex.EncodeToString(s.digest.Sum(nil)[:16]))
	return b.String()
}

func TestDecisionsAreUnchanged(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("floating-point results may differ in the last bit on " + runtime.GOARCH)
	}
	golden, err := os.ReadFile("testdata/decisions.golden")
	require.NoError(t, err)
	want := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(string(golden)), "\n") {
		fields := strings.Fields(line)
		want[fields[0]+" "+fields[1]] = line
	}
	runs := 0
	for _, run := range decisionRuns() {
		for seed := uint64(1); seed <= 2; seed++ {
			runs++
			t.Run(fmt.Sprintf("%s/%d", run.name, seed), func(t *testing.T) {
				t.Parallel()
				if got := run.line(seed); got != want[fmt.Sprintf("%s seed=%d", run.name, seed)] {
					t.Errorf("got\n%s\nwant\n%s", got, want[fmt.Sprintf("%s seed=%d", run.name, seed)])
				}
			})
		}
	}
	if runs != len(want) {
		t.Errorf("%d runs, %d lines in the golden file", runs, len(want))
	}
}
