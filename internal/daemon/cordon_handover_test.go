package daemon

import (
	"context"
	"testing"

	"dunlinsail/internal/fake/endpoint"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
)

// isCordoned reports whether a generation has cordoned an endpoint.
func (g *generation) isCordoned(t *testing.T, name string) bool {
	t.Helper()
	cordons, err := g.core.Cordons(context.Background())
	require.NoError(t, err)
	for _, record := range cordons {
		if record.Name == name {
			return record.Cordoned
		}
	}
	return false
}

// Guards against queued requests and retries that a generation in its drain sends to an endpoint that an operator has
// cordoned at its successor, at the successor of that, or at itself: all generations with open requests know a cordon.
func TestCordonReachesAllGenerations(t *testing.T) {
	fleet := newTestFleet(t, 2, endpoint.Options{})
	held, release := make(chan struct{}, 2), make(chan struct{})
	fleet.holdRequests("/pay/1", held, release)
	edits := []string{"127.0.0.1:0", freeAddr(t), `"3s"`, `"20s"`, `"1s"`, `"20s"`}
	d := startDaemon(t, fleet.config(t, edits...))
	generations := []*generation{d.generation}
	for _, inFlight := range []string{"in_flight = 63", "in_flight = 62"} {
		conn := dial(t, "tcp", d.addrs["desk"])
		conn.send(t, requestText("pay", 20000, "")) // keeps the generation in its drain
		scriptedpeer.Receive(t, held, "attempt at the endpoint")
		changed := fleet.config(t, append(edits, "in_flight = 64", inFlight)...)
		generations = append(generations, d.applyConfig(t, changed))
	}
	for _, setAt := range generations {
		for _, cordoned := range []bool{true, false} {
			require.NoError(t, setAt.setCordon(context.Background(), "s-1", cordoned))
			for _, g := range generations {
				scriptedpeer.Eventually(t, "the cordon", func() bool { return g.isCordoned(t, "s-1") == cordoned })
			}
		}
	}
	close(release)
}
