package config

import (
	_ "embed"
	"strings"
	"testing"

	"dunlinsail/internal/fake/require"
)

// keyedRoute is a file whose only class is retried within a cell, with a pool that does not state the cells.
//
//go:embed testdata/keyed-static.toml
var keyedRoute string

// staticList is the list of addresses in keyedRoute.
const staticList = `endpoints = ["127.0.0.1:9001", "127.0.0.1:9002"]`

// Operators are warned where a group that no list states keeps keyed requests from being retried, and only there.
func TestWarnsOfListsWithoutGroups(t *testing.T) {
	for name, tc := range map[string]struct {
		edits  []string
		warned bool
	}{
		"cell":                 {nil, true},
		"zone":                 {[]string{`"cell"`, `"zone"`}, true},
		"all endpoints":        {[]string{`"cell"`, `"all"`}, false},
		"file":                 {[]string{staticList, `file = "/pool.json"`}, false},
		"discovery":            {[]string{staticList, `discovery = "127.0.0.1:1"`}, false},
		"one attempt":          {[]string{"[[route]]", "[attempts]\nmost = 1\n[[route]]"}, false},
		"one attempt by route": {[]string{"class = \"book\"\nkey", "class = \"book\"\ntries = 1\nkey"}, false},
		"safe class":           {[]string{"\"keyed\"\ngroup = \"cell\"\nwindow = \"400ms\"", `"safe"`}, false},
	} {
		c, err := Parse([]byte(strings.NewReplacer(tc.edits...).Replace(keyedRoute)))
		require.NoError(t, err)
		warnings := c.Warnings()
		if got := len(warnings) == 1 && warnings[0].Key == "class.0.group"; got != tc.warned || len(warnings) > 1 {
			t.Errorf("%s: warnings %v, want some: %v", name, warnings, tc.warned)
		}
	}
}
