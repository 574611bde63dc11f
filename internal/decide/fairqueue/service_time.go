package fairqueue

import (
	"math"

	"dunlinsail/internal/monotime"
)

// serviceEstimate estimates the time in flight of a class's requests, in microseconds, as SRTT and RTTVAR
// estimate round-trip times (RFC 6298, section 2).
type serviceEstimate struct {
	mean      float64 // mean time in flight, at least 1
	deviation float64 // mean deviation from the mean
	hasSample bool    // there was a sample; otherwise mean is from Settings.InitialTimes
}

// ServiceTime is the time for which requests of a class are in flight, in microseconds.
type ServiceTime struct {
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
}

// The gains of RFC 6298, as divisors. A sample moves the mean by an eighth and the deviation by a quarter of
// their differences from the sample. The initial deviation is half of the first sample.
const (
	meanGainDivisor         = 8
	deviationGainDivisor    = 4
	initialDeviationDivisor = 2
)

// ObserveServiceTime adds a sample: the time for which a served request of a class was in flight.
func (s *Scheduler) ObserveServiceTime(class int, timeInFlight monotime.Micros) {
	estimate := &s.estimates[class]
	if !estimate.hasSample {
		estimate.mean = float64(timeInFlight)
		estimate.deviation = float64(timeInFlight) / initialDeviationDivisor
		estimate.hasSample = true
		return
	}
	estimate.deviation += (math.Abs(float64(timeInFlight)-estimate.mean) - estimate.deviation) / deviationGainDivisor
	estimate.mean += (float64(timeInFlight) - estimate.mean) / meanGainDivisor
	estimate.mean = max(1, estimate.mean)
}

// ServiceTimes returns the estimated service time of each class, zero for a class without samples.
func (s *Scheduler) ServiceTimes() []ServiceTime {
	times := make([]ServiceTime, len(s.estimates))
	for i, estimate := range s.estimates {
		if estimate.hasSample {
			times[i] = ServiceTime{estimate.mean, estimate.deviation}
		}
	}
	return times
}

// RestoreServiceTime sets the service time of a class to the estimate of another scheduler. An invalid estimate
// is ignored.
func (s *Scheduler) RestoreServiceTime(class int, t ServiceTime) {
	if t.Mean >= 1 && t.Deviation >= 0 && !math.IsInf(t.Mean, 0) && !math.IsInf(t.Deviation, 0) {
		s.estimates[class] = serviceEstimate{t.Mean, t.Deviation, true}
	}
}

// expectedTime returns the time in flight that the latest start of a request allows for: the mean of its class
// plus one mean deviation.
func (s *Scheduler) expectedTime(class int) monotime.Micros {
	estimate := &s.estimates[class]
	return monotime.Micros(estimate.mean + estimate.deviation)
}
