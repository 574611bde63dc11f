package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simclient"
)

// Source provides the operations of instances in the order of their starts. It replaces the operations that a
// plan draws.
type Source interface {
	// Operations returns a function that returns the next operation of an instance at each call, and false
	// after the last operation.
	Operations(instance int) func() (simclient.Operation, bool)
}

// RateFactor returns the rate of operations at an instant, as a multiple of Plan.Rate. It does not include
// surges.
func (p *Plan) RateFactor(at monotime.Micros) float64 {
	if len(p.Shape) == 0 {
		return 1
	}
	i, _ := slices.BinarySearchFunc(p.Shape, at, func(point RatePoint, at monotime.Micros) int {
		return cmp.Compare(point.At.Micros(), at)
	})
	switch {
	case i == 0:
		return p.Shape[0].Factor
	case i == len(p.Shape):
		return p.Shape[i-1].Factor
	}
	before := &p.Shape[i-1]
	after := &p.Shape[i]
	elapsed := float64(at-before.At.Micros()) / float64(after.At.Micros()-before.At.Micros())
	return before.Factor + (after.Factor-before.Factor)*elapsed
}

// surgeFactor returns the factor by which surges multiply the traffic of a class, tenant and client process of
// an instance.
func (p *Plan) surgeFactor(at monotime.Micros, instance, class, tenant, process int) float64 {
	factor := 1.0
	for i := range p.PlannedEvents {
		event := &p.PlannedEvents[i]
		if event.What == EventSurge && at >= event.At && at < event.Until && contains(event.Instances, instance) &&
			(event.Class < 0 || event.Class == class) &&
			(event.Tenant < 0 || event.Tenant == tenant) && (!event.OneClient || process == 0) {
			factor *= event.Sizes[0]
		}
	}
	return factor
}

// operationMix is the weight of each combination of class, tenant and client process among the operations of an
// instance.
type operationMix struct {
	plan         *Plan
	instance     int
	tenantCount  int
	processCount int
	weights      []float64
	baseWeights  []float64 // weights without surges
	hasSurges    bool
	weightSum    float64
}

// newOperationMix returns the mix of an instance without surges.
func (p *Plan) newOperationMix(instance int) *operationMix {
	mix := &operationMix{
		plan:         p,
		instance:     instance,
		tenantCount:  max(1, len(p.Tenants)),
		processCount: p.Clients.Processes,
	}
	var classShares, tenantShares float64
	for _, class := range p.Classes {
		classShares += class.Share
	}
	for _, tenant := range p.Tenants {
		tenantShares += tenant.Share
	}
	for i := range len(p.Classes) * mix.tenantCount * mix.processCount {
		class, tenant, _ := mix.combination(i)
		weight := p.Classes[class].Share / classShares / float64(mix.processCount)
		if tenantShares > 0 {
			weight *= p.Tenants[tenant].Share / tenantShares
		}
		mix.baseWeights = append(mix.baseWeights, weight)
		mix.weightSum += weight
	}
	mix.weights = slices.Clone(mix.baseWeights)
	mix.hasSurges = p.HasEvent(EventSurge)
	return mix
}

// combination returns the class, tenant and process for an index of weights.
func (mix *operationMix) combination(i int) (class, tenant, process int) {
	return i / (mix.tenantCount * mix.processCount), i / mix.processCount % mix.tenantCount, i % mix.processCount
}

// setTime sets the weights to their values at an instant, including surges.
func (mix *operationMix) setTime(at monotime.Micros) {
	if !mix.hasSurges {
		return
	}
	mix.weightSum = 0
	for i, weight := range mix.baseWeights {
		class, tenant, process := mix.combination(i)
		mix.weights[i] = weight * mix.plan.surgeFactor(at, mix.instance, class, tenant, process)
		mix.weightSum += mix.weights[i]
	}
}

// pick draws a combination of class, tenant and process with a probability proportional to its weight.
func (mix *operationMix) pick(rng *rand.Rand) (class, tenant, process int) {
	remaining := rng.Float64() * mix.weightSum
	for i, weight := range mix.weights {
		if remaining -= weight; remaining < 0 {
			return mix.combination(i)
		}
	}
	return mix.combination(len(mix.weights) - 1)
}

// Operations returns a function that returns the next operation of an instance at each call, in the order of
// their starts, and false after the last operation.
func (p *Plan) Operations(instance int) func() (simclient.Operation, bool) {
	if p.Source != nil {
		return p.Source.Operations(instance)
	}
	planned := &p.Instances[instance]
	arrivals := randstream.New(p.Seed, "arrivals").Source(uint64(instance))
	operationStream := randstream.New(p.Seed, "stories")
	mix := p.newOperationMix(instance)
	// Thinning (Lewis, Shedler: "Simulation of nonhomogeneous Poisson processes by thinning", 1979): arrivals
	// are drawn at the highest rate of the run, and each is kept with the probability of the current rate
	// relative to that.
	maxFactor := 0.0
	for _, point := range p.Shape {
		maxFactor = max(maxFactor, point.Factor)
	}
	if len(p.Shape) == 0 {
		maxFactor = 1
	}
	for i := range p.PlannedEvents {
		if event := &p.PlannedEvents[i]; event.What == EventSurge {
			maxFactor *= max(1, event.Sizes[0])
		}
	}
	maxRate := p.Rate * planned.Share * maxFactor / float64(second)
	at := 0.0
	sequence := uint64(0)
	end := float64(p.Length.Micros())
	return func() (simclient.Operation, bool) {
		if maxRate <= 0 {
			return simclient.Operation{}, false
		}
		for {
			at += arrivals.ExpFloat64() / maxRate
			if at >= end {
				return simclient.Operation{}, false
			}
			mix.setTime(monotime.Micros(at))
			if arrivals.Float64()*maxFactor >= p.RateFactor(monotime.Micros(at))*mix.weightSum {
				continue
			}
			id := uint64(instance)<<32 | sequence
			sequence++
			rng := operationStream.For(id)
			operation := simclient.Operation{
				ID:        id,
				Instance:  instance,
				StartedAt: monotime.Micros(at),
				Tenant:    -1,
				Object:    rng.Uint64N(uint64(p.Clients.Objects)),
			}
			var tenant int
			operation.Class, tenant, operation.Process = mix.pick(rng)
			if len(p.Tenants) > 0 {
				operation.Tenant = tenant
			}
			operation.IdempotencyKey = rng.Uint64() | 1
			operation.Work = p.Classes[operation.Class].Draw(rng)
			return operation, true
		}
	}
}

// Draw draws the work of an operation, in microseconds, from the distribution of its class.
func (class *Class) Draw(rng *rand.Rand) monotime.Micros {
	work := float64(class.Work.Micros())
	switch class.WorkDistribution {
	case "fixed":
	case "exponential":
		work *= rng.ExpFloat64()
	default:
		work = randstream.LogNormal(rng, work, class.WorkCV)
	}
	return max(1, monotime.Micros(work))
}
