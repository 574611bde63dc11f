package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/fake/require"
)

// newEngineOfPools returns an engine without pools.
func newEngineOfPools(host *recordingHost) *Engine {
	return New(Config{
		Site: tenantSite(0, 1, 0), Seed: 1, Host: host, Concurrency: ConcurrencySettings{MaxOpen: 100},
	})
}

// startPoolOf starts a pool of a source without a list. Its SetWatch and OnSourceUnused add to events.
func startPoolOf(t *testing.T, engine *Engine, source string, events *[]string) *Pool {
	t.Helper()
	pool, err := engine.NewPool(PoolConfig{
		Source:           source,
		InitialEndpoints: EndpointUpdate{Generation: noGeneration},
		SetWatch:         func(bool) { *events = append(*events, source+" watched") },
		OnSourceUnused:   func() { *events = append(*events, source+" unused") },
	})
	require.NoError(t, err)
	pool.Start(0)
	return pool
}

// update passes on a complete list of one endpoint.
func (p *Pool) update(generation int64, name string) {
	endpoint := readyAt(name, name+":80")
	p.UpdateEndpoints(1_000, EndpointUpdate{
		Kind: balancer.ListFull, Generation: generation, Endpoints: []EndpointInfo{endpoint},
	})
}

// listed returns the names of a pool's endpoints.
func (p *Pool) listed() string {
	names := []string{}
	for name := range p.endpointList {
		names = append(names, name)
	}
	return fmt.Sprint(names)
}

// Guards against attempts at endpoints that have left the list of the pool in place of a replaced one: the replaced
// pool follows the newest pool that has a list, and its own source until then. Sources are needed for as long as a pool
// follows them.
func TestReplacedPoolsFollowNewestList(t *testing.T) {
	host := &recordingHost{responses: map[string]Response{}}
	engine := newEngineOfPools(host)
	var events []string
	first := startPoolOf(t, engine, "one", &events)
	first.update(7, "a")
	submit(t, engine, first, 1_000, "open", 1)
	second := startPoolOf(t, engine, "two", &events)
	third := startPoolOf(t, engine, "three", &events)
	for i, step := range []struct {
		what   func()
		listed string // by the first pool
		events string // so far
	}{
		{func() { first.Close(1_000, second) }, "[a]", "[]"},
		{func() { first.update(8, "b") }, "[b]", "[]"},
		{func() { second.update(1, "c") }, "[c]", "[one unused]"},
		{func() { first.update(9, "d") }, "[c]", "[one unused]"},
		{func() { second.Close(1_000, third) }, "[c]", "[one unused]"},
		{func() { second.update(2, "e") }, "[e]", "[one unused]"},
		{func() { third.update(1, "f") }, "[f]", "[one unused two unused]"},
		{func() { third.Close(1_000, nil) }, "[f]", "[one unused two unused]"},
		{func() { third.update(2, "g") }, "[g]", "[one unused two unused]"},
		{func() { actions{engine, first}.Watch(true) }, "[g]", "[one unused two unused]"},
		{func() { host.serveAll(engine, 2_000) }, "[]", "[one unused two unused three unused]"},
	} {
		step.what()
		if got := first.listed(); got != step.listed || fmt.Sprint(events) != step.events {
			t.Errorf("step %d: listed %s, events %v; want %s, %s", i, got, events, step.listed, step.events)
		}
	}
	if !first.Dissolved() || !second.Dissolved() || !third.Dissolved() || len(engine.pools) != 0 {
		t.Errorf("%d pools are left", len(engine.pools))
	}
}

// Guards against queued requests of a replaced pool that wait since all endpoints count as recently started: the list
// of the pool in its place has other names for them. Endpoints that come later have recently started.
func TestRenamedEndpointsOfReplacementAreWarm(t *testing.T) {
	host := &recordingHost{responses: map[string]Response{}}
	engine := newEngineOfPools(host)
	var events []string
	first := startPoolOf(t, engine, "one", &events)
	kept, renamed := readyAt("a", "a:80"), readyAt("b", "b:80")
	first.UpdateEndpoints(1_000, EndpointUpdate{Kind: balancer.ListFull, Endpoints: []EndpointInfo{kept}})
	submit(t, engine, first, 1_000, "open", 1)
	second := startPoolOf(t, engine, "two", &events)
	first.Close(1_000, second)
	second.UpdateEndpoints(1_000, EndpointUpdate{
		Kind: balancer.ListFull, Generation: 1, Endpoints: []EndpointInfo{kept, renamed},
	})
	if got := first.endpointList["a"].StartedAt; got != 0 {
		t.Errorf("a, which was known, started at %d, want no start time", got)
	}
	if got := first.endpointList["b"].StartedAt; got != longAgo {
		t.Errorf("b started at %d, want long ago", got)
	}
	second.update(2, "c")
	if got := first.endpointList["c"].StartedAt; got != 0 {
		t.Errorf("c started at %d, want no start time", got)
	}
}
