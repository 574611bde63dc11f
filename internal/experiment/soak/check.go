package soak

import (
	"errors"
	"fmt"
	"time"

	"dunlinsail/internal/fake/client"
)

const (
	// drainSlack is how long after the grace of a drain a request may still begin: 50 ms of the rules on sockets, and
	// 150 ms for which a process may be held up.
	drainSlack = 200 * time.Millisecond
	drainGrace = 250 * time.Millisecond // as in the configurations

	// latencyObjective is that of all classes, as in the configurations.
	latencyObjective = 500 * time.Millisecond

	// maxIdleResponseTime is the time in which an idle endpoint responds at most: the longest service time, and its way.
	maxIdleResponseTime = 10 * time.Millisecond

	// recoveryTime is how long a process that goes on after SIGSTOP may take to answer what has waited for it.
	recoveryTime = 500 * time.Millisecond
)

// violate records a broken rule.
func (r *run) recordViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Violations = append(r.report.Violations, fmt.Sprintf(format, args...))
}

// check checks the rules once all processes have ended.
func (r *run) checkRules() {
	sent := r.sentRequests()
	r.classifyWrongResponses()
	for _, result := range r.results {
		r.checkResult(&result)
		r.checkRejection(&result, sent)
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

// anyKilled reports whether the platform has killed a process, which then could not remove its files.
func (r *run) anyKilled() bool {
	for _, p := range r.processes.started {
		if p.killed {
			return true
		}
	}
	return false
}

// checkResult checks that a request got its own final response in time.
func (r *run) checkResult(result *client.Result) {
	if errors.Is(result.Err, errNoNewConnections) {
		return // it was never sent, or was not read by a process that closed its connection
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

// sentRequests returns the IDs of the requests that have reached an endpoint.
func (r *run) sentRequests() map[string]bool {
	sent := map[string]bool{}
	for _, execution := range r.fleet.ledger.Runs() {
		sent[execution.TraceID] = true
	}
	return sent
}

// checkRejection checks that no request was rejected that an idle endpoint would have answered within its latency
// objective. The endpoints have no bound on concurrent requests, so that they have capacity at any time; a request
// that has reached one is left out, since its fault may have used up what retries are allowed.
func (r *run) checkRejection(result *client.Result, sent map[string]bool) {
	if result.Verdict != client.Rejected || sent[result.ID] {
		return
	}
	if result.Latency+maxIdleResponseTime < latencyObjective {
		r.recordViolation("%s %s, sent at %v, was rejected after %v while endpoints had capacity: %s",
			result.Class, result.ID, result.StartedAt.Sub(r.startedAt).Round(time.Millisecond),
			result.Latency, result.Reason)
	}
}

// overlapsPause reports whether a process was stopped by SIGSTOP at some time of a request. What waited for it then may
// be late, or lost if the platform killed that process before it could finish.
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
	effects := map[string]int{}
	for _, execution := range r.fleet.ledger.Runs() {
		if execution.TookEffect && execution.Class != "look" {
			effects[execution.Class+" "+execution.TraceID]++
		}
	}
	for request, count := range effects {
		if count > 1 {
			r.recordViolation("%s took effect %d times", request, count)
		}
	}
}

// checkDrains checks that a draining endpoint got nothing new after the grace. A process that was stopped meanwhile may
// send what it had decided before, right after it goes on.
func (r *run) checkDrains() {
	for _, execution := range r.fleet.ledger.Runs() {
		drainingSince, draining := r.drainingSince[execution.Endpoint]
		if !draining || execution.StartedAt.Sub(drainingSince) <= drainGrace+drainSlack {
			continue
		}
		allowed := false
		for _, p := range r.pauses {
			startedJustAfter := execution.StartedAt.After(p.end) &&
				execution.StartedAt.Sub(p.end) < drainGrace+drainSlack
			allowed = allowed || startedJustAfter && p.start.Before(drainingSince.Add(drainGrace))
		}
		if !allowed {
			r.recordViolation("%s %s reached %s %v after that was listed as draining",
				execution.Class, execution.TraceID, execution.Endpoint, execution.StartedAt.Sub(drainingSince))
		}
	}
}
