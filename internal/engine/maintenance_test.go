package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/monotime"
)

// An order is obeyed from its instant: nothing before one is heard, nothing to machines out, to those next in line while it holds; who waits for a
// connection looks at it last; what is open at either is ended once none has held for long, and one that is not worked on goes on warm.
func TestOrder(t *testing.T) {
	x, p, h := fleetOf(t, tenantSite(0, 1, 0), nil, nil)
	now := monotime.Micros(5 * second)
	run(x, now)
	sent := func(n int) map[string]int {
		all := map[string]int{}
		for range n {
			c, _ := NewClient(fairqueue.ClientSpec{Weight: 1})
			x.Submit(now, &Call{Client: c, Pool: p, ID: fmt.Sprint(now), ArrivedAt: now, Request: balancer.Request{Tenant: 1, Deadline: now + 500_000}})
			for len(h.started) > 0 {
				a := h.started[0]
				h.started = h.started[1:]
				all[a.Endpoint.Name]++
				if !a.Endpoint.MaySend(now) {
					t.Errorf("%s is picked, and may not be sent to", a.Endpoint.Name)
				}
				x.AttemptEnded(now+20_000, a, AttemptResult{Status: balancer.OK, At: now + 20_000})
			}
			now += 50_000
			run(x, now)
		}
		return all
	}
	x.ApplyMaintenancePlan(now, MaintenancePlan{AwaitingPlan: true})
	if got := sent(20); len(got) != 0 {
		t.Errorf("before an order is heard: %v", got)
	}
	until := now + 10*second
	x.ApplyMaintenancePlan(now, MaintenancePlan{Stopped: []string{"e0"}, Announced: []string{"e1"}, LeaseEnd: until, DrainDeadline: until + second})
	if got := sent(60); got["e0"] != 0 || got["e1"]+got["e2"] < 50 {
		t.Errorf("with one out and one ahead: %v", got)
	}
	// One that waits for its connection while the process is stopped must not go out once it wakes.
	e1 := p.byName["e1"]
	if !e1.MaySend(until-1) || e1.MaySend(until) {
		t.Error("one next in line may be sent to when the order holds no more, or not before")
	}
	now = until
	run(x, now)
	if got := sent(60); got["e0"]+got["e1"] != 0 || got["e2"] == 0 {
		t.Errorf("once it holds no more: %v", got)
	}
	x.ApplyMaintenancePlan(now, MaintenancePlan{Announced: []string{"e1"}, LeaseEnd: now + 2*second, DrainDeadline: now + 3*second})
	c, _ := NewClient(fairqueue.ClientSpec{Weight: 1})
	call := &Call{Client: c, Pool: p, ID: "open", ArrivedAt: now, Request: balancer.Request{Tenant: 1, Deadline: now + 60*second}}
	for range 200 { // until one goes to it
		x.Submit(now, call)
		if len(h.started) > 0 && h.started[0].Endpoint.Name == "e1" {
			break
		}
		h.served(x, now+20_000)
		now += 5_000
		c, _ = NewClient(fairqueue.ClientSpec{Weight: 1})
		call = &Call{Client: c, Pool: p, ID: "open", ArrivedAt: now, Request: balancer.Request{Tenant: 1, Deadline: now + 60*second}}
	}
	if x.OpenAttempts([]string{"e1"})["e1"] != 1 {
		t.Fatalf("nothing is open at e1: %v", x.OpenAttempts([]string{"e0", "e1", "e2"}))
	}
	run(x, now+4*second)
	if n := x.OpenAttempts([]string{"e1"})["e1"]; n != 0 {
		t.Errorf("%d are open there long after the order", n)
	}
}
