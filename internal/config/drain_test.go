package config

import (
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/fake/require"
)

// Guards against requests that are cut off by a hot restart, a stop or a new generation before their clients' time is
// over, since the default of drain_within knows nothing of it.
func TestDefaultDrainOutlastsRequests(t *testing.T) {
	for name, tc := range map[string]struct {
		text   string
		want   time.Duration
		warned bool
	}{
		"classes of routes":    {minimalRoutes, 30500 * time.Millisecond, false},
		"short class":          {strings.Replace(keyedRoute, `"cell"`, `"all"`, 1), 5 * time.Second, false},
		"set":                  {minimalRoutes + "[takeover]\ndrain_within = \"7s\"\n", 7 * time.Second, true},
		"set for all requests": {minimalRoutes + "[takeover]\ndrain_within = \"30s\"\n", 30 * time.Second, false},
		"set to nothing":       {minimalRoutes + "[takeover]\ndrain_within = \"0s\"\n", 0, true},
	} {
		c, err := Parse([]byte(tc.text))
		require.NoError(t, err)
		warnings := c.Warnings()
		warned := len(warnings) == 1 && warnings[0].Key == "takeover.drain_within"
		if got := c.Takeover.DrainTimeout.Duration; got != tc.want || warned != tc.warned || len(warnings) > 1 {
			t.Errorf("%s: %v, warnings %v; want %v, warned %v", name, got, warnings, tc.want, tc.warned)
		}
	}
}

// Guards against a machine that is reported as at work while a process or generation that was replaced still has
// requests open there: with a maintenance plan the default of drain_within ends before the plan's wait, and a longer
// one is warned of. The default is not below what it was before.
func TestDefaultDrainWithMaintenancePlan(t *testing.T) {
	for quiet, want := range map[time.Duration]time.Duration{
		0: 5 * time.Second, 5 * time.Second: 6500 * time.Millisecond, 10 * time.Second: 11500 * time.Millisecond,
		time.Minute: 30500 * time.Millisecond,
	} {
		for _, socket := range []string{"", "/takeover.sock"} {
			c := defaults()
			c.Classes = []Class{{Name: "a", ClientTimeout: seconds(30)}}
			c.Takeover.Socket = socket
			c.Maintenance.On = true
			c.Maintenance.Lease = seconds(2)
			c.Maintenance.InFlightGrace.Duration = quiet
			if c.setDrainTimeout(); c.Takeover.DrainTimeout.Duration != want {
				t.Errorf("quiet %v, socket %q: %v, want %v", quiet, socket, c.Takeover.DrainTimeout, want)
			}
			c.Takeover.DrainTimeout = seconds(100)
			if warnings := c.Warnings(); len(warnings) != 1 || !strings.Contains(warnings[0].Reason, "at work") {
				t.Errorf("quiet %v, 100s: warnings %v", quiet, warnings)
			}
		}
	}
}
