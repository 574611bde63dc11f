package fairqueue

import (
	"math"

	"dunlinsail/internal/monotime"
)

// serviceEstimate estimates the time in flight of a class's requests, in microseconds, as SRTT and RTTVAR do for round
// trips (RFC 6298, section 2).
type serviceEstimate struct {
	mean      float64 // at least 1
	deviation float64
	known     bool // there was a sample; else mean is that of Settings.InitialTimes
}

// ServiceTime is the time that requests of a class are in flight, in microseconds.
type ServiceTime struct {
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
}

// The gains of RFC 6298, as divisors: a sample moves the mean by an eighth of its difference, and the deviation by a
// quarter. The deviation starts as a half of the first sample.
const (
	meanGainDivisor         = 8
	deviationGainDivisor    = 4
	initialDeviationDivisor = 2
)

// ObserveServiceTime takes in the time for which a request of a class was in flight that was served.
func (s *Scheduler) ObserveServiceTime(class int, timeInFlight monotime.Micros) {
	estimate := &s.estimates[class]
	if !estimate.known {
		estimate.mean = float64(timeInFlight)
		estimate.deviation = float64(timeInFlight) / initialDeviationDivisor
		estimate.known = true
		return
	}
	estimate.deviation += (math.Abs(float64(timeInFlight)-estimate.mean) - estimate.deviation) / deviationGainDivisor
	estimate.mean += (float64(timeInFlight) - estimate.mean) / meanGainDivisor
	estimate.mean = max(1, estimate.mean)
}

// ServiceTimes returns the service time of each class, zero for a class without samples.
func (s *Scheduler) ServiceTimes() []ServiceTime {
	times := make([]ServiceTime, len(s.estimates))
	for i, estimate := range s.estimates {
		if estimate.known {
			times[i] = ServiceTime{estimate.mean, estimate.deviation}
		}
	}
	return times
}

// RestoreServiceTime sets the service time of a class that another scheduler has learned. An invalid one is ignored.
func (s *Scheduler) RestoreServiceTime(class int, t ServiceTime) {
	if t.Mean >= 1 && t.Deviation >= 0 && !math.IsInf(t.Mean, 0) && !math.IsInf(t.Deviation, 0) {
		s.estimates[class] = serviceEstimate{t.Mean, t.Deviation, true}
	}
}

// expectedTime returns the time in flight that a request of a class is given in its latest start: the mean and one mean
// deviation.
func (s *Scheduler) expectedTime(class int) monotime.Micros {
	estimate := &s.estimates[class]
	return monotime.Micros(estimate.mean + estimate.deviation)
}
