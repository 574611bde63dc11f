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

const ms = monotime.Millisecond

// simulation runs requests in simulated time: an admitted request is in flight for its service time and then done.
type simulation struct {
	t           rapid.TB
	scheduler   *Scheduler
	now         monotime.Micros
	lastID      uint64
	completions completionHeap
	serviceTime func(id uint64) monotime.Micros
	open        map[uint64]*simRequest
	rejections  map[Reason]int
	maxInFlight int
}

type simRequest struct {
	client     *Client
	enqueuedAt monotime.Micros
	deadline   monotime.Micros
	class      int
	startedAt  monotime.Micros
	inFlight   bool
	onEnd      func(p *simRequest, at monotime.Micros)
	onReject   func(why Reason)
}

type completion struct {
	at monotime.Micros
	id uint64
}

type completionHeap []completion

func (e completionHeap) Len() int { return len(e) }
func (e completionHeap) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].id < e[j].id
}
func (e completionHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *completionHeap) Push(v any)   { *e = append(*e, v.(completion)) }
func (e *completionHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimulation(t rapid.TB, s Settings, took func(uint64) monotime.Micros) *simulation {
	return &simulation{
		t:           t,
		scheduler:   New(s),
		serviceTime: took,
		open:        map[uint64]*simRequest{},
		rejections:  map[Reason]int{},
		maxInFlight: s.MaxInFlight,
	}
}

// enqueue enqueues a request; onEnd is called when it has ended, onReject when it is rejected.
func (w *simulation) enqueue(
	c *Client, class int, deadline monotime.Micros, onEnd func(*simRequest, monotime.Micros), onReject func(Reason),
) {
	w.lastID++
	w.open[w.lastID] = &simRequest{
		client:     c,
		enqueuedAt: w.now,
		deadline:   deadline,
		class:      class,
		onEnd:      onEnd,
		onReject:   onReject,
	}
	w.scheduler.Enqueue(w.now, c, Request{ID: w.lastID, Class: class, Deadline: deadline})
	w.applyDecisions()
}

// applyDecisions takes the decisions that are due, and checks what must hold after them.
func (w *simulation) applyDecisions() {
	for {
		d, ok := w.scheduler.Next(w.now)
		if !ok {
			break
		}
		w.apply(d)
	}
	w.checkCapacity()
}

// apply carries out a decision, and checks that it is one on a waiting request.
func (w *simulation) apply(d Decision) {
	p := w.open[d.ID]
	if p == nil {
		w.t.Fatalf("a decision on request %d, which is not open", d.ID)
	}
	if p.inFlight {
		w.t.Fatalf("request %d was admitted before: %+v", d.ID, d)
	}
	if d.Action == Admit {
		p.inFlight = true
		p.startedAt = w.now
		heap.Push(&w.completions, completion{w.now + w.serviceTime(d.ID), d.ID})
		return
	}
	if d.RetryAfter < 0 {
		w.t.Fatalf("retry after %d", d.RetryAfter)
	}
	delete(w.open, d.ID)
	w.rejections[d.Reason]++
	if p.onReject != nil {
		p.onReject(d.Reason)
	}
}

// checkCapacity checks the scheduler's counts, its limit of requests in flight, and that no request waits while there
// is capacity.
func (w *simulation) checkCapacity() {
	inFlight := len(w.completions)
	waiting := len(w.open) - inFlight
	if a, b := w.scheduler.Counts(); a != waiting || b != inFlight {
		w.t.Fatalf("it counts %d waiting and %d in flight; there are %d and %d", a, b, waiting, inFlight)
	}
	if w.maxInFlight > 0 && inFlight > w.maxInFlight {
		w.t.Fatalf("%d in flight of %d", inFlight, w.maxInFlight)
	}
	if waiting > 0 && (w.maxInFlight == 0 || inFlight < w.maxInFlight) {
		w.t.Fatalf("%d wait while %d of %d slots are taken", waiting, inFlight, w.maxInFlight)
	}
}

// cancelAny takes any open request, cancels it if it waits, and reports whether it did.
func (w *simulation) cancelAny() bool {
	for id, p := range w.open {
		if p.inFlight {
			return false
		}
		delete(w.open, id)
		w.scheduler.Done(w.now, id)
		w.applyDecisions()
		return true
	}
	return false
}

// checkEmpty checks that the scheduler has nothing left of any request.
func (w *simulation) checkEmpty() {
	x := w.scheduler
	if len(x.requests) != 0 || x.backlog.Len() != 0 || x.expiry.Len() != 0 || x.inFlight != 0 || x.backlogWeight != 0 {
		w.t.Fatalf("left behind: %+v", x)
	}
}

// runUntil runs to an instant.
func (w *simulation) runUntil(at monotime.Micros) {
	for {
		next := at
		if len(w.completions) > 0 {
			next = min(next, w.completions[0].at)
		}
		if expiry := w.scheduler.NextExpiry(); expiry > 0 {
			next = min(next, max(w.now, expiry))
		}
		w.now = max(w.now, next)
		if len(w.completions) > 0 && w.completions[0].at <= w.now {
			e := heap.Pop(&w.completions).(completion)
			p := w.open[e.id]
			delete(w.open, e.id)
			w.scheduler.Done(w.now, e.id)
			w.scheduler.ObserveServiceTime(p.class, w.now-p.startedAt)
			w.applyDecisions()
			if p.onEnd != nil {
				p.onEnd(p, w.now)
			}
			continue
		}
		w.applyDecisions()
		if w.now >= at {
			return
		}
	}
}

func newTestClient(t rapid.TB, s ClientSpec) *Client {
	t.Helper()
	c, err := NewClient(s)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// usageSlices is the time in flight of each client in slices of a quarter second.
type usageSlices [][]float64

const (
	usageLength = 3 * second
	usageSlice  = second / 4
)

// add adds a client's request that was in flight between two instants.
func (u usageSlices) add(client int, from, to monotime.Micros) {
	for from < to {
		sliceEnd := min(to, (from/usageSlice+1)*usageSlice)
		if s := from / usageSlice; int(s) < len(u[client]) {
			u[client][s] += float64(sliceEnd - from)
		}
		from = sliceEnd
	}
}

// shares returns each client's part of the time in flight of four slices.
func (u usageSlices) shares(from int) []float64 {
	shares := make([]float64, len(u))
	var all float64
	for i := range u {
		for _, v := range u[i][from : from+4] {
			shares[i] += v
			all += v
		}
	}
	for i := range shares {
		shares[i] /= all
	}
	return shares
}

// saturate has a client send so many requests at once, and a new one for each that ends, until usageLength.
func (w *simulation) saturate(c *Client, client, requests int, used usageSlices) {
	var again func(p *simRequest, at monotime.Micros)
	again = func(p *simRequest, at monotime.Micros) {
		used.add(client, p.startedAt, at)
		if w.now < usageLength {
			w.enqueue(c, client, math.MaxInt64/2, again, nil)
		}
	}
	for range requests {
		w.enqueue(c, client, math.MaxInt64/2, again, nil)
	}
}

// Under saturation each client's time in flight is within 5% of its weight's part in any second, none starves, and
// no capacity is unused while a request waits (applyDecisions checks that).
func TestTimeInFlightFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 24).Draw(t, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		means := rapid.SliceOfN(rapid.Int64Range(1000, 4000), len(weights), len(weights)).Draw(t, "means")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var w *simulation
		settings := Settings{InitialTimes: make([]monotime.Micros, len(weights)), MaxInFlight: slots}
		w = newSimulation(t, settings, func(id uint64) monotime.Micros {
			// Each client has a class of its own: some clients' requests take longer than others'.
			return monotime.Micros(float64(means[w.open[id].class]) * (0.5 + rng.Float64()))
		})
		used := make(usageSlices, len(weights))
		var sum float64
		for i, weight := range weights {
			sum += float64(weight)
			used[i] = make([]float64, usageLength/usageSlice+1)
			c := newTestClient(t, ClientSpec{Name: fmt.Sprint(i), Weight: float64(weight)})
			w.saturate(c, i, 2*slots+2, used) // so many that it always has requests waiting
		}
		w.runUntil(usageLength)
		for from := 2; from+4 <= len(used[0])-2; from++ { // any second but the first half, where costs are guessed
			for i, share := range used.shares(from) {
				if want := float64(weights[i]) / sum; math.Abs(share/want-1) > 0.05 {
					t.Fatalf("slots %d, weights %v, means %v: client %d had %.3f of a second, its part is %.3f",
						slots, weights, means, i, share, want)
				}
			}
		}
	})
}

// randomRun is a simulation with clients, in which random events happen.
type randomRun struct {
	*simulation
	settings Settings
	rng      *rand.Rand
	clients  []*Client
	enqueued int
	finished int // ended, rejected or cancelled
}

// step makes one event at random.
func (r *randomRun) step() {
	switch r.rng.IntN(8) {
	case 0:
		r.runUntil(r.now + r.rng.Int64N(30*ms))
	case 1:
		if r.cancelAny() {
			r.finished++
		}
	case 2:
		if r.settings.MaxInFlight > 0 {
			r.changeMaxInFlight(1 + r.rng.IntN(8))
		}
	default:
		r.enqueueAny()
	}
}

// changeMaxInFlight changes the limit of requests in flight. Those in flight stay.
func (r *randomRun) changeMaxInFlight(n int) {
	r.maxInFlight = n
	r.scheduler.SetMaxInFlight(n)
	if _, inFlight := r.scheduler.Counts(); inFlight > n {
		r.maxInFlight = inFlight
		r.scheduler.SetMaxInFlight(inFlight)
	}
	r.applyDecisions()
}

// enqueueAny enqueues a request of a client at random.
func (r *randomRun) enqueueAny() {
	r.enqueued++
	c := r.clients[r.rng.IntN(len(r.clients))]
	onEnd := func(p *simRequest, _ monotime.Micros) {
		r.finished++
		if p.startedAt > p.deadline {
			r.t.Fatalf("a request was admitted at %d whose deadline was %d", p.startedAt, p.deadline)
		}
	}
	r.enqueue(c, r.rng.IntN(2), r.now+r.rng.Int64N(200*ms), onEnd, func(Reason) { r.finished++ })
}

// checkLimits checks the limits of open requests.
func (r *randomRun) checkLimits() {
	for _, c := range r.clients {
		waiting, inFlight := c.Counts()
		if c.spec.MaxOpen > 0 && waiting+inFlight > c.spec.MaxOpen {
			r.t.Fatalf("%d open of %d", waiting+inFlight, c.spec.MaxOpen)
		}
	}
	limit := r.settings.Shared.Max
	if waiting, inFlight := r.scheduler.Counts(); limit > 0 && waiting+inFlight > limit {
		r.t.Fatalf("%d open of %d in all", waiting+inFlight, limit)
	}
}

// Whatever clients send, each request is admitted or rejected once, none waits past the instant at which its answer
// could still be in time, and at the end all counts are back where they started.
func TestEveryRequestIsAdmittedOrRejectedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))
		s := Settings{
			InitialTimes: []monotime.Micros{5 * ms, 20 * ms},
			MaxInFlight:  rapid.IntRange(0, 6).Draw(t, "slots"),
			Shared:       &SharedLimit{Max: rapid.SampledFrom([]int{0, 5, 50}).Draw(t, "open")},
		}
		r := &randomRun{settings: s, rng: rng}
		r.simulation = newSimulation(t, s, func(uint64) monotime.Micros { return rng.Int64N(40 * ms) })
		for i := range rapid.IntRange(1, 4).Draw(t, "clients") {
			r.clients = append(r.clients, newTestClient(t, ClientSpec{Name: fmt.Sprint(i), Weight: 0.5 + rng.Float64(),
				MaxOpen: rng.IntN(3) * 4, Rate: float64(rng.IntN(2)) * 100, Burst: 10}))
		}
		for range 600 {
			r.step()
			r.checkLimits()
		}
		r.runUntil(r.now + 10*second)
		if r.enqueued != r.finished {
			t.Fatalf("%d enqueued, %d finished", r.enqueued, r.finished)
		}
		r.checkEmpty()
	})
}

// A client within its share is not affected by one at twenty times its own: it never waits behind the other's
// queue, and none of its requests is rejected.
func TestLightClientIsIsolatedFromHeavyClient(t *testing.T) {
	run := func(heavyLoad float64) (p99 monotime.Micros, rejected int, share float64) {
		rng := rand.New(rand.NewPCG(5, 3))
		settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: 16}
		w := newSimulation(t, settings, func(uint64) monotime.Micros {
			return 8*ms + rng.Int64N(4*ms)
		})
		light := newTestClient(t, ClientSpec{Name: "light", Weight: 1})
		heavy := newTestClient(t, ClientSpec{Name: "heavy", Weight: 1})
		var times []monotime.Micros
		var lightTime, all monotime.Micros
		next := [2]float64{}
		for w.now < 20*second { // the light one sends 400 a second, half of its share of the capacity
			i := 0
			if next[1] < next[0] && heavyLoad > 0 {
				i = 1
			}
			w.runUntil(monotime.Micros(next[i]))
			if i == 0 {
				next[0] += rng.ExpFloat64() / 400 * float64(second)
				w.enqueue(light, 0, w.now+250*ms, func(p *simRequest, end monotime.Micros) {
					times = append(times, end-p.enqueuedAt)
					lightTime += end - p.startedAt
					all += end - p.startedAt
				}, func(Reason) { rejected++ })
				continue
			}
			next[1] += rng.ExpFloat64() / (400 * heavyLoad) * float64(second)
			w.enqueue(heavy, 0, w.now+250*ms, func(p *simRequest, end monotime.Micros) {
				all += end - p.startedAt
			}, nil)
		}
		slices.Sort(times)
		return times[len(times)*99/100], rejected, 1 - float64(lightTime)/float64(all)
	}
	alone, rejected, _ := run(0)
	if rejected != 0 {
		t.Fatalf("alone %d rejected", rejected)
	}
	beside, rejected, share := run(20)
	if rejected != 0 {
		t.Errorf("beside the other %d of its requests were rejected", rejected)
	}
	if r := float64(beside) / float64(alone); r > 1.25 {
		t.Errorf("p99 %d us beside the other, %d alone: %.2f times, want 1.25 at most", beside, alone, r)
	}
	if share < 0.7 {
		t.Errorf("the other got %.2f of the time: what the light one leaves is its own", share)
	}
}

// A request that would miss its deadline is rejected at once, with the time after which it would not.
func TestRejectsAtOnceWhatWouldMissItsDeadline(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{100 * ms}, MaxInFlight: 1}
	w := newSimulation(t, settings, func(uint64) monotime.Micros { return 100 * ms })
	c := newTestClient(t, ClientSpec{Name: "c", Weight: 1})
	w.enqueue(c, 0, 250*ms, nil, nil) // in flight
	w.enqueue(c, 0, 250*ms, nil, nil) // waits for the first
	w.scheduler.Enqueue(0, c, Request{ID: 99, Deadline: 250 * ms})
	w.open[99] = &simRequest{client: c}
	d, ok := w.scheduler.Next(0)
	if !ok || d.Action != Reject || d.Reason != WouldMissDeadline || d.RetryAfter < 20*ms || d.RetryAfter > 200*ms {
		t.Fatalf("the third: %+v, want it rejected by its deadline, to retry after 20 to 200 ms", d)
	}
}

// While there is capacity a request is admitted, however slow its class has been: whether it is still sent is the
// balancer's decision.
func TestAdmitsWhileCapacityIsFree(t *testing.T) {
	for _, slots := range []int{0, 1} {
		settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: slots}
		w := newSimulation(t, settings, func(uint64) monotime.Micros { return 300 * ms })
		c := newTestClient(t, ClientSpec{Name: "c", Weight: 1})
		for range 20 {
			w.enqueue(c, 0, w.now+200*ms, nil, func(why Reason) { t.Fatalf("slots %d: rejected: %v", slots, why) })
			w.runUntil(w.now + 400*ms)
		}
	}
}

// A waiting request is rejected at the instant from which its answer could not be in time.
func TestRejectsWaitingRequestAtItsLatestStart(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: 1}
	w := newSimulation(t, settings, func(id uint64) monotime.Micros {
		return map[bool]monotime.Micros{true: second, false: 10 * ms}[id == 1] // the first hangs
	})
	c := newTestClient(t, ClientSpec{Name: "c", Weight: 1})
	w.enqueue(c, 0, 250*ms, nil, nil)
	var at monotime.Micros
	w.enqueue(c, 0, 50*ms, nil, func(why Reason) {
		if at = w.now; why != WouldMissDeadline {
			t.Errorf("rejected as: %v", why)
		}
	})
	w.runUntil(200 * ms)
	if at != 40*ms {
		t.Errorf("rejected at %d us, want 40 ms: 50 less the 10 that it takes", at)
	}
}

// The limits of a client hold, and a rejection has the time after which to retry.
func TestClientLimits(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: 1, Shared: &SharedLimit{Max: 4}}
	w := newSimulation(t, settings, func(uint64) monotime.Micros { return 10 * ms })
	few := newTestClient(t, ClientSpec{Name: "few", Weight: 1, MaxOpen: 2})
	fast := newTestClient(t, ClientSpec{Name: "fast", Weight: 1, Rate: 10, Burst: 2})
	unlimited := newTestClient(t, ClientSpec{Name: "any", Weight: 1})
	expect := func(c *Client, want Reason) {
		t.Helper()
		got := None
		w.enqueue(c, 0, w.now+second, nil, func(why Reason) { got = why })
		if got != want {
			t.Errorf("rejected as %q, want %q", got, want)
		}
	}
	expect(few, None)
	expect(few, None)
	expect(few, ClientAtLimit)
	expect(unlimited, None)
	expect(unlimited, None)
	expect(unlimited, SharedLimitReached)
	w.runUntil(second)
	expect(few, None)
	expect(fast, None)
	expect(fast, None)
	expect(fast, ClientOverRate)
	w.scheduler.Enqueue(w.now, fast, Request{ID: 999, Deadline: w.now + second})
	if d, _ := w.scheduler.Next(w.now); d.RetryAfter != 100*ms {
		t.Errorf("to retry after %d us, want 100 ms: one of ten a second", d.RetryAfter)
	}
	w.runUntil(2 * second)
	expect(fast, None)
}

func TestInvalidClientSpecs(t *testing.T) {
	for _, s := range []ClientSpec{
		{}, {Weight: -1}, {Weight: math.NaN()}, {Weight: math.Inf(1)}, {Weight: 1, MaxOpen: -1},
		{Weight: 1, Rate: -1}, {Weight: 1, Rate: 5}, {Weight: 1, Rate: math.NaN()},
	} {
		if _, err := NewClient(s); err == nil {
			t.Errorf("%+v was accepted", s)
		}
		if err := newTestClient(t, ClientSpec{Weight: 1}).Update(s); err == nil {
			t.Errorf("an update to %+v was accepted", s)
		}
	}
}

// A client whose weight changes has its new share from then on.
func TestClientUpdateChangesItsShare(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{ms}, MaxInFlight: 2}
	w := newSimulation(t, settings, func(uint64) monotime.Micros { return ms })
	a := newTestClient(t, ClientSpec{Name: "a", Weight: 1})
	b := newTestClient(t, ClientSpec{Name: "b", Weight: 1})
	var done [2]int
	for i, c := range []*Client{a, b} {
		var again func(*simRequest, monotime.Micros)
		again = func(*simRequest, monotime.Micros) {
			if done[i]++; w.now < 2*second {
				w.enqueue(c, 0, math.MaxInt64/2, again, nil)
			}
		}
		for range 5 {
			w.enqueue(c, 0, math.MaxInt64/2, again, nil)
		}
	}
	w.runUntil(second)
	if r := float64(done[0]) / float64(done[1]); math.Abs(r-1) > 0.02 {
		t.Fatalf("%v with equal weights", done)
	}
	if err := b.Update(ClientSpec{Name: "b", Weight: 3}); err != nil {
		t.Fatal(err)
	}
	before := done
	w.runUntil(2 * second)
	if r := float64(done[1]-before[1]) / float64(done[0]-before[0]); math.Abs(r-3) > 0.1 {
		t.Errorf("%.2f times as much with three times the weight", r)
	}
}

// The limits of a client, and the shared limit, hold over several schedulers; capacity in one is none in another.
func TestLimitsHoldOverSeveralSchedulers(t *testing.T) {
	total := &SharedLimit{Max: 5}
	var x [2]*Scheduler
	for i := range x {
		x[i] = New(Settings{InitialTimes: []monotime.Micros{ms}, MaxInFlight: 1, Shared: total})
	}
	a := newTestClient(t, ClientSpec{Name: "a", Weight: 1, MaxOpen: 3})
	b := newTestClient(t, ClientSpec{Name: "b", Weight: 1})
	id := uint64(0)
	enqueue := func(x *Scheduler, c *Client, want Decision) {
		t.Helper()
		id++
		x.Enqueue(0, c, Request{ID: id, Deadline: second})
		d, ok := x.Next(0)
		if ok != (d.ID != 0) || ok && d.ID != id || !ok && want.ID != 0 ||
			d.Action != want.Action || d.Reason != want.Reason {
			t.Fatalf("request %d: %+v, %v", id, d, ok)
		}
	}
	admitted, queued := Decision{ID: 1}, Decision{}
	enqueue(x[0], a, admitted)
	enqueue(x[0], a, queued)
	enqueue(x[1], a, admitted)
	enqueue(x[1], a, Decision{ID: 1, Action: Reject, Reason: ClientAtLimit})
	enqueue(x[1], b, queued)
	enqueue(x[0], b, queued)
	enqueue(x[0], b, Decision{ID: 1, Action: Reject, Reason: SharedLimitReached})
	if w, in := a.Counts(); w != 1 || in != 2 {
		t.Errorf("a has %d waiting and %d in flight", w, in)
	}
	x[1].Done(0, 3)
	if d, ok := x[1].Next(0); !ok || d.ID != 5 || d.Action != Admit {
		t.Errorf("with capacity there: %+v, %v", d, ok)
	}
	enqueue(x[1], a, queued)
}
