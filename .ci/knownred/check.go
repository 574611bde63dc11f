package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// maxLine bounds a line of `go test -json`, in bytes.
const maxLine = 64 << 20

// Actions of `go test -json` (go doc test2json, and build-* of go doc buildjson).
const (
	actionOutput      = "output"
	actionBuildOutput = "build-output"
	actionBuildFail   = "build-fail"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
)

// event is a line of `go test -json`.
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// results are the events of a run, by test and package.
type results struct {
	actions        map[testID]string // the last of pass, fail and skip
	output         map[testID]string
	failedPackages map[string]bool
	problems       []string // lines that are no event, and failed builds
}

// check prints a run's results, and reports whether all its failures are known and all known tests ran.
func check(known knownList, output string) bool {
	run := parseResults(output)
	problems := run.problems
	passed, failures, explained := run.countTests(known.tests)
	problems = append(problems, failures...)
	problems = append(problems, run.checkKnown(known)...)
	problems = append(problems, run.checkPackages(explained)...)
	fmt.Printf("%d passed, %d failed\n", passed, len(failures))
	for _, problem := range problems {
		fmt.Println(problem)
	}
	return len(problems) == 0
}

// parseResults reads the output of `go test -json`.
func parseResults(output string) results {
	run := results{
		actions:        map[testID]string{},
		output:         map[testID]string{},
		failedPackages: map[string]bool{},
	}
	lines := bufio.NewScanner(strings.NewReader(output))
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			run.problems = append(run.problems, "not a test event: "+lines.Text())
			continue
		}
		run.add(e)
	}
	return run
}

func (run *results) add(e event) {
	id := testID{name: e.Test, pkg: e.Package}
	switch {
	case e.Action == actionOutput:
		run.output[id] += e.Output
	case e.Action == actionBuildOutput:
		run.problems = append(run.problems, e.Output)
	case e.Action == actionBuildFail:
		run.problems = append(run.problems, "does not build: "+e.ImportPath)
	case e.Action == actionFail && e.Test == "":
		run.failedPackages[e.Package] = true
	case e.Action == actionPass || e.Action == actionFail || e.Action == actionSkip:
		run.actions[id] = e.Action
	}
}

// countTests returns how many tests and packages passed, a line for each failure that isn't known, and the packages
// with a failed test, which explains why these failed.
func (run *results) countTests(known map[testID]string) (passed int, failures []string, explained map[string]bool) {
	explained = map[string]bool{}
	ids := slices.SortedFunc(maps.Keys(run.actions), compareTests)
	for _, id := range ids {
		switch run.actions[id] {
		case actionPass:
			passed++
		case actionFail:
			explained[id.pkg] = true
			if !isKnown(known, id) {
				failures = append(failures, "failed: "+id.name+" in "+id.pkg+"\n"+run.output[id])
			}
		}
	}
	return passed, failures, explained
}

// isKnown reports whether a test, or the test of which it is a subtest, is listed.
func isKnown(known map[testID]string, id testID) bool {
	top, _, _ := strings.Cut(id.name, "/")
	_, listed := known[testID{name: top, pkg: id.pkg}]
	return listed
}

// checkKnown prints the list, each test with what it did, and returns a line for each listed test that did not run.
// A listed test may pass: one that fails once in many runs stays listed until its cause is mended.
func (run *results) checkKnown(known knownList) (problems []string) {
	fmt.Println("known to fail (KNOWN-RED.txt), with what each did in this run:")
	ids := slices.SortedFunc(maps.Keys(known.tests), compareTests)
	for _, id := range ids {
		action, ran := run.actions[id]
		if !ran || action == actionSkip {
			problems = append(problems, fmt.Sprintf("%s in %s is listed, and did not run", id.name, id.pkg))
			action = "not run"
		}
		fmt.Printf("%s: %s\n", action, known.tests[id])
		if action == actionFail {
			fmt.Println(run.output[id])
		}
	}
	for _, line := range known.cases {
		fmt.Println("not played here: " + line)
	}
	return problems
}

func compareTests(a, b testID) int {
	return strings.Compare(a.pkg+" "+a.name, b.pkg+" "+b.name)
}

// checkPackages returns a line for each failed package that no failed test explains, or in which a test raced or
// panicked.
func (run *results) checkPackages(explained map[string]bool) (problems []string) {
	for pkg := range run.failedPackages {
		output := run.output[testID{pkg: pkg}]
		for id, text := range run.output {
			if id.pkg == pkg && racedOrPanicked(text) {
				output = text
				explained[pkg] = false
			}
		}
		if !explained[pkg] {
			problems = append(problems, "failed outside its tests: "+pkg+"\n"+output)
		}
	}
	return problems
}

func racedOrPanicked(output string) bool {
	return strings.Contains(output, "DATA RACE") ||
		strings.Contains(output, "\npanic:") ||
		strings.HasPrefix(output, "panic:")
}
