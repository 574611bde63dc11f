package soak

import (
	"context"
	"fmt"
	"math/rand/v2"

	"dunlinsail/internal/fake/floodclient"
)

const (
	// runsPerFlood is how many runs there are for one with a flood.
	runsPerFlood = 3
	// maxFloodConnections is the largest number of connections of a flood.
	maxFloodConnections = 6
)

// flood is another client that sends requests as fast as it can during a run. The zero flood sends nothing.
type flood struct {
	kind        floodclient.Kind
	connections int
}

// drawFlood draws the flood of a run, which may be none.
func drawFlood(rng *rand.Rand) flood {
	if rng.IntN(runsPerFlood) > 0 {
		return flood{}
	}
	kinds := floodclient.Kinds()
	return flood{kind: kinds[rng.IntN(len(kinds))], connections: 1 + rng.IntN(maxFloodConnections)}
}

// String describes the flood for the report.
func (f *flood) String() string {
	return fmt.Sprintf("a flood: %v, connections %d", f.kind, f.connections)
}

// run floods the server at an address until ctx ends.
func (f *flood) run(ctx context.Context, addr string) {
	if f.connections == 0 {
		return
	}
	floodclient.Run(ctx, floodclient.Options{
		Addr:        addr,
		Kind:        f.kind,
		Connections: f.connections,
		SafeClass:   "look",
		UnsafeClass: "pay",
	})
}
