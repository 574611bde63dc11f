package measure

import "dunlinsail/internal/monotime"

// Arrival is what comes at an endpoint.
type Arrival uint8

// The kinds.
const (
	First   Arrival = iota // the first attempt of a request
	Further                // one beyond it, or beside it
	Probe
	Dial // a new connection
)

// Second is what came at all endpoints within a second of a run, and at the one to which most probes and most new
// connections came.
type Second struct {
	First      int `json:"First"`
	Further    int `json:"Further"`
	Probes     int `json:"Probes"`
	Dials      int `json:"Dials"`
	ProbesMost int `json:"ProbesMost"`
	DialsMost  int `json:"DialsMost"`
}

// arrivals counts what comes at endpoints, second by second.
type arrivals struct {
	seconds       []Second
	probes, dials [][]uint32      // by second and endpoint
	from, until   monotime.Micros // when what goes wrong begins, and has ended
}

// Arrived tells what came at an endpoint at an instant.
func (m *Meter) Arrived(now monotime.Micros, node int, what Arrival) {
	a := &m.arrived
	n := now / second
	if n < 0 || n >= monotime.Micros(len(a.seconds)) {
		return
	}
	s := &a.seconds[n]
	switch what {
	case First:
		s.First++
	case Further:
		s.Further++
	case Probe:
		s.Probes++
		s.ProbesMost = max(s.ProbesMost, one(a.probes, n, node))
	case Dial:
		s.Dials++
		s.DialsMost = max(s.DialsMost, one(a.dials, n, node))
	}
}

// one counts one more of a second at an endpoint, and returns how many there are. They need not come in order.
func one(all [][]uint32, n monotime.Micros, node int) int {
	for len(all[n]) <= node {
		all[n] = append(all[n], 0)
	}
	all[n][node]++
	return int(all[n][node])
}

// Cause tells when what goes wrong begins, and when all of it has ended.
func (m *Meter) Cause(from, until monotime.Micros) { m.arrived.from, m.arrived.until = from, until }

const (
	firstLeast = 100        // first attempts in a second from which on a part of them says something
	backAfter  = 3 * second // what has ended is to be over after so long
)

// figures adds what the seconds come to.
func (a *arrivals) figures(f map[string]float64, worth []worths) {
	first, probes := 0, 0
	for i := range a.seconds {
		s := &a.seconds[i]
		first += s.First
		probes += s.Probes
		if s.First >= firstLeast {
			f["further_peak"] = max(f["further_peak"], float64(s.Further)/float64(s.First))
		}
		f["probes_peak"] = max(f["probes_peak"], float64(s.ProbesMost))
		f["dials_peak"] = max(f["dials_peak"], float64(s.DialsMost))
	}
	f["further_peak"] += 0 // a figure, also where nothing came
	f["probes_first"] = float64(probes) / max(1, float64(first))
	f["back"] = 1
	before, after := sum(worth, 0, a.from), sum(worth, a.until+backAfter, monotime.Micros(len(worth))*second)
	if a.until > 0 && before.asked > 0 && after.asked > 0 {
		f["back"] = min(1, after.share()/max(1e-9, before.share()))
	}
}

// sum is the worth of the seconds that lie within.
func sum(worth []worths, from, until monotime.Micros) (w worths) {
	for i := range worth {
		if at := monotime.Micros(i) * second; at >= from && at+second <= until {
			w.add(worth[i].asked, worth[i].earned)
		}
	}
	return w
}
