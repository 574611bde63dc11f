package engine

import (
	"cmp"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// OpenAttempts returns the number of open attempts at each of the given endpoints. Endpoints without open
// attempts have no entry.
func (eng *Engine) OpenAttempts(endpoints []string) map[string]int {
	openAttempts := map[string]int{}
	for _, c := range eng.calls {
		for _, a := range c.attempts {
			if !a.done && slices.Contains(endpoints, a.Endpoint.Name) {
				openAttempts[a.Endpoint.Name]++
			}
		}
	}
	return openAttempts
}

// MaintenanceStatus returns the state of all machines as this instance observes them. The capacity of a machine
// is its weight in the endpoint list. The usage of the fleet is the sum of weight times utilization over its
// healthy machines; it is 0 if load reports do not include the utilization.
func (eng *Engine) MaintenanceStatus(now monotime.Micros) (status maintenance.FleetStatus) {
	for _, p := range eng.pools {
		for name, info := range p.fullEndpointList() {
			machine := eng.machineStatus(now, p, info)
			status.Machines = append(status.Machines, machine)
			if e := p.byName[name]; e != nil && machine.Healthy {
				status.Usage += float64(info.Weight) * e.utilization
			}
		}
	}
	slices.SortFunc(status.Machines, func(a, b maintenance.MachineStatus) int { return cmp.Compare(a.Name, b.Name) })
	return status
}

// machineStatus returns the state of one machine. The machine is healthy if it is ready and neither cordoned
// nor ejected; exclusion by the maintenance plan does not matter.
func (eng *Engine) machineStatus(now monotime.Micros, p *Pool, info EndpointInfo) maintenance.MachineStatus {
	e := p.byName[info.Name]
	ejected := e != nil && p.balancer.IsEjected(now, e.Number)
	kind := info.Kind
	if !slices.Contains(eng.config.Site.MachineTypes, kind) {
		kind = ""
	}
	cell := maintenance.UnknownCell
	if info.HasCell() {
		cell = int(info.Cell)
	}
	return maintenance.MachineStatus{
		Name:     info.Name,
		Zone:     info.Zone,
		Kind:     kind,
		Cell:     cell,
		Capacity: float64(info.Weight),
		Healthy:  info.State == balancer.Ready && !eng.cordons.Cordoned(info.Name) && !ejected,
	}
}

// fullEndpointList returns the full endpoint list by name, even if the instance uses only a subset of it.
func (p *Pool) fullEndpointList() map[string]EndpointInfo {
	if p.subset != nil {
		return p.subset.endpoints
	}
	return p.endpointList
}

// utilizationWeight is the weight of a new load report in the moving average of an endpoint's utilization.
const utilizationWeight = 0.1

// observeUtilization updates the moving average of an endpoint's utilization from a load report, if the report
// includes a utilization from 0 to 1.
func (p *Pool) observeUtilization(e *Endpoint, loadReport []float32) {
	i := slices.Index(p.engine.config.Site.Settings.LoadMetrics, balancer.MetricUtilization)
	if i < 0 || i >= len(loadReport) || !(loadReport[i] >= 0 && loadReport[i] <= 1) {
		return
	}
	e.utilization += (float64(loadReport[i]) - e.utilization) * utilizationWeight
}
