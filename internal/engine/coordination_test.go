package engine

import (
	"fmt"
	"slices"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/coordination"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/quota"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// carrier is a host that answers nothing by itself, and notes what it is asked for.
type carrier struct {
	Host
	started []*Attempt
	answers map[string]Response
}

func (h *carrier) NewTarget(string) Target     { return unknownTarget{} }
func (h *carrier) StartAttempt(a *Attempt)     { h.started = append(h.started, a) }
func (h *carrier) CancelUnsent(*Attempt) bool  { return false }
func (h *carrier) AbortAttempt(*Attempt)       {}
func (h *carrier) AttemptTimedOut(*Attempt)    {}
func (h *carrier) StartProbe(*Pool, *Endpoint) {}
func (h *carrier) Respond(c *Call, a Response) { h.answers[c.ID] = a }
func (h *carrier) EndpointReady()              {}
func (h *carrier) Log(string, ...any)          {}
func (h *carrier) Warn(string, ...any)         {}
func tenantSite(limit float64, n, place int) *siteconfig.Site {
	return &siteconfig.Site{Classes: []string{"look", "book"}, Tenants: []string{"t", "free"}, TenantLimits: []float64{limit, 0}, Zones: []string{"z"}, Kinds: []string{"k"},
		Settings: balancer.Settings{Balancers: n, Position: place, Zones: 1, Kinds: 1, OverShareWorth: 1,
			Classes:  []balancer.Class{{Name: "look", Aim: 200_000, GiveUp: 500_000, Worth: 1}, {Name: "book", Aim: 200_000, GiveUp: 500_000, Worth: 5}},
			Tenants:  []balancer.Tenant{{Name: "t", Allowance: 10, Share: 0.5}, {Name: "free", Allowance: 10, Share: 0.5}},
			Limits:   balancer.Limits{RetryAfter: true, MaxRetryAfter: 400_000, MaxAttempts: 3, MaxOpen: 1000, DialTimeout: 100_000},
			Contract: balancer.Contract{DrainGrace: 250_000, ColdFrom: 0.3, RampTime: second, FallMultiple: 2.5, OverloadFor: second, AskWithin: 10 * second},
			Goal:     balancer.Goal{Whole: 1}}}
}

// fleetOf returns an engine with three endpoints; with uses it is alone in a fleet of one that lends to itself.
func fleetOf(t testing.TB, s *siteconfig.Site, uses *CoordinationScope, o *overload.Settings) (*Engine, *Pool, *carrier) {
	t.Helper()
	h := &carrier{answers: map[string]Response{}}
	x := New(Config{Site: s, Seed: 1, Host: h, Concurrency: ConcurrencySettings{MaxOpen: 1000}})
	if uses != nil {
		err := x.JoinFleet(Coordination{Scope: *uses, Send: func(string, coordination.Word) {}, NextIncarnation: func() uint64 { return 7 }, Fleet: coordination.Settings{Self: "a", Lenders: []string{"a"}, Lease: second,
			Loans: quota.Settings{MaxInstances: 1, Reserve: 0.1, LeaseDuration: 2 * second, RequestInterval: second / 4, MaxClockDrift: 0.005}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	p, err := x.NewPool(PoolConfig{InitialEndpoints: EndpointUpdate{Generation: -1}, Watch: func(bool) {}, Overload: o})
	if err != nil {
		t.Fatal(err)
	}
	p.Start(0)
	var list []EndpointInfo
	for i := range 3 {
		list = append(list, EndpointInfo{Name: fmt.Sprint("e", i), Addr: "a", Zone: "z", Kind: "k", State: balancer.Ready, Weight: 1})
	}
	p.UpdateEndpoints(0, EndpointUpdate{Kind: balancer.ListFull, Generation: 1, Endpoints: list})
	x.StartCoordination(0)
	return x, p, h
}

// run advances through all that is due.
func run(x *Engine, to monotime.Micros) {
	for at, ok := x.Next(); ok && at <= to; at, ok = x.Next() {
		x.Advance(at)
	}
	x.Advance(to)
}

func submit(t testing.TB, x *Engine, p *Pool, now monotime.Micros, id string, tenant uint16) {
	t.Helper()
	c, err := NewClient(fairqueue.ClientSpec{Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	x.Submit(now, &Call{Client: c, Pool: p, ID: id, ArrivedAt: now, Request: balancer.Request{Tenant: tenant, Deadline: now + 500_000}})
}

// served serves all that has started, and returns how many that were, and how many of them at e1.
func (h *carrier) served(x *Engine, now monotime.Micros) (all, e1 int) {
	for len(h.started) > 0 {
		a := h.started[0]
		h.started = slices.Delete(h.started, 0, 1)
		x.AttemptEnded(now, a, AttemptResult{Status: balancer.OK, At: now})
		all++
		e1 += map[bool]int{true: 1}[a.Endpoint.Name == "e1"]
	}
	return all, e1
}

// Without others a tenant's limit is divided by number and place; what is beyond is answered at once, with when to return.
func TestLimitAlone(t *testing.T) {
	for place, want := range []int{4, 3, 3} {
		x, p, h := fleetOf(t, tenantSite(10, 3, place), nil, nil)
		now := monotime.Micros(5 * second)
		run(x, now)
		let := 0
		for i := range 8 {
			submit(t, x, p, now, fmt.Sprint(i), 0)
			submit(t, x, p, now, fmt.Sprint("free", i), 1)
			n, _ := h.served(x, now+20_000)
			let += n - 1
			now += 50_000
			run(x, now)
		}
		for id, a := range h.answers {
			if a.Verdict != Served && (a.Verdict != RateLimited || a.RetryAfter <= 0 || a.RetryAfter > 400_000 || id[0] == 'f') {
				t.Errorf("%s: %+v", id, a)
			}
		}
		if let != want {
			t.Errorf("place %d: %d are let in, %d want", place, let, want)
		}
	}
}

// What is lent is spent, and what is given away is spent by nobody but who takes it.
func TestLimitLentAndHandedOver(t *testing.T) {
	x, p, h := fleetOf(t, tenantSite(10, 1, 0), &CoordinationScope{TenantLimits: true}, nil)
	now := monotime.Micros(20 * second)
	run(x, now)
	for i := range 6 {
		submit(t, x, p, now, fmt.Sprint(i), 0)
		if n, _ := h.served(x, now+1000); n != 1 {
			t.Fatalf("the %d. is refused, of 10 a second: %+v", i+1, mustView(x, now))
		}
	}
	s := x.HandOverCoordination(now)
	submit(t, x, p, now, "given", 0)
	if h.answers["given"].Verdict != RateLimited {
		t.Error("one is let in by what was given away")
	}
	y, q, g := fleetOf(t, tenantSite(10, 1, 0), &CoordinationScope{TenantLimits: true}, nil)
	y.HandOverCoordination(0)
	y.RestoreCoordination(now+1000, 1000, s)
	limited := 0
	for i := range 10 {
		submit(t, y, q, now+1000, fmt.Sprint(i), 0)
		limited += map[bool]int{true: 1}[g.answers[fmt.Sprint(i)].Verdict == RateLimited]
	}
	if allowed := mustView(y, now+1000).Shares[0].Allowed; allowed < 7 || limited != 10-(allowed-6) {
		t.Errorf("%d of 10 are beyond the limit where 6 of %d were spent a moment ago", limited, allowed)
	}
}

func mustView(x *Engine, now monotime.Micros) coordination.View {
	v, _ := x.FleetView(now)
	return v
}

// An endpoint that others suspect of failing a class is left out for that class, and not for the other; what is told no more ends.
func TestSuspects(t *testing.T) {
	x, p, h := fleetOf(t, tenantSite(0, 100, 0), &CoordinationScope{SuspectedEndpoints: true}, nil)
	now := monotime.Micros(5 * second)
	x.HandOverCoordination(now) // it hears nobody but this test
	run(x, now)
	count := func(class uint8) (part float64) {
		all, there := 0, 0
		for i := range 300 {
			c, _ := NewClient(fairqueue.ClientSpec{Weight: 1})
			x.Submit(now, &Call{Client: c, Pool: p, ID: fmt.Sprint(class, i), ArrivedAt: now, Request: balancer.Request{Class: class, Tenant: 1, Deadline: now + 500_000}})
			n, e1 := h.served(x, now+20_000)
			all, there = all+n, there+e1
			now += 50_000
			run(x, now)
		}
		return float64(there) / float64(all)
	}
	count(0)
	before := count(1)
	x.applyObservations(now, &observations.Aggregate{Suspects: []observations.Suspect{{Endpoint: "e1", Class: 1, AvoidProbability: 0.95}, {Endpoint: "gone", Class: 0, AvoidProbability: 1}}})
	if suspected, other := count(1), count(0); suspected > 0.04 || other < 0.06 { // without probes the one that seems fastest gets most, whichever that is
		t.Errorf("%.2f go to the one that is suspected, %.2f before, %.2f of the other class", suspected, before, other)
	}
	x.applyObservations(now, &observations.Aggregate{})
	if n := count(1); n < 0.06 {
		t.Errorf("%.2f go there once nothing is held against it, %.2f before", n, before)
	}
}

// With others what an instance may try again by itself is a part, and what is lent is spent beside that.
func TestFurtherLent(t *testing.T) {
	o := overload.DefaultSettings()
	o.Instances = 1
	x, p, h := fleetOf(t, tenantSite(0, 1, 0), &CoordinationScope{Retries: true}, &o)
	further := 0
	for now := monotime.Micros(0); now < 30*second; now += second / 50 {
		run(x, now)
		submit(t, x, p, now, fmt.Sprint(now), 1)
		for len(h.started) > 0 {
			a := h.started[0]
			h.started = slices.Delete(h.started, 0, 1)
			if a.Number > 0 && now > 10*second {
				further++
			}
			status := balancer.OK
			if now/20_000%10 == 0 && a.Number == 0 { // one in ten fails once
				status = balancer.Error
			}
			x.AttemptEnded(now, a, AttemptResult{Status: status, At: now})
		}
	}
	if further < 80 {
		t.Errorf("%d of 100 failures are tried again, of a budget of a fifth of all", further)
	}
	if v := mustView(x, 30*second); v.Loan == 0 || v.Shares[0].Budget != "further" || v.Shares[0].Allowed == 0 {
		t.Errorf("%+v", v)
	}
}

// What a request costs the engine alone and with others, in one run: what a process adds around it is many times that.
func BenchmarkTogether(b *testing.B) {
	for _, c := range []struct {
		name string
		uses *CoordinationScope
	}{{"alone", nil}, {"with others", &CoordinationScope{Retries: true, Probes: true, TenantLimits: true, OverloadLevel: true, SuspectedEndpoints: true}}} {
		b.Run(c.name, func(b *testing.B) {
			o := overload.DefaultSettings()
			o.Instances = 1
			x, p, h := fleetOf(b, tenantSite(0, 1, 0), c.uses, &o)
			now := monotime.Micros(5 * second)
			run(x, now)
			for b.Loop() {
				submit(b, x, p, now, "x", 1)
				h.served(x, now+1000)
				now += 2000
				run(x, now)
			}
		})
	}
}
