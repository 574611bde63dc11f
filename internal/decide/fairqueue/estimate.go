package fairqueue

import (
	"math"

	"dunlinsail/internal/monotime"
)

// serviceEstimate estimates the time in flight of a class's requests, in microseconds, with the gains of SRTT
// and RTTVAR (RFC 6298, section 2).
type serviceEstimate struct {
	mean      float64
	deviation float64
	known     bool // by samples, not only by Settings.InitialTimes
}

// ServiceTime is how long requests of a class are in flight, in microseconds.
type ServiceTime struct {
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
}

// ObserveServiceTime notes how long an admitted request of a class was in flight that was served.
func (x *Scheduler) ObserveServiceTime(class int, took monotime.Micros) {
	estimate := &x.estimates[class]
	if !estimate.known {
		estimate.mean = float64(took)
		estimate.deviation = float64(took) / 2
		estimate.known = true
		return
	}
	estimate.deviation += (math.Abs(float64(took)-estimate.mean) - estimate.deviation) / 4
	estimate.mean += (float64(took) - estimate.mean) / 8
	estimate.mean = max(1, estimate.mean)
}

// ServiceTimes returns how long requests of each class are in flight, zero for a class without samples.
func (x *Scheduler) ServiceTimes() []ServiceTime {
	all := make([]ServiceTime, len(x.estimates))
	for i, estimate := range x.estimates {
		if estimate.known {
			all[i] = ServiceTime{estimate.mean, estimate.deviation}
		}
	}
	return all
}

// RestoreServiceTime sets what another scheduler has learned of a class. Values that are invalid are ignored.
func (x *Scheduler) RestoreServiceTime(class int, t ServiceTime) {
	if t.Mean >= 1 && t.Deviation >= 0 && !math.IsInf(t.Mean, 0) && !math.IsInf(t.Deviation, 0) {
		x.estimates[class] = serviceEstimate{t.Mean, t.Deviation, true}
	}
}

// expectedTime is the time in flight that is allowed for a request of a class when its latest start is determined.
func (x *Scheduler) expectedTime(class int) monotime.Micros {
	estimate := &x.estimates[class]
	return monotime.Micros(estimate.mean + estimate.deviation)
}
