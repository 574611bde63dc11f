package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/siteconfig"
)

// host is a host whose endpoints answer at once, but for those that fail.
type host struct {
	x        *Engine
	p        *Pool
	fails    map[string]bool
	to       map[string]int // attempts
	probes   int
	answered map[Verdict]int
}

type nothing struct{}

func (nothing) Drop() {}

func (h *host) NewTarget(string) Target { return nothing{} }
func (h *host) StartAttempt(a *Attempt) {
	h.to[a.Endpoint.Name]++
	status := balancer.OK
	if h.fails[a.Endpoint.Name] {
		status = balancer.Error
	}
	h.x.schedule(a.StartedAt+20_000, func(now monotime.Micros) { h.x.recordOutcome(now, a, AttemptResult{Status: status, At: now}) })
}
func (h *host) CancelUnsent(*Attempt) bool { return false }
func (h *host) AbortAttempt(*Attempt)      {}
func (h *host) AttemptTimedOut(*Attempt)   {}
func (h *host) StartProbe(p *Pool, e *Endpoint) {
	h.probes++
	sent := h.x.now
	h.x.schedule(sent+1000, func(now monotime.Micros) {
		p.balancer.Probed(now, e.Number, balancer.OK, now-sent, []float32{1})
	})
}
func (h *host) Respond(_ *Call, a Response) { h.answered[a.Verdict]++ }
func (h *host) EndpointReady()              {}
func (h *host) Log(string, ...any)          {}
func (h *host) Warn(string, ...any)         {}

// quiet is an instance of a fleet of 5,000 that deals with four of sixty endpoints.
func quiet(t testing.TB, probes float64) (*host, *Client, []EndpointInfo) {
	t.Helper()
	return instance(t, &subset.Settings{Position: 77, Instances: 5000, MinMembers: 4, EndpointProbes: probes})
}

// instance is one that deals with a part of sixty endpoints, or with all.
func instance(t testing.TB, part *subset.Settings) (*host, *Client, []EndpointInfo) {
	t.Helper()
	s := balancer.Settings{Balancers: 5000, Zones: 1, Fields: []balancer.Field{balancer.FieldInflight},
		Classes: []balancer.Class{{Name: "look", Aim: 200_000, GiveUp: 500_000, Worth: 1}},
		Limits:  balancer.Limits{Probes: true, SecondCopies: true, MaxAttempts: 3, MaxOpen: 100, DialTimeout: 100_000},
		Contract: balancer.Contract{DrainGrace: 250_000, ColdFrom: 0.2, RampTime: 20 * second, FallMultiple: 2.5,
			OverloadFor: 2 * second, AskWithin: 10 * second}, Goal: balancer.Goal{Whole: 1}}
	h := &host{fails: map[string]bool{}, to: map[string]int{}, answered: map[Verdict]int{}}
	h.x = New(Config{Site: &siteconfig.Site{Settings: s, Classes: []string{"look"}, Zones: []string{"a"}}, Seed: 5, Host: h})
	var list []EndpointInfo
	for i := range 60 {
		list = append(list, EndpointInfo{Name: fmt.Sprintf("s-%d", i), Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a", Weight: 1})
	}
	var err error
	h.p, err = h.x.NewPool(PoolConfig{InitialEndpoints: EndpointUpdate{Generation: 1, Endpoints: list}, Watch: func(bool) {},
		Subset: part})
	if err != nil {
		t.Fatal(err)
	}
	h.p.Start(1_000 * second)
	c, err := NewClient(fairqueue.ClientSpec{Name: "c", Weight: 1})
	if err != nil {
		t.Fatal(err)
	}
	return h, c, list
}

// run asks for so many requests, some a second, and returns when the last is over.
func (h *host) run(c *Client, now monotime.Micros, n int, gap monotime.Micros) monotime.Micros {
	advance := func(to monotime.Micros) {
		for at, ok := h.x.Next(); ok && at <= to; at, ok = h.x.Next() {
			h.x.Advance(at)
		}
		h.x.Advance(to)
	}
	for i := range n {
		now += gap
		advance(now)
		h.x.Submit(now, &Call{Client: c, Pool: h.p, ID: fmt.Sprint(now, i), Request: balancer.Request{Deadline: now + 500_000}, ArrivedAt: now})
	}
	now += second
	advance(now)
	return now
}

func TestQuietInstanceDealsWithFew(t *testing.T) {
	h, c, _ := quiet(t, 0)
	h.run(c, 1_000*second, 400, second/5)
	if len(h.to) < 3 || len(h.to) > 9 || h.answered[Served] != 400 {
		t.Errorf("%d endpoints used, answers %v", len(h.to), h.answered)
	}
}

// All of the subset turns bad: the instance widens, and is served by others within a few seconds. What comes back in when it
// narrows was up all the time, and is not taken for one that has just started.
func TestQuietInstanceWidens(t *testing.T) {
	h, c, _ := quiet(t, 0)
	now := h.run(c, 1_000*second, 100, second/5)
	own, _, _ := h.p.Subset()
	for name := range h.p.byName {
		h.fails[name] = true
	}
	now = h.run(c, now, 100, second/5)
	members, of, widened := h.p.Subset()
	if widened == 0 || members <= own || of != 60 {
		t.Fatalf("%d of %d members, widened %d times", members, of, widened)
	}
	h.answered = map[Verdict]int{}
	now = h.run(c, now, 100, second/5)
	if h.answered[Served] < 90 {
		t.Errorf("after widening: %v", h.answered)
	}
	h.fails = map[string]bool{}
	now = h.run(c, now, 1500, second/5)
	if _, _, widened := h.p.Subset(); widened != 0 {
		t.Errorf("all are well, and it stays widened %d times", widened)
	}
	for name, m := range h.p.endpointList {
		if m.StartedAt > 1 {
			t.Errorf("%s counts as started at %d", name, m.StartedAt)
		}
	}
	h.answered = map[Verdict]int{}
	h.run(c, now, 100, second/5)
	if h.answered[Served] != 100 {
		t.Errorf("narrow again: %v", h.answered)
	}
}

// Probes stay within what endpoints have for the fleet, and requests that would wait for one go on at once.
func TestQuietInstanceProbesWithinItsPart(t *testing.T) {
	h, c, _ := quiet(t, 5) // 60 endpoints times five a second, for 5,000: 0.06 a second
	h.run(c, 1_000*second, 1000, second/5)
	if most := 1 + 0.06*201; float64(h.probes) > most || h.probes < 5 {
		t.Errorf("%d probes in 201 s, %.0f at most", h.probes, most)
	}
	if h.answered[Served] != 1000 {
		t.Errorf("%v", h.answered)
	}
}

// News of the whole list by deltas: a member that goes is replaced, one that appears later has just started, and a snapshot
// has all of the list.
func TestQuietInstanceHearsOfTheWholeList(t *testing.T) {
	h, c, list := quiet(t, 0)
	now := h.run(c, 1_000*second, 10, second/5)
	before, _, _ := h.p.Subset()
	var gone string
	for name := range h.p.byName {
		gone = name
	}
	fresh := EndpointInfo{Name: "s-new", Addr: "10.0.1.1:80", Zone: "a", Weight: 1}
	h.p.UpdateEndpoints(now, EndpointUpdate{Kind: balancer.ListDelta, Generation: 2, Endpoints: []EndpointInfo{{Name: gone, State: balancer.Gone}, fresh}})
	after, of, _ := h.p.Subset()
	if of != 60 || h.p.byName[gone] != nil || after < before-1 {
		t.Errorf("%d of %d members, %d before; the one that is gone is held: %v", after, of, before, h.p.byName[gone] != nil)
	}
	if got := h.p.subset.endpoints["s-new"].StartedAt; got != now {
		t.Errorf("what appeared counts as started at %d, want %d", got, now)
	}
	// Another whole list does not make it older, and what was gone and comes back has just started.
	whole := append(append([]EndpointInfo{}, list...), fresh)
	h.p.UpdateEndpoints(now+second, EndpointUpdate{Kind: balancer.ListFull, Generation: 3, Endpoints: whole})
	if got := h.p.subset.endpoints["s-new"].StartedAt; got != now {
		t.Errorf("after a whole list it counts as started at %d, want %d", got, now)
	}
	if got := h.p.subset.endpoints[gone].StartedAt; got != now+second {
		t.Errorf("what came back counts as started at %d, want %d", got, now+second)
	}
	h.p.UpdateEndpoints(now+second, EndpointUpdate{Kind: balancer.ListDelta, Generation: 4, Endpoints: []EndpointInfo{{Name: gone, State: balancer.Gone}}})
	if n := len(h.x.Snapshot(now).Pools[0].Endpoints); n != len(list) {
		t.Errorf("a snapshot with %d of the list", n)
	}
}

// A quiet instance becomes a busy one within a second: its few endpoints are not left with all of that, and what they knew
// of it stays with those that it keeps.
func TestQuietInstanceTurnsBusy(t *testing.T) {
	h, c, _ := quiet(t, 0)
	now := h.run(c, 1_000*second, 50, second/5)
	before, _, _ := h.p.Subset()
	h.to = map[string]int{}
	now = h.run(c, now, 3000, second/1500) // thirty in flight at 20 ms each
	if members, _, _ := h.p.Subset(); members < 2*before || len(h.to) < 2*before {
		t.Errorf("%d members, %d endpoints used, %d members before", members, len(h.to), before)
	}
	h.run(c, now, 300, second/5)
	if members, _, _ := h.p.Subset(); members != before {
		t.Errorf("%d members when it is quiet again, %d before", members, before)
	}
}

// What deciding a request costs with a subset and without, all of the engine's and the balancer's work for it, at a thousand
// requests a second.
func BenchmarkSubset(b *testing.B) {
	for name, part := range map[string]*subset.Settings{"all": nil, "four": {Position: 77, Instances: 5000, MinMembers: 4, EndpointProbes: 2}} {
		b.Run(name, func(b *testing.B) {
			h, c, _ := instance(b, part)
			now := h.run(c, 1_000*second, 2000, 1000)
			b.ReportAllocs()
			b.ResetTimer()
			h.run(c, now, b.N, 1000)
		})
	}
}
