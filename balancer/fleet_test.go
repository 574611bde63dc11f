package balancer

import (
	"fmt"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

// Faults of a balancer in a large fleet: few requests, expensive probes, and no messages from the others.

// A balancer that is busy from the first moment must not keep the probe rate of before.
func TestProbeRateFollowsFirstRequests(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeBudget * calmProbeShare / 0.02 // one probe per fifty requests
	for seed := range uint64(20) {
		b, r := startBalancerWithSeed(t, s, readyEndpoints(60), seed)
		probeRoundAt := r.nextTimer(t, 0, tokenProbe)
		for now := monotime.Micros(0); now < 3*second; now += 5_000 {
			if probeRoundAt <= now {
				b.HandleTimer(now, tokenProbe)
				probeRoundAt = r.nextTimer(t, now, tokenProbe)
			}
			id := uint64(now) + 1
			b.HandleRequest(now, Request{ID: id, Deadline: now + second})
			succeed(b, now, id, 0, 30_000)
			for _, e := range r.probes {
				b.HandleProbe(now, e, OK, 1000, []float32{2})
			}
			r.probes = r.probes[:0]
		}
		if n := len(b.probePool); n < 5 {
			t.Errorf("seed %d: %d reports in the pool after 3 s of 200 requests per second, want at least 5", seed, n)
		}
	}
}

// Warm endpoints are busy, new warming ones idle. Each of eighty balancers may send a warming endpoint its own part
// only, and must send it that part if it can take it. The sum of all stays within what the warming endpoints can take.
func TestWarmingEndpointsGetTheirPart(t *testing.T) {
	const balancers, warm, warming, work = 80, 24, 36, 0.05
	s := testSettings()
	s.Balancers = balancers
	s.Prices.Probe = probeBudget * calmProbeShare / 0.05
	s.Contract.CollapseAfter = 2 * second
	s.Contract.WarmupTime = 1000 * second // they keep the capacity of their start
	inWindow := map[uint32]float64{}
	for seed := range uint64(balancers) {
		b, r := newBalancer(t, s, seed)
		b.Start(0)
		list := readyEndpoints(warm + warming)
		b.UpdateEndpoints(0, ListFull, list[:warm])
		b.UpdateEndpoints(second, ListDelta, list[warm:])
		for now := second; now < 7*second; now += second / 20 {
			reportAllLoads(b, now, list, warm)
			sends := len(r.sends)
			b.HandleRequest(now, Request{ID: uint64(now), Deadline: now + second})
			if len(r.sends) == sends {
				continue
			}
			e := r.sends[sends].endpoint
			if e > warm && now >= 5*second {
				inWindow[e] += work
			}
			b.HandleOutcome(now, Outcome{ID: uint64(now), Endpoint: e, Status: OK,
				Latency: monotime.Micros(3 * work * float64(second))})
		}
	}
	startCapacity := 2 * s.Contract.WarmupStartCapacity // cores
	var all float64
	for e, got := range inWindow {
		all += got
		if limit := s.Contract.CollapseMultiple * startCapacity * 2; got > limit {
			t.Errorf("endpoint %d was sent %.1f s of work in 2 s, collapses from %.1f s on", e, got, limit)
		}
	}
	if used := all / (warming * startCapacity * 2); used < 0.5 {
		t.Errorf("warming endpoints got %.0f%% of what they can do at least, want at least half", 100*used)
	}
}

// reportAllLoads reports five requests at each of the first endpoints of a list, which are warm, and none at the
// others. All reports are as of now, since the test is not about late ones.
func reportAllLoads(b *Balancer, now monotime.Micros, list []Endpoint, warm int) {
	for i := range list {
		load := float32(0)
		if i < warm {
			load = 5
		}
		b.HandleProbe(now, list[i].ID, OK, 1000, []float32{load})
	}
}

// pollingBalancer is a balancer that polls discovery.
type pollingBalancer struct {
	balancer   *Balancer
	recorder   *recorder
	pollAt     monotime.Micros // instant of its next discovery timer; 0 is none
	timersSeen int             // of its recorder's timers
	notified   bool            // it has a list from discovery
}

// update applies the discovery timers that the balancer has set.
func (p *pollingBalancer) update(now monotime.Micros) {
	for ; p.timersSeen < len(p.recorder.timers); p.timersSeen++ {
		if p.recorder.timers[p.timersSeen] == tokenDiscovery {
			p.pollAt = now + p.recorder.delays[p.timersSeen]
		}
	}
}

// poll fires the discovery timer if it is due, and reports whether the balancer polled.
func (p *pollingBalancer) poll(now monotime.Micros) bool {
	if p.pollAt == 0 || p.pollAt > now {
		return false
	}
	p.pollAt = 0
	before := p.recorder.watches
	p.balancer.HandleTimer(now, tokenDiscovery)
	p.update(now)
	return p.recorder.watches > before
}

// mustServe requires that the balancer sends a request by the list that it has.
func (p *pollingBalancer) mustServe(t *testing.T, now monotime.Micros) {
	t.Helper()
	id := uint64(now) + 1
	sends := len(p.recorder.sends)
	p.balancer.HandleRequest(now, Request{ID: id, Deadline: now + second})
	if len(p.recorder.sends) != sends+1 {
		t.Fatalf("at %d ms a request was not sent by the known list", now/1000)
	}
	succeed(p.balancer, now, id, p.recorder.sends[sends].endpoint, 30_000)
}

// startPollingFleet starts the balancers within 100 ms, each with a cached list.
func startPollingFleet(t *testing.T, s Settings) []*pollingBalancer {
	t.Helper()
	rng := randomSource(9)
	var fleet []*pollingBalancer
	for seed := range uint64(s.Balancers) {
		p := &pollingBalancer{}
		p.balancer, p.recorder = newBalancer(t, s, seed)
		from := rng.durationBelow(second / 10)
		p.balancer.Start(from)
		p.balancer.UpdateEndpoints(from, ListCached, readyEndpoints(6))
		p.update(from)
		fleet = append(fleet, p)
	}
	return fleet
}

// slowDiscovery answers one call after the other, and fails those that wait for too long.
type slowDiscovery struct {
	callTime monotime.Micros
	timeout  monotime.Micros
	queue    []discoveryCall
	freeAt   monotime.Micros // instant of the end of the present call
	notified int             // balancers that have a list
}

// discoveryCall is a call that waits.
type discoveryCall struct {
	from *pollingBalancer
	at   monotime.Micros
}

// answer answers the calls that are due, and fails those that have waited for too long.
func (d *slowDiscovery) answer(now monotime.Micros) {
	for len(d.queue) > 0 && (now >= d.freeAt || now-d.queue[0].at > d.timeout) {
		c := d.queue[0]
		d.queue = d.queue[1:]
		if now-c.at > d.timeout {
			c.from.balancer.UpdateEndpoints(now, ListFailed, nil)
			c.from.update(now)
			continue
		}
		d.freeAt = now + d.callTime
		c.from.balancer.UpdateEndpoints(now, ListFull, readyEndpoints(6))
		if !c.from.notified {
			c.from.notified = true
			d.notified++
		}
	}
}

// Eighty sidecars start within 100 ms, while discovery answers four calls per second and fails a call that waits for
// two seconds. All are notified within a minute, calls do not come faster than discovery fails them, and meanwhile the
// cached list serves.
func TestFleetPollsOverloadedDiscovery(t *testing.T) {
	const balancers = 80
	s := testSettings()
	s.Subscribe = true
	s.Balancers = balancers
	fleet := startPollingFleet(t, s)
	discovery := &slowDiscovery{callTime: second / 4, timeout: 2 * second}
	inSecond := map[monotime.Micros]int{}
	calls := 0
	for now := monotime.Micros(0); now < 60*second && discovery.notified < balancers; now += 10_000 {
		for _, p := range fleet {
			if p.poll(now) {
				calls++
				inSecond[now/second]++
				discovery.queue = append(discovery.queue, discoveryCall{p, now})
			}
			if now%second == 0 {
				p.mustServe(t, now)
			}
		}
		discovery.answer(now)
	}
	if discovery.notified < balancers {
		t.Errorf("%d of %d were notified in a minute, by %d calls", discovery.notified, balancers, calls)
	}
	for at, n := range inSecond {
		if n > balancers/2 {
			t.Errorf("%d calls in second %d: they come together", n, at)
		}
	}
	if calls > 6*balancers {
		t.Errorf("%d calls to notify %d", calls, balancers)
	}
}

// The first list never comes. A cached list serves; without one, each request is rejected at once. Discovery is polled
// again and again.
func TestFirstListNeverComes(t *testing.T) {
	for _, known := range []int{0, 5} {
		s := testSettings()
		s.Subscribe = true
		b, r := startBalancer(t, s, readyEndpoints(known))
		polls := 0
		for now := monotime.Micros(0); now < 60*second; now += second {
			if slices.Contains(r.timers, tokenDiscovery) {
				b.HandleTimer(b.nextPollAt, tokenDiscovery)
			}
			if r.watches > polls {
				polls = r.watches
				b.UpdateEndpoints(now, ListFailed, nil)
			}
			id := uint64(now) + 1
			b.HandleRequest(now, newTestRequest(id, 0, now))
			if known == 0 && !slices.Contains(r.rejected, id) {
				t.Fatalf("at %d s: not rejected at once", now/second)
			}
			if known > 0 && r.lastSend().id != id {
				t.Fatalf("at %d s: not sent", now/second)
			}
			succeed(b, now, id, 0, 30_000)
		}
		if polls < 5 {
			t.Errorf("%d known: discovery was polled %d times in a minute", known, polls)
		}
	}
}

// Six in ten of the list are replaced, in one change or in twenty, while requests are in flight at those that go.
// Nothing new goes to these, each request has one final answer, and late outcomes are recorded.
func TestReplacedWithRequestsOut(t *testing.T) {
	for _, changes := range []int{1, 20} {
		t.Run(fmt.Sprint(changes), func(t *testing.T) { testReplacement(t, changes) })
	}
}

func testReplacement(t *testing.T, changes int) {
	t.Helper()
	const all, gone = 60, 36
	b, r := startBalancer(t, testSettings(), readyEndpoints(all))
	now := monotime.Micros(0)
	for i := range uint64(all) {
		now += 1000
		b.HandleRequest(now, newTestRequest(i+1, 0, now))
	}
	open := slices.Clone(r.sends)
	list := readyEndpoints(all + gone)
	removed := map[uint32]bool{}
	perChange := (gone + changes - 1) / changes
	for from := 0; from < gone; from += perChange {
		now += 10_000
		var delta []Endpoint
		for i := from; i < min(from+perChange, gone); i++ {
			before, after := list[i], list[all+i]
			before.State = Gone
			after.StartTime = now
			delta = append(delta, before, after)
			removed[before.ID] = true
		}
		b.UpdateEndpoints(now, ListDelta, delta)
		requireNotSentTo(t, b, r, now, removed)
	}
	// Half were served before their endpoint went, half saw their connection break.
	for _, x := range open {
		status := OK
		if removed[x.endpoint] && x.id%2 == 0 {
			status = Reset
		}
		b.HandleOutcome(now, Outcome{ID: x.id, Endpoint: x.endpoint, Status: status, Latency: now,
			Answered: status == OK})
	}
	for i := len(open); len(r.sends) > i; i++ { // their retries
		b.HandleOutcome(now, Outcome{ID: r.sends[i].id, Attempt: 1, Endpoint: r.sends[i].endpoint, Status: OK,
			Latency: 20_000, Answered: true})
	}
	if b.openRequests != 0 || len(b.requests) != 0 {
		t.Errorf("%d requests have no answer, %d have a record", b.openRequests, len(b.requests))
	}
	b.UpdateEndpoints(now, ListDelta, nil)
	if len(b.endpoints) != all {
		t.Errorf("%d endpoints have a record, want %d", len(b.endpoints), all)
	}
}

// requireNotSentTo gives the balancer forty requests, which are answered, and requires that none goes to an endpoint
// that is gone.
func requireNotSentTo(t *testing.T, b *Balancer, r *recorder, now monotime.Micros, gone map[uint32]bool) {
	t.Helper()
	for i := range uint64(40) {
		sends := len(r.sends)
		b.HandleRequest(now, newTestRequest(1000*uint64(now)+i, 0, now))
		if len(r.sends) == sends {
			continue
		}
		s := r.sends[sends]
		if gone[s.endpoint] {
			t.Errorf("a request went to endpoint %d, which is gone", s.endpoint)
		}
		succeed(b, now, s.id, s.endpoint, 20_000)
	}
}

// A list that shrinks to one endpoint: all requests go there while their answers would be in time, the others are
// rejected at once. When the other endpoints are listed again, they are used again.
func TestListShrinksToOne(t *testing.T) {
	b, r := startBalancer(t, testSettings(), readyEndpoints(20))
	b.UpdateEndpoints(second, ListFull, readyEndpoints(1))
	now := second
	for i := range uint64(200) {
		now += 1000
		b.HandleRequest(now, newTestRequest(i+1, 0, now))
	}
	if len(r.sends)+len(r.rejected) != 200 || len(r.rejected) == 0 || len(r.sends) == 0 {
		t.Fatalf("%d sent, %d rejected of 200", len(r.sends), len(r.rejected))
	}
	for _, x := range r.sends {
		if x.endpoint != 1 {
			t.Fatalf("sent to %d, which is not listed", x.endpoint)
		}
		succeed(b, now, x.id, 1, 100_000)
	}
	b.UpdateEndpoints(now, ListFull, readyEndpoints(20))
	now += 60 * second // they were up all the time, and what was learned of the load has aged
	r.sends = r.sends[:0]
	for i := range uint64(40) {
		b.HandleRequest(now, newTestRequest(1000+i, 0, now))
	}
	used := map[uint32]bool{}
	for _, x := range r.sends {
		used[x.endpoint] = true
	}
	if len(used) < 10 {
		t.Errorf("%d endpoints used of 20 that are back", len(used))
	}
}

// A fifth of the new endpoints fail all requests. A sidecar with three requests per second and one with a hundred, each
// with its own observations only, serve nearly all requests, and the busy one finds the outliers soon.
func TestOutliersAmongNewEndpoints(t *testing.T) {
	for _, c := range []struct {
		rate      float64 // requests per second
		minServed float64 // ratio
	}{{3, 0.9}, {100, 0.97}} {
		s := testSettings()
		s.Balancers = 80
		s.Prices.Probe = probeBudget * calmProbeShare / 0.05
		b, r := startBalancer(t, s, readyEndpoints(24))
		list := readyEndpoints(60)
		for i := 24; i < 60; i++ {
			list[i].StartTime = second
		}
		b.UpdateEndpoints(second, ListFull, list)
		served, all, failed := 0, 0, 0 // requests; failed have one attempt that failed, or several
		for now := second; now < 31*second; now += monotime.Micros(float64(second) / c.rate) {
			all++
			ok, attempts := requestAmongOutliers(b, r, now)
			served += int(indicator(ok))
			failed += int(indicator(attempts > 1 || attempts == 1 && !ok))
		}
		if ratio := float64(served) / float64(all); ratio < c.minServed {
			t.Errorf("%v per second: %.3f of %d served, want %.2f", c.rate, ratio, all, c.minServed)
		}
		if c.rate > 50 && failed > all/20 {
			t.Errorf("%v per second: %d of %d requests met an outlier", c.rate, failed, all)
		}
	}
}

// requestAmongOutliers fires the probe timer and gives the balancer a request, of which the attempts at each fifth
// endpoint from 25 on fail. It reports whether the request was served, and how many attempts it had.
func requestAmongOutliers(b *Balancer, r *recorder, now monotime.Micros) (served bool, attempts int) {
	b.HandleTimer(now, tokenProbe)
	id := uint64(now)
	next := len(r.sends)
	b.HandleRequest(now, Request{ID: id, Deadline: now + second})
	for _, e := range slices.Clone(r.probes) {
		b.HandleProbe(now, e, OK, 1000, []float32{1})
	}
	r.probes = r.probes[:0]
	for ; len(r.sends) > next; attempts++ {
		e := r.sends[next].endpoint
		next = len(r.sends)
		if e > 24 && e%5 == 0 {
			b.HandleOutcome(now, Outcome{ID: id, Attempt: attempts, Endpoint: e, Status: Error, Latency: 1000})
			continue
		}
		b.HandleOutcome(now, Outcome{ID: id, Attempt: attempts, Endpoint: e, Status: OK, Latency: 30_000,
			Answered: true})
		served = true
	}
	return served, attempts
}

// simFleet is a fleet of balancers at the same endpoints, in simulated time. Each endpoint works through its requests
// with its capacity of the moment, and reports the requests in flight to probes.
type simFleet struct {
	balancers []*Balancer
	recorders []*recorder
	rates     []float64 // requests per second, of each balancer
	work      monotime.Micros
	capacity  func(e uint32, at monotime.Micros) float64 // cores; 0 fails all requests at once

	random        randomSource
	lastID        uint64
	timersDone    []int                      // scheduled, of each balancer's recorder
	sendsDone     []int                      // carried out, of each balancer's recorder
	startedAt     map[uint64]monotime.Micros // by request
	outcomes      map[uint64]int             // by request: attempts with an outcome
	freeAt        map[uint32]monotime.Micros // by endpoint: when it has worked through its requests
	inflight      map[uint32]int             // by endpoint
	events        map[monotime.Micros][]func(now monotime.Micros)
	sends         map[uint32][]monotime.Micros // by endpoint
	requests      []int                        // of each balancer
	onTime        []int                        // of these, answered within the latency objective
	recentFrom    monotime.Micros
	recentAnswers int // since recentFrom
}

func newSimFleet(t *testing.T, s Settings, rates []float64, work monotime.Micros) *simFleet {
	t.Helper()
	f := &simFleet{
		rates:      rates,
		work:       work,
		random:     9,
		freeAt:     map[uint32]monotime.Micros{},
		inflight:   map[uint32]int{},
		events:     map[monotime.Micros][]func(monotime.Micros){},
		sends:      map[uint32][]monotime.Micros{},
		timersDone: make([]int, len(rates)),
		sendsDone:  make([]int, len(rates)),
		startedAt:  map[uint64]monotime.Micros{},
		outcomes:   map[uint64]int{},
		requests:   make([]int, len(rates)),
		onTime:     make([]int, len(rates)),
	}
	for i := range rates {
		b, r := startBalancer(t, s, nil)
		b.random = randomSource(i)
		b.meanWork = ewma{float64(work), manySamples}
		for k := range b.classes {
			b.classes[k].meanWork = b.meanWork
		}
		f.balancers = append(f.balancers, b)
		f.recorders = append(f.recorders, r)
	}
	return f
}

// simStep is the step of simulated time.
const simStep monotime.Micros = 1000

// schedule calls event at an instant, or in the next step if that is over.
func (f *simFleet) schedule(now, at monotime.Micros, event func(now monotime.Micros)) {
	step := max(now/simStep+1, at/simStep)
	f.events[step] = append(f.events[step], event)
}

// carryOut carries out a balancer's actions.
func (f *simFleet) carryOut(now monotime.Micros, i int) {
	b := f.balancers[i]
	r := f.recorders[i]
	for ; f.sendsDone[i] < len(r.sends); f.sendsDone[i]++ {
		f.startAttempt(now, i, r.sends[f.sendsDone[i]])
	}
	for _, e := range r.probes {
		f.schedule(now, now+1000, func(then monotime.Micros) {
			b.HandleProbe(then, e, OK, 1000, []float32{float32(f.inflight[e])})
			f.carryOut(then, i)
		})
	}
	r.probes = r.probes[:0]
	for ; f.timersDone[i] < len(r.timers); f.timersDone[i]++ {
		token := r.timers[f.timersDone[i]]
		f.schedule(now, now+r.delays[f.timersDone[i]], func(then monotime.Micros) {
			b.HandleTimer(then, token)
			f.carryOut(then, i)
		})
	}
}

// startAttempt adds an attempt to the requests of its endpoint.
func (f *simFleet) startAttempt(now monotime.Micros, i int, s sent) {
	f.sends[s.endpoint] = append(f.sends[s.endpoint], now)
	cores := f.capacity(s.endpoint, now)
	if cores == 0 {
		f.schedule(now, now+1000, func(then monotime.Micros) { f.endAttempt(then, i, s, Error, 1000) })
		return
	}
	f.freeAt[s.endpoint] = max(f.freeAt[s.endpoint], now) + monotime.Micros(float64(f.work)/cores)
	f.inflight[s.endpoint]++
	unqueued := now + monotime.Micros(float64(f.work)*assumedCores/cores)
	f.schedule(now, max(f.freeAt[s.endpoint], unqueued), func(then monotime.Micros) {
		f.inflight[s.endpoint]--
		f.endAttempt(then, i, s, OK, then-now)
	})
}

// endAttempt passes the end of an attempt to its balancer.
func (f *simFleet) endAttempt(now monotime.Micros, i int, s sent, status Status, latency monotime.Micros) {
	b := f.balancers[i]
	b.HandleOutcome(now, Outcome{ID: s.id, Attempt: f.outcomes[s.id], Endpoint: s.endpoint, Status: status,
		Latency: latency, Answered: status == OK})
	f.outcomes[s.id]++
	if status == OK {
		f.onTime[i] += int(indicator(now-f.startedAt[s.id] <= b.settings.Classes[0].LatencyObjective))
		f.recentAnswers += int(indicator(now >= f.recentFrom))
	}
	f.carryOut(now, i)
}

// run simulates the time from an instant to another, and counts the answers of its last second.
func (f *simFleet) run(from, to monotime.Micros) {
	f.recentFrom = to - second
	f.recentAnswers = 0
	for now := from; now < to; now += simStep {
		for _, event := range f.events[now/simStep] {
			event(now)
		}
		delete(f.events, now/simStep)
		for i, b := range f.balancers {
			if f.random.float() < f.rates[i]*float64(simStep)/float64(second) {
				f.lastID++
				f.requests[i]++
				f.startedAt[f.lastID] = now
				b.HandleRequest(now, Request{ID: f.lastID, Deadline: now + b.settings.Classes[0].ClientTimeout})
				f.carryOut(now, i)
			}
		}
	}
}

// The power comes back: five hundred balancers start while all endpoints warm up, of which the list has a few at first.
// The part that each balancer might take alone is, in sum, many times what the few can do. No endpoint may collapse,
// and the served rate grows.
func TestPowerCutCollapsesNoEndpoint(t *testing.T) {
	// The configured size of the fleet: right, and wrong by a factor of ten either way.
	for _, assumedBalancers := range []int{500, 50, 5000} {
		t.Run(fmt.Sprint(assumedBalancers), func(t *testing.T) { testPowerCut(t, assumedBalancers) })
	}
}

func testPowerCut(t *testing.T, assumedBalancers int) {
	t.Helper()
	const balancers, end = 500, 6 * second
	s := testSettings()
	s.Balancers = assumedBalancers
	s.Contract.CollapseAfter = 2 * second
	s.Contract.WarmupTime = 20 * second
	f := newSimFleet(t, s, slices.Repeat([]float64{6}, balancers), 35_000)
	f.capacity = func(_ uint32, at monotime.Micros) float64 {
		return assumedCores * (s.Contract.WarmupStartCapacity +
			(1-s.Contract.WarmupStartCapacity)*float64(at)/float64(s.Contract.WarmupTime))
	}
	steps := []struct {
		at        monotime.Micros
		endpoints int
	}{{0, 1}, {300_000, 4}, {800_000, 12}, {1_500_000, 30}, {end, 0}}
	for i, step := range steps[:len(steps)-1] {
		list := readyEndpoints(step.endpoints)
		for k := range list {
			list[k].StartTime = 1
		}
		for _, b := range f.balancers {
			b.UpdateEndpoints(step.at+1, ListFull, list)
		}
		f.run(step.at, steps[i+1].at)
	}
	f.requireNoCollapse(t, &s.Contract)
	minServed := 0.4 // of what thirty endpoints can do
	if assumedBalancers > balancers {
		minServed = 0.2
	}
	want := minServed * 30 * f.capacity(0, end) * float64(second) / float64(f.work)
	if float64(f.recentAnswers) < want {
		t.Errorf("%d served in the last second of 6, want %.0f", f.recentAnswers, want)
	}
}

// requireNoCollapse requires that no endpoint got as much work within CollapseAfter as makes it collapse, with a
// tolerance of a tenth.
func (f *simFleet) requireNoCollapse(t *testing.T, c *Contract) {
	t.Helper()
	for e, sends := range f.sends {
		from := 0
		for i, at := range sends {
			for sends[from] < at-c.CollapseAfter {
				from++
			}
			got := float64(i-from+1) * float64(f.work)
			limit := c.CollapseMultiple * f.capacity(e, at) * float64(c.CollapseAfter) * 1.1
			if got > limit {
				t.Fatalf("endpoint %d was sent %.1f s of work in the 2 s before %d ms, collapses from %.1f s on", e,
					got/1e6, at/1000, limit/1e6)
			}
		}
	}
}

// A sidecar with three requests per second beside one with four hundred, at the same endpoints. Three of twelve
// fail all requests for ten seconds. The quiet one meets them more often before it knows, but the requests of both are
// served, and neither at the cost of the other.
func TestQuietBesideBusy(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeBudget * calmProbeShare / 0.05
	f := newSimFleet(t, s, []float64{3, 400}, 35_000)
	f.capacity = func(e uint32, at monotime.Micros) float64 {
		if e <= 3 && at > 10*second && at < 20*second {
			return 0
		}
		return assumedCores
	}
	for _, b := range f.balancers {
		b.UpdateEndpoints(0, ListFull, readyEndpoints(12))
	}
	f.run(0, 40*second)
	quiet := float64(f.onTime[0]) / float64(f.requests[0])
	busy := float64(f.onTime[1]) / float64(f.requests[1])
	if quiet < 0.95 || busy < 0.97 {
		t.Errorf("the quiet one got %.3f of %d served, the busy one %.3f of %d; want 0.95 and 0.97", quiet,
			f.requests[0], busy, f.requests[1])
	}
	failed := 0
	for e := uint32(1); e <= 3; e++ {
		for _, at := range f.sends[e] {
			failed += int(indicator(at > 12*second && at < 20*second))
		}
	}
	if ratio := float64(failed) / (8 * 403); ratio > 0.05 {
		t.Errorf("%.3f of the requests went to an endpoint that failed, two seconds after it began", ratio)
	}
}

// A balancer whose endpoints all start together serves in the first second, however wrong its first estimate of the
// work is.
func TestSingleBalancerWithAllEndpointsWarming(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	s.Contract.CollapseAfter = 2 * second
	s.Contract.WarmupTime = 20 * second
	s.Classes[0].LatencyObjective = 2 * second // an estimate of 400 ms
	s.Classes[0].ClientTimeout = 4 * second
	for seed := range uint64(20) {
		b, r := startBalancer(t, s, nil)
		b.random = randomSource(seed)
		list := readyEndpoints(1)
		list[0].StartTime = second
		b.UpdateEndpoints(second, ListFull, list)
		for now := second; now < 2*second; now += 5000 {
			sends := len(r.sends)
			id := uint64(now)
			b.HandleRequest(now, Request{ID: id, Deadline: now + 4*second})
			if len(r.sends) > sends {
				succeed(b, now+1000, id, 1, 1000)
			}
		}
		if len(r.sends) < 5 { // none without the exception for few balancers (servedBucketApplies)
			t.Errorf("seed %d: %d of 200 sent in the first second", seed, len(r.sends))
		}
	}
}
