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

func testSettings(instances int) Settings {
	return Settings{Zones: 3, ClassWeights: []float64{1, 5}, ZonePreferences: [][]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}}, MaxSpareFraction: 0.8, MaxSpillFraction: 1,
		InitialRecoveryShare: 0.05, RecoveryStep: second, MinDownTime: second, MaxDownTime: 30 * second, MinInFlight: 1, MaxInFlight: 200, Seed: 1, Instances: instances}
}

// world is three zones of servers and some instances that send to them, in simulated time.
type simulation struct {
	now     monotime.Micros
	events  events
	order   int
	rng     *rand.Rand
	zones   [3]*servers
	routers []*Router

	requests, served, rejected [3]int // by home zone, since the last count
	spilled                    [3]int // that each zone has been sent, since the last count
	late                       [3]int // that each zone was sent and did not answer within the aim
}

// servers are a zone's cores and their queue.
type servers struct {
	cores        int
	busy         int
	queue        []*attempt
	stopped      bool
	mute         bool
	warmingSince monotime.Micros // cold from then on; 0 is long ago
	slow         float64
}

type attempt struct {
	router     *Router
	home, zone int
	class      int
	spill      bool
	sentAt     monotime.Micros
	inFlight   int
	ended      bool
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

func (w *simulation) after(d monotime.Micros, do func()) {
	w.order++
	heap.Push(&w.events, event{w.now + d, w.order, do})
}

func (w *simulation) runUntil(at monotime.Micros) {
	for len(w.events) > 0 && w.events[0].at <= at {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = at
}

const (
	serviceTime   = 10 * ms
	objective     = 100 * ms
	clientTimeout = 300 * ms
	warmupTime    = 10 * second
)

func newSimulation(t testing.TB, instances, cores int, rate float64) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(1, uint64(instances)))}
	for i := range w.zones {
		w.zones[i] = &servers{cores: cores, slow: 1}
	}
	for i := range instances {
		s := testSettings(instances)
		s.Seed = uint64(i + 1)
		table, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		w.routers = append(w.routers, table)
		home, each := i%3, rate/float64(instances/3)
		var arrive func()
		arrive = func() {
			w.request(table, home)
			w.after(monotime.Micros(w.rng.ExpFloat64()/each*float64(second))+1, arrive)
		}
		w.after(monotime.Micros(w.rng.Float64()*float64(second)), arrive)
	}
	return w
}

func (w *simulation) request(table *Router, home int) {
	class := 0
	if w.rng.IntN(5) == 0 {
		class = 1
	}
	w.requests[home]++
	a := table.Choose(w.now, Request{Group: home, Class: class, RequiredZone: -1})
	if a.Zone < 0 {
		w.rejected[home]++
		return
	}
	table.OnAttemptSent(w.now, a.Zone, a.Spill)
	if a.Spill {
		w.spilled[a.Zone]++
	}
	x := &attempt{router: table, home: home, zone: a.Zone, class: class, spill: a.Spill, sentAt: w.now, inFlight: table.InFlight(a.Zone)}
	z := w.zones[a.Zone]
	switch {
	case z.stopped:
		w.after(ms, func() { w.done(x, false) })
		return
	case z.mute:
	case z.busy < z.cores:
		w.serve(z, x)
	default:
		z.queue = append(z.queue, x)
	}
	w.after(clientTimeout, func() { w.done(x, false) })
}

func (w *simulation) serve(z *servers, x *attempt) {
	z.busy++
	took := float64(serviceTime) * (0.7 + 0.6*w.rng.Float64()) * z.slow
	if z.warmingSince > 0 {
		took /= min(1, 0.2+0.8*float64(w.now-z.warmingSince)/float64(warmupTime))
	}
	w.after(monotime.Micros(took), func() {
		z.busy--
		if !z.stopped {
			w.done(x, true)
		}
		for len(z.queue) > 0 && z.busy < z.cores {
			next := z.queue[0]
			z.queue = z.queue[1:]
			if !next.ended {
				w.serve(z, next)
			}
		}
	})
}

func (w *simulation) done(x *attempt, served bool) {
	if x.ended {
		return
	}
	x.ended = true
	took := w.now - x.sentAt
	good := served && took <= objective
	if good {
		w.served[x.home]++
	} else {
		w.late[x.zone]++
	}
	x.router.OnAttemptEnded(w.now, x.zone, Outcome{Class: x.class, Spill: x.spill, Duration: took, InFlight: x.inFlight, Served: served, InTime: good})
}

// kill takes a zone away: what is there is lost, and connections are refused. Discovery tells some time later.
func (w *simulation) stopZone(number int, discoveryDelay monotime.Micros) {
	z := w.zones[number]
	z.stopped, z.queue = true, nil
	w.after(discoveryDelay, func() {
		if z.stopped {
			w.setReady(number, 0)
		}
	})
}

func (w *simulation) restartZone(number int) {
	z := w.zones[number]
	z.stopped, z.mute, z.warmingSince = false, false, w.now
	w.setReady(number, z.cores)
}

func (w *simulation) setReady(number, ready int) {
	for _, table := range w.routers {
		table.SetReadyEndpoints(w.now, number, ready)
	}
}

// count returns what part of the requests was served in time, by home zone, since the last count, and begins anew.
func (w *simulation) takeCounts() (part [3]float64, all float64) {
	good, asked := 0, 0
	for i := range part {
		part[i] = float64(w.served[i]) / float64(max(1, w.requests[i]))
		good += w.served[i]
		asked += w.requests[i]
	}
	w.requests, w.served, w.rejected, w.spilled, w.late = [3]int{}, [3]int{}, [3]int{}, [3]int{}, [3]int{}
	return part, float64(good) / float64(max(1, asked))
}

// A zone is lost and comes back. What is left serves all that it can, its own clients as before; the spill settles and
// does not swing; and what returns is never sent more than it can answer in time.
func TestZoneOutageAndRecovery(t *testing.T) {
	for _, instances := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			const cores, rate = 12, 750.0 // of 1,200 a second
			w := newSimulation(t, instances, cores, rate)
			w.runUntil(20 * second)
			w.takeCounts()
			w.runUntil(30 * second)
			if part, all := w.takeCounts(); all < 0.99 {
				t.Errorf("all well: %.3f, %.3f", all, part)
			}
			w.stopZone(0, 2*second)
			w.runUntil(42 * second) // it settles
			w.takeCounts()
			least, most := 1e9, 0.0
			for s := range 10 {
				w.runUntil(monotime.Micros(43+s) * second)
				spilt := float64(w.spilled[1] + w.spilled[2])
				least, most = min(least, spilt), max(most, spilt)
				part, all := w.takeCounts()
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
			w.restartZone(0)
			w.takeCounts()
			for half := range 60 {
				w.runUntil(52*second + monotime.Micros(half+1)*second/2)
				if sent := w.served[0] + w.late[0]; w.late[0] > 5 && w.late[0] > sent/10 {
					t.Errorf("%.1f s after its return %d of %d were not answered in time", float64(half+1)/2, w.late[0], sent)
				}
				part, _ := w.takeCounts()
				if part[1] < 0.9 || part[2] < 0.9 {
					t.Errorf("%.1f s after its return the others' clients %.3f", float64(half+1)/2, part)
				}
			}
			w.runUntil(100 * second)
			w.takeCounts()
			w.runUntil(110 * second)
			if part, all := w.takeCounts(); all < 0.99 || w.spilled[1]+w.spilled[2] > 0 && part[0] < 0.98 {
				t.Errorf("long after: %.3f, %.3f", all, part)
			}
			if s, _, _ := w.routers[0].ZoneState(0); s != Up {
				t.Errorf("the zone is %v", s)
			}
		})
	}
}

// A zone that says nothing, whatever discovery lists, is lost; one with no endpoint is lost at once; with none left
// requests are turned away at once, and all is well again afterwards.
func TestZoneGoesDownWithoutAnswersOrEndpoints(t *testing.T) {
	w := newSimulation(t, 3, 12, 600)
	w.runUntil(10 * second)
	w.zones[0].mute = true
	w.runUntil(13 * second)
	if s, share, _ := w.routers[0].ZoneState(0); s == Up || share > testSettings(1).InitialRecoveryShare {
		t.Errorf("a zone that is cut off is %v, with %v of its requests", s, share)
	}
	w.setReady(0, 0)
	w.setReady(1, 0)
	w.setReady(2, 0)
	for i, table := range w.routers {
		if a := table.Choose(w.now, Request{Group: i, RequiredZone: -1}); a.Zone >= 0 || a.Reason != NoZoneUp || a.RetryAfter <= 0 {
			t.Errorf("with no zone: %+v", a)
		}
	}
	if a := w.routers[0].Choose(w.now, Request{RequiredZone: 2}); a.Zone >= 0 || a.Reason != RequiredZoneDown {
		t.Errorf("bound to a lost zone: %+v", a)
	}
	w.setReady(1, 12)
	w.setReady(2, 12)
	w.restartZone(0)
	w.runUntil(60 * second)
	w.takeCounts()
	w.runUntil(70 * second)
	if part, all := w.takeCounts(); all < 0.99 {
		t.Errorf("afterwards: %.3f, %.3f", all, part)
	}
}

// A zone that flaps stays out longer each time, and is forgiven after a calm while.
func TestFlappingZoneStaysDownLonger(t *testing.T) {
	table, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	last := monotime.Micros(0)
	for i := range 4 {
		table.SetReadyEndpoints(now, 0, 0)
		table.SetReadyEndpoints(now, 0, 5)
		out := now
		for {
			now += 10 * ms
			table.Choose(now, Request{RequiredZone: -1})
			if s, _, _ := table.ZoneState(0); s == Recovering {
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
func TestSpillStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings(rapid.IntRange(1, 50).Draw(t, "instances"))
		s.MaxSpareFraction, s.Seed = rapid.Float64Range(0.1, 1).Draw(t, "spare"), rapid.Uint64().Draw(t, "seed")
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
				table.SetReadyEndpoints(now, rng.IntN(3), rng.IntN(2)*5)
			case k < 11:
				r := Request{Group: rng.IntN(3), Class: rng.IntN(2), OverShare: rng.IntN(4) == 0, RequiredZone: rng.IntN(8) - 5}
				r.RequiredZone = max(-1, r.RequiredZone)
				a := table.Choose(now, r)
				if r.RequiredZone >= 0 && a.Zone >= 0 && (a.Zone != r.RequiredZone || a.Spill) {
					t.Fatalf("%+v went to %+v", r, a)
				}
				if a.Zone < 0 {
					if a.Reason == None {
						t.Fatalf("%+v: %+v", r, a)
					}
					continue
				}
				if a.Spill != (r.RequiredZone < 0 && a.Zone != s.ZonePreferences[r.Group][0]) {
					t.Fatalf("%+v: %+v", r, a)
				}
				table.OnAttemptSent(now, a.Zone, a.Spill)
				if z := &table.zones[a.Zone]; a.Spill && float64(z.spillInFlight) > max(1, s.MaxSpareFraction*float64(z.limiter.Limit())+1) {
					t.Fatalf("%d guests of %d", z.spillInFlight, z.limiter.Limit())
				}
				flying = append(flying, out{a.Zone, a.Spill})
			case len(flying) > 0:
				i := rng.IntN(len(flying))
				f := flying[i]
				flying = append(flying[:i], flying[i+1:]...)
				took := monotime.Micros(rng.IntN(200)) * ms
				table.OnAttemptEnded(now, f.zone, Outcome{Class: rng.IntN(2), Spill: f.spill, Duration: took, InFlight: 1 + rng.IntN(5), Served: rng.IntN(4) > 0,
					InTime: took < objective, Inconclusive: rng.IntN(10) == 0})
			}
		}
		for _, f := range flying {
			table.OnAttemptEnded(now, f.zone, Outcome{Spill: f.spill, Inconclusive: true})
		}
		for i := range table.zones {
			if z := &table.zones[i]; z.inFlight != 0 || z.spillInFlight != 0 {
				t.Fatalf("zone %d has %d in flight, %d guests", i, z.inFlight, z.spillInFlight)
			}
		}
	})
}

func TestInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"zones": func(s *Settings) { s.Zones = 0 }, "classes": func(s *Settings) { s.ClassWeights = nil }, "ranks": func(s *Settings) { s.ZonePreferences = nil },
		"no zone": func(s *Settings) { s.ZonePreferences = [][]int{{0, 3}} }, "twice": func(s *Settings) { s.ZonePreferences = [][]int{{0, 0}} },
		"empty": func(s *Settings) { s.ZonePreferences = [][]int{{}} }, "spare": func(s *Settings) { s.MaxSpareFraction = 1.1 },
		"traffic": func(s *Settings) { s.MaxSpillFraction = 0 }, "share": func(s *Settings) { s.InitialRecoveryShare = 0 }, "step": func(s *Settings) { s.RecoveryStep = 0 },
		"away": func(s *Settings) { s.MaxDownTime = 1 }, "least": func(s *Settings) { s.MinInFlight = 0 }, "instances": func(s *Settings) { s.Instances = 0 },
	} {
		s := testSettings(1)
		spoil(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A zone in which attempts are in flight and nothing comes back is lost after a while, before their time is up.
func TestSilentZoneGoesDown(t *testing.T) {
	table, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	for range minSilentInFlight {
		table.OnAttemptSent(second, 0, false)
	}
	if a := table.Choose(second+silenceTimeout/2, Request{RequiredZone: -1}); a.Zone != 0 {
		t.Errorf("silent for a moment: %+v", a)
	}
	if a := table.Choose(second+silenceTimeout+ms, Request{RequiredZone: -1}); a.Zone == 0 {
		t.Errorf("silent for long: %+v", a)
	}
}

// A zone that returns half-healthy gets less, not more; once it is well it gets all.
func TestHalfHealthyRecoveryIsHeldBack(t *testing.T) {
	table, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	table.SetReadyEndpoints(now, 0, 0)
	table.SetReadyEndpoints(now, 0, 4)
	run := func(d monotime.Micros, good func(i int) bool) (most float64) {
		n := 0
		for end := now + d; now < end; now += 2 * ms {
			if a := table.Choose(now, Request{RequiredZone: -1}); a.Zone == 0 {
				table.OnAttemptSent(now, 0, false)
				n++
				table.OnAttemptEnded(now+ms, 0, Outcome{Duration: ms, InFlight: 1, Served: true, InTime: good(n)})
			}
			if s, share, _ := table.ZoneState(0); s != Down {
				most = max(most, share)
			}
		}
		return most
	}
	if most := run(20*second, func(i int) bool { return i%2 == 0 }); most > 2*table.settings.InitialRecoveryShare {
		t.Errorf("half healthy it got %v of its requests", most)
	}
	run(30*second, func(int) bool { return true })
	if s, _, _ := table.ZoneState(0); s != Up {
		t.Errorf("once well it is %v", s)
	}
}
