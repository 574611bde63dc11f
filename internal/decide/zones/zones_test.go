package zones

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const ms monotime.Micros = 1000

func settings(instances int) Settings {
	return Settings{Zones: 3, Classes: []float64{1, 5}, Ranks: [][]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}}, SpillSpare: 0.8, SpillTraffic: 1,
		ReturnShare: 0.05, Step: second, Away: second, AwayMost: 30 * second, Least: 1, Most: 200, Seed: 1, Instances: instances}
}

// world is three zones of servers and some instances that send to them, in simulated time.
type world struct {
	now    monotime.Micros
	events events
	order  int
	rng    *rand.Rand
	zones  [3]*servers
	all    []*Table

	asked, good, away [3]int // by home zone, since the last count
	guests            [3]int // that each zone has been sent, since the last count
	late              [3]int // that each zone was sent and did not answer within the aim
}

// servers are a zone's cores and their queue.
type servers struct {
	cores   int
	busy    int
	queue   []*attempt
	dead    bool
	mute    bool
	started monotime.Micros // cold from then on; 0 is long ago
	slow    float64
}

type attempt struct {
	table    *Table
	home, at int
	class    int
	spill    bool
	sent     monotime.Micros
	inFlight int
	over     bool
}

type event struct {
	at    monotime.Micros
	order int
	do    func()
}
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

func (w *world) after(d monotime.Micros, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *world) until(at monotime.Micros) {
	for len(w.events) > 0 && w.events[0].at <= at {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = at
}

const (
	work   = 10 * ms
	aim    = 100 * ms
	giveUp = 300 * ms
	warm   = 10 * second
)

func newWorld(t testing.TB, instances, cores int, rate float64) *world {
	w := &world{rng: rand.New(rand.NewPCG(1, uint64(instances)))}
	for i := range w.zones {
		w.zones[i] = &servers{cores: cores, slow: 1}
	}
	for i := range instances {
		s := settings(instances)
		s.Seed = uint64(i + 1)
		table, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		w.all = append(w.all, table)
		home, each := i%3, rate/float64(instances/3)
		var arrive func()
		arrive = func() {
			w.ask(table, home)
			w.after(monotime.Micros(w.rng.ExpFloat64()/each*float64(second))+1, arrive)
		}
		w.after(monotime.Micros(w.rng.Float64()*float64(second)), arrive)
	}
	return w
}

func (w *world) ask(table *Table, home int) {
	class := 0
	if w.rng.IntN(5) == 0 {
		class = 1
	}
	w.asked[home]++
	a := table.Ask(w.now, Request{Group: home, Class: class, Bound: -1})
	if a.Zone < 0 {
		w.away[home]++
		return
	}
	table.Sent(w.now, a.Zone, a.Spill)
	if a.Spill {
		w.guests[a.Zone]++
	}
	x := &attempt{table: table, home: home, at: a.Zone, class: class, spill: a.Spill, sent: w.now, inFlight: table.InFlight(a.Zone)}
	z := w.zones[a.Zone]
	switch {
	case z.dead:
		w.after(ms, func() { w.done(x, false) })
		return
	case z.mute:
	case z.busy < z.cores:
		w.serve(z, x)
	default:
		z.queue = append(z.queue, x)
	}
	w.after(giveUp, func() { w.done(x, false) })
}

func (w *world) serve(z *servers, x *attempt) {
	z.busy++
	took := float64(work) * (0.7 + 0.6*w.rng.Float64()) * z.slow
	if z.started > 0 {
		took /= min(1, 0.2+0.8*float64(w.now-z.started)/float64(warm))
	}
	w.after(monotime.Micros(took), func() {
		z.busy--
		if !z.dead {
			w.done(x, true)
		}
		for len(z.queue) > 0 && z.busy < z.cores {
			next := z.queue[0]
			z.queue = z.queue[1:]
			if !next.over {
				w.serve(z, next)
			}
		}
	})
}

func (w *world) done(x *attempt, served bool) {
	if x.over {
		return
	}
	x.over = true
	took := w.now - x.sent
	good := served && took <= aim
	if good {
		w.good[x.home]++
	} else {
		w.late[x.at]++
	}
	x.table.Done(w.now, x.at, Outcome{Class: x.class, Spill: x.spill, Took: took, InFlight: x.inFlight, Served: served, Good: good})
}

// kill takes a zone away: what is there is lost, and connections are refused. Discovery tells some time later.
func (w *world) kill(number int, told monotime.Micros) {
	z := w.zones[number]
	z.dead, z.queue = true, nil
	w.after(told, func() {
		if z.dead {
			w.members(number, 0)
		}
	})
}

func (w *world) restore(number int) {
	z := w.zones[number]
	z.dead, z.mute, z.started = false, false, w.now
	w.members(number, z.cores)
}

func (w *world) members(number, ready int) {
	for _, table := range w.all {
		table.Members(w.now, number, ready)
	}
}

// count returns what part of the requests was served in time, by home zone, since the last count, and begins anew.
func (w *world) count() (part [3]float64, all float64) {
	good, asked := 0, 0
	for i := range part {
		part[i] = float64(w.good[i]) / float64(max(1, w.asked[i]))
		good += w.good[i]
		asked += w.asked[i]
	}
	w.asked, w.good, w.away, w.guests, w.late = [3]int{}, [3]int{}, [3]int{}, [3]int{}, [3]int{}
	return part, float64(good) / float64(max(1, asked))
}

// A zone is lost and comes back. What is left serves all that it can, its own clients as before; the spill settles and
// does not swing; and what returns is never sent more than it can answer in time.
func TestZoneLostAndRegained(t *testing.T) {
	for _, instances := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			const cores, rate = 12, 750.0 // of 1,200 a second
			w := newWorld(t, instances, cores, rate)
			w.until(20 * second)
			w.count()
			w.until(30 * second)
			if part, all := w.count(); all < 0.99 {
				t.Errorf("all well: %.3f, %.3f", all, part)
			}
			w.kill(0, 2*second)
			w.until(42 * second) // it settles
			w.count()
			least, most := 1e9, 0.0
			for s := range 10 {
				w.until(monotime.Micros(43+s) * second)
				spilt := float64(w.guests[1] + w.guests[2])
				least, most = min(least, spilt), max(most, spilt)
				part, all := w.count()
				if part[1] < 0.95 || part[2] < 0.95 {
					t.Errorf("second %d: the others' own clients %.3f", 43+s, part)
				}
				// 2,400 can be served of 2,250; 0.8 of the spare 900 is 720.
				if want := 0.95 * (2*rate + 0.8*900*rate/900) / (3 * rate); all < want*0.95 {
					t.Errorf("second %d: %.3f in all, want %.3f", 43+s, all, want)
				}
			}
			if most > 1.25*least {
				t.Errorf("the spill swings from %v to %v a second", least, most)
			}
			t.Logf("spill %v to %v a second", least, most)
			w.restore(0)
			w.count()
			for half := range 60 {
				w.until(52*second + monotime.Micros(half+1)*second/2)
				if sent := w.good[0] + w.late[0]; w.late[0] > 5 && w.late[0] > sent/10 {
					t.Errorf("%.1f s after its return %d of %d were not answered in time", float64(half+1)/2, w.late[0], sent)
				}
				part, _ := w.count()
				if part[1] < 0.9 || part[2] < 0.9 {
					t.Errorf("%.1f s after its return the others' clients %.3f", float64(half+1)/2, part)
				}
			}
			w.until(100 * second)
			w.count()
			w.until(110 * second)
			if part, all := w.count(); all < 0.99 || w.guests[1]+w.guests[2] > 0 && part[0] < 0.98 {
				t.Errorf("long after: %.3f, %.3f", all, part)
			}
			if s, _, _ := w.all[0].Zone(0); s != Up {
				t.Errorf("the zone is %v", s)
			}
		})
	}
}

// A zone that says nothing, whatever discovery lists, is lost; one with no endpoint is lost at once; with none left
// requests are turned away at once, and all is well again afterwards.
func TestHowZonesAreLost(t *testing.T) {
	w := newWorld(t, 3, 12, 600)
	w.until(10 * second)
	w.zones[0].mute = true
	w.until(13 * second)
	if s, share, _ := w.all[0].Zone(0); s == Up || share > settings(1).ReturnShare {
		t.Errorf("a zone that is cut off is %v, with %v of its requests", s, share)
	}
	w.members(0, 0)
	w.members(1, 0)
	w.members(2, 0)
	for i, table := range w.all {
		if a := table.Ask(w.now, Request{Group: i, Bound: -1}); a.Zone >= 0 || a.Reason != NoZone || a.RetryAfter <= 0 {
			t.Errorf("with no zone: %+v", a)
		}
	}
	if a := w.all[0].Ask(w.now, Request{Bound: 2}); a.Zone >= 0 || a.Reason != BoundOut {
		t.Errorf("bound to a lost zone: %+v", a)
	}
	w.members(1, 12)
	w.members(2, 12)
	w.restore(0)
	w.until(60 * second)
	w.count()
	w.until(70 * second)
	if part, all := w.count(); all < 0.99 {
		t.Errorf("afterwards: %.3f, %.3f", all, part)
	}
}

// A zone that flaps stays out longer each time, and is forgiven after a calm while.
func TestFlaps(t *testing.T) {
	table, err := New(settings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	last := monotime.Micros(0)
	for i := range 4 {
		table.Members(now, 0, 0)
		table.Members(now, 0, 5)
		out := now
		for {
			now += 10 * ms
			table.Ask(now, Request{Bound: -1})
			if s, _, _ := table.Zone(0); s == Returning {
				break
			}
		}
		if away := now - out; i > 0 && away < last*5/4 {
			t.Errorf("flap %d: away for %d ms after %d", i, away/ms, last/ms)
		} else {
			last = away
		}
	}
}

// Whatever happens, guests never take more than their part of a zone's room, each attempt is given back, and a request
// bound to a zone goes nowhere else.
func TestSpillKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := settings(rapid.IntRange(1, 50).Draw(t, "instances"))
		s.SpillSpare, s.Seed = rapid.Float64Range(0.1, 1).Draw(t, "spare"), rapid.Uint64().Draw(t, "seed")
		table, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(s.Seed, 9))
		type out struct {
			zone  int
			spill bool
		}
		var flying []out
		now := monotime.Micros(0)
		for range 3000 {
			now += monotime.Micros(rng.IntN(3000))
			switch k := rng.IntN(20); {
			case k == 0:
				table.Members(now, rng.IntN(3), rng.IntN(2)*5)
			case k < 11:
				r := Request{Group: rng.IntN(3), Class: rng.IntN(2), Excess: rng.IntN(4) == 0, Bound: rng.IntN(8) - 5}
				r.Bound = max(-1, r.Bound)
				a := table.Ask(now, r)
				if r.Bound >= 0 && a.Zone >= 0 && (a.Zone != r.Bound || a.Spill) {
					t.Fatalf("%+v went to %+v", r, a)
				}
				if a.Zone < 0 {
					if a.Reason == None {
						t.Fatalf("%+v: %+v", r, a)
					}
					continue
				}
				if a.Spill != (r.Bound < 0 && a.Zone != s.Ranks[r.Group][0]) {
					t.Fatalf("%+v: %+v", r, a)
				}
				table.Sent(now, a.Zone, a.Spill)
				if z := &table.zones[a.Zone]; a.Spill && float64(z.guests) > max(1, s.SpillSpare*float64(z.limit.Limit())+1) {
					t.Fatalf("%d guests of %d", z.guests, z.limit.Limit())
				}
				flying = append(flying, out{a.Zone, a.Spill})
			case len(flying) > 0:
				i := rng.IntN(len(flying))
				f := flying[i]
				flying = append(flying[:i], flying[i+1:]...)
				took := monotime.Micros(rng.IntN(200)) * ms
				table.Done(now, f.zone, Outcome{Class: rng.IntN(2), Spill: f.spill, Took: took, InFlight: 1 + rng.IntN(5), Served: rng.IntN(4) > 0,
					Good: took < aim, Nothing: rng.IntN(10) == 0})
			}
		}
		for _, f := range flying {
			table.Done(now, f.zone, Outcome{Spill: f.spill, Nothing: true})
		}
		for i := range table.zones {
			if z := &table.zones[i]; z.flight != 0 || z.guests != 0 {
				t.Fatalf("zone %d has %d in flight, %d guests", i, z.flight, z.guests)
			}
		}
	})
}

func TestSettingsThatMakeNoSense(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"zones": func(s *Settings) { s.Zones = 0 }, "classes": func(s *Settings) { s.Classes = nil }, "ranks": func(s *Settings) { s.Ranks = nil },
		"no zone": func(s *Settings) { s.Ranks = [][]int{{0, 3}} }, "twice": func(s *Settings) { s.Ranks = [][]int{{0, 0}} },
		"empty": func(s *Settings) { s.Ranks = [][]int{{}} }, "spare": func(s *Settings) { s.SpillSpare = 1.1 },
		"traffic": func(s *Settings) { s.SpillTraffic = 0 }, "share": func(s *Settings) { s.ReturnShare = 0 }, "step": func(s *Settings) { s.Step = 0 },
		"away": func(s *Settings) { s.AwayMost = 1 }, "least": func(s *Settings) { s.Least = 0 }, "instances": func(s *Settings) { s.Instances = 0 },
	} {
		s := settings(1)
		spoil(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A zone in which attempts are in flight and nothing comes back is lost after a while, before their time is up.
func TestSilentZone(t *testing.T) {
	table, err := New(settings(1))
	if err != nil {
		t.Fatal(err)
	}
	for range silentLeast {
		table.Sent(second, 0, false)
	}
	if a := table.Ask(second+silence/2, Request{Bound: -1}); a.Zone != 0 {
		t.Errorf("silent for a moment: %+v", a)
	}
	if a := table.Ask(second+silence+ms, Request{Bound: -1}); a.Zone == 0 {
		t.Errorf("silent for long: %+v", a)
	}
}

// A zone that returns half-healthy gets less, not more; once it is well it gets all.
func TestHalfHealthyReturn(t *testing.T) {
	table, err := New(settings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	table.Members(now, 0, 0)
	table.Members(now, 0, 4)
	run := func(d monotime.Micros, good func(i int) bool) (most float64) {
		n := 0
		for end := now + d; now < end; now += 2 * ms {
			if a := table.Ask(now, Request{Bound: -1}); a.Zone == 0 {
				table.Sent(now, 0, false)
				n++
				table.Done(now+ms, 0, Outcome{Took: ms, InFlight: 1, Served: true, Good: good(n)})
			}
			if s, share, _ := table.Zone(0); s != Lost {
				most = max(most, share)
			}
		}
		return most
	}
	if most := run(20*second, func(i int) bool { return i%2 == 0 }); most > 2*table.s.ReturnShare {
		t.Errorf("half healthy it got %v of its requests", most)
	}
	run(30*second, func(int) bool { return true })
	if s, _, _ := table.Zone(0); s != Up {
		t.Errorf("once well it is %v", s)
	}
}
