package scenario

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simclient"
)

// Source gives an instance's operations in the order of their starts, in place of those that a plan draws.
type Source interface {
	// Operations returns a function that returns the next operation of an instance, and false after the last one.
	Operations(instance int) func() (simclient.Operation, bool)
}

// RateFactor is the traffic at an instant, as a multiple of Plan.Rate.
func (p *Plan) RateFactor(at monotime.Micros) float64 {
	if len(p.Shape) == 0 {
		return 1
	}
	i, _ := slices.BinarySearchFunc(p.Shape, at, func(s RatePoint, at monotime.Micros) int {
		return cmp.Compare(s.At.Micros(), at)
	})
	switch {
	case i == 0:
		return p.Shape[0].Factor
	case i == len(p.Shape):
		return p.Shape[i-1].Factor
	}
	a := &p.Shape[i-1]
	b := &p.Shape[i]
	part := float64(at-a.At.Micros()) / float64(b.At.Micros()-a.At.Micros())
	return a.Factor + (b.Factor-a.Factor)*part
}

// surge is the factor by which surges multiply the traffic of a class, tenant and client process of an instance.
func (p *Plan) surge(at monotime.Micros, instance, class, tenant, process int) float64 {
	v := 1.0
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if h.What == EventSurge && at >= h.At && at < h.Until && contains(h.Instances, instance) &&
			(h.Class < 0 || h.Class == class) &&
			(h.Tenant < 0 || h.Tenant == tenant) && (!h.OneClient || process == 0) {
			v *= h.Sizes[0]
		}
	}
	return v
}

// operationMix has the weight of each combination of class, tenant and client process among an instance's operations.
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
	k.surges = p.HasEvent(EventSurge)
	return k
}

// split returns the class, tenant and process of an index in weights.
func (k *operationMix) split(i int) (class, tenant, process int) {
	return i / (k.tenants * k.processes), i / k.processes % k.tenants, i % k.processes
}

// setTime sets the weights to those of an instant.
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

// pick draws a combination by its weight.
func (k *operationMix) pick(r *rand.Rand) (class, tenant, process int) {
	x := r.Float64() * k.sum
	for i, w := range k.weights {
		if x -= w; x < 0 {
			return k.split(i)
		}
	}
	return k.split(len(k.weights) - 1)
}

// Operations returns a function that returns an instance's operations in the order of their starts, one at each call,
// and false after the last one.
func (p *Plan) Operations(instance int) func() (simclient.Operation, bool) {
	if p.Source != nil {
		return p.Source.Operations(instance)
	}
	in := &p.Instances[instance]
	arrivals := randstream.New(p.Seed, "arrivals").Source(uint64(instance))
	operations := randstream.New(p.Seed, "stories")
	kinds := p.operationMix(instance)
	// Thinning (Lewis, Shedler: "Simulation of nonhomogeneous Poisson processes by thinning", 1979): arrivals are drawn
	// at the highest rate, and a part of them is kept.
	maxFactor := 0.0
	for _, s := range p.Shape {
		maxFactor = max(maxFactor, s.Factor)
	}
	if len(p.Shape) == 0 {
		maxFactor = 1
	}
	for i := range p.PlannedEvents {
		if h := &p.PlannedEvents[i]; h.What == EventSurge {
			maxFactor *= max(1, h.Sizes[0])
		}
	}
	rate := p.Rate * in.Share * maxFactor / float64(second)
	at := 0.0
	n := uint64(0)
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
			if arrivals.Float64()*maxFactor >= p.RateFactor(monotime.Micros(at))*kinds.sum {
				continue
			}
			id := uint64(instance)<<32 | n
			n++
			r := operations.For(id)
			s := simclient.Operation{
				ID:        id,
				Instance:  instance,
				StartedAt: monotime.Micros(at),
				Tenant:    -1,
				Object:    r.Uint64N(uint64(p.Clients.Objects)),
			}
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

// Draw draws the work of a request in microseconds, by the class's distribution.
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
