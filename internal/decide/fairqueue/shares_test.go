package fairqueue

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"dunlinsail/internal/monotime"
)

const ms monotime.Micros = 1000

// world plays requests in simulated time: what is admitted holds a slot for its time and is then done.
type world struct {
	t     rapid.TB
	x     *Scheduler
	now   monotime.Micros
	id    uint64
	ends  ends
	took  func(id uint64) monotime.Micros
	held  map[uint64]*played
	gone  map[Reason]int
	slots int
}

type played struct {
	client *Client
	asked  monotime.Micros
	until  monotime.Micros
	class  int
	began  monotime.Micros
	in     bool
	ended  func(p *played, at monotime.Micros)
	refuse func(why Reason)
}

type end struct {
	at monotime.Micros
	id uint64
}

type ends []end

func (e ends) Len() int { return len(e) }
func (e ends) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].id < e[j].id
}
func (e ends) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(v any)   { *e = append(*e, v.(end)) }
func (e *ends) Pop() any     { l := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return l }

func newWorld(t rapid.TB, s Settings, took func(uint64) monotime.Micros) *world {
	return &world{t: t, x: New(s), took: took, held: map[uint64]*played{}, gone: map[Reason]int{}, slots: s.Slots}
}

// ask offers a request; ended is called when it is over, refuse when it is turned away.
func (w *world) ask(c *Client, class int, until monotime.Micros, ended func(*played, monotime.Micros), refuse func(Reason)) {
	w.id++
	w.held[w.id] = &played{client: c, asked: w.now, until: until, class: class, ended: ended, refuse: refuse}
	w.x.Offer(w.now, c, Request{ID: w.id, Class: class, Until: until})
	w.settle()
}

// settle takes the decisions that are due, and checks what must hold after them.
func (w *world) settle() {
	for {
		d, ok := w.x.Next(w.now)
		if !ok {
			break
		}
		p := w.held[d.ID]
		if p == nil {
			w.t.Fatalf("a decision on request %d, which is not open", d.ID)
		}
		if d.Verb == TurnAway {
			if p.in {
				w.t.Fatalf("request %d was turned away in flight", d.ID)
			}
			if d.RetryAfter < 0 {
				w.t.Fatalf("retry after %d", d.RetryAfter)
			}
			delete(w.held, d.ID)
			w.gone[d.Reason]++
			if p.refuse != nil {
				p.refuse(d.Reason)
			}
			continue
		}
		if p.in {
			w.t.Fatalf("request %d was admitted twice", d.ID)
		}
		p.in, p.began = true, w.now
		heap.Push(&w.ends, end{w.now + w.took(d.ID), d.ID})
	}
	waiting, in := len(w.held)-len(w.ends), len(w.ends)
	if a, b := w.x.Counts(); a != waiting || b != in {
		w.t.Fatalf("it counts %d waiting and %d in flight; there are %d and %d", a, b, waiting, in)
	}
	if w.slots > 0 && in > w.slots {
		w.t.Fatalf("%d in flight of %d", in, w.slots)
	}
	if waiting > 0 && (w.slots == 0 || in < w.slots) {
		w.t.Fatalf("%d wait while %d of %d slots are taken", waiting, in, w.slots)
	}
}

// until plays on to an instant.
func (w *world) until(at monotime.Micros) {
	for {
		next := at
		if len(w.ends) > 0 {
			next = min(next, w.ends[0].at)
		}
		if wake := w.x.Wake(); wake > 0 {
			next = min(next, max(w.now, wake))
		}
		w.now = max(w.now, next)
		if len(w.ends) > 0 && w.ends[0].at <= w.now {
			e := heap.Pop(&w.ends).(end)
			p := w.held[e.id]
			delete(w.held, e.id)
			w.x.Done(w.now, e.id)
			w.x.Learn(p.class, w.now-p.began)
			w.settle()
			if p.ended != nil {
				p.ended(p, w.now)
			}
			continue
		}
		w.settle()
		if w.now >= at {
			return
		}
	}
}

func add(t rapid.TB, s Spec) *Client {
	c, err := NewClient(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Under saturation each client's time in flight is within 5% of its weight's part in any second, none starves,
// and no slot is idle while someone waits (settle checks that).
func TestSharesFollowWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 24).Draw(t, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		means := rapid.SliceOfN(rapid.Int64Range(1000, 4000), len(weights), len(weights)).Draw(t, "means")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var w *world
		w = newWorld(t, Settings{Classes: make([]monotime.Micros, len(weights)), Slots: slots}, func(id uint64) monotime.Micros {
			// Each client has a class of its own: some clients' requests take longer than others'.
			return monotime.Micros(float64(means[w.held[id].class]) * (0.5 + rng.Float64()))
		})
		const length, slice = 3 * second, second / 4
		used := make([][]float64, len(weights)) // time in flight by slices of a quarter second
		var sum float64
		for i, weight := range weights {
			sum += float64(weight)
			used[i] = make([]float64, length/slice+1)
			c := add(t, Spec{Name: fmt.Sprint(i), Weight: float64(weight)})
			// Each keeps enough waiting that it never runs dry.
			var again func(p *played, at monotime.Micros)
			again = func(p *played, at monotime.Micros) {
				for from := p.began; from < at; {
					to := min(at, (from/slice+1)*slice)
					if s := from / slice; int(s) < len(used[i]) {
						used[i][s] += float64(to - from)
					}
					from = to
				}
				if w.now < length {
					w.ask(c, i, math.MaxInt64/2, again, nil)
				}
			}
			for range 2*slots + 2 {
				w.ask(c, i, math.MaxInt64/2, again, nil)
			}
		}
		w.until(length)
		for from := 2; from+4 <= len(used[0])-2; from++ { // any second but the first half, where costs are guessed
			var all float64
			for i := range used {
				for _, v := range used[i][from : from+4] {
					all += v
				}
			}
			for i := range used {
				var own float64
				for _, v := range used[i][from : from+4] {
					own += v
				}
				if want := float64(weights[i]) / sum; math.Abs(own/all/want-1) > 0.05 {
					t.Fatalf("slots %d, weights %v, means %v: client %d had %.3f of a second, its part is %.3f",
						slots, weights, means, i, own/all, want)
				}
			}
		}
	})
}

// Whatever clients ask, each request has one decision to go on or be turned away, none waits past the instant at
// which its answer could still be in time, and at the end all counts are back where they began.
func TestEveryRequestIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		s := Settings{Classes: []monotime.Micros{5 * ms, 20 * ms}, Slots: rapid.IntRange(0, 6).Draw(t, "slots"),
			Total: &Total{Most: rapid.SampledFrom([]int{0, 5, 50}).Draw(t, "open")}}
		w := newWorld(t, s, func(uint64) monotime.Micros { return rng.Int64N(40 * ms) })
		var clients []*Client
		for i := range rapid.IntRange(1, 4).Draw(t, "clients") {
			clients = append(clients, add(t, Spec{Name: fmt.Sprint(i), Weight: 0.5 + rng.Float64(),
				Open: rng.IntN(3) * 4, Rate: float64(rng.IntN(2)) * 100, Burst: 10}))
		}
		asked, over := 0, 0
		for range 600 {
			switch rng.IntN(8) {
			case 0:
				w.until(w.now + rng.Int64N(30*ms))
			case 1: // a client goes, while it waits or in flight
				for id, p := range w.held {
					if !p.in {
						delete(w.held, id)
						w.x.Done(w.now, id)
						w.settle()
						over++
					}
					break
				}
			case 2:
				if s.Slots > 0 {
					w.slots = 1 + rng.IntN(8)
					w.x.Slots(w.slots)
					if _, in := w.x.Counts(); in > w.slots {
						w.slots = in // those in flight stay
						w.x.Slots(in)
					}
					w.settle()
				}
			default:
				asked++
				c := clients[rng.IntN(len(clients))]
				w.ask(c, rng.IntN(2), w.now+rng.Int64N(200*ms), func(p *played, _ monotime.Micros) {
					over++
					if p.began > p.until {
						t.Fatalf("a request went on at %d whose answer had to be there at %d", p.began, p.until)
					}
				}, func(Reason) { over++ })
			}
			for _, c := range clients {
				waiting, in := c.Open()
				if c.spec.Open > 0 && waiting+in > c.spec.Open {
					t.Fatalf("%d open of %d", waiting+in, c.spec.Open)
				}
			}
			if waiting, in := w.x.Counts(); s.Total.Most > 0 && waiting+in > s.Total.Most {
				t.Fatalf("%d open of %d in all", waiting+in, s.Total.Most)
			}
		}
		w.until(w.now + 10*second)
		if asked != over {
			t.Fatalf("%d asked, %d over", asked, over)
		}
		if len(w.x.requests) != 0 || len(w.x.backlog) != 0 || len(w.x.expiry) != 0 || w.x.inFlight != 0 || w.x.weights != 0 {
			t.Fatalf("left behind: %+v", w.x)
		}
	})
}

// A client within its share is not hurt by one at twenty times its own: it waits for a turn, never behind the
// other's queue, and none of its requests is turned away.
func TestModestClientBesideAHog(t *testing.T) {
	run := func(hog float64) (p99 monotime.Micros, refused int, share float64) {
		rng := rand.New(rand.NewPCG(5, 3))
		w := newWorld(t, Settings{Classes: []monotime.Micros{10 * ms}, Slots: 16}, func(uint64) monotime.Micros {
			return 8*ms + rng.Int64N(4*ms)
		})
		modest, greedy := add(t, Spec{Name: "modest", Weight: 1}), add(t, Spec{Name: "greedy", Weight: 1})
		var times []monotime.Micros
		var own, all monotime.Micros
		next := [2]float64{}
		for w.now < 20*second { // the modest asks 400 times a second, half of its share of what can be done
			i := 0
			if next[1] < next[0] && hog > 0 {
				i = 1
			}
			w.until(monotime.Micros(next[i]))
			if i == 0 {
				next[0] += rng.ExpFloat64() / 400 * float64(second)
				w.ask(modest, 0, w.now+250*ms, func(p *played, end monotime.Micros) {
					times = append(times, end-p.asked)
					own += end - p.began
					all += end - p.began
				}, func(Reason) { refused++ })
				continue
			}
			next[1] += rng.ExpFloat64() / (400 * hog) * float64(second)
			w.ask(greedy, 0, w.now+250*ms, func(p *played, end monotime.Micros) { all += end - p.began }, nil)
		}
		slices.Sort(times)
		return times[len(times)*99/100], refused, 1 - float64(own)/float64(all)
	}
	alone, refused, _ := run(0)
	if refused != 0 {
		t.Fatalf("alone %d refused", refused)
	}
	beside, refused, share := run(20)
	if refused != 0 {
		t.Errorf("beside the other %d of its requests were turned away", refused)
	}
	if r := float64(beside) / float64(alone); r > 1.25 {
		t.Errorf("p99 %d us beside the other, %d alone: %.2f times, want 1.25 at most", beside, alone, r)
	}
	if share < 0.7 {
		t.Errorf("the other got %.2f of the time: what the modest one leaves is its own", share)
	}
}

// What cannot be in time is turned away at once, with the time after which it may be.
func TestTurnedAwayAtOnce(t *testing.T) {
	w := newWorld(t, Settings{Classes: []monotime.Micros{100 * ms}, Slots: 1}, func(uint64) monotime.Micros { return 100 * ms })
	c := add(t, Spec{Name: "c", Weight: 1})
	w.ask(c, 0, 250*ms, nil, nil) // in flight
	w.ask(c, 0, 250*ms, nil, nil) // waits for the first
	w.x.Offer(0, c, Request{ID: 99, Until: 250 * ms})
	w.held[99] = &played{client: c}
	d, ok := w.x.Next(0)
	if !ok || d.Verb != TurnAway || d.Reason != Late || d.RetryAfter < 20*ms || d.RetryAfter > 200*ms {
		t.Fatalf("the third: %+v, want it turned away as late, to come back after 50 to 200 ms", d)
	}
}

// Where there is room a request goes on, however slow its class has been: whether it is worth sending, the
// balancer decides.
func TestNobodyIsTurnedAwayWhileThereIsRoom(t *testing.T) {
	for _, slots := range []int{0, 1} {
		w := newWorld(t, Settings{Classes: []monotime.Micros{10 * ms}, Slots: slots}, func(uint64) monotime.Micros { return 300 * ms })
		c := add(t, Spec{Name: "c", Weight: 1})
		for range 20 {
			w.ask(c, 0, w.now+200*ms, nil, func(why Reason) { t.Fatalf("slots %d: turned away: %v", slots, why) })
			w.until(w.now + 400*ms)
		}
	}
}

// A request that waits is given up at the instant from which its answer could not be in time.
func TestGivenUpWhileWaiting(t *testing.T) {
	w := newWorld(t, Settings{Classes: []monotime.Micros{10 * ms}, Slots: 1}, func(id uint64) monotime.Micros {
		return map[bool]monotime.Micros{true: second, false: 10 * ms}[id == 1] // the first hangs
	})
	c := add(t, Spec{Name: "c", Weight: 1})
	w.ask(c, 0, 250*ms, nil, nil)
	var at monotime.Micros
	w.ask(c, 0, 50*ms, nil, func(why Reason) {
		if at = w.now; why != Late {
			t.Errorf("turned away as: %v", why)
		}
	})
	w.until(200 * ms)
	if at != 40*ms {
		t.Errorf("given up at %d us, want 40 ms: 50 less the 10 that it takes", at)
	}
}

// The bounds of a client hold, and tell when to come back.
func TestBounds(t *testing.T) {
	w := newWorld(t, Settings{Classes: []monotime.Micros{10 * ms}, Slots: 1, Total: &Total{Most: 4}}, func(uint64) monotime.Micros { return 10 * ms })
	few, fast, any := add(t, Spec{Name: "few", Weight: 1, Open: 2}),
		add(t, Spec{Name: "fast", Weight: 1, Rate: 10, Burst: 2}), add(t, Spec{Name: "any", Weight: 1})
	expect := func(c *Client, want Reason) {
		t.Helper()
		got := None
		w.ask(c, 0, w.now+second, nil, func(why Reason) { got = why })
		if got != want {
			t.Errorf("turned away as %q, want %q", got, want)
		}
	}
	expect(few, None)
	expect(few, None)
	expect(few, TooMany)
	expect(any, None)
	expect(any, None)
	expect(any, Full)
	w.until(second)
	expect(few, None)
	expect(fast, None)
	expect(fast, None)
	expect(fast, TooFast)
	w.x.Offer(w.now, fast, Request{ID: 999, Until: w.now + second})
	if d, _ := w.x.Next(w.now); d.RetryAfter != 100*ms {
		t.Errorf("to come back after %d us, want 100 ms: one of ten a second", d.RetryAfter)
	}
	w.until(2 * second)
	expect(fast, None)
}

func TestSpecsThatMakeNoSense(t *testing.T) {
	for _, s := range []Spec{{}, {Weight: -1}, {Weight: math.NaN()}, {Weight: math.Inf(1)}, {Weight: 1, Open: -1},
		{Weight: 1, Rate: -1}, {Weight: 1, Rate: 5}, {Weight: 1, Rate: math.NaN()}} {
		if _, err := NewClient(s); err == nil {
			t.Errorf("%+v was taken", s)
		}
		if err := add(t, Spec{Weight: 1}).Change(s); err == nil {
			t.Errorf("a change to %+v was taken", s)
		}
	}
}

// A client whose weight changes has its new share from then on.
func TestChange(t *testing.T) {
	w := newWorld(t, Settings{Classes: []monotime.Micros{ms}, Slots: 2}, func(uint64) monotime.Micros { return ms })
	a, b := add(t, Spec{Name: "a", Weight: 1}), add(t, Spec{Name: "b", Weight: 1})
	var done [2]int
	for i, c := range []*Client{a, b} {
		var again func(*played, monotime.Micros)
		again = func(*played, monotime.Micros) {
			if done[i]++; w.now < 2*second {
				w.ask(c, 0, math.MaxInt64/2, again, nil)
			}
		}
		for range 5 {
			w.ask(c, 0, math.MaxInt64/2, again, nil)
		}
	}
	w.until(second)
	if r := float64(done[0]) / float64(done[1]); math.Abs(r-1) > 0.02 {
		t.Fatalf("%v with equal weights", done)
	}
	if err := b.Change(Spec{Name: "b", Weight: 3}); err != nil {
		t.Fatal(err)
	}
	before := done
	w.until(2 * second)
	if r := float64(done[1]-before[1]) / float64(done[0]-before[0]); math.Abs(r-3) > 0.1 {
		t.Errorf("%.2f times as much with three times the weight", r)
	}
}

// The bounds of a client, and the bound on all, hold over several schedulers; a place in one is none in another.
func TestSeveralSchedulers(t *testing.T) {
	total := &Total{Most: 5}
	var x [2]*Scheduler
	for i := range x {
		x[i] = New(Settings{Classes: []monotime.Micros{ms}, Slots: 1, Total: total})
	}
	a, b := add(t, Spec{Name: "a", Weight: 1, Open: 3}), add(t, Spec{Name: "b", Weight: 1})
	id := uint64(0)
	ask := func(x *Scheduler, c *Client, want Decision) {
		t.Helper()
		id++
		x.Offer(0, c, Request{ID: id, Until: second})
		d, ok := x.Next(0)
		if ok != (d.ID != 0) || ok && d.ID != id || d.Verb != want.Verb || d.Reason != want.Reason || !ok && want.ID != 0 {
			t.Fatalf("request %d: %+v, %v", id, d, ok)
		}
	}
	goes, waits := Decision{ID: 1}, Decision{}
	ask(x[0], a, goes)
	ask(x[0], a, waits)
	ask(x[1], a, goes)
	ask(x[1], a, Decision{ID: 1, Verb: TurnAway, Reason: TooMany})
	ask(x[1], b, waits)
	ask(x[0], b, waits)
	ask(x[0], b, Decision{ID: 1, Verb: TurnAway, Reason: Full})
	if w, in := a.Open(); w != 1 || in != 2 {
		t.Errorf("a has %d waiting and %d in flight", w, in)
	}
	x[1].Done(0, 3)
	if d, ok := x[1].Next(0); !ok || d.ID != 5 || d.Verb != Admit {
		t.Errorf("with a place free there: %+v, %v", d, ok)
	}
	ask(x[1], a, waits)
}
