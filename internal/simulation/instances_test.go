package simulation

import "testing"

// seedsPerEvent are the plans over which the figures of a fault are compared with those of calm: those of one plan
// hang on when the first requests pass after the fault.
const seedsPerEvent = 12

// meanFigures returns the mean figures of plays with an event, one for each plan. breaks is their sum.
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

// What happens to instances and on their ways shows where it happens, and nowhere else: stopped ones answer nothing
// until they go on, severed ways carry nothing that way, deaf ones keep the list that they have.
func TestInstanceFaultsStayLocal(t *testing.T) {
	baseline := meanFigures(t, "")
	for _, test := range []struct {
		event string
		// served at most and at least, and attempts for each operation at least, as parts of calm
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
				t.Errorf("%.3f of what calm serves, want %v to %v", ratio, test.minServed, test.maxServed)
			}
			if ratio := figures["attempts"] / baseline["attempts"]; ratio < test.minAttempts {
				t.Errorf("%.3f of calm's attempts, want %v at least", ratio, test.minAttempts)
			}
			if figures["breaks"] > 0 {
				t.Errorf("%v rules broken", figures["breaks"])
			}
		})
	}
}
