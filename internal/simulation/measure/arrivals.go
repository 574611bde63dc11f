package measure

import "dunlinsail/internal/monotime"

// Arrival is what comes at an endpoint.
type Arrival uint8

// The kinds.
const (
	FirstAttempt Arrival = iota // the first attempt of a request
	ExtraAttempt                // one beyond it, or beside it
	ProbeArrival
	DialArrival // a new connection
)

// Second is what came at all endpoints within a second of a run, and at the one to which most probes and most new
// connections came.
type Second struct {
	FirstAttempts     int `json:"First"`
	ExtraAttempts     int `json:"Further"`
	Probes            int `json:"Probes"`
	Dials             int `json:"Dials"`
	MaxEndpointProbes int `json:"ProbesMost"`
	MaxEndpointDials  int `json:"DialsMost"`
}

// arrivals counts what comes at endpoints, second by second.
type arrivals struct {
	seconds                 []Second
	probes, dials           [][]uint32      // by second and endpoint
	faultsFrom, faultsUntil monotime.Micros // when what goes wrong begins, and has ended
}

// RecordArrival counts what came at an endpoint at an instant.
func (m *Meter) RecordArrival(now monotime.Micros, node int, what Arrival) {
	a := &m.arrivals
	n := now / second
	if n < 0 || n >= monotime.Micros(len(a.seconds)) {
		return
	}
	s := &a.seconds[n]
	switch what {
	case FirstAttempt:
		s.FirstAttempts++
	case ExtraAttempt:
		s.ExtraAttempts++
	case ProbeArrival:
		s.Probes++
		s.MaxEndpointProbes = max(s.MaxEndpointProbes, countAt(a.probes, n, node))
	case DialArrival:
		s.Dials++
		s.MaxEndpointDials = max(s.MaxEndpointDials, countAt(a.dials, n, node))
	}
}

// countAt counts one more of a second at an endpoint, and returns how many there are. They need not come in order.
func countAt(all [][]uint32, n monotime.Micros, node int) int {
	for len(all[n]) <= node {
		all[n] = append(all[n], 0)
	}
	all[n][node]++
	return int(all[n][node])
}

// SetFaultPeriod tells when what goes wrong begins, and when all of it has ended.
func (m *Meter) SetFaultPeriod(from, until monotime.Micros) {
	m.arrivals.faultsFrom = from
	m.arrivals.faultsUntil = until
}

const (
	minFirstAttempts = 100        // first attempts in a second from which on a part of them says something
	recoveryTime     = 3 * second // what has ended is to be over after so long
)

// figures adds what the seconds come to.
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
	f["further_peak"] += 0 // a figure, also where nothing came
	f["probes_first"] = float64(probes) / max(1, float64(first))
	f["back"] = 1
	before := sum(weight, 0, a.faultsFrom)
	after := sum(weight, a.faultsUntil+recoveryTime, monotime.Micros(len(weight))*second)
	if a.faultsUntil > 0 && before.offered > 0 && after.offered > 0 {
		f["back"] = min(1, after.share()/max(1e-9, before.share()))
	}
}

// sum is the worth of the seconds that lie within.
func sum(weight []weightSum, from, until monotime.Micros) (w weightSum) {
	for i := range weight {
		if at := monotime.Micros(i) * second; at >= from && at+second <= until {
			w.add(weight[i].offered, weight[i].earned)
		}
	}
	return w
}
