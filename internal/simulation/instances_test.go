package simulation

import "testing"

// seedsPerEvent is the number of plans over which the figures of a fault and of a run without faults are
// averaged: the figures of a single plan depend on when the first requests succeed after the fault.
const seedsPerEvent = 12

// meanFigures returns the figures "served" and "attempts" of runs with an event, as means over the plans, and
// the sum of their "breaks".
func meanFigures(t *testing.T, event string) map[string]float64 {
	t.Helper()
	means := map[string]float64{}
	for seed := uint64(1); seed <= seedsPerEvent; seed++ {
		figures := runScenario(t, event, seed, testSettings(), nil).Figures
		for _, name := range []string{"served", "attempts"} {
			means[name] += figures[name] / seedsPerEvent
		}
		means["breaks"] += figures["breaks"]
	}
	return means
}

// Faults of instances and of their network paths must affect only the requests that pass there: frozen
// instances send no responses until the freeze ends, blocked paths lose messages in the blocked direction,
// and instances whose discovery events are blocked keep their present endpoint list. The figures of each
// fault must stay within bounds relative to a run without faults.
func TestInstanceFaultsStayLocal(t *testing.T) {
	baseline := meanFigures(t, "")
	for _, test := range []struct {
		event string
		// bounds on operations served and on attempts per operation, as ratios to the run without faults
		maxServed, minServed, minAttempts float64
	}{
		{"what = \"freeze\"\nat = \"1s\"\nfor = \"6s\"", 0.6, 0.4, 0.4},
		{"what = \"freeze\"\nat = \"1s\"\nfor = \"2s\"\nevery = \"50ms\"", 1, 0.8, 0.8},
		{"what = \"sever\"\nat = \"1s\"\nfor = \"6s\"", 0.6, 0.4, 0.4},
		{"what = \"sever\"\nway = \"from\"\nat = \"1s\"\nfor = \"6s\"", 0.6, 0.4, 0.4},
		{"what = \"sever\"\nat = \"1s\"\nfor = \"2s\"\ncount = 1", 1, 0.9, 0.9},
		{"what = \"lag\"\ndelay = \"400ms\"\nat = \"1s\"\nfor = \"6s\"", 0.6, 0.3, 0.4},
		{"what = \"full\"\nsize = [1.0]\nat = \"1s\"\nfor = \"6s\"", 0.6, 0.3, 0.6},
		{"what = \"deaf\"\nat = \"1s\"\nfor = \"2s\"", 1, 0.99, 0.99},
		{"what = \"restart\"\nat = \"1s\"\nfor = \"1s\"\ninstances = [0.5]", 0.99, 0.6, 0.6},
	} {
		t.Run(test.event, func(t *testing.T) {
			t.Parallel()
			figures := meanFigures(t, "[[event]]\n"+test.event+"\n")
			if ratio := figures["served"] / baseline["served"]; ratio > test.maxServed || ratio < test.minServed {
				t.Errorf("%.3f of the operations served without faults, want %v to %v",
					ratio, test.minServed, test.maxServed)
			}
			if ratio := figures["attempts"] / baseline["attempts"]; ratio < test.minAttempts {
				t.Errorf("%.3f of the attempts without faults, want at least %v", ratio, test.minAttempts)
			}
			if figures["breaks"] > 0 {
				t.Errorf("%v rules broken", figures["breaks"])
			}
		})
	}
}
