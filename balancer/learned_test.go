package balancer

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"

	"dunlinsail/internal/monotime"
)

// taught returns a balancer that has seen a mixed minute: slow, failing and cold endpoints among others.
func trainedBalancer(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder, monotime.Micros) {
	t.Helper()
	b, r := startBalancer(t, s, list)
	rng := rand.New(rand.NewPCG(4, 4))
	now := monotime.Micros(0)
	for id := range uint64(4000) {
		now += 2000
		if id == 2000 { // one that starts anew
			cold := list[len(list)-1]
			cold.StartTime = now
			list[len(list)-1] = cold
			b.UpdateEndpoints(now, ListDelta, []Endpoint{cold})
		}
		sent, first := len(r.sends), len(r.sends)
		b.HandleRequest(now, Request{ID: id, Class: uint8(id % 5), Tenant: uint16(id % 2), Deadline: now + second})
		for ; sent < len(r.sends); sent++ {
			e := r.sends[sent].endpoint
			status, latency := OK, monotime.Micros(1000*e)+rng.Int64N(3000)
			if e == 2 && id%5 == 0 || e == 3 {
				status = Error
			}
			b.HandleOutcome(now+latency, Outcome{ID: id, Attempt: sent - first, Endpoint: e, Status: status,
				Latency: latency, Answered: true})
		}
		if id%50 == 0 {
			b.HandleProbe(now, uint32(1+id/50%6), OK, 400, []float32{float32(id % 7)})
		}
	}
	return b, r, now
}

func withTenants(s Settings) Settings {
	s.Tenants = []Tenant{{Name: "a", Quota: 100, Share: 0.5}, {Name: "b", Quota: 100, Share: 0.5}}
	return s
}

// What one balancer has learned, another that takes its place judges by, at another origin of time.
func TestLearnedStateIsRestored(t *testing.T) {
	s := withTenants(testSettings())
	old, _, now := trainedBalancer(t, s, readyEndpoints(6))
	text, err := json.Marshal(old.LearnedState(now))
	if err != nil {
		t.Fatal(err)
	}
	var l LearnedState
	if err := json.Unmarshal(text, &l); err != nil {
		t.Fatal(err)
	}
	list := readyEndpoints(6)
	list[5].StartTime = old.endpointsByID[6].StartTime
	const shift = 1_000 * second
	next, err := New(s, 8, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	for i := range list {
		if list[i].StartTime != 0 {
			list[i].StartTime += shift
			l.Endpoints[i].StartTime += shift // the host's clock tells both
		}
	}
	next.Start(now + shift)
	next.UpdateEndpoints(now+shift, ListCached, list)
	next.Restore(now+shift, 0, &l)
	out := 0
	for id, a := range old.endpointsByID {
		b := next.endpointsByID[id]
		if x, y := old.predictLatency(now, a, 5000), next.predictLatency(now+shift, b, 5000); a.inflight == 0 && !b.hasReport && !old.reportsLate &&
			math.Abs(x/y-1) > 0.5 {
			t.Errorf("endpoint %d: %v expected by the old one, %v by the new", id, x, y)
		}
		if x, y := a.currentServiceTimeRatio(now, old), b.currentServiceTimeRatio(now+shift, next); !near(x, y) {
			t.Errorf("endpoint %d: pace %v, then %v", id, x, y)
		}
		a.breaker.advance(now)
		b.breaker.advance(now + shift)
		if x, y := a.breaker, b.breaker; x.requests != y.requests || x.accepts != y.accepts || x.baseLatency != y.baseLatency || id < 6 && x.requests == 0 {
			t.Errorf("endpoint %d: breaker %d of %d, base %v; then %d of %d, base %v", id, x.accepts, x.requests, x.baseLatency,
				y.accepts, y.requests, y.baseLatency)
		}
		for class := range uint8(5) {
			r := &request{Request: Request{Class: class, Tenant: 1}}
			if x, y := old.isEjectedFor(now, a, r), next.isEjectedFor(now+shift, b, r); x != y {
				t.Errorf("endpoint %d, class %d: ejected %v, then %v", id, class, x, y)
			} else if x {
				out++
			}
		}
		if a.warmingUp(now, old) != b.warmingUp(now+shift, next) || !near(a.capacityFraction(now, old), b.capacityFraction(now+shift, next)) {
			t.Errorf("endpoint %d: warmth %v, then %v", id, a.capacityFraction(now, old), b.capacityFraction(now+shift, next))
		}
	}
	if out == 0 || !old.endpointsByID[6].warmingUp(now, old) {
		t.Errorf("nothing was learned that could have been lost: %d ejected, cold %v", out, old.endpointsByID[6].warmingUp(now, old))
	}
	if !near(old.requestRate.rate(now), next.requestRate.rate(now+shift)) || old.latencyTrend != next.latencyTrend {
		t.Errorf("demand %v, then %v; trend %v, then %v", old.requestRate.rate(now), next.requestRate.rate(now+shift), old.latencyTrend, next.latencyTrend)
	}
	again := next.LearnedState(now + shift)
	again.Endpoints, l.Endpoints = nil, nil
	again.Classes, l.Classes = nil, nil
	if a, b := *again, l; math.Abs(a.RequestRate-b.RequestRate) > 1e-6 || !reflect.DeepEqual(a.LateReportRatio, b.LateReportRatio) {
		t.Errorf("told on: %+v, was %+v", a, b)
	}
}

// The account of a cold endpoint goes over whole: the old balancer sends it nothing more, and what both have sent
// together stays within what one alone might have.
func TestWarmingEndpointIsHandedOver(t *testing.T) {
	s := testSettings()
	s.Limits.Probes = false
	play := func(handOver bool) (sent int) {
		list := readyEndpoints(4)
		b, r := startBalancer(t, s, list)
		cold := Endpoint{ID: 9, Zone: 0, Cell: 9, Share: 1, StartTime: 1}
		now := monotime.Micros(1)
		b.UpdateEndpoints(now, ListDelta, []Endpoint{cold})
		var old *Balancer
		var oldR *recorder
		id := uint64(0)
		ask := func(b *Balancer, r *recorder) {
			id++
			b.HandleRequest(now, newTestRequest(id, 0, now))
			if n := len(r.sends) - 1; n >= 0 && r.sends[n].id == id {
				if r.sends[n].endpoint == 9 {
					sent++
				}
				b.HandleOutcome(now+900, Outcome{ID: id, Endpoint: r.sends[n].endpoint, Status: OK, Latency: 2000, Answered: true})
			}
		}
		for i := range 3000 {
			now += 1000
			if i == 1500 && handOver {
				l := b.LearnedState(now)
				b.SetHandedOver(now, true)
				old, oldR = b, r
				b, r = startBalancer(t, s, list)
				b.UpdateEndpoints(now, ListCached, append(readyEndpoints(4), cold))
				b.Restore(now, 0, l)
			}
			ask(b, r)
			if old != nil { // it has as much to do as before, for a while
				ask(old, oldR)
			}
		}
		if old != nil {
			before := sent
			for range 500 {
				now += 1000
				ask(old, oldR)
			}
			if sent != before {
				t.Errorf("the old balancer sent the cold endpoint %d requests after it had handed over", sent-before)
			}
			old.SetHandedOver(now, false)
			for range 3000 {
				now += 1000
				ask(old, oldR)
			}
			if sent == before {
				t.Error("after it took over again it sends the endpoint nothing")
			}
			sent = before
		}
		return sent
	}
	alone, both := play(false), play(true)
	if both > alone*5/4+2 {
		t.Errorf("a cold endpoint got %d requests across a handover, %d without", both, alone)
	}
}

// An endpoint that has started anew since owes nothing to what was learned of its former process.
func TestRestartedEndpointStartsAnew(t *testing.T) {
	s := withTenants(testSettings())
	old, _, now := trainedBalancer(t, s, readyEndpoints(6))
	l := old.LearnedState(now)
	next, _ := startBalancer(t, s, readyEndpoints(6))
	next.UpdateEndpoints(now, ListDelta, []Endpoint{{ID: 3, Zone: 1, Cell: 1, StartTime: now - 1}})
	next.Restore(now, 0, l)
	if e := next.endpointsByID[3]; e.breaker.requests != 0 || e.outlier.consecutiveFailures != 0 || !e.warmingUp(now, next) {
		t.Errorf("%+v", e)
	}
}

// Figures that no balancer has told change nothing for the worse: no panic, no endpoint lost.
func TestRestoreOfInvalidState(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 9))
	odd := func() float64 {
		return []float64{math.NaN(), math.Inf(1), math.Inf(-1), -5, 0, 1e300, 7}[rng.IntN(7)]
	}
	oddM := func() monotime.Micros {
		return []monotime.Micros{math.MinInt64 / 4, -1, 0, 5, math.MaxInt64 / 4}[rng.IntN(5)]
	}
	for range 300 {
		avg := func() Average { return Average{odd(), odd()} }
		l := &LearnedState{RequestRate: odd(), SentWorkRate: odd(), RejectedRatio: odd(), MeanWork: Average{5000, 1}, FleetServiceTimeRatio: avg(), LatencyTrend: odd(), HintTrust: odd(),
			LateReportRatio: avg(), TypicalLoad: avg(), ServiceTime: avg(), ReportWatchTime: odd(), ReportChanges: odd(), TenantRates: []float64{odd(), odd()}}
		for range rng.IntN(7) {
			l.Classes = append(l.Classes, LearnedClass{avg(), odd(), avg()})
		}
		for id := range uint32(8) {
			e := LearnedEndpoint{ID: id, RTT: avg(), ServiceTimeRatio: avg(), ServiceTimeAge: oddM(), WarmingUp: rng.IntN(2) == 0, WarmupAge: oddM(), WarmupTokens: odd(),
				Outlier: LearnedOutlier{int(oddM()), oddM(), oddM(), true}, BaseLatency: odd(), CurrentLatency: odd()}
			for range rng.IntN(9) {
				e.PartOutliers = append(e.PartOutliers, LearnedOutlier{int(oddM()), oddM(), oddM(), false})
			}
			for range []int{0, 3, breakerBuckets}[rng.IntN(3)] {
				e.BreakerWindow = append(e.BreakerWindow, [3]int{rng.IntN(9) - 4, rng.IntN(9) - 4, rng.IntN(9) - 4})
			}
			l.Endpoints = append(l.Endpoints, e)
		}
		b, r := startBalancer(t, withTenants(testSettings()), readyEndpoints(6))
		b.Restore(20*second, oddM(), l)
		for id := range uint64(50) {
			now := 60*second + monotime.Micros(id)*second
			b.HandleRequest(now, newTestRequest(id, uint8(id%5), now))
			for _, s := range r.sends {
				if s.id == id {
					b.HandleOutcome(now+1000, Outcome{ID: id, Endpoint: s.endpoint, Status: OK, Latency: 1000, Answered: true})
				}
			}
		}
		if len(r.sends) < 25 {
			t.Fatalf("%d of 50 requests were sent after %+v", len(r.sends), l)
		}
	}
}

// A change that is told before the list that another balancer held must not make endpoints of that list look as if they
// had just come up: all of them cold, the first seconds after a handover would be refused.
func TestEndpointsOfCachedListAreNotNew(t *testing.T) {
	s := testSettings()
	s.Subscribe = false
	r := &recorder{}
	b, err := New(s, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.UpdateEndpoints(second, ListDelta, nil)
	b.UpdateEndpoints(second, ListCached, readyEndpoints(2))
	late := readyEndpoints(3)[2:]
	b.UpdateEndpoints(second, ListDelta, late)
	for _, e := range b.endpoints {
		if want := e.ID == late[0].ID; e.warmingUp(second, b) != want {
			t.Errorf("endpoint %d cold: %v, want %v", e.ID, !want, want)
		}
	}
}
