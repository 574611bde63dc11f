package simulation

import (
	"slices"
	"strconv"

	"dunlinsail/balancer"
	"dunlinsail/internal/engine"
	"dunlinsail/internal/monotime"
	"dunlinsail/internal/simulation/randstream"
	"dunlinsail/internal/simulation/simendpoint"
)

// discoveryService sends endpoint lists to the instances. It knows the latest state of each endpoint that a
// notification has reported to it.
type discoveryService struct {
	run                *run
	endpoints          []engine.EndpointInfo           // latest known list entry of each endpoint, by endpoint index
	generation         int64                           // generation of the endpoint list, increased with each change
	extraDelay         monotime.Micros                 // additional delay of notifications from endpoints
	silent             bool                            // discovery sends no updates
	withheldEvents     []*watchEvent                   // events to send when discovery is no longer silent
	dedupGroups        map[int]*simendpoint.DedupGroup // deduplication state shared by the endpoints of a cell, by cell
	delayRand          *randstream.Stream              // random delays of notifications and watch events
	notificationCount  uint64                          // notifications from endpoints so far
	fullList           []engine.EndpointInfo           // cached complete list of generation fullListGeneration
	fullListGeneration int64                           // generation at which fullList was built
	lastNotificationAt []monotime.Micros               // arrival time of the latest notification, by endpoint index
}

// newDiscoveryService returns a discovery service that knows all endpoints of the plan as ready.
func newDiscoveryService(r *run) *discoveryService {
	d := &discoveryService{
		run:                r,
		dedupGroups:        map[int]*simendpoint.DedupGroup{},
		delayRand:          randstream.New(r.plan.Seed, "discovery"),
		generation:         1,
		lastNotificationAt: make([]monotime.Micros, len(r.plan.Endpoints)),
	}
	for i := range r.plan.Endpoints {
		info := d.endpointInfo(i, balancer.Ready)
		if r.plan.Endpoints[i].StartsWithRun {
			info.StartedAt = clockOrigin
		}
		d.endpoints = append(d.endpoints, info)
	}
	return d
}

// dedupGroup returns the deduplication state that the endpoints of a cell share. It keeps idempotency keys
// for the longest deduplication window of any class.
func (d *discoveryService) dedupGroup(cell int) *simendpoint.DedupGroup {
	if d.dedupGroups[cell] == nil {
		var window monotime.Micros
		for _, class := range d.run.options.Criteria.Classes {
			if class.Idempotency == balancer.IdempotentByKey {
				window = max(window, class.DedupWindow)
			}
		}
		d.dedupGroups[cell] = simendpoint.NewDedupGroup(window)
	}
	return d.dedupGroups[cell]
}

// endpointInfo returns the list entry of an endpoint. Its address is the endpoint's index.
func (d *discoveryService) endpointInfo(index int, state balancer.EndpointState) engine.EndpointInfo {
	planned := &d.run.plan.Endpoints[index]
	return engine.EndpointInfo{
		Name:      planned.Name,
		Addr:      strconv.Itoa(index),
		Zone:      d.run.plan.Fleet.Zones[planned.Zone],
		Kind:      d.run.plan.Scenario.EndpointKinds[planned.Kind].Kind,
		Cell:      uint16(planned.Cell),
		CellKnown: true,
		State:     state,
		Weight:    float32(planned.Config.Cores),
	}
}

// watchEvent is an update of the endpoint list that is being sent to an instance.
type watchEvent struct {
	instance    *instance
	incarnation uint32 // incarnation of the instance when the event was sent
	update      engine.EndpointUpdate
}

// endpointChanged notifies discovery of an endpoint's new state, after the delay of the plan. vanished means
// that the machine is lost without a notification, so that discovery notices it only by a timeout.
func (d *discoveryService) endpointChanged(index int, state balancer.EndpointState, vanished bool) {
	r := d.run
	delays := &d.run.plan.Discovery
	delayRange := delays.ReadyDelay
	switch {
	case vanished:
		delayRange = delays.MachineLostDelay
	case state == balancer.Draining:
		delayRange = delays.DrainDelay
	case state == balancer.Gone:
		delayRange = delays.ProcessEndDelay
	}
	d.notificationCount++
	minDelay := float64(delayRange.From.Microseconds())
	maxDelay := float64(delayRange.To.Microseconds())
	arrivesAt := r.now + monotime.Micros(minDelay+(maxDelay-minDelay)*
		d.delayRand.For(uint64(index), d.notificationCount).Float64()) + d.extraDelay
	arrivesAt = max(arrivesAt, d.lastNotificationAt[index]+1) // notifications of an endpoint arrive in order
	d.lastNotificationAt[index] = arrivesAt
	info := d.endpointInfo(index, state)
	if state == balancer.Ready {
		info.StartedAt = clockOrigin + r.now
	}
	r.events.push(arrivesAt, discoveryNotified, uint32(index), info)
}

// publish records an endpoint's new state and sends it to the subscribed instances.
func (d *discoveryService) publish(index int, info engine.EndpointInfo) {
	d.endpoints[index] = info
	d.generation++
	changedEndpoints := []engine.EndpointInfo{info}
	for _, in := range d.run.instances {
		if !in.subscribedTo(index) {
			continue
		}
		event := &watchEvent{
			instance:    in,
			incarnation: in.incarnation,
			update: engine.EndpointUpdate{
				Kind:       balancer.ListDelta,
				Generation: d.generation,
				Endpoints:  changedEndpoints,
			},
		}
		if d.silent {
			d.withheldEvents = append(d.withheldEvents, event)
			continue
		}
		d.send(event)
	}
}

// send sends a watch event to its instance. The events of an instance arrive in order.
func (d *discoveryService) send(event *watchEvent) {
	in := event.instance
	maxSpread := float64(d.run.plan.Discovery.UpdateSpread.Micros())
	in.lastWatchEventAt = max(in.lastWatchEventAt+1,
		d.run.now+1+monotime.Micros(maxSpread*d.delayRand.For(uint64(in.index)|1<<62, uint64(d.generation)).Float64()))
	d.run.events.push(in.lastWatchEventAt, watchEventArrives, 0, event)
}

// arrive delivers the event to its instance, or keeps it while discovery's events are blocked there.
func (w *watchEvent) arrive() {
	if w.instance.down || w.incarnation != w.instance.incarnation {
		return
	}
	if w.instance.discoveryBlocks > 0 {
		w.instance.blockedEvents = append(w.instance.blockedEvents, w)
		return
	}
	w.instance.updateEndpoints(w.update)
	w.instance.advanceEngine()
}

// resumeDiscovery removes one cause that blocks discovery's events at the instance. When no cause is left,
// the instance receives the blocked events, or the complete list if it has no list yet.
func (in *instance) resumeDiscovery() {
	if in.discoveryBlocks--; in.discoveryBlocks > 0 || in.down {
		return
	}
	blockedEvents := in.blockedEvents
	in.blockedEvents = nil
	if !in.hasEndpointList {
		in.updateEndpoints(in.run.discovery.snapshot(in))
		in.advanceEngine()
		return
	}
	for _, w := range blockedEvents {
		w.arrive()
	}
}

// updateEndpoints passes an update of the endpoint list to the instance's engine.
func (in *instance) updateEndpoints(update engine.EndpointUpdate) {
	in.hasEndpointList = true
	for _, info := range update.Endpoints {
		index, err := strconv.Atoi(info.Addr)
		if err != nil {
			panic(err) // endpointInfo sets the address to a number
		}
		if info.State == balancer.Ready {
			delete(in.leavingSince, index)
		} else if _, known := in.leavingSince[index]; !known {
			in.leavingSince[index] = in.run.now
		}
	}
	in.pool.UpdateEndpoints(in.localTime(), update)
}

// subscribedTo reports whether the instance receives the state of an endpoint.
func (in *instance) subscribedTo(index int) bool {
	subset := in.run.plan.Instances[in.index].Endpoints
	if subset == nil {
		return true
	}
	_, found := slices.BinarySearch(subset, index)
	return found
}

// snapshot returns the complete endpoint list for an instance.
func (d *discoveryService) snapshot(in *instance) engine.EndpointUpdate {
	update := engine.EndpointUpdate{Kind: balancer.ListFull, Generation: d.generation}
	if subset := d.run.plan.Instances[in.index].Endpoints; subset != nil {
		for _, index := range subset {
			if d.endpoints[index].State != balancer.Gone {
				update.Endpoints = append(update.Endpoints, d.endpoints[index])
			}
		}
		return update
	}
	if d.fullList == nil || d.fullListGeneration != d.generation {
		var listed []engine.EndpointInfo
		for _, info := range d.endpoints {
			if info.State != balancer.Gone {
				listed = append(listed, info)
			}
		}
		d.fullList = listed
		d.fullListGeneration = d.generation
	}
	update.Endpoints = d.fullList
	return update
}

// pollDelay is the time in microseconds between a poll and its response.
const pollDelay = 1000

// setWatch simulates the response to a poll, for settings that let instances poll: the complete endpoint
// list, or a failure while discovery is silent. The engine calls it with enabled true to start watching.
func (in *instance) setWatch(enabled bool) {
	if !enabled || !in.run.settings.Site.Settings.Subscribe {
		return
	}
	discovery := in.run.discovery
	event := &watchEvent{instance: in, incarnation: in.incarnation, update: discovery.snapshot(in)}
	if discovery.silent {
		event.update = engine.EndpointUpdate{Kind: balancer.ListFailed}
	}
	in.run.events.push(in.run.now+pollDelay, watchEventArrives, 0, event)
}

// resume ends discovery's silence and sends the withheld events.
func (d *discoveryService) resume() {
	d.silent = false
	for _, event := range d.withheldEvents {
		if event.incarnation == event.instance.incarnation {
			d.send(event)
		}
	}
	d.withheldEvents = nil
	for _, in := range d.run.instances { // instances that started during the silence have no list
		if !in.down && !in.hasEndpointList {
			d.send(&watchEvent{instance: in, incarnation: in.incarnation, update: d.snapshot(in)})
		}
	}
}
