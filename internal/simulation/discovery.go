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

// truth is how things stand with the endpoints, and what discovery has heard of it.
type truth struct {
	run    *run
	heard  []engine.EndpointInfo // as discovery has it
	gen    int64
	stale  monotime.Micros // what it hears comes later by this
	silent bool            // it says nothing
	held   []*news
	groups map[int]*simendpoint.DedupGroup
	draws  *randstream.Stream
	count  uint64
	all    []engine.EndpointInfo // the whole list of a generation
	allGen int64
	last   []monotime.Micros // when its last word of each endpoint was heard
}

func newTruth(r *run) *truth {
	t := &truth{run: r, groups: map[int]*simendpoint.DedupGroup{}, draws: randstream.New(r.plan.Seed, "discovery"), gen: 1, last: make([]monotime.Micros, len(r.plan.Endpoints))}
	for i := range r.plan.Endpoints {
		m := t.member(i, balancer.Ready)
		if r.plan.Endpoints[i].StartsWithRun {
			m.StartedAt = clockOrigin
		}
		t.heard = append(t.heard, m)
	}
	return t
}

// group returns the endpoints that share which keys they have seen: for as long as the longest window of a class.
func (t *truth) group(cell int) *simendpoint.DedupGroup {
	if t.groups[cell] == nil {
		var window monotime.Micros
		for _, c := range t.run.o.Criteria.Classes {
			if c.Idempotency == balancer.IdempotentByKey {
				window = max(window, c.DedupWindow)
			}
		}
		t.groups[cell] = simendpoint.NewDedupGroup(window)
	}
	return t.groups[cell]
}

// member is an endpoint's entry.
func (t *truth) member(n int, state balancer.EndpointState) engine.EndpointInfo {
	p := &t.run.plan.Endpoints[n]
	return engine.EndpointInfo{Name: p.Name, Addr: strconv.Itoa(n), Zone: t.run.plan.Fleet.Zones[p.Zone], Kind: t.run.plan.Scenario.EndpointKinds[p.Kind].Kind,
		Cell: uint16(p.Cell), State: state, Weight: float32(p.Config.Cores)}
}

// news is a word of discovery to an instance.
type news struct {
	in   *instance
	life uint32
	told engine.EndpointUpdate
}

// change tells discovery how it now stands with an endpoint, after the time that it takes to hear of it. vanished says
// that nobody told it: the endpoint has fallen silent.
func (t *truth) change(n int, state balancer.EndpointState, vanished bool) {
	r, d := t.run, &t.run.plan.Discovery
	after := d.Add
	switch {
	case vanished:
		after = d.Silent
	case state == balancer.Draining:
		after = d.Drain
	case state == balancer.Gone:
		after = d.Gone
	}
	t.count++
	lo, hi := float64(after.From.Microseconds()), float64(after.To.Microseconds())
	heard := r.now + monotime.Micros(lo+(hi-lo)*t.draws.For(uint64(n), t.count).Float64()) + t.stale
	heard = max(heard, t.last[n]+1) // its words keep their order
	t.last[n] = heard
	m := t.member(n, state)
	if state == balancer.Ready {
		m.StartedAt = clockOrigin + r.now
	}
	r.queue.push(heard, evHeard, uint32(n), m)
}

// hear is the arrival of a word at discovery, which passes it on.
func (t *truth) hear(n int, m engine.EndpointInfo) {
	t.heard[n] = m
	t.gen++
	members := []engine.EndpointInfo{m}
	for _, in := range t.run.instances {
		if !in.knows(n) {
			continue
		}
		x := &news{in: in, life: in.life, told: engine.EndpointUpdate{Kind: balancer.ListDelta, Generation: t.gen, Endpoints: members}}
		if t.silent {
			t.held = append(t.held, x)
			continue
		}
		t.send(x)
	}
}

// send sends a word on its way; an instance hears them in their order.
func (t *truth) send(x *news) {
	in := x.in
	spread := float64(t.run.plan.Discovery.Spread.Micros())
	in.last = max(in.last+1, t.run.now+1+monotime.Micros(spread*t.draws.For(uint64(in.n)|1<<62, uint64(t.gen)).Float64()))
	t.run.queue.push(in.last, evTold, 0, x)
}

func (w *news) arrive() {
	if w.in.down || w.life != w.in.life {
		return
	}
	if w.in.deaf > 0 {
		w.in.held = append(w.in.held, w)
		return
	}
	w.in.tell(w.told)
	w.in.settle()
}

// hears ends what kept discovery's words from an instance: it is told what it missed, or all if it knows nothing.
func (in *instance) hears() {
	if in.deaf--; in.deaf > 0 || in.down {
		return
	}
	held := in.held
	in.held = nil
	if !in.listed {
		in.tell(in.run.truth.whole(in))
		in.settle()
		return
	}
	for _, w := range held {
		w.arrive()
	}
}

// tell tells an instance's engine.
func (in *instance) tell(t engine.EndpointUpdate) {
	in.listed = true
	for _, m := range t.Endpoints {
		n, err := strconv.Atoi(m.Addr)
		if err != nil {
			panic(err) // it is what truth.member wrote
		}
		if m.State == balancer.Ready {
			delete(in.told, n)
		} else if _, known := in.told[n]; !known {
			in.told[n] = in.run.now
		}
	}
	in.pool.UpdateEndpoints(in.local(), t)
}

// knows says whether an instance is told of an endpoint.
func (in *instance) knows(n int) bool {
	mine := in.run.plan.Instances[in.n].Endpoints
	if mine == nil {
		return true
	}
	_, found := slices.BinarySearch(mine, n)
	return found
}

// whole is the whole list for an instance.
func (t *truth) whole(in *instance) engine.EndpointUpdate {
	told := engine.EndpointUpdate{Kind: balancer.ListFull, Generation: t.gen}
	if mine := t.run.plan.Instances[in.n].Endpoints; mine != nil {
		for _, n := range mine {
			if t.heard[n].State != balancer.Gone {
				told.Endpoints = append(told.Endpoints, t.heard[n])
			}
		}
		return told
	}
	if t.all == nil || t.allGen != t.gen {
		var all []engine.EndpointInfo
		for _, m := range t.heard {
			if m.State != balancer.Gone {
				all = append(all, m)
			}
		}
		t.all, t.allGen = all, t.gen
	}
	told.Endpoints = t.all
	return told
}

// watch is what a balancer asks for that has to ask: it is answered with the whole list, or not at all.
func (in *instance) watch(on bool) {
	if !on || !in.run.settings.Site.Settings.Subscribe {
		return
	}
	t := in.run.truth
	x := &news{in: in, life: in.life, told: t.whole(in)}
	if t.silent {
		x.told = engine.EndpointUpdate{Kind: balancer.ListFailed}
	}
	in.run.queue.push(in.run.now+1000, evTold, 0, x)
}

// speak ends discovery's silence: what it has held back it says now.
func (t *truth) speak() {
	t.silent = false
	for _, x := range t.held {
		if x.life == x.in.life {
			t.send(x)
		}
	}
	t.held = nil
	for _, in := range t.run.instances { // those that began meanwhile know nothing
		if !in.down && !in.listed {
			t.send(&news{in: in, life: in.life, told: t.whole(in)})
		}
	}
}
