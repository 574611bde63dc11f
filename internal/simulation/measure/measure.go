// Package measure judges a run as the users do: service is the worth answered within each class's aim over the worth asked
// for, from the first second, with a client's retries counted as part of its first try; of the whole run, its worst ten
// seconds, its worst class and its worst tenant within its share, weighed by the site's goal and less the site's prices. It
// counts what cost and what broke beside that. It knows stories, and nothing of how they were played.
package measure

import (
	"encoding/binary"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/simclient"
)

const second monotime.Micros = 1_000_000

// Judge is by what a run is judged.
type Criteria struct {
	Classes         []balancer.Class  // in the order of the stories' classes
	Tenants         []balancer.Tenant // in the order of the stories' tenants
	OverQuotaWeight float64           // what a tenant's request beyond its allowance is worth
	Goal            balancer.Goal
	Prices          balancer.Prices
	TenantLimits    map[string]float64 // of tenants, by name: requests a second that are let in over all instances; 0 is no limit
}

const (
	worstWindowSeconds = 10 // seconds
	maxBins            = 120
)

// Costs is what the stories of a run have cost, and what broke.
type Costs struct {
	ClientRequests int64   `json:"Tries"`    // requests that clients sent
	Attempts       int64   `json:"Attempts"` // that instances sent on
	CrossZone      int64   `json:"Cross"`    // of these, to another zone
	Dials          int64   `json:"Dials"`    // new connections to endpoints
	Probes         int64   `json:"Probes"`
	OfferedWork    float64 `json:"Offered"`   // work of all stories, once each, in microseconds
	ExecutedWork   float64 `json:"Worked"`    // by endpoints
	UsefulWork     float64 `json:"Useful"`    // of this, for answers that clients took
	Decisions      int64   `json:"Decisions"` // requests, outcomes, probes and timers that instances decided on

	// Rules that were broken.
	Collapses          int64 `json:"Falls"`      // endpoints pushed over while cold
	AttemptsAfterDrain int64 `json:"Drained"`    // attempts that reached an endpoint past the grace after its instance knew that it drains
	DuplicateEffects   int64 `json:"Twice"`      // stories that took effect more than once by their instances' doing
	LateResponses      int64 `json:"LateAnswer"` // final answers that came after the client's deadline, or not at all

	ClientDuplicateEffects int64 `json:"ClientsTwice"` // stories that took effect more than once by their clients' own tries
	KilledInFlight         int64 `json:"KilledOpen"`   // tries that instances held when they were killed
	FleetMessages          int64 `json:"Words"`        // that instances told one another
}

// Meter judges one run. Make one with New.
type Meter struct {
	criteria Criteria
	end      monotime.Micros

	binWidth      monotime.Micros
	bins          []bin
	allowances    []tokenBucket // of tenants' allowances
	classes       []groupTotals
	tenants       []groupTotals
	seconds       []weightSum
	quotaSpending quotaSpending
	maintenance   map[string]float64
	tenantDemand  map[int][]int // stories of each tenant that began in each second
	total         weightSum
	clients       map[[2]int]*clientTotals // by instance and process
	lateFailures  float64                  // worth that was unserved when its aim had passed, and not given up before
	outcomes      [simclient.OutcomeCount]int64
	operations    int64
	requests      struct{ refused, failed, lost int64 }
	arrivals      arrivals
	priorityAudit *priorityAudit
	latencies     []*hdrhistogram.Histogram // of each class
	digest        *xxhash.Digest

	Costs Costs
}

type weightSum struct{ offered, earned float64 }

type groupTotals struct{ weightSum }

// client is what one client process asked for and got.
type clientTotals struct {
	weightSum
	operations int64
	latencies  []int32 // of those served, in tenths of a millisecond
}

type tokenBucket struct {
	level     float64
	updatedAt monotime.Micros
}

type bin struct {
	weightSum
	operations, served, late, unserved, rejectedRequests, failedRequests int64
	latencies                                                            *hdrhistogram.Histogram
	classes                                                              []weightSum
	zones                                                                []weightSum
}

// New returns a meter of a run in which stories begin before an instant.
func New(j Criteria, length monotime.Micros, zones int) *Meter {
	m := &Meter{criteria: j, end: length, digest: xxhash.New(), clients: map[[2]int]*clientTotals{}}
	m.binWidth = max(second, (length+maxBins-1)/maxBins)
	m.binWidth = (m.binWidth + second - 1) / second * second
	m.bins = make([]bin, (length+m.binWidth-1)/m.binWidth)
	for i := range m.bins {
		m.bins[i].latencies = hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 2)
		m.bins[i].classes = make([]weightSum, len(j.Classes))
		m.bins[i].zones = make([]weightSum, zones)
	}
	m.seconds = make([]weightSum, (length+second-1)/second)
	m.arrivals = arrivals{seconds: make([]Second, len(m.seconds)), probes: make([][]uint32, len(m.seconds)), dials: make([][]uint32, len(m.seconds))}
	m.classes, m.tenants = make([]groupTotals, len(j.Classes)), make([]groupTotals, len(j.Tenants))
	m.allowances = make([]tokenBucket, len(j.Tenants))
	for i := range m.allowances {
		m.allowances[i].level = max(1, j.Tenants[i].Quota)
	}
	for range j.Classes {
		m.latencies = append(m.latencies, hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 3))
	}
	return m
}

// Bin is how long the bins of the series are.
func (m *Meter) Bin() monotime.Micros { return m.binWidth }

// Worth is what a story is worth, which is settled as it begins: beyond its tenant's allowance it is worth less.
func (m *Meter) Weight(s *simclient.Operation) (weight float64, within bool) {
	weight = m.criteria.Classes[s.Class].PriorityWeight
	if s.Tenant < 0 || s.Tenant >= len(m.allowances) || m.criteria.Tenants[s.Tenant].Quota <= 0 {
		return weight, true
	}
	// A second's allowance may come at once.
	b, rate := &m.allowances[s.Tenant], m.criteria.Tenants[s.Tenant].Quota
	b.level = min(max(1, rate), b.level+rate*float64(s.StartedAt-b.updatedAt)/float64(second))
	b.updatedAt = s.StartedAt
	if b.level < 1 {
		return weight * m.criteria.OverQuotaWeight, false
	}
	b.level--
	return weight, true
}

// Done takes in a story that has ended, with what Worth returned of it as it began. zone is its instance's.
func (m *Meter) OperationEnded(s *simclient.Operation, zone int, weight float64, within bool) {
	c := &m.criteria.Classes[s.Class]
	took := s.EndedAt - s.StartedAt
	earned := 0.0
	onTime := s.Outcome == simclient.Served && took <= c.LatencyObjective
	if s.Outcome == simclient.Served {
		earned = weight
		if !onTime {
			earned *= c.LateWeight
		}
		_ = m.latencies[s.Class].RecordValue(min(max(10, took), int64(time.Minute/time.Microsecond))) // up to a minute, which the histogram holds
	} else if took > c.LatencyObjective {
		m.lateFailures += weight
	}
	m.operations++
	m.outcomes[s.Outcome]++
	if s.Tenant >= 0 {
		if m.tenantDemand == nil {
			m.tenantDemand = map[int][]int{}
		}
		if m.tenantDemand[s.Tenant] == nil {
			m.tenantDemand[s.Tenant] = make([]int, len(m.seconds))
		}
		m.tenantDemand[s.Tenant][min(s.StartedAt/second, int64(len(m.seconds)-1))]++
	}
	m.priorityAudit.operationEnded(s, weight, onTime)
	m.total.add(weight, earned)
	m.classes[s.Class].add(weight, earned)
	if within && s.Tenant >= 0 && s.Tenant < len(m.tenants) {
		m.tenants[s.Tenant].add(weight, earned)
	}
	who := m.clients[[2]int{s.Instance, s.Process}]
	if who == nil {
		who = &clientTotals{}
		m.clients[[2]int{s.Instance, s.Process}] = who
	}
	who.add(weight, earned)
	who.operations++
	if s.Outcome == simclient.Served {
		who.latencies = append(who.latencies, int32(min(took/100, math.MaxInt32)))
	}
	m.seconds[min(s.StartedAt/second, int64(len(m.seconds)-1))].add(weight, earned)
	b := &m.bins[min(s.StartedAt/m.binWidth, int64(len(m.bins)-1))]
	b.add(weight, earned)
	b.classes[s.Class].add(weight, earned)
	if zone >= 0 && zone < len(b.zones) {
		b.zones[zone].add(weight, earned)
	}
	b.operations++
	switch {
	case onTime:
		b.served++
	case s.Outcome == simclient.Served:
		b.late++
	default:
		b.unserved++
	}
	if s.Outcome == simclient.Served {
		_ = b.latencies.RecordValue(min(max(10, took), int64(time.Minute/time.Microsecond))) // up to a minute, which the histogram holds
	}
	b.rejectedRequests += int64(s.Rejected)
	b.failedRequests += int64(s.Failed + s.Unanswered)
	m.requests.refused += int64(s.Rejected)
	m.requests.failed += int64(s.Failed)
	m.requests.lost += int64(s.Unanswered)
	m.Costs.OfferedWork += float64(s.Work)
	var text [64]byte
	for i, v := range [...]uint64{s.ID, uint64(s.Outcome), uint64(s.EndedAt), uint64(s.Requests), uint64(s.Executions), uint64(s.Effects), uint64(s.Rejected), uint64(s.Failed)} {
		binary.LittleEndian.PutUint64(text[8*i:], v)
	}
	m.digest.Write(text[:])
}

func (w *weightSum) add(offered, earned float64) {
	w.offered += offered
	w.earned += earned
}

// share is what was earned of what was asked, 1 where nothing was.
func (w weightSum) share() float64 {
	if w.offered <= 0 {
		return 1
	}
	return w.earned / w.offered
}

// Result is what a run came to.
type Result struct {
	Scenario string `json:"Scenario"`
	Seed     uint64 `json:"Seed"`
	Digest   string `json:"Digest"` // of all that became of all stories: runs that are the same have the same

	Figures    map[string]float64 `json:"Figures"` // by the names in Figures
	Costs      Costs              `json:"Costs"`
	Operations int64              `json:"Stories"`
	Served     int64              `json:"Served"` // within the aim or after it
	Series     Series             `json:"Series"`
	Endpoints  []EndpointLoad     `json:"Nodes"`
	Classes    []ClassLatency     `json:"Classes"`
	Seconds    []Second           `json:"Seconds"` // what came at endpoints
	Elapsed    time.Duration      `json:"-"`       // of the computer, not of the run
}

// Series are lines over time, an entry for each Bin.
type Series struct {
	Bin      monotime.Micros `json:"Bin"`
	Service  []float64       `json:"Service"`
	Offered  []float64       `json:"Asked"` // stories a second
	OnTime   []float64       `json:"Good"`  // served within the aim, a second
	Late     []float64       `json:"Late"`
	Unserved []float64       `json:"Lost"`    // unserved, a second
	Rejected []float64       `json:"Refused"` // tries refused, a second
	Failed   []float64       `json:"Failed"`  // tries failed or lost, a second
	P50      []float64       `json:"P50"`     // milliseconds
	P99      []float64       `json:"P99"`
	Class    [][]float64     `json:"Class"` // service of each class
	Zone     [][]float64     `json:"Zone"`  // and of the clients in each zone
}

// NodeLoad is what one endpoint had to do.
type EndpointLoad struct {
	Name        string  `json:"Name"`
	Zone        int     `json:"Zone"`
	Executions  int64   `json:"Runs"`
	Utilization float64 `json:"Worked"`         // of its core time, 0 to 1
	MaxInFlight int     `json:"Most"`           // requests held at once, at most
	Arrivals    []int64 `json:"Line,omitempty"` // requests that came, in each bin of the series; nil where there are many endpoints
}

// ClassTimes is how long a class's stories took that were served: pairs of a part of them and milliseconds.
type ClassLatency struct {
	Name      string       `json:"Name"`
	Count     int64        `json:"Count"`
	Quantiles [][2]float64 `json:"Quantiles"`
}

var quantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Result sums up.
func (m *Meter) Result() *Result {
	r := &Result{Figures: map[string]float64{}, Costs: m.Costs, Operations: m.operations, Served: m.outcomes[simclient.Served], Digest: hex(m.digest.Sum64())}
	f, c, n := r.Figures, &m.Costs, math.Max(1, float64(m.operations))
	f["whole"] = m.total.share()
	f["worst_window"] = m.worstWindowShare()
	f["worst_class"], f["worst_tenant"] = 1, 1
	all := hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 3)
	for i := range m.classes {
		f["worst_class"] = min(f["worst_class"], m.classes[i].share())
		name := m.criteria.Classes[i].Name
		f["service."+name] = m.classes[i].share()
		f["p50."+name], f["p99."+name] = quantileMS(m.latencies[i], 50), quantileMS(m.latencies[i], 99)
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
	f["modest"], f["p99_modest"] = m.modestClients()
	f["p50"], f["p90"], f["p99"], f["p999"] = quantileMS(all, 50), quantileMS(all, 90), quantileMS(all, 99), quantileMS(all, 99.9)
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
	m.arrivals.figures(f, m.seconds)
	m.priorityAudit.figures(f, m.total.earned)
	m.quotaSpending.figures(f, &m.criteria, m.tenantDemand)
	f["words"] = float64(c.FleetMessages) / n
	f["work_sent"], f["work_left"], f["work_took"] = 0, 0, 0
	for name, v := range m.maintenance {
		f[name] = v
	}
	f["breaks"] = float64(c.Collapses + c.AttemptsAfterDrain + c.DuplicateEffects + c.LateResponses)
	g, p := &m.criteria.Goal, &m.criteria.Prices
	weights := g.Overall + g.WorstWindow + g.WorstClass + g.WorstTenant
	if weights <= 0 {
		f["service"] = f["whole"]
	} else {
		f["service"] = (g.Overall*f["whole"] + g.WorstWindow*f["worst_window"] + g.WorstClass*f["worst_class"] + g.WorstTenant*f["worst_tenant"]) / weights
	}
	f["service"] -= p.Waste*f["waste"] + p.LateFail*f["late_fail"] + p.CrossZone*f["cross_zone"] + p.Probe*f["probes"]
	r.Series, r.Seconds = m.series(), m.arrivals.seconds
	return r
}

// modestPart is how many times as much as the median client of its instance one may ask for and still be modest.
const modestFactor = 2

// modest is what those clients got that ask for no more than others: their service, and the time in milliseconds within
// which 99 in 100 of their answers came.
func (m *Meter) modestClients() (service, p99 float64) {
	// In order, since sums of fractions depend on it.
	order := slices.SortedFunc(maps.Keys(m.clients), func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	var all weightSum
	var took []int32
	for len(order) > 0 {
		n := 1
		for n < len(order) && order[n][0] == order[0][0] {
			n++
		}
		var counts []int64
		for _, who := range order[:n] {
			counts = append(counts, m.clients[who].operations)
		}
		slices.Sort(counts)
		for _, who := range order[:n] {
			if c := m.clients[who]; c.operations <= modestFactor*counts[n/2] {
				all.add(c.weightSum.offered, c.earned)
				took = append(took, c.latencies...)
			}
		}
		order = order[n:]
	}
	if len(took) == 0 {
		return all.share(), 0
	}
	slices.Sort(took)
	return all.share(), float64(took[min(len(took)-1, len(took)*99/100)]) / 10
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

// worst is the least share over any ten seconds that begin with a second, or over all where there are fewer.
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
		s.P50, s.P99 = append(s.P50, quantileMS(b.latencies, 50)), append(s.P99, quantileMS(b.latencies, 99))
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

// Labour tells what came of machines that were asked to go out for work: how many of them are back, how many requests reached one while it
// was at work, and how long all took; 0 is that not all are back.
func (m *Meter) RecordMaintenance(requested, returned, sent int, took monotime.Micros) {
	m.maintenance = map[string]float64{"work_sent": float64(sent), "work_left": float64(requested - returned), "work_took": float64(took) / float64(second)}
}

// Figure describes a figure of a Result.
type Figure struct {
	Name             string  `json:"Name"`
	Description      string  `json:"About"`
	Unit             string  `json:"Unit"`   // "", "ms", "a story"
	Direction        float64 `json:"Better"` // 1: more is better; -1: less is; 0: neither by itself
	Threshold        float64 `json:"Step"`   // what is no difference that matters
	CountsViolations bool    `json:"Count"`  // it counts what should never happen
}

// Figures are those that hold of every site, the first what all is judged by. Those of classes and tenants come beside
// them: service.NAME, p50.NAME and p99.NAME.
var Figures = []Figure{
	{"service", "what the users judge by: the goal's mix of the following four, less the prices", "", 1, 0.002, false},
	{"whole", "worth served within the aim, of the worth asked for", "", 1, 0.002, false},
	{"worst_window", "the same of the worst ten seconds", "", 1, 0.005, false},
	{"worst_class", "of the worst class", "", 1, 0.005, false},
	{"worst_tenant", "of the worst tenant, within its allowance", "", 1, 0.005, false},
	{"modest", "service of the clients that ask for no more than twice what the median client of their instance does", "", 1, 0.005, false},
	{"p99_modest", "99 in 100 of their answers are faster", "ms", -1, 5, false},
	{"p50", "time to the answer, from the first try's beginning", "ms", -1, 1, false},
	{"p90", "nine in ten are faster", "ms", -1, 2, false},
	{"p99", "99 in 100", "ms", -1, 5, false},
	{"p999", "999 in 1,000", "ms", -1, 10, false},
	{"served", "stories with an answer, in the aim or later", "", 1, 0.001, false},
	{"unserved", "stories without one, after all tries", "", -1, 0.001, false},
	{"tries", "requests that clients sent, a story", "a story", -1, 0.005, false},
	{"attempts", "requests that instances sent on, a story", "a story", 0, 0.005, false},
	{"refused", "tries refused", "", -1, 0.002, false},
	{"failed", "tries failed", "", -1, 0.002, false},
	{"lost", "tries without an answer", "", -1, 0.001, false},
	{"cross_zone", "attempts to another zone, a story", "a story", 0, 0.01, false},
	{"probes", "probes, a story", "a story", 0, 0.02, false},
	{"dials", "new connections to endpoints, a story", "a story", -1, 0.01, false},
	{"waste", "endpoints' work without an answer that a client took, of all work asked for", "", -1, 0.005, false},
	{"late_fail", "worth that was unserved past its aim", "", -1, 0.002, false},
	{"further_peak", "further attempts for each first one that reached endpoints, in the worst second of a hundred first ones or more", "", -1, 0.01, false},
	{"probes_peak", "probes a second at one endpoint, in the worst second of any", "", -1, 1, false},
	{"probes_first", "probes for each first attempt", "", -1, 0.02, false},
	{"dials_peak", "new connections a second at one endpoint, in the worst second of any", "", -1, 1, false},
	{"back", "service from 3 s after the last of what goes wrong has ended, against that before the first began; 1 at the most", "", 1, 0.01, false},
	{"of_could", "worth served within the aim, of what the endpoints' work could have served at best", "", 1, 0.01, false},
	{"out_of_order", "work not served while such of less worth for its work was, in the same second, of all work", "", -1, 0.01, false},
	{"over_budget", "requests let in of a tenant that has a limit over all instances, in its worst second, of the limit", "", -1, 0.01, false},
	{"beyond_limit", "requests of a tenant let in beyond its limit over all instances, in any second", "", -1, 0, true},
	{"budget_use", "of the tenants' limits, what was let in, in seconds in which a fifth more was asked for", "", 1, 0.01, false},
	{"work_sent", "requests that reached a machine at work", "", -1, 0, true},
	{"work_left", "machines that were asked to go out and are not back", "", -1, 0, true},
	{"work_took", "until all were back", "s", -1, 1, false},
	{"words", "words between instances, a story", "a story", -1, 0.02, false},
	{"breaks", "rules broken", "", -1, 0, true},
}

// Describe returns what a figure is, by its name.
func Describe(name string) (Figure, bool) {
	for _, f := range Figures {
		if f.Name == name {
			return f, true
		}
	}
	for prefix, f := range map[string]Figure{"service.": {"", "service of this class or tenant alone", "", 1, 0.005, false},
		"p50.": {"", "median time of this class", "ms", -1, 1, false}, "p99.": {"", "99 in 100 of this class are faster", "ms", -1, 5, false}} {
		if len(name) > len(prefix) && name[:len(prefix)] == prefix {
			f.Name = name
			return f, true
		}
	}
	return Figure{}, false
}
