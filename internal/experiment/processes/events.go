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
	// minNeighborPeriod is the shortest time between two changes of a noisy neighbor's load, in microseconds.
	minNeighborPeriod monotime.Micros = 1_000_000
	// restartDelay is the downtime of a restarted instance for which the plan sets no downtime, in microseconds.
	restartDelay monotime.Micros = 1_000_000
)

// isPartitioned reports whether an active network partition separates two zones.
func (r *run) isPartitioned(zoneA, zoneB int) bool {
	if zoneA == zoneB {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, partition := range r.zonePartitions {
		if partition[0] == zoneA && (partition[1] < 0 || partition[1] == zoneB) ||
			partition[0] == zoneB && (partition[1] < 0 || partition[1] == zoneA) {
			return true
		}
	}
	return false
}

// applySilence silences all listeners whose endpoint their instance cannot reach now, and ends the silence of all
// others.
func (r *run) applySilence() {
	for _, e := range r.endpoints {
		if err := e.applySilence(); err != nil {
			r.fail(err)
		}
	}
}

// updateCondition sets an endpoint's condition to the combined effect of all events that are active now.
func (r *run) updateCondition(endpointIndex int) {
	var condition simendpoint.Condition
	now := r.now()
	for eventIndex := range r.plan.PlannedEvents {
		event := &r.plan.PlannedEvents[eventIndex]
		if now < event.At || now >= event.Until {
			continue
		}
		for position, affected := range event.Endpoints {
			if affected == endpointIndex {
				event.AddCondition(&condition, now, position, r.criteriaClassIndex)
			}
		}
	}
	r.endpoints[endpointIndex].applyCondition(condition)
}

// startEndpoint restarts an endpoint. An error ends the run.
func (r *run) startEndpoint(endpointIndex int) {
	if err := r.endpoints[endpointIndex].start(); err != nil {
		r.fail(fmt.Errorf("restart endpoint %d: %w", endpointIndex, err))
	}
}

// killEndpoint kills an endpoint's process and announces its state through discovery. If the whole machine
// vanishes, its sockets stay silent instead of being reset.
func (r *run) killEndpoint(endpointIndex int, vanished bool) {
	r.endpoints[endpointIndex].kill(vanished)
	r.announceState(endpointIndex, balancer.Gone, vanished)
}

// scheduledEvent schedules the steps of one planned event on timers of the run.
type scheduledEvent struct {
	*scenario.PlannedEvent
	run        *run
	ctx        context.Context // context of the run: its end cancels all pending steps
	background *sync.WaitGroup // counts the goroutines that wait for the time of a step
	runEnd     monotime.Micros
}

// scheduleEvents schedules all events of the plan and starts the random pauses of endpoints.
func (r *run) scheduleEvents(ctx context.Context, background *sync.WaitGroup) {
	for eventIndex := range r.plan.PlannedEvents {
		event := scheduledEvent{
			PlannedEvent: &r.plan.PlannedEvents[eventIndex],
			run:          r,
			ctx:          ctx,
			background:   background,
			runEnd:       r.plan.Length.Micros(),
		}
		event.schedule()
	}
	for endpointIndex := range r.endpoints {
		if planned := r.endpoints[endpointIndex].planned; planned.PauseEvery > 0 && planned.PauseFor > 0 {
			background.Go(func() { r.runRandomPauses(ctx, endpointIndex) })
		}
	}
}

// runAt calls step at the given time of the run.
func (e *scheduledEvent) runAt(instant monotime.Micros, step func()) {
	e.run.scheduleAt(e.ctx, e.background, instant, step)
}

// runAtEnd calls step when the event has ended, unless the run ends earlier.
func (e *scheduledEvent) runAtEnd(step func()) {
	if e.Until < math.MaxInt64 && e.Until < e.runEnd {
		e.runAt(e.Until+1, step)
	}
}

// forEachEndpoint returns a step that calls callback for every endpoint of the event.
func (e *scheduledEvent) forEachEndpoint(callback func(endpointIndex int)) func() {
	return func() {
		for _, endpointIndex := range e.Endpoints {
			callback(endpointIndex)
		}
	}
}

func (e *scheduledEvent) schedule() {
	switch e.What {
	case scenario.EventSlow, scenario.EventErrors, scenario.EventUnanswered, scenario.EventRejecting,
		scenario.EventFalseReports, scenario.EventInvalidReports, scenario.EventLateReports:
		e.runAt(e.At, e.forEachEndpoint(e.run.updateCondition))
		e.runAtEnd(e.forEachEndpoint(e.run.updateCondition))
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

// scheduleNeighbor updates the condition of the event's endpoints whenever the load of the noisy neighbor changes.
func (e *scheduledEvent) scheduleNeighbor() {
	for changeAt := e.At; changeAt < min(e.Until, e.runEnd); changeAt += max(e.Every, minNeighborPeriod) {
		e.runAt(changeAt, e.forEachEndpoint(e.run.updateCondition))
		if e.Every <= 0 {
			break
		}
	}
	e.runAtEnd(e.forEachEndpoint(e.run.updateCondition))
}

// scheduleEndpointEvent schedules an event that pauses, drains, kills or restarts endpoints.
func (e *scheduledEvent) scheduleEndpointEvent() {
	r := e.run
	switch e.What {
	case scenario.EventPause:
		e.runAt(e.At, e.forEachEndpoint(func(endpointIndex int) { r.endpoints[endpointIndex].pause(e.Until - e.At) }))
	case scenario.EventDrain:
		e.runAt(e.At, e.forEachEndpoint(func(endpointIndex int) { r.endpoints[endpointIndex].drain() }))
		e.runAtEnd(e.forEachEndpoint(r.startEndpoint))
	case scenario.EventKill:
		e.runAt(e.At, e.forEachEndpoint(func(endpointIndex int) { r.killEndpoint(endpointIndex, false) }))
		e.runAtEnd(e.forEachEndpoint(r.startEndpoint))
	case scenario.EventMachineLost:
		e.runAt(e.At, e.forEachEndpoint(func(endpointIndex int) { r.killEndpoint(endpointIndex, true) }))
		e.runAtEnd(e.forEachEndpoint(r.startEndpoint))
	case scenario.EventRollingRestart:
		for position, endpointIndex := range e.Endpoints {
			if restartAt := e.At + monotime.Micros(position)*e.Every; restartAt < min(e.Until, e.runEnd) {
				e.runAt(restartAt, func() { r.endpoints[endpointIndex].drain() })
				e.runAt(restartAt+e.Every, func() { r.startEndpoint(endpointIndex) })
			}
		}
	}
}

// scheduleNetworkEvent schedules a network partition between zones, or blocked paths between instances and
// endpoints.
func (e *scheduledEvent) scheduleNetworkEvent() {
	r := e.run
	if e.What == scenario.EventPathBlocked {
		e.runAt(e.At, r.applySilence)
		e.runAtEnd(r.applySilence)
		return
	}
	zones := [2]int{e.Zone, e.OtherZone}
	e.runAt(e.At, func() {
		r.updateCounts(func(*counts) { r.zonePartitions = append(r.zonePartitions, zones) })
		r.applySilence()
	})
	e.runAtEnd(func() {
		r.updateCounts(func(*counts) {
			if partitionIndex := slices.Index(r.zonePartitions, zones); partitionIndex >= 0 {
				r.zonePartitions = append(
					r.zonePartitions[:partitionIndex:partitionIndex], r.zonePartitions[partitionIndex+1:]...,
				)
			}
		})
		r.applySilence()
	})
}

// scheduleDiscoveryEvent schedules delayed discovery announcements, or discovery servers that send nothing.
func (e *scheduledEvent) scheduleDiscoveryEvent() {
	r := e.run
	switch e.What {
	case scenario.EventDiscoveryDelay:
		e.runAt(e.At, func() { r.updateCounts(func(*counts) { r.discoveryDelay += e.Delay }) })
		e.runAtEnd(func() { r.updateCounts(func(*counts) { r.discoveryDelay -= e.Delay }) })
	case scenario.EventDiscoverySilent:
		setSilent := func(silent bool) {
			for _, inst := range r.instances {
				inst.discoveryServer.SetSilent(silent)
			}
		}
		e.runAt(e.At, func() { setSilent(true) })
		e.runAtEnd(func() { setSilent(false) })
	case scenario.EventWatchBlocked:
		setSilent := func(silent bool) {
			for _, instanceIndex := range e.Instances {
				r.instances[instanceIndex].discoveryServer.SetSilent(silent)
			}
		}
		e.runAt(e.At, func() { setSilent(true) })
		e.runAtEnd(func() { setSilent(false) })
	}
}

// scheduleInstanceEvent schedules an event that affects the load balancer's instances or is caused by an operator.
func (e *scheduledEvent) scheduleInstanceEvent() {
	r := e.run
	switch e.What {
	case scenario.EventInstanceRestart, scenario.EventPowerCut:
		e.scheduleRestart()
	case scenario.EventDemandOverstated:
		e.runAt(e.At, func() {
			stop, err := r.startMisreporter(e.Sizes[0])
			if err != nil {
				r.fail(err)
				return
			}
			e.runAt(min(e.Until, e.runEnd), stop)
		})
	case scenario.EventTenantLimits:
		e.runAt(e.At, func() { r.scaleTenantLimits(e.Instances, e.Sizes[0]) })
		e.runAtEnd(func() { r.scaleTenantLimits(e.Instances, 1) })
	case scenario.EventMaintenance:
		e.runAt(e.At, func() { r.runMaintenance(e.ctx, e.PlannedEvent) })
	case scenario.EventHotRestart:
		e.runAt(e.At, func() {
			for _, instanceIndex := range e.Instances {
				r.hotRestart(r.instances[instanceIndex])
			}
		})
	case scenario.EventInstanceFreeze:
		for suspendAt := e.At; suspendAt < min(e.Until, e.runEnd); suspendAt += 2 * e.Every {
			resumeAt, _ := e.Frozen(suspendAt)
			e.runAt(suspendAt, func() { r.suspendInstances(e.Instances, resumeAt) })
			e.runAt(resumeAt, func() { r.resumeInstances(e.Instances) })
			if e.Every <= 0 {
				break
			}
		}
	}
}

// scheduleRestart kills the instances of the event and restarts them later. In a power cut it kills and restarts
// all endpoints, too.
func (e *scheduledEvent) scheduleRestart() {
	r := e.run
	powerFails := e.What == scenario.EventPowerCut
	e.runAt(e.At, func() {
		if powerFails {
			for index := range r.endpoints {
				r.killEndpoint(index, false)
			}
		}
		for _, index := range e.Instances {
			r.instances[index].kill()
		}
	})
	restart := func() {
		if powerFails {
			for index := range r.endpoints {
				r.startEndpoint(index)
			}
		}
		for _, index := range e.Instances {
			if err := r.launch(r.instances[index]); err != nil {
				r.fail(err)
			}
		}
	}
	if e.Until < math.MaxInt64 {
		e.runAtEnd(restart)
	} else {
		e.runAt(e.At+restartDelay, restart)
	}
}

// runRandomPauses pauses an endpoint at random intervals. The pauses start at the same times of the run as in the
// simulation.
func (r *run) runRandomPauses(ctx context.Context, endpointIndex int) {
	planned := r.endpoints[endpointIndex].planned
	stream := randstream.New(r.plan.Seed, "pauses")
	pauseAt := monotime.Micros(0)
	for pauseNumber := uint64(1); ; pauseNumber++ {
		pauseAt += 1 + monotime.Micros(
			stream.For(uint64(endpointIndex), pauseNumber).ExpFloat64()*float64(planned.PauseEvery))
		if pauseAt >= r.plan.Length.Micros() {
			return
		}
		timer := time.NewTimer(time.Until(r.wallTime(pauseAt)))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		r.endpoints[endpointIndex].pause(monotime.Micros(
			stream.For(uint64(endpointIndex), pauseNumber, 1).ExpFloat64() * float64(planned.PauseFor)))
	}
}
