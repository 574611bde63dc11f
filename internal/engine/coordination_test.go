package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

// Without a fleet, a tenant's limit is divided according to the number of instances and the position of this
// one. A request over the limit is rejected at once, with a Retry-After.
func TestTenantLimitIsDividedStatically(t *testing.T) {
	for position, want := range []int{4, 3, 3} {
		engine, p, h := newEngine(t, tenantSite(10, 3, position), nil, nil)
		now := 5 * monotime.Second
		advanceTo(engine, now)
		admitted := 0
		for i := range 8 {
			submit(t, engine, p, now, fmt.Sprint(i), 0)
			submit(t, engine, p, now, fmt.Sprint("free", i), 1)
			served, _ := h.serveAll(engine, now+20_000)
			admitted += served - 1
			now += 50_000
			advanceTo(engine, now)
		}
		for id, r := range h.responses {
			if r.Verdict == Served {
				continue
			}
			if r.Verdict != RateLimited || r.RetryAfter <= 0 || r.RetryAfter > 400_000 || id[0] == 'f' {
				t.Errorf("request %s: response %+v, want RateLimited, Retry-After up to 400 ms, tenant t only",
					id, r)
			}
		}
		if admitted != want {
			t.Errorf("position %d: %d requests admitted, want %d", position, admitted, want)
		}
	}
}

// A tenant's requests spend its quota. After a handover only the successor can spend it.
func TestTenantQuotaIsSpentAndHandedOver(t *testing.T) {
	engine, p, h := newEngine(t, tenantSite(10, 1, 0), &CoordinationScope{TenantLimits: true}, nil)
	now := 20 * monotime.Second
	advanceTo(engine, now)
	for i := range 6 {
		submit(t, engine, p, now, fmt.Sprint(i), 0)
		if n, _ := h.serveAll(engine, now+1000); n != 1 {
			t.Fatalf("request %d was rejected under a limit of 10 per second: %+v", i+1, fleetView(t, engine, now))
		}
	}
	state := engine.HandOverCoordination(now)
	submit(t, engine, p, now, "handed over", 0)
	if h.responses["handed over"].Verdict != RateLimited {
		t.Error("a request was admitted after the quota had been handed over")
	}
	successor, pool, host := newEngine(t, tenantSite(10, 1, 0), &CoordinationScope{TenantLimits: true}, nil)
	successor.HandOverCoordination(0)
	successor.RestoreCoordination(now+1000, 1000, state)
	limited := 0
	for i := range 10 {
		submit(t, successor, pool, now+1000, fmt.Sprint(i), 0)
		if host.responses[fmt.Sprint(i)].Verdict == RateLimited {
			limited++
		}
	}
	if allowed := fleetView(t, successor, now+1000).Budgets[0].Allowed; allowed < 7 || limited != 10-(allowed-6) {
		t.Errorf("%d of 10 requests exceed the limit after the predecessor spent 6 of %d units", limited, allowed)
	}
}

// An endpoint that the aggregated observations report as suspected for one class is avoided for that class
// only, and only as long as the observations report it.
func TestSuspectedEndpointIsAvoidedForItsClass(t *testing.T) {
	engine, p, h := newEngine(t, tenantSite(0, 100, 0), &CoordinationScope{SuspectedEndpoints: true}, nil)
	now := 5 * monotime.Second
	engine.HandOverCoordination(now) // the engine then gets only the observations of this test
	advanceTo(engine, now)
	shareOfE1 := func(class uint8) float64 {
		total, atE1 := 0, 0
		for i := range 300 {
			request := balancer.Request{Class: class, Tenant: 1, Deadline: now + 500_000}
			engine.Submit(now, newCall(t, p, now, fmt.Sprint(class, i), request))
			sent, sentToE1 := h.serveAll(engine, now+20_000)
			total += sent
			atE1 += sentToE1
			now += 50_000
			advanceTo(engine, now)
		}
		return float64(atE1) / float64(total)
	}
	shareOfE1(0)
	before := shareOfE1(1)
	engine.applyObservations(now, &observations.Aggregate{Suspects: []observations.Suspect{
		{Endpoint: "e1", Class: 1, AvoidProbability: 0.95},
		{Endpoint: "gone", Class: 0, AvoidProbability: 1},
	}})
	// Without probes, most requests go to one endpoint, the one whose estimated latency is lowest, which may be
	// any.
	if suspected, otherClass := shareOfE1(1), shareOfE1(0); suspected > 0.04 || otherClass < 0.06 {
		t.Errorf("requests to the suspected endpoint: share %.2f, before %.2f, in the other class %.2f",
			suspected, before, otherClass)
	}
	engine.applyObservations(now, &observations.Aggregate{})
	if share := shareOfE1(1); share < 0.06 {
		t.Errorf("share of requests to the endpoint after the suspicion: %.2f, before it %.2f", share, before)
	}
}

// In a fleet, retries beyond the instance's own reserve spend the fleet's quota.
func TestRetriesSpendFleetQuota(t *testing.T) {
	overloadSettings := overload.DefaultSettings()
	overloadSettings.Instances = 1
	engine, p, h := newEngine(t, tenantSite(0, 1, 0), &CoordinationScope{Retries: true}, &overloadSettings)
	retries := 0
	for now := monotime.Micros(0); now < 30*monotime.Second; now += monotime.Second / 50 {
		advanceTo(engine, now)
		submit(t, engine, p, now, fmt.Sprint(now), 1)
		for len(h.started) > 0 {
			a := h.nextAttempt()
			if a.Number > 0 && now > 10*monotime.Second {
				retries++
			}
			status := balancer.OK
			if now/20_000%10 == 0 && a.Number == 0 { // the first attempt of one request in ten fails
				status = balancer.Error
			}
			engine.AttemptEnded(now, a, AttemptResult{Status: status, ObservedAt: now})
		}
	}
	if retries < 80 {
		t.Errorf("%d of 100 failures were retried, want at least 80: the budget is a fifth of all requests", retries)
	}
	view := fleetView(t, engine, 30*monotime.Second)
	if view.LeaseRemaining == 0 || view.Budgets[0].Budget != "further" || view.Budgets[0].Allowed == 0 {
		t.Errorf("fleet view without a lease or retry quota: %+v", view)
	}
}

// Measures the time per request in the engine, without and with coordination in a fleet. The rest of the
// process takes many times as long per request.
func BenchmarkCoordination(b *testing.B) {
	fullScope := CoordinationScope{Retries: true, Probes: true, TenantLimits: true, OverloadLevel: true,
		SuspectedEndpoints: true}
	for _, c := range []struct {
		name  string
		scope *CoordinationScope
	}{{"alone", nil}, {"with others", &fullScope}} {
		b.Run(c.name, func(b *testing.B) {
			overloadSettings := overload.DefaultSettings()
			overloadSettings.Instances = 1
			engine, p, h := newEngine(b, tenantSite(0, 1, 0), c.scope, &overloadSettings)
			now := 5 * monotime.Second
			advanceTo(engine, now)
			for b.Loop() {
				submit(b, engine, p, now, "x", 1)
				h.serveAll(engine, now+1000)
				now += 2000
				advanceTo(engine, now)
			}
		})
	}
}
