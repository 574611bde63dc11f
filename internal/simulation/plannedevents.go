package simulation

import (
	"math"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simendpoint"
)

// scheduleEvents schedules the plan's events.
func (r *run) scheduleEvents() {
	for i := range r.plan.PlannedEvents {
		h := &r.plan.PlannedEvents[i]
		r.events.push(h.At, plannedEventStarts, uint32(i), nil)
		if h.Until < math.MaxInt64 && h.What != scenario.EventRollingRestart && h.What != scenario.EventPause {
			r.events.push(h.Until, plannedEventEnds, uint32(i), nil)
		}
	}
}

// updateCondition sets an endpoint's condition by all planned events that are active.
func (r *run) updateCondition(n int) {
	var c simendpoint.Condition
	for i := range r.plan.PlannedEvents {
		h := &r.plan.PlannedEvents[i]
		if r.now < h.At || r.now >= h.Until {
			continue
		}
		for j, at := range h.Endpoints {
			if at == n {
				h.AddCondition(&c, r.now, j, r.criteriaClass)
			}
		}
	}
	e := r.endpoints[n]
	e.advance()
	e.model.SetCondition(c)
	e.scheduleWakeup()
}

// startEvent starts a planned event.
func (r *run) startEvent(i int) {
	h := &r.plan.PlannedEvents[i]
	switch h.What {
	case scenario.EventSlow, scenario.EventErrors, scenario.EventUnanswered, scenario.EventRejecting,
		scenario.EventFalseReports, scenario.EventInvalidReports, scenario.EventLateReports:
		for _, n := range h.Endpoints {
			r.updateCondition(n)
		}
	case scenario.EventNeighbour:
		r.stepEvent(i, 0)
	case scenario.EventPause:
		for _, n := range h.Endpoints {
			e := r.endpoints[n]
			e.advance()
			e.model.Pause(r.now, h.Until-h.At)
		}
	case scenario.EventDrain:
		for _, n := range h.Endpoints {
			r.endpoints[n].drain()
		}
	case scenario.EventKill:
		for _, n := range h.Endpoints {
			r.killEndpoint(n, false)
		}
	case scenario.EventMachineLost:
		for _, n := range h.Endpoints {
			r.killEndpoint(n, true)
		}
	case scenario.EventRollingRestart:
		r.stepEvent(i, 0)
	case scenario.EventZonePartition:
		r.network.cuts = append(r.network.cuts, [2]int{h.Zone, h.To})
	case scenario.EventDiscoveryDelay:
		r.discovery.extraDelay += h.Delay
	case scenario.EventDiscoverySilent:
		r.discovery.silent = true
	case scenario.EventInstanceRestart:
		r.restartInstances(h)
	case scenario.EventTenantLimits:
		r.scaleTenantLimits(h, h.Sizes[0])
	case scenario.EventHotRestart:
		for _, n := range h.Instances {
			if in := r.instances[n]; !in.down {
				in.upgrade()
			}
		}
	case scenario.EventInstanceFreeze:
		r.stepEvent(i, 0)
	case scenario.EventWatchBlocked:
		for _, n := range h.Instances {
			r.instances[n].discoveryBlocks++
		}
	case scenario.EventPathBlocked:
		r.blockingEvents = append(r.blockingEvents, i)
	case scenario.EventPowerCut:
		r.killAll()
	}
}

// restartInstances kills the event's instances. Without an end of the event they start again after a second.
func (r *run) restartInstances(h *scenario.PlannedEvent) {
	for _, n := range h.Instances {
		r.killInstance(r.instances[n])
		if h.Until == math.MaxInt64 {
			r.events.push(r.now+second, instanceRestarts, 0, r.instances[n])
		}
	}
}

// killAll kills all endpoints and instances, as a power cut does.
func (r *run) killAll() {
	for n := range r.endpoints {
		r.killEndpoint(n, false)
	}
	for _, in := range r.instances {
		r.killInstance(in)
	}
}

func (r *run) killEndpoint(n int, silent bool) {
	e := r.endpoints[n]
	if !e.model.Up() {
		return
	}
	e.kill(silent)
	r.discovery.endpointChanged(n, balancer.Gone, silent)
}

// killInstance kills an instance. The clients of its requests in flight see their connections reset.
func (r *run) killInstance(in *instance) {
	if in.down {
		return
	}
	for _, t := range in.inFlight {
		r.meter.Costs.KilledInFlight++
		r.events.push(r.now+r.network.clientDelay(t.operation.ID, t.Number, true), clientConnReset, 0, t)
	}
	in.kill()
}

// scaleTenantLimits multiplies the tenants' limits at the event's instances.
func (r *run) scaleTenantLimits(h *scenario.PlannedEvent, factor float64) {
	var limits []float64
	for _, limit := range r.settings.Site.TenantLimits {
		limits = append(limits, limit*factor)
	}
	for _, n := range h.Instances {
		if in := r.instances[n]; !in.down {
			in.engine.SetTenantLimits(limits)
		}
	}
}

// endEvent ends a planned event.
func (r *run) endEvent(i int) {
	h := &r.plan.PlannedEvents[i]
	switch h.What {
	case scenario.EventSlow, scenario.EventErrors, scenario.EventUnanswered, scenario.EventRejecting,
		scenario.EventFalseReports, scenario.EventInvalidReports, scenario.EventLateReports, scenario.EventNeighbour:
		for _, n := range h.Endpoints {
			r.updateCondition(n)
		}
	case scenario.EventDrain, scenario.EventKill, scenario.EventMachineLost:
		for _, n := range h.Endpoints {
			r.endpoints[n].start(false)
		}
	case scenario.EventZonePartition:
		if j := slices.Index(r.network.cuts, [2]int{h.Zone, h.To}); j >= 0 {
			r.network.cuts = slices.Delete(r.network.cuts, j, j+1)
		}
	case scenario.EventDiscoveryDelay:
		r.discovery.extraDelay -= h.Delay
	case scenario.EventDiscoverySilent:
		r.discovery.resume()
	case scenario.EventInstanceRestart:
		for _, n := range h.Instances {
			if in := r.instances[n]; in.down {
				in.start(false)
			}
		}
	case scenario.EventTenantLimits:
		r.scaleTenantLimits(h, 1)
	case scenario.EventWatchBlocked:
		for _, n := range h.Instances {
			r.instances[n].resumeDiscovery()
		}
	case scenario.EventPathBlocked:
		r.blockingEvents = slices.DeleteFunc(r.blockingEvents, func(at int) bool { return at == i })
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

// stepEvent goes on with an event of several steps: faults that come and go, or endpoints restarted one after another.
func (r *run) stepEvent(i, at int) {
	h := &r.plan.PlannedEvents[i]
	if r.now >= h.Until {
		return
	}
	switch h.What {
	case scenario.EventInstanceFreeze:
		until, frozen := h.Frozen(r.now)
		for _, n := range h.Instances {
			if frozen {
				r.instances[n].freeze(until)
			}
		}
		if h.Every > 0 {
			r.events.push(r.now+h.Every, plannedEventSteps, uint32(i), at+1)
		}
	case scenario.EventNeighbour:
		for _, n := range h.Endpoints {
			r.updateCondition(n)
		}
		if h.Every > 0 {
			r.events.push(r.now+h.Every, plannedEventSteps, uint32(i), at+1)
		}
	case scenario.EventRollingRestart:
		if at >= len(h.Endpoints) {
			return
		}
		// The endpoint has until the next step to drain, and starts again then.
		r.endpoints[h.Endpoints[at]].drain()
		r.events.push(r.now+h.Every, endpointStarts, uint32(h.Endpoints[at]), nil)
		r.events.push(r.now+h.Every, plannedEventSteps, uint32(i), at+1)
	}
}
