package processes

import (
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/monotime"
)

// discoveryEntry returns an endpoint's entry in the endpoint list of an instance.
func (r *run) discoveryEntry(
	endpointIndex, instanceIndex int, lifecycle string, startedAt monotime.Micros,
) discovery.Instance {
	planned := &r.plan.Endpoints[endpointIndex]
	entry := discovery.Instance{
		ID:      planned.Name,
		Address: r.endpoints[endpointIndex].listeners[instanceIndex].addr,
		Zone:    r.plan.Fleet.Zones[planned.Zone],
		Kind:    r.plan.Scenario.EndpointKinds[planned.Kind].Kind,
		Cell:    new(uint16(planned.Cell)), Lifecycle: lifecycle, Weight: float32(planned.Config.Cores)}
	if startedAt > 0 {
		entry.StartedMs = r.wallTime(startedAt).UnixMilli()
	}
	return entry
}

// discoveryEntries returns the endpoint list that an instance's discovery server provides at the start of the run.
func (r *run) discoveryEntries(instanceIndex int) (entries []discovery.Instance) {
	for endpointIndex := range r.plan.Endpoints {
		startedAt := monotime.Micros(0)
		if r.plan.Endpoints[endpointIndex].StartsWithRun {
			startedAt = 1
		}
		entries = append(entries, r.discoveryEntry(endpointIndex, instanceIndex, "up", startedAt))
	}
	return entries
}

// announceState makes all discovery servers announce an endpoint's state. The delay is drawn from the plan's range
// for that state, plus the extra delay of active events.
func (r *run) announceState(endpointIndex int, state balancer.EndpointState, vanished bool) {
	delays := &r.plan.Discovery
	delayRange := delays.ReadyDelay
	lifecycle := "up"
	switch {
	case vanished:
		delayRange = delays.MachineLostDelay
		lifecycle = "removed"
	case state == balancer.Draining:
		delayRange = delays.DrainDelay
		lifecycle = "draining"
	case state == balancer.Gone:
		delayRange = delays.ProcessEndDelay
		lifecycle = "removed"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryChanges++
	changedAt := r.now()
	minDelay := float64(delayRange.From.Microseconds())
	maxDelay := float64(delayRange.To.Microseconds())
	fraction := r.discoveryRand.For(uint64(endpointIndex), r.discoveryChanges).Float64()
	announceAt := changedAt + monotime.Micros(minDelay+(maxDelay-minDelay)*fraction) + r.discoveryDelay
	announceAt = max(announceAt, r.lastAnnounced[endpointIndex]+1)
	r.lastAnnounced[endpointIndex] = announceAt
	time.AfterFunc(time.Duration(announceAt-changedAt)*time.Microsecond, func() {
		for _, inst := range r.instances {
			inst.discoveryServer.Set(r.discoveryEntry(endpointIndex, inst.index, lifecycle, changedAt))
		}
	})
}
