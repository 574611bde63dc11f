package platform

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"dunlinsail/internal/discovery"
	"dunlinsail/internal/fake/require"
)

// smallSiteSettings are valid settings of a small site.
const smallSiteSettings = `{"peers-total":1,"areas":["a","b"],"skus":["m1"],"discovery":"automatic",
	"classes":[
	{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0},
	{"name":"book","repeat":"token","group":"cell","window":400000,"target":500000,"give-up":1000000,"credit":5.0},
	{"name":"pay","repeat":"side_effect","target":500000,"give-up":1000000,"credit":5.0}],
	"contract":{"drain-grace":250000}}`

// getenvFrom returns a getenv function for Parse that looks variables up in a map.
func getenvFrom(variables map[string]string) func(string) string {
	return func(name string) string { return variables[name] }
}

// The error for an invalid value names its key or variable, and valid values of keys and variables are applied.
func TestConfigErrors(t *testing.T) {
	validFile := func() map[string]any {
		return map[string]any{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
			"limits": map[string]any{}, "settings": json.RawMessage(smallSiteSettings)}
	}
	for _, tc := range []struct {
		key   string
		value any
		want  string
	}{
		{"listen", "nowhere", "listen"},
		{"discovery", 7, "discovery"},
		{"seed", "xyz", "seed"},
		{"limits", map[string]any{"memory_mb": -1}, "limits.memory_mb"},
		{"limits", map[string]any{"sockets": 3}, "limits.sockets"},
		{"limits", map[string]any{"sockets": "many"}, "limits.sockets"},
		{"known", map[string]any{"instances": 3}, "known.instances"},
		{"settings", map[string]any{"classes": []any{}}, "settings"},
		{"settings", map[string]any{"classes": []any{map[string]any{"name": "a", "target": "x", "give-up": 1,
			"repeat": "pure"}}}, "classes.0.target"},
		{"settings", map[string]any{"areas": "a"}, "settings.areas"},
	} {
		file := validFile()
		file[tc.key] = tc.value
		text, err := json.Marshal(file)
		require.NoError(t, err)
		if _, err := Parse(text, getenvFrom(nil)); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s = %v: error %v, want one that names %s", tc.key, tc.value, err, tc.want)
		}
	}
	text, err := json.Marshal(validFile())
	require.NoError(t, err)
	_, err = Parse(text, getenvFrom(map[string]string{"ROUTER_EVENTS": "yes"}))
	if err == nil || !strings.Contains(err.Error(), "ROUTER_EVENTS") {
		t.Errorf("ROUTER_EVENTS=yes: error %v, want one that names it", err)
	}
	c, err := Parse(text, getenvFrom(map[string]string{"ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.9:1"}))
	require.NoError(t, err)
	got := fmt.Sprint(c.Name, c.Listen, c.Discovery, c.Seed, c.Site.Classes, c.Site.Settings.Contract.DrainGrace)
	if got != "n9127.0.0.9:1127.0.0.1:131 [look book pay] 250000" {
		t.Errorf("parsed as %s", got)
	}
}

// Without a list in its file a sidecar starts with NoGeneration. If it started with an empty list instead, the
// endpoints of the first list from discovery would count as just started.
func TestNoListKnown(t *testing.T) {
	for known, want := range map[string]int64{
		"": discovery.NoGeneration,
		`"known":{"generation":4,"instances":[]},`: 4,
	} {
		text := `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",` + known +
			`"settings":` + smallSiteSettings + `}`
		c, err := Parse([]byte(text), getenvFrom(nil))
		if err != nil || c.InitialList.Generation != want {
			t.Errorf("known %q: %+v, %v; want generation %d", known, c, err, want)
		}
	}
}
