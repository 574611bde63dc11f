package measure

import "dunlinsail/internal/monotime"

// Arrival is a kind of traffic that arrives at an endpoint: attempts, probes and new connections.
type Arrival uint8

// The kinds of traffic that a Meter counts at endpoints.
const (
	FirstAttempt Arrival = iota // the first attempt that an instance makes for a request
	ExtraAttempt                // a retry or hedged request that an instance sends
	ProbeArrival                // a probe (active health check)
	DialArrival                 // a new connection to an endpoint
)

// Second counts the arrivals at all endpoints during one second of a run. It also has the largest number of
// probes, and the largest number of new connections, that a single endpoint received in that second.
type Second struct {
	FirstAttempts     int `json:"First"`
	ExtraAttempts     int `json:"Further"`
	Probes            int `json:"Probes"`
	Dials             int `json:"Dials"`
	MaxEndpointProbes int `json:"ProbesMost"`
	MaxEndpointDials  int `json:"DialsMost"`
}

// arrivals counts the arrivals at endpoints in each second of a run.
type arrivals struct {
	seconds           []Second
	probesAt, dialsAt [][]uint32 // counts, indexed by second and endpoint
	// faultsFrom is the start of the first event, and faultsUntil the end of the last event.
	faultsFrom, faultsUntil monotime.Micros
}

// RecordArrival counts an arrival at an endpoint. It ignores arrivals before the start or after the end of the
// run.
func (m *Meter) RecordArrival(now monotime.Micros, endpoint int, kind Arrival) {
	a := &m.arrivals
	secondIndex := now / second
	if secondIndex < 0 || secondIndex >= monotime.Micros(len(a.seconds)) {
		return
	}
	secondCounts := &a.seconds[secondIndex]
	switch kind {
	case FirstAttempt:
		secondCounts.FirstAttempts++
	case ExtraAttempt:
		secondCounts.ExtraAttempts++
	case ProbeArrival:
		secondCounts.Probes++
		secondCounts.MaxEndpointProbes = max(secondCounts.MaxEndpointProbes,
			incrementCount(a.probesAt, secondIndex, endpoint))
	case DialArrival:
		secondCounts.Dials++
		secondCounts.MaxEndpointDials = max(secondCounts.MaxEndpointDials,
			incrementCount(a.dialsAt, secondIndex, endpoint))
	}
}

// incrementCount counts one more arrival at an endpoint in a second, and returns the new count. Seconds may be
// passed in any order.
func incrementCount(counts [][]uint32, secondIndex monotime.Micros, endpoint int) int {
	for len(counts[secondIndex]) <= endpoint {
		counts[secondIndex] = append(counts[secondIndex], 0)
	}
	counts[secondIndex][endpoint]++
	return int(counts[secondIndex][endpoint])
}

// SetFaultPeriod sets the period from the start of the first fault to the end of the last fault.
func (m *Meter) SetFaultPeriod(from, until monotime.Micros) {
	m.arrivals.faultsFrom = from
	m.arrivals.faultsUntil = until
}

const (
	// minFirstAttempts is the number of first attempts in a second from which the second counts for the figure
	// further_peak, the highest ratio of extra attempts to first attempts.
	minFirstAttempts = 100
	// recoveryTime is the time after the end of the last fault within which the service must return to its
	// level before the first fault.
	recoveryTime = 3 * second
)

// figures adds the figures of arrivals at endpoints, and of the recovery of the service after the last fault.
func (a *arrivals) figures(figures map[string]float64, weights []weightSum) {
	firstAttempts := 0
	probeCount := 0
	for i := range a.seconds {
		secondCounts := &a.seconds[i]
		firstAttempts += secondCounts.FirstAttempts
		probeCount += secondCounts.Probes
		if secondCounts.FirstAttempts >= minFirstAttempts {
			figures["further_peak"] = max(figures["further_peak"],
				float64(secondCounts.ExtraAttempts)/float64(secondCounts.FirstAttempts))
		}
		figures["probes_peak"] = max(figures["probes_peak"], float64(secondCounts.MaxEndpointProbes))
		figures["dials_peak"] = max(figures["dials_peak"], float64(secondCounts.MaxEndpointDials))
	}
	figures["further_peak"] += 0 // creates the figure even if there were no arrivals
	figures["probes_first"] = float64(probeCount) / max(1, float64(firstAttempts))
	figures["back"] = 1
	weightBefore := sumSeconds(weights, 0, a.faultsFrom)
	weightAfter := sumSeconds(weights, a.faultsUntil+recoveryTime, monotime.Micros(len(weights))*second)
	if a.faultsUntil > 0 && weightBefore.offered > 0 && weightAfter.offered > 0 {
		figures["back"] = min(1, weightAfter.share()/max(1e-9, weightBefore.share()))
	}
}

// sumSeconds adds up the weights of the seconds that lie completely within a period.
func sumSeconds(weights []weightSum, from, until monotime.Micros) (total weightSum) {
	for i := range weights {
		if secondStart := monotime.Micros(i) * second; secondStart >= from && secondStart+second <= until {
			total.add(weights[i].offered, weights[i].earned)
		}
	}
	return total
}
