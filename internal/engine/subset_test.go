package engine

import (
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// An instance with few requests uses few endpoints.
func TestQuietInstanceUsesFewEndpoints(t *testing.T) {
	h, c, _ := newQuietInstance(t, 0)
	h.run(c, 1_000*monotime.Second, 400, monotime.Second/5)
	if len(h.attempts) < 3 || len(h.attempts) > 9 || h.verdicts[Served] != 400 {
		t.Errorf("%d endpoints used, verdicts %v", len(h.attempts), h.verdicts)
	}
}

// If all members of the subset fail, the subset widens, and other endpoints serve requests within a few
// seconds. An endpoint that returns to the subset is not treated as recently started, because it was running
// all the time.
func TestSubsetWidensWhenAllMembersFail(t *testing.T) {
	h, c, _ := newQuietInstance(t, 0)
	now := h.run(c, 1_000*monotime.Second, 100, monotime.Second/5)
	membersBefore, _, _ := h.pool.subsetSize()
	for name := range h.pool.byName {
		h.failing[name] = true
	}
	now = h.run(c, now, 100, monotime.Second/5)
	members, listed, widened := h.pool.subsetSize()
	if widened == 0 || members <= membersBefore || listed != 60 {
		t.Fatalf("subset of %d of %d endpoints, widened %d times", members, listed, widened)
	}
	h.verdicts = map[Verdict]int{}
	now = h.run(c, now, 100, monotime.Second/5)
	if h.verdicts[Served] < 90 {
		t.Errorf("verdicts after widening: %v, want at least 90 served", h.verdicts)
	}
	h.failing = map[string]bool{}
	now = h.run(c, now, 1500, monotime.Second/5)
	if _, _, widened := h.pool.subsetSize(); widened != 0 {
		t.Errorf("all endpoints serve again, but the subset remains widened %d times", widened)
	}
	for name, info := range h.pool.endpointList {
		if info.StartedAt > 1 {
			t.Errorf("endpoint %s has start time %d, want at most 1", name, info.StartedAt)
		}
	}
	h.verdicts = map[Verdict]int{}
	h.run(c, now, 100, monotime.Second/5)
	if h.verdicts[Served] != 100 {
		t.Errorf("verdicts after narrowing: %v, want 100 served", h.verdicts)
	}
}

// Probes stay within the instance's share of the endpoints' probe budgets. Requests that would wait for a
// suppressed probe are sent at once.
func TestProbesStayWithinSubsetBudget(t *testing.T) {
	h, c, _ := newQuietInstance(t, 5) // 60 endpoints * 5 probes/s, shared by 5,000 instances: 0.06 probes/s
	h.run(c, 1_000*monotime.Second, 1000, monotime.Second/5)
	if maxProbes := 1 + 0.06*201; float64(h.probes) > maxProbes || h.probes < 5 {
		t.Errorf("%d probes in 201 s, want 5 to %.0f", h.probes, maxProbes)
	}
	if h.verdicts[Served] != 1000 {
		t.Errorf("verdicts %v, want 1000 served", h.verdicts)
	}
}

// When deltas change the full list, a removed member is replaced, an added endpoint counts as recently started,
// and a snapshot contains the full list.
func TestSubsetFollowsFullEndpointList(t *testing.T) {
	h, c, list := newQuietInstance(t, 0)
	now := h.run(c, 1_000*monotime.Second, 10, monotime.Second/5)
	membersBefore, _, _ := h.pool.subsetSize()
	var removed string
	for name := range h.pool.byName {
		removed = name
	}
	added := EndpointInfo{Name: "s-new", Addr: "10.0.1.1:80", Zone: "a", Weight: 1}
	removal := EndpointInfo{Name: removed, State: balancer.Gone}
	h.pool.UpdateEndpoints(now, EndpointUpdate{Kind: balancer.ListDelta, Generation: 2,
		Endpoints: []EndpointInfo{removal, added}})
	membersAfter, listed, _ := h.pool.subsetSize()
	if listed != 60 || h.pool.byName[removed] != nil || membersAfter < membersBefore-1 {
		t.Errorf("subset of %d of %d endpoints, %d members before; removed endpoint is still a member: %v",
			membersAfter, listed, membersBefore, h.pool.byName[removed] != nil)
	}
	if got := h.pool.subset.endpoints["s-new"].StartedAt; got != now {
		t.Errorf("added endpoint has start time %d, want %d", got, now)
	}
	// A further full list does not change the start time of a listed endpoint. An endpoint that was removed and
	// returns counts as recently started.
	fullList := append(append([]EndpointInfo{}, list...), added)
	h.pool.UpdateEndpoints(now+monotime.Second,
		EndpointUpdate{Kind: balancer.ListFull, Generation: 3, Endpoints: fullList})
	if got := h.pool.subset.endpoints["s-new"].StartedAt; got != now {
		t.Errorf("added endpoint has start time %d after a full list, want %d", got, now)
	}
	if got := h.pool.subset.endpoints[removed].StartedAt; got != now+monotime.Second {
		t.Errorf("returned endpoint has start time %d, want %d", got, now+monotime.Second)
	}
	h.pool.UpdateEndpoints(now+monotime.Second, EndpointUpdate{Kind: balancer.ListDelta, Generation: 4,
		Endpoints: []EndpointInfo{removal}})
	if listLength := len(h.engine.Snapshot(now).Pools[0].Endpoints); listLength != len(list) {
		t.Errorf("the snapshot has %d endpoints, want the full list", listLength)
	}
}

// The subset grows when the request rate of a quiet instance suddenly rises, and shrinks again when it falls.
func TestSubsetGrowsWithLoad(t *testing.T) {
	h, c, _ := newQuietInstance(t, 0)
	now := h.run(c, 1_000*monotime.Second, 50, monotime.Second/5)
	membersBefore, _, _ := h.pool.subsetSize()
	h.attempts = map[string]int{}
	now = h.run(c, now, 3000, monotime.Second/1500) // 1,500 requests/s at 20 ms each: 30 in flight
	if members, _, _ := h.pool.subsetSize(); members < 2*membersBefore || len(h.attempts) < 2*membersBefore {
		t.Errorf("%d members and %d endpoints used under load, %d members before",
			members, len(h.attempts), membersBefore)
	}
	h.run(c, now, 300, monotime.Second/5)
	if members, _, _ := h.pool.subsetSize(); members != membersBefore {
		t.Errorf("%d members after the rate has fallen, %d before it rose", members, membersBefore)
	}
}

// Measures the time per request in the engine and balancer at a thousand requests per second, with a subset and
// without.
func BenchmarkSubset(b *testing.B) {
	fourMembers := &subset.Settings{Position: 77, Instances: 5000, MinMembers: 4, EndpointProbes: 2}
	for name, subsetSettings := range map[string]*subset.Settings{"all": nil, "four": fourMembers} {
		b.Run(name, func(b *testing.B) {
			h, c, _ := newInstance(b, subsetSettings)
			now := h.run(c, 1_000*monotime.Second, 2000, 1000)
			b.ReportAllocs()
			b.ResetTimer()
			h.run(c, now, b.N, 1000)
		})
	}
}
