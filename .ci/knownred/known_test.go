package main

import "testing"

const flaky = "TestFlaky | dunlinsail/a | go test ./a, no seed | an attempt got the response of another | issue 46"

func mustParse(t *testing.T, text string) knownList {
	t.Helper()
	known, err := parseKnown(text)
	if err != nil {
		t.Fatal(err)
	}
	return known
}

func TestParseKnown(t *testing.T) {
	const day = "split+mass | - | bench SITE --seed 5 | rule broken once | issue 46"
	known := mustParse(t, "# comment\n\n"+flaky+"\n"+day+"\n")
	if len(known.tests) != 1 || len(known.cases) != 1 {
		t.Errorf("%d tests and %d cases, want one of each", len(known.tests), len(known.cases))
	}
	for name, text := range map[string]string{
		"no issue":      "TestA | dunlinsail/a | go test ./a | seen | 46",
		"no command":    "TestA | dunlinsail/a | seen | issue 46",
		"empty field":   "TestA | dunlinsail/a |   | seen | issue 46",
		"not a test":    "A | dunlinsail/a | go test ./a | seen | issue 46",
		"a subtest":     "TestA/b | dunlinsail/a | go test ./a | seen | issue 46",
		"listed twice":  flaky + "\n" + flaky,
		"earlier forms": "TestA  dunlinsail/a  cause  issue 46",
	} {
		if _, err := parseKnown(text); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

// Output of `go test -json`.
const (
	flakyPassed   = `{"Action":"pass","Package":"dunlinsail/a","Test":"TestFlaky"}` + "\n"
	flakyFailed   = `{"Action":"fail","Package":"dunlinsail/a","Test":"TestFlaky"}` + "\n"
	flakySkipped  = `{"Action":"skip","Package":"dunlinsail/a","Test":"TestFlaky"}` + "\n"
	flakySubtest  = `{"Action":"fail","Package":"dunlinsail/a","Test":"TestFlaky/case"}` + "\n"
	flakyRaced    = `{"Action":"output","Package":"dunlinsail/a","Test":"TestFlaky","Output":"DATA RACE\n"}` + "\n"
	flakyPanics   = `{"Action":"output","Package":"dunlinsail/a","Test":"TestFlaky","Output":"panic: x\n"}` + "\n"
	otherFailed   = `{"Action":"fail","Package":"dunlinsail/a","Test":"TestOther"}` + "\n"
	sameElsewhere = `{"Action":"fail","Package":"dunlinsail/b","Test":"TestFlaky"}` + "\n"
	passed        = `{"Action":"pass","Package":"dunlinsail/a","Test":"TestOther"}` + "\n"
	failedPkg     = `{"Action":"fail","Package":"dunlinsail/a"}` + "\n"
	buildFailed   = `{"Action":"build-fail","ImportPath":"dunlinsail/a"}` + "\n"
)

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name, output string
		want         bool
	}{
		{"listed test passes", flakyPassed + passed, true},
		{"listed test fails", flakyFailed + passed + failedPkg, true},
		{"subtest of a listed test fails", flakySubtest + flakyFailed + failedPkg, true},
		{"listed test is skipped", flakySkipped + passed, false},
		{"listed test does not run", passed, false},
		{"listed test races", flakyRaced + flakyFailed + failedPkg, false},
		{"listed test panics", flakyPanics + flakyFailed + failedPkg, false},
		{"another test fails", flakyPassed + otherFailed + failedPkg, false},
		{"another fails beside it", flakyFailed + otherFailed + failedPkg, false},
		{"the same name in another package fails", flakyPassed + sameElsewhere, false},
		{"package fails outside its tests", flakyPassed + failedPkg, false},
		{"build fails", flakyPassed + buildFailed, false},
		{"output that is no event", flakyPassed + "exit status 2\n", false},
	} {
		if got := check(mustParse(t, flaky), c.output); got != c.want {
			t.Errorf("%s: passes %t, want %t", c.name, got, c.want)
		}
	}
}
