package balancer

import (
	"math"

	"dunlinsail/internal/monotime"
)

// serviceTimeWeight is the weight of one attempt in the service time ratio of its endpoint.
const serviceTimeWeight = 0.03

// updateLatencyEstimates updates the predictions by the latency (microseconds) of an attempt. lowerBound is
// set for a timeout: the attempt would have taken longer, so that it may only raise the endpoint's service
// time. It counts as at most maxTrendStep times the known service time ratio, and has no effect if it is not
// above that ratio.
//
// An attempt that counts, by an answer or a timeout, also moves the latency trend of all endpoints
// (updateLatencyTrend). Only an answer moves the trust in hints and, of a warm endpoint, what is known of the
// fleet and the class.
func (b *Balancer) updateLatencyEstimates(now monotime.Micros, r *request, a *attempt, latency float64,
	lowerBound bool) {
	e := a.endpoint
	expectedRatio := e.currentServiceTimeRatio(now, b)
	observedRatio := max(0, latency-e.rtt.valueOr(0)) / a.workFactor
	if lowerBound {
		// A timeout may have other causes: a single one must not make a fast endpoint seem out of reach.
		observedRatio = min(observedRatio, maxTrendStep*expectedRatio)
		if observedRatio <= expectedRatio {
			return
		}
	}
	b.updateLatencyTrend(latency / a.expectedLatency)
	if !lowerBound && r.logHintRatio != 0 && observedRatio > 0 {
		b.updateHintTrust(r, observedRatio/expectedRatio)
	}
	warmupFraction := e.capacityFraction(now, b) // the ratio is recorded as that of the warm endpoint
	e.serviceTimeRatio = ewma{value: expectedRatio * warmupFraction, samples: manySamples}
	e.serviceTimeRatio.add(observedRatio*warmupFraction, serviceTimeWeight)
	e.serviceTimeObservedAt = now
	if !lowerBound && !e.isWarmingUp {
		b.updateFleetServiceTime(r, observedRatio, expectedRatio)
	}
}

// updateFleetServiceTime updates the fleet's service time ratio by one attempt. Without a work hint it
// updates the mean work of the class instead: then work is the mean service time, and the fleet's ratio is 1.
func (b *Balancer) updateFleetServiceTime(r *request, observedRatio, expectedRatio float64) {
	if r.HasWorkHint {
		b.fleetServiceTimeRatio.add(observedRatio, slowWeight)
	} else {
		b.classes[r.Class].updateMeanWork(observedRatio * r.work / expectedRatio)
	}
}

// hintTrustWeight is the weight of one answer in hintTrust.
const hintTrustWeight = 0.005

// updateHintTrust updates how far work hints are right, 0 to 1, by the ratio of an observed service time to
// the expected one. Rough hints overstate large requests and understate small ones: if large ones take less
// than expected, hints count less.
func (b *Balancer) updateHintTrust(r *request, ratio float64) {
	trust := b.hintTrust + hintTrustWeight*r.logHintRatio*math.Log(ratio)
	b.hintTrust = min(1, max(0, trust))
}

const (
	trendWeight  = 0.1 // of one answer in the latency trend
	maxTrendStep = 4.0 // times its prediction: a longer latency counts as this
	maxTrend     = 8.0 // bound of the latency trend, and of its inverse
)

// updateLatencyTrend updates the trend of all endpoints together by the ratio of an answer's latency to the
// predicted one. By it a slowdown of the whole fleet is learned at once, endpoint by endpoint it would take
// long.
func (b *Balancer) updateLatencyTrend(ratio float64) {
	step := trendWeight * (min(ratio, maxTrendStep) - 1)
	b.latencyTrend = boundedTrend(b.latencyTrend * (1 + step))
}

// boundedTrend returns a latency trend within 1/maxTrend to maxTrend.
func boundedTrend(trend float64) float64 { return min(maxTrend, max(1/maxTrend, trend)) }
