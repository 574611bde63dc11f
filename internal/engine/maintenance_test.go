package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// maintenanceRun is a test run of an engine that follows a maintenance plan.
type maintenanceRun struct {
	engine *Engine
	pool   *Pool
	host   *recordingHost
	now    monotime.Micros
}

// attemptsByEndpoint submits a number of requests and returns how many attempts each endpoint got.
func (r *maintenanceRun) attemptsByEndpoint(t *testing.T, requests int) map[string]int {
	t.Helper()
	attempts := map[string]int{}
	for range requests {
		submit(t, r.engine, r.pool, r.now, fmt.Sprint(r.now), 1)
		for len(r.host.started) > 0 {
			a := r.host.nextAttempt()
			attempts[a.Endpoint.Name]++
			if !a.Endpoint.MaySend(r.now) {
				t.Errorf("endpoint %s was picked although MaySend is false", a.Endpoint.Name)
			}
			r.engine.AttemptEnded(r.now+20_000, a, AttemptResult{Status: balancer.OK, ObservedAt: r.now + 20_000})
		}
		r.now += 50_000
		advanceTo(r.engine, r.now)
	}
	return attempts
}

// openAttemptAtE1 submits requests until one goes to e1, and leaves that attempt open.
func (r *maintenanceRun) openAttemptAtE1(t *testing.T) {
	t.Helper()
	for range 200 {
		request := balancer.Request{Tenant: 1, Deadline: r.now + 60*monotime.Second}
		r.engine.Submit(r.now, newCall(t, r.pool, r.now, "open", request))
		if len(r.host.started) > 0 && r.host.started[0].Endpoint.Name == "e1" {
			break
		}
		r.host.serveAll(r.engine, r.now+20_000)
		r.now += 5_000
	}
	if r.engine.OpenAttempts([]string{"e1"})["e1"] != 1 {
		t.Fatalf("no attempt is open at e1: open attempts %v", r.engine.OpenAttempts([]string{"e0", "e1", "e2"}))
	}
}

// Without a plan no request is sent. With a plan, excluded endpoints get no requests, and announced endpoints
// get requests only until the lease ends; attempts that wait for a connection check that end immediately before
// they are sent. Attempts that are still open at excluded or announced endpoints at the drain deadline are
// ended.
func TestMaintenancePlan(t *testing.T) {
	engine, p, h := newEngine(t, tenantSite(0, 1, 0), nil, nil)
	r := &maintenanceRun{engine: engine, pool: p, host: h, now: 5 * monotime.Second}
	advanceTo(engine, r.now)
	engine.ApplyMaintenancePlan(r.now, MaintenancePlan{AwaitingPlan: true})
	if got := r.attemptsByEndpoint(t, 20); len(got) != 0 {
		t.Errorf("attempts before a plan is known: %v, want none", got)
	}
	leaseEnd := r.now + 10*monotime.Second
	engine.ApplyMaintenancePlan(r.now, MaintenancePlan{Excluded: []string{"e0"}, Announced: []string{"e1"},
		LeaseEnd: leaseEnd, DrainDeadline: leaseEnd + monotime.Second})
	if got := r.attemptsByEndpoint(t, 60); got["e0"] != 0 || got["e1"]+got["e2"] < 50 {
		t.Errorf("attempts with e0 excluded and e1 announced: %v", got)
	}
	// An attempt that waits for its connection while the process is suspended must not be sent if the lease has
	// ended when the process resumes.
	e1 := p.byName["e1"]
	if !e1.MaySend(leaseEnd-1) || e1.MaySend(leaseEnd) {
		t.Error("MaySend of an announced endpoint is false before the lease ends, or true after it")
	}
	r.now = leaseEnd
	advanceTo(engine, r.now)
	if got := r.attemptsByEndpoint(t, 60); got["e0"]+got["e1"] != 0 || got["e2"] == 0 {
		t.Errorf("attempts after the lease has ended: %v, want some at e2 only", got)
	}
	engine.ApplyMaintenancePlan(r.now, MaintenancePlan{Announced: []string{"e1"},
		LeaseEnd: r.now + 2*monotime.Second, DrainDeadline: r.now + 3*monotime.Second})
	r.openAttemptAtE1(t)
	advanceTo(engine, r.now+4*monotime.Second)
	if open := engine.OpenAttempts([]string{"e1"})["e1"]; open != 0 {
		t.Errorf("%d attempts are open at e1 after the drain deadline", open)
	}
}
