package processes

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"dunlinsail/balancer"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/scenario"
	"dunlinsail/internal/simulation/simendpoint"
)

const (
	// minNeighborPeriod bounds how often the load of a noisy neighbor is changed, in microseconds.
	minNeighborPeriod monotime.Micros = 1_000_000
	// restartDelay is the downtime of a restarted instance where the plan sets none, in microseconds.
	restartDelay monotime.Micros = 1_000_000
)

// isPartitioned reports whether a network partition separates two zones now.
func (r *run) isPartitioned(a, b int) bool {
	if a == b {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.cuts {
		if c[0] == a && (c[1] < 0 || c[1] == b) || c[0] == b && (c[1] < 0 || c[1] == a) {
			return true
		}
	}
	return false
}

// applySilence silences the listeners of endpoints that are unreachable now, and opens all others.
func (r *run) applySilence() {
	for _, e := range r.endpoints {
		if err := e.applySilence(); err != nil {
			r.fail(err)
		}
	}
}

// updateCondition sets an endpoint's faults to the sum of all events that are active now.
func (r *run) updateCondition(n int) {
	var c simendpoint.Condition
	now := r.now()
	for i := range r.plan.PlannedEvents {
		event := &r.plan.PlannedEvents[i]
		if now < event.At || now >= event.Until {
			continue
		}
		for j, endpoint := range event.Endpoints {
			if endpoint == n {
				event.AddCondition(&c, now, j, r.criteriaClass)
			}
		}
	}
	r.endpoints[n].setCondition(c)
}

// startEndpoint starts an endpoint again; an error ends the run.
func (r *run) startEndpoint(n int) {
	if err := r.endpoints[n].start(); err != nil {
		r.fail(fmt.Errorf("endpoint %d does not start again: %w", n, err))
	}
}

// killEndpoint kills an endpoint's process, and has discovery notice. Where the whole machine vanishes its sockets
// stay silent instead of being reset.
func (r *run) killEndpoint(n int, vanished bool) {
	r.endpoints[n].kill(vanished)
	r.announceState(n, balancer.Gone, vanished)
}

// scheduledEvent schedules the steps of one planned event on timers of the run.
type scheduledEvent struct {
	*scenario.PlannedEvent
	run        *run
	ctx        context.Context // of the run: its end cancels steps that are still to come
	background *sync.WaitGroup // of the goroutines that wait for a step
	runEnd     monotime.Micros
}

// scheduleEvents schedules all events of the plan, and the pauses that endpoints have at random.
func (r *run) scheduleEvents(ctx context.Context, background *sync.WaitGroup) {
	for i := range r.plan.PlannedEvents {
		e := scheduledEvent{
			PlannedEvent: &r.plan.PlannedEvents[i],
			run:          r,
			ctx:          ctx,
			background:   background,
			runEnd:       r.plan.Length.Micros(),
		}
		e.schedule()
	}
	for n := range r.endpoints {
		if p := r.endpoints[n].plan; p.PauseEvery > 0 && p.PauseFor > 0 {
			background.Go(func() { r.runRandomPauses(ctx, n) })
		}
	}
}

// at calls step at an instant of the run.
func (e *scheduledEvent) at(instant monotime.Micros, step func()) {
	e.run.scheduleAt(e.ctx, e.background, instant, step)
}

// atEnd calls step once the event is over, unless the run ends before.
func (e *scheduledEvent) atEnd(step func()) {
	if e.Until < math.MaxInt64 && e.Until < e.runEnd {
		e.at(e.Until+1, step)
	}
}

// eachEndpoint returns a step that calls f for every endpoint of the event.
func (e *scheduledEvent) eachEndpoint(f func(n int)) func() {
	return func() {
		for _, n := range e.Endpoints {
			f(n)
		}
	}
}

func (e *scheduledEvent) schedule() {
	switch e.What {
	case scenario.EventSlow, scenario.EventErrors, scenario.EventUnanswered, scenario.EventRejecting,
		scenario.EventFalseReports, scenario.EventInvalidReports, scenario.EventLateReports:
		e.at(e.At, e.eachEndpoint(e.run.updateCondition))
		e.atEnd(e.eachEndpoint(e.run.updateCondition))
	case scenario.EventNeighbour:
		e.scheduleNeighbor()
	case scenario.EventPause, scenario.EventDrain, scenario.EventKill, scenario.EventMachineLost,
		scenario.EventRollingRestart:
		e.scheduleEndpointEvent()
	case scenario.EventZonePartition, scenario.EventPathBlocked:
		e.scheduleNetworkEvent()
	case scenario.EventDiscoveryDelay, scenario.EventDiscoverySilent, scenario.EventWatchBlocked:
		e.scheduleDiscoveryEvent()
	default:
		e.scheduleInstanceEvent()
	}
}

// scheduleNeighbor updates the endpoints' condition each time that the neighbor's load changes.
func (e *scheduledEvent) scheduleNeighbor() {
	for at := e.At; at < min(e.Until, e.runEnd); at += max(e.Every, minNeighborPeriod) {
		e.at(at, e.eachEndpoint(e.run.updateCondition))
		if e.Every <= 0 {
			break
		}
	}
	e.atEnd(e.eachEndpoint(e.run.updateCondition))
}

// scheduleEndpointEvent schedules what happens to the processes of endpoints.
func (e *scheduledEvent) scheduleEndpointEvent() {
	r := e.run
	switch e.What {
	case scenario.EventPause:
		e.at(e.At, e.eachEndpoint(func(n int) { r.endpoints[n].pause(e.Until - e.At) }))
	case scenario.EventDrain:
		e.at(e.At, e.eachEndpoint(func(n int) { r.endpoints[n].drain() }))
		e.atEnd(e.eachEndpoint(r.startEndpoint))
	case scenario.EventKill:
		e.at(e.At, e.eachEndpoint(func(n int) { r.killEndpoint(n, false) }))
		e.atEnd(e.eachEndpoint(r.startEndpoint))
	case scenario.EventMachineLost:
		e.at(e.At, e.eachEndpoint(func(n int) { r.killEndpoint(n, true) }))
		e.atEnd(e.eachEndpoint(r.startEndpoint))
	case scenario.EventRollingRestart:
		for k, n := range e.Endpoints {
			if at := e.At + monotime.Micros(k)*e.Every; at < min(e.Until, e.runEnd) {
				e.at(at, func() { r.endpoints[n].drain() })
				e.at(at+e.Every, func() { r.startEndpoint(n) })
			}
		}
	}
}

// scheduleNetworkEvent schedules partitions between zones, and between instances and endpoints.
func (e *scheduledEvent) scheduleNetworkEvent() {
	r := e.run
	if e.What == scenario.EventPathBlocked {
		e.at(e.At, r.applySilence)
		e.atEnd(r.applySilence)
		return
	}
	zones := [2]int{e.Zone, e.To}
	e.at(e.At, func() {
		r.updateCounts(func(*counts) { r.cuts = append(r.cuts, zones) })
		r.applySilence()
	})
	e.atEnd(func() {
		r.updateCounts(func(*counts) {
			if i := slices.Index(r.cuts, zones); i >= 0 {
				r.cuts = append(r.cuts[:i:i], r.cuts[i+1:]...)
			}
		})
		r.applySilence()
	})
}

// scheduleDiscoveryEvent schedules late announcements, and discovery servers that send nothing.
func (e *scheduledEvent) scheduleDiscoveryEvent() {
	r := e.run
	switch e.What {
	case scenario.EventDiscoveryDelay:
		e.at(e.At, func() { r.updateCounts(func(*counts) { r.discoveryDelay += e.Delay }) })
		e.atEnd(func() { r.updateCounts(func(*counts) { r.discoveryDelay -= e.Delay }) })
	case scenario.EventDiscoverySilent:
		silence := func(silent bool) {
			for _, in := range r.instances {
				in.discovery.SetSilent(silent)
			}
		}
		e.at(e.At, func() { silence(true) })
		e.atEnd(func() { silence(false) })
	case scenario.EventWatchBlocked:
		silence := func(silent bool) {
			for _, n := range e.Instances {
				r.instances[n].discovery.SetSilent(silent)
			}
		}
		e.at(e.At, func() { silence(true) })
		e.atEnd(func() { silence(false) })
	}
}

// scheduleInstanceEvent schedules what happens to the load balancer's instances and their operators.
func (e *scheduledEvent) scheduleInstanceEvent() {
	r := e.run
	switch e.What {
	case scenario.EventInstanceRestart, scenario.EventPowerCut:
		e.scheduleRestart()
	case scenario.EventDemandOverstated:
		e.at(e.At, func() {
			stop, err := r.startMisreporter(e.Sizes[0])
			if err != nil {
				r.fail(err)
				return
			}
			e.at(min(e.Until, e.runEnd), stop)
		})
	case scenario.EventTenantLimits:
		e.at(e.At, func() { r.scaleTenantLimits(e.Instances, e.Sizes[0]) })
		e.atEnd(func() { r.scaleTenantLimits(e.Instances, 1) })
	case scenario.EventMaintenance:
		e.at(e.At, func() { r.runMaintenance(e.ctx, e.PlannedEvent) })
	case scenario.EventHotRestart:
		e.at(e.At, func() {
			for _, n := range e.Instances {
				r.upgrade(r.instances[n])
			}
		})
	case scenario.EventInstanceFreeze:
		for at := e.At; at < min(e.Until, e.runEnd); at += 2 * e.Every {
			until, _ := e.Frozen(at)
			e.at(at, func() { r.freeze(e.Instances, until) })
			e.at(until, func() { r.thaw(e.Instances) })
			if e.Every <= 0 {
				break
			}
		}
	}
}

// scheduleRestart kills instances, and all endpoints where the power fails, and starts them again.
func (e *scheduledEvent) scheduleRestart() {
	r := e.run
	powerFails := e.What == scenario.EventPowerCut
	e.at(e.At, func() {
		if powerFails {
			for n := range r.endpoints {
				r.killEndpoint(n, false)
			}
		}
		for _, n := range e.Instances {
			r.instances[n].kill()
		}
	})
	restart := func() {
		if powerFails {
			for n := range r.endpoints {
				r.startEndpoint(n)
			}
		}
		for _, n := range e.Instances {
			if err := r.launch(r.instances[n]); err != nil {
				r.fail(err)
			}
		}
	}
	if e.Until < math.MaxInt64 {
		e.atEnd(restart)
	} else {
		e.at(e.At+restartDelay, restart)
	}
}

// runRandomPauses pauses an endpoint now and then, at the same instants as in the simulation.
func (r *run) runRandomPauses(ctx context.Context, n int) {
	p := r.endpoints[n].plan
	stream := randstream.New(r.plan.Seed, "pauses")
	at := monotime.Micros(0)
	for k := uint64(1); ; k++ {
		at += 1 + monotime.Micros(stream.For(uint64(n), k).ExpFloat64()*float64(p.PauseEvery))
		if at >= r.plan.Length.Micros() {
			return
		}
		timer := time.NewTimer(time.Until(r.wallTime(at)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.endpoints[n].pause(monotime.Micros(stream.For(uint64(n), k, 1).ExpFloat64() * float64(p.PauseFor)))
	}
}
