package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simclient"
	"dunlinsail/internal/simulation/simendpoint"
)

const second monotime.Micros = 1_000_000

// Plan is a scenario drawn with a seed.
type Plan struct {
	*Scenario
	Seed          uint64
	Endpoints     []Endpoint
	Instances     []Instance
	PlannedEvents []PlannedEvent // by their beginning
	Rate          float64        // stories a second, where the shape is 1
	Capacity      float64        // work that all nodes can do in a microsecond, once warm
	Source        Source         // of stories; nil is those that the plan draws itself
}

// Node is an endpoint of a plan.
type Endpoint struct {
	Name          string
	Kind, Zone    int
	Cell          int
	StartsWithRun bool
	Config        simendpoint.Config
	Idle          monotime.Micros
	PauseEvery    monotime.Micros
	PauseFor      monotime.Micros
}

// Instance is an instance of the daemon in a plan.
type Instance struct {
	Zone      int
	Share     float64         // of all traffic
	Skew      monotime.Micros // its clock against the world's
	Drift     float64
	Endpoints []int // that it is told of; nil is all
}

// Happening is an event of a plan: what was left to chance is drawn.
type PlannedEvent struct {
	What      string          `json:"What"`
	At        monotime.Micros `json:"At"`
	Until     monotime.Micros `json:"Until"` // math.MaxInt64 for what does not end
	Endpoints []int           `json:"Nodes"`
	Sizes     []float64       `json:"Sizes"`  // of each of Nodes; of one number where it happens to no node
	Class     int             `json:"Class"`  // -1 is all
	Tenant    int             `json:"Tenant"` // -1 is all
	OneClient bool            `json:"One"`    // of the first client process only
	Zone      int             `json:"Zone"`   // -1 is all
	To        int             `json:"To"`     // the same
	Every     monotime.Micros `json:"Every"`
	Delay     monotime.Micros `json:"Delay"`
	Instances []int           `json:"Instances"` // of what happens to instances, or on their ways
	Others    []int           `json:"Others"`    // part: the other side; nil is all others
	Way       string          `json:"Way"`
}

// Frozen says whether what happens at an instant stops an instance, and until when at least.
func (h *PlannedEvent) Frozen(now monotime.Micros) (until monotime.Micros, yes bool) {
	if h.What != "freeze" || now < h.At || now >= h.Until {
		return 0, false
	}
	if h.Every <= 0 {
		return h.Until, true
	}
	turn := (now - h.At) / h.Every
	return min(h.Until, h.At+(turn+1)*h.Every), turn%2 == 0
}

// Severs says whether it lets nothing through between an instance and an endpoint, towards the endpoint or back.
func (h *PlannedEvent) Blocks(now monotime.Micros, instance, node int, back bool) bool {
	return h.What == "sever" && now >= h.At && now < h.Until && (h.Way == "" || (h.Way == "from") == back) &&
		contains(h.Instances, instance) && contains(h.Endpoints, node)
}

// Parts says whether no word passes from one instance to another at an instant.
func (p *Plan) Partitioned(now monotime.Micros, from, to int) bool {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if h.What != "part" || now < h.At || now >= h.Until || h.Every > 0 && (now-h.At)/h.Every%2 != 0 {
			continue
		}
		a, b := contains(h.Instances, from), contains(h.Instances, to)
		if h.Others != nil && !contains(h.Others, from) && !contains(h.Others, to) {
			continue
		}
		if a != b && (h.Way == "" || (h.Way == "to") == b) {
			return true
		}
	}
	return false
}

// Lies is how many times what it wants the liar says that it does at an instant; 1 without one.
func (p *Plan) DemandFactor(now monotime.Micros) float64 {
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == "liar" && now >= h.At && now < h.Until {
			return h.Sizes[0]
		}
	}
	return 1
}

// Late is by how much longer a word of an instance takes at an instant, and whether it comes twice; lots are three numbers in 0..1
// of the word's own.
func (p *Plan) MessageDelay(now monotime.Micros, from int, draws [3]float64) (more monotime.Micros, twice bool) {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if h.What == "late-words" && now >= h.At && now < h.Until && contains(h.Instances, from) {
			if draws[0] < 0.5 {
				more += monotime.Micros(draws[1] * float64(h.Delay))
			}
			twice = twice || draws[2] < 0.1
		}
	}
	return more, twice
}

// sorted returns numbers in order; nil where there are none.
func sorted(list []int) []int {
	list = slices.Clone(list)
	slices.Sort(list)
	return list
}

// Lag is by how much longer each message between an instance and an endpoint takes at an instant.
func (p *Plan) ExtraDelay(now monotime.Micros, instance, node int) (more monotime.Micros) {
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == "lag" && now >= h.At && now < h.Until && contains(h.Instances, instance) && contains(h.Endpoints, node) {
			more += h.Delay
		}
	}
	return more
}

// Source gives the stories of an instance in the order in which they begin, in place of those that a plan draws.
type Source interface {
	Operations(instance int) func() (simclient.Operation, bool)
}

// Draw returns the plan of a seed.
func (s *Scenario) Draw(seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed}
	p.drawEndpoints()
	p.drawInstances()
	p.drawEvents()
	p.Rate = s.Clients.Rate
	if s.Clients.Load > 0 {
		p.Rate = s.Clients.Load * p.Capacity * float64(second) / s.MeanWork()
	}
	return p
}

// MeanWork is the mean work of a story, in microseconds.
func (s *Scenario) MeanWork() float64 {
	var work, shares float64
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work.Micros())
		shares += c.Share
	}
	return work / shares
}

func (p *Plan) drawEndpoints() {
	stream := randstream.New(p.Seed, "nodes")
	cancels := map[string]simendpoint.Cancellation{"none": simendpoint.CancelNone, "queued": simendpoint.CancelQueued, "all": simendpoint.CancelAll}
	for kind, n := range p.Scenario.EndpointKinds {
		var zones []int
		for i, z := range p.Fleet.Zones {
			if len(n.Zones) == 0 || slices.Contains(n.Zones, z) {
				zones = append(zones, i)
			}
		}
		for i := range n.Count {
			r := stream.For(uint64(kind), uint64(i))
			c := simendpoint.Config{Cores: n.Cores, Speed: randstream.Range(r, n.Speed.ends(1)), QueueCapacity: n.Queue, WarmupFrom: n.WarmupFrom,
				WarmupDuration: n.WarmupDuration.Micros(), CollapseLoad: n.CollapseLoad, CollapseWindow: n.CollapseWindow.Micros(), Cancellation: cancels[n.Cancel], ErrorRate: n.Errors,
				ContentionThreshold: n.ContentionThreshold, ContentionLoss: n.ContentionLoss, ProbeWork: n.ProbeWork.Micros(), HandshakeWork: n.Handshake.Micros(), MaxConnections: n.Conns,
				ReportInterval: n.Report.Micros(), ReportNoise: n.Noise}
			p.Endpoints = append(p.Endpoints, Endpoint{Name: fmt.Sprintf("%s-%d", n.Kind, i), Kind: kind, Zone: zones[i%len(zones)],
				Cell: kind<<16 | i/n.Cell, StartsWithRun: n.StartsWithRun, Config: c, Idle: n.Idle.Micros(), PauseEvery: n.PauseEvery.Micros(), PauseFor: n.PauseFor.Micros()})
			p.Capacity += c.Speed * float64(c.Cores)
		}
	}
	// Cells are numbered over all kinds.
	numbers := map[int]int{}
	for i := range p.Endpoints {
		c := p.Endpoints[i].Cell
		if _, ok := numbers[c]; !ok {
			numbers[c] = len(numbers)
		}
		p.Endpoints[i].Cell = numbers[c]
	}
}

func (p *Plan) drawInstances() {
	stream := randstream.New(p.Seed, "instances")
	var sum float64
	zones := len(p.Fleet.Zones)
	for i := range p.Fleet.Instances {
		r := stream.For(uint64(i))
		in := Instance{Zone: i % zones, Share: randstream.LogNormal(r, 1, p.Fleet.Uneven), Skew: monotime.Micros((2*r.Float64() - 1) * float64(p.Clocks.Skew.Micros())),
			Drift: (2*r.Float64() - 1) * p.Clocks.Drift}
		if in.Zone == 0 {
			in.Share *= 1 + p.Fleet.ZoneSkew*float64(zones-1)
		} else {
			in.Share *= 1 - p.Fleet.ZoneSkew
		}
		if p.Fleet.Subset > 0 && p.Fleet.Subset < len(p.Endpoints) {
			in.Endpoints = p.subset(i)
		}
		sum += in.Share
		p.Instances = append(p.Instances, in)
	}
	for i := range p.Instances {
		if sum > 0 {
			p.Instances[i].Share /= sum
		} else {
			p.Instances[i].Share = 1 / float64(len(p.Instances))
		}
	}
}

// subset returns the endpoints that an instance is told of, so that all are told to as many instances as any other
// (deterministic subsetting: Beyer et al., "Site Reliability Engineering", chapter 20).
func (p *Plan) subset(instance int) []int {
	size := p.Fleet.Subset
	groups := len(p.Endpoints) / size
	order := randstream.New(p.Seed, "subset").For(uint64(instance / groups)).Perm(len(p.Endpoints))
	at := (instance % groups) * size
	mine := slices.Clone(order[at : at+size])
	slices.Sort(mine)
	return mine
}

// choose returns the endpoints that an event happens to.
func (p *Plan) chooseEndpoints(e *Event, r *rand.Rand) []int {
	var from []int
	for i, n := range p.Endpoints {
		if (e.Zone == "" || p.Fleet.Zones[n.Zone] == e.Zone) && (e.Kind == "" || p.Scenario.EndpointKinds[n.Kind].Kind == e.Kind) {
			from = append(from, i)
		}
	}
	n := len(from)
	switch {
	case e.Count > 0:
		n = min(n, e.Count)
	case len(e.Part) > 0:
		n = int(math.Round(randstream.Range(r, e.Part.ends(1)) * float64(n)))
	}
	return sample(r, from, n)
}

// some returns so many of them, drawn without order, in their order.
func sample(r *rand.Rand, from []int, n int) (drawn []int) {
	for _, at := range r.Perm(len(from))[:n] {
		drawn = append(drawn, from[at])
	}
	slices.Sort(drawn)
	return drawn
}

// chooseInstances returns the instances that an event happens to. Of what happens on ways its zone is the endpoints'.
func (p *Plan) chooseInstances(e *Event, r *rand.Rand) []int {
	var from []int
	for i, in := range p.Instances {
		if e.Zone == "" || eventKinds[e.What].nodes || p.Fleet.Zones[in.Zone] == e.Zone {
			from = append(from, i)
		}
	}
	if len(e.Named) > 0 {
		return slices.DeleteFunc(sorted(e.Named), func(n int) bool { return n >= len(p.Instances) })
	}
	n := len(from)
	if len(e.Instances) > 0 {
		n = int(math.Round(randstream.Range(r, e.Instances.ends(1)) * float64(n)))
	}
	return sample(r, from, n)
}

func (p *Plan) drawEvents() {
	stream := randstream.New(p.Seed, "events")
	for i := range p.Events {
		e := &p.Events[i]
		r := stream.For(uint64(i))
		h := PlannedEvent{What: e.What, At: monotime.Micros(randstream.Range(r, ends(e.At))), Until: math.MaxInt64, Class: -1, Tenant: -1, Zone: -1, To: -1, OneClient: e.One,
			Every: e.Every.Micros(), Delay: monotime.Micros(randstream.Range(r, ends(e.Delay)))}
		if e.For != nil {
			h.Until = h.At + monotime.Micros(randstream.Range(r, ends(e.For)))
		}
		for j, c := range p.Classes {
			if c.Name == e.Class {
				h.Class = j
			}
		}
		for j, t := range p.Tenants {
			if t.Name == e.Tenant {
				h.Tenant = j
			}
		}
		if e.Zone != "" {
			h.Zone = slices.Index(p.Fleet.Zones, e.Zone)
		}
		if e.To != "" {
			h.To = slices.Index(p.Fleet.Zones, e.To)
		}
		if eventKinds[e.What].nodes {
			h.Endpoints = p.chooseEndpoints(e, r)
			for range h.Endpoints {
				h.Sizes = append(h.Sizes, randstream.Range(r, e.Size.ends(0)))
			}
		} else {
			h.Sizes = []float64{randstream.Range(r, e.Size.ends(0))}
		}
		h.Way, h.Others = e.Way, sorted(e.Others)
		h.Instances = p.chooseInstances(e, stream.For(uint64(i), 1))
		p.PlannedEvents = append(p.PlannedEvents, h)
	}
	slices.SortStableFunc(p.PlannedEvents, func(a, b PlannedEvent) int { return cmp.Compare(a.At, b.At) })
}

// Condition adds what goes wrong at the k-th of its endpoints at an instant. classOf tells the number that each of the
// scenario's classes has at endpoints.
func (h *PlannedEvent) AddCondition(c *simendpoint.Condition, now monotime.Micros, k int, classOf []int) {
	size := h.Sizes[k]
	switch h.What {
	case "slow", "lies":
		c.Slowdown = max(1, c.Slowdown) * size
		c.FalseReports = c.FalseReports || h.What == "lies"
	case "errors":
		c.ErrorRate = min(1, c.ErrorRate+size)
		if h.Class >= 0 {
			c.OneClass, c.Class = true, classOf[h.Class]
		}
	case "mute":
		c.UnansweredRate = min(1, c.UnansweredRate+size)
	case "full":
		c.RejectRate = min(1, c.RejectRate+size)
	case "babble":
		c.InvalidReports = true
	case "neighbour":
		if h.Every <= 0 || (now-h.At)/h.Every%2 == 0 {
			c.StolenShare = max(c.StolenShare, size)
		}
	case "late-reports":
		c.ReportDelay = max(c.ReportDelay, h.Delay)
	}
}

// Habits returns how the clients behave.
func (p *Plan) ClientBehavior() simclient.Behavior {
	c := &p.Clients
	backoff := ends(c.Backoff)
	return simclient.Behavior{Retries: c.Retries, TimeoutShare: c.TimeoutShare.ends(1), Backoff: [2]monotime.Micros{monotime.Micros(backoff[0]), monotime.Micros(backoff[1])},
		HonorRetryAfter: c.HonorRetryAfter, EarlyAbort: c.EarlyAbort, MarkRetries: c.MarkRetries, FreshKeys: c.FreshKeys}
}

// Times is the shape of the traffic at an instant.
func (p *Plan) RateFactor(at monotime.Micros) float64 {
	if len(p.Shape) == 0 {
		return 1
	}
	i, _ := slices.BinarySearchFunc(p.Shape, at, func(s RatePoint, at monotime.Micros) int { return cmp.Compare(s.At.Micros(), at) })
	switch {
	case i == 0:
		return p.Shape[0].Factor
	case i == len(p.Shape):
		return p.Shape[i-1].Factor
	}
	a, b := &p.Shape[i-1], &p.Shape[i]
	part := float64(at-a.At.Micros()) / float64(b.At.Micros()-a.At.Micros())
	return a.Factor + (b.Factor-a.Factor)*part
}

// surge is how many times the traffic of an instance, a class, a tenant and a client process is at an instant, beside the
// shape.
func (p *Plan) surge(at monotime.Micros, instance, class, tenant, process int) float64 {
	v := 1.0
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if h.What == "surge" && at >= h.At && at < h.Until && contains(h.Instances, instance) && (h.Class < 0 || h.Class == class) &&
			(h.Tenant < 0 || h.Tenant == tenant) && (!h.OneClient || process == 0) {
			v *= h.Sizes[0]
		}
	}
	return v
}

// kinds are whose and what a story may be: a weight for each class, tenant and client process.
type operationMix struct {
	plan      *Plan
	instance  int
	tenants   int
	processes int
	weights   []float64
	base      []float64 // without surges
	surges    bool
	sum       float64
}

func (p *Plan) operationMix(instance int) *operationMix {
	k := &operationMix{plan: p, instance: instance, tenants: max(1, len(p.Tenants)), processes: p.Clients.Processes}
	var classes, shares float64
	for _, c := range p.Classes {
		classes += c.Share
	}
	for _, t := range p.Tenants {
		shares += t.Share
	}
	for i := range len(p.Classes) * k.tenants * k.processes {
		class, tenant, _ := k.split(i)
		w := p.Classes[class].Share / classes / float64(k.processes)
		if shares > 0 {
			w *= p.Tenants[tenant].Share / shares
		}
		k.base = append(k.base, w)
		k.sum += w
	}
	k.weights = slices.Clone(k.base)
	k.surges = slices.ContainsFunc(p.PlannedEvents, func(h PlannedEvent) bool { return h.What == "surge" })
	return k
}

// of returns class, tenant and process of a place.
func (k *operationMix) split(i int) (class, tenant, process int) {
	return i / (k.tenants * k.processes), i / k.processes % k.tenants, i % k.processes
}

// at sets the weights of an instant.
func (k *operationMix) setTime(at monotime.Micros) {
	if !k.surges {
		return
	}
	k.sum = 0
	for i, w := range k.base {
		class, tenant, process := k.split(i)
		k.weights[i] = w * k.plan.surge(at, k.instance, class, tenant, process)
		k.sum += k.weights[i]
	}
}

// pick returns one, drawn by its weight.
func (k *operationMix) pick(r *rand.Rand) (class, tenant, process int) {
	x := r.Float64() * k.sum
	for i, w := range k.weights {
		if x -= w; x < 0 {
			return k.split(i)
		}
	}
	return k.split(len(k.weights) - 1)
}

// Stories returns the stories that begin at an instance, one at each call, in their order, until there are none.
func (p *Plan) Operations(instance int) func() (simclient.Operation, bool) {
	if p.Source != nil {
		return p.Source.Operations(instance)
	}
	in := &p.Instances[instance]
	arrivals := randstream.New(p.Seed, "arrivals").Source(uint64(instance))
	stories := randstream.New(p.Seed, "stories")
	kinds := p.operationMix(instance)
	// Thinning (Lewis, Shedler: "Simulation of nonhomogeneous Poisson processes by thinning", 1979): the rate is drawn at
	// its height, and a part of the arrivals taken.
	most := 0.0
	for _, s := range p.Shape {
		most = max(most, s.Factor)
	}
	if len(p.Shape) == 0 {
		most = 1
	}
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == "surge" {
			most *= max(1, h.Sizes[0])
		}
	}
	rate := p.Rate * in.Share * most / float64(second)
	at, n := 0.0, uint64(0)
	end := float64(p.Length.Micros())
	return func() (simclient.Operation, bool) {
		if rate <= 0 {
			return simclient.Operation{}, false
		}
		for {
			at += arrivals.ExpFloat64() / rate
			if at >= end {
				return simclient.Operation{}, false
			}
			kinds.setTime(monotime.Micros(at))
			if arrivals.Float64()*most >= p.RateFactor(monotime.Micros(at))*kinds.sum {
				continue
			}
			id := uint64(instance)<<32 | n
			n++
			r := stories.For(id)
			s := simclient.Operation{ID: id, Instance: instance, StartedAt: monotime.Micros(at), Tenant: -1, Object: r.Uint64N(uint64(p.Clients.Objects))}
			var tenant int
			s.Class, tenant, s.Process = kinds.pick(r)
			if len(p.Tenants) > 0 {
				s.Tenant = tenant
			}
			s.IdempotencyKey = r.Uint64() | 1
			s.Work = p.Classes[s.Class].Draw(r)
			return s, true
		}
	}
}

// Draw draws the work of a request.
func (c *Class) Draw(r *rand.Rand) monotime.Micros {
	mean := float64(c.Work.Micros())
	switch c.Dist {
	case "fixed":
	case "exponential":
		mean *= r.ExpFloat64()
	default:
		mean = randstream.LogNormal(r, mean, c.CV)
	}
	return max(1, monotime.Micros(mean))
}

// Trouble is when the first of what happens begins and the last ends that does end; both 0 where nothing happens.
func (p *Plan) EventPeriod() (from, until monotime.Micros) {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if i == 0 {
			from = h.At
		}
		end := h.Until
		if end == math.MaxInt64 {
			end = h.At
		}
		until = max(until, end)
	}
	return from, until
}

// has says whether a sorted list has a number.
func contains(list []int, n int) bool {
	_, yes := slices.BinarySearch(list, n)
	return yes
}
