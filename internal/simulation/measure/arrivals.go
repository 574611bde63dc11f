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
	probesAt, dialsAt       [][]uint32      // by second and endpoint
	faultsFrom, faultsUntil monotime.Micros // from the start of the first event to the end of the last
}

// RecordArrival counts an arrival at an endpoint. Arrivals outside the run's length are ignored.
func (m *Meter) RecordArrival(now monotime.Micros, endpoint int, kind Arrival) {
	a := &m.arrivals
	secondIndex := now / second
	if secondIndex < 0 || secondIndex >= monotime.Micros(len(a.seconds)) {
		return
	}
	counts := &a.seconds[secondIndex]
	switch kind {
	case FirstAttempt:
		counts.FirstAttempts++
	case ExtraAttempt:
		counts.ExtraAttempts++
	case ProbeArrival:
		counts.Probes++
		counts.MaxEndpointProbes = max(counts.MaxEndpointProbes, incrementCount(a.probesAt, secondIndex, endpoint))
	case DialArrival:
		counts.Dials++
		counts.MaxEndpointDials = max(counts.MaxEndpointDials, incrementCount(a.dialsAt, secondIndex, endpoint))
	}
}

// incrementCount counts one more arrival at an endpoint within a second, and returns the new count. Arrivals need not
// come in the order of their time.
func incrementCount(counts [][]uint32, secondIndex monotime.Micros, endpoint int) int {
	for len(counts[secondIndex]) <= endpoint {
		counts[secondIndex] = append(counts[secondIndex], 0)
	}
	counts[secondIndex][endpoint]++
	return int(counts[secondIndex][endpoint])
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
func (a *arrivals) figures(figures map[string]float64, weights []weightSum) {
	firstAttempts := 0
	probes := 0
	for i := range a.seconds {
		counts := &a.seconds[i]
		firstAttempts += counts.FirstAttempts
		probes += counts.Probes
		if counts.FirstAttempts >= minFirstAttempts {
			figures["further_peak"] = max(figures["further_peak"],
				float64(counts.ExtraAttempts)/float64(counts.FirstAttempts))
		}
		figures["probes_peak"] = max(figures["probes_peak"], float64(counts.MaxEndpointProbes))
		figures["dials_peak"] = max(figures["dials_peak"], float64(counts.MaxEndpointDials))
	}
	figures["further_peak"] += 0 // the figure exists, also without arrivals
	figures["probes_first"] = float64(probes) / max(1, float64(firstAttempts))
	figures["back"] = 1
	shareBefore := sumSeconds(weights, 0, a.faultsFrom)
	shareAfter := sumSeconds(weights, a.faultsUntil+recoveryTime, monotime.Micros(len(weights))*second)
	if a.faultsUntil > 0 && shareBefore.offered > 0 && shareAfter.offered > 0 {
		figures["back"] = min(1, shareAfter.share()/max(1e-9, shareBefore.share()))
	}
}

// sum adds up the weights of the seconds that lie within a period.
func sumSeconds(weights []weightSum, from, until monotime.Micros) (total weightSum) {
	for i := range weights {
		if secondStart := monotime.Micros(i) * second; secondStart >= from && secondStart+second <= until {
			total.add(weights[i].offered, weights[i].earned)
		}
	}
	return total
}
