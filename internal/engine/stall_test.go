package engine

import (
	"fmt"
	"testing"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

// stallLengths are the lengths of the stalls of this process that are tested.
var stallLengths = []monotime.Micros{monotime.Second / 10, 6 * monotime.Second / 10, monotime.Second,
	5 * monotime.Second}

// newBusyEngine returns an engine that has learned from 400 requests that its endpoints respond within 3 ms.
func newBusyEngine(t *testing.T) (engine *Engine, p *Pool, h *recordingHost, now monotime.Micros) {
	t.Helper()
	site := tenantSite(0, 1, 0)
	for i := range site.Settings.Classes {
		site.Settings.Classes[i].Idempotency = balancer.Idempotent
	}
	engine, p, h = newEngine(t, site, nil, nil)
	for i := range monotime.Micros(400) {
		now = 100_000 + 10_000*i
		advanceTo(engine, now)
		submit(t, engine, p, now, fmt.Sprint("before", i), 1)
		h.serveAll(engine, now+3_000)
	}
	return engine, p, h, now + 10_000
}

// Responses that arrive while the process is stalled are handled after the stall. They and the following
// requests are served as if there had been no stall.
func TestRequestsAfterStallAreServed(t *testing.T) {
	for _, length := range stallLengths {
		engine, p, h, now := newBusyEngine(t)
		for i := range 6 {
			submit(t, engine, p, now, fmt.Sprint("during", i), 1)
		}
		before := p.balancer.LearnedState(now)
		now += length
		engine.Stalled(now, stall.Interval{From: now - length, To: now})
		h.serveAll(engine, now)
		for i := range 40 {
			submit(t, engine, p, now, fmt.Sprint("after", i), 1)
		}
		h.serveAll(engine, now+5_000)
		for id, r := range h.responses {
			if r.Verdict != Served {
				t.Errorf("stall of %d us: request %s ended with verdict %v %s", length, id, r.Verdict, r.Reason)
			}
		}
		after := p.balancer.LearnedState(now)
		if after.LatencyTrend > 1.5*before.LatencyTrend {
			t.Errorf("stall of %d us: latency trend %v before and %v after",
				length, before.LatencyTrend, after.LatencyTrend)
		}
	}
}

// An attempt's own timeout is extended by the time during which the process was stalled.
func TestTimeoutDoesNotRunDuringStall(t *testing.T) {
	engine, p, h, now := newBusyEngine(t)
	submit(t, engine, p, now, "a", 1)
	a := h.started[0]
	if a.timeoutAt == 0 || a.timeoutAt >= a.Call.Request.Deadline {
		t.Fatalf("the attempt has no timeout before its deadline: timeoutAt %d", a.timeoutAt)
	}
	const length = 60_000
	timeout := a.timeoutAt
	now += 10_000
	engine.Stalled(now+length, stall.Interval{From: now, To: now + length})
	advanceTo(engine, timeout+length-1)
	if a.done {
		t.Error("the attempt timed out without an extension by the stall")
	}
	advanceTo(engine, timeout+length)
	if !a.done {
		t.Error("the attempt has not timed out after the stall")
	}
}

// An endpoint is not charged with a timeout or a failed dial if the process was stalled for more than half of
// the attempt.
func TestChargedStatus(t *testing.T) {
	const elapsed = 900_000
	for _, c := range []struct {
		status  balancer.Status
		stalled monotime.Micros
		want    balancer.Status
	}{
		{balancer.Timeout, 0, balancer.Timeout},
		{balancer.Timeout, elapsed / 2, balancer.Timeout},
		{balancer.Timeout, elapsed/2 + 1, balancer.Cancelled},
		{balancer.ConnectFailed, elapsed/2 + 1, balancer.NotSent},
		{balancer.OK, elapsed, balancer.OK},
		{balancer.Error, elapsed, balancer.Error},
	} {
		if got := chargedStatus(c.status, elapsed, c.stalled); got != c.want {
			t.Errorf("%v with %d of %d us stalled: charged status %v, want %v",
				c.status, c.stalled, elapsed, got, c.want)
		}
	}
}

// A load report that arrived while the process was stalled is out of date: it is not used as a current report,
// and its round trip time is not learned.
func TestProbeDuringStallIsNoReport(t *testing.T) {
	engine, p, _, now := newBusyEngine(t)
	e := p.byName["e1"]
	engine.openProbes++
	engine.ProbeEnded(now, p, e, now-500, AttemptResult{Status: balancer.OK, ObservedAt: now})
	before := p.balancer.LearnedState(now)
	engine.openProbes++
	engine.Stalled(now+600_000, stall.Interval{From: now, To: now + 600_000})
	now += 600_000
	engine.ProbeEnded(now, p, e, now-600_100, AttemptResult{Status: balancer.OK, ObservedAt: now})
	after := p.balancer.LearnedState(now)
	for i := range before.Endpoints {
		if got, want := after.Endpoints[i].RTT, before.Endpoints[i].RTT; got != want {
			t.Errorf("learned round trip time %v before and %v after the stall", want, got)
		}
	}
	if engine.AwaitsEndpoint() {
		t.Error("Waiting is true without an open attempt or probe")
	}
}
