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

// simulation runs requests in simulated time: an admitted request is in flight for its service time and then
// ends.
type simulation struct {
	t            rapid.TB
	scheduler    *Scheduler
	now          monotime.Micros
	lastID       uint64
	completions  completionHeap
	serviceTime  func(id uint64) monotime.Micros
	openRequests map[uint64]*simRequest
	rejections   map[Reason]int
	maxInFlight  int
}

type simRequest struct {
	client     *Client
	enqueuedAt monotime.Micros
	deadline   monotime.Micros
	class      int
	startedAt  monotime.Micros
	inFlight   bool
	onEnd      func(request *simRequest, end monotime.Micros)
	onReject   func(reason Reason)
}

type completion struct {
	endAt monotime.Micros
	id    uint64
}

type completionHeap []completion

func (h completionHeap) Len() int { return len(h) }
func (h completionHeap) Less(i, j int) bool {
	return h[i].endAt < h[j].endAt || h[i].endAt == h[j].endAt && h[i].id < h[j].id
}
func (h completionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *completionHeap) Push(v any)   { *h = append(*h, v.(completion)) }
func (h *completionHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func newSimulation(t rapid.TB, s Settings, serviceTimeOf func(uint64) monotime.Micros) *simulation {
	return &simulation{
		t:            t,
		scheduler:    New(s),
		serviceTime:  serviceTimeOf,
		openRequests: map[uint64]*simRequest{},
		rejections:   map[Reason]int{},
		maxInFlight:  s.MaxInFlight,
	}
}

// enqueue enqueues a request. onEnd is called when it has ended, onReject when it is rejected.
func (s *simulation) enqueue(
	c *Client, class int, deadline monotime.Micros, onEnd func(*simRequest, monotime.Micros), onReject func(Reason),
) {
	s.lastID++
	s.openRequests[s.lastID] = &simRequest{
		client:     c,
		enqueuedAt: s.now,
		deadline:   deadline,
		class:      class,
		onEnd:      onEnd,
		onReject:   onReject,
	}
	s.scheduler.Enqueue(s.now, c, Request{ID: s.lastID, Class: class, Deadline: deadline})
	s.applyDecisions()
}

// applyDecisions applies all pending decisions, and then checks the invariants of the scheduler
// (checkCapacity).
func (s *simulation) applyDecisions() {
	for {
		d, ok := s.scheduler.Next(s.now)
		if !ok {
			break
		}
		s.apply(d)
	}
	s.checkCapacity()
}

// apply applies a decision, and checks that its request is waiting.
func (s *simulation) apply(d Decision) {
	request := s.openRequests[d.ID]
	if request == nil {
		s.t.Fatalf("a decision on request %d, which is not open", d.ID)
	}
	if request.inFlight {
		s.t.Fatalf("request %d was admitted before: %+v", d.ID, d)
	}
	if d.Action == Admit {
		request.inFlight = true
		request.startedAt = s.now
		heap.Push(&s.completions, completion{s.now + s.serviceTime(d.ID), d.ID})
		return
	}
	if d.RetryAfter < 0 {
		s.t.Fatalf("retry after %d", d.RetryAfter)
	}
	delete(s.openRequests, d.ID)
	s.rejections[d.Reason]++
	if request.onReject != nil {
		request.onReject(d.Reason)
	}
}

// checkCapacity checks the counts of the scheduler, its limit on requests in flight, and that no request waits
// while there is capacity.
func (s *simulation) checkCapacity() {
	inFlight := len(s.completions)
	waiting := len(s.openRequests) - inFlight
	if gotWaiting, gotInFlight := s.scheduler.Counts(); gotWaiting != waiting || gotInFlight != inFlight {
		s.t.Fatalf("Counts: %d waiting and %d in flight, want %d and %d", gotWaiting, gotInFlight, waiting, inFlight)
	}
	if s.maxInFlight > 0 && inFlight > s.maxInFlight {
		s.t.Fatalf("%d requests in flight, the limit is %d", inFlight, s.maxInFlight)
	}
	if waiting > 0 && (s.maxInFlight == 0 || inFlight < s.maxInFlight) {
		s.t.Fatalf("%d requests wait while %d are in flight and the limit is %d", waiting, inFlight, s.maxInFlight)
	}
}

// cancelAny selects an arbitrary open request, cancels it if it waits, and reports whether it did.
func (s *simulation) cancelAny() bool {
	for id, request := range s.openRequests {
		if request.inFlight {
			return false
		}
		delete(s.openRequests, id)
		s.scheduler.Done(s.now, id)
		s.applyDecisions()
		return true
	}
	return false
}

// checkEmpty checks that the scheduler stores no state of any request.
func (s *simulation) checkEmpty() {
	sched := s.scheduler
	if len(sched.requests) != 0 || sched.backlog.Len() != 0 || sched.expiry.Len() != 0 ||
		sched.inFlight != 0 || sched.backlogWeight != 0 {
		s.t.Fatalf("state of requests left in the scheduler: %+v", sched)
	}
}

// runUntil runs the simulation up to an instant.
func (s *simulation) runUntil(endAt monotime.Micros) {
	for {
		next := endAt
		if len(s.completions) > 0 {
			next = min(next, s.completions[0].endAt)
		}
		if nextExpiry := s.scheduler.NextExpiry(); nextExpiry > 0 {
			next = min(next, max(s.now, nextExpiry))
		}
		s.now = max(s.now, next)
		if len(s.completions) > 0 && s.completions[0].endAt <= s.now {
			completed := heap.Pop(&s.completions).(completion)
			request := s.openRequests[completed.id]
			delete(s.openRequests, completed.id)
			s.scheduler.Done(s.now, completed.id)
			s.scheduler.ObserveServiceTime(request.class, s.now-request.startedAt)
			s.applyDecisions()
			if request.onEnd != nil {
				request.onEnd(request, s.now)
			}
			continue
		}
		s.applyDecisions()
		if s.now >= endAt {
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

// usageSlices is the time in flight of each client, in consecutive intervals of usageSliceDuration.
type usageSlices [][]float64

const (
	usageDuration      = 3 * second
	usageSliceDuration = second / 4
)

// add adds the time in flight of a request of a client, from one instant to another.
func (u usageSlices) add(client int, from, to monotime.Micros) {
	for from < to {
		sliceEnd := min(to, (from/usageSliceDuration+1)*usageSliceDuration)
		if s := from / usageSliceDuration; int(s) < len(u[client]) {
			u[client][s] += float64(sliceEnd - from)
		}
		from = sliceEnd
	}
}

// shares returns each client's fraction of the time in flight during the second that starts with the given
// slice.
func (u usageSlices) shares(from int) []float64 {
	shares := make([]float64, len(u))
	var total float64
	for i := range u {
		for _, sliceTime := range u[i][from : from+4] {
			shares[i] += sliceTime
			total += sliceTime
		}
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// saturate makes a client send several requests at once, and a new request after the end of each, until
// usageDuration.
func (s *simulation) saturate(c *Client, client, requestCount int, usage usageSlices) {
	var enqueueNext func(request *simRequest, end monotime.Micros)
	enqueueNext = func(request *simRequest, end monotime.Micros) {
		usage.add(client, request.startedAt, end)
		if s.now < usageDuration {
			s.enqueue(c, client, math.MaxInt64/2, enqueueNext, nil)
		}
	}
	for range requestCount {
		s.enqueue(c, client, math.MaxInt64/2, enqueueNext, nil)
	}
}

// Under saturation, each client's time in flight within any second differs from the share of its weight by at
// most 5%. No client starves, and no capacity is unused while a request waits (applyDecisions checks this).
func TestTimeInFlightFollowsWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 24).Draw(t, "slots")
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 2, 5).Draw(t, "weights")
		meanTimes := rapid.SliceOfN(rapid.Int64Range(1000, 4000), len(weights), len(weights)).Draw(t, "means")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var sim *simulation
		settings := Settings{InitialTimes: make([]monotime.Micros, len(weights)), MaxInFlight: slots}
		sim = newSimulation(t, settings, func(id uint64) monotime.Micros {
			// Each client has its own class, so that the requests of some clients take longer than those of
			// others.
			return monotime.Micros(float64(meanTimes[sim.openRequests[id].class]) * (0.5 + rng.Float64()))
		})
		usage := make(usageSlices, len(weights))
		var weightSum float64
		for i, weight := range weights {
			weightSum += float64(weight)
			usage[i] = make([]float64, usageDuration/usageSliceDuration+1)
			c := newTestClient(t, ClientSpec{Name: fmt.Sprint(i), Weight: float64(weight)})
			sim.saturate(c, i, 2*slots+2, usage) // enough requests that the client always has some waiting
		}
		sim.runUntil(usageDuration)
		// The first half second is skipped: the costs are not estimated yet.
		for from := 2; from+4 <= len(usage[0])-2; from++ {
			for i, share := range usage.shares(from) {
				if want := float64(weights[i]) / weightSum; math.Abs(share/want-1) > 0.05 {
					t.Fatalf("slots %d, weights %v, means %v: client %d had %.3f of a second, its share is %.3f",
						slots, weights, meanTimes, i, share, want)
				}
			}
		}
	})
}

// randomRun is a simulation with clients that applies random events.
type randomRun struct {
	*simulation
	settings      Settings
	rng           *rand.Rand
	clients       []*Client
	enqueuedCount int // requests that were enqueued
	finishedCount int // requests that ended, were rejected or were canceled
}

// step applies one random event.
func (r *randomRun) step() {
	switch r.rng.IntN(8) {
	case 0:
		r.runUntil(r.now + r.rng.Int64N(30*ms))
	case 1:
		if r.cancelAny() {
			r.finishedCount++
		}
	case 2:
		if r.settings.MaxInFlight > 0 {
			r.changeMaxInFlight(1 + r.rng.IntN(8))
		}
	default:
		r.enqueueAny()
	}
}

// changeMaxInFlight changes the limit on requests in flight, but not to less than the current number of these.
func (r *randomRun) changeMaxInFlight(n int) {
	r.maxInFlight = n
	r.scheduler.SetMaxInFlight(n)
	if _, inFlight := r.scheduler.Counts(); inFlight > n {
		r.maxInFlight = inFlight
		r.scheduler.SetMaxInFlight(inFlight)
	}
	r.applyDecisions()
}

// enqueueAny enqueues a request of a random client.
func (r *randomRun) enqueueAny() {
	r.enqueuedCount++
	c := r.clients[r.rng.IntN(len(r.clients))]
	onEnd := func(request *simRequest, _ monotime.Micros) {
		r.finishedCount++
		if request.startedAt > request.deadline {
			r.t.Fatalf("a request was admitted at %d, after its deadline %d", request.startedAt, request.deadline)
		}
	}
	r.enqueue(c, r.rng.IntN(2), r.now+r.rng.Int64N(200*ms), onEnd, func(Reason) { r.finishedCount++ })
}

// checkLimits checks the limits on open requests, of each client and of the shared limit.
func (r *randomRun) checkLimits() {
	for _, c := range r.clients {
		waiting, inFlight := c.Counts()
		if c.spec.MaxOpen > 0 && waiting+inFlight > c.spec.MaxOpen {
			r.t.Fatalf("%d open requests of a client, the limit is %d", waiting+inFlight, c.spec.MaxOpen)
		}
	}
	limit := r.settings.Shared.Max
	if waiting, inFlight := r.scheduler.Counts(); limit > 0 && waiting+inFlight > limit {
		r.t.Fatalf("%d open requests in total, the limit is %d", waiting+inFlight, limit)
	}
}

// With random requests, each request is admitted or rejected exactly once, no request waits longer than its
// response could still meet the deadline, and at the end all counts are 0 again.
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
		if r.enqueuedCount != r.finishedCount {
			t.Fatalf("%d enqueued, %d finished", r.enqueuedCount, r.finishedCount)
		}
		r.checkEmpty()
	})
}

// A client that uses half of its share is not affected by a client that sends twenty times as much: it never
// waits behind the other client's queue, and none of its requests is rejected.
func TestLightClientIsIsolatedFromHeavyClient(t *testing.T) {
	simulate := func(heavyLoad float64) (p99 monotime.Micros, rejected int, share float64) {
		rng := rand.New(rand.NewPCG(5, 3))
		settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: 16}
		sim := newSimulation(t, settings, func(uint64) monotime.Micros {
			return 8*ms + rng.Int64N(4*ms)
		})
		lightClient := newTestClient(t, ClientSpec{Name: "light", Weight: 1})
		heavyClient := newTestClient(t, ClientSpec{Name: "heavy", Weight: 1})
		var responseTimes []monotime.Micros
		var lightTime, totalTime monotime.Micros
		nextAt := [2]float64{}
		for sim.now < 20*second { // the light client sends 400 requests per second, half of its share
			sender := 0
			if nextAt[1] < nextAt[0] && heavyLoad > 0 {
				sender = 1
			}
			sim.runUntil(monotime.Micros(nextAt[sender]))
			if sender == 0 {
				nextAt[0] += rng.ExpFloat64() / 400 * float64(second)
				sim.enqueue(lightClient, 0, sim.now+250*ms, func(request *simRequest, end monotime.Micros) {
					responseTimes = append(responseTimes, end-request.enqueuedAt)
					lightTime += end - request.startedAt
					totalTime += end - request.startedAt
				}, func(Reason) { rejected++ })
				continue
			}
			nextAt[1] += rng.ExpFloat64() / (400 * heavyLoad) * float64(second)
			sim.enqueue(heavyClient, 0, sim.now+250*ms, func(request *simRequest, end monotime.Micros) {
				totalTime += end - request.startedAt
			}, nil)
		}
		slices.Sort(responseTimes)
		return responseTimes[len(responseTimes)*99/100], rejected, 1 - float64(lightTime)/float64(totalTime)
	}
	aloneP99, rejected, _ := simulate(0)
	if rejected != 0 {
		t.Fatalf("%d requests of the light client rejected without the heavy client", rejected)
	}
	besideP99, rejected, share := simulate(20)
	if rejected != 0 {
		t.Errorf("%d requests of the light client rejected beside the heavy client", rejected)
	}
	if ratio := float64(besideP99) / float64(aloneP99); ratio > 1.25 {
		t.Errorf("p99 %d us beside the heavy client, %d alone: ratio %.2f, want at most 1.25",
			besideP99, aloneP99, ratio)
	}
	if share < 0.7 {
		t.Errorf("the heavy client got %.2f of the time in flight, want the 0.7 that the light client leaves", share)
	}
}

// A request that would miss its deadline is rejected at once, with a time to retry after which it would meet
// the deadline.
func TestRejectsAtOnceWhatWouldMissItsDeadline(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{100 * ms}, MaxInFlight: 1}
	sim := newSimulation(t, settings, func(uint64) monotime.Micros { return 100 * ms })
	c := newTestClient(t, ClientSpec{Name: "c", Weight: 1})
	sim.enqueue(c, 0, 250*ms, nil, nil) // admitted at once
	sim.enqueue(c, 0, 250*ms, nil, nil) // waits for the first request
	sim.scheduler.Enqueue(0, c, Request{ID: 99, Deadline: 250 * ms})
	sim.openRequests[99] = &simRequest{client: c}
	d, ok := sim.scheduler.Next(0)
	if !ok || d.Action != Reject || d.Reason != WouldMissDeadline || d.RetryAfter < 20*ms || d.RetryAfter > 200*ms {
		t.Fatalf("third request: %+v, want WouldMissDeadline and a retry after 20 to 200 ms", d)
	}
}

// While there is capacity, every request is admitted, however slow its class has been: the balancer decides
// whether it is still sent.
func TestAdmitsWhileCapacityIsFree(t *testing.T) {
	for _, slots := range []int{0, 1} {
		settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: slots}
		sim := newSimulation(t, settings, func(uint64) monotime.Micros { return 300 * ms })
		c := newTestClient(t, ClientSpec{Name: "c", Weight: 1})
		for range 20 {
			sim.enqueue(c, 0, sim.now+200*ms, nil, func(reason Reason) {
				t.Fatalf("slots %d: rejected: %v", slots, reason)
			})
			sim.runUntil(sim.now + 400*ms)
		}
	}
}

// A waiting request is rejected at the instant from which its response can no longer meet the deadline.
func TestRejectsWaitingRequestAtItsLatestStart(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: 1}
	sim := newSimulation(t, settings, func(id uint64) monotime.Micros {
		return map[bool]monotime.Micros{true: second, false: 10 * ms}[id == 1] // the first request hangs
	})
	c := newTestClient(t, ClientSpec{Name: "c", Weight: 1})
	sim.enqueue(c, 0, 250*ms, nil, nil)
	var rejectedAt monotime.Micros
	sim.enqueue(c, 0, 50*ms, nil, func(reason Reason) {
		if rejectedAt = sim.now; reason != WouldMissDeadline {
			t.Errorf("rejected for %v, want WouldMissDeadline", reason)
		}
	})
	sim.runUntil(200 * ms)
	if rejectedAt != 40*ms {
		t.Errorf("rejected at %d us, want 40 ms: the deadline of 50 ms less the service time of 10 ms", rejectedAt)
	}
}

// The limits of a client and the shared limit are enforced, and a rejection contains the time after which to
// retry.
func TestClientLimits(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{10 * ms}, MaxInFlight: 1, Shared: &SharedLimit{Max: 4}}
	sim := newSimulation(t, settings, func(uint64) monotime.Micros { return 10 * ms })
	fewOpenClient := newTestClient(t, ClientSpec{Name: "few", Weight: 1, MaxOpen: 2})
	slowRateClient := newTestClient(t, ClientSpec{Name: "fast", Weight: 1, Rate: 10, Burst: 2})
	unlimitedClient := newTestClient(t, ClientSpec{Name: "any", Weight: 1})
	enqueueAndExpect := func(c *Client, want Reason) {
		t.Helper()
		gotReason := None
		sim.enqueue(c, 0, sim.now+second, nil, func(reason Reason) { gotReason = reason })
		if gotReason != want {
			t.Errorf("rejected for %q, want %q", gotReason, want)
		}
	}
	enqueueAndExpect(fewOpenClient, None)
	enqueueAndExpect(fewOpenClient, None)
	enqueueAndExpect(fewOpenClient, ClientAtLimit)
	enqueueAndExpect(unlimitedClient, None)
	enqueueAndExpect(unlimitedClient, None)
	enqueueAndExpect(unlimitedClient, SharedLimitReached)
	sim.runUntil(second)
	enqueueAndExpect(fewOpenClient, None)
	enqueueAndExpect(slowRateClient, None)
	enqueueAndExpect(slowRateClient, None)
	enqueueAndExpect(slowRateClient, ClientOverRate)
	sim.scheduler.Enqueue(sim.now, slowRateClient, Request{ID: 999, Deadline: sim.now + second})
	if d, _ := sim.scheduler.Next(sim.now); d.RetryAfter != 100*ms {
		t.Errorf("retry after %d us, want 100 ms at 10 requests per second", d.RetryAfter)
	}
	sim.runUntil(2 * second)
	enqueueAndExpect(slowRateClient, None)
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

// After an update of its weight, a client has its new share of the time in flight.
func TestClientUpdateChangesItsShare(t *testing.T) {
	settings := Settings{InitialTimes: []monotime.Micros{ms}, MaxInFlight: 2}
	sim := newSimulation(t, settings, func(uint64) monotime.Micros { return ms })
	a := newTestClient(t, ClientSpec{Name: "a", Weight: 1})
	b := newTestClient(t, ClientSpec{Name: "b", Weight: 1})
	var completed [2]int
	for i, c := range []*Client{a, b} {
		var enqueueNext func(*simRequest, monotime.Micros)
		enqueueNext = func(*simRequest, monotime.Micros) {
			if completed[i]++; sim.now < 2*second {
				sim.enqueue(c, 0, math.MaxInt64/2, enqueueNext, nil)
			}
		}
		for range 5 {
			sim.enqueue(c, 0, math.MaxInt64/2, enqueueNext, nil)
		}
	}
	sim.runUntil(second)
	if ratio := float64(completed[0]) / float64(completed[1]); math.Abs(ratio-1) > 0.02 {
		t.Fatalf("%v requests completed with equal weights", completed)
	}
	if err := b.Update(ClientSpec{Name: "b", Weight: 3}); err != nil {
		t.Fatal(err)
	}
	completedBefore := completed
	sim.runUntil(2 * second)
	if ratio := float64(completed[1]-completedBefore[1]) /
		float64(completed[0]-completedBefore[0]); math.Abs(ratio-3) > 0.1 {
		t.Errorf("ratio of completed requests %.2f with three times the weight, want 3", ratio)
	}
}

// The limits of a client, and the shared limit, apply to several schedulers together. Free capacity of one
// scheduler does not admit requests of another.
func TestLimitsHoldOverSeveralSchedulers(t *testing.T) {
	sharedLimit := &SharedLimit{Max: 5}
	var scheduler [2]*Scheduler
	for i := range scheduler {
		scheduler[i] = New(Settings{InitialTimes: []monotime.Micros{ms}, MaxInFlight: 1, Shared: sharedLimit})
	}
	a := newTestClient(t, ClientSpec{Name: "a", Weight: 1, MaxOpen: 3})
	b := newTestClient(t, ClientSpec{Name: "b", Weight: 1})
	id := uint64(0)
	enqueue := func(scheduler *Scheduler, c *Client, want Decision) {
		t.Helper()
		id++
		scheduler.Enqueue(0, c, Request{ID: id, Deadline: second})
		d, ok := scheduler.Next(0)
		if ok != (d.ID != 0) || ok && d.ID != id || !ok && want.ID != 0 ||
			d.Action != want.Action || d.Reason != want.Reason {
			t.Fatalf("request %d: %+v, %v", id, d, ok)
		}
	}
	wantAdmitted, wantWaiting := Decision{ID: 1}, Decision{}
	enqueue(scheduler[0], a, wantAdmitted)
	enqueue(scheduler[0], a, wantWaiting)
	enqueue(scheduler[1], a, wantAdmitted)
	enqueue(scheduler[1], a, Decision{ID: 1, Action: Reject, Reason: ClientAtLimit})
	enqueue(scheduler[1], b, wantWaiting)
	enqueue(scheduler[0], b, wantWaiting)
	enqueue(scheduler[0], b, Decision{ID: 1, Action: Reject, Reason: SharedLimitReached})
	if waiting, inFlight := a.Counts(); waiting != 1 || inFlight != 2 {
		t.Errorf("a has %d waiting and %d in flight", waiting, inFlight)
	}
	scheduler[1].Done(0, 3)
	if d, ok := scheduler[1].Next(0); !ok || d.ID != 5 || d.Action != Admit {
		t.Errorf("after a request has ended: %+v, %v", d, ok)
	}
	enqueue(scheduler[1], a, wantWaiting)
}
