package processes

import (
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/discovery"
	"dunlinsail/internal/monotime"
)

// discoveryEntry returns an endpoint's entry in the endpoint list of an instance.
func (r *run) discoveryEntry(n, instance int, lifecycle string, started monotime.Micros) discovery.Instance {
	p := &r.plan.Endpoints[n]
	e := discovery.Instance{
		ID:      p.Name,
		Address: r.endpoints[n].fronts[instance].addr,
		Zone:    r.plan.Fleet.Zones[p.Zone],
		Kind:    r.plan.Scenario.EndpointKinds[p.Kind].Kind,
		Cell:    uint16(p.Cell), Lifecycle: lifecycle, Weight: float32(p.Config.Cores)}
	if started > 0 {
		e.StartedMs = r.wallTime(started).UnixMilli()
	}
	return e
}

// discoveryEntries returns an instance's endpoint list at the start of the run.
func (r *run) discoveryEntries(instance int) (all []discovery.Instance) {
	for i := range r.plan.Endpoints {
		started := monotime.Micros(0)
		if r.plan.Endpoints[i].StartsWithRun {
			started = 1
		}
		all = append(all, r.discoveryEntry(i, instance, "up", started))
	}
	return all
}

// announceState has discovery announce an endpoint's state to all instances, after the plan's delay.
func (r *run) announceState(n int, state balancer.EndpointState, vanished bool) {
	d := &r.plan.Discovery
	after := d.Add
	lifecycle := "up"
	switch {
	case vanished:
		after = d.Silent
		lifecycle = "removed"
	case state == balancer.Draining:
		after = d.Drain
		lifecycle = "draining"
	case state == balancer.Gone:
		after = d.Gone
		lifecycle = "removed"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discoveryChanges++
	now := r.now()
	shortest := float64(after.From.Microseconds())
	longest := float64(after.To.Microseconds())
	chance := r.discoveryRand.For(uint64(n), r.discoveryChanges).Float64()
	announceAt := now + monotime.Micros(shortest+(longest-shortest)*chance) + r.discoveryDelay
	announceAt = max(announceAt, r.lastAnnounced[n]+1)
	r.lastAnnounced[n] = announceAt
	time.AfterFunc(time.Duration(announceAt-now)*time.Microsecond, func() {
		for _, in := range r.instances {
			in.discovery.Set(r.discoveryEntry(n, in.index, lifecycle, now))
		}
	})
}
