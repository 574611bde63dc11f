package engine

import (
	"cmp"
	"maps"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// MaintenancePlan is the part of the fleet's maintenance plan (package maintenance) that one instance has to follow.
type MaintenancePlan struct {
	// AwaitingPlan says that no plan is known yet: nothing is sent to any endpoint.
	AwaitingPlan bool `json:"Wait"`
	// Stopped are endpoints that get nothing new. One that is let back in has restarted.
	Excluded []string `json:"Stop"`
	// Announced are endpoints that are next, and get nothing new once the lease has ended.
	Announced []string        `json:"Ahead"`
	LeaseEnd  monotime.Micros `json:"Until"`
	// DrainDeadline is when attempts that are still open at endpoints of both lists are ended.
	DrainDeadline monotime.Micros `json:"End"`
}

// includes reports whether an endpoint is stopped or announced.
func (p *MaintenancePlan) includes(name string) bool {
	return slices.Contains(p.Excluded, name) || slices.Contains(p.Announced, name)
}

// maintenanceState is the plan in force; the zero value is none.
type maintenanceState struct {
	MaintenancePlan
	leaseTimer *timer
	drainTimer *timer
}

// ApplyMaintenancePlan has the engine follow a plan in place of the previous one.
func (x *Engine) ApplyMaintenancePlan(now monotime.Micros, plan MaintenancePlan) {
	x.now = now
	x.cancelTimer(x.maintenance.leaseTimer)
	x.cancelTimer(x.maintenance.drainTimer)
	x.maintenance = maintenanceState{MaintenancePlan: plan}
	x.applyExclusions(now)
	if !plan.AwaitingPlan && len(plan.Announced)+len(plan.Excluded) > 0 {
		x.maintenance.leaseTimer = x.schedule(max(now, plan.LeaseEnd), x.applyExclusions)
		x.maintenance.drainTimer = x.schedule(max(now, plan.DrainDeadline), x.expireDrainedAttempts)
	}
	x.dispatchQueued(now)
}

// applyExclusions applies cordons and the maintenance plan to all endpoints.
func (x *Engine) applyExclusions(now monotime.Micros) {
	for _, p := range x.pools {
		for _, name := range slices.Sorted(maps.Keys(p.byName)) { // sorted: random draws must not depend on map order
			p.applyExclusion(now, name, p.byName[name])
		}
		p.updateEndpointCount()
	}
}

// applyExclusion applies cordons and the maintenance plan to one endpoint.
func (p *Pool) applyExclusion(now monotime.Micros, name string, e *Endpoint) {
	plan := &p.engine.maintenance.MaintenancePlan
	p.setExcluded(now, e, p.engine.cordons.Cordoned(name) || slices.Contains(plan.Excluded, name))
	announced := slices.Contains(plan.Announced, name)
	p.balancer.SetPaused(now, e.Number, plan.AwaitingPlan || announced && now >= plan.LeaseEnd)
	if e.excluded || e.state != balancer.Ready {
		return // nothing is sent there in any case
	}
	// An attempt that waits for its connection, or whose process was suspended, checks this last.
	switch {
	case plan.AwaitingPlan:
		e.stopSendingAt.Store(max(1, now))
	case announced:
		e.stopSendingAt.Store(max(1, plan.LeaseEnd))
	default:
		e.stopSendingAt.Store(0)
	}
}

// expireDrainedAttempts ends the attempts that are open at endpoints of the plan: its lease has been over for long.
func (x *Engine) expireDrainedAttempts(now monotime.Micros) {
	for _, id := range slices.Sorted(maps.Keys(x.calls)) {
		for _, a := range slices.Clone(x.calls[id].attempts) {
			if !a.done && x.maintenance.includes(a.Endpoint.Name) {
				x.expireAttempt(now, a)
			}
		}
	}
}

// OpenAttempts returns how many attempts are open at each of some endpoints; those without any are left out.
func (x *Engine) OpenAttempts(endpoints []string) map[string]int {
	open := map[string]int{}
	for _, c := range x.calls {
		for _, a := range c.attempts {
			if !a.done && slices.Contains(endpoints, a.Endpoint.Name) {
				open[a.Endpoint.Name]++
			}
		}
	}
	return open
}

// MaintenanceStatus returns the state of all machines as this instance sees them: the capacity of each by its weight,
// and how much of that is in use. Without load reports that carry the utilization, the use is 0.
func (x *Engine) MaintenanceStatus(now monotime.Micros) (facts maintenance.FleetStatus) {
	for _, p := range x.pools {
		for name, info := range p.fullEndpointList() {
			machine := x.machine(now, p, info)
			facts.Machines = append(facts.Machines, machine)
			if e := p.byName[name]; e != nil && machine.Healthy {
				facts.Usage += float64(info.Weight) * e.utilization
			}
		}
	}
	slices.SortFunc(facts.Machines, func(a, b maintenance.MachineStatus) int { return cmp.Compare(a.Name, b.Name) })
	return facts
}

// machine returns the state of one machine. One that is stopped by the plan is as well as it was before.
func (x *Engine) machine(now monotime.Micros, p *Pool, info EndpointInfo) maintenance.MachineStatus {
	e := p.byName[info.Name]
	ejected := e != nil && p.balancer.IsEjected(now, e.Number)
	kind := info.Kind
	if !slices.Contains(x.config.Site.Kinds, kind) {
		kind = ""
	}
	return maintenance.MachineStatus{
		Name:     info.Name,
		Zone:     info.Zone,
		Kind:     kind,
		Cell:     int(info.Cell),
		Capacity: float64(info.Weight),
		Healthy:  info.State == balancer.Ready && !x.cordons.Cordoned(info.Name) && !ejected,
	}
}

// fullEndpointList returns the endpoint list by name, also where the instance uses a part of it.
func (p *Pool) fullEndpointList() map[string]EndpointInfo {
	if p.subset != nil {
		return p.subset.endpoints
	}
	return p.endpointList
}

// utilizationWeight is the weight of one load report in the moving average of an endpoint's utilization.
const utilizationWeight = 0.1

// observeUtilization takes in how busy an endpoint reports to be.
func (p *Pool) observeUtilization(e *Endpoint, load []float32) {
	i := slices.Index(p.engine.config.Site.Settings.LoadMetrics, balancer.MetricUtilization)
	if i < 0 || i >= len(load) || !(load[i] >= 0 && load[i] <= 1) {
		return
	}
	e.utilization += (float64(load[i]) - e.utilization) * utilizationWeight
}
