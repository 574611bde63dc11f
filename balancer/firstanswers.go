package balancer

import (
	"slices"

	"dunlinsail/internal/monotime"
)

const (
	// initialWorkSamples is the number of answers for which the initial estimate of the work of a class counts.
	initialWorkSamples = 10.0

	// learnedWorkSamples is the number of answers, the initial estimate included, from which on the work of a
	// class is known: each answer counts by slowWeight from then on.
	learnedWorkSamples = 1 / slowWeight
)

// updateMeanWork updates the mean work of a class by that of one answer (microseconds). All answers count
// alike, until slowWeight is more than the part of each: a new process would else need hundreds of answers to
// correct its initial estimate.
func (c *classStats) updateMeanWork(work float64) {
	c.meanWork.add(work, max(slowWeight, 1/(c.meanWork.samples+1)))
}

// isWorkUncertain reports whether the work of r is known by few answers only.
func (b *Balancer) isWorkUncertain(r *request) bool {
	return !r.HasWorkHint && b.classes[r.Class].meanWork.samples < learnedWorkSamples
}

// queueForResponses queues a new request that is over the latency budget while its class is learning, and
// reports whether it did. An estimate that few answers support rejects nothing at once: r is tried again with
// each answer to its class, for a tenth of its latency objective at most (maxQueueTimeDivisor), and not past
// its deadline. r is not queued where no endpoint is warm: warming ones teach nothing of a class.
func (b *Balancer) queueForResponses(now monotime.Micros, r *request) bool {
	if r.hasAwaitedResponses || !b.isWorkUncertain(r) || b.warmCount == 0 || now >= r.Deadline {
		return false
	}
	r.waiting = true
	r.hasAwaitedResponses = true
	c := &b.classes[r.Class]
	c.waiting = append(c.waiting, r)
	wait := min(b.classOf(r).LatencyObjective/maxQueueTimeDivisor, r.Deadline-now)
	b.actions.SetTimer(max(1, wait), r.timerToken)
	return true
}

// dispatchAwaitingResponses dispatches the requests that wait for answers to a class, in their order, up to
// the first one that is still over the latency budget.
func (b *Balancer) dispatchAwaitingResponses(now monotime.Micros, class uint8) {
	for len(b.classes[class].waiting) > 0 {
		r := b.classes[class].waiting[0]
		b.dispatch(now, r)
		if r.waiting {
			return
		}
	}
}

// stopAwaitingResponses removes r from the requests that wait for answers to its class.
func (b *Balancer) stopAwaitingResponses(r *request) {
	c := &b.classes[r.Class]
	c.waiting = slices.DeleteFunc(c.waiting, func(other *request) bool { return other == r })
	r.waiting = false
}
