package simulation

import (
	"math"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simendpoint"
)

// scheduleEvents schedules the starts and ends of the plan's events. Rolling restarts and pauses have no
// separate end event.
func (r *run) scheduleEvents() {
	for eventIndex := range r.plan.PlannedEvents {
		planned := &r.plan.PlannedEvents[eventIndex]
		r.events.push(planned.At, plannedEventStarts, uint32(eventIndex), nil)
		if planned.Until < math.MaxInt64 && planned.What != scenario.EventRollingRestart &&
			planned.What != scenario.EventPause {
			r.events.push(planned.Until, plannedEventEnds, uint32(eventIndex), nil)
		}
	}
}

// updateCondition sets an endpoint's condition from all planned events that are active.
func (r *run) updateCondition(index int) {
	var condition simendpoint.Condition
	for eventIndex := range r.plan.PlannedEvents {
		planned := &r.plan.PlannedEvents[eventIndex]
		if r.now < planned.At || r.now >= planned.Until {
			continue
		}
		for position, endpointIndex := range planned.Endpoints {
			if endpointIndex == index {
				planned.AddCondition(&condition, r.now, position, r.criteriaClassOf)
			}
		}
	}
	e := r.endpoints[index]
	e.advance()
	e.model.SetCondition(condition)
	e.scheduleWakeup()
}

// startEvent starts a planned event.
func (r *run) startEvent(eventIndex int) {
	planned := &r.plan.PlannedEvents[eventIndex]
	switch planned.What {
	case scenario.EventSlow, scenario.EventErrors, scenario.EventUnanswered, scenario.EventRejecting,
		scenario.EventFalseReports, scenario.EventInvalidReports, scenario.EventLateReports:
		for _, index := range planned.Endpoints {
			r.updateCondition(index)
		}
	case scenario.EventNeighbour:
		r.stepEvent(eventIndex, 0)
	case scenario.EventPause:
		for _, index := range planned.Endpoints {
			e := r.endpoints[index]
			e.advance()
			e.model.Pause(r.now, planned.Until-planned.At)
		}
	case scenario.EventDrain:
		for _, index := range planned.Endpoints {
			r.endpoints[index].drain()
		}
	case scenario.EventKill:
		for _, index := range planned.Endpoints {
			r.killEndpoint(index, false)
		}
	case scenario.EventMachineLost:
		for _, index := range planned.Endpoints {
			r.killEndpoint(index, true)
		}
	case scenario.EventRollingRestart:
		r.stepEvent(eventIndex, 0)
	case scenario.EventZonePartition:
		r.network.partitionedZones = append(r.network.partitionedZones, [2]int{planned.Zone, planned.OtherZone})
	case scenario.EventDiscoveryDelay:
		r.discovery.extraDelay += planned.Delay
	case scenario.EventDiscoverySilent:
		r.discovery.silent = true
	case scenario.EventInstanceRestart:
		r.restartInstances(planned)
	case scenario.EventTenantLimits:
		r.scaleTenantLimits(planned, planned.Sizes[0])
	case scenario.EventHotRestart:
		for _, index := range planned.Instances {
			if in := r.instances[index]; !in.down {
				in.hotRestart()
			}
		}
	case scenario.EventInstanceFreeze:
		r.stepEvent(eventIndex, 0)
	case scenario.EventWatchBlocked:
		for _, index := range planned.Instances {
			r.instances[index].discoveryBlocks++
		}
	case scenario.EventPathBlocked:
		r.pathBlockingEvents = append(r.pathBlockingEvents, eventIndex)
	case scenario.EventPowerCut:
		r.killAll()
	}
}

// restartInstances kills the event's instances. If the event has no end, they start again after one second.
func (r *run) restartInstances(planned *scenario.PlannedEvent) {
	for _, index := range planned.Instances {
		r.killInstance(r.instances[index])
		if planned.Until == math.MaxInt64 {
			r.events.push(r.now+second, instanceRestarts, 0, r.instances[index])
		}
	}
}

// killAll kills all endpoints and instances, as a power cut does.
func (r *run) killAll() {
	for index := range r.endpoints {
		r.killEndpoint(index, false)
	}
	for _, in := range r.instances {
		r.killInstance(in)
	}
}

// killEndpoint kills an endpoint's process and notifies discovery. If silent is true, the machine is lost
// without any reset or notification.
func (r *run) killEndpoint(index int, silent bool) {
	e := r.endpoints[index]
	if !e.model.Up() {
		return
	}
	e.kill(silent)
	r.discovery.endpointChanged(index, balancer.Gone, silent)
}

// killInstance kills an instance. The clients of its requests in flight receive connection resets.
func (r *run) killInstance(in *instance) {
	if in.down {
		return
	}
	for _, request := range in.inFlight {
		r.meter.Costs.KilledInFlight++
		r.events.push(r.now+r.network.clientDelay(request.operation.ID, request.Number, true),
			clientConnReset, 0, request)
	}
	in.kill()
}

// scaleTenantLimits sets the tenant limits of the event's instances to the configured limits times a factor.
func (r *run) scaleTenantLimits(planned *scenario.PlannedEvent, factor float64) {
	var limits []float64
	for _, limit := range r.settings.Site.TenantLimits {
		limits = append(limits, limit*factor)
	}
	for _, index := range planned.Instances {
		if in := r.instances[index]; !in.down {
			in.engine.SetTenantLimits(limits)
		}
	}
}

// endEvent ends a planned event.
func (r *run) endEvent(eventIndex int) {
	planned := &r.plan.PlannedEvents[eventIndex]
	switch planned.What {
	case scenario.EventSlow, scenario.EventErrors, scenario.EventUnanswered, scenario.EventRejecting,
		scenario.EventFalseReports, scenario.EventInvalidReports, scenario.EventLateReports, scenario.EventNeighbour:
		for _, index := range planned.Endpoints {
			r.updateCondition(index)
		}
	case scenario.EventDrain, scenario.EventKill, scenario.EventMachineLost:
		for _, index := range planned.Endpoints {
			r.endpoints[index].start(false)
		}
	case scenario.EventZonePartition:
		if position := slices.Index(
			r.network.partitionedZones, [2]int{planned.Zone, planned.OtherZone}); position >= 0 {
			r.network.partitionedZones = slices.Delete(r.network.partitionedZones, position, position+1)
		}
	case scenario.EventDiscoveryDelay:
		r.discovery.extraDelay -= planned.Delay
	case scenario.EventDiscoverySilent:
		r.discovery.resume()
	case scenario.EventInstanceRestart:
		for _, index := range planned.Instances {
			if in := r.instances[index]; in.down {
				in.start(false)
			}
		}
	case scenario.EventTenantLimits:
		r.scaleTenantLimits(planned, 1)
	case scenario.EventWatchBlocked:
		for _, index := range planned.Instances {
			r.instances[index].resumeDiscovery()
		}
	case scenario.EventPathBlocked:
		r.pathBlockingEvents = slices.DeleteFunc(r.pathBlockingEvents,
			func(activeIndex int) bool { return activeIndex == eventIndex })
	case scenario.EventPowerCut:
		r.startAll()
	}
}

// startAll starts all endpoints, and the instances that are down.
func (r *run) startAll() {
	for _, e := range r.endpoints {
		e.start(false)
	}
	for _, in := range r.instances {
		if in.down {
			in.start(false)
		}
	}
}

// stepEvent performs one step of an event with several steps: a recurring fault, or the restart of one
// endpoint after another.
func (r *run) stepEvent(eventIndex, step int) {
	planned := &r.plan.PlannedEvents[eventIndex]
	if r.now >= planned.Until {
		return
	}
	switch planned.What {
	case scenario.EventInstanceFreeze:
		until, frozen := planned.Frozen(r.now)
		for _, index := range planned.Instances {
			if frozen {
				r.instances[index].freeze(until)
			}
		}
		if planned.Every > 0 {
			r.events.push(r.now+planned.Every, plannedEventSteps, uint32(eventIndex), step+1)
		}
	case scenario.EventNeighbour:
		for _, index := range planned.Endpoints {
			r.updateCondition(index)
		}
		if planned.Every > 0 {
			r.events.push(r.now+planned.Every, plannedEventSteps, uint32(eventIndex), step+1)
		}
	case scenario.EventRollingRestart:
		if step >= len(planned.Endpoints) {
			return
		}
		// The endpoint drains until the next step, at which it starts again.
		r.endpoints[planned.Endpoints[step]].drain()
		r.events.push(r.now+planned.Every, endpointStarts, uint32(planned.Endpoints[step]), nil)
		r.events.push(r.now+planned.Every, plannedEventSteps, uint32(eventIndex), step+1)
	}
}
