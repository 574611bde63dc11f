package platform

import (
	"errors"
	"testing"
)

// The admin address and the inherited descriptor for hot restarts are validated, and an error names the key or
// variable.
func TestServiceVariables(t *testing.T) {
	const text = `{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1f","operator":"127.0.0.1:9901"}`
	invalidKey := func(name, value string) string {
		_, err := Parse([]byte(text), getenvFrom(map[string]string{name: value}))
		var configErr *ConfigError
		// The text has no settings, which is the last error that Parse checks.
		if errors.As(err, &configErr) && configErr.Key != "settings" {
			return configErr.Key
		}
		return ""
	}
	for _, tc := range []struct{ name, value, key string }{
		{"ROUTER_OPERATOR", "nowhere", "operator"},
		{"ROUTER_INHERITED_FD", "five", "ROUTER_INHERITED_FD"},
		{"ROUTER_INHERITED_FD", "2", "ROUTER_INHERITED_FD"},
		{"ROUTER_INHERITED_FD", "5", ""},
		{"ROUTER_OPERATOR", "127.0.0.1:7", ""},
	} {
		if key := invalidKey(tc.name, tc.value); key != tc.key {
			t.Errorf("%s=%s: %q, want %q", tc.name, tc.value, key, tc.key)
		}
	}
}
