package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

const (
	loadMemoryWorks   = 10.0 // mean works after which little of a report is still true
	maxHerdFactor     = 2.0  // attempts of others, at most, assumed for each of our own since a report
	serviceTimeMemory = 10 * second
	serviceTimeWeight = 0.03
	hintTrustWeight   = 0.005
	trendWeight       = 0.1
	maxTrendStep      = 4.0 // one outcome counts as no more than so many times its prediction
	trendNoise        = 1.5
	maxTrend          = 8.0
)

// predictLoad is how many requests e is expected to hold: by its latest report, and our attempts since, with
// as many of a few others, which have seen the same report. The older it is, the less it counts.
func (b *Balancer) predictLoad(now monotime.Micros, e *endpoint) float64 {
	typical := b.typicalLoadOf(now, e).value
	own := e.activeAttempts()
	if b.reportsLate || !e.hasReport {
		return typical + own
	}
	age := float64(now-e.reportedAt) + b.reportInterval()/2
	trust := math.Exp(-age / (loadMemoryWorks * b.meanWork.value))
	herd := min(maxHerdFactor, float64(b.settings.Balancers-1)/2)
	return typical + (e.othersLoad-typical)*trust + own + herd*max(0, own-e.ownLoadAtReport)
}

// typicalLoadOf is the load by others of endpoints like e: warming ones hold little, since all limit them.
func (b *Balancer) typicalLoadOf(now monotime.Micros, e *endpoint) *ewma {
	if e.warmingUp(now, b) {
		return &b.typicalWarmingLoad
	}
	return &b.typicalLoad
}

// coreFraction is the part of a request's service time for which it needs a core. It is known where endpoints
// report service times without waiting: while a request waits it slows no other down.
func (b *Balancer) coreFraction() float64 {
	if !(b.serviceTime.value > 0) {
		return 1
	}
	return min(1, b.serviceTime.value/(b.meanWork.value*b.fleetServiceTimeRatio.valueOr(1)))
}

// queueDelayFactor is how many times longer than at an idle endpoint a request takes at e's load.
func (b *Balancer) queueDelayFactor(now monotime.Micros, e *endpoint) float64 {
	return max(1, (b.predictLoad(now, e)*b.coreFraction()+1)/assumedCores)
}

// currentServiceTimeRatio is e's service time per unit of work, longer while it warms up. What was observed
// loses its weight with time, so that an endpoint that was slow once is used again.
func (e *endpoint) currentServiceTimeRatio(now monotime.Micros, b *Balancer) float64 {
	fleet := b.fleetServiceTimeRatio.valueOr(1)
	trust := max(0, 1-float64(now-e.serviceTimeObservedAt)/float64(serviceTimeMemory))
	trust *= indicator(e.serviceTimeRatio.samples > 0)
	return (fleet + (e.serviceTimeRatio.value-fleet)*trust) / e.capacityFraction(now, b)
}

// predictLatency is the latency expected of a request of this work sent to e now.
func (b *Balancer) predictLatency(now monotime.Micros, e *endpoint, work float64) float64 {
	service := work * b.fleetSlowdown() * e.currentServiceTimeRatio(now, b)
	expected := e.rtt.valueOr(0) + service*b.queueDelayFactor(now, e)
	// An endpoint that owes answers and sends none is stuck, long before averages show it.
	return max(expected, float64(now-e.silentSince)*indicator(e.inflight > e.streaming))
}

// learnLatency learns from an attempt's latency; atLeast says that it is only a lower bound.
func (b *Balancer) learnLatency(now monotime.Micros, r *request, a *attempt, latency float64, atLeast bool) {
	e := a.endpoint
	known := e.currentServiceTimeRatio(now, b)
	observed := max(0, latency-e.rtt.valueOr(0)) / a.workFactor
	if atLeast {
		// A timeout may have other causes: a single one must not make a fast endpoint seem out of reach.
		observed = min(observed, maxTrendStep*known)
		if observed <= known {
			return
		}
	}
	b.updateLatencyTrend(latency / a.expectedLatency)
	if !atLeast && r.logHintRatio != 0 && observed > 0 {
		// Rough hints overstate large requests and understate small ones: learn how far they are right.
		trust := b.hintTrust + hintTrustWeight*r.logHintRatio*math.Log(observed/known)
		b.hintTrust = min(1, max(0, trust))
	}
	capacity := e.capacityFraction(now, b) // what is recorded is the ratio of the warm endpoint
	e.serviceTimeRatio = ewma{value: known * capacity, samples: manySamples}
	e.serviceTimeRatio.add(observed*capacity, serviceTimeWeight)
	e.serviceTimeObservedAt = now
	switch {
	case atLeast || e.isWarmingUp:
	case r.HasWorkHint:
		b.fleetServiceTimeRatio.add(observed, slowWeight)
	default:
		// Without hints a class's work is its mean service time, and the fleet's ratio is 1.
		b.classes[r.Class].meanWork.add(observed*r.work/known, slowWeight)
	}
}

// updateLatencyTrend shifts all predictions by one outcome: a change of the whole fleet is learned at once.
func (b *Balancer) updateLatencyTrend(ratio float64) {
	step := trendWeight * (min(ratio, maxTrendStep) - 1)
	b.latencyTrend = min(maxTrend, max(1/maxTrend, b.latencyTrend*(1+step)))
}

// fleetSlowdown is the latency trend beyond what chance makes of it.
func (b *Balancer) fleetSlowdown() float64 { return max(1, b.latencyTrend/trendNoise) }
