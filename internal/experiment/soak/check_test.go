package soak

import (
	"errors"
	"strings"
	"testing"
	"time"

	"dunlinsail/internal/fake/client"
	"dunlinsail/internal/fake/endpoint"
)

// Each violated rule is reported, except that a request lost or late because a process was paused is counted
// as excused.
func TestChecks(t *testing.T) {
	start := time.Now()
	errReset := errors.New("reset")
	for want, result := range map[string]client.Result{
		"look a got another": {ID: "a", Class: "look", Verdict: client.WrongResponse, StartedAt: start},
		"look b: lost":       {ID: "b", Class: "look", Verdict: client.ConnectionLost, Err: errReset, StartedAt: start},
		"look c: timed out":  {ID: "c", Class: "look", Verdict: client.TimedOut, Err: errReset, StartedAt: start},
	} {
		r := &run{report: &Report{}}
		r.checkResult(&result)
		if violations := r.report.Violations; len(violations) != 1 || !strings.HasPrefix(violations[0], want) {
			t.Errorf("violations %q, want %q", violations, want)
		}
		r = &run{report: &Report{}, pauses: []pause{{start: start.Add(-time.Second), end: start}}}
		r.checkResult(&result)
		excused := result.Verdict != client.WrongResponse
		if (r.report.Excused == 1) != excused || (len(r.report.Violations) == 0) != excused {
			t.Errorf("during a pause: %d excused, violations %q", r.report.Excused, r.report.Violations)
		}
	}
	r := &run{report: &Report{}, fleet: &fleet{ledger: &endpoint.Ledger{}}}
	r.checkResult(&client.Result{Verdict: client.ConnectionLost, Err: errNoNewConnections})
	r.checkEffects()
	r.checkDrains()
	if r.report.Requests != 0 || len(r.report.Violations) != 0 {
		t.Errorf("a request that was never sent: %+v", r.report)
	}
}

// A rejection while endpoints have capacity is a violation, unless the latency objective could no longer be
// met or the request had already reached an endpoint.
func TestRejectionWhileEndpointsHaveCapacity(t *testing.T) {
	for _, testCase := range []struct {
		name    string
		verdict client.Verdict
		latency time.Duration
		sent    map[string]bool
		want    int // number of violations
	}{
		{"at once", client.Rejected, time.Millisecond, nil, 1},
		{"after a pause, in time", client.Rejected, 489 * time.Millisecond, nil, 1},
		{"too late for an idle endpoint", client.Rejected, 490 * time.Millisecond, nil, 0},
		{"after an endpoint's fault", client.Rejected, time.Millisecond, map[string]bool{"a": true}, 0},
		{"served", client.Served, time.Millisecond, nil, 0},
	} {
		r := &run{report: &Report{}}
		r.checkRejection(&client.Result{
			ID: "a", Class: "look", Verdict: testCase.verdict, Latency: testCase.latency,
		}, testCase.sent)
		if got := len(r.report.Violations); got != testCase.want {
			t.Errorf("%s: %d violations, want %d", testCase.name, got, testCase.want)
		}
	}
}
