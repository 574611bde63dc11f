package zones

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const ms = monotime.Millisecond

func testSettings(instances int) Settings {
	return Settings{
		Zones:                3,
		ClassWeights:         []float64{1, 5},
		ZonePreferences:      [][]int{{0, 1, 2}, {1, 2, 0}, {2, 0, 1}},
		MaxSpareFraction:     0.8,
		MaxSpillFraction:     1,
		InitialRecoveryShare: 0.05,
		RecoveryStep:         second,
		MinDownTime:          second,
		MaxDownTime:          30 * second,
		MinInFlight:          1,
		MaxInFlight:          200,
		Seed:                 1,
		Instances:            instances,
	}
}

// simulation is three zones of servers and some instances that send to them, in simulated time.
type simulation struct {
	now     monotime.Micros
	events  events
	order   int
	rng     *rand.Rand
	zones   [3]*servers
	routers []*Router

	requests, served, rejected [3]int // by home zone, since the last count
	spilled                    [3]int // spilled requests by the zone that got them, since the last count
	late                       [3]int // requests by zone that it did not answer within the objective
}

// servers are a zone's cores and their queue.
type servers struct {
	cores        int
	busy         int
	queue        []*attempt
	stopped      bool
	mute         bool
	warmingSince monotime.Micros // 0 is long ago
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

func newSimulation(tb testing.TB, instances, cores int, rate float64) *simulation {
	tb.Helper()
	w := &simulation{rng: rand.New(rand.NewPCG(1, uint64(instances)))}
	for i := range w.zones {
		w.zones[i] = &servers{cores: cores, slow: 1}
	}
	for i := range instances {
		s := testSettings(instances)
		s.Seed = uint64(i + 1)
		router, err := New(s)
		if err != nil {
			tb.Fatal(err)
		}
		w.routers = append(w.routers, router)
		home := i % 3
		each := rate / float64(instances/3)
		var arrive func()
		arrive = func() {
			w.request(router, home)
			w.after(monotime.Micros(w.rng.ExpFloat64()/each*float64(second))+1, arrive)
		}
		w.after(monotime.Micros(w.rng.Float64()*float64(second)), arrive)
	}
	return w
}

func (w *simulation) request(router *Router, home int) {
	class := 0
	if w.rng.IntN(5) == 0 {
		class = 1
	}
	w.requests[home]++
	a := router.Choose(w.now, Request{Group: home, Class: class, RequiredZone: -1})
	if a.Zone < 0 {
		w.rejected[home]++
		return
	}
	router.OnAttemptSent(w.now, a.Zone, a.Spill)
	if a.Spill {
		w.spilled[a.Zone]++
	}
	x := &attempt{
		router:   router,
		home:     home,
		zone:     a.Zone,
		class:    class,
		spill:    a.Spill,
		sentAt:   w.now,
		inFlight: router.InFlight(a.Zone),
	}
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
	x.router.OnAttemptEnded(w.now, x.zone, Outcome{
		Class:    x.class,
		Spill:    x.spill,
		Duration: took,
		InFlight: x.inFlight,
		Served:   served,
		InTime:   good,
	})
}

// stopZone stops a zone: requests there are lost, and connections fail. Discovery reports it after a delay.
func (w *simulation) stopZone(number int, discoveryDelay monotime.Micros) {
	z := w.zones[number]
	z.stopped = true
	z.queue = nil
	w.after(discoveryDelay, func() {
		if z.stopped {
			w.setReady(number, 0)
		}
	})
}

func (w *simulation) restartZone(number int) {
	z := w.zones[number]
	z.stopped = false
	z.mute = false
	z.warmingSince = w.now
	w.setReady(number, z.cores)
}

func (w *simulation) setReady(number, ready int) {
	for _, router := range w.routers {
		router.SetReadyEndpoints(w.now, number, ready)
	}
}

// takeCounts returns which part of the requests was served in time, by home zone, since the last call.
func (w *simulation) takeCounts() (part [3]float64, all float64) {
	good, requests := 0, 0
	for i := range part {
		part[i] = float64(w.served[i]) / float64(max(1, w.requests[i]))
		good += w.served[i]
		requests += w.requests[i]
	}
	for _, counts := range []*[3]int{&w.requests, &w.served, &w.rejected, &w.spilled, &w.late} {
		*counts = [3]int{}
	}
	return part, float64(good) / float64(max(1, requests))
}

const (
	outageCores = 12    // of each zone
	outageRate  = 750.0 // requests a second of each zone's clients, of 1,200 that it can serve
)

// checkOutage runs ten seconds in which zone 0 is down, and checks that the others serve all that they can, their own
// clients as before, and that the spill does not oscillate.
func (w *simulation) checkOutage(t *testing.T) {
	t.Helper()
	minSpill := 1e9
	maxSpill := 0.0
	for s := range 10 {
		w.runUntil(monotime.Micros(43+s) * second)
		spilled := float64(w.spilled[1] + w.spilled[2])
		minSpill = min(minSpill, spilled)
		maxSpill = max(maxSpill, spilled)
		part, all := w.takeCounts()
		if part[1] < 0.95 || part[2] < 0.95 {
			t.Errorf("second %d: the others' own clients %.3f", 43+s, part)
		}
		// 2,400 can be served of 2,250; 0.8 of the spare 900 is 720.
		if want := 0.95 * (2*outageRate + 0.8*900*outageRate/900) / (3 * outageRate); all < want*0.95 {
			t.Errorf("second %d: %.3f in all, want %.3f", 43+s, all, want)
		}
	}
	if maxSpill > 1.25*minSpill {
		t.Errorf("the spill oscillates from %v to %v a second", minSpill, maxSpill)
	}
	t.Logf("spill %v to %v a second", minSpill, maxSpill)
}

// checkRecovery runs the thirty seconds after zone 0 has restarted, and checks that it is never sent more than it can
// answer in time, and that the others' clients are served.
func (w *simulation) checkRecovery(t *testing.T) {
	t.Helper()
	for half := range 60 {
		w.runUntil(52*second + monotime.Micros(half+1)*second/2)
		if sent := w.served[0] + w.late[0]; w.late[0] > 5 && w.late[0] > sent/10 {
			t.Errorf("%.1f s after its restart %d of %d were not answered in time", float64(half+1)/2, w.late[0], sent)
		}
		part, _ := w.takeCounts()
		if part[1] < 0.9 || part[2] < 0.9 {
			t.Errorf("%.1f s after its restart the others' clients %.3f", float64(half+1)/2, part)
		}
	}
}

// A zone goes down and recovers. The others serve all that they can, their own clients as before; the spill does not
// oscillate; and the zone that recovers is never sent more than it can answer in time.
func TestZoneOutageAndRecovery(t *testing.T) {
	for _, instances := range []int{3, 30, 300} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			w := newSimulation(t, instances, outageCores, outageRate)
			w.runUntil(20 * second)
			w.takeCounts()
			w.runUntil(30 * second)
			if part, all := w.takeCounts(); all < 0.99 {
				t.Errorf("before the outage: %.3f, %.3f", all, part)
			}
			w.stopZone(0, 2*second)
			w.runUntil(42 * second) // until it is stable
			w.takeCounts()
			w.checkOutage(t)
			w.restartZone(0)
			w.takeCounts()
			w.checkRecovery(t)
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

// A zone that does not answer, whatever discovery lists, goes down; one without endpoints does so at once; with no zone
// up requests are rejected at once, and all are served again afterwards.
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
	for i, router := range w.routers {
		a := router.Choose(w.now, Request{Group: i, RequiredZone: -1})
		if a.Zone >= 0 || a.Reason != NoZoneUp || a.RetryAfter <= 0 {
			t.Errorf("with no zone: %+v", a)
		}
	}
	if a := w.routers[0].Choose(w.now, Request{RequiredZone: 2}); a.Zone >= 0 || a.Reason != RequiredZoneDown {
		t.Errorf("required zone is down: %+v", a)
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

// A zone that flaps stays down longer each time.
func TestFlappingZoneStaysDownLonger(t *testing.T) {
	router, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	last := monotime.Micros(0)
	for i := range 4 {
		router.SetReadyEndpoints(now, 0, 0)
		router.SetReadyEndpoints(now, 0, 5)
		downAt := now
		for {
			now += 10 * ms
			router.Choose(now, Request{RequiredZone: -1})
			if s, _, _ := router.ZoneState(0); s == Recovering {
				break
			}
		}
		if downTime := now - downAt; i > 0 && downTime < last*5/4 {
			t.Errorf("flap %d: down for %d ms after %d", i, downTime/ms, last/ms)
		} else {
			last = downTime
		}
	}
}

// checkDecision checks what must hold of any decision.
func checkDecision(t *rapid.T, s *Settings, r Request, d Decision) {
	t.Helper()
	if r.RequiredZone >= 0 && d.Zone >= 0 && (d.Zone != r.RequiredZone || d.Spill) {
		t.Fatalf("%+v went to %+v", r, d)
	}
	if d.Zone < 0 {
		if d.Reason == None {
			t.Fatalf("%+v: %+v", r, d)
		}
		return
	}
	if d.Spill != (r.RequiredZone < 0 && d.Zone != s.ZonePreferences[r.Group][0]) {
		t.Fatalf("%+v: %+v", r, d)
	}
}

// checkNothingInFlight checks that all attempts are counted back.
func checkNothingInFlight(t *rapid.T, router *Router) {
	t.Helper()
	for i := range router.zones {
		if z := &router.zones[i]; z.inFlight != 0 || z.spillInFlight != 0 {
			t.Fatalf("zone %d has %d in flight, %d spilled", i, z.inFlight, z.spillInFlight)
		}
	}
}

// sentAttempt is an attempt that has not ended.
type sentAttempt struct {
	zone  int
	spill bool
}

// Whatever happens, spill never uses more than its part of a zone's capacity, each attempt is counted back, and a
// request with a required zone goes to no other.
func TestSpillStaysWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testSettings(rapid.IntRange(1, 50).Draw(t, "instances"))
		s.MaxSpareFraction = rapid.Float64Range(0.1, 1).Draw(t, "spare")
		s.Seed = rapid.Uint64().Draw(t, "seed")
		router, err := New(s)
		if err != nil {
			t.Fatal(err)
		}
		rng := rand.New(rand.NewPCG(s.Seed, 9))
		var inFlight []sentAttempt
		now := monotime.Micros(0)
		for range 3000 {
			now += monotime.Micros(rng.IntN(3000))
			switch k := rng.IntN(20); {
			case k == 0:
				router.SetReadyEndpoints(now, rng.IntN(3), rng.IntN(2)*5)
			case k < 11:
				r := Request{
					Group:        rng.IntN(3),
					Class:        rng.IntN(2),
					OverQuota:    rng.IntN(4) == 0,
					RequiredZone: max(-1, rng.IntN(8)-5),
				}
				a := router.Choose(now, r)
				checkDecision(t, &s, r, a)
				if a.Zone < 0 {
					continue
				}
				router.OnAttemptSent(now, a.Zone, a.Spill)
				z := &router.zones[a.Zone]
				maxSpill := max(1, s.MaxSpareFraction*float64(z.limiter.Limit())+1)
				if a.Spill && float64(z.spillInFlight) > maxSpill {
					t.Fatalf("%d spilled in flight of %d", z.spillInFlight, z.limiter.Limit())
				}
				inFlight = append(inFlight, sentAttempt{a.Zone, a.Spill})
			case len(inFlight) > 0:
				i := rng.IntN(len(inFlight))
				f := inFlight[i]
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
				took := monotime.Micros(rng.IntN(200)) * ms
				router.OnAttemptEnded(now, f.zone, Outcome{
					Class:        rng.IntN(2),
					Spill:        f.spill,
					Duration:     took,
					InFlight:     1 + rng.IntN(5),
					Served:       rng.IntN(4) > 0,
					InTime:       took < objective,
					Inconclusive: rng.IntN(10) == 0,
				})
			}
		}
		for _, f := range inFlight {
			router.OnAttemptEnded(now, f.zone, Outcome{Spill: f.spill, Inconclusive: true})
		}
		checkNothingInFlight(t, router)
	})
}

func TestInvalidSettings(t *testing.T) {
	for name, invalidate := range map[string]func(*Settings){
		"zones":       func(s *Settings) { s.Zones = 0 },
		"classes":     func(s *Settings) { s.ClassWeights = nil },
		"preferences": func(s *Settings) { s.ZonePreferences = nil },
		"no zone":     func(s *Settings) { s.ZonePreferences = [][]int{{0, 3}} },
		"twice":       func(s *Settings) { s.ZonePreferences = [][]int{{0, 0}} },
		"empty":       func(s *Settings) { s.ZonePreferences = [][]int{{}} },
		"spare":       func(s *Settings) { s.MaxSpareFraction = 1.1 },
		"spill":       func(s *Settings) { s.MaxSpillFraction = 0 },
		"share":       func(s *Settings) { s.InitialRecoveryShare = 0 },
		"step":        func(s *Settings) { s.RecoveryStep = 0 },
		"down time":   func(s *Settings) { s.MaxDownTime = 1 },
		"in flight":   func(s *Settings) { s.MinInFlight = 0 },
		"instances":   func(s *Settings) { s.Instances = 0 },
	} {
		s := testSettings(1)
		invalidate(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// A zone with attempts in flight that does not answer goes down after a while, before their timeouts.
func TestSilentZoneGoesDown(t *testing.T) {
	router, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	for range minSilentInFlight {
		router.OnAttemptSent(second, 0, false)
	}
	if a := router.Choose(second+silenceTimeout/2, Request{RequiredZone: -1}); a.Zone != 0 {
		t.Errorf("silent for a moment: %+v", a)
	}
	if a := router.Choose(second+silenceTimeout+ms, Request{RequiredZone: -1}); a.Zone == 0 {
		t.Errorf("silent for long: %+v", a)
	}
}

// A zone that recovers half-healthy gets less, not more; once it is healthy it gets all.
func TestHalfHealthyRecoveryIsHeldBack(t *testing.T) {
	router, err := New(testSettings(1))
	if err != nil {
		t.Fatal(err)
	}
	now := monotime.Micros(0)
	router.SetReadyEndpoints(now, 0, 0)
	router.SetReadyEndpoints(now, 0, 4)
	run := func(d monotime.Micros, good func(i int) bool) (maxShare float64) {
		n := 0
		for end := now + d; now < end; now += 2 * ms {
			if a := router.Choose(now, Request{RequiredZone: -1}); a.Zone == 0 {
				router.OnAttemptSent(now, 0, false)
				n++
				router.OnAttemptEnded(now+ms, 0, Outcome{Duration: ms, InFlight: 1, Served: true, InTime: good(n)})
			}
			if s, share, _ := router.ZoneState(0); s != Down {
				maxShare = max(maxShare, share)
			}
		}
		return maxShare
	}
	maxShare := run(20*second, func(i int) bool { return i%2 == 0 })
	if maxShare > 2*router.settings.InitialRecoveryShare {
		t.Errorf("half healthy it got %v of its requests", maxShare)
	}
	run(30*second, func(int) bool { return true })
	if s, _, _ := router.ZoneState(0); s != Up {
		t.Errorf("once healthy it is %v", s)
	}
}
