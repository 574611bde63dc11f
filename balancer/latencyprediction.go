package balancer

import "dunlinsail/internal/monotime"

// predictLatency returns the latency (microseconds) that is expected of a request of this work (microseconds)
// if it is sent to e now: the round trip, and the service time at e's predicted load.
//
// It is at least the time for which e has attempts in flight and has sent nothing: an endpoint that is stuck
// shows by that long before its averages change.
func (b *Balancer) predictLatency(now monotime.Micros, e *endpoint, work float64) float64 {
	serviceTime := work * b.fleetSlowdown() * e.currentServiceTimeRatio(now, b)
	expected := e.rtt.valueOr(0) + serviceTime*b.queueDelayFactor(now, e)
	return max(expected, float64(now-e.silentSince)*indicator(e.inflight > e.streaming))
}

// queueDelayFactor returns how many times longer than at an idle endpoint a request takes at e's predicted
// load (requests): once more requests need a core than there are cores, all take longer in proportion.
func (b *Balancer) queueDelayFactor(now monotime.Micros, e *endpoint) float64 {
	return max(1, (b.predictLoad(now, e)*b.coreFraction()+1)/assumedCores)
}

// coreFraction returns the part (0 to 1) of a request's time at an endpoint for which it needs a core. A
// request that waits for something else delays no other. It is known where endpoints report their service
// time without waiting (microseconds), else 1.
func (b *Balancer) coreFraction() float64 {
	if !(b.serviceTime.value > 0) {
		return 1
	}
	return min(1, b.serviceTime.value/(b.meanWork.value*b.fleetServiceTimeRatio.valueOr(1)))
}

// serviceTimeMemory is the time after which a service time that was observed at an endpoint no longer counts.
const serviceTimeMemory = 10 * second

// currentServiceTimeRatio returns e's service time per unit of work (1: as the fleet's usual one), longer
// while e warms up. What was observed at e counts less with time, down to the fleet's mean, so that an
// endpoint that was slow once is used again.
func (e *endpoint) currentServiceTimeRatio(now monotime.Micros, b *Balancer) float64 {
	fleetRatio := b.fleetServiceTimeRatio.valueOr(1)
	sampleWeight := max(0, 1-float64(now-e.serviceTimeObservedAt)/float64(serviceTimeMemory))
	sampleWeight *= indicator(e.serviceTimeRatio.samples > 0)
	return (fleetRatio + (e.serviceTimeRatio.value-fleetRatio)*sampleWeight) / e.capacityFraction(now, b)
}

// trendNoise is the latency trend up to which a slowdown may be chance, and its inverse that down to which a
// speedup may be.
const trendNoise = 1.5

// fleetSlowdown returns by which factor all endpoints are slower than predicted, or faster (less than 1),
// beyond what chance makes of the latency trend.
func (b *Balancer) fleetSlowdown() float64 {
	if b.latencyTrend < 1/trendNoise {
		return b.latencyTrend * trendNoise
	}
	return max(1, b.latencyTrend/trendNoise)
}
