package main

import (
	"slices"
	"testing"
)

func newChecker() checker {
	return checker{
		names: map[string]bool{"idleConnsDivisor": true, "Scheduler": true, "Push": true},
		folders: map[string]bool{
			"internal/decide": true, "internal/decide/fairqueue": true, "internal/decide/imports_test.go": true,
		},
		allowed: map[string]bool{"gRPC": false},
	}
}

func TestText(t *testing.T) {
	for text, want := range map[string][]string{
		"idleConnsDivisor of the descriptors":      nil,
		"restPart of the descriptors":              {"a.go:1: restPart does not exist"},
		"Package decide/versions":                  {"a.go:1: decide/versions does not exist"},
		"decide/fairqueue, internal/decide":        nil,
		"see internal/decide/imports_test.go":      nil,
		"a fairqueue.Scheduler, fairqueue.Lost":    {"a.go:1: fairqueue.Lost does not exist"},
		"other.Lost is no name of this module":     nil,
		"over gRPC, in words without inner letter": nil,
		"3 MB of HTTP, 2x faster":                  nil,
	} {
		c := newChecker()
		if got := c.text("a.go:1", text); !slices.Equal(got, want) {
			t.Errorf("%q: %q, want %q", text, got, want)
		}
	}
}

func TestUnusedAllowances(t *testing.T) {
	c := newChecker()
	if got := c.unusedAllowances(); len(got) != 1 {
		t.Errorf("%q, want one that stands nowhere", got)
	}
	c.text("a.go:1", "gRPC")
	if got := c.unusedAllowances(); len(got) != 0 {
		t.Errorf("%q after the allowance was needed", got)
	}
}

func TestReadCells(t *testing.T) {
	const row = "| term | meaning | word | `before` |"
	if got := readCells(row, 2); got != "| term | meaning " {
		t.Errorf("two cells: %q", got)
	}
	if got := readCells(row, 0); got != row {
		t.Errorf("all cells: %q", got)
	}
}
