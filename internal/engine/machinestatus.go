package engine

import (
	"cmp"
	"slices"

	"dunlinsail/balancer"
	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// OpenAttempts returns how many attempts are open at each of the given endpoints; those without any are left out.
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

// MaintenanceStatus returns the state of all machines as this instance observes them: the capacity of each is its
// weight, and its usage that weight times its utilization. Without load reports that carry the utilization, the usage
// is 0.
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

// machineStatus returns the state of one machine. It is healthy if it is ready and neither cordoned nor ejected; that
// the plan excludes it changes nothing.
func (eng *Engine) machineStatus(now monotime.Micros, p *Pool, info EndpointInfo) maintenance.MachineStatus {
	e := p.byName[info.Name]
	ejected := e != nil && p.balancer.IsEjected(now, e.Number)
	kind := info.Kind
	if !slices.Contains(eng.config.Site.Kinds, kind) {
		kind = ""
	}
	return maintenance.MachineStatus{
		Name:     info.Name,
		Zone:     info.Zone,
		Kind:     kind,
		Cell:     int(info.Cell),
		Capacity: float64(info.Weight),
		Healthy:  info.State == balancer.Ready && !eng.cordons.Cordoned(info.Name) && !ejected,
	}
}

// fullEndpointList returns the full endpoint list by name, also where the instance uses a subset of it.
func (p *Pool) fullEndpointList() map[string]EndpointInfo {
	if p.subset != nil {
		return p.subset.endpoints
	}
	return p.endpointList
}

// utilizationWeight is the weight of one load report in the moving average of an endpoint's utilization.
const utilizationWeight = 0.1

// observeUtilization takes in the utilization, 0 to 1, of an endpoint's load report, if it has one.
func (p *Pool) observeUtilization(e *Endpoint, loadReport []float32) {
	i := slices.Index(p.engine.config.Site.Settings.LoadMetrics, balancer.MetricUtilization)
	if i < 0 || i >= len(loadReport) || !(loadReport[i] >= 0 && loadReport[i] <= 1) {
		return
	}
	e.utilization += (float64(loadReport[i]) - e.utilization) * utilizationWeight
}
