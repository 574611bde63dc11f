package experiment

import (
	"context"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"dunlinsail/internal/config"
	"dunlinsail/internal/daemon"
	"dunlinsail/internal/experiment/library"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/simulation/scenario"
)

// runDaemon runs a daemon with a configuration file until SIGTERM, and exits the test process.
func runDaemon(file string) {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer cancel()
	c, err := config.Read(file)
	if err == nil {
		err = daemon.Run(ctx, daemon.Options{Config: c, Log: scriptedpeer.DiscardLog})
	}
	if err != nil {
		os.Exit(1)
	}
	os.Exit(0)
}

// A run of real processes that refutes a claim fails and writes the scenario, settings, result and log to a folder.
// A run that refutes no claim writes nothing. A daemon program that exits at once is an error.
func TestFaultsKeepEvidence(t *testing.T) {
	self, err := os.Executable()
	require.NoError(t, err)
	s := must[*scenario.Scenario](t)(Resize(
		must[*scenario.Scenario](t)(library.Load("calm")), []string{"length=3s"}, 3, 6,
	))
	s.Events = []scenario.Event{}
	v := must[*Variant](t)(ParseVariant(Shipped))
	evidenceRoot := t.TempDir()
	for _, c := range []struct {
		claims []string
		failed bool
	}{{[]string{"whole >= 0.9", "breaks == 0"}, false}, {[]string{"whole >= 0.9", "probes_first <= 0.001"}, true}} {
		s.Expect = c.claims
		f, err := RunWithFaults(t.Context(), s, v, self, "", 1, evidenceRoot)
		require.NoError(t, err)
		if f.Failed != c.failed || (f.EvidenceDir != "") != c.failed {
			t.Errorf("%v: failed %v, evidence in %q; %s", c.claims, f.Failed, f.EvidenceDir, f.Summary())
		}
		for _, name := range []string{"scenario.toml", "settings.toml", "result.json", "log"} {
			if c.failed {
				text, err := os.ReadFile(filepath.Join(f.EvidenceDir, name))
				if err != nil || name != "log" && len(text) == 0 {
					t.Errorf("%s: %v, %d bytes", name, err, len(text))
				}
			}
		}
	}
	if _, err := RunWithFaults(
		t.Context(), s, v, "/bin/false", "", 1, evidenceRoot,
	); err == nil || !strings.Contains(err.Error(), "ended by itself") {
		t.Errorf("a program that exits at once: %v", err)
	}
}
