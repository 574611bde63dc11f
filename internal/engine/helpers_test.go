package engine

import (
	"fmt"
	"slices"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// respondingHost is a Host whose endpoints respond to every attempt 20 ms, and to every probe 1 ms, after its
// start. Attempts at the endpoints in failing get an error.
type respondingHost struct {
	engine   *Engine
	pool     *Pool
	failing  map[string]bool
	attempts map[string]int // number of attempts started, by endpoint
	probes   int            // number of probes started
	verdicts map[Verdict]int
}

func (h *respondingHost) NewTarget(string, string) Target { return unknownTarget{} }
func (h *respondingHost) StartAttempt(a *Attempt) {
	h.attempts[a.Endpoint.Name]++
	status := balancer.OK
	if h.failing[a.Endpoint.Name] {
		status = balancer.Error
	}
	h.engine.schedule(a.StartedAt+20_000, func(now monotime.Micros) {
		h.engine.recordOutcome(now, a, AttemptResult{Status: status, ObservedAt: now})
	})
}
func (h *respondingHost) CancelUnsent(*Attempt) bool { return false }
func (h *respondingHost) AbortAttempt(*Attempt)      {}
func (h *respondingHost) AttemptTimedOut(*Attempt)   {}
func (h *respondingHost) StartProbe(p *Pool, e *Endpoint) {
	h.probes++
	sentAt := h.engine.now
	h.engine.schedule(sentAt+1000, func(now monotime.Micros) {
		p.balancer.HandleProbe(now, e.Number, balancer.OK, now-sentAt, []float32{1})
	})
}
func (h *respondingHost) Respond(_ *Call, r Response) { h.verdicts[r.Verdict]++ }
func (h *respondingHost) EndpointReady()              {}
func (h *respondingHost) Log(string, ...any)          {}
func (h *respondingHost) Warn(string, ...any)         {}

// sentAttempts returns the number of attempts started at all endpoints together.
func (h *respondingHost) sentAttempts() int {
	sent := 0
	for _, count := range h.attempts {
		sent += count
	}
	return sent
}

// run submits a number of requests, one after each interval, and returns an instant one second after the last
// one.
func (h *respondingHost) run(c *Client, now monotime.Micros, requests int, interval monotime.Micros) monotime.Micros {
	for i := range requests {
		now += interval
		advanceTo(h.engine, now)
		h.engine.Submit(now, &Call{Client: c, Pool: h.pool, ID: fmt.Sprint(now, i),
			Request: balancer.Request{Deadline: now + 500_000}, ArrivedAt: now})
	}
	now += monotime.Second
	advanceTo(h.engine, now)
	return now
}

// startPool starts a new pool with an endpoint list, to which run then submits its requests.
func (h *respondingHost) startPool(tb testing.TB, c PoolConfig, list []EndpointInfo) {
	tb.Helper()
	c.InitialEndpoints = EndpointUpdate{Generation: 1, Endpoints: list}
	c.SetWatch = func(bool) {}
	pool, err := h.engine.NewPool(c)
	require.NoError(tb, err)
	pool.Start(1_000 * monotime.Second)
	h.pool = pool
}

// newQuietInstance returns an instance of a fleet of 5,000 that uses a subset of four of sixty endpoints. Each
// endpoint allows the fleet probeRate probes per second.
func newQuietInstance(tb testing.TB, probeRate float64) (*respondingHost, *Client, []EndpointInfo) {
	tb.Helper()
	return newInstance(tb, &subset.Settings{Position: 77, Instances: 5000, MinMembers: 4, EndpointProbes: probeRate})
}

// newInstance returns an instance with sixty endpoints that uses a subset of them, or all of them if
// subsetSettings is nil.
func newInstance(tb testing.TB, subsetSettings *subset.Settings) (*respondingHost, *Client, []EndpointInfo) {
	tb.Helper()
	settings := balancer.Settings{Balancers: 5000, LoadMetrics: []balancer.LoadMetric{balancer.MetricInflight},
		Classes: []balancer.Class{{Name: "look", LatencyObjective: 200_000, ClientTimeout: 500_000, PriorityWeight: 1}},
		Limits: balancer.Limits{Probes: true, Hedging: true, MaxAttempts: 3, MaxOpenRequests: 100,
			DialTimeout: 100_000},
		Contract: balancer.Contract{DrainGrace: 250_000, WarmupStartCapacity: 0.2, WarmupTime: 20 * monotime.Second,
			CollapseMultiple: 2.5,
			CollapseAfter:    2 * monotime.Second, PollInterval: 10 * monotime.Second}, Goal: balancer.Goal{Overall: 1}}
	h := &respondingHost{failing: map[string]bool{}, attempts: map[string]int{}, verdicts: map[Verdict]int{}}
	site := &siteconfig.Site{Settings: settings, Classes: []string{"look"}, Zones: []string{"a"}}
	h.engine = New(Config{Site: site, Seed: 5, Host: h})
	var list []EndpointInfo
	for i := range 60 {
		list = append(list, EndpointInfo{Name: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i),
			Zone: "a", Weight: 1})
	}
	h.startPool(tb, PoolConfig{Subset: subsetSettings}, list)
	c, err := NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1})
	require.NoError(tb, err)
	return h, c, list
}

// recordingHost is a Host that records the attempts it should start and the responses it should deliver. Its
// endpoints do not respond on their own.
type recordingHost struct {
	Host
	started   []*Attempt
	responses map[string]Response // final responses, by request ID
}

func (h *recordingHost) NewTarget(_, _ string) Target { return unknownTarget{} }
func (h *recordingHost) StartAttempt(a *Attempt)      { h.started = append(h.started, a) }
func (h *recordingHost) CancelUnsent(*Attempt) bool   { return false }
func (h *recordingHost) AbortAttempt(*Attempt)        {}
func (h *recordingHost) AttemptTimedOut(*Attempt)     {}
func (h *recordingHost) StartProbe(*Pool, *Endpoint)  {}
func (h *recordingHost) Respond(c *Call, r Response)  { h.responses[c.ID] = r }
func (h *recordingHost) EndpointReady()               {}
func (h *recordingHost) Log(string, ...any)           {}
func (h *recordingHost) Warn(string, ...any)          {}

// nextAttempt removes the earliest started attempt from the record and returns it.
func (h *recordingHost) nextAttempt() (attempt *Attempt) {
	attempt = h.started[0]
	h.started = slices.Delete(h.started, 0, 1)
	return attempt
}

// serveAll ends all started attempts successfully, and returns how many there were in total and at e1.
func (h *recordingHost) serveAll(engine *Engine, now monotime.Micros) (total, atE1 int) {
	for len(h.started) > 0 {
		a := h.nextAttempt()
		engine.AttemptEnded(now, a, AttemptResult{Status: balancer.OK, ObservedAt: now})
		total++
		if a.Endpoint.Name == "e1" {
			atE1++
		}
	}
	return total, atE1
}

// tenantSite returns settings with two classes and two tenants. Only the first tenant has a limit.
func tenantSite(limit float64, instances, position int) *siteconfig.Site {
	return &siteconfig.Site{
		Classes:      []string{"look", "book"},
		Tenants:      []string{"t", "free"},
		TenantLimits: []float64{limit, 0},
		Zones:        []string{"z"},
		MachineTypes: []string{"k"},
		Settings: balancer.Settings{
			Balancers: instances, Position: position, OverQuotaWeight: 1,
			Classes: []balancer.Class{
				{Name: "look", LatencyObjective: 200_000, ClientTimeout: 500_000, PriorityWeight: 1},
				{Name: "book", LatencyObjective: 200_000, ClientTimeout: 500_000, PriorityWeight: 5},
			},
			Tenants: []balancer.Tenant{
				{Name: "t", Quota: 10, Share: 0.5},
				{Name: "free", Quota: 10, Share: 0.5},
			},
			Limits: balancer.Limits{RetryAfter: true, MaxRetryAfter: 400_000, MaxAttempts: 3, MaxOpenRequests: 1000,
				DialTimeout: 100_000},
			Contract: balancer.Contract{DrainGrace: 250_000, WarmupStartCapacity: 0.3, WarmupTime: monotime.Second,
				CollapseMultiple: 2.5,
				CollapseAfter:    monotime.Second, PollInterval: 10 * monotime.Second},
			Goal: balancer.Goal{Overall: 1},
		},
	}
}

// singleInstanceFleet returns the coordination settings of an instance that is the only one in its fleet, and
// therefore grants itself all quota.
func singleInstanceFleet(scope CoordinationScope) Coordination {
	return Coordination{
		Scope:           scope,
		Send:            func(string, coordination.Message) {},
		NextIncarnation: func() uint64 { return 7 },
		Settings: coordination.Settings{Self: "a", Candidates: []string{"a"}, LeaseDuration: monotime.Second,
			Quota: quota.Settings{MaxInstances: 1, Reserve: 0.1, LeaseDuration: 2 * monotime.Second,
				RequestInterval: monotime.Second / 4, MaxClockDrift: 0.005}},
	}
}

// newEngine returns an engine with three endpoints. With a scope, it is the only instance of its fleet.
func newEngine(tb testing.TB, site *siteconfig.Site, scope *CoordinationScope, overloadSettings *overload.Settings) (
	*Engine, *Pool, *recordingHost) {
	tb.Helper()
	h := &recordingHost{responses: map[string]Response{}}
	engine := New(Config{Site: site, Seed: 1, Host: h, Concurrency: ConcurrencySettings{MaxOpen: 1000}})
	if scope != nil {
		require.NoError(tb, engine.JoinFleet(singleInstanceFleet(*scope)))
	}
	p, err := engine.NewPool(PoolConfig{
		InitialEndpoints: EndpointUpdate{Generation: -1},
		SetWatch:         func(bool) {},
		Overload:         overloadSettings,
	})
	require.NoError(tb, err)
	p.Start(0)
	var list []EndpointInfo
	for i := range 3 {
		list = append(list, EndpointInfo{Name: fmt.Sprint("e", i), Addr: "a", Zone: "z", Kind: "k",
			State: balancer.Ready, Weight: 1})
	}
	p.UpdateEndpoints(0, EndpointUpdate{Kind: balancer.ListFull, Generation: 1, Endpoints: list})
	engine.StartCoordination(0)
	return engine, p, h
}

// advanceTo fires all timers that are due at or before now, each at the instant at which it is due.
func advanceTo(engine *Engine, now monotime.Micros) {
	for due, ok := engine.NextTimer(); ok && due <= now; due, ok = engine.NextTimer() {
		engine.Advance(due)
	}
	engine.Advance(now)
}

// newCall returns a call of a new client, which has no other calls.
func newCall(tb testing.TB, p *Pool, now monotime.Micros, id string, r balancer.Request) *Call {
	tb.Helper()
	c, err := NewClient(fairqueue.ClientSpec{Weight: 1})
	require.NoError(tb, err)
	return &Call{Client: c, Pool: p, ID: id, ArrivedAt: now, Request: r}
}

// submit submits a request of a tenant, with a deadline after 500 ms.
func submit(tb testing.TB, engine *Engine, p *Pool, now monotime.Micros, id string, tenant uint16) {
	tb.Helper()
	engine.Submit(now, newCall(tb, p, now, id, balancer.Request{Tenant: tenant, Deadline: now + 500_000}))
}

// fleetView returns the engine's view of its fleet, and fails the test if there is no fleet.
func fleetView(tb testing.TB, engine *Engine, now monotime.Micros) coordination.View {
	tb.Helper()
	view, ok := engine.FleetView(now)
	if !ok {
		tb.Fatal("the engine has no fleet")
	}
	return view
}

// subsetSize returns the number of endpoints that the instance uses, the number of listed endpoints, and how
// often the subset has been widened. For a pool without a subset, both numbers are the length of the list, and
// widened is 0.
func (p *Pool) subsetSize() (members, listed, widened int) {
	if p.subset == nil {
		return len(p.byName), len(p.byName), 0
	}
	return len(p.subset.set.Members()), len(p.subset.endpoints), p.subset.set.Doublings()
}
