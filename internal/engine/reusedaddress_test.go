package engine

import (
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
)

// startAtOneEndpoint returns a pool whose only endpoint is e0 at the address "a" (newEngine), and an attempt that waits
// for a connection to it.
func startAtOneEndpoint(t *testing.T) (*Pool, *Attempt) {
	t.Helper()
	engine, pool, host := newEngine(t, tenantSite(0, 1, 0), nil, nil)
	pool.UpdateEndpoints(1_000, EndpointUpdate{Kind: balancer.ListFull, Generation: 2,
		Endpoints: []EndpointInfo{readyAt("e0", "a")}})
	submit(t, engine, pool, 2_000, "visit-1", 1)
	return pool, host.nextAttempt()
}

// readyAt returns a list entry of an endpoint that is ready.
func readyAt(name, addr string) EndpointInfo {
	return EndpointInfo{Name: name, Addr: addr, Zone: "z", Kind: "k", State: balancer.Ready, Weight: 1}
}

// Guards against requests that are sent to a process that came up at the address of the endpoint that they were meant
// for.
func TestNothingIsSentToReusedAddress(t *testing.T) {
	const addr = "a"
	draining := readyAt("e0", addr)
	draining.State = balancer.Draining
	gone := EndpointInfo{Name: "e0", State: balancer.Gone}
	returned := readyAt("e0", addr)
	newcomer, elsewhere := readyAt("s-2", addr), readyAt("s-2", "10.0.0.2:80")
	delta := func(entries ...EndpointInfo) EndpointUpdate {
		return EndpointUpdate{Kind: balancer.ListDelta, Endpoints: entries}
	}
	full := func(entries ...EndpointInfo) EndpointUpdate {
		return EndpointUpdate{Kind: balancer.ListFull, Endpoints: entries}
	}
	for name, tc := range map[string]struct {
		updates []EndpointUpdate
		maySend bool // within the drain grace
	}{
		"removed, nothing else at its address": {[]EndpointUpdate{delta(gone, elsewhere)}, true},
		"draining":                             {[]EndpointUpdate{delta(draining, elsewhere)}, true},
		"draining, then ready again":           {[]EndpointUpdate{delta(draining), delta(returned, newcomer)}, true},
		"replaced in one change":               {[]EndpointUpdate{delta(gone, newcomer)}, false},
		"replaced in the other order":          {[]EndpointUpdate{delta(newcomer, gone)}, false},
		"replaced in two changes":              {[]EndpointUpdate{delta(gone), delta(newcomer)}, false},
		"replaced while listed as draining":    {[]EndpointUpdate{delta(draining), delta(newcomer)}, false},
		"replaced in a full list":              {[]EndpointUpdate{full(newcomer)}, false},
		"moved to another address":             {[]EndpointUpdate{delta(readyAt("e0", "10.0.0.2:80"))}, false},
	} {
		t.Run(name, func(t *testing.T) {
			pool, attempt := startAtOneEndpoint(t)
			now := monotime.Micros(10_000)
			for i, update := range tc.updates {
				now += 1_000
				update.Generation = int64(3 + i)
				pool.UpdateEndpoints(now, update)
			}
			e := attempt.Endpoint
			if got := e.MaySend(now) && e.IsAt(attempt.AddressVersion); got != tc.maySend {
				t.Errorf("the attempt may be sent: %v, want %v", got, tc.maySend)
			}
		})
	}
}
