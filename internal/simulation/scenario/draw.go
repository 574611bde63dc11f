package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simendpoint"
)

// sorted returns a sorted copy; nil stays nil.
func sorted(list []int) []int {
	list = slices.Clone(list)
	slices.Sort(list)
	return list
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

// drawEndpoints draws the endpoints, and adds up their capacity.
func (p *Plan) drawEndpoints() {
	stream := randstream.New(p.Seed, "nodes")
	cancels := map[string]simendpoint.Cancellation{
		"none":   simendpoint.CancelNone,
		"queued": simendpoint.CancelQueued,
		"all":    simendpoint.CancelAll,
	}
	for kind, n := range p.Scenario.EndpointKinds {
		var zones []int
		for i, z := range p.Fleet.Zones {
			if len(n.Zones) == 0 || slices.Contains(n.Zones, z) {
				zones = append(zones, i)
			}
		}
		for i := range n.Count {
			r := stream.For(uint64(kind), uint64(i))
			c := simendpoint.Config{
				Cores:               n.Cores,
				Speed:               randstream.Range(r, n.Speed.ends(1)),
				QueueCapacity:       n.Queue,
				WarmupFrom:          n.WarmupFrom,
				WarmupDuration:      n.WarmupDuration.Micros(),
				CollapseLoad:        n.CollapseLoad,
				CollapseWindow:      n.CollapseWindow.Micros(),
				Cancellation:        cancels[n.Cancel],
				ErrorRate:           n.Errors,
				ContentionThreshold: n.ContentionThreshold,
				ContentionLoss:      n.ContentionLoss,
				ProbeWork:           n.ProbeWork.Micros(),
				HandshakeWork:       n.Handshake.Micros(),
				MaxConnections:      n.Conns,
				ReportInterval:      n.Report.Micros(),
				ReportNoise:         n.Noise,
			}
			p.Endpoints = append(p.Endpoints, Endpoint{
				Name:          fmt.Sprintf("%s-%d", n.Kind, i),
				Kind:          kind,
				Zone:          zones[i%len(zones)],
				Cell:          kind<<16 | i/n.Cell,
				StartsWithRun: n.StartsWithRun,
				Config:        c,
				Idle:          n.Idle.Micros(),
				PauseEvery:    n.PauseEvery.Micros(),
				PauseFor:      n.PauseFor.Micros(),
			})
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

// drawInstances draws the instances; their shares of the traffic add up to 1.
func (p *Plan) drawInstances() {
	stream := randstream.New(p.Seed, "instances")
	var sum float64
	zones := len(p.Fleet.Zones)
	for i := range p.Fleet.Instances {
		r := stream.For(uint64(i))
		in := Instance{
			Zone:  i % zones,
			Share: randstream.LogNormal(r, 1, p.Fleet.Uneven),
			Skew:  monotime.Micros((2*r.Float64() - 1) * float64(p.Clocks.Skew.Micros())),
			Drift: (2*r.Float64() - 1) * p.Clocks.Drift,
		}
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

// subset returns the endpoints on an instance's list, such that each endpoint is on equally many lists (deterministic
// subsetting: Beyer et al., "Site Reliability Engineering", chapter 20).
func (p *Plan) subset(instance int) []int {
	size := p.Fleet.Subset
	groups := len(p.Endpoints) / size
	order := randstream.New(p.Seed, "subset").For(uint64(instance / groups)).Perm(len(p.Endpoints))
	at := (instance % groups) * size
	subset := slices.Clone(order[at : at+size])
	slices.Sort(subset)
	return subset
}

// chooseEndpoints draws the endpoints that an event applies to.
func (p *Plan) chooseEndpoints(e *Event, r *rand.Rand) []int {
	var from []int
	for i, n := range p.Endpoints {
		if (e.Zone == "" || p.Fleet.Zones[n.Zone] == e.Zone) &&
			(e.Kind == "" || p.Scenario.EndpointKinds[n.Kind].Kind == e.Kind) {
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

// sample draws n different numbers of a list, and returns them sorted.
func sample(r *rand.Rand, from []int, n int) (drawn []int) {
	for _, at := range r.Perm(len(from))[:n] {
		drawn = append(drawn, from[at])
	}
	slices.Sort(drawn)
	return drawn
}

// chooseInstances draws the instances that an event applies to. The zone of an event on network paths selects
// endpoints, not instances.
func (p *Plan) chooseInstances(e *Event, r *rand.Rand) []int {
	var from []int
	for i, in := range p.Instances {
		if e.Zone == "" || eventKinds[e.What].endpoints || p.Fleet.Zones[in.Zone] == e.Zone {
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

// resolveNames sets the indices of the class, tenant and zones that an event names; -1 is all.
func (p *Plan) resolveNames(e *Event, h *PlannedEvent) {
	h.Class = slices.IndexFunc(p.Classes, func(c Class) bool { return c.Name == e.Class })
	h.Tenant = slices.IndexFunc(p.Tenants, func(t Tenant) bool { return t.Name == e.Tenant })
	h.Zone = slices.Index(p.Fleet.Zones, e.Zone)
	h.To = slices.Index(p.Fleet.Zones, e.To)
}

// drawEvents draws the events, and sorts them by their start.
func (p *Plan) drawEvents() {
	stream := randstream.New(p.Seed, "events")
	for i := range p.Events {
		e := &p.Events[i]
		r := stream.For(uint64(i))
		h := PlannedEvent{
			What:      e.What,
			At:        monotime.Micros(randstream.Range(r, ends(e.At))),
			Until:     math.MaxInt64,
			OneClient: e.One,
			Every:     e.Every.Micros(),
			Delay:     monotime.Micros(randstream.Range(r, ends(e.Delay))),
		}
		if e.For != nil {
			h.Until = h.At + monotime.Micros(randstream.Range(r, ends(e.For)))
		}
		p.resolveNames(e, &h)
		if eventKinds[e.What].endpoints {
			h.Endpoints = p.chooseEndpoints(e, r)
			for range h.Endpoints {
				h.Sizes = append(h.Sizes, randstream.Range(r, e.Size.ends(0)))
			}
		} else {
			h.Sizes = []float64{randstream.Range(r, e.Size.ends(0))}
		}
		h.Way = e.Way
		h.Others = sorted(e.Others)
		h.Instances = p.chooseInstances(e, stream.For(uint64(i), 1))
		p.PlannedEvents = append(p.PlannedEvents, h)
	}
	slices.SortStableFunc(p.PlannedEvents, func(a, b PlannedEvent) int { return cmp.Compare(a.At, b.At) })
}
