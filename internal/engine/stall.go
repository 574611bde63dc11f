package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/stall"
	"dunlinsail/internal/monotime"
)

// Stalled reports that this process did not run for a time that ends now. The host calls it before it reports anything
// that has happened meanwhile. No endpoint is charged with that time: not with silence, latency or timeouts.
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

// Waiting reports whether an endpoint is expected to respond to an attempt or a probe. While it does, the host should
// have its event loop run at least every stall.HeartbeatInterval, so that a stall is found in full.
func (eng *Engine) Waiting() bool { return len(eng.calls) > 0 || eng.openProbes > 0 }

// extendTimeout moves the end of an attempt's own timeout on by the time for which this process has not run, up to the
// request's deadline.
func (eng *Engine) extendTimeout(a *Attempt, stalled monotime.Micros) {
	deadline := min(a.timeoutAt+stalled, a.Call.Request.Deadline)
	if a.done || a.timeoutAt == 0 || deadline <= a.Deadline {
		return
	}
	eng.cancelTimer(a.deadlineTimer)
	a.Deadline = deadline
	eng.startDeadlineTimer(a)
}

// inconclusiveFraction is the part of a wait for an endpoint for which this process must not have run, so that it says
// nothing of the endpoint that there was no response.
const inconclusiveFraction = 0.5

// isInconclusive reports whether this process did not run for most of a wait for an endpoint.
func isInconclusive(elapsed, stalled monotime.Micros) bool {
	return float64(stalled) > inconclusiveFraction*float64(elapsed)
}

// chargedStatus returns the status that counts for the endpoint of an attempt: a timeout and a failed dial are no
// evidence against it if this process did not run for most of the time.
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
