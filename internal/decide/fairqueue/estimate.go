package fairqueue

import (
	"math"

	"dunlinsail/internal/monotime"
)

// class is what is known of a class's time in flight.
type serviceEstimate struct {
	mean, deviation float64 // in microseconds (RFC 6298, 2: the gains of SRTT and RTTVAR)
	known           bool
}

// Times is how long requests of a class take.
type ServiceTime struct {
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
}

// Learn tells how long an admitted request of a class took that was served: what the next are expected to take.
func (x *Scheduler) ObserveServiceTime(class int, took monotime.Micros) {
	estimate := &x.estimates[class]
	if !estimate.known {
		estimate.mean, estimate.deviation, estimate.known = float64(took), float64(took)/2, true
		return
	}
	estimate.deviation += (math.Abs(float64(took)-estimate.mean) - estimate.deviation) / 4
	estimate.mean += (float64(took) - estimate.mean) / 8
	estimate.mean = max(1, estimate.mean)
}

// Learned returns how long requests of each class take, zero where that is not known.
func (x *Scheduler) ServiceTimes() []ServiceTime {
	all := make([]ServiceTime, len(x.estimates))
	for i, k := range x.estimates {
		if k.known {
			all[i] = ServiceTime{k.mean, k.deviation}
		}
	}
	return all
}

// Restore takes over what another had learned of a class. What makes no sense is passed over.
func (x *Scheduler) RestoreServiceTime(class int, t ServiceTime) {
	if t.Mean >= 1 && t.Deviation >= 0 && !math.IsInf(t.Mean, 0) && !math.IsInf(t.Deviation, 0) {
		x.estimates[class] = serviceEstimate{t.Mean, t.Deviation, true}
	}
}

// expect is the time in flight that a request of a class is given when it is judged whether it can be in time.
func (x *Scheduler) expectedTime(class int) monotime.Micros {
	estimate := &x.estimates[class]
	return monotime.Micros(estimate.mean + estimate.deviation)
}
