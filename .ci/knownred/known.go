package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// separator parts the fields of an entry.
const separator = " | "

// noPackage stands in place of a package in an entry that is no Go test.
const noPackage = "-"

// Fields of an entry, in their order.
const (
	fieldTest = iota // name of the test, or of another case
	fieldPackage
	fieldCommand // with the seed, where there is one
	fieldObserved
	fieldIssue
	fieldCount
)

var (
	testName  = regexp.MustCompile(`^Test\w*$`)
	issueName = regexp.MustCompile(`^issue \d+$`)
)

// testID identifies a test, or with an empty name the part of a package's output that belongs to no test.
type testID struct {
	name string
	pkg  string
}

// knownList is the content of KNOWN-RED.txt.
type knownList struct {
	tests map[testID]string // Go tests that may fail, each with its line
	cases []string          // lines of cases that are no Go tests; they are printed only
}

// readKnown returns the listed entries. An entry without all its fields is an error.
func readKnown(path string) (knownList, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return knownList{}, err
	}
	return parseKnown(string(text))
}

func parseKnown(text string) (knownList, error) {
	known := knownList{tests: map[testID]string{}}
	for _, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, separator)
		if err := checkFields(fields); err != nil {
			return knownList{}, fmt.Errorf("%q: %w", line, err)
		}
		if fields[fieldPackage] == noPackage {
			known.cases = append(known.cases, line)
			continue
		}
		id := testID{name: fields[fieldTest], pkg: fields[fieldPackage]}
		if _, listed := known.tests[id]; listed {
			return knownList{}, fmt.Errorf("%s in %s is listed twice", id.name, id.pkg)
		}
		known.tests[id] = line
	}
	return known, nil
}

// checkFields returns an error unless an entry names its test or case, package, command, observation and issue.
func checkFields(fields []string) error {
	if len(fields) != fieldCount {
		const want = "test | package or - | command and seed | what was seen | issue N"
		return fmt.Errorf("%d fields; want %s", len(fields), want)
	}
	for _, field := range fields {
		if strings.TrimSpace(field) == "" {
			return fmt.Errorf("a field is empty")
		}
	}
	if fields[fieldPackage] != noPackage && !testName.MatchString(fields[fieldTest]) {
		return fmt.Errorf("%q is not the name of a top-level test", fields[fieldTest])
	}
	if !issueName.MatchString(fields[fieldIssue]) {
		return fmt.Errorf("%q is not an issue", fields[fieldIssue])
	}
	return nil
}
