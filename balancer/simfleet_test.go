package balancer

import (
	"fmt"
	"slices"
	"testing"

	"dunlinsail/internal/monotime"
)

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
