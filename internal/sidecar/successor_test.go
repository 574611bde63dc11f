package sidecar

import (
	"context"
	"net"
	"testing"

	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scripteddiscovery"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/takeover"
)

// Guards against keyed requests that are not retried after an upgrade from a build that does not store which cells are
// known: the successor fetches the complete list then, and otherwise only what has changed.
func TestSuccessorFetchesCellsThatAreNotStored(t *testing.T) {
	for firstRequest, endpoint := range map[string]engine.EndpointInfo{
		" ":   {Name: "s-1", Addr: "127.0.0.1:1", Zone: "a"},
		"1 7": {Name: "s-1", Addr: "127.0.0.1:1", Zone: "a", CellKnown: true},
	} {
		server := scripteddiscovery.New(t)
		parts, err := assemble(configure(t, server.Addr, nil), nil, scriptedpeer.DiscardLog)
		require.NoError(t, err)
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer listener.Close()
		parts.lifecycle = newLifecycle(parts, listener)
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		parts.start = func() {
			go parts.core.Run(ctx)
			parts.listSource.SetWatching(true)
		}
		defer parts.listSource.Close()
		offer, err := (&takeover.State{TakenAt: takeover.Monotonic(), Snapshot: &engine.Snapshot{
			Pools: []engine.PoolSnapshot{
				{Source: server.Addr, Generation: 7, Endpoints: []engine.EndpointInfo{endpoint}},
			},
		}}).Encode()
		require.NoError(t, err)
		parts.lifecycle.ReceiveOffer(takeover.Message{Payload: offer})
		require.NoError(t, parts.lifecycle.StartWithOffer())
		if got := scriptedpeer.Receive(t, server.Requests, "request"); got != firstRequest {
			t.Errorf("%+v: first request %q, want %q", endpoint, got, firstRequest)
		}
	}
}
