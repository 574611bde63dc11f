package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

// Stalled reports that this process did not run during an interval that ends now. The host must call it before
// it reports events that occurred during the stall. The time of the stall is not counted against endpoints as
// missing reports, latency or timeouts.
func (eng *Engine) Stalled(now monotime.Micros, interval stall.Interval) {
	eng.now = now
	eng.stalls.Add(interval)
	for _, p := range eng.pools {
		p.balancer.HandleStall(now, interval.Length())
	}
	for _, id := range slices.Sorted(maps.Keys(eng.calls)) {
		for _, a := range eng.calls[id].attempts {
			eng.extendTimeout(a, eng.stalls.Within(a.StartedAt, now))
		}
	}
}

// AwaitsEndpoint reports whether an endpoint is expected to respond to an attempt or a probe. While it returns true,
// the host should run its event loop at least every stall.HeartbeatInterval, so that stalls are detected in
// full length.
func (eng *Engine) AwaitsEndpoint() bool { return len(eng.calls) > 0 || eng.openProbes > 0 }

// extendTimeout extends an attempt's own timeout by the time during which this process did not run, but not
// beyond the request's deadline.
func (eng *Engine) extendTimeout(a *Attempt, stalled monotime.Micros) {
	deadline := min(a.timeoutAt+stalled, a.Call.Request.Deadline)
	if a.done || a.timeoutAt == 0 || deadline <= a.Deadline {
		return
	}
	eng.cancelTimer(a.deadlineTimer)
	a.Deadline = deadline
	eng.startDeadlineTimer(a)
}

// inconclusiveFraction is the fraction of the time spent waiting for an endpoint above which a stall of this
// process makes the lack of a response no evidence against the endpoint.
const inconclusiveFraction = 0.5

// isInconclusive reports whether this process was stalled for most of the time spent waiting for an endpoint.
func isInconclusive(elapsed, stalled monotime.Micros) bool {
	return float64(stalled) > inconclusiveFraction*float64(elapsed)
}

// chargedStatus returns the status with which an attempt counts for its endpoint. A timeout or a failed dial is
// no evidence against the endpoint if this process was stalled for most of the attempt.
func chargedStatus(status balancer.Status, elapsed, stalled monotime.Micros) balancer.Status {
	if !isInconclusive(elapsed, stalled) {
		return status
	}
	switch status {
	case balancer.Timeout:
		return balancer.Cancelled
	case balancer.ConnectFailed:
		return balancer.NotSent
	default:
		return status
	}
}
