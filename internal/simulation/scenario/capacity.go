package scenario

import (
	"math"

	"dunlinsail/internal/monotime"
)

// servableStep is the time resolution of MaxServableShare.
const servableStep = second / 4

// MaxServableShare estimates the part of the plan's operations that what is left of the endpoints could serve at best:
// in each moment as much as is asked for, or as the endpoints that are up and known to be can do, each at the speed
// that it has then. Nobody knows in advance what this takes as known, and operations do not come evenly: it is a bound,
// not an aim.
func (p *Plan) MaxServableShare() float64 {
	var asked, could float64
	backlog := 0.0
	work := p.MeanWork()
	times := p.surges()
	for at := monotime.Micros(0); at < p.Length.Micros(); at += servableStep {
		demand := p.Rate * p.RateFactor(at) * times(at) * float64(servableStep) / float64(second)
		capacity := p.CapacityAt(at) * float64(servableStep) / work
		asked += demand
		served := min(demand+backlog, capacity)
		could += served
		backlog = min(demand, demand+backlog-served) // what waits for longer than a moment is late
	}
	if asked <= 0 {
		return 1
	}
	return min(1, could/asked)
}

// surges returns how many times the traffic of all instances is at an instant, beside the shape.
func (p *Plan) surges() func(at monotime.Micros) float64 {
	var all []*operationMix
	for i := range p.Instances {
		if k := p.operationMix(i); k.surges || i == 0 {
			all = append(all, k)
		}
	}
	return func(at monotime.Micros) (times float64) {
		if len(all) == 1 {
			all[0].setTime(at)
			return all[0].sum
		}
		for i, k := range all {
			k.setTime(at)
			times += k.sum * p.Instances[i].Share
		}
		return times
	}
}

// CapacityAt is the useful work that all endpoints can do in a microsecond at an instant.
func (p *Plan) CapacityAt(at monotime.Micros) float64 {
	speed := make([]float64, len(p.Endpoints))
	for i := range p.Endpoints {
		n := &p.Endpoints[i]
		speed[i] = n.Config.Speed * float64(n.Config.Cores)
		if n.StartsWithRun {
			speed[i] *= n.warmupShare(at)
		}
	}
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		if at < h.At || h.What == "rolling" && at >= h.Until {
			continue
		}
		over := at >= h.Until
		switch h.What {
		case "kill", "vanish", "drain", "power":
			nodes := h.Endpoints
			if h.What == "power" {
				nodes = nil
				for j := range p.Endpoints {
					nodes = append(nodes, j)
				}
			}
			for _, j := range nodes {
				if !over {
					speed[j] = 0
				} else if h.Until < math.MaxInt64 {
					speed[j] *= p.Endpoints[j].warmupShare(at - h.Until)
				}
			}
		case "rolling":
			for k, j := range h.Endpoints {
				if from := h.At + monotime.Micros(k)*h.Every; at >= from && at < from+h.Every {
					speed[j] = 0
				} else if at >= from+h.Every {
					speed[j] *= p.Endpoints[j].warmupShare(at - from - h.Every)
				}
			}
		case "slow", "lies", "errors", "mute", "full", "neighbour", "pause":
			if over {
				continue
			}
			for k, j := range h.Endpoints {
				speed[j] *= remainingSpeed(h, k, at)
			}
		}
	}
	var sum float64
	for _, v := range speed {
		sum += v
	}
	return sum
}

// warmupShare is the part of its speed that a node has so long after its start.
func (n *Endpoint) warmupShare(age monotime.Micros) float64 {
	c := &n.Config
	if c.WarmupDuration <= 0 || age >= c.WarmupDuration {
		return 1
	}
	return c.WarmupFrom + (1-c.WarmupFrom)*float64(age)/float64(c.WarmupDuration)
}

// remainingSpeed is the part of its speed that an event leaves an endpoint.
func remainingSpeed(h *PlannedEvent, k int, at monotime.Micros) float64 {
	switch h.What {
	case "slow", "lies":
		return 1 / h.Sizes[k]
	case "errors", "mute", "full":
		if h.Class >= 0 {
			return 1 // the others can be served there
		}
		return 1 - h.Sizes[k]
	case "neighbour":
		if h.Every <= 0 || (at-h.At)/h.Every%2 == 0 {
			return 1 - h.Sizes[k]
		}
	case "pause":
		return 0
	}
	return 1
}

// InstanceServing says whether an instance takes requests at an instant: it is neither stopped nor killed.
func (p *Plan) InstanceServing(instance int, at monotime.Micros) bool {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		switch h.What {
		case "freeze":
			if _, frozen := h.Frozen(at); frozen && contains(h.Instances, instance) {
				return false
			}
		case "restart", "power":
			until := h.Until
			if until == math.MaxInt64 {
				until = h.At + second
			}
			if at >= h.At && at < until && contains(h.Instances, instance) {
				return false
			}
		}
	}
	return true
}
