package main

import (
	"fmt"
	"os"
	"strings"
)

// maxKnown is how many tests the list may hold.
const maxKnown = 3

// minFields of a line are the test, its package, a cause and an issue.
const minFields = 4

// testID identifies a test, or with an empty name the part of a package's output that belongs to no test.
type testID struct {
	name string
	pkg  string
}

// readKnown returns the listed tests, each with its line.
func readKnown(path string) (map[testID]string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	known := map[testID]string{}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) < minFields || !strings.HasPrefix(fields[0], "Test") || !strings.Contains(line, "issue ") {
			return nil, fmt.Errorf("%s: %q is not a test, its package, a cause and an issue", path, line)
		}
		known[testID{name: fields[0], pkg: fields[1]}] = line
	}
	if len(known) > maxKnown {
		return nil, fmt.Errorf("%s lists %d tests, the maximum is %d", path, len(known), maxKnown)
	}
	return known, nil
}
