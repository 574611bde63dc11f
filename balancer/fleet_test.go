package balancer

import (
	"fmt"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

// What one sidecar of a large fleet gets wrong alone: few requests, dear probes, no word from the others.

// A balancer that is busy from the first moment must not keep the probe rate of before.
func TestProbeRateFollowsFirstRequests(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeBudget * calmProbeShare / 0.02 // a probe for fifty requests
	for seed := range uint64(20) {
		r := &recorder{}
		b, err := New(s, seed, r)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		b.UpdateEndpoints(0, ListCached, readyEndpoints(60))
		var at monotime.Micros // of the next timer of probes
		next := func(now monotime.Micros) monotime.Micros {
			i := len(r.timers) - 1
			for r.timers[i] != tokenProbe {
				i--
			}
			return now + r.delays[i]
		}
		at = next(0)
		for now := monotime.Micros(0); now < 3*second; now += 5_000 {
			if at <= now {
				b.HandleTimer(now, tokenProbe)
				at = next(now)
			}
			id := uint64(now) + 1
			b.HandleRequest(now, Request{ID: id, Deadline: now + second})
			b.HandleOutcome(now, Outcome{ID: id, Status: OK, Latency: 30_000, Answered: true})
			for _, e := range r.probes {
				b.HandleProbe(now, e, OK, 1000, []float32{2})
			}
			r.probes = r.probes[:0]
		}
		if n := len(b.probePool); n < 5 {
			t.Errorf("seed %d: after 3 s at 200 requests a second %d answers are pooled, want 5 at least", seed, n)
		}
	}
}

// Warm endpoints are busy, new warming ones idle: each of eighty balancers lets a warming one have only its
// own part, and must give it that while there is room. What they give together stays within what the warming
// ones can take.
func TestWarmingEndpointsGetTheirPart(t *testing.T) {
	const balancers, warm, cold, rate, work = 80, 24, 36, 20.0, 0.05
	s := testSettings()
	s.Balancers = balancers
	s.Prices.Probe = probeBudget * calmProbeShare / 0.05
	s.Contract.CollapseAfter, s.Contract.WarmupTime = 2*second, 1000*second // they stay as they began
	inWindow := map[uint32]float64{}
	for seed := range uint64(balancers) {
		r := &recorder{}
		b, err := New(s, seed, r)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(0)
		list := readyEndpoints(warm + cold)
		b.UpdateEndpoints(0, ListFull, list[:warm])
		b.UpdateEndpoints(second, ListDelta, list[warm:])
		for now := second; now < 7*second; now += monotime.Micros(float64(second) / rate) {
			for i := range list { // reports as of now: what is tested is not how often they are made
				held := float32(0)
				if i < warm {
					held = 5
				}
				b.HandleProbe(now, list[i].ID, OK, 1000, []float32{held})
			}
			id := uint64(now)
			n := len(r.sends)
			b.HandleRequest(now, Request{ID: id, Deadline: now + second})
			if len(r.sends) == n {
				continue
			}
			e := r.sends[n].endpoint
			if e > warm && now >= 5*second {
				inWindow[e] += work
			}
			b.HandleOutcome(now, Outcome{ID: id, Endpoint: e, Status: OK,
				Latency: monotime.Micros(3 * work * float64(second))})
		}
	}
	least := 2 * s.Contract.WarmupStartCapacity // cores' worth of an endpoint's least capacity
	var all float64
	for e, got := range inWindow {
		all += got
		if most := s.Contract.CollapseMultiple * least * 2; got > most {
			t.Errorf("endpoint %d was sent %.1f s of work in 2 s, collapses from %.1f s on", e, got, most)
		}
	}
	if used := all / (cold * least * 2); used < 0.5 {
		t.Errorf("warming endpoints got %.0f%% of the least that they can do, want half at least", 100*used)
	}
}

// pollingBalancer is a balancer that polls a discovery which answers few calls and fails those that wait too
// long.
type pollingBalancer struct {
	balancer   *Balancer
	recorder   *recorder
	pollAt     monotime.Micros // its next timer of discovery; 0 is none
	timersSeen int             // of its recorder's timers
	notified   bool
}

// update takes over the timers that the balancer has set.
func (p *pollingBalancer) update(now monotime.Micros) {
	for ; p.timersSeen < len(p.recorder.timers); p.timersSeen++ {
		if p.recorder.timers[p.timersSeen] == tokenDiscovery {
			p.pollAt = now + p.recorder.delays[p.timersSeen]
		}
	}
}

// poll calls the timer of discovery if it is due, and says whether the balancer polled.
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

// mustServe has the balancer send a request.
func (p *pollingBalancer) mustServe(t *testing.T, now monotime.Micros) {
	t.Helper()
	id := uint64(now) + 1
	sends := len(p.recorder.sends)
	p.balancer.HandleRequest(now, Request{ID: id, Deadline: now + second})
	if len(p.recorder.sends) != sends+1 {
		t.Fatalf("at %d ms a request was not sent: the known list should serve", now/1000)
	}
	succeed(p.balancer, now, id, p.recorder.sends[sends].endpoint, 30_000)
}

func startPollingFleet(t *testing.T, s Settings) []*pollingBalancer {
	t.Helper()
	rng := randomSource(9)
	var fleet []*pollingBalancer
	for seed := range uint64(s.Balancers) {
		p := &pollingBalancer{recorder: &recorder{}}
		var err error
		if p.balancer, err = New(s, seed, p.recorder); err != nil {
			t.Fatal(err)
		}
		from := rng.durationBelow(second / 10)
		p.balancer.Start(from)
		p.balancer.UpdateEndpoints(from, ListCached, readyEndpoints(6))
		p.update(from)
		fleet = append(fleet, p)
	}
	return fleet
}

// slowDiscovery answers one call after the other.
type slowDiscovery struct {
	callTime, timeout monotime.Micros
	queue             []discoveryCall
	freeAt            monotime.Micros
	notified          int // balancers that have a list
}

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

// Eighty sidecars start within 100 ms while discovery answers four calls a second and fails what waits for
// two seconds. All are notified within a minute, calls do not come faster than it fails them, and meanwhile
// the known list serves.
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

// A first list that never comes: the known list serves, and where nothing is known all is rejected at once;
// discovery is polled on.
func TestFirstListNeverComes(t *testing.T) {
	for _, known := range []int{0, 5} {
		s := testSettings()
		s.Subscribe = true
		b, r := startBalancer(t, s, readyEndpoints(known))
		polls := 0
		for now := monotime.Micros(0); now < 60*second; now += second {
			for i := len(r.timers) - 1; i >= 0; i-- {
				if r.timers[i] == tokenDiscovery {
					b.HandleTimer(b.nextPollAt, tokenDiscovery)
					break
				}
			}
			if r.watches > polls {
				polls = r.watches
				b.UpdateEndpoints(now, ListFailed, nil)
			}
			id := uint64(now) + 1
			b.HandleRequest(now, newTestRequest(id, 0, now))
			if known == 0 && (len(r.rejected) == 0 || r.rejected[len(r.rejected)-1] != id) {
				t.Fatalf("at %d s: not rejected at once", now/second)
			}
			if known > 0 {
				n := len(r.sends)
				if n == 0 || r.sends[n-1].id != id {
					t.Fatalf("at %d s: not sent", now/second)
				}
				b.HandleOutcome(now, Outcome{ID: id, Status: OK, Latency: 30_000, Answered: true})
			}
		}
		if polls < 5 {
			t.Errorf("%d known: discovery was polled %d times in a minute", known, polls)
		}
	}
}

// Six in ten of the list are replaced, in one change or in twenty, with requests out at those that go.
// Nothing new goes to these, each request has one final answer, and what answers late is taken.
func TestReplacedWithRequestsOut(t *testing.T) {
	for _, changes := range []int{1, 20} {
		const all, gone = 60, 36
		s := testSettings()
		b, r := startBalancer(t, s, readyEndpoints(all))
		now := monotime.Micros(0)
		for i := range uint64(all) {
			now += 1000
			b.HandleRequest(now, newTestRequest(i+1, 0, now))
		}
		open := slices.Clone(r.sends)
		list := readyEndpoints(all + gone)
		removed := map[uint32]bool{}
		per := (gone + changes - 1) / changes
		for from := 0; from < gone; from += per {
			now += 10_000
			var delta []Endpoint
			for i := from; i < min(from+per, gone); i++ {
				old, fresh := list[i], list[all+i]
				old.State, fresh.StartTime = Gone, now
				delta = append(delta, old, fresh)
				removed[old.ID] = true
			}
			b.UpdateEndpoints(now, ListDelta, delta)
			for i := range uint64(40) {
				n := len(r.sends)
				b.HandleRequest(now, newTestRequest(1000*uint64(now)+i, 0, now))
				if len(r.sends) > n && removed[r.sends[n].endpoint] {
					t.Errorf("%d changes: a request went to endpoint %d, which is gone", changes, r.sends[n].endpoint)
				}
				if len(r.sends) > n {
					succeed(b, now, r.sends[n].id, r.sends[n].endpoint, 20_000)
				}
			}
		}
		for _, x := range open { // half were served before their endpoint went, half saw their connection break
			status := OK
			if removed[x.endpoint] && x.id%2 == 0 {
				status = Reset
			}
			b.HandleOutcome(now, Outcome{ID: x.id, Endpoint: x.endpoint, Status: status, Latency: now,
				Answered: status == OK})
		}
		for i := len(open); len(r.sends) > i; i++ { // the second tries of those
			b.HandleOutcome(now, Outcome{ID: r.sends[i].id, Attempt: 1, Endpoint: r.sends[i].endpoint, Status: OK,
				Latency: 20_000, Answered: true})
		}
		if b.openRequests != 0 || len(b.requests) != 0 {
			t.Errorf("%d changes: %d requests have no answer, %d are remembered", changes, b.openRequests,
				len(b.requests))
		}
		b.UpdateEndpoints(now, ListDelta, nil)
		if len(b.endpoints) != all {
			t.Errorf("%d changes: %d endpoints are held, want %d", changes, len(b.endpoints), all)
		}
	}
}

// A list that shrinks to one: all goes there while an answer would be in time, the rest is rejected at once,
// and when the others come back they are used again.
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
	now += 60 * second // they were always up; what was learned of the crowd has aged
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

// A fifth of the new endpoints fail all that they are asked. A sidecar with three requests a second and one
// with a hundred, alone with what they see: both serve nearly all, the busy one finds them soon.
func TestOutliersAmongNewEndpoints(t *testing.T) {
	for _, c := range []struct {
		rate  float64
		least float64 // part served
	}{{3, 0.9}, {100, 0.97}} {
		s := testSettings()
		s.Balancers, s.Prices.Probe = 80, probeBudget*calmProbeShare/0.05
		b, r := startBalancer(t, s, readyEndpoints(24))
		list := readyEndpoints(60)
		for i := 24; i < 60; i++ {
			list[i].StartTime = second
		}
		b.UpdateEndpoints(second, ListFull, list)
		served, all := 0, 0
		failed := map[uint64]bool{}
		for now := second; now < 31*second; now += monotime.Micros(float64(second) / c.rate) {
			b.HandleTimer(now, tokenProbe)
			id := uint64(now)
			n := len(r.sends)
			b.HandleRequest(now, Request{ID: id, Deadline: now + second})
			for _, e := range slices.Clone(r.probes) {
				b.HandleProbe(now, e, OK, 1000, []float32{1})
			}
			r.probes = r.probes[:0]
			all++
			for try := 0; len(r.sends) > n; try++ {
				e := r.sends[n].endpoint
				n = len(r.sends)
				if e > 24 && e%5 == 0 {
					b.HandleOutcome(now, Outcome{ID: id, Attempt: try, Endpoint: e, Status: Error, Latency: 1000})
					failed[id] = true
					continue
				}
				b.HandleOutcome(now, Outcome{ID: id, Attempt: try, Endpoint: e, Status: OK, Latency: 30_000,
					Answered: true})
				served++
			}
		}
		if part := float64(served) / float64(all); part < c.least {
			t.Errorf("%v a second: %.3f of %d served, want %.2f", c.rate, part, all, c.least)
		}
		if c.rate > 50 && len(failed) > all/20 {
			t.Errorf("%v a second: %d of %d requests met a bad endpoint", c.rate, len(failed), all)
		}
	}
}

// crowd is a fleet of balancers at the same endpoints, in simulated time: each endpoint works through what it
// is sent on so many cores' worth as it has at that instant, and answers probes with what it holds.
type simFleet struct {
	balancers []*Balancer
	recorders []*recorder
	rates     []float64 // requests a second, of each balancer
	work      monotime.Micros
	capacity  func(e uint32, at monotime.Micros) float64 // cores' worth; 0 fails all at once

	random        randomSource
	lastID        uint64
	timersDone    []int                      // of each balancer that were scheduled
	sendsDone     []int                      // of each balancer that were carried out
	startedAt     map[uint64]monotime.Micros // of requests
	outcomes      map[uint64]int             // that have an outcome
	freeAt        map[uint32]monotime.Micros // when an endpoint will have done what it has
	inflight      map[uint32]int
	events        map[monotime.Micros][]func(now monotime.Micros)
	sends         map[uint32][]monotime.Micros
	requests      []int // requests of each balancer
	onTime        []int // of them answered within the latency objective
	recentFrom    monotime.Micros
	recentAnswers int // answered from then on
}

func newSimFleet(t *testing.T, s Settings, rates []float64, work monotime.Micros) *simFleet {
	t.Helper()
	c := &simFleet{rates: rates, work: work, random: 9, freeAt: map[uint32]monotime.Micros{},
		inflight: map[uint32]int{},
		events:   map[monotime.Micros][]func(monotime.Micros){},
		sends:    map[uint32][]monotime.Micros{}, timersDone: make([]int, len(rates)),
		sendsDone: make([]int, len(rates)),
		startedAt: map[uint64]monotime.Micros{}, outcomes: map[uint64]int{}, requests: make([]int,
			len(rates)), onTime: make([]int,
			len(rates))}
	for i := range rates {
		b, out := startBalancer(t, s, nil)
		b.random = randomSource(i)
		b.meanWork = ewma{float64(work), manySamples}
		for k := range b.classes {
			b.classes[k].meanWork = b.meanWork
		}
		c.balancers, c.recorders = append(c.balancers, b), append(c.recorders, out)
	}
	return c
}

const simStep monotime.Micros = 1000

func (c *simFleet) schedule(now, at monotime.Micros, f func(now monotime.Micros)) {
	n := max(now/simStep+1, at/simStep)
	c.events[n] = append(c.events[n], f)
}

// carryOut carries out a balancer's actions.
func (c *simFleet) carryOut(now monotime.Micros, i int) {
	b, out := c.balancers[i], c.recorders[i]
	for ; c.sendsDone[i] < len(out.sends); c.sendsDone[i]++ {
		x := out.sends[c.sendsDone[i]]
		c.sends[x.endpoint] = append(c.sends[x.endpoint], now)
		can := c.capacity(x.endpoint, now)
		if can == 0 {
			c.schedule(now, now+1000, func(then monotime.Micros) { c.answer(then, i, x, Error, 1000) })
			continue
		}
		c.freeAt[x.endpoint] = max(c.freeAt[x.endpoint], now) + monotime.Micros(float64(c.work)/can)
		c.inflight[x.endpoint]++
		c.schedule(now, max(c.freeAt[x.endpoint], now+monotime.Micros(float64(c.work)*assumedCores/can)),
			func(then monotime.Micros) {
				c.inflight[x.endpoint]--
				c.answer(then, i, x, OK, then-now)
			})
	}
	for _, e := range out.probes {
		c.schedule(now, now+1000, func(then monotime.Micros) {
			b.HandleProbe(then, e, OK, 1000, []float32{float32(c.inflight[e])})
			c.carryOut(then, i)
		})
	}
	out.probes = out.probes[:0]
	for ; c.timersDone[i] < len(out.timers); c.timersDone[i]++ {
		token, delay := out.timers[c.timersDone[i]], out.delays[c.timersDone[i]]
		c.schedule(now, now+delay, func(then monotime.Micros) {
			b.HandleTimer(then, token)
			c.carryOut(then, i)
		})
	}
}

func (c *simFleet) answer(now monotime.Micros, i int, x sent, status Status, latency monotime.Micros) {
	b := c.balancers[i]
	b.HandleOutcome(now, Outcome{ID: x.id, Attempt: c.outcomes[x.id], Endpoint: x.endpoint, Status: status,
		Latency: latency, Answered: status == OK})
	c.outcomes[x.id]++
	if status == OK {
		c.onTime[i] += int(indicator(now-c.startedAt[x.id] <= b.settings.Classes[0].LatencyObjective))
		c.recentAnswers += int(indicator(now >= c.recentFrom))
	}
	c.carryOut(now, i)
}

// play plays a stretch of time.
func (c *simFleet) run(from, to monotime.Micros) {
	c.recentFrom, c.recentAnswers = to-second, 0
	for now := from; now < to; now += simStep {
		for _, f := range c.events[now/simStep] {
			f(now)
		}
		delete(c.events, now/simStep)
		for i, b := range c.balancers {
			if c.random.float() < c.rates[i]*float64(simStep)/float64(second) {
				c.lastID++
				c.requests[i]++
				c.startedAt[c.lastID] = now
				b.HandleRequest(now, Request{ID: c.lastID, Deadline: now + b.settings.Classes[0].ClientTimeout})
				c.carryOut(now, i)
			}
		}
	}
}

// The power comes back: five hundred balancers start with all endpoints warming up, of which the list tells a
// few at first. What each alone takes for its small part is many times what the few can do. None may be made
// to collapse, and what they serve grows.
func TestPowerCutCollapsesNoEndpoint(t *testing.T) {
	for _, assumedBalancers := range []int{500, 50, 5000} { // the size of the fleet, right and wrong by ten either way
		t.Run(fmt.Sprint(assumedBalancers), func(t *testing.T) { powerCut(t, assumedBalancers) })
	}
}

func powerCut(t *testing.T, assumedBalancers int) {
	const balancers, end = 500, 6 * second
	s := testSettings()
	s.Balancers = assumedBalancers
	s.Contract.CollapseAfter, s.Contract.WarmupTime = 2*second, 20*second
	c := newSimFleet(t, s, slices.Repeat([]float64{6}, balancers), 35_000)
	c.capacity = func(_ uint32, at monotime.Micros) float64 {
		return assumedCores * (s.Contract.WarmupStartCapacity +
			(1-s.Contract.WarmupStartCapacity)*float64(at)/float64(s.Contract.WarmupTime))
	}
	steps := []struct {
		at monotime.Micros
		n  int
	}{{0, 1}, {300_000, 4}, {800_000, 12}, {1_500_000, 30}, {end, 0}}
	for i, now := range steps[:len(steps)-1] {
		list := readyEndpoints(now.n)
		for i := range list {
			list[i].StartTime = 1
		}
		for _, b := range c.balancers {
			b.UpdateEndpoints(now.at+1, ListFull, list)
		}
		c.run(now.at, steps[i+1].at)
	}
	for e, at := range c.sends {
		for i, from := 0, 0; i < len(at); i++ {
			for at[from] < at[i]-s.Contract.CollapseAfter {
				from++
			}
			got := float64(i-from+1) * float64(c.work)
			if most := s.Contract.CollapseMultiple * c.capacity(e,
				at[i]) * float64(s.Contract.CollapseAfter) * 1.1; got > most {
				t.Fatalf("endpoint %d had %.1f s of work sent in the 2 s before %d ms, collapses from %.1f s on", e,
					got/1e6, at[i]/1000, most/1e6)
			}
		}
	}
	part := 0.4 // of what thirty endpoints can do
	if assumedBalancers > balancers {
		part = 0.2
	}
	if least := part * 30 * c.capacity(0, end) * float64(second) / float64(c.work); float64(c.recentAnswers) < least {
		t.Errorf("%d served in the last second of 6, want %.0f", c.recentAnswers, least)
	}
}

// A sidecar with three requests a second beside one with four hundred, at the same endpoints: three of twelve
// fail all for ten seconds. The quiet one meets them more often before it knows, but what either is asked is
// served, and neither at the other's cost.
func TestQuietBesideBusy(t *testing.T) {
	s := testSettings()
	s.Prices.Probe = probeBudget * calmProbeShare / 0.05
	c := newSimFleet(t, s, []float64{3, 400}, 35_000)
	c.capacity = func(e uint32, at monotime.Micros) float64 {
		if e <= 3 && at > 10*second && at < 20*second {
			return 0
		}
		return assumedCores
	}
	for _, b := range c.balancers {
		b.UpdateEndpoints(0, ListFull, readyEndpoints(12))
	}
	c.run(0, 40*second)
	quiet, busy := float64(c.onTime[0])/float64(c.requests[0]), float64(c.onTime[1])/float64(c.requests[1])
	if quiet < 0.95 || busy < 0.97 {
		t.Errorf("the quiet one got %.3f of %d served, the busy one %.3f of %d; want 0.95 and 0.97", quiet,
			c.requests[0], busy, c.requests[1])
	}
	bad := 0
	for e := uint32(1); e <= 3; e++ {
		for _, at := range c.sends[e] {
			bad += int(indicator(at > 12*second && at < 20*second))
		}
	}
	if part := float64(bad) / (8 * 403); part > 0.05 {
		t.Errorf("%.3f of the requests went to an endpoint that failed, two seconds after it began", part)
	}
}

// One balancer whose endpoints all come up at once serves in the first second, however wrong its first guess
// of their work is.
func TestSingleBalancerWithAllEndpointsWarming(t *testing.T) {
	s := testSettings()
	s.Balancers = 1
	s.Contract.CollapseAfter, s.Contract.WarmupTime = 2*second, 20*second
	s.Classes[0].LatencyObjective, s.Classes[0].ClientTimeout = 2*second, 4*second // a guess of 400 ms
	for seed := range uint64(20) {
		b, r := startBalancer(t, s, nil)
		b.random = randomSource(seed)
		list := readyEndpoints(1)
		list[0].StartTime = second
		b.UpdateEndpoints(second, ListFull, list)
		for now := second; now < 2*second; now += 5000 {
			n := len(r.sends)
			id := uint64(now)
			b.HandleRequest(now, Request{ID: id, Deadline: now + 4*second})
			if len(r.sends) > n {
				succeed(b, now+1000, id, 1, 1000)
			}
		}
		if len(r.sends) < 5 { // none without the exception for few; eight as it was before the bound
			t.Errorf("seed %d: %d of 200 sent in the first second", seed, len(r.sends))
		}
	}
}
