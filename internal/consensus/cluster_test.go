package consensus

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunlinsail/internal/decide/maintenance"
	"dunlinsail/internal/monotime"
)

// memory is a disk that outlives its process.
type memory struct {
	hard     *raftpb.HardState
	snapshot *raftpb.Snapshot
	entries  []*raftpb.Entry
	broken   bool
}

var errBroken = errors.New("the disk is full")

func (m *memory) Load() (StoredLog, bool, error) {
	if m.broken {
		return StoredLog{}, false, errBroken
	}
	if m.snapshot == nil {
		return StoredLog{}, true, nil
	}
	return StoredLog{m.hard, m.snapshot, slices.Clone(m.entries)}, false, nil
}

func (m *memory) Save(hard *raftpb.HardState, entries []*raftpb.Entry, s *raftpb.Snapshot) error {
	if m.broken {
		return errBroken
	}
	if hard != nil {
		m.hard = proto.Clone(hard).(*raftpb.HardState)
	}
	if s.GetMetadata().GetIndex() > 0 {
		m.snapshot = s
		m.entries = slices.DeleteFunc(m.entries, func(e *raftpb.Entry) bool { return e.GetIndex() <= s.GetMetadata().GetIndex() })
	}
	if len(entries) > 0 {
		first := entries[0].GetIndex()
		m.entries = append(slices.DeleteFunc(m.entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= first }), entries...)
	}
	return nil
}

var bounds = maintenance.Settings{MaxOut: 2, MaxOutPerZone: 1, MaxAnnounced: 4, Headroom: 0.1, LeaseDuration: second, InFlightGrace: second / 2, Warmup: second, MaxClockDrift: 0.005}

// process is an instance in the world: while it runs it has requests open at machines.
type process struct {
	name   string
	node   *Node
	up     bool
	asleep float64
	rate   float64
	zero   float64
	disk   *memory
	open   map[string]float64 // machines, by until when a request is open there
	former map[string]float64 // the same of processes whose place this one took over while they served
}

func (p *process) clock(now float64) monotime.Micros { return monotime.Micros((now - p.zero) * p.rate) }

type message struct {
	at       float64
	from, to *process
	w        Message
}

type world struct {
	t        testing.TB
	rng      *rand.Rand
	now      float64
	all      []*process
	voters   []string
	words    []message
	cut      map[[2]string]bool
	loss     float64
	lives    uint64
	machines []maintenance.MachineStatus
	turn     monotime.Micros
	best     *process // whose state is applied furthest
	plant    string
	sends    int
	bad      string
}

func newWorld(t testing.TB, voters, others int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 5)), cut: map[[2]string]bool{}, turn: second / 20}
	if seed%2 == 1 {
		w.turn = second / 5 // one that is cut off goes on to think that it leads for longer than a lease
	}
	for i := range 8 {
		w.machines = append(w.machines, maintenance.MachineStatus{Name: fmt.Sprint("m", i), Zone: fmt.Sprint("z", i%4), Kind: "k", Cell: i % 4, Capacity: 1, Healthy: true})
	}
	for i := range voters + others {
		p := &process{name: fmt.Sprint("i", i)}
		if i < voters {
			w.voters = append(w.voters, p.name)
			p.disk = &memory{}
		}
		w.all = append(w.all, p)
	}
	for _, p := range w.all {
		w.start(p)
	}
	return w
}

func (w *world) start(p *process) {
	w.lives++
	p.rate, p.zero = 1+0.005*(2*w.rng.Float64()-1), w.now-1e6*w.rng.Float64()
	p.up, p.asleep, p.open, p.former = true, 0, map[string]float64{}, nil
	s := bounds
	if w.plant == "leases outlive their time" && p.name != "i1" {
		p.rate *= 0.3
	}
	var disk LogStore
	if p.disk != nil {
		disk = p.disk
	}
	n, err := New(p.clock(w.now), Settings{Self: p.name, Voters: w.voters, Maintenance: s, TickInterval: w.turn}, w.lives, disk)
	if err != nil && n == nil {
		w.t.Fatal(err)
	}
	p.node = n
	n.SetSources(func() maintenance.FleetStatus {
		return maintenance.FleetStatus{Machines: w.machines, Usage: 3, PeakUsage: 3}
	}, func(m string) int {
		if p.open[m] > w.now {
			return 1
		}
		return 0
	})
}

func (w *world) kill(p *process) { p.up = false }

func (w *world) find(name string) *process {
	for _, p := range w.all {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (w *world) flush(p *process) {
	for _, o := range p.node.TakeOutgoing() {
		to := w.find(o.To)
		if to == nil || w.rng.Float64() < w.loss {
			continue
		}
		d := 200 + 1000*w.rng.ExpFloat64()
		if w.rng.Float64() < w.loss {
			d += 3e6 * w.rng.Float64()
		}
		w.words = append(w.words, message{w.now + d, p, to, o.Message})
	}
}

// step goes on by a while: words arrive, clocks ring, and each process sends where it may.
func (w *world) step(d float64) {
	w.now += d
	due := w.words
	w.words = nil
	for _, m := range due {
		switch {
		case m.at > w.now || m.to.asleep > w.now:
			w.words = append(w.words, m)
		case m.to.up && !w.cut[[2]string{m.from.name, m.to.name}]:
			m.to.node.Receive(m.to.clock(w.now), m.from.name, m.w)
			w.flush(m.to)
		}
	}
	for _, p := range w.all {
		if !p.up || p.asleep > w.now {
			continue
		}
		if now := p.clock(w.now); now >= p.node.NextTick() {
			p.node.Tick(now)
			w.flush(p)
		}
		w.send(p)
		if p.node.rawNode != nil && (w.best == nil || !w.best.up || p.node.appliedIndex >= w.best.node.appliedIndex) {
			w.best = p
		}
	}
	w.check()
}

// send has a process send to a machine where its duty lets it, and end what has to end.
func (w *world) send(p *process) {
	d := p.node.Follower()
	now := p.clock(w.now)
	out := d.ExcludedMachines(now)
	if d.MustEndInFlight(now) {
		for _, m := range out {
			delete(p.open, m)
		}
	}
	if !d.HasPlan() && w.plant != "sends before it hears" {
		return
	}
	m := w.machines[w.rng.IntN(len(w.machines))].Name
	if w.plant == "does not obey" && p.name == "i4" {
		out = nil
	}
	if w.plant == "only what is out" {
		out = d.ExcludedMachines(0)
		out = slices.DeleteFunc(out, func(string) bool { return true })
		if p.node.Follower() != nil {
			out = stopOnly(d, now)
		}
	}
	if !slices.Contains(out, m) {
		p.open[m] = w.now + 200_000*w.rng.ExpFloat64()
		w.sends++
	}
}

// stopOnly is what nothing new may go to while an order holds: a process without one that goes on with it is the error that is planted.
func stopOnly(d *maintenance.Follower, now monotime.Micros) (out []string) {
	all := d.ExcludedMachines(now)
	held := d.ExcludedMachines(now - 10*second)
	for _, m := range all {
		if slices.Contains(held, m) {
			out = append(out, m)
		}
	}
	return out
}

// check holds all processes against the order as far as any voter has applied it: at a machine that is at work nothing is open, and bounds hold.
func (w *world) check() {
	if w.best == nil || w.bad != "" {
		return
	}
	x := w.best.node.State()
	out := map[string]int{}
	n := 0
	for name, i := range x.Machines {
		if i.Phase < maintenance.Draining || i.Phase == maintenance.Returning {
			continue
		}
		n++
		out[w.machines[slices.IndexFunc(w.machines, func(m maintenance.MachineStatus) bool { return m.Name == name })].Zone]++
		if i.Phase != maintenance.UnderMaintenance {
			continue
		}
		for _, p := range w.all {
			if p.up && (p.open[name] > w.now || p.former[name] > w.now) {
				w.bad = fmt.Sprintf("%s has something open at %s, which is at work, at %.0f", p.name, name, w.now)
			}
		}
	}
	for zone, k := range out {
		if k > bounds.MaxOutPerZone {
			w.bad = fmt.Sprintf("%d of zone %s are out", k, zone)
		}
	}
	if n > bounds.MaxOut {
		w.bad = fmt.Sprintf("%d are out", n)
	}
}

func (w *world) run(d float64) {
	for end := w.now + d; w.now < end && w.bad == ""; {
		w.step(5000)
	}
	if w.bad != "" && w.plant == "" {
		w.t.Fatal(w.bad)
	}
}

// say has an operator say something at an instance until it is answered.
func (w *world) say(at string, order maintenance.Command) OperatorReply {
	p := w.find(at)
	for range 40 {
		number := p.node.Submit(p.clock(w.now), order)
		w.flush(p)
		for range 100 {
			w.run(5000)
			if r, ok := p.node.TakeReply(number); ok {
				return r
			}
		}
	}
	w.t.Fatal("an operator is not answered")
	return OperatorReply{}
}

// finish works through all that was asked for, and says what is left after so long.
func (w *world) finish(d float64) (left int) {
	for end := w.now + d; w.now < end && w.bad == ""; {
		w.run(1e5)
		if w.best == nil {
			continue
		}
		x := w.best.node.State()
		for _, i := range x.Machines {
			if i.Phase == maintenance.UnderMaintenance && w.now/1e6 > 0 {
				w.say(w.best.name, maintenance.Command{Complete: &maintenance.Completion{Request: i.Requests[0], Machine: i.Name}})
				break
			}
		}
		if x = w.best.node.State(); len(x.Machines) == 0 {
			return 0
		}
	}
	return len(w.best.node.State().Machines)
}

func (w *world) ask(id string, machines ...string) OperatorReply {
	return w.say("i3", maintenance.Command{Request: &maintenance.Request{ID: id, Machines: machines, Duration: 60 * second, Reason: "kernel", Requester: "ana"}})
}

func (w *world) names() (all []string) {
	for _, m := range w.machines {
		all = append(all, m.Name)
	}
	return all
}

// faults breaks things for a while, with work going on.
func (w *world) faults(turns int) {
	for range turns {
		p := w.all[w.rng.IntN(len(w.all))]
		switch w.rng.IntN(9) {
		case 8: // another process takes over; the one before it ends what it has open
			former := p.open
			for m, until := range former {
				former[m] = min(until, w.now+1.4e6) // within a lease and the while after it
			}
			w.start(p)
			p.former = former
		case 0, 1:
			w.kill(p)
			w.run(w.rng.Float64() * 2e6)
			w.start(p)
		case 2:
			p.asleep = w.now + w.rng.Float64()*5e6
		case 3:
			for _, o := range w.all {
				w.cut[[2]string{p.name, o.name}], w.cut[[2]string{o.name, p.name}] = true, true
			}
		case 4:
			for _, o := range w.all {
				w.cut[[2]string{p.name, o.name}] = true
			}
		case 5:
			clear(w.cut)
		case 6:
			for _, o := range w.all {
				w.kill(o)
			}
			w.run(w.rng.Float64() * 1e6)
			for _, o := range w.all {
				w.start(o)
			}
		case 7:
			w.loss = w.rng.Float64() * 0.2
		}
		w.run(w.rng.Float64() * 3e6)
		if w.bad == "" && w.best != nil && w.best.up && w.best.asleep < w.now {
			for _, i := range w.best.node.State().Machines {
				if i.Phase == maintenance.UnderMaintenance && w.rng.IntN(2) == 0 {
					n := w.best.node
					n.Submit(w.best.clock(w.now), maintenance.Command{Complete: &maintenance.Completion{Request: i.Requests[0], Machine: i.Name}})
					w.flush(w.best)
				}
			}
		}
	}
}
