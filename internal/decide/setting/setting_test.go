package setting

import "testing"

func TestErrorNamesComponentKeyAndReason(t *testing.T) {
	for want, e := range map[string]Error{
		"lease: drift: must be in 0..0.1": {Component: "lease", Key: "drift", Reason: "must be in 0..0.1"},
		"probes: -1: must be positive":    {Key: "probes", Reason: "-1: must be positive"},
	} {
		if got := e.Error(); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
