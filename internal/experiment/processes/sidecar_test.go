package processes

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/config"
	"dunlinsail/internal/fake/discoveryserver"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/simulation/scenario"
)

// readGolden returns a file of testdata/golden. The JSON files there are the configurations that build 870f4ac,
// from before this package was refactored, wrote for the scenario and settings in the same folder. They must never
// be regenerated, because sidecars read this format.
func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return content
}

// newSidecarRun returns a run of sidecars with the golden scenario. Its endpoints have fixed addresses and are not
// started.
func newSidecarRun(t *testing.T, settings []byte) *run {
	t.Helper()
	parsedScenario, err := scenario.Parse(readGolden(t, "sidecar-scenario.toml"), nil)
	require.NoError(t, err)
	parsedConfig, err := config.Parse(settings)
	require.NoError(t, err)
	r := &run{
		options:   Options{Daemon: "/usr/bin/dunlinsail"},
		plan:      parsedScenario.Draw(77),
		config:    parsedConfig,
		site:      &parsedConfig.Site,
		clockBase: time.Unix(1_700_000_000, 0),
	}
	for endpointIndex := range r.plan.Endpoints {
		e := &endpoint{index: endpointIndex}
		for instanceIndex := range r.plan.Instances {
			e.listeners = append(e.listeners, &endpointListener{
				instance: instanceIndex,
				addr:     fmt.Sprintf("127.0.0.1:%d", 9000+100*endpointIndex+instanceIndex),
			})
		}
		r.endpoints = append(r.endpoints, e)
	}
	return r
}

func TestSidecarConfigIsAsBefore(t *testing.T) {
	settings := string(readGolden(t, "sidecar-settings.toml"))
	// Any two switches have different values in at least one of the two cases, so that values written under the
	// wrong name are detected.
	switchedSettings := strings.NewReplacer(
		`mode = "ask"`, `mode = "watch"`,
		"cancel = false", "cancel = true",
		"second_copies = true", "second_copies = false",
	).Replace(settings)
	for _, tt := range []struct {
		file     string
		settings string
		instance int
	}{
		{"sidecar-0.json", settings, 0},
		{"sidecar-1.json", switchedSettings, 1},
	} {
		r := newSidecarRun(t, []byte(tt.settings))
		inst := &instance{
			index:           tt.instance,
			listenAddrs:     []string{"127.0.0.1:7001", "127.0.0.1:7002"},
			discoveryServer: &discoveryserver.Server{Addr: "127.0.0.1:7500"},
		}
		got, err := r.sidecarConfig(inst)
		require.NoError(t, err)
		if want := bytes.TrimSpace(readGolden(t, tt.file)); !bytes.Equal(got, want) {
			t.Errorf("%s: got\n%s\nwant\n%s", tt.file, got, want)
		}
	}
}
