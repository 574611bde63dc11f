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

// sortedCopy returns a sorted copy of a list; the copy of nil is nil.
func sortedCopy(numbers []int) []int {
	numbers = slices.Clone(numbers)
	slices.Sort(numbers)
	return numbers
}

// Draw returns the plan that follows from the scenario and a seed.
func (s *Scenario) Draw(seed uint64) *Plan {
	plan := &Plan{Scenario: s, Seed: seed}
	plan.drawEndpoints()
	plan.drawInstances()
	plan.drawPlannedEvents()
	plan.Rate = s.Clients.Rate
	if s.Clients.Load > 0 {
		plan.Rate = s.Clients.Load * plan.Capacity * float64(second) / s.MeanWork()
	}
	return plan
}

// drawEndpoints draws the endpoints, and adds up their capacity.
func (p *Plan) drawEndpoints() {
	stream := randstream.New(p.Seed, "nodes")
	cancellations := map[string]simendpoint.Cancellation{
		"none":   simendpoint.CancelNone,
		"queued": simendpoint.CancelQueued,
		"all":    simendpoint.CancelAll,
	}
	for kindIndex, kind := range p.Scenario.EndpointKinds {
		var zones []int
		for i, zone := range p.Fleet.Zones {
			if len(kind.Zones) == 0 || slices.Contains(kind.Zones, zone) {
				zones = append(zones, i)
			}
		}
		for i := range kind.Count {
			rng := stream.For(uint64(kindIndex), uint64(i))
			config := simendpoint.Config{
				Cores:               kind.Cores,
				Speed:               randstream.Uniform(rng, kind.Speed.bounds(1)),
				QueueCapacity:       kind.Queue,
				WarmupStartShare:    kind.WarmupFrom,
				WarmupDuration:      kind.WarmupDuration.Micros(),
				CollapseLoad:        kind.CollapseLoad,
				CollapseWindow:      kind.CollapseWindow.Micros(),
				Cancellation:        cancellations[kind.Cancel],
				ErrorRate:           kind.Errors,
				ContentionThreshold: kind.ContentionThreshold,
				ContentionLoss:      kind.ContentionLoss,
				ProbeWork:           kind.ProbeWork.Micros(),
				HandshakeWork:       kind.Handshake.Micros(),
				MaxConnections:      kind.MaxConnections,
				ReportInterval:      kind.ReportInterval.Micros(),
				ReportNoise:         kind.ReportNoise,
			}
			p.Endpoints = append(p.Endpoints, Endpoint{
				Name:          fmt.Sprintf("%s-%d", kind.Kind, i),
				Kind:          kindIndex,
				Zone:          zones[i%len(zones)],
				Cell:          kindIndex<<16 | i/kind.CellSize,
				StartsWithRun: kind.StartsWithRun,
				Config:        config,
				Idle:          kind.Idle.Micros(),
				PauseEvery:    kind.PauseEvery.Micros(),
				PauseFor:      kind.PauseFor.Micros(),
			})
			p.Capacity += config.Speed * float64(config.Cores)
		}
	}
	// Cells are numbered from 0, over all kinds of endpoints.
	cellNumbers := map[int]int{}
	for i := range p.Endpoints {
		config := p.Endpoints[i].Cell
		if _, ok := cellNumbers[config]; !ok {
			cellNumbers[config] = len(cellNumbers)
		}
		p.Endpoints[i].Cell = cellNumbers[config]
	}
}

// drawInstances draws the instances. Their shares of the traffic add up to 1.
func (p *Plan) drawInstances() {
	stream := randstream.New(p.Seed, "instances")
	var shareSum float64
	zones := len(p.Fleet.Zones)
	for i := range p.Fleet.Instances {
		rng := stream.For(uint64(i))
		instance := Instance{
			Zone:  i % zones,
			Share: randstream.LogNormal(rng, 1, p.Fleet.TrafficShareCV),
			Skew:  monotime.Micros((2*rng.Float64() - 1) * float64(p.Clocks.Skew.Micros())),
			Drift: (2*rng.Float64() - 1) * p.Clocks.Drift,
		}
		if instance.Zone == 0 {
			instance.Share *= 1 + p.Fleet.ZoneSkew*float64(zones-1)
		} else {
			instance.Share *= 1 - p.Fleet.ZoneSkew
		}
		if p.Fleet.SubsetSize > 0 && p.Fleet.SubsetSize < len(p.Endpoints) {
			instance.Endpoints = p.subset(i)
		}
		shareSum += instance.Share
		p.Instances = append(p.Instances, instance)
	}
	for i := range p.Instances {
		if shareSum > 0 {
			p.Instances[i].Share /= shareSum
		} else {
			p.Instances[i].Share = 1 / float64(len(p.Instances))
		}
	}
}

// subset returns the endpoints on the endpoint list of an instance. Each endpoint is on equally many lists
// (deterministic subsetting: Beyer et al., "Site Reliability Engineering", chapter 20).
func (p *Plan) subset(instance int) []int {
	listSize := p.Fleet.SubsetSize
	listsPerRound := len(p.Endpoints) / listSize
	shuffled := randstream.New(p.Seed, "subset").For(uint64(instance / listsPerRound)).Perm(len(p.Endpoints))
	start := (instance % listsPerRound) * listSize
	subset := slices.Clone(shuffled[start : start+listSize])
	slices.Sort(subset)
	return subset
}

// chooseEndpoints draws the endpoints that an event applies to.
func (p *Plan) chooseEndpoints(event *Event, rng *rand.Rand) []int {
	var eligible []int
	for i, count := range p.Endpoints {
		if (event.Zone == "" || p.Fleet.Zones[count.Zone] == event.Zone) &&
			(event.Kind == "" || p.Scenario.EndpointKinds[count.Kind].Kind == event.Kind) {
			eligible = append(eligible, i)
		}
	}
	count := len(eligible)
	switch {
	case event.Count > 0:
		count = min(count, event.Count)
	case len(event.Part) > 0:
		count = int(math.Round(randstream.Uniform(rng, event.Part.bounds(1)) * float64(count)))
	}
	return drawSample(rng, eligible, count)
}

// drawSample draws n numbers from a list without replacement, and returns them sorted.
func drawSample(rng *rand.Rand, numbers []int, n int) (drawn []int) {
	for _, index := range rng.Perm(len(numbers))[:n] {
		drawn = append(drawn, numbers[index])
	}
	slices.Sort(drawn)
	return drawn
}

// chooseInstances draws the instances that an event applies to. If an event on network paths has a zone, the
// zone selects endpoints, not instances.
func (p *Plan) chooseInstances(event *Event, rng *rand.Rand) []int {
	var eligible []int
	for i, instance := range p.Instances {
		if event.Zone == "" || eventKinds[event.What].appliesToEndpoints || p.Fleet.Zones[instance.Zone] == event.Zone {
			eligible = append(eligible, i)
		}
	}
	if len(event.InstanceIndexes) > 0 {
		return slices.DeleteFunc(sortedCopy(event.InstanceIndexes),
			func(count int) bool { return count >= len(p.Instances) })
	}
	count := len(eligible)
	if len(event.Instances) > 0 {
		count = int(math.Round(randstream.Uniform(rng, event.Instances.bounds(1)) * float64(count)))
	}
	return drawSample(rng, eligible, count)
}

// resolveNames sets the indices of the class, tenant and zones that an event names. -1 stands for all.
func (p *Plan) resolveNames(event *Event, planned *PlannedEvent) {
	planned.Class = slices.IndexFunc(p.Classes, func(class Class) bool { return class.Name == event.Class })
	planned.Tenant = slices.IndexFunc(p.Tenants, func(tenant Tenant) bool { return tenant.Name == event.Tenant })
	planned.Zone = slices.Index(p.Fleet.Zones, event.Zone)
	planned.OtherZone = slices.Index(p.Fleet.Zones, event.OtherZone)
}

// drawPlannedEvents draws the times, sizes, endpoints and instances of the events, and sorts the events by start.
func (p *Plan) drawPlannedEvents() {
	stream := randstream.New(p.Seed, "events")
	for i := range p.Events {
		event := &p.Events[i]
		rng := stream.For(uint64(i))
		planned := PlannedEvent{
			What:      event.What,
			At:        monotime.Micros(randstream.Uniform(rng, spanBounds(event.At))),
			Until:     math.MaxInt64,
			OneClient: event.OneClient,
			Every:     event.Every.Micros(),
			Delay:     monotime.Micros(randstream.Uniform(rng, spanBounds(event.Delay))),
		}
		if event.For != nil {
			planned.Until = planned.At + monotime.Micros(randstream.Uniform(rng, spanBounds(event.For)))
		}
		p.resolveNames(event, &planned)
		if eventKinds[event.What].appliesToEndpoints {
			planned.Endpoints = p.chooseEndpoints(event, rng)
			for range planned.Endpoints {
				planned.Sizes = append(planned.Sizes, randstream.Uniform(rng, event.Size.bounds(0)))
			}
		} else {
			planned.Sizes = []float64{randstream.Uniform(rng, event.Size.bounds(0))}
		}
		planned.Direction = event.Direction
		planned.OtherInstances = sortedCopy(event.OtherInstances)
		planned.Instances = p.chooseInstances(event, stream.For(uint64(i), 1))
		p.PlannedEvents = append(p.PlannedEvents, planned)
	}
	slices.SortStableFunc(p.PlannedEvents, func(a, b PlannedEvent) int { return cmp.Compare(a.At, b.At) })
}
