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

// Result is the evaluation of a run: its figures, costs, and series over time.
type Result struct {
	Scenario string `json:"Scenario"`
	Seed     uint64 `json:"Seed"`
	Digest   string `json:"Digest"` // digest of the ends of all operations: equal runs have equal digests

	Figures    map[string]float64 `json:"Figures"` // values of the figures, by name (variable Figures)
	Costs      Costs              `json:"Costs"`
	Operations int64              `json:"Stories"`
	Served     int64              `json:"Served"` // operations served within the latency objective or after it
	Series     Series             `json:"Series"`
	Endpoints  []EndpointLoad     `json:"Nodes"`
	Classes    []ClassLatency     `json:"Classes"`
	Seconds    []Second           `json:"Seconds"` // arrivals at endpoints, by second
	Elapsed    time.Duration      `json:"-"`       // wall-clock time that the simulation took
}

// Series are values over time, with one entry for each bin of length Bin.
type Series struct {
	Bin      monotime.Micros `json:"Bin"`
	Service  []float64       `json:"Service"`
	Offered  []float64       `json:"Asked"` // operations that started, a second
	OnTime   []float64       `json:"Good"`  // operations served within the latency objective, a second
	Late     []float64       `json:"Late"`
	Unserved []float64       `json:"Lost"`    // operations that ended unserved, a second
	Rejected []float64       `json:"Refused"` // requests rejected, a second
	Failed   []float64       `json:"Failed"`  // requests failed or lost, a second
	P50      []float64       `json:"P50"`     // median latency in milliseconds
	P99      []float64       `json:"P99"`
	Class    [][]float64     `json:"Class"` // service of each class
	Zone     [][]float64     `json:"Zone"`  // service of the clients in each zone
}

// EndpointLoad is the load of one endpoint during a run.
type EndpointLoad struct {
	Name        string  `json:"Name"`
	Zone        int     `json:"Zone"`
	Executions  int64   `json:"Runs"`
	Utilization float64 `json:"Worked"` // fraction of the core time that was used, 0 to 1
	MaxInFlight int     `json:"Most"`   // largest number of requests at the same time
	// Arrivals are the requests that arrived in each bin of the series. It is nil in runs with many endpoints.
	Arrivals []int64 `json:"Line,omitempty"`
}

// ClassLatency is the latency distribution of a class's served operations. Quantiles are pairs of a percentage
// and a latency in milliseconds.
type ClassLatency struct {
	Name      string       `json:"Name"`
	Count     int64        `json:"Count"`
	Quantiles [][2]float64 `json:"Quantiles"`
}

// percentages are the percentages for which ClassLatency.Quantiles has a latency.
var percentages = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Result returns the evaluation of the operations that have been recorded so far.
func (m *Meter) Result() *Result {
	result := &Result{
		Figures:    map[string]float64{},
		Costs:      m.Costs,
		Operations: m.operationCount,
		Served:     m.outcomeCounts[simclient.Served],
		Digest:     hex(m.digest.Sum64()),
	}
	figures := result.Figures
	costs := &m.Costs
	operations := math.Max(1, float64(m.operationCount))
	figures["whole"] = m.totalWeight.share()
	figures["worst_window"] = m.worstWindowShare()
	latencies := m.classFigures(result)
	figures["modest"], figures["p99_modest"] = m.modestClients()
	figures["p50"] = quantileMS(latencies, 50)
	figures["p90"] = quantileMS(latencies, 90)
	figures["p99"] = quantileMS(latencies, 99)
	figures["p999"] = quantileMS(latencies, 99.9)
	m.requestFigures(figures)
	m.arrivals.figures(figures, m.secondWeights)
	m.priorityAudit.figures(figures, m.totalWeight.earned)
	m.quotaSpending.figures(figures, &m.criteria, m.tenantDemand)
	figures["words"] = float64(costs.FleetMessages) / operations
	figures["work_sent"] = 0
	figures["work_left"] = 0
	figures["work_took"] = 0
	for name, value := range m.maintenance {
		figures[name] = value
	}
	figures["breaks"] = float64(costs.Collapses + costs.AttemptsAfterDrain + costs.DuplicateEffects +
		costs.LateResponses)
	figures["service"] = m.service(figures)
	result.Series = m.series()
	result.Seconds = m.arrivals.seconds
	return result
}

// classFigures adds the figures of each class and tenant to a result, and returns a histogram of the latencies
// of all classes.
func (m *Meter) classFigures(result *Result) *hdrhistogram.Histogram {
	figures := result.Figures
	figures["worst_class"] = 1
	figures["worst_tenant"] = 1
	latencies := hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 3)
	for i := range m.classes {
		figures["worst_class"] = min(figures["worst_class"], m.classes[i].share())
		name := m.criteria.Classes[i].Name
		figures["service."+name] = m.classes[i].share()
		figures["p50."+name] = quantileMS(m.latencies[i], 50)
		figures["p99."+name] = quantileMS(m.latencies[i], 99)
		latencies.Merge(m.latencies[i])
		classLatency := ClassLatency{Name: name, Count: m.latencies[i].TotalCount()}
		for _, percentage := range percentages {
			classLatency.Quantiles = append(classLatency.Quantiles,
				[2]float64{percentage, quantileMS(m.latencies[i], percentage)})
		}
		result.Classes = append(result.Classes, classLatency)
	}
	for i := range m.tenants {
		figures["worst_tenant"] = min(figures["worst_tenant"], m.tenants[i].share())
		figures["service."+m.criteria.Tenants[i].Name] = m.tenants[i].share()
	}
	return latencies
}

// requestFigures adds the figures that relate outcomes, requests, attempts, probes and work to the number of
// operations.
func (m *Meter) requestFigures(figures map[string]float64) {
	costs := &m.Costs
	operations := math.Max(1, float64(m.operationCount))
	figures["served"] = float64(m.outcomeCounts[simclient.Served]) / operations
	figures["unserved"] = float64(m.outcomeCounts[simclient.Unserved]) / operations
	figures["tries"] = float64(costs.ClientRequests) / operations
	figures["attempts"] = float64(costs.Attempts) / operations
	figures["refused"] = float64(m.unsuccessfulRequests.rejected) / math.Max(1, float64(costs.ClientRequests))
	figures["failed"] = float64(m.unsuccessfulRequests.failed) / math.Max(1, float64(costs.ClientRequests))
	figures["lost"] = float64(m.unsuccessfulRequests.unanswered) / math.Max(1, float64(costs.ClientRequests))
	figures["cross_zone"] = float64(costs.CrossZone) / operations
	figures["probes"] = float64(costs.Probes) / operations
	figures["dials"] = float64(costs.Dials) / operations
	figures["waste"] = max(0, costs.ExecutedWork-costs.UsefulWork) / math.Max(1, costs.OfferedWork)
	figures["late_fail"] = m.lateFailures / math.Max(1e-9, m.totalWeight.offered)
}

// service returns the main figure of a run: the average of the shares of served weight, weighted by the goal,
// less the costs times their prices.
func (m *Meter) service(figures map[string]float64) float64 {
	goal := &m.criteria.Goal
	prices := &m.criteria.Prices
	weights := goal.Overall + goal.WorstWindow + goal.WorstClass + goal.WorstTenant
	service := figures["whole"]
	if weights > 0 {
		service = (goal.Overall*figures["whole"] + goal.WorstWindow*figures["worst_window"] +
			goal.WorstClass*figures["worst_class"] +
			goal.WorstTenant*figures["worst_tenant"]) / weights
	}
	service -= prices.Waste*figures["waste"] + prices.LateFail*figures["late_fail"] +
		prices.CrossZone*figures["cross_zone"] + prices.Probe*figures["probes"]
	return service
}

// modestFactor is the largest number of operations of a modest client, as a multiple of the median client of
// its instance.
const modestFactor = 2

// modestClients returns the service of the modest clients (modestFactor), and the 99th percentile of their
// latencies in milliseconds.
func (m *Meter) modestClients() (service, p99 float64) {
	// The clients are sorted because the order of floating-point additions changes the sum.
	clientIDs := slices.SortedFunc(maps.Keys(m.clientTotals),
		func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	var total weightSum
	var latencies []int32
	for len(clientIDs) > 0 {
		groupSize := 1
		for groupSize < len(clientIDs) && clientIDs[groupSize][0] == clientIDs[0][0] {
			groupSize++
		}
		var counts []int64
		for _, id := range clientIDs[:groupSize] {
			counts = append(counts, m.clientTotals[id].operations)
		}
		slices.Sort(counts)
		for _, id := range clientIDs[:groupSize] {
			if client := m.clientTotals[id]; client.operations <= modestFactor*counts[groupSize/2] {
				total.add(client.weightSum.offered, client.earned)
				latencies = append(latencies, client.latencies...)
			}
		}
		clientIDs = clientIDs[groupSize:]
	}
	if len(latencies) == 0 {
		return total.share(), 0
	}
	slices.Sort(latencies)
	return total.share(), float64(latencies[min(len(latencies)-1, len(latencies)*99/100)]) / 10
}

// hex returns a number as 16 hexadecimal digits.
func hex(value uint64) string {
	const digits = "0123456789abcdef"
	var text [16]byte
	for i := range text {
		text[i] = digits[value>>(60-4*i)&15]
	}
	return string(text[:])
}

// quantileMS returns the latency in milliseconds that the given percentage of the recorded latencies does not
// exceed; 0 if no latency was recorded.
func quantileMS(histogram *hdrhistogram.Histogram, percentage float64) float64 {
	if histogram.TotalCount() == 0 {
		return 0
	}
	return float64(histogram.ValueAtQuantile(percentage)) / 1000
}

// worstWindowShare returns the lowest share of earned weight over any ten consecutive seconds, or over the
// whole run if it is shorter.
func (m *Meter) worstWindowShare() float64 {
	worst := 1.0
	var window weightSum
	for i := range m.secondWeights {
		window.add(m.secondWeights[i].offered, m.secondWeights[i].earned)
		if i >= worstWindowSeconds {
			window.add(-m.secondWeights[i-worstWindowSeconds].offered, -m.secondWeights[i-worstWindowSeconds].earned)
		}
		if (i >= worstWindowSeconds-1 || i == len(m.secondWeights)-1) && window.offered > 1e-6 {
			worst = min(worst, window.share())
		}
	}
	return worst
}

// series returns the values of all bins over time.
func (m *Meter) series() Series {
	series := Series{Bin: m.binWidth, Class: make([][]float64, len(m.classes))}
	binSeconds := float64(m.binWidth) / float64(second)
	for i := range m.bins {
		bin := &m.bins[i]
		series.Service = append(series.Service, bin.share())
		series.Offered = append(series.Offered, float64(bin.operations)/binSeconds)
		series.OnTime = append(series.OnTime, float64(bin.onTime)/binSeconds)
		series.Late = append(series.Late, float64(bin.late)/binSeconds)
		series.Unserved = append(series.Unserved, float64(bin.unserved)/binSeconds)
		series.Rejected = append(series.Rejected, float64(bin.rejectedRequests)/binSeconds)
		series.Failed = append(series.Failed, float64(bin.failedRequests)/binSeconds)
		series.P50 = append(series.P50, quantileMS(bin.latencies, 50))
		series.P99 = append(series.P99, quantileMS(bin.latencies, 99))
		for index := range bin.classes {
			series.Class[index] = append(series.Class[index], bin.classes[index].share())
		}
		if series.Zone == nil {
			series.Zone = make([][]float64, len(bin.zones))
		}
		for index := range bin.zones {
			series.Zone[index] = append(series.Zone[index], bin.zones[index].share())
		}
	}
	return series
}
