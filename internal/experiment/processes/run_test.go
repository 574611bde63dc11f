package processes

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"

	"dunlinsail/deploy"
	"dunlinsail/internal/config"
	"dunlinsail/internal/daemon"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/fake/scriptedpeer"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
)

// TestMain runs the daemon instead of the tests if the test binary is started with --config and a file. The tests
// use their own binary as the daemon program.
func TestMain(m *testing.M) {
	if len(os.Args) == 3 && os.Args[1] == "--config" {
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM)
		defer cancel()
		parsedConfig, err := config.Read(os.Args[2])
		if err == nil {
			err = daemon.Run(ctx, daemon.Options{Config: parsedConfig, Log: scriptedpeer.DiscardLog})
		}
		if err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	goleak.VerifyTestMain(m)
}

const baseScenario = `
name = "small"
length = "4s"
[fleet]
zones = ["heredia", "san-jose", "cartago"]
instances = 2
[discovery]
gone = "50ms"
silent = "200ms"
[[nodes]]
kind = "std-2c"
count = 6
cores = 2
queue = 30
cold_from = 0.3
cold_for = "2s"
probe_work = "100us"
[[class]]
name = "open-slots"
share = 0.8
work = "10ms"
cv = 0.5
[[class]]
name = "book"
share = 0.2
work = "15ms"
cv = 0.5
[[tenant]]
name = "sonrisa-norte"
share = 1.0
[clients]
load = 0.1
retries = [1, 2]
`

func newOptions(t *testing.T, scenarioText string) Options {
	t.Helper()
	parsedScenario, err := scenario.Parse([]byte(scenarioText), nil)
	require.NoError(t, err)
	daemonConfig, err := config.Parse(deploy.Daemon)
	require.NoError(t, err)
	testProgram, err := os.Executable()
	require.NoError(t, err)
	settings := &daemonConfig.Site.Settings
	return Options{Plan: parsedScenario.Draw(1), Settings: deploy.Daemon, Daemon: testProgram,
		Criteria: measure.Criteria{
			Classes:         settings.Classes,
			Tenants:         settings.Tenants,
			OverQuotaWeight: settings.OverQuotaWeight,
			Goal:            settings.Goal,
			Prices:          settings.Prices,
		}}
}

// plannedOperations counts the operations of a plan.
func plannedOperations(plan *scenario.Plan) (count int64) {
	for instanceIndex := range plan.Instances {
		for nextOperation := plan.Operations(instanceIndex); ; count++ {
			if _, ok := nextOperation(); !ok {
				break
			}
		}
	}
	return count
}

// Under faults of endpoints, every planned operation starts and ends, no request takes effect twice, and every
// client that waits until its deadline gets a response.
func TestRunCompletesEveryOperationDespiteFaults(t *testing.T) {
	options := newOptions(t, baseScenario+`
[[event]]
what = "kill"
at = "500ms"
for = "1s"
count = 1
[[event]]
what = "drain"
at = "700ms"
for = "1s"
count = 1
[[event]]
what = "vanish"
at = "1s"
for = "1s"
count = 1
[[event]]
what = "cut"
at = "2500ms"
for = "500ms"
zone = "heredia"
`)
	got, err := Run(t.Context(), options)
	require.NoError(t, err)
	if want := plannedOperations(options.Plan); got.Operations != want || want < 100 {
		t.Errorf("%d operations, want the plan's %d and at least 100", got.Operations, want)
	}
	if costs := &got.Costs; costs.DuplicateEffects > 0 || costs.LateResponses > 0 || costs.Collapses > 0 {
		t.Errorf(
			"%d duplicate effects, %d late responses, %d collapses; want none",
			costs.DuplicateEffects, costs.LateResponses, costs.Collapses,
		)
	}
	if got.Figures["served"] < 0.8 || got.Costs.Probes == 0 || got.Costs.Dials == 0 || got.Costs.Attempts < got.Served {
		t.Errorf("served %v; %+v", got.Figures["served"], got.Costs)
	}
	var executions int64
	for _, endpointLoad := range got.Endpoints {
		executions += endpointLoad.Executions
	}
	if executions < got.Served {
		t.Errorf("%d requests served, but only %d executions", got.Served, executions)
	}
}

// A daemon that exits by itself ends the run at once with an error. A daemon that an event of the plan kills is
// restarted and the run completes.
func TestRunReportsDaemonThatExitsUnexpectedly(t *testing.T) {
	options := newOptions(t, baseScenario)
	options.Daemon = "/bin/false"
	startedAt := time.Now()
	_, err := Run(t.Context(), options)
	elapsed := time.Since(startedAt)
	if err == nil || !strings.Contains(err.Error(), "ended by itself") || elapsed > scriptedpeer.WaitTimeout {
		t.Errorf("run ended after %v with error %v, want an early error \"ended by itself\"", elapsed, err)
	}
	options = newOptions(t, baseScenario+"[[event]]\nwhat = \"restart\"\nat = \"1s\"\nfor = \"500ms\"\n")
	got, err := Run(t.Context(), options)
	require.NoError(t, err)
	if got.Figures["served"] < 0.5 || got.Figures["lost"] == 0 {
		t.Errorf("served %v, lost %v", got.Figures["served"], got.Figures["lost"])
	}
}

// A run finds classes and tenants by name, so it rejects settings that define the same name twice.
func TestRunRejectsDuplicateNamesInSettings(t *testing.T) {
	for table, want := range map[string]string{
		"\n[[class]]\nname = \"book\"\nrepeat = \"safe\"\naim = \"1s\"\n" +
			"give_up = \"1s\"\n": `"book" is named twice`,
		"\n[[tenant]]\nname = \"sonrisa-norte\"\n": `"sonrisa-norte" is named twice`,
	} {
		options := newOptions(t, baseScenario)
		options.Settings = append(slices.Clone(options.Settings), table...)
		if _, err := Run(t.Context(), options); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got %v, want %s", table, err, want)
		}
	}
}

func TestRunReportsEventThatNeedsCoordination(t *testing.T) {
	options := newOptions(t, baseScenario+"[[event]]\nwhat = \"liar\"\nat = \"100ms\"\nfor = \"1s\"\nsize = [2.0]\n")
	if _, err := Run(t.Context(), options); err == nil || !strings.Contains(err.Error(), "set peers.on") {
		t.Errorf("got %v, want an error that names peers.on", err)
	}
}

// A canceled run returns the cause of the cancellation and leaves no goroutine running, which TestMain checks.
func TestRunStopsWhenContextIsCancelled(t *testing.T) {
	ctx, cancel := context.WithTimeoutCause(t.Context(), 1500*time.Millisecond, errors.New("enough"))
	defer cancel()
	if _, err := Run(ctx, newOptions(t, baseScenario)); err == nil || err.Error() != "enough" {
		t.Error(err)
	}
}
