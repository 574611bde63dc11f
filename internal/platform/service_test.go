package platform

import (
	"errors"
	"testing"
)

// What daily service adds is checked: a mistake names its variable, and nothing is inherited or met without being told.
func TestServiceVariables(t *testing.T) {
	const text = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f","operator":"127.0.0.1:9901"}`
	parse := func(env map[string]string) (*Config, string) {
		c, err := Parse([]byte(text), func(name string) string { return env[name] })
		var bad *ConfigError
		if errors.As(err, &bad) && bad.Key != "settings" { // there are none: all else has been read by then
			return c, bad.Key
		}
		return c, ""
	}
	for _, tc := range []struct{ name, value, key string }{
		{"ROUTER_OPERATOR", "nowhere", "operator"}, {"ROUTER_INHERITED_FD", "five", "ROUTER_INHERITED_FD"},
		{"ROUTER_INHERITED_FD", "2", "ROUTER_INHERITED_FD"}, {"ROUTER_INHERITED_FD", "5", ""}, {"ROUTER_OPERATOR", "127.0.0.1:7", ""},
	} {
		if _, key := parse(map[string]string{tc.name: tc.value}); key != tc.key {
			t.Errorf("%s=%s: %q, want %q", tc.name, tc.value, key, tc.key)
		}
	}
}
