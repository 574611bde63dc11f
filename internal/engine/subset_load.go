package engine

import (
	"math"

	"dunlinsail/internal/monotime"
)

// loadTimeConstant is the time constant of meanInFlight: shorter than the 5 s of Finagle's aperture, since an instance may
// become busy within a second.
const loadTimeConstant = 2 * monotime.Second

// observeOpenAttempts takes in that attempts have started, or have ended if the number is negative.
func (s *subsetState) observeOpenAttempts(now monotime.Micros, delta int) {
	s.meanInFlight += (float64(s.openAttempts) - s.meanInFlight) *
		-math.Expm1(-float64(now-s.loadMeasuredAt)/float64(loadTimeConstant))
	s.openAttempts += delta
	s.loadMeasuredAt = now
}

// latencyWeight is the weight of one attempt in the moving average of latency.
const latencyWeight = 0.05

// observeLatency takes in the latency of an attempt that succeeded.
func (s *subsetState) observeLatency(latency monotime.Micros) {
	if s.meanLatency == 0 {
		s.meanLatency = float64(latency)
	}
	s.meanLatency += (float64(latency) - s.meanLatency) * latencyWeight
}

// observeRejection adds a request that was rejected before any attempt to the load, as if it had been in flight for the
// mean latency (Little's law). Without that the load would be bounded by the capacity of the present members, and would
// never show that the instance needs more of them.
func (p *Pool) observeRejection(now monotime.Micros) {
	if s := p.subset; s != nil {
		s.meanInFlight += s.meanLatency / float64(loadTimeConstant)
		p.observeOpenAttempts(now, 0)
	}
}

// loadReportInterval is the minimum time between two updates of the set's load.
const loadReportInterval = monotime.Second / 10

// observeOpenAttempts takes in that attempts have started, or have ended if the number is negative, and passes the instance's
// load to the set if loadReportInterval has passed.
func (p *Pool) observeOpenAttempts(now monotime.Micros, delta int) {
	s := p.subset
	if s == nil {
		return
	}
	s.observeOpenAttempts(now, delta)
	if now-s.loadReportedAt < loadReportInterval {
		return
	}
	s.loadReportedAt = now
	s.set.SetLoad(now, s.meanInFlight)
	p.scheduleSubsetStep()
}
