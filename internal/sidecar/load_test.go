package sidecar

import (
	"fmt"
	"testing"
)

// A figure that is missing or makes no sense must not read as an idle endpoint.
func TestParseLoad(t *testing.T) {
	fields := []string{"busy_reqs", "served_ps", "cpu_share"}
	for _, tc := range []struct{ text, want string }{
		{"TEXT busy_reqs=7, served_ps=2, cpu_share=0.5", "[7 2 0.5]"},
		{"TEXT cpu_share=0.5,busy_reqs=7,served_ps=2", "[7 2 0.5]"},
		{"busy_reqs=0, new=4", "[0 NaN NaN]"},
		{"TEXT busy_reqs=x, served_ps=-1, cpu_share=Inf", "[]"},
		{"TEXT busy_reqs", "[]"},
		{"JSON {}", "[]"},
		{"", "[]"},
	} {
		if got := fmt.Sprint(parseLoad(fields, tc.text)); got != tc.want {
			t.Errorf("parseLoad(%q) = %s, want %s", tc.text, got, tc.want)
		}
	}
}
