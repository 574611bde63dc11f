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
		if h.Until < math.MaxInt64 && h.What != "rolling" && h.What != "pause" {
			r.events.push(h.Until, plannedEventEnds, uint32(i), nil)
		}
	}
}

// updateCondition sets an endpoint's condition from all planned events under way.
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
	case "slow", "errors", "mute", "full", "lies", "babble", "late-reports":
		for _, n := range h.Endpoints {
			r.updateCondition(n)
		}
	case "neighbour":
		r.stepEvent(i, 0)
	case "pause":
		for _, n := range h.Endpoints {
			e := r.endpoints[n]
			e.advance()
			e.model.Pause(r.now, h.Until-h.At)
		}
	case "drain":
		for _, n := range h.Endpoints {
			r.endpoints[n].drain()
		}
	case "kill":
		for _, n := range h.Endpoints {
			r.killEndpoint(n, false)
		}
	case "vanish":
		for _, n := range h.Endpoints {
			r.killEndpoint(n, true)
		}
	case "rolling":
		r.stepEvent(i, 0)
	case "cut":
		r.network.cuts = append(r.network.cuts, [2]int{h.Zone, h.To})
	case "stale":
		r.discovery.extraDelay += h.Delay
	case "silent":
		r.discovery.silent = true
	case "restart":
		r.restartInstances(h)
	case "limits":
		r.scaleTenantLimits(h, h.Sizes[0])
	case "upgrade":
		for _, n := range h.Instances {
			if in := r.instances[n]; !in.down {
				in.upgrade()
			}
		}
	case "freeze":
		r.stepEvent(i, 0)
	case "deaf":
		for _, n := range h.Instances {
			r.instances[n].discoveryBlocks++
		}
	case "sever":
		r.blockingEvents = append(r.blockingEvents, i)
	case "power":
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

// killInstance kills an instance with all that it holds: its clients see their connections break.
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
func (r *run) scaleTenantLimits(h *scenario.PlannedEvent, times float64) {
	var all []float64
	for _, v := range r.settings.Site.TenantLimits {
		all = append(all, v*times)
	}
	for _, n := range h.Instances {
		if in := r.instances[n]; !in.down {
			in.engine.SetTenantLimits(all)
		}
	}
}

// endEvent ends a planned event.
func (r *run) endEvent(i int) {
	h := &r.plan.PlannedEvents[i]
	switch h.What {
	case "slow", "errors", "mute", "full", "lies", "babble", "late-reports", "neighbour":
		for _, n := range h.Endpoints {
			r.updateCondition(n)
		}
	case "drain", "kill", "vanish":
		for _, n := range h.Endpoints {
			r.endpoints[n].start(false)
		}
	case "cut":
		for j, c := range r.network.cuts {
			if c == [2]int{h.Zone, h.To} {
				r.network.cuts = append(r.network.cuts[:j], r.network.cuts[j+1:]...)
				break
			}
		}
	case "stale":
		r.discovery.extraDelay -= h.Delay
	case "silent":
		r.discovery.resume()
	case "restart":
		for _, n := range h.Instances {
			if in := r.instances[n]; in.down {
				in.start(false)
			}
		}
	case "limits":
		r.scaleTenantLimits(h, 1)
	case "deaf":
		for _, n := range h.Instances {
			r.instances[n].resumeDiscovery()
		}
	case "sever":
		r.blockingEvents = slices.DeleteFunc(r.blockingEvents, func(at int) bool { return at == i })
	case "power":
		for _, e := range r.endpoints {
			e.start(false)
		}
		for _, in := range r.instances {
			if in.down {
				in.start(false)
			}
		}
	}
}

// stepEvent goes on with what happens in steps: a neighbour on and off, or endpoints restarted one after another.
func (r *run) stepEvent(i, at int) {
	h := &r.plan.PlannedEvents[i]
	if r.now >= h.Until {
		return
	}
	switch h.What {
	case "freeze":
		until, frozen := h.Frozen(r.now)
		for _, n := range h.Instances {
			if frozen {
				r.instances[n].frozenUntil = max(r.instances[n].frozenUntil, until)
			}
		}
		if h.Every > 0 {
			r.events.push(r.now+h.Every, plannedEventSteps, uint32(i), at+1)
		}
	case "neighbour":
		for _, n := range h.Endpoints {
			r.updateCondition(n)
		}
		if h.Every > 0 {
			r.events.push(r.now+h.Every, plannedEventSteps, uint32(i), at+1)
		}
	case "rolling":
		if at >= len(h.Endpoints) {
			return
		}
		// It has its time to drain, and comes up again as the next one begins.
		r.endpoints[h.Endpoints[at]].drain()
		r.events.push(r.now+h.Every, endpointStarts, uint32(h.Endpoints[at]), nil)
		r.events.push(r.now+h.Every, plannedEventSteps, uint32(i), at+1)
	}
}
