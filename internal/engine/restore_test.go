package engine

import (
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
)

// Guards against an instance of a large fleet that takes over and polls discovery only seconds later.
func TestRestoreMakesPoolPollSoon(t *testing.T) {
	site := tenantSite(0, 300, 0)
	site.Settings.Subscribe = true
	for seed := range uint64(20) {
		engine := New(Config{Site: site, Seed: seed, Host: &recordingHost{responses: map[string]Response{}}})
		polled := false
		pool, err := engine.NewPool(PoolConfig{
			InitialEndpoints: EndpointUpdate{Generation: -1},
			SetWatch:         func(active bool) { polled = polled || active },
		})
		require.NoError(t, err)
		pool.Start(1_000)
		engine.Restore(2_000, 0, engine.Snapshot(2_000))
		if advanceTo(engine, 2_001+monotime.Second); !polled {
			t.Errorf("seed %d: discovery has not been polled within a second", seed)
		}
	}
}
