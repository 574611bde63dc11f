package measure

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

// Result is the result of a run.
type Result struct {
	Scenario string `json:"Scenario"`
	Seed     uint64 `json:"Seed"`
	Digest   string `json:"Digest"` // of the ends of all operations: equal runs have equal digests

	Figures    map[string]float64 `json:"Figures"` // by the names in Figures
	Costs      Costs              `json:"Costs"`
	Operations int64              `json:"Stories"`
	Served     int64              `json:"Served"` // within the latency objective or after it
	Series     Series             `json:"Series"`
	Endpoints  []EndpointLoad     `json:"Nodes"`
	Classes    []ClassLatency     `json:"Classes"`
	Seconds    []Second           `json:"Seconds"` // arrivals at endpoints
	Elapsed    time.Duration      `json:"-"`       // real time that the simulation took
}

// Series are figures over time, an entry for each Bin.
type Series struct {
	Bin      monotime.Micros `json:"Bin"`
	Service  []float64       `json:"Service"`
	Offered  []float64       `json:"Asked"` // operations a second
	OnTime   []float64       `json:"Good"`  // served within the latency objective, a second
	Late     []float64       `json:"Late"`
	Unserved []float64       `json:"Lost"`    // unserved, a second
	Rejected []float64       `json:"Refused"` // requests rejected, a second
	Failed   []float64       `json:"Failed"`  // requests failed or lost, a second
	P50      []float64       `json:"P50"`     // milliseconds
	P99      []float64       `json:"P99"`
	Class    [][]float64     `json:"Class"` // service of each class
	Zone     [][]float64     `json:"Zone"`  // service of the clients in each zone
}

// EndpointLoad is the load of one endpoint.
type EndpointLoad struct {
	Name        string  `json:"Name"`
	Zone        int     `json:"Zone"`
	Executions  int64   `json:"Runs"`
	Utilization float64 `json:"Worked"` // of its core time, 0 to 1
	MaxInFlight int     `json:"Most"`   // requests at the same time, at most
	// Arrivals are the requests in each bin of the series; nil where there are many endpoints.
	Arrivals []int64 `json:"Line,omitempty"`
}

// ClassLatency has the latencies of a class's served operations: pairs of a percentage and milliseconds.
type ClassLatency struct {
	Name      string       `json:"Name"`
	Count     int64        `json:"Count"`
	Quantiles [][2]float64 `json:"Quantiles"`
}

var quantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Result returns the result so far.
func (m *Meter) Result() *Result {
	r := &Result{
		Figures:    map[string]float64{},
		Costs:      m.Costs,
		Operations: m.operations,
		Served:     m.outcomes[simclient.Served],
		Digest:     hex(m.digest.Sum64()),
	}
	f := r.Figures
	c := &m.Costs
	n := math.Max(1, float64(m.operations))
	f["whole"] = m.total.share()
	f["worst_window"] = m.worstWindowShare()
	all := m.classFigures(r)
	f["modest"], f["p99_modest"] = m.modestClients()
	f["p50"] = quantileMS(all, 50)
	f["p90"] = quantileMS(all, 90)
	f["p99"] = quantileMS(all, 99)
	f["p999"] = quantileMS(all, 99.9)
	m.requestFigures(f)
	m.arrivals.figures(f, m.seconds)
	m.priorityAudit.figures(f, m.total.earned)
	m.quotaSpending.figures(f, &m.criteria, m.tenantDemand)
	f["words"] = float64(c.FleetMessages) / n
	f["work_sent"] = 0
	f["work_left"] = 0
	f["work_took"] = 0
	for name, v := range m.maintenance {
		f[name] = v
	}
	f["breaks"] = float64(c.Collapses + c.AttemptsAfterDrain + c.DuplicateEffects + c.LateResponses)
	f["service"] = m.service(f)
	r.Series = m.series()
	r.Seconds = m.arrivals.seconds
	return r
}

// classFigures adds the figures of each class and tenant, and returns the latencies of all classes together.
func (m *Meter) classFigures(r *Result) *hdrhistogram.Histogram {
	f := r.Figures
	f["worst_class"] = 1
	f["worst_tenant"] = 1
	all := hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 3)
	for i := range m.classes {
		f["worst_class"] = min(f["worst_class"], m.classes[i].share())
		name := m.criteria.Classes[i].Name
		f["service."+name] = m.classes[i].share()
		f["p50."+name] = quantileMS(m.latencies[i], 50)
		f["p99."+name] = quantileMS(m.latencies[i], 99)
		all.Merge(m.latencies[i])
		t := ClassLatency{Name: name, Count: m.latencies[i].TotalCount()}
		for _, q := range quantiles {
			t.Quantiles = append(t.Quantiles, [2]float64{q, quantileMS(m.latencies[i], q)})
		}
		r.Classes = append(r.Classes, t)
	}
	for i := range m.tenants {
		f["worst_tenant"] = min(f["worst_tenant"], m.tenants[i].share())
		f["service."+m.criteria.Tenants[i].Name] = m.tenants[i].share()
	}
	return all
}

// requestFigures adds the requests of clients and instances for an operation, and how they ended.
func (m *Meter) requestFigures(f map[string]float64) {
	c := &m.Costs
	n := math.Max(1, float64(m.operations))
	f["served"] = float64(m.outcomes[simclient.Served]) / n
	f["unserved"] = float64(m.outcomes[simclient.Unserved]) / n
	f["tries"] = float64(c.ClientRequests) / n
	f["attempts"] = float64(c.Attempts) / n
	f["refused"] = float64(m.requests.refused) / math.Max(1, float64(c.ClientRequests))
	f["failed"] = float64(m.requests.failed) / math.Max(1, float64(c.ClientRequests))
	f["lost"] = float64(m.requests.lost) / math.Max(1, float64(c.ClientRequests))
	f["cross_zone"] = float64(c.CrossZone) / n
	f["probes"] = float64(c.Probes) / n
	f["dials"] = float64(c.Dials) / n
	f["waste"] = max(0, c.ExecutedWork-c.UsefulWork) / math.Max(1, c.OfferedWork)
	f["late_fail"] = m.lateFailures / math.Max(1e-9, m.total.offered)
}

// service is the main figure of a run: the shares served, weighted by the goal, less the prices.
func (m *Meter) service(f map[string]float64) float64 {
	g := &m.criteria.Goal
	p := &m.criteria.Prices
	weights := g.Overall + g.WorstWindow + g.WorstClass + g.WorstTenant
	service := f["whole"]
	if weights > 0 {
		service = (g.Overall*f["whole"] + g.WorstWindow*f["worst_window"] + g.WorstClass*f["worst_class"] +
			g.WorstTenant*f["worst_tenant"]) / weights
	}
	service -= p.Waste*f["waste"] + p.LateFail*f["late_fail"] + p.CrossZone*f["cross_zone"] + p.Probe*f["probes"]
	return service
}

// modestFactor bounds the operations of a modest client, relative to the median client of its instance.
const modestFactor = 2

// modestClients returns the service of the clients that request no more than others, and the 99th percentile of their
// latencies in milliseconds.
func (m *Meter) modestClients() (service, p99 float64) {
	// Sorted, since the order of additions changes the sum.
	order := slices.SortedFunc(maps.Keys(m.clients), func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	var all weightSum
	var latencies []int32
	for len(order) > 0 {
		n := 1
		for n < len(order) && order[n][0] == order[0][0] {
			n++
		}
		var counts []int64
		for _, id := range order[:n] {
			counts = append(counts, m.clients[id].operations)
		}
		slices.Sort(counts)
		for _, id := range order[:n] {
			if c := m.clients[id]; c.operations <= modestFactor*counts[n/2] {
				all.add(c.weightSum.offered, c.earned)
				latencies = append(latencies, c.latencies...)
			}
		}
		order = order[n:]
	}
	if len(latencies) == 0 {
		return all.share(), 0
	}
	slices.Sort(latencies)
	return all.share(), float64(latencies[min(len(latencies)-1, len(latencies)*99/100)]) / 10
}

func hex(v uint64) string {
	const digits = "0123456789abcdef"
	var b [16]byte
	for i := range b {
		b[i] = digits[v>>(60-4*i)&15]
	}
	return string(b[:])
}

func quantileMS(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// worstWindowShare is the least share over any ten seconds that begin with a second, or over all where there are fewer.
func (m *Meter) worstWindowShare() float64 {
	worst := 1.0
	var in weightSum
	for i := range m.seconds {
		in.add(m.seconds[i].offered, m.seconds[i].earned)
		if i >= worstWindowSeconds {
			in.add(-m.seconds[i-worstWindowSeconds].offered, -m.seconds[i-worstWindowSeconds].earned)
		}
		if (i >= worstWindowSeconds-1 || i == len(m.seconds)-1) && in.offered > 1e-6 {
			worst = min(worst, in.share())
		}
	}
	return worst
}

func (m *Meter) series() Series {
	s := Series{Bin: m.binWidth, Class: make([][]float64, len(m.classes))}
	per := float64(m.binWidth) / float64(second)
	for i := range m.bins {
		b := &m.bins[i]
		s.Service = append(s.Service, b.share())
		s.Offered = append(s.Offered, float64(b.operations)/per)
		s.OnTime = append(s.OnTime, float64(b.served)/per)
		s.Late = append(s.Late, float64(b.late)/per)
		s.Unserved = append(s.Unserved, float64(b.unserved)/per)
		s.Rejected = append(s.Rejected, float64(b.rejectedRequests)/per)
		s.Failed = append(s.Failed, float64(b.failedRequests)/per)
		s.P50 = append(s.P50, quantileMS(b.latencies, 50))
		s.P99 = append(s.P99, quantileMS(b.latencies, 99))
		for j := range b.classes {
			s.Class[j] = append(s.Class[j], b.classes[j].share())
		}
		if s.Zone == nil {
			s.Zone = make([][]float64, len(b.zones))
		}
		for j := range b.zones {
			s.Zone[j] = append(s.Zone[j], b.zones[j].share())
		}
	}
	return s
}
