package engine

import (
	"testing"

	"dunlinsail/internal/decide/overload"
	"dunlinsail/internal/decide/subset"
	"dunlinsail/internal/monotime"
)

// If every endpoint fails from the first request on, the instance sends each request only once, stays within
// its share of the probes, and responds to all requests, including those that its balancer queues for
// suppressed probes. Once the endpoints recover, the instance serves requests again.
func TestFailingEndpointsGetNoRetriesAndFewProbes(t *testing.T) {
	h, c, list := newInstance(t, nil)
	settings := overload.DefaultSettings()
	settings.Instances = 60
	h.startPool(t, PoolConfig{Name: "o", Overload: &settings}, list)
	for _, endpoint := range list {
		h.failing[endpoint.Name] = true
	}
	now := h.run(c, 1_000*monotime.Second, 300, monotime.Second/50)
	sent := h.sentAttempts()
	// Each of the sixty endpoints allows one probe per second, shared by sixty instances; the instance may also
	// send the probes it starts with and those it has saved up.
	if sent > 300 || h.probes > 14 {
		t.Errorf("%d attempts for 300 requests, %d probes in 7 s", sent, h.probes)
	}
	if unserved := h.verdicts[Rejected] + h.verdicts[Failed] + h.verdicts[TimedOut]; unserved != 300 ||
		h.engine.OpenCalls() != 0 {
		t.Errorf("%d of 300 requests ended unserved, %d calls are open: verdicts %v",
			unserved, h.engine.OpenCalls(), h.verdicts)
	}
	if bounds := h.pool.overload.bounds; bounds.RetryAllowed || bounds.Reason == overload.None {
		t.Errorf("bounds while all endpoints fail: %+v", bounds)
	}
	if stats := h.engine.Statistics(now); !stats.OverloadControlled || stats.SuppressedProbes == 0 ||
		stats.OverloadLevel > 1 {
		t.Errorf("statistics %+v", stats)
	}
	clear(h.failing)
	clear(h.verdicts)
	h.run(c, now, 1000, monotime.Second/50)
	if h.verdicts[Served] < 900 {
		t.Errorf("verdicts after the endpoints have recovered: %v, want at least 900 served", h.verdicts)
	}
	if bounds := h.pool.overload.bounds; bounds.Reason != overload.None || bounds.Level < 0.9 {
		t.Errorf("bounds after the endpoints have recovered: %+v", bounds)
	}
}

// A pool that is restored from a snapshot starts at the overload level of its predecessor, with empty budgets.
func TestRestoredPoolStartsAtOverloadLevel(t *testing.T) {
	h, c, list := newInstance(t, nil)
	settings := overload.DefaultSettings()
	settings.Instances = 60
	h.startPool(t, PoolConfig{Name: "o", Overload: &settings}, list)
	now := h.run(c, 1_000*monotime.Second, 10, monotime.Second/50)
	const savedLevel = 0.37
	h.pool.overload.controller.RestoreLevel(savedLevel)
	snapshot := h.engine.Snapshot(now)
	h.engine.pools = nil
	h.startPool(t, PoolConfig{Name: "o", Overload: &settings}, list)
	h.engine.Restore(now, 0, snapshot)
	if level := h.pool.overload.controller.Level(); level != savedLevel {
		t.Errorf("the overload level was %v in the snapshot, and is %v after the restore", savedLevel, level)
	}
	if bounds := h.pool.overload.controller.Bounds(now); bounds.RetryAllowed {
		t.Error("a retry is allowed before any request was accepted")
	}
}

// Overload control counts all listed endpoints that are not cordoned as shared by the fleet, even if the
// instance uses a subset of four.
func TestOverloadCountsAllListedEndpoints(t *testing.T) {
	for _, subsetSettings := range []*subset.Settings{nil, {Position: 77, Instances: 5000, MinMembers: 4}} {
		h, _, list := newInstance(t, nil)
		settings := overload.DefaultSettings()
		settings.Instances = 600
		h.startPool(t, PoolConfig{Name: "o", Overload: &settings, Subset: subsetSettings, RetryRatio: 0.01}, list)
		// Each of the sixty endpoints allows one probe per second, shared by six hundred instances. This
		// instance has earned no further probes, since none of its requests has been served.
		maxProbeRate := func() float64 {
			return h.pool.overload.controller.Bounds(1_000 * monotime.Second).MaxProbeRate
		}
		if got := maxProbeRate(); got < 0.099 || got > 0.101 {
			t.Errorf("subset in use: %v; probe rate %v per second, want 0.1", subsetSettings != nil, got)
		}
		for i := range 30 {
			h.engine.SetCordon(1_000*monotime.Second, list[i].Name, true, 1)
		}
		if got := maxProbeRate(); got < 0.049 || got > 0.051 {
			t.Errorf("subset in use: %v, half of the endpoints cordoned; probe rate %v per second, want 0.05",
				subsetSettings != nil, got)
		}
	}
}
