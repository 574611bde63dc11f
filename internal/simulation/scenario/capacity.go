package scenario

import (
	"math"

	"dunlinsail/internal/monotime"
)

// servableStep is the time resolution of MaxServableShare.
const servableStep = second / 4

// MaxServableShare is an upper bound of the share of the plan's operations that the endpoints could serve: in each step
// of time the demand, or the capacity of the endpoints that are up, at the speed that each has then. No balancer
// reaches it, since none knows the faults in advance and operations do not arrive evenly.
func (p *Plan) MaxServableShare() float64 {
	var requested, servable float64
	backlog := 0.0
	work := p.MeanWork()
	times := p.surges()
	for at := monotime.Micros(0); at < p.Length.Micros(); at += servableStep {
		demand := p.Rate * p.RateFactor(at) * times(at) * float64(servableStep) / float64(second)
		capacity := p.CapacityAt(at) * float64(servableStep) / work
		requested += demand
		served := min(demand+backlog, capacity)
		servable += served
		backlog = min(demand, demand+backlog-served) // operations that wait for longer than a step are late
	}
	if requested <= 0 {
		return 1
	}
	return min(1, servable/requested)
}

// surges returns a function of time: the factor by which surges multiply the traffic of all instances.
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

// CapacityAt is the useful work in microseconds that all endpoints can do in a microsecond at an instant.
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
		if h := &p.PlannedEvents[i]; at >= h.At {
			p.applyEvent(speed, h, at)
		}
	}
	var sum float64
	for _, v := range speed {
		sum += v
	}
	return sum
}

// applyEvent reduces the endpoints' speeds at an instant by an event that has started.
func (p *Plan) applyEvent(speed []float64, h *PlannedEvent, at monotime.Micros) {
	over := at >= h.Until
	switch h.What {
	case EventKill, EventMachineLost, EventDrain:
		p.applyStop(speed, h, h.Endpoints, at)
	case EventPowerCut:
		var all []int
		for j := range p.Endpoints {
			all = append(all, j)
		}
		p.applyStop(speed, h, all, at)
	case EventRollingRestart:
		if !over {
			p.applyRollingRestart(speed, h, at)
		}
	case EventSlow, EventFalseReports, EventErrors, EventUnanswered, EventRejecting, EventNeighbour, EventPause:
		if !over {
			for k, j := range h.Endpoints {
				speed[j] *= remainingSpeed(h, k, at)
			}
		}
	}
}

// applyStop stops endpoints during an event. They warm up after it, if it ends.
func (p *Plan) applyStop(speed []float64, h *PlannedEvent, endpoints []int, at monotime.Micros) {
	for _, j := range endpoints {
		if at < h.Until {
			speed[j] = 0
		} else if h.Until < math.MaxInt64 {
			speed[j] *= p.Endpoints[j].warmupShare(at - h.Until)
		}
	}
}

// applyRollingRestart stops one endpoint after another; those before it warm up.
func (p *Plan) applyRollingRestart(speed []float64, h *PlannedEvent, at monotime.Micros) {
	for k, j := range h.Endpoints {
		from := h.At + monotime.Micros(k)*h.Every
		if at >= from && at < from+h.Every {
			speed[j] = 0
		} else if at >= from+h.Every {
			speed[j] *= p.Endpoints[j].warmupShare(at - from - h.Every)
		}
	}
}

// warmupShare is the part of its speed that an endpoint has at an age since its start.
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
	case EventSlow, EventFalseReports:
		return 1 / h.Sizes[k]
	case EventErrors, EventUnanswered, EventRejecting:
		if h.Class >= 0 {
			return 1 // the others can be served there
		}
		return 1 - h.Sizes[k]
	case EventNeighbour:
		if h.Every <= 0 || (at-h.At)/h.Every%2 == 0 {
			return 1 - h.Sizes[k]
		}
	case EventPause:
		return 0
	}
	return 1
}

// InstanceServing reports whether an instance accepts requests at an instant: it is neither frozen nor killed.
func (p *Plan) InstanceServing(instance int, at monotime.Micros) bool {
	for i := range p.PlannedEvents {
		h := &p.PlannedEvents[i]
		switch h.What {
		case EventInstanceFreeze:
			if _, frozen := h.Frozen(at); frozen && contains(h.Instances, instance) {
				return false
			}
		case EventInstanceRestart, EventPowerCut:
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
