package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/observations"
	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/monotime"
)

// Without a fleet a tenant's limit is divided by number and position of instances. A request beyond it is rejected at
// once, with a time to retry.
func TestTenantLimitIsDividedStatically(t *testing.T) {
	for position, want := range []int{4, 3, 3} {
		x, p, h := newEngine(t, tenantSite(10, 3, position), nil, nil)
		now := 5 * monotime.Second
		advanceTo(x, now)
		admitted := 0
		for i := range 8 {
			submit(t, x, p, now, fmt.Sprint(i), 0)
			submit(t, x, p, now, fmt.Sprint("free", i), 1)
			n, _ := h.serveAll(x, now+20_000)
			admitted += n - 1
			now += 50_000
			advanceTo(x, now)
		}
		for id, r := range h.responses {
			if r.Verdict == Served {
				continue
			}
			if r.Verdict != RateLimited || r.RetryAfter <= 0 || r.RetryAfter > 400_000 || id[0] == 'f' {
				t.Errorf("%s: %+v", id, r)
			}
		}
		if admitted != want {
			t.Errorf("position %d: %d are admitted, want %d", position, admitted, want)
		}
	}
}

// A tenant's quota is spent by its requests; once it is handed over, only the successor spends it.
func TestTenantQuotaIsSpentAndHandedOver(t *testing.T) {
	x, p, h := newEngine(t, tenantSite(10, 1, 0), &CoordinationScope{TenantLimits: true}, nil)
	now := 20 * monotime.Second
	advanceTo(x, now)
	for i := range 6 {
		submit(t, x, p, now, fmt.Sprint(i), 0)
		if n, _ := h.serveAll(x, now+1000); n != 1 {
			t.Fatalf("request %d is rejected, of 10 a second: %+v", i+1, fleetView(t, x, now))
		}
	}
	state := x.HandOverCoordination(now)
	submit(t, x, p, now, "handed over", 0)
	if h.responses["handed over"].Verdict != RateLimited {
		t.Error("a request is admitted by quota that was handed over")
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
		t.Errorf("%d of 10 are beyond the limit where 6 of %d were spent a moment ago", limited, allowed)
	}
}

// An endpoint that is suspected of failing a class is avoided for that class, and not for another, as long as it is in
// the observations of all instances.
func TestSuspectedEndpointIsAvoidedForItsClass(t *testing.T) {
	x, p, h := newEngine(t, tenantSite(0, 100, 0), &CoordinationScope{SuspectedEndpoints: true}, nil)
	now := 5 * monotime.Second
	x.HandOverCoordination(now) // it gets no observations but this test's
	advanceTo(x, now)
	shareOfE1 := func(class uint8) float64 {
		all, atE1 := 0, 0
		for i := range 300 {
			request := balancer.Request{Class: class, Tenant: 1, Deadline: now + 500_000}
			x.Submit(now, newCall(t, p, now, fmt.Sprint(class, i), request))
			n, e1 := h.serveAll(x, now+20_000)
			all += n
			atE1 += e1
			now += 50_000
			advanceTo(x, now)
		}
		return float64(atE1) / float64(all)
	}
	shareOfE1(0)
	before := shareOfE1(1)
	x.applyObservations(now, &observations.Aggregate{Suspects: []observations.Suspect{
		{Endpoint: "e1", Class: 1, AvoidProbability: 0.95},
		{Endpoint: "gone", Class: 0, AvoidProbability: 1},
	}})
	// Without probes the endpoint that seems fastest gets most requests, whichever that is.
	if suspected, other := shareOfE1(1), shareOfE1(0); suspected > 0.04 || other < 0.06 {
		t.Errorf("%.2f go to the suspected endpoint, %.2f before, %.2f of the other class", suspected, before, other)
	}
	x.applyObservations(now, &observations.Aggregate{})
	if n := shareOfE1(1); n < 0.06 {
		t.Errorf("%.2f go there once it is not suspected any more, %.2f before", n, before)
	}
}

// In a fleet, retries beyond the instance's own reserve spend its quota.
func TestRetriesSpendFleetQuota(t *testing.T) {
	o := overload.DefaultSettings()
	o.Instances = 1
	x, p, h := newEngine(t, tenantSite(0, 1, 0), &CoordinationScope{Retries: true}, &o)
	retries := 0
	for now := monotime.Micros(0); now < 30*monotime.Second; now += monotime.Second / 50 {
		advanceTo(x, now)
		submit(t, x, p, now, fmt.Sprint(now), 1)
		for len(h.started) > 0 {
			a := h.nextAttempt()
			if a.Number > 0 && now > 10*monotime.Second {
				retries++
			}
			status := balancer.OK
			if now/20_000%10 == 0 && a.Number == 0 { // one in ten fails once
				status = balancer.Error
			}
			x.AttemptEnded(now, a, AttemptResult{Status: status, ObservedAt: now})
		}
	}
	if retries < 80 {
		t.Errorf("%d of 100 failures are retried, of a budget of a fifth of all", retries)
	}
	v := fleetView(t, x, 30*monotime.Second)
	if v.LeaseRemaining == 0 || v.Budgets[0].Budget != "further" || v.Budgets[0].Allowed == 0 {
		t.Errorf("%+v", v)
	}
}

// The engine's work for a request without and with a fleet. The process around it adds many times that.
func BenchmarkCoordination(b *testing.B) {
	all := CoordinationScope{Retries: true, Probes: true, TenantLimits: true, OverloadLevel: true,
		SuspectedEndpoints: true}
	for _, c := range []struct {
		name  string
		scope *CoordinationScope
	}{{"alone", nil}, {"with others", &all}} {
		b.Run(c.name, func(b *testing.B) {
			o := overload.DefaultSettings()
			o.Instances = 1
			x, p, h := newEngine(b, tenantSite(0, 1, 0), c.scope, &o)
			now := 5 * monotime.Second
			advanceTo(x, now)
			for b.Loop() {
				submit(b, x, p, now, "x", 1)
				h.serveAll(x, now+1000)
				now += 2000
				advanceTo(x, now)
			}
		})
	}
}
