package measure

import "dunlinsail/internal/monotime"

// Arrival is the kind of a message that arrives at an endpoint.
type Arrival uint8

// The kinds of arrivals.
const (
	FirstAttempt Arrival = iota // the first attempt of a request
	ExtraAttempt                // a retry or hedged request
	ProbeArrival                // a health check
	DialArrival                 // a new connection
)

// Second counts the arrivals at all endpoints within a second of a run, and the largest numbers of probes and of new
// connections at a single endpoint.
type Second struct {
	FirstAttempts     int `json:"First"`
	ExtraAttempts     int `json:"Further"`
	Probes            int `json:"Probes"`
	Dials             int `json:"Dials"`
	MaxEndpointProbes int `json:"ProbesMost"`
	MaxEndpointDials  int `json:"DialsMost"`
}

// arrivals counts arrivals at endpoints by second.
type arrivals struct {
	seconds                 []Second
	probes, dials           [][]uint32      // by second and endpoint
	faultsFrom, faultsUntil monotime.Micros // from the start of the first event to the end of the last
}

// RecordArrival counts an arrival at an endpoint. Arrivals outside the run's length are ignored.
func (m *Meter) RecordArrival(now monotime.Micros, endpoint int, kind Arrival) {
	a := &m.arrivals
	n := now / second
	if n < 0 || n >= monotime.Micros(len(a.seconds)) {
		return
	}
	s := &a.seconds[n]
	switch kind {
	case FirstAttempt:
		s.FirstAttempts++
	case ExtraAttempt:
		s.ExtraAttempts++
	case ProbeArrival:
		s.Probes++
		s.MaxEndpointProbes = max(s.MaxEndpointProbes, countAt(a.probes, n, endpoint))
	case DialArrival:
		s.Dials++
		s.MaxEndpointDials = max(s.MaxEndpointDials, countAt(a.dials, n, endpoint))
	}
}

// countAt counts one more arrival of a second at an endpoint, and returns their number. Seconds need not be in order.
func countAt(counts [][]uint32, second monotime.Micros, endpoint int) int {
	for len(counts[second]) <= endpoint {
		counts[second] = append(counts[second], 0)
	}
	counts[second][endpoint]++
	return int(counts[second][endpoint])
}

// SetFaultPeriod sets the period from the start of the first fault to the end of the last one.
func (m *Meter) SetFaultPeriod(from, until monotime.Micros) {
	m.arrivals.faultsFrom = from
	m.arrivals.faultsUntil = until
}

const (
	minFirstAttempts = 100        // in a second, for its ratio of extra attempts to count
	recoveryTime     = 3 * second // after the last fault, until service has to be as before
)

// figures adds the figures of arrivals and of recovery.
func (a *arrivals) figures(f map[string]float64, weight []weightSum) {
	first := 0
	probes := 0
	for i := range a.seconds {
		s := &a.seconds[i]
		first += s.FirstAttempts
		probes += s.Probes
		if s.FirstAttempts >= minFirstAttempts {
			f["further_peak"] = max(f["further_peak"], float64(s.ExtraAttempts)/float64(s.FirstAttempts))
		}
		f["probes_peak"] = max(f["probes_peak"], float64(s.MaxEndpointProbes))
		f["dials_peak"] = max(f["dials_peak"], float64(s.MaxEndpointDials))
	}
	f["further_peak"] += 0 // the figure exists, also without arrivals
	f["probes_first"] = float64(probes) / max(1, float64(first))
	f["back"] = 1
	before := sum(weight, 0, a.faultsFrom)
	after := sum(weight, a.faultsUntil+recoveryTime, monotime.Micros(len(weight))*second)
	if a.faultsUntil > 0 && before.offered > 0 && after.offered > 0 {
		f["back"] = min(1, after.share()/max(1e-9, before.share()))
	}
}

// sum adds up the weights of the seconds that lie within a period.
func sum(weight []weightSum, from, until monotime.Micros) (w weightSum) {
	for i := range weight {
		if at := monotime.Micros(i) * second; at >= from && at+second <= until {
			w.add(weight[i].offered, weight[i].earned)
		}
	}
	return w
}
