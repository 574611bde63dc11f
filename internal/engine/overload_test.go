package engine

import (
	"testing"

	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
)

// Where every endpoint fails from the first request on, an instance sends each request once, probes no more than its part of
// the least, and answers all of them, although its balancer holds requests for probes that are not to be had. Once they serve
// again so does it, and further attempts come back with what is accepted.
func TestNothingAcceptedNothingAdded(t *testing.T) {
	h, c, list := instance(t, nil)
	o := overload.DefaultSettings()
	o.Instances = 60
	var err error
	if h.p, err = h.x.NewPool(PoolConfig{Name: "o", Overload: &o, InitialEndpoints: EndpointUpdate{Generation: 1, Endpoints: list}, Watch: func(bool) {}}); err != nil {
		t.Fatal(err)
	}
	h.p.Start(1_000 * second)
	for _, m := range list {
		h.fails[m.Name] = true
	}
	now := h.run(c, 1_000*second, 300, second/50)
	sent := 0
	for _, n := range h.to {
		sent += n
	}
	// A probe a second at each of sixty endpoints, for sixty instances; what it begins with and saves up beside that.
	if sent > 300 || h.probes > 14 {
		t.Errorf("%d attempts for 300 requests, %d probes in 7 s", sent, h.probes)
	}
	if n := h.answered[Rejected] + h.answered[Failed] + h.answered[TimedOut]; n != 300 || h.x.Calls() != 0 {
		t.Errorf("%d of 300 are answered, %d are open: %v", n, h.x.Calls(), h.answered)
	}
	if b := h.p.overload.decided; b.RetryAllowed || b.Reason == overload.None {
		t.Errorf("bounds %+v", b)
	}
	if f := h.x.Statistics(now); !f.OverloadControlled || f.SuppressedProbes == 0 || f.OverloadLevel > 1 {
		t.Errorf("figures %+v", f)
	}
	h.fails, h.answered = map[string]bool{}, map[Verdict]int{}
	h.run(c, now, 1000, second/50)
	if h.answered[Served] < 900 {
		t.Errorf("once endpoints serve again: %v", h.answered)
	}
	if b := h.p.overload.decided; b.Reason != overload.None || b.Level < 0.9 {
		t.Errorf("bounds %+v", b)
	}
}

// An instance that takes over from another begins at its level, and with none of its budgets.
func TestTakesOverTheLevel(t *testing.T) {
	h, c, list := instance(t, nil)
	o := overload.DefaultSettings()
	o.Instances = 60
	pool := func() *Pool {
		p, err := h.x.NewPool(PoolConfig{Name: "o", Overload: &o, InitialEndpoints: EndpointUpdate{Generation: 1, Endpoints: list}, Watch: func(bool) {}})
		if err != nil {
			t.Fatal(err)
		}
		p.Start(1_000 * second)
		return p
	}
	h.p = pool()
	now := h.run(c, 1_000*second, 10, second/50)
	const had = 0.37
	h.p.overload.control.RestoreLevel(had)
	s := h.x.Snapshot(now)
	h.x.pools = nil
	next := pool()
	h.x.Restore(now, 0, s)
	if level := next.overload.control.Level(); level != had {
		t.Errorf("the level was %v, and is %v after the takeover", had, level)
	}
	if b := next.overload.control.Bounds(now); b.RetryAllowed {
		t.Error("a further attempt without anything accepted")
	}
}

// The fleet's endpoints are all that are listed and not out by hand, also where an instance deals with four of them.
func TestCountsTheFleetsEndpoints(t *testing.T) {
	for _, part := range []*subset.Settings{nil, {Position: 77, Instances: 5000, MinMembers: 4}} {
		h, _, list := instance(t, nil)
		o := overload.DefaultSettings()
		o.Instances = 600
		var err error
		h.p, err = h.x.NewPool(PoolConfig{Name: "o", Overload: &o, Subset: part, RetryShare: 0.01, InitialEndpoints: EndpointUpdate{Generation: 1, Endpoints: list}, Watch: func(bool) {}})
		if err != nil {
			t.Fatal(err)
		}
		h.p.Start(1_000 * second)
		// A probe a second at each of sixty, over six hundred instances, by one that is served nothing.
		least := func() float64 { return h.p.overload.control.Bounds(1_000 * second).ProbeRate }
		if got := least(); got < 0.099 || got > 0.101 {
			t.Errorf("subset %v: %v probes a second", part != nil, got)
		}
		for i := range 30 {
			h.x.SetCordon(1_000*second, list[i].Name, true, 1)
		}
		if got := least(); got < 0.049 || got > 0.051 {
			t.Errorf("subset %v, half out by hand: %v probes a second", part != nil, got)
		}
	}
}
