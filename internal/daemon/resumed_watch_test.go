package daemon

import (
	"testing"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
)

// Guards against keyed requests that are not retried after an upgrade from a build that does not store which cells are
// known: the successor fetches the complete list then, and otherwise only what has changed.
func TestSuccessorFetchesCellsThatAreNotStored(t *testing.T) {
	for firstRequest, info := range map[string]engine.EndpointInfo{
		" ":   {Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"},
		"1 7": {Name: "s-1", Addr: "127.0.0.1:1", Zone: "a", CellKnown: true},
	} {
		server := scripteddiscovery.New(t)
		p := &pool{}
		p.config.Discovery = server.Addr
		fleet := newTestFleet(t, 0, endpoint.Options{})
		g := &generation{pools: pools{"": p}, log: testLog()}
		g.options.Config = fleet.config(t)
		p.firstWatcher = g.newWatcher(p, p.config)
		l := &lifecycle{generation: g}
		l.resumeWatches(&engine.Snapshot{Pools: []engine.PoolSnapshot{
			{Source: p.config.Source(), Generation: 7, Endpoints: []engine.EndpointInfo{info}},
		}})
		source := discovery.NewContinuousSource(p.firstWatcher)
		source.SetWatching(true)
		if got := scriptedpeer.Receive(t, server.Requests, "request"); got != firstRequest {
			t.Errorf("%+v: first request %q, want %q", info, got, firstRequest)
		}
		source.Close()
	}
}
