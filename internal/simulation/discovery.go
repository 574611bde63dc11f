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

// discoveryService is the source of the instances' endpoint lists. It has the states of endpoints of which it has been
// notified.
type discoveryService struct {
	run                *run
	endpoints          []engine.EndpointInfo // by index, the latest known
	generation         int64
	extraDelay         monotime.Micros // by which notifications of endpoints arrive later
	silent             bool            // it sends nothing
	withheldEvents     []*watchEvent   // events to send once it is no longer silent
	dedupGroups        map[int]*simendpoint.DedupGroup
	delayRand          *randstream.Stream
	notificationCount  uint64
	fullList           []engine.EndpointInfo // complete list of fullListGeneration
	fullListGeneration int64
	lastNotificationAt []monotime.Micros // by endpoint, when its latest notification arrives
}

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

// dedupGroup returns the deduplication state that a cell's endpoints share. It remembers keys for the longest window of
// a class.
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

// endpointInfo is the list entry of an endpoint. Its address is its index.
func (d *discoveryService) endpointInfo(index int, state balancer.EndpointState) engine.EndpointInfo {
	planned := &d.run.plan.Endpoints[index]
	return engine.EndpointInfo{
		Name:   planned.Name,
		Addr:   strconv.Itoa(index),
		Zone:   d.run.plan.Fleet.Zones[planned.Zone],
		Kind:   d.run.plan.Scenario.EndpointKinds[planned.Kind].Kind,
		Cell:   uint16(planned.Cell),
		State:  state,
		Weight: float32(planned.Config.Cores),
	}
}

// watchEvent is an update of the endpoint list on its way to an instance.
type watchEvent struct {
	instance    *instance
	incarnation uint32
	update      engine.EndpointUpdate
}

// endpointChanged notifies discovery of an endpoint's new state, after the delay that the scenario gives. vanished: the
// machine is lost, and discovery finds out by its silence.
func (d *discoveryService) endpointChanged(index int, state balancer.EndpointState, vanished bool) {
	r := d.run
	delays := &d.run.plan.Discovery
	delayRange := delays.Add
	switch {
	case vanished:
		delayRange = delays.Silent
	case state == balancer.Draining:
		delayRange = delays.Drain
	case state == balancer.Gone:
		delayRange = delays.Gone
	}
	d.notificationCount++
	minDelay := float64(delayRange.From.Microseconds())
	maxDelay := float64(delayRange.To.Microseconds())
	arrivesAt := r.now + monotime.Micros(minDelay+(maxDelay-minDelay)*
		d.delayRand.For(uint64(index), d.notificationCount).Float64()) + d.extraDelay
	arrivesAt = max(arrivesAt, d.lastNotificationAt[index]+1) // its messages keep their order
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

// send sends a watch event to its instance. Events of an instance arrive in order.
func (d *discoveryService) send(event *watchEvent) {
	in := event.instance
	maxSpread := float64(d.run.plan.Discovery.Spread.Micros())
	in.lastWatchEventAt = max(in.lastWatchEventAt+1,
		d.run.now+1+monotime.Micros(maxSpread*d.delayRand.For(uint64(in.index)|1<<62, uint64(d.generation)).Float64()))
	d.run.events.push(in.lastWatchEventAt, watchEventArrives, 0, event)
}

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

// resumeDiscovery removes one cause that blocked discovery's events. After the last one the instance gets the events
// that it missed, or the complete list if it has none.
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

// updateEndpoints gives an update of the list to the instance's engine.
func (in *instance) updateEndpoints(update engine.EndpointUpdate) {
	in.hasEndpointList = true
	for _, info := range update.Endpoints {
		index, err := strconv.Atoi(info.Addr)
		if err != nil {
			panic(err) // endpointInfo wrote it
		}
		if info.State == balancer.Ready {
			delete(in.leavingSince, index)
		} else if _, known := in.leavingSince[index]; !known {
			in.leavingSince[index] = in.run.now
		}
	}
	in.pool.UpdateEndpoints(in.localTime(), update)
}

// subscribedTo reports whether the instance's list has an endpoint.
func (in *instance) subscribedTo(index int) bool {
	subset := in.run.plan.Instances[in.index].Endpoints
	if subset == nil {
		return true
	}
	_, found := slices.BinarySearch(subset, index)
	return found
}

// snapshot is the complete endpoint list for an instance.
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

// pollDelay is the time in microseconds from a poll to its answer.
const pollDelay = 1000

// setWatch answers the poll of a balancer that has to poll: with the complete list, or with a failure while discovery
// is silent.
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

// resume sends what was held back while discovery was silent.
func (d *discoveryService) resume() {
	d.silent = false
	for _, event := range d.withheldEvents {
		if event.incarnation == event.instance.incarnation {
			d.send(event)
		}
	}
	d.withheldEvents = nil
	for _, in := range d.run.instances { // those that started meanwhile have no list
		if !in.down && !in.hasEndpointList {
			d.send(&watchEvent{instance: in, incarnation: in.incarnation, update: d.snapshot(in)})
		}
	}
}
