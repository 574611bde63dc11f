package engine

import (
	"math"

	"dunlinsail/internal/monotime"
)

// loadTimeConstant is the time constant of meanInFlight. It is shorter than the 5 s of Finagle's aperture,
// since an instance may become busy within a second.
const loadTimeConstant = 2 * monotime.Second

// observeOpenAttempts updates meanInFlight up to now and then adds delta to the number of open attempts:
// positive for attempts that have started, negative for attempts that have ended.
func (s *subsetState) observeOpenAttempts(now monotime.Micros, delta int) {
	s.meanInFlight += (float64(s.openAttempts) - s.meanInFlight) *
		-math.Expm1(-float64(now-s.loadMeasuredAt)/float64(loadTimeConstant))
	s.openAttempts += delta
	s.loadMeasuredAt = now
}

// latencyWeight is the weight of a new sample in the moving average of latency.
const latencyWeight = 0.05

// observeLatency updates the mean latency with the latency of a successful attempt.
func (s *subsetState) observeLatency(latency monotime.Micros) {
	if s.meanLatency == 0 {
		s.meanLatency = float64(latency)
	}
	s.meanLatency += (float64(latency) - s.meanLatency) * latencyWeight
}

// observeRejection adds a request that was rejected before any attempt to the load, as if it had been in flight
// for the mean latency (Little's law). Otherwise the capacity of the current members would limit the load,
// which would then never show that the instance needs more members.
func (p *Pool) observeRejection(now monotime.Micros) {
	if s := p.subset; s != nil {
		s.meanInFlight += s.meanLatency / float64(loadTimeConstant)
		p.observeOpenAttempts(now, 0)
	}
}

// loadReportInterval is the minimum time between two updates of the load that the subset receives.
const loadReportInterval = monotime.Second / 10

// observeOpenAttempts updates the number of open attempts by delta, and passes the instance's load to the
// subset if at least loadReportInterval has passed since the last time.
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
