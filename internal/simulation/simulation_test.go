package simulation

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/concurrency"
	"dunlinsail/internal/decide/connlimit"
	"dunlinsail/internal/decide/fairqueue"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/simulation/measure"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/siteconfig"
	"time"
)

// testScenario is the scenario of all runs; a test appends its planned events.
const testScenario = `name = "world"
length = "12s"
[fleet]
zones = ["x", "y"]
instances = 3
[[nodes]]
kind = "n"
count = 6
queue = 20
cold_from = 0.3
cold_for = "4s"
fall = 2.5
fall_after = "2s"
errors = 0.002
handshake = "1ms"
probe_work = "100us"
pause_every = "3s"
pause_for = "10ms"
[[class]]
name = "look"
share = 0.7
work = "20ms"
cv = 0.5
noise = 0.2
[[class]]
name = "book"
share = 0.2
work = "30ms"
[[class]]
name = "sell"
share = 0.1
work = "30ms"
[[tenant]]
name = "p"
share = 1.0
[clients]
load = 0.5
[discovery]
add = "500ms"
gone = "1s"
silent = "2s"
`

// testClasses returns one request class for each kind of idempotency.
func testClasses() []balancer.Class {
	return []balancer.Class{
		{Name: "look", LatencyObjective: 200_000, ClientTimeout: 500_000, PriorityWeight: 1},
		{
			Name:             "book",
			Idempotency:      balancer.IdempotentByKey,
			DedupScope:       balancer.DedupCell,
			DedupWindow:      400_000,
			LatencyObjective: 250_000,
			ClientTimeout:    600_000,
			PriorityWeight:   3,
		},
		{
			Name:             "sell",
			Idempotency:      balancer.NonIdempotent,
			LatencyObjective: 250_000,
			ClientTimeout:    600_000,
			PriorityWeight:   3,
		},
	}
}

// testSettings returns settings that fit testScenario.
func testSettings() *Settings {
	balancerSettings := balancer.Settings{
		Balancers:       3,
		LoadMetrics:     []balancer.LoadMetric{balancer.MetricInflight},
		OverQuotaWeight: 0.1,
		Classes:         testClasses(),
		Tenants:         []balancer.Tenant{{Name: "p", Quota: 1000, Share: 1}},
		Limits: balancer.Limits{
			Cancel:          true,
			Probes:          true,
			Hedging:         true,
			RetryAfter:      true,
			MaxAttempts:     3,
			MaxOpenRequests: 1000,
			MaxRetryAfter:   400_000,
			DialTimeout:     100_000,
		},
		Contract: balancer.Contract{
			DrainGrace:          250_000,
			WarmupStartCapacity: 0.3,
			WarmupTime:          4_000_000,
			CollapseMultiple:    2.5,
			CollapseAfter:       2_000_000,
			PollInterval:        10_000_000,
		},
		Goal: balancer.Goal{Overall: 1},
	}
	return &Settings{
		Site: siteconfig.Site{
			Settings:     balancerSettings,
			Classes:      []string{"look", "book", "sell"},
			Tenants:      []string{"p"},
			Zones:        []string{"x", "y"},
			MachineTypes: []string{"n"},
			KeepAlive:    15 * time.Second,
		},
		Concurrency: engine.ConcurrencySettings{
			MaxOpen:  1000,
			Adaptive: &concurrency.Settings{Min: 4, Max: 500, Initial: 16},
		},
		ClientConnections: connlimit.Limits{
			MaxConnections: 500,
			MaxIdle:        100,
			MaxIdleTime:    15 * second,
			MinIdleTime:    second / 10,
		},
		ClientProcess: fairqueue.ClientSpec{Weight: 1},
	}
}

// runScenario runs testScenario with planned events and a seed. trace may be nil.
func runScenario(t *testing.T, events string, seed uint64, settings *Settings, trace func(Trace)) *measure.Result {
	t.Helper()
	parsedScenario, err := scenario.Parse([]byte(testScenario+events), nil)
	require.NoError(t, err)
	balancerSettings := &settings.Site.Settings
	result, err := Run(context.Background(), Options{
		Plan:     parsedScenario.Draw(seed),
		Settings: settings,
		Trace:    trace,
		Criteria: measure.Criteria{
			Classes:         balancerSettings.Classes,
			Tenants:         balancerSettings.Tenants,
			OverQuotaWeight: balancerSettings.OverQuotaWeight,
			Goal:            balancerSettings.Goal,
			Prices:          balancerSettings.Prices,
		},
	})
	require.NoError(t, err)
	return result
}

// Two runs with the same plan, settings and build must have the same result. Runs with different settings
// must start the same operations at the same times, so that their results can be compared.
func TestSameRunSameDigest(t *testing.T) {
	const events = "[[event]]\nwhat = \"kill\"\nat = \"4s\"\nfor = \"2s\"\npart = [0.3]\n"
	runTraced := func(settings *Settings) (digest string, firstRequests []Trace) {
		seenOperations := map[uint64]bool{}
		result := runScenario(t, events, 5, settings, func(step Trace) {
			if step.Step == "asks" && !seenOperations[step.Operation] {
				seenOperations[step.Operation] = true
				firstRequests = append(firstRequests, step)
			}
		})
		return result.Digest, firstRequests
	}
	digest, firstRequests := runTraced(testSettings())
	if otherDigest, _ := runTraced(testSettings()); digest != otherDigest {
		t.Errorf("two equal runs have the digests %s and %s", digest, otherDigest)
	}
	changedSettings := testSettings()
	changedSettings.DecisionSeed = 1
	changedSettings.Site.Settings.Limits.MaxAttempts = 1
	otherDigest, otherRequests := runTraced(changedSettings)
	if digest == otherDigest {
		t.Error("runs with different settings have the same digest")
	}
	if !slices.Equal(firstRequests, otherRequests) {
		t.Error("runs with different settings have different operations")
	}
}

// runCountingEnds runs testScenario with planned events. It returns how many operations started and how many
// requests ended, and fails the test if a request ends twice.
func runCountingEnds(t *testing.T, events string) (started, ended int, result *measure.Result) {
	t.Helper()
	operations := map[uint64]bool{}
	requests := map[[2]uint64]bool{}
	result = runScenario(t, events, 3, testSettings(), func(step Trace) {
		request := [2]uint64{step.Operation, uint64(step.Request)}
		switch step.Step {
		case "asks":
			operations[step.Operation] = true
		case "is served", "is refused", "is failed", "has no answer":
			if requests[request] {
				t.Errorf("request %d of operation %x ended twice", step.Request, step.Operation)
			}
			requests[request] = true
		}
	})
	return len(operations), len(requests), result
}

// Whatever fails, each operation must have exactly one outcome, each request must end exactly once, a running
// instance must respond in time to each request that it accepts, and no attempt rule may be broken.
func TestEachOperationEnds(t *testing.T) {
	for name, events := range map[string]string{
		"calm": "",
		"slow": "[[event]]\nwhat = \"slow\"\nat = \"3s\"\nfor = \"5s\"\npart = [0.5]\nsize = [8.0]\n",
		"errors": "[[event]]\nwhat = \"errors\"\nat = \"3s\"\nfor = \"5s\"\n" +
			"part = [0.5]\nsize = [0.9]\nclass = \"book\"\n",
		"mute":    "[[event]]\nwhat = \"mute\"\nat = \"3s\"\nfor = \"5s\"\npart = [0.5]\nsize = [0.5]\n",
		"roll":    "[[event]]\nwhat = \"rolling\"\nat = \"2s\"\nevery = \"1500ms\"\n",
		"vanish":  "[[event]]\nwhat = \"vanish\"\nat = \"3s\"\nfor = \"4s\"\nzone = \"y\"\n",
		"cut":     "[[event]]\nwhat = \"cut\"\nat = \"3s\"\nfor = \"4s\"\nzone = \"y\"\n",
		"restart": "[[event]]\nwhat = \"restart\"\nat = \"3s\"\nfor = \"1s\"\n",
		"power":   "[[event]]\nwhat = \"power\"\nat = \"3s\"\nfor = \"1s\"\n",
		"surge":   "[[event]]\nwhat = \"surge\"\nat = \"3s\"\nfor = \"4s\"\nsize = [5.0]\n",
		"silent": "[[event]]\nwhat = \"silent\"\nat = \"2s\"\nfor = \"6s\"\n" +
			"[[event]]\nwhat = \"kill\"\nat = \"3s\"\nfor = \"2s\"\ncount = 2\n",
		"pause":  "[[event]]\nwhat = \"pause\"\nat = \"3s\"\nfor = \"300ms\"\n",
		"nobody": "[[event]]\nwhat = \"kill\"\nat = \"3s\"\nfor = \"3s\"\n",
		"clocks": "[clocks]\nskew = \"2s\"\ndrift = 0.0005\n" +
			"[[event]]\nwhat = \"kill\"\nat = \"3s\"\nfor = \"2s\"\npart = [0.5]\n",
		"lossy": "[network]\nloss = 0.02\nretransmit = \"50ms\"\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			started, ended, result := runCountingEnds(t, events)
			if int(result.Operations) != started || started < 500 {
				t.Errorf("%d operations started, want at least 500; %d ended", started, result.Operations)
			}
			if int64(ended) != result.Costs.ClientRequests {
				t.Errorf("%d requests started, %d ended", result.Costs.ClientRequests, ended)
			}
			costs := result.Costs
			if costs.AttemptsAfterDrain != 0 || costs.DuplicateEffects != 0 ||
				costs.LateResponses != 0 || costs.Collapses != 0 {
				t.Errorf("rules broken: %+v", costs)
			}
			if name == "calm" && result.Figures["whole"] < 0.97 {
				t.Errorf("the score of a run without faults is %v, want at least 0.97", result.Figures["whole"])
			}
			if costs.UsefulWork > costs.ExecutedWork*1.0001 {
				t.Errorf("useful work %v exceeds executed work %v", costs.UsefulWork, costs.ExecutedWork)
			}
		})
	}
}

// A planted harm must show in the figures, and settings or criteria that lack a zone or a class of the
// scenario must be rejected.
func TestHarmAndMisfits(t *testing.T) {
	unharmed := testSettings()
	harmed := testSettings()
	harmed.KnownHarm = 0.2
	if served, unserved := runScenario(t, "", 1, unharmed, nil).Figures["served"], runScenario(t, "", 1, harmed,
		nil).Figures["unserved"]; served < 0.99 || unserved < 0.15 || unserved > 0.25 {
		t.Errorf("served %v without harm, want at least 0.99; unserved %v with a fifth harmed, want 0.15 to 0.25",
			served, unserved)
	}
	parsedScenario, err := scenario.Parse([]byte(testScenario), nil)
	require.NoError(t, err)
	missingZone := testSettings()
	missingZone.Site.Zones = []string{"x"}
	balancerSettings := &missingZone.Site.Settings
	if _, err := Run(context.Background(), Options{
		Plan:     parsedScenario.Draw(1),
		Settings: missingZone,
		Criteria: measure.Criteria{Classes: balancerSettings.Classes, Tenants: balancerSettings.Tenants},
	}); err == nil {
		t.Error("settings without a zone of the scenario were accepted")
	}
	if _, err := Run(context.Background(), Options{
		Plan:     parsedScenario.Draw(1),
		Settings: testSettings(),
		Criteria: measure.Criteria{Classes: balancerSettings.Classes[:1], Tenants: balancerSettings.Tenants},
	}); err == nil {
		t.Error("criteria without a class of the scenario were accepted")
	}
}

// Events must leave the queue in the order of their instants, and those at the same instant in the order in
// which they were pushed.
func TestQueue(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var queue eventQueue
	var last event
	pushed := 0
	popped := 0
	for pushed < 5000 || queue.len() > 0 {
		if pushed < 5000 && (queue.len() == 0 || rng.IntN(2) == 0) {
			queue.push(last.at+int64(rng.IntN(50)), requestRetried, uint32(pushed), nil)
			pushed++
			continue
		}
		event := queue.pop()
		popped++
		if before(&event, &last) && last.sequence != 0 {
			t.Fatalf("event at %d was popped after the event at %d", event.at, last.at)
		}
		last = event
	}
	if popped != pushed {
		t.Errorf("%d events were pushed, %d popped", pushed, popped)
	}
}
