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
	heldBack           []*watchEvent   // events to send once it is no longer silent
	dedupGroups        map[int]*simendpoint.DedupGroup
	random             *randstream.Stream
	changes            uint64
	fullList           []engine.EndpointInfo // complete list of fullListGeneration
	fullListGeneration int64
	lastChangeAt       []monotime.Micros // by endpoint, when its latest notification arrives
}

func newDiscoveryService(r *run) *discoveryService {
	t := &discoveryService{
		run:          r,
		dedupGroups:  map[int]*simendpoint.DedupGroup{},
		random:       randstream.New(r.plan.Seed, "discovery"),
		generation:   1,
		lastChangeAt: make([]monotime.Micros, len(r.plan.Endpoints)),
	}
	for i := range r.plan.Endpoints {
		m := t.endpointInfo(i, balancer.Ready)
		if r.plan.Endpoints[i].StartsWithRun {
			m.StartedAt = clockOrigin
		}
		t.endpoints = append(t.endpoints, m)
	}
	return t
}

// dedupGroup returns the deduplication state that a cell's endpoints share. It remembers keys for the longest window of
// a class.
func (t *discoveryService) dedupGroup(cell int) *simendpoint.DedupGroup {
	if t.dedupGroups[cell] == nil {
		var window monotime.Micros
		for _, c := range t.run.options.Criteria.Classes {
			if c.Idempotency == balancer.IdempotentByKey {
				window = max(window, c.DedupWindow)
			}
		}
		t.dedupGroups[cell] = simendpoint.NewDedupGroup(window)
	}
	return t.dedupGroups[cell]
}

// endpointInfo is the list entry of an endpoint. Its address is its index.
func (t *discoveryService) endpointInfo(n int, state balancer.EndpointState) engine.EndpointInfo {
	p := &t.run.plan.Endpoints[n]
	return engine.EndpointInfo{
		Name:   p.Name,
		Addr:   strconv.Itoa(n),
		Zone:   t.run.plan.Fleet.Zones[p.Zone],
		Kind:   t.run.plan.Scenario.EndpointKinds[p.Kind].Kind,
		Cell:   uint16(p.Cell),
		State:  state,
		Weight: float32(p.Config.Cores),
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
func (t *discoveryService) endpointChanged(n int, state balancer.EndpointState, vanished bool) {
	r := t.run
	d := &t.run.plan.Discovery
	after := d.Add
	switch {
	case vanished:
		after = d.Silent
	case state == balancer.Draining:
		after = d.Drain
	case state == balancer.Gone:
		after = d.Gone
	}
	t.changes++
	lo := float64(after.From.Microseconds())
	hi := float64(after.To.Microseconds())
	arrivesAt := r.now + monotime.Micros(lo+(hi-lo)*t.random.For(uint64(n), t.changes).Float64()) + t.extraDelay
	arrivesAt = max(arrivesAt, t.lastChangeAt[n]+1) // its messages keep their order
	t.lastChangeAt[n] = arrivesAt
	m := t.endpointInfo(n, state)
	if state == balancer.Ready {
		m.StartedAt = clockOrigin + r.now
	}
	r.events.push(arrivesAt, discoveryNotified, uint32(n), m)
}

// publish records an endpoint's new state and sends it to the subscribed instances.
func (t *discoveryService) publish(n int, m engine.EndpointInfo) {
	t.endpoints[n] = m
	t.generation++
	members := []engine.EndpointInfo{m}
	for _, in := range t.run.instances {
		if !in.subscribedTo(n) {
			continue
		}
		x := &watchEvent{
			instance:    in,
			incarnation: in.incarnation,
			update:      engine.EndpointUpdate{Kind: balancer.ListDelta, Generation: t.generation, Endpoints: members},
		}
		if t.silent {
			t.heldBack = append(t.heldBack, x)
			continue
		}
		t.send(x)
	}
}

// send sends a watch event to its instance. Events of an instance arrive in order.
func (t *discoveryService) send(x *watchEvent) {
	in := x.instance
	spread := float64(t.run.plan.Discovery.Spread.Micros())
	in.lastWatchEventAt = max(in.lastWatchEventAt+1,
		t.run.now+1+monotime.Micros(spread*t.random.For(uint64(in.index)|1<<62, uint64(t.generation)).Float64()))
	t.run.events.push(in.lastWatchEventAt, watchEventArrives, 0, x)
}

func (w *watchEvent) arrive() {
	if w.instance.down || w.incarnation != w.instance.incarnation {
		return
	}
	if w.instance.discoveryBlocks > 0 {
		w.instance.heldEvents = append(w.instance.heldEvents, w)
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
	held := in.heldEvents
	in.heldEvents = nil
	if !in.hasEndpointList {
		in.updateEndpoints(in.run.discovery.snapshot(in))
		in.advanceEngine()
		return
	}
	for _, w := range held {
		w.arrive()
	}
}

// updateEndpoints gives an update of the list to the instance's engine.
func (in *instance) updateEndpoints(t engine.EndpointUpdate) {
	in.hasEndpointList = true
	for _, m := range t.Endpoints {
		n, err := strconv.Atoi(m.Addr)
		if err != nil {
			panic(err) // endpointInfo wrote it
		}
		if m.State == balancer.Ready {
			delete(in.leavingSince, n)
		} else if _, known := in.leavingSince[n]; !known {
			in.leavingSince[n] = in.run.now
		}
	}
	in.pool.UpdateEndpoints(in.localTime(), t)
}

// subscribedTo reports whether the instance's list has an endpoint.
func (in *instance) subscribedTo(n int) bool {
	subset := in.run.plan.Instances[in.index].Endpoints
	if subset == nil {
		return true
	}
	_, found := slices.BinarySearch(subset, n)
	return found
}

// snapshot is the complete endpoint list for an instance.
func (t *discoveryService) snapshot(in *instance) engine.EndpointUpdate {
	update := engine.EndpointUpdate{Kind: balancer.ListFull, Generation: t.generation}
	if subset := t.run.plan.Instances[in.index].Endpoints; subset != nil {
		for _, n := range subset {
			if t.endpoints[n].State != balancer.Gone {
				update.Endpoints = append(update.Endpoints, t.endpoints[n])
			}
		}
		return update
	}
	if t.fullList == nil || t.fullListGeneration != t.generation {
		var all []engine.EndpointInfo
		for _, m := range t.endpoints {
			if m.State != balancer.Gone {
				all = append(all, m)
			}
		}
		t.fullList = all
		t.fullListGeneration = t.generation
	}
	update.Endpoints = t.fullList
	return update
}

// pollDelay is the time in microseconds from a poll to its answer.
const pollDelay = 1000

// setWatch answers the poll of a balancer that has to poll: with the complete list, or with a failure while discovery
// is silent.
func (in *instance) setWatch(on bool) {
	if !on || !in.run.settings.Site.Settings.Subscribe {
		return
	}
	t := in.run.discovery
	x := &watchEvent{instance: in, incarnation: in.incarnation, update: t.snapshot(in)}
	if t.silent {
		x.update = engine.EndpointUpdate{Kind: balancer.ListFailed}
	}
	in.run.events.push(in.run.now+pollDelay, watchEventArrives, 0, x)
}

// resume sends what was held back while discovery was silent.
func (t *discoveryService) resume() {
	t.silent = false
	for _, x := range t.heldBack {
		if x.incarnation == x.instance.incarnation {
			t.send(x)
		}
	}
	t.heldBack = nil
	for _, in := range t.run.instances { // those that started meanwhile have no list
		if !in.down && !in.hasEndpointList {
			t.send(&watchEvent{instance: in, incarnation: in.incarnation, update: t.snapshot(in)})
		}
	}
}
