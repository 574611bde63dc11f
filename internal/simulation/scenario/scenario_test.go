package scenario

import (
	"errors"
	"math"
	"reflect"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/stricttoml"
)

// minimalScenario is the text of a valid scenario that sets few keys.
const minimalScenario = `name = "a"
[fleet]
zones = ["x", "y"]
[[nodes]]
kind = "n"
count = 4
[[class]]
name = "look"
share = 1.0
work = "10ms"
[clients]
rate = 200.0
`

// findNoBase is a Finder that finds no base scenario.
func findNoBase(name string) ([]byte, error) { return nil, errors.New("there is none") }

// parseScenario parses a text without a base scenario, and fails the test if the text is invalid.
func parseScenario(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := Parse([]byte(text), findNoBase)
	require.NoError(t, err)
	return s
}

// Each contradictory value and each value out of bounds is rejected with an error that has its key and line.
// All errors of a file are reported together.
func TestInvalidScenarios(t *testing.T) {
	for _, invalid := range []struct{ text, want string }{
		{"load = 0.5\n",
			"line 13: clients.load: one of load and rate must be given, and positive"},
		{"retries = [3, 1]\n[[event]]\nwhat = \"slow\"\nat = \"5s\"\n",
			"line 13: clients.retries: [3 1]: must be two numbers in order, 0..20"},
		{"[[event]]\nwhat = \"slow\"\nat = \"5s\"\n",
			"line 13: event.0.size: \"slow\" takes a size: times as slow"},
		{"[[event]]\nwhat = \"slow\"\nat = \"50s\"\nsize = [2.0]\n",
			"line 15: event.0.at: it is after the end, 30s"},
		{"[[event]]\nwhat = \"slow\"\nat = \"5s\"\nsize = [3.0, 2.0]\n",
			"line 16: event.0.size: its second number is under its first"},
		{"[[event]]\nwhat = \"slow\"\nat = \"5s..4s\"\nsize = [3.0]\n",
			"line 15: event.at: \"5s..4s\" ends before it begins"},
		{"[[event]]\nwhat = \"slow\"\nat = \"5s\"\nsize = [2.0]\npart = [0.5]\ncount = 2\n",
			"line 18: event.0.count: either a part or a count"},
		{"[[event]]\nwhat = \"slow\"\nat = \"5s\"\nsize = [2.0]\nzone = \"z\"\n",
			"line 17: event.0.zone: \"z\" is none of fleet.zones"},
		{"[[event]]\nwhat = \"cut\"\nat = \"5s\"\nzone = \"x\"\nto = \"x\"\n",
			"line 17: event.0.to: a zone cannot be cut off from itself"},
		{"[[event]]\nwhat = \"surge\"\nat = \"5s\"\nsize = [2.0]\nclass = \"book\"\n",
			"line 17: event.0.class: \"book\" is none of the classes"},
		{"[[event]]\nwhat = \"restart\"\nat = \"5s\"\nkind = \"n\"\n",
			"line 16: event.0.kind: \"restart\" does not happen to endpoints"},
		{"[[event]]\nwhat = \"rolling\"\nat = \"5s\"\n",
			"line 13: event.0.every: is missing: the time from one to the next"},
		{"[[event]]\nwhat = \"earthquake\"\nat = \"5s\"\n",
			"line 14: event.0.what: \"earthquake\" is none of"},
		{"[[shape]]\nat = \"5s\"\ntimes = 1.0\n[[shape]]\nat = \"5s\"\ntimes = 2.0\n",
			"line 17: shape.1.at: 5s does not come after the one before"},
		{"[[nodes]]\nkind = \"n\"\ncount = 1\n",
			"line 14: nodes.1.kind: \"n\" is empty or named twice"},
		{"[[nodes]]\nkind = \"m\"\ncount = 1\nfall = 2.5\n",
			"line 13: nodes.1.fall_after: is missing"},
		{"[[nodes]]\nkind = \"m\"\ncount = 1\npause_for = \"2s\"\npause_every = \"1s\"\n",
			"line 17: nodes.1.pause_every: 1s is not over pause_for, 2s"},
		{"rats = 1\n",
			"line 13: clients.rats: is not a known key"},
		{"base = \"calm\"\n",
			"line 13: clients.base: is not a known key"},
	} {
		_, err := Parse([]byte(minimalScenario+invalid.text), findNoBase)
		var validationErrors stricttoml.Errors
		if !errors.As(err, &validationErrors) || !strings.HasPrefix(validationErrors[0].Error(), invalid.want) {
			t.Errorf("%q:\n got %v\nwant %s", invalid.text, err, invalid.want)
		}
	}
	if _, err := Parse([]byte("base = \"calm\"\n"+minimalScenario), findNoBase); err == nil ||
		err.Error() != "line 1: base: there is none" {
		t.Errorf("a base scenario that does not exist: %v", err)
	}
	if _, err := Parse([]byte("base = \"a\"\n"+minimalScenario),
		func(string) ([]byte, error) { return []byte("base = \"a\"\n" + minimalScenario), nil }); err == nil {
		t.Error("a scenario that is based on itself was accepted")
	}
}

// The values of a file override its base scenario, and its lists replace those of the base scenario. Text
// returns a file that describes the same scenario.
func TestBaseScenario(t *testing.T) {
	baseText := minimalScenario + "[[event]]\nwhat = \"slow\"\nat = \"5s\"\nsize = [2.0]\n"
	s, err := Parse(
		[]byte("name = \"b\"\nbase = \"a\"\n[clients]\nload = 0.5\n[[event]]\nwhat = \"drain\"\nat = \"6s\"\n"),
		func(string) ([]byte, error) { return []byte(baseText), nil })
	require.NoError(t, err)
	if s.Name != "b" || s.Clients.Rate != 0 || s.Clients.Load != 0.5 || len(s.Events) != 1 ||
		s.Events[0].What != "drain" || s.EndpointKinds[0].Count != 4 {
		t.Errorf("%+v", s)
	}
	text, err := s.Text()
	require.NoError(t, err)
	reparsed, err := Parse(text, findNoBase)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if !reflect.DeepEqual(s.Draw(3), reparsed.Draw(3)) &&
		!reflect.DeepEqual(s.Draw(3).PlannedEvents, reparsed.Draw(3).PlannedEvents) {
		t.Errorf("the text of the scenario describes another scenario:\n%s", text)
	}
}

// drawTraffic draws the operations of a plan. It returns their number by ten-second period and tenant, their
// total number, and a digest of their start times, work and idempotency keys.
func drawTraffic(t *testing.T, s *Scenario, seed uint64) (operationCounts [3][2]int, operationCount int,
	digest monotime.Micros) {
	t.Helper()
	plan := s.Draw(seed)
	for i := range plan.Instances {
		nextOperation := plan.Operations(i)
		for previousStart := monotime.Micros(-1); ; {
			operation, ok := nextOperation()
			if !ok {
				break
			}
			if operation.StartedAt < previousStart {
				t.Fatal("operations are not in the order of their starts")
			}
			previousStart = operation.StartedAt
			operationCounts[operation.StartedAt/(10*second)][operation.Tenant]++
			operationCount++
			digest += operation.StartedAt ^ operation.Work ^ int64(operation.IdempotencyKey)
		}
	}
	return operationCounts, operationCount, digest
}

// A plan depends only on the scenario and the seed. Its traffic has the rate, shape and tenant shares of the
// scenario.
func TestDrawnTraffic(t *testing.T) {
	s := parseScenario(t, strings.Replace(minimalScenario, "rate = 200.0", "rate = 2000.0", 1)+`[[tenant]]
name = "p"
share = 0.75
[[tenant]]
name = "q"
share = 0.25
[[shape]]
at = "0s"
times = 0.5
[[shape]]
at = "30s"
times = 1.5
[[event]]
what = "surge"
at = "10s"
for = "10s"
tenant = "q"
size = [5.0]
`)
	counts, total, digest := drawTraffic(t, s, 1)
	if _, _, repeatedDigest := drawTraffic(t, s, 1); repeatedDigest != digest {
		t.Error("the same seed gave other operations")
	}
	if _, _, otherDigest := drawTraffic(t, s, 2); otherDigest == digest {
		t.Error("another seed gave the same operations")
	}
	// The mean factors of the three ten-second periods are 2/3, 1 and 4/3. Tenant q has five times its traffic
	// in the second period.
	for period, want := range [3][2]float64{{10_000, 3_333}, {15_000, 25_000}, {20_000, 6_667}} {
		for tenant := range want {
			if got := float64(counts[period][tenant]); math.Abs(got-want[tenant]) > 5*math.Sqrt(want[tenant]) {
				t.Errorf("period %d, tenant %d: %v operations, want %v", period, tenant, got, want[tenant])
			}
		}
	}
	if total == 0 {
		t.Error("the plan has no operations")
	}
	for _, seed := range []uint64{1, 2, 3} {
		plan := parseScenario(t,
			minimalScenario+"[[event]]\nwhat = \"kill\"\nat = \"3s..9s\"\npart = [0.5]\n").Draw(seed)
		if event := plan.PlannedEvents[0]; len(event.Endpoints) != 2 || event.At < 3*second || event.At > 9*second ||
			event.Until != math.MaxInt64 {
			t.Errorf("seed %d: %+v", seed, event)
		}
	}
}

// With subsets, each endpoint is on the endpoint lists of equally many instances.
func TestSubset(t *testing.T) {
	s := parseScenario(t, strings.Replace(strings.Replace(minimalScenario, "count = 4", "count = 100", 1), "zones =",
		"instances = 50\nsubset = 20\nzones =", 1))
	listsPerEndpoint := make([]int, 100)
	for _, instance := range s.Draw(1).Instances {
		if len(instance.Endpoints) != 20 {
			t.Fatalf("a subset has %d endpoints, not 20", len(instance.Endpoints))
		}
		for _, endpoint := range instance.Endpoints {
			listsPerEndpoint[endpoint]++
		}
	}
	for endpoint, lists := range listsPerEndpoint {
		if lists != 10 {
			t.Errorf("endpoint %d is on %d lists, not 10", endpoint, lists)
		}
	}
}

// The remaining capacity of the endpoints during events bounds the share of operations that can be served.
func TestMaxServableShare(t *testing.T) {
	// The endpoints can serve 800 operations a second.
	baseText := strings.Replace(minimalScenario, "rate = 200.0", "rate = 400.0", 1)
	for eventText, want := range map[string]float64{
		"": 1,
		"[[event]]\nwhat = \"kill\"\nat = \"10s\"\nfor = \"10s\"\n":                     0.66,
		"[[event]]\nwhat = \"kill\"\nat = \"10s\"\nfor = \"10s\"\ncount = 2\n":          1,
		"[[event]]\nwhat = \"slow\"\nat = \"0s\"\nsize = [4.0]\n":                       0.5,
		"[[event]]\nwhat = \"surge\"\nat = \"0s\"\nsize = [4.0]\n":                      0.5,
		"[[event]]\nwhat = \"errors\"\nat = \"0s\"\nsize = [0.75]\n":                    0.5,
		"[[event]]\nwhat = \"neighbour\"\nat = \"0s\"\nsize = [0.75]\nevery = \"1s\"\n": 0.875,
		"[[event]]\nwhat = \"rolling\"\nat = \"0s\"\nevery = \"7s\"\n":                  1,
	} {
		if got := parseScenario(t, baseText+eventText).Draw(1).MaxServableShare(); math.Abs(got-want) > 0.02 {
			t.Errorf("%q: the servable share is at most %v, want %v", eventText, got, want)
		}
	}
}
