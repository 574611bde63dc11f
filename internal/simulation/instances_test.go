package simulation

import "testing"

// What happens to instances and on their ways shows where it happens, and nowhere else: stopped ones answer nothing
// until they go on, severed ways carry nothing that way, deaf ones keep the list that they have.
func TestInstanceFaultsStayLocal(t *testing.T) {
	figures := func(event string) map[string]float64 { return play(t, event, 3, testSettings(), nil).Figures }
	calm := figures("")
	for _, c := range []struct {
		event string
		// served at most and at least, and attempts for each operation at least, as parts of calm
		served, least, attempts float64
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
		got := figures("[[event]]\n" + c.event + "\n")
		if part := got["served"] / calm["served"]; part > c.served || part < c.least {
			t.Errorf("%s: %.2f of what calm serves, want %v to %v", c.event, part, c.least, c.served)
		}
		if part := got["attempts"] / calm["attempts"]; part < c.attempts {
			t.Errorf("%s: %.2f of calm's attempts, want %v at least", c.event, part, c.attempts)
		}
		if got["breaks"] > 0 {
			t.Errorf("%s: %v rules broken", c.event, got["breaks"])
		}
	}
}
