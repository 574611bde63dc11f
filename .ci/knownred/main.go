// Command knownred runs `go test` with its arguments and passes over the failures that KNOWN-RED.txt lists, and over no others. A
// listed test that passes, is skipped or is not run fails, and so does what belongs to no test: a build, a race, a panic, a time-out.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const most = 3 // tests that may be listed

// test is a test by its name and its package.
type test struct{ name, pkg string }

// event is a line of `go test -json`.
type event struct{ Action, Package, ImportPath, Test, Output string }

func main() {
	known, err := read("KNOWN-RED.txt")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	if len(known) == 0 {
		run := exec.Command("go", append([]string{"test"}, os.Args[1:]...)...)
		run.Stdout, run.Stderr = os.Stdout, os.Stderr
		if run.Run() != nil {
			os.Exit(1)
		}
		return
	}
	run := exec.Command("go", append([]string{"test", "-json"}, os.Args[1:]...)...)
	run.Stderr = os.Stderr
	text, err := run.Output() // its error is what the lines say
	if _, failed := err.(*exec.ExitError); err != nil && !failed {
		fmt.Println(err)
		os.Exit(1)
	}
	if !judge(known, string(text)) {
		os.Exit(1)
	}
}

// read returns the tests that are listed, with what is said of each.
func read(path string) (map[test]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := map[test]string{}
	for _, line := range strings.Split(string(text), "\n") {
		f := strings.Fields(line)
		if len(f) == 0 || strings.HasPrefix(f[0], "#") {
			continue
		}
		if len(f) < 4 || !strings.HasPrefix(f[0], "Test") || !strings.Contains(line, "issue ") {
			return nil, fmt.Errorf("%s: %q is not a test, its package, a cause and an issue", path, line)
		}
		known[test{f[0], f[1]}] = line
	}
	if len(known) > most {
		return nil, fmt.Errorf("%s lists %d tests, %d at most", path, len(known), most)
	}
	return known, nil
}

// judge prints what came of a run, and says whether all that failed is known, and all that is known failed.
func judge(known map[test]string, text string) bool {
	results, said, packages := map[test]string{}, map[test]string{}, map[string]bool{}
	var bad []string
	lines := bufio.NewScanner(strings.NewReader(text))
	lines.Buffer(nil, 64<<20)
	for lines.Scan() {
		var e event
		if json.Unmarshal(lines.Bytes(), &e) != nil {
			bad = append(bad, "no line of a test: "+lines.Text())
			continue
		}
		at := test{e.Test, e.Package}
		switch {
		case e.Action == "output":
			said[at] += e.Output
		case e.Action == "build-output":
			bad = append(bad, e.Output)
		case e.Action == "build-fail":
			bad = append(bad, "does not build: "+e.ImportPath)
		case e.Action == "fail" && e.Test == "":
			packages[e.Package] = true
		case e.Action == "pass" || e.Action == "fail" || e.Action == "skip":
			results[at] = e.Action
		}
	}
	covers := func(at test) bool {
		top, _, _ := strings.Cut(at.name, "/")
		_, yes := known[test{top, at.pkg}]
		return yes
	}
	passed, failed := 0, 0
	explained := map[string]bool{} // packages with a test that failed
	for _, at := range slices.SortedFunc(maps.Keys(results), func(a, b test) int { return strings.Compare(a.pkg+a.name, b.pkg+b.name) }) {
		switch results[at] {
		case "pass":
			passed++
		case "fail":
			explained[at.pkg] = true
			if !covers(at) {
				failed++
				bad = append(bad, "failed: "+at.name+" in "+at.pkg+"\n"+said[at])
			}
		}
	}
	fmt.Println("known to fail (KNOWN-RED.txt):")
	for at, line := range known {
		fmt.Println(line)
		if r := results[at]; r != "fail" {
			bad = append(bad, fmt.Sprintf("%s in %s is listed as failing, and did not: %q", at.name, at.pkg, r))
		}
	}
	for pkg := range packages {
		whole := said[test{"", pkg}]
		for at, s := range said {
			if at.pkg == pkg && (strings.Contains(s, "DATA RACE") || strings.Contains(s, "\npanic:") || strings.HasPrefix(s, "panic:")) {
				whole, explained[pkg] = s, false
			}
		}
		if !explained[pkg] {
			bad = append(bad, "failed outside its tests: "+pkg+"\n"+whole)
		}
	}
	fmt.Printf("%d passed, %d failed\n", passed, failed)
	for _, line := range bad {
		fmt.Println(line)
	}
	return len(bad) == 0
}
