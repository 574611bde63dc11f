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
type Judge struct {
	Classes        []balancer.Class  // in the order of the stories' classes
	Tenants        []balancer.Tenant // in the order of the stories' tenants
	OverShareWorth float64           // what a tenant's request beyond its allowance is worth
	Goal           balancer.Goal
	Prices         balancer.Prices
	Limits         map[string]float64 // of tenants, by name: requests a second that are let in over all instances; 0 is no limit
}

const (
	worstWindow = 10 // seconds
	binsMost    = 120
)

// Costs is what the stories of a run have cost, and what broke.
type Costs struct {
	Tries     int64   `json:"Tries"`    // requests that clients sent
	Attempts  int64   `json:"Attempts"` // that instances sent on
	Cross     int64   `json:"Cross"`    // of these, to another zone
	Dials     int64   `json:"Dials"`    // new connections to endpoints
	Probes    int64   `json:"Probes"`
	Offered   float64 `json:"Offered"`   // work of all stories, once each, in microseconds
	Worked    float64 `json:"Worked"`    // by endpoints
	Useful    float64 `json:"Useful"`    // of this, for answers that clients took
	Decisions int64   `json:"Decisions"` // requests, outcomes, probes and timers that instances decided on

	// Rules that were broken.
	Falls      int64 `json:"Falls"`      // endpoints pushed over while cold
	Drained    int64 `json:"Drained"`    // attempts that reached an endpoint past the grace after its instance knew that it drains
	Twice      int64 `json:"Twice"`      // stories that took effect more than once by their instances' doing
	LateAnswer int64 `json:"LateAnswer"` // final answers that came after the client's deadline, or not at all

	ClientsTwice int64 `json:"ClientsTwice"` // stories that took effect more than once by their clients' own tries
	KilledOpen   int64 `json:"KilledOpen"`   // tries that instances held when they were killed
	Words        int64 `json:"Words"`        // that instances told one another
}

// Meter judges one run. Make one with New.
type Meter struct {
	judge Judge
	end   monotime.Micros

	bin     monotime.Micros
	bins    []bin
	buckets []bucket // of tenants' allowances
	classes []part
	tenants []part
	seconds []worths
	spent   spending
	labour  map[string]float64
	asked   map[int][]int // stories of each tenant that began in each second
	worth   worths
	clients map[[2]int]*client // by instance and process
	lateOut float64            // worth that was unserved when its aim had passed, and not given up before
	counts  [simclient.Outcomes]int64
	stories int64
	tries   struct{ refused, failed, lost int64 }
	arrived arrivals
	weigher *weigher
	took    []*hdrhistogram.Histogram // of each class
	digest  *xxhash.Digest

	Costs Costs
}

type worths struct{ asked, earned float64 }

type part struct{ worths }

// client is what one client process asked for and got.
type client struct {
	worths
	asked int64
	took  []int32 // of those served, in tenths of a millisecond
}

type bucket struct {
	level float64
	at    monotime.Micros
}

type bin struct {
	worths
	asked, served, late, unserved, refusedTries, failedTries int64
	took                                                     *hdrhistogram.Histogram
	class                                                    []worths
	zone                                                     []worths
}

// New returns a meter of a run in which stories begin before an instant.
func New(j Judge, length monotime.Micros, zones int) *Meter {
	m := &Meter{judge: j, end: length, digest: xxhash.New(), clients: map[[2]int]*client{}}
	m.bin = max(second, (length+binsMost-1)/binsMost)
	m.bin = (m.bin + second - 1) / second * second
	m.bins = make([]bin, (length+m.bin-1)/m.bin)
	for i := range m.bins {
		m.bins[i].took = hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 2)
		m.bins[i].class = make([]worths, len(j.Classes))
		m.bins[i].zone = make([]worths, zones)
	}
	m.seconds = make([]worths, (length+second-1)/second)
	m.arrived = arrivals{seconds: make([]Second, len(m.seconds)), probes: make([][]uint32, len(m.seconds)), dials: make([][]uint32, len(m.seconds))}
	m.classes, m.tenants = make([]part, len(j.Classes)), make([]part, len(j.Tenants))
	m.buckets = make([]bucket, len(j.Tenants))
	for i := range m.buckets {
		m.buckets[i].level = max(1, j.Tenants[i].Quota)
	}
	for range j.Classes {
		m.took = append(m.took, hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 3))
	}
	return m
}

// Bin is how long the bins of the series are.
func (m *Meter) Bin() monotime.Micros { return m.bin }

// Worth is what a story is worth, which is settled as it begins: beyond its tenant's allowance it is worth less.
func (m *Meter) Worth(s *simclient.Story) (worth float64, within bool) {
	worth = m.judge.Classes[s.Class].PriorityWeight
	if s.Tenant < 0 || s.Tenant >= len(m.buckets) || m.judge.Tenants[s.Tenant].Quota <= 0 {
		return worth, true
	}
	// A second's allowance may come at once.
	b, rate := &m.buckets[s.Tenant], m.judge.Tenants[s.Tenant].Quota
	b.level = min(max(1, rate), b.level+rate*float64(s.Began-b.at)/float64(second))
	b.at = s.Began
	if b.level < 1 {
		return worth * m.judge.OverShareWorth, false
	}
	b.level--
	return worth, true
}

// Done takes in a story that has ended, with what Worth returned of it as it began. zone is its instance's.
func (m *Meter) Done(s *simclient.Story, zone int, worth float64, within bool) {
	c := &m.judge.Classes[s.Class]
	took := s.Ended - s.Began
	earned := 0.0
	inAim := s.Outcome == simclient.Served && took <= c.LatencyObjective
	if s.Outcome == simclient.Served {
		earned = worth
		if !inAim {
			earned *= c.LateWeight
		}
		_ = m.took[s.Class].RecordValue(min(max(10, took), int64(time.Minute/time.Microsecond))) // up to a minute, which the histogram holds
	} else if took > c.LatencyObjective {
		m.lateOut += worth
	}
	m.stories++
	m.counts[s.Outcome]++
	if s.Tenant >= 0 {
		if m.asked == nil {
			m.asked = map[int][]int{}
		}
		if m.asked[s.Tenant] == nil {
			m.asked[s.Tenant] = make([]int, len(m.seconds))
		}
		m.asked[s.Tenant][min(s.Began/second, int64(len(m.seconds)-1))]++
	}
	m.weigher.done(s, worth, inAim)
	m.worth.add(worth, earned)
	m.classes[s.Class].add(worth, earned)
	if within && s.Tenant >= 0 && s.Tenant < len(m.tenants) {
		m.tenants[s.Tenant].add(worth, earned)
	}
	who := m.clients[[2]int{s.Instance, s.Process}]
	if who == nil {
		who = &client{}
		m.clients[[2]int{s.Instance, s.Process}] = who
	}
	who.add(worth, earned)
	who.asked++
	if s.Outcome == simclient.Served {
		who.took = append(who.took, int32(min(took/100, math.MaxInt32)))
	}
	m.seconds[min(s.Began/second, int64(len(m.seconds)-1))].add(worth, earned)
	b := &m.bins[min(s.Began/m.bin, int64(len(m.bins)-1))]
	b.add(worth, earned)
	b.class[s.Class].add(worth, earned)
	if zone >= 0 && zone < len(b.zone) {
		b.zone[zone].add(worth, earned)
	}
	b.asked++
	switch {
	case inAim:
		b.served++
	case s.Outcome == simclient.Served:
		b.late++
	default:
		b.unserved++
	}
	if s.Outcome == simclient.Served {
		_ = b.took.RecordValue(min(max(10, took), int64(time.Minute/time.Microsecond))) // up to a minute, which the histogram holds
	}
	b.refusedTries += int64(s.Refused)
	b.failedTries += int64(s.Failed + s.Lost)
	m.tries.refused += int64(s.Refused)
	m.tries.failed += int64(s.Failed)
	m.tries.lost += int64(s.Lost)
	m.Costs.Offered += float64(s.Work)
	var text [64]byte
	for i, v := range [...]uint64{s.ID, uint64(s.Outcome), uint64(s.Ended), uint64(s.Tries), uint64(s.Runs), uint64(s.Effects), uint64(s.Refused), uint64(s.Failed)} {
		binary.LittleEndian.PutUint64(text[8*i:], v)
	}
	m.digest.Write(text[:])
}

func (w *worths) add(asked, earned float64) {
	w.asked += asked
	w.earned += earned
}

// share is what was earned of what was asked, 1 where nothing was.
func (w worths) share() float64 {
	if w.asked <= 0 {
		return 1
	}
	return w.earned / w.asked
}

// Result is what a run came to.
type Result struct {
	Scenario string `json:"Scenario"`
	Seed     uint64 `json:"Seed"`
	Digest   string `json:"Digest"` // of all that became of all stories: runs that are the same have the same

	Figures map[string]float64 `json:"Figures"` // by the names in Figures
	Costs   Costs              `json:"Costs"`
	Stories int64              `json:"Stories"`
	Served  int64              `json:"Served"` // within the aim or after it
	Series  Series             `json:"Series"`
	Nodes   []NodeLoad         `json:"Nodes"`
	Classes []ClassTimes       `json:"Classes"`
	Seconds []Second           `json:"Seconds"` // what came at endpoints
	Took    time.Duration      `json:"-"`       // of the computer, not of the run
}

// Series are lines over time, an entry for each Bin.
type Series struct {
	Bin     monotime.Micros `json:"Bin"`
	Service []float64       `json:"Service"`
	Asked   []float64       `json:"Asked"` // stories a second
	Good    []float64       `json:"Good"`  // served within the aim, a second
	Late    []float64       `json:"Late"`
	Lost    []float64       `json:"Lost"`    // unserved, a second
	Refused []float64       `json:"Refused"` // tries refused, a second
	Failed  []float64       `json:"Failed"`  // tries failed or lost, a second
	P50     []float64       `json:"P50"`     // milliseconds
	P99     []float64       `json:"P99"`
	Class   [][]float64     `json:"Class"` // service of each class
	Zone    [][]float64     `json:"Zone"`  // and of the clients in each zone
}

// NodeLoad is what one endpoint had to do.
type NodeLoad struct {
	Name   string  `json:"Name"`
	Zone   int     `json:"Zone"`
	Runs   int64   `json:"Runs"`
	Worked float64 `json:"Worked"`         // of its core time, 0 to 1
	Most   int     `json:"Most"`           // requests held at once, at most
	Line   []int64 `json:"Line,omitempty"` // requests that came, in each bin of the series; nil where there are many endpoints
}

// ClassTimes is how long a class's stories took that were served: pairs of a part of them and milliseconds.
type ClassTimes struct {
	Name      string       `json:"Name"`
	Count     int64        `json:"Count"`
	Quantiles [][2]float64 `json:"Quantiles"`
}

var quantiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 99.99, 100}

// Result sums up.
func (m *Meter) Result() *Result {
	r := &Result{Figures: map[string]float64{}, Costs: m.Costs, Stories: m.stories, Served: m.counts[simclient.Served], Digest: hex(m.digest.Sum64())}
	f, c, n := r.Figures, &m.Costs, math.Max(1, float64(m.stories))
	f["whole"] = m.worth.share()
	f["worst_window"] = m.worst()
	f["worst_class"], f["worst_tenant"] = 1, 1
	all := hdrhistogram.New(10, int64(time.Minute/time.Microsecond), 3)
	for i := range m.classes {
		f["worst_class"] = min(f["worst_class"], m.classes[i].share())
		name := m.judge.Classes[i].Name
		f["service."+name] = m.classes[i].share()
		f["p50."+name], f["p99."+name] = ms(m.took[i], 50), ms(m.took[i], 99)
		all.Merge(m.took[i])
		t := ClassTimes{Name: name, Count: m.took[i].TotalCount()}
		for _, q := range quantiles {
			t.Quantiles = append(t.Quantiles, [2]float64{q, ms(m.took[i], q)})
		}
		r.Classes = append(r.Classes, t)
	}
	for i := range m.tenants {
		f["worst_tenant"] = min(f["worst_tenant"], m.tenants[i].share())
		f["service."+m.judge.Tenants[i].Name] = m.tenants[i].share()
	}
	f["modest"], f["p99_modest"] = m.modest()
	f["p50"], f["p90"], f["p99"], f["p999"] = ms(all, 50), ms(all, 90), ms(all, 99), ms(all, 99.9)
	f["served"] = float64(m.counts[simclient.Served]) / n
	f["unserved"] = float64(m.counts[simclient.GivenUp]) / n
	f["tries"] = float64(c.Tries) / n
	f["attempts"] = float64(c.Attempts) / n
	f["refused"] = float64(m.tries.refused) / math.Max(1, float64(c.Tries))
	f["failed"] = float64(m.tries.failed) / math.Max(1, float64(c.Tries))
	f["lost"] = float64(m.tries.lost) / math.Max(1, float64(c.Tries))
	f["cross_zone"] = float64(c.Cross) / n
	f["probes"] = float64(c.Probes) / n
	f["dials"] = float64(c.Dials) / n
	f["waste"] = max(0, c.Worked-c.Useful) / math.Max(1, c.Offered)
	f["late_fail"] = m.lateOut / math.Max(1e-9, m.worth.asked)
	m.arrived.figures(f, m.seconds)
	m.weigher.figures(f, m.worth.earned)
	m.spent.figures(f, &m.judge, m.asked)
	f["words"] = float64(c.Words) / n
	f["work_sent"], f["work_left"], f["work_took"] = 0, 0, 0
	for name, v := range m.labour {
		f[name] = v
	}
	f["breaks"] = float64(c.Falls + c.Drained + c.Twice + c.LateAnswer)
	g, p := &m.judge.Goal, &m.judge.Prices
	weights := g.Overall + g.WorstWindow + g.WorstClass + g.WorstTenant
	if weights <= 0 {
		f["service"] = f["whole"]
	} else {
		f["service"] = (g.Overall*f["whole"] + g.WorstWindow*f["worst_window"] + g.WorstClass*f["worst_class"] + g.WorstTenant*f["worst_tenant"]) / weights
	}
	f["service"] -= p.Waste*f["waste"] + p.LateFail*f["late_fail"] + p.CrossZone*f["cross_zone"] + p.Probe*f["probes"]
	r.Series, r.Seconds = m.series(), m.arrived.seconds
	return r
}

// modestPart is how many times as much as the median client of its instance one may ask for and still be modest.
const modestPart = 2

// modest is what those clients got that ask for no more than others: their service, and the time in milliseconds within
// which 99 in 100 of their answers came.
func (m *Meter) modest() (service, p99 float64) {
	// In order, since sums of fractions depend on it.
	order := slices.SortedFunc(maps.Keys(m.clients), func(a, b [2]int) int { return slices.Compare(a[:], b[:]) })
	var all worths
	var took []int32
	for len(order) > 0 {
		n := 1
		for n < len(order) && order[n][0] == order[0][0] {
			n++
		}
		var counts []int64
		for _, who := range order[:n] {
			counts = append(counts, m.clients[who].asked)
		}
		slices.Sort(counts)
		for _, who := range order[:n] {
			if c := m.clients[who]; c.asked <= modestPart*counts[n/2] {
				all.add(c.worths.asked, c.earned)
				took = append(took, c.took...)
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

func ms(h *hdrhistogram.Histogram, q float64) float64 {
	if h.TotalCount() == 0 {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}

// worst is the least share over any ten seconds that begin with a second, or over all where there are fewer.
func (m *Meter) worst() float64 {
	worst := 1.0
	var in worths
	for i := range m.seconds {
		in.add(m.seconds[i].asked, m.seconds[i].earned)
		if i >= worstWindow {
			in.add(-m.seconds[i-worstWindow].asked, -m.seconds[i-worstWindow].earned)
		}
		if (i >= worstWindow-1 || i == len(m.seconds)-1) && in.asked > 1e-6 {
			worst = min(worst, in.share())
		}
	}
	return worst
}

func (m *Meter) series() Series {
	s := Series{Bin: m.bin, Class: make([][]float64, len(m.classes))}
	per := float64(m.bin) / float64(second)
	for i := range m.bins {
		b := &m.bins[i]
		s.Service = append(s.Service, b.share())
		s.Asked = append(s.Asked, float64(b.asked)/per)
		s.Good = append(s.Good, float64(b.served)/per)
		s.Late = append(s.Late, float64(b.late)/per)
		s.Lost = append(s.Lost, float64(b.unserved)/per)
		s.Refused = append(s.Refused, float64(b.refusedTries)/per)
		s.Failed = append(s.Failed, float64(b.failedTries)/per)
		s.P50, s.P99 = append(s.P50, ms(b.took, 50)), append(s.P99, ms(b.took, 99))
		for j := range b.class {
			s.Class[j] = append(s.Class[j], b.class[j].share())
		}
		if s.Zone == nil {
			s.Zone = make([][]float64, len(b.zone))
		}
		for j := range b.zone {
			s.Zone[j] = append(s.Zone[j], b.zone[j].share())
		}
	}
	return s
}

// Labour tells what came of machines that were asked to go out for work: how many of them are back, how many requests reached one while it
// was at work, and how long all took; 0 is that not all are back.
func (m *Meter) Labour(asked, back, sent int, took monotime.Micros) {
	m.labour = map[string]float64{"work_sent": float64(sent), "work_left": float64(asked - back), "work_took": float64(took) / float64(second)}
}

// Figure describes a figure of a Result.
type Figure struct {
	Name   string  `json:"Name"`
	About  string  `json:"About"`
	Unit   string  `json:"Unit"`   // "", "ms", "a story"
	Better float64 `json:"Better"` // 1: more is better; -1: less is; 0: neither by itself
	Step   float64 `json:"Step"`   // what is no difference that matters
	Count  bool    `json:"Count"`  // it counts what should never happen
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
