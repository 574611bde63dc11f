package engine

import (
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// Orders are what an instance has to obey.
type MaintenancePlan struct {
	AwaitingPlan  bool            `json:"Wait"`  // no order has been heard yet: nothing goes anywhere
	Stopped       []string        `json:"Stop"`  // nothing new goes there; who is let in again has been worked on, and is cold
	Announced     []string        `json:"Ahead"` // nothing new goes there once the order holds no more,
	LeaseEnd      monotime.Micros `json:"Until"` // from this instant on,
	DrainDeadline monotime.Micros `json:"End"`   // and what is still open there and at those in Stop is ended from this one
}

// ordered is what is obeyed; the zero value is nothing.
type maintenanceState struct {
	MaintenancePlan
	leaseTimer, drainTimer *timer
}

// Order has the engine obey an order in place of the one before.
func (x *Engine) ApplyMaintenancePlan(now monotime.Micros, o MaintenancePlan) {
	x.now = now
	x.cancelTimer(x.maintenance.leaseTimer)
	x.cancelTimer(x.maintenance.drainTimer)
	x.maintenance = maintenanceState{MaintenancePlan: o}
	x.applyExclusions(now)
	if !o.AwaitingPlan && len(o.Announced)+len(o.Stopped) > 0 {
		x.maintenance.leaseTimer = x.schedule(max(now, o.LeaseEnd), x.applyExclusions)
		x.maintenance.drainTimer = x.schedule(max(now, o.DrainDeadline), x.expireDrainedAttempts)
	}
	x.dispatchQueued(now)
}

// obey has all pools obey as of an instant.
func (x *Engine) applyExclusions(now monotime.Micros) {
	for _, p := range x.pools {
		for _, name := range slices.Sorted(maps.Keys(p.byName)) { // in their order: what is left to chance must not depend on a map's
			p.applyExclusion(now, name, p.byName[name])
		}
		p.updateEndpointCount()
	}
}

// obey has one endpoint be out or in, by all that is said of it.
func (p *Pool) applyExclusion(now monotime.Micros, name string, e *Endpoint) {
	o := &p.engine.maintenance
	p.setExcluded(now, e, p.engine.cordons.Out(name) || slices.Contains(o.Stopped, name))
	ahead := slices.Contains(o.Announced, name)
	p.balancer.Pause(now, e.Number, o.AwaitingPlan || ahead && now >= o.LeaseEnd)
	if e.excluded || e.state != balancer.Ready {
		return // nothing goes there as it is
	}
	// What waits for a connection, or for its process to be let go on, looks at this last.
	switch {
	case o.AwaitingPlan:
		e.stopSendingAt.Store(max(1, now))
	case ahead:
		e.stopSendingAt.Store(max(1, o.LeaseEnd))
	default:
		e.stopSendingAt.Store(0)
	}
}

// leaveOut ends what is open at machines that are ahead or out: no order has held for long.
func (x *Engine) expireDrainedAttempts(now monotime.Micros) {
	for _, id := range slices.Sorted(maps.Keys(x.calls)) {
		for _, a := range slices.Clone(x.calls[id].attempts) {
			if name := a.Endpoint.Name; !a.done && (slices.Contains(x.maintenance.Stopped, name) || slices.Contains(x.maintenance.Announced, name)) {
				x.expireAttempt(now, a)
			}
		}
	}
}

// Open returns how many attempts are open at each of some endpoints.
func (x *Engine) OpenAttempts(names []string) map[string]int {
	open := map[string]int{}
	for _, c := range x.calls {
		for _, a := range c.attempts {
			if !a.done && slices.Contains(names, a.Endpoint.Name) {
				open[a.Endpoint.Name]++
			}
		}
	}
	return open
}

// Facts returns how machines stand, as this instance sees them: what each can do by its weight, and how much of that is in use by
// what they report; without reports of how busy they are that is nothing.
func (x *Engine) MaintenanceFacts(now monotime.Micros) (f maintenance.FleetStatus) {
	kinds := x.config.Site.Kinds
	for _, p := range x.pools {
		list := p.endpointList
		if p.subset != nil {
			list = p.subset.endpoints
		}
		for name, m := range list {
			e := p.byName[name]
			// One that is out by order is as well as it was: it counts as out by that.
			well := m.State == balancer.Ready && !x.cordons.Out(name) && (e == nil || !p.balancer.Ejected(now, e.Number))
			kind := m.Kind
			if !slices.Contains(kinds, kind) {
				kind = ""
			}
			f.Machines = append(f.Machines, maintenance.MachineStatus{Name: name, Zone: m.Zone, Kind: kind, Cell: int(m.Cell), Capacity: float64(m.Weight), Healthy: well})
			if e != nil && well {
				f.Usage += float64(m.Weight) * e.utilization
			}
		}
	}
	slices.SortFunc(f.Machines, func(a, b maintenance.MachineStatus) int { return map[bool]int{true: -1, false: 1}[a.Name < b.Name] })
	return f
}

// busy notes how busy an endpoint says that it is.
func (p *Pool) observeUtilization(e *Endpoint, load []float32) {
	at := slices.Index(p.engine.config.Site.Settings.Fields, balancer.FieldUtil)
	if at >= 0 && at < len(load) && load[at] >= 0 && load[at] <= 1 {
		e.utilization += (float64(load[at]) - e.utilization) * utilizationWeight
	}
}

const utilizationWeight = 0.1
