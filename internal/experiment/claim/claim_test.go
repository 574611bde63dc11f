package claim

import "testing"

// Claims are evaluated with units and the usual operator precedence, and invalid claims are rejected.
func TestClaims(t *testing.T) {
	figures := map[string]float64{"service": 0.95, "p99": 120, "p99.book": 200, "breaks": 0, "a": 2, "b": 3}
	runs := []map[string]float64{figures, figures, figures}
	for text, want := range map[string]Verdict{
		"service >= 0.95":          Holds,
		"service > 0.95":           Fails,
		"service >= 95%":           Holds,
		"p99 <= 120ms":             Holds,
		"p99 < 0.12s":              Fails,
		"p99.book < 2 * p99":       Holds,
		"a + b * 2 == 8":           Holds,
		"(a + b) * 2 == 10":        Holds,
		"b - a - 1 == 0":           Holds,
		"12 / b / a == 2":          Holds,
		"-a == 1 - b":              Holds,
		"breaks == 0":              Holds,
		"breaks == 1":              Fails,
		"p99 <= 100000us + 20ms":   Holds,
		"service >= 0.99 - 2 * 1%": Fails,
	} {
		parsed, err := Parse(text, func(name string) bool { _, ok := figures[name]; return ok })
		if err != nil {
			t.Errorf("%s: %v", text, err)
			continue
		}
		if got := parsed.Evaluate(runs, 0.95); got.Verdict != want {
			t.Errorf("%s: %v (%v against %v)", text, got.Verdict, got.Left, got.Right)
		}
	}
	for _, invalid := range []string{
		"", "service", "service >= ", "service => 1", "nothing > 1", "service > 1 > 0", "1 = 1", "service > 1min",
		"(a > 1",
	} {
		if _, err := Parse(invalid, func(name string) bool { _, ok := figures[name]; return ok }); err == nil {
			t.Errorf("%q was accepted", invalid)
		}
	}
}

// A comparison is inconclusive if the runs vary too much to decide it. A claim with == must be satisfied in
// each run.
func TestJudgesByRuns(t *testing.T) {
	evaluate := func(text string, values ...float64) Verdict {
		parsed, err := Parse(text, nil)
		if err != nil {
			t.Fatal(err)
		}
		var runs []map[string]float64
		for _, value := range values {
			runs = append(runs, map[string]float64{"x": value})
		}
		return parsed.Evaluate(runs, 0.95).Verdict
	}
	for _, testCase := range []struct {
		text   string
		values []float64
		want   Verdict
	}{
		{"x >= 1", []float64{1.2, 1.3, 1.25}, Holds},
		{"x >= 1", []float64{0.7, 0.8, 0.75}, Fails},
		{"x >= 1", []float64{0.9, 1.2, 1.1}, Inconclusive},
		{"x >= 1", []float64{1.2}, Inconclusive},
		{"x >= 1", []float64{0.2}, Fails},
		{"x == 0", []float64{0, 0, 0}, Holds},
		{"x == 0", []float64{0, 1, 0}, Fails},
	} {
		if got := evaluate(testCase.text, testCase.values...); got != testCase.want {
			t.Errorf("%s of %v: %v, want %v", testCase.text, testCase.values, got, testCase.want)
		}
	}
}
