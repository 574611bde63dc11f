package soak

import (
	"errors"
	"fmt"
	"time"

	"dunlinsail/internal/fake/client"
)

const (
	// drainSlack is how long after the drain grace a request may still start: 50 ms allowed by the rules on
	// sockets, and 150 ms for which the operating system may delay a process.
	drainSlack = 200 * time.Millisecond
	drainGrace = 250 * time.Millisecond // drain grace of endpoints, equal to the one in the configurations

	// latencyObjective is the latency objective of all request classes, equal to the one in the
	// configurations.
	latencyObjective = 500 * time.Millisecond

	// maxIdleResponseTime bounds the response time of an idle endpoint: the longest service time and the
	// network round trip.
	maxIdleResponseTime = 10 * time.Millisecond

	// recoveryTime is how long a process that continues after SIGSTOP may take to respond to the requests
	// that waited for it.
	recoveryTime = 500 * time.Millisecond
)

// recordViolation adds a violated rule to the report.
func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// checkRules checks all rules of the soak after all processes have ended.
func (r *run) checkRules() {
	reachedEndpoint := r.sentRequests()
	r.classifyWrongResponses()
	for _, result := range r.results {
		r.checkResult(&result)
		r.checkRejection(&result, reachedEndpoint)
	}
	r.checkEffects()
	r.checkDrains()
	for _, p := range r.processes.started {
		if p.killed && !r.pausedSince(p.terminatedAt) {
			r.recordViolation("a process had not ended %v after SIGTERM", killAfter)
		}
		if p.exitErr != nil && !p.killed && !p.rejectedByTakeover() {
			r.recordViolation("a process ended with %v", p.exitErr)
		}
	}
	if sockets := r.leftoverSockets(); len(sockets) > 0 && !r.anyKilled() {
		r.recordViolation("socket files left: %v", sockets)
	}
}

// anyKilled reports whether the fake platform has killed a process; a killed process cannot remove its socket
// files.
func (r *run) anyKilled() bool {
	for _, p := range r.processes.started {
		if p.killed {
			return true
		}
	}
	return false
}

// checkResult checks that a request received its own final response in time.
func (r *run) checkResult(result *client.Result) {
	if errors.Is(result.Err, errNoNewConnections) {
		return // the request was never sent, or the process closed its connection before reading it
	}
	r.report.Requests++
	r.report.Verdicts[result.Verdict]++
	end := result.StartedAt.Add(result.Latency)
	switch result.Verdict {
	case client.WrongResponse:
		r.checkWrongResponse(result)
	case client.ConnectionLost, client.TimedOut:
		if r.overlapsPause(result.StartedAt, end) {
			r.report.Excused++
			return
		}
		r.recordViolation("%s %s: %v after %v: %v", result.Class, result.ID, result.Verdict, result.Latency, result.Err)
	}
}

// sentRequests returns the IDs of the requests that reached an endpoint.
func (r *run) sentRequests() map[string]bool {
	sent := map[string]bool{}
	for _, execution := range r.fleet.ledger.Runs() {
		sent[execution.TraceID] = true
	}
	return sent
}

// checkRejection checks that no request was rejected that an idle endpoint could have served within the
// latency objective. The endpoints do not limit concurrent requests, so they always have capacity. A request
// that reached an endpoint is skipped, since faults of that endpoint may have used up its permitted retries.
func (r *run) checkRejection(result *client.Result, reachedEndpoint map[string]bool) {
	if result.Verdict != client.Rejected || reachedEndpoint[result.ID] {
		return
	}
	if result.Latency+maxIdleResponseTime < latencyObjective {
		r.recordViolation("%s %s, sent at %v, was rejected after %v while endpoints had capacity: %s",
			result.Class, result.ID, result.StartedAt.Sub(r.startedAt).Round(time.Millisecond),
			result.Latency, result.Reason)
	}
}

// overlapsPause reports whether a process was stopped by SIGSTOP during a request, or shortly before it.
// Requests that waited for the stopped process may be late, or lost if the platform killed the process before
// it could finish.
func (r *run) overlapsPause(start, end time.Time) bool {
	for _, p := range r.pauses {
		if start.Before(p.end.Add(recoveryTime)) && end.After(p.start) {
			return true
		}
	}
	return false
}

// checkEffects checks that no request of an unsafe or keyed class took effect twice.
func (r *run) checkEffects() {
	effectCounts := map[string]int{}
	for _, execution := range r.fleet.ledger.Runs() {
		if execution.TookEffect && execution.Class != "look" {
			effectCounts[execution.Class+" "+execution.TraceID]++
		}
	}
	for request, count := range effectCounts {
		if count > 1 {
			r.recordViolation("%s took effect %d times", request, count)
		}
	}
}

// checkDrains checks that a draining endpoint received no new request after the drain grace. A process that
// was stopped by SIGSTOP in the meantime may, right after it continues, send requests that it had assigned to
// the endpoint before.
func (r *run) checkDrains() {
	for _, execution := range r.fleet.ledger.Runs() {
		drainingSince, draining := r.drainingSince[execution.Endpoint]
		if !draining || execution.StartedAt.Sub(drainingSince) <= drainGrace+drainSlack {
			continue
		}
		excused := false
		for _, p := range r.pauses {
			startedJustAfter := execution.StartedAt.After(p.end) &&
				execution.StartedAt.Sub(p.end) < drainGrace+drainSlack
			excused = excused || startedJustAfter && p.start.Before(drainingSince.Add(drainGrace))
		}
		if !excused {
			r.recordViolation("%s %s reached %s %v after that was listed as draining",
				execution.Class, execution.TraceID, execution.Endpoint, execution.StartedAt.Sub(drainingSince))
		}
	}
}
