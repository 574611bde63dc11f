package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	// queuedProbeBudget is the greatest part of the goal's result, 0 to 1, that probes for queued requests
	// may cost. Divided by Prices.Probe it gives probes per queued request.
	queuedProbeBudget = 0.015

	maxProbesPerQueued  = 3.0 // probes per queued request, however cheap a probe is
	maxLimitedPerQueued = 2.0 // probes per queued request, under an overload policy

	// maxQueueTimeDivisor divides the latency objective: a request waits for probes that part of it at most.
	maxQueueTimeDivisor = 10

	// maxRecentRequests is the number of requests within the time for which a report is recent, above which
	// none is queued: the rounds of a busy balancer keep its reports recent. It does not hold under an
	// overload policy, which leaves few probes to the rounds.
	maxRecentRequests = 1.0
)

// queueUntilProbed queues r until probes have returned, and reports whether it did. A quiet balancer's
// reports are too old to pick by. Probes that earlier queued requests wait for count; only the missing ones
// are sent now. r waits for a tenth of its latency objective at most (maxQueueTimeDivisor), and not beyond
// its deadline.
//
// It does not queue r where enough reports are recent (probesForQueued), or where no probe could be sent.
func (b *Balancer) queueUntilProbed(now monotime.Micros, r *request) bool {
	needed := b.probesForQueued(now)
	b.probeRandom(now, needed-b.awaitedProbes, true)
	if b.awaitedProbes == 0 {
		return false
	}
	r.queued = true
	b.queued = append(b.queued, r)
	wait := min(b.classOf(r).LatencyObjective/maxQueueTimeDivisor, r.Deadline-now)
	b.actions.SetTimer(max(1, wait), r.timerToken)
	return true
}

// probesForQueued returns how many more reports a request needs now, at most the number of endpoints.
//
// The price of a probe bounds them; a fraction of a probe is sent at random. Reports that are younger than
// recentWorks mean works count. It is 0 for a busy balancer without an overload policy, and where an endpoint
// makes a new report less than once in recentWorks mean works: then all balancers would see the same report
// and follow it.
func (b *Balancer) probesForQueued(now monotime.Micros) int {
	maxProbes := min(maxProbesPerQueued, queuedProbeBudget/max(minProbePrice, b.settings.Prices.Probe))
	requestLimit := maxRecentRequests * float64(second) // requests per second, times microseconds
	if b.overload != nil {
		maxProbes = min(maxProbes, maxLimitedPerQueued)
		requestLimit = math.Inf(1)
	}
	needed := min(int(maxProbes+b.random.float()), len(b.endpoints))
	maxAge := recentWorks * b.meanWork.value
	if b.reportInterval() > maxAge || b.requestRate.rate(now)*maxAge > requestLimit {
		needed = 0
	}
	for i := len(b.probePool) - 1; i >= 0 && needed > 0 && float64(now-b.probePool[i].reportedAt) < maxAge; i-- {
		needed--
	}
	return needed
}

// dispatchQueued dispatches all queued requests and ends the round: results of its probes that come later do
// not count for the next one.
func (b *Balancer) dispatchQueued(now monotime.Micros) {
	for _, r := range b.queued {
		r.queued = false
		b.dispatch(now, r)
	}
	b.queued = b.queued[:0]
	b.awaitedProbes = 0
	b.queueRound++
}
