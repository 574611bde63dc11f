package scenario

import (
	"math"

	"dunlinsail/internal/monotime"
)

// servableStep is the length of the time steps of MaxServableShare.
const servableStep = second / 4

// MaxServableShare returns an upper bound of the share of the plan's operations that the endpoints can serve.
// In each time step it is limited by the demand, and by the capacity of the running endpoints at their speeds
// in that step. No balancer reaches the bound, since balancers do not know the faults in advance and operations
// do not arrive evenly.
func (p *Plan) MaxServableShare() float64 {
	var requested, servable float64
	backlog := 0.0
	meanWork := p.MeanWork()
	surgeFactor := p.surgeFactorFunc()
	for at := monotime.Micros(0); at < p.Length.Micros(); at += servableStep {
		demand := p.Rate * p.RateFactor(at) * surgeFactor(at) * float64(servableStep) / float64(second)
		capacity := p.CapacityAt(at) * float64(servableStep) / meanWork
		requested += demand
		served := min(demand+backlog, capacity)
		servable += served
		backlog = min(demand, demand+backlog-served) // operations that wait longer than one step count as late
	}
	if requested <= 0 {
		return 1
	}
	return min(1, servable/requested)
}

// surgeFactorFunc returns a function of time: the factor by which surges multiply the traffic of all instances
// together.
func (p *Plan) surgeFactorFunc() func(at monotime.Micros) float64 {
	var mixes []*operationMix
	for i := range p.Instances {
		if mix := p.newOperationMix(i); mix.hasSurges || i == 0 {
			mixes = append(mixes, mix)
		}
	}
	return func(at monotime.Micros) (factor float64) {
		if len(mixes) == 1 {
			mixes[0].setTime(at)
			return mixes[0].weightSum
		}
		for i, mix := range mixes {
			mix.setTime(at)
			factor += mix.weightSum * p.Instances[i].Share
		}
		return factor
	}
}

// CapacityAt returns the useful work, in microseconds, that all endpoints together can do in a microsecond at
// the given instant.
func (p *Plan) CapacityAt(at monotime.Micros) float64 {
	speeds := make([]float64, len(p.Endpoints))
	for i := range p.Endpoints {
		endpoint := &p.Endpoints[i]
		speeds[i] = endpoint.Config.Speed * float64(endpoint.Config.Cores)
		if endpoint.StartsWithRun {
			speeds[i] *= endpoint.warmupSpeedFactor(at)
		}
	}
	for i := range p.PlannedEvents {
		if event := &p.PlannedEvents[i]; at >= event.At {
			p.applyEvent(speeds, event, at)
		}
	}
	var total float64
	for _, speed := range speeds {
		total += speed
	}
	return total
}

// applyEvent reduces the endpoints' speeds at an instant according to an event that has started.
func (p *Plan) applyEvent(speeds []float64, event *PlannedEvent, at monotime.Micros) {
	ended := at >= event.Until
	switch event.What {
	case EventKill, EventMachineLost, EventDrain:
		p.applyOutage(speeds, event, event.Endpoints, at)
	case EventPowerCut:
		var allEndpoints []int
		for index := range p.Endpoints {
			allEndpoints = append(allEndpoints, index)
		}
		p.applyOutage(speeds, event, allEndpoints, at)
	case EventRollingRestart:
		if !ended {
			p.applyRollingRestart(speeds, event, at)
		}
	case EventSlow, EventFalseReports, EventErrors, EventUnanswered, EventRejecting, EventNeighbour, EventPause:
		if !ended {
			for position, index := range event.Endpoints {
				speeds[index] *= eventSpeedFactor(event, position, at)
			}
		}
	}
}

// applyOutage sets the speed of endpoints to 0 during an event. After the end of the event, the endpoints warm
// up.
func (p *Plan) applyOutage(speeds []float64, event *PlannedEvent, endpoints []int, at monotime.Micros) {
	for _, index := range endpoints {
		if at < event.Until {
			speeds[index] = 0
		} else if event.Until < math.MaxInt64 {
			speeds[index] *= p.Endpoints[index].warmupSpeedFactor(at - event.Until)
		}
	}
}

// applyRollingRestart sets the speed of the endpoint that restarts at an instant to 0. Endpoints that restarted
// earlier warm up.
func (p *Plan) applyRollingRestart(speeds []float64, event *PlannedEvent, at monotime.Micros) {
	for position, index := range event.Endpoints {
		stopsAt := event.At + monotime.Micros(position)*event.Every
		if at >= stopsAt && at < stopsAt+event.Every {
			speeds[index] = 0
		} else if at >= stopsAt+event.Every {
			speeds[index] *= p.Endpoints[index].warmupSpeedFactor(at - stopsAt - event.Every)
		}
	}
}

// warmupSpeedFactor returns the fraction of its full speed that an endpoint has at the given time since its
// start.
func (endpoint *Endpoint) warmupSpeedFactor(age monotime.Micros) float64 {
	config := &endpoint.Config
	if config.WarmupDuration <= 0 || age >= config.WarmupDuration {
		return 1
	}
	return config.WarmupStartShare + (1-config.WarmupStartShare)*float64(age)/float64(config.WarmupDuration)
}

// eventSpeedFactor returns the fraction of its useful speed that an endpoint keeps during an event. position is
// the index of the endpoint in event.Endpoints.
func eventSpeedFactor(event *PlannedEvent, position int, at monotime.Micros) float64 {
	switch event.What {
	case EventSlow, EventFalseReports:
		return 1 / event.Sizes[position]
	case EventErrors, EventUnanswered, EventRejecting:
		if event.Class >= 0 {
			return 1 // the endpoint can serve the requests of the other classes
		}
		return 1 - event.Sizes[position]
	case EventNeighbour:
		if event.Every <= 0 || (at-event.At)/event.Every%2 == 0 {
			return 1 - event.Sizes[position]
		}
	case EventPause:
		return 0
	}
	return 1
}

// InstanceServing reports whether an instance accepts requests at an instant, which it does unless it is frozen
// or killed.
func (p *Plan) InstanceServing(instance int, at monotime.Micros) bool {
	for i := range p.PlannedEvents {
		event := &p.PlannedEvents[i]
		switch event.What {
		case EventInstanceFreeze:
			if _, frozen := event.Frozen(at); frozen && contains(event.Instances, instance) {
				return false
			}
		case EventInstanceRestart, EventPowerCut:
			until := event.Until
			if until == math.MaxInt64 {
				until = event.At + second
			}
			if at >= event.At && at < until && contains(event.Instances, instance) {
				return false
			}
		}
	}
	return true
}
